package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/explainapi"
	"github.com/auburnlead/auburnlead/internal/metrics"
)

// server listens for callers, for readiness checks of the load balancer and for
// metrics.
type server struct {
	g          *Gateway
	stopping   atomic.Bool
	window     atomic.Pointer[stopWindow] // nil until the router stops
	callers    *http.Server
	conns      callerConns
	auxServers []*http.Server
	// ending ends shortly before the process exits. Requests in flight then get the
	// router's own response.
	ending context.Context
	end    context.CancelFunc
}

// stopWindow has the times of a planned stop.
type stopWindow struct {
	drained time.Time // callers should use other routers from here on
	ends    time.Time // requests in flight are given up
}

// accepts reports whether a request with a deadline may be sent to a worker. After the
// drain delay only those are that end before the router does: the response to another
// one might be cut off, and the request may be one that must not be repeated.
func (w *stopWindow) accepts(deadline, now time.Time) bool {
	return w == nil || now.Before(w.drained) || !deadline.After(w.ends)
}

// stopMargin is subtracted from Settings.StopWithin, so that the process exits
// by itself before it is killed.
const stopMargin = 300 * time.Millisecond

// answerMargin is the time before the end of a stop at which requests in flight are
// given up, so that their callers get a response.
const answerMargin = 200 * time.Millisecond

func newServer(g *Gateway) *server {
	s := &server{g: g}
	s.ending, s.end = context.WithCancel(context.Background())
	s.callers = &http.Server{
		Handler:           http.HandlerFunc(g.serveRequest),
		ReadHeaderTimeout: g.settings.HeaderTimeout,
		IdleTimeout:       g.settings.IdleTimeout,
		MaxHeaderBytes:    g.settings.HeaderBytes,
		ErrorLog:          g.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
		ConnState:         s.conns.record,
	}
	return s
}

func (s *server) start(ctx context.Context) error {
	readiness := s.newAuxServer(map[string]http.Handler{s.g.settings.ReadinessPath: http.HandlerFunc(s.readyz)})
	if err := s.listen(ctx, "readiness", s.g.settings.Readiness, s.serveAux("readiness", readiness)); err != nil {
		return err
	}
	if s.g.settings.Metrics != "" {
		if err := s.listen(ctx, "metrics", s.g.settings.Metrics, s.serveAux("metrics", s.newMetricsServer())); err != nil {
			return err
		}
	}
	if err := s.listen(ctx, componentName, s.g.settings.Listen, s.serveCallers); err != nil {
		return err
	}
	s.g.readiness.SetReady(componentName, true, "")
	return nil
}

// listen opens a listener and serves it in the background.
func (s *server) listen(ctx context.Context, name, address string, serve func(net.Listener) error) error {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return fmt.Errorf("gateway: %s: %w; set the address to a free one of this VM", name, err)
	}
	s.g.addresses.Set(name, l.Addr().String())
	s.g.decisions.logChange("listening", "for", name, "address", l.Addr().String())
	go func() {
		if err := serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.g.decisions.logWarning("listener failed", "for", name, "error", err)
			s.g.readiness.SetReady(name, false, "listener failed")
		}
	}()
	return nil
}

// serveCallers serves a listener until the server is closed.
func (s *server) serveCallers(l net.Listener) error {
	l = connlimit.Listen(l, connlimit.Config{Listener: componentName, Limit: connlimit.ForProcess, Pool: s.g.connections})
	s.conns.setListener(l)
	err := connlimit.ServeListener(s.callers, l)
	if s.stopping.Load() {
		return http.ErrServerClosed // the listener is closed before the server
	}
	return err
}

// newMetricsServer returns the server of the metrics listener, which operators use.
func (s *server) newMetricsServer() *http.Server {
	return s.newAuxServer(map[string]http.Handler{"/metrics": http.HandlerFunc(s.metrics), explainapi.Path: &explainer{g: s.g}})
}

// newAuxServer returns a server with handlers by path that stop closes last.
func (s *server) newAuxServer(handlers map[string]http.Handler) *http.Server {
	r := mux.NewRouter()
	for path, handler := range handlers {
		r.Handle(path, handler).Methods(http.MethodGet)
	}
	h := connlimit.AuxServer(r, s.g.settings.IdleTimeout)
	s.auxServers = append(s.auxServers, h)
	return h
}

func (s *server) serveAux(listener string, h *http.Server) func(net.Listener) error {
	return func(l net.Listener) error {
		return connlimit.Serve(h, l, connlimit.Config{Listener: listener, Limit: connlimit.ForAux, Pool: s.g.connections})
	}
}

func (s *server) readyz(w http.ResponseWriter, _ *http.Request) {
	ready, reason := s.g.readiness.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (s *server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if source, ok := s.g.scope.(tally.TestScope); ok {
		fmt.Fprint(w, metrics.Text(source.Snapshot()))
	}
}

// stop reports not ready, keeps serving for the drain delay, then closes the
// listeners and waits for the requests in flight. Those that are left at the end get an
// error response.
func (s *server) stop(ctx context.Context) error {
	now, within := time.Now(), s.g.settings.StopWithin-stopMargin
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	s.window.Store(&stopWindow{drained: now.Add(s.g.settings.DrainDelay), ends: now.Add(within - answerMargin)})
	end := time.AfterFunc(within-answerMargin, s.end)
	defer end.Stop()
	s.stopping.Store(true)
	s.g.readiness.SetReady(componentName, false, "stopping")
	s.g.decisions.logChange("stopping", "in_flight", s.g.decisions.inFlight(), "drain_delay", s.g.settings.DrainDelay)
	timer := time.NewTimer(s.g.settings.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	// Shutdown drops requests whose header is still arriving. Requests on idle
	// connections are answered until then.
	s.conns.closeListener()
	s.conns.awaitIdle(s.ending)
	err := s.callers.Shutdown(ctx)
	s.g.decisions.logChange("stopped", "in_flight", s.g.decisions.inFlight())
	for _, h := range append(s.auxServers, s.callers) {
		_ = h.Close() // the process exits; nothing is left to save
	}
	s.g.conns.transport.CloseIdleConnections()
	if err != nil && s.g.decisions.inFlight() > 0 {
		return fmt.Errorf("gateway: requests in flight did not end in time: %w", err)
	}
	return nil // connections without a request may have been left
}
