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

	"github.com/auburnlead/auburnlead/internal/framing"
	"github.com/auburnlead/auburnlead/internal/metrics"
)

// server listens for callers, for readiness checks of the load balancer and for
// metrics.
type server struct {
	g          *Gateway
	stopping   atomic.Bool
	callers    *http.Server
	auxServers []*http.Server
}

// stopMargin is subtracted from Settings.StopWithin, so that the process exits
// by itself before it is killed.
const stopMargin = 300 * time.Millisecond

func newServer(g *Gateway) *server {
	s := &server{g: g}
	s.callers = &http.Server{
		Handler:           http.HandlerFunc(g.serveRequest),
		ReadHeaderTimeout: g.settings.HeaderTimeout,
		IdleTimeout:       g.settings.IdleTimeout,
		MaxHeaderBytes:    g.settings.HeaderBytes,
		ErrorLog:          g.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return s
}

func (s *server) start(ctx context.Context) error {
	if err := s.listen(ctx, "readiness", s.g.settings.Readiness, s.newAuxServer(s.g.settings.ReadinessPath, s.readyz).Serve); err != nil {
		return err
	}
	if s.g.settings.Metrics != "" {
		if err := s.listen(ctx, "metrics", s.g.settings.Metrics, s.newAuxServer("/metrics", s.metrics).Serve); err != nil {
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
func (s *server) serveCallers(l net.Listener) error { return framing.Serve(s.callers, l) }

// newAuxServer returns a server with one handler that stop closes last.
func (s *server) newAuxServer(path string, handler http.HandlerFunc) *http.Server {
	r := mux.NewRouter()
	r.HandleFunc(path, handler).Methods(http.MethodGet)
	h := &http.Server{Handler: r, ReadHeaderTimeout: s.g.settings.HeaderTimeout, IdleTimeout: s.g.settings.IdleTimeout}
	s.auxServers = append(s.auxServers, h)
	return h
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
// listeners and waits for the requests in flight.
func (s *server) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.g.settings.StopWithin-stopMargin)
	defer cancel()
	s.stopping.Store(true)
	s.g.readiness.SetReady(componentName, false, "stopping")
	s.g.decisions.logChange("stopping", "in_flight", s.g.decisions.inFlight(), "drain_delay", s.g.settings.DrainDelay)
	timer := time.NewTimer(s.g.settings.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	err := s.callers.Shutdown(ctx)
	s.g.decisions.logChange("stopped", "in_flight", s.g.decisions.inFlight())
	for _, h := range append(s.auxServers, s.callers) {
		_ = h.Close() // the process exits; nothing is left to save
	}
	s.g.conns.transport.CloseIdleConnections()
	if err != nil {
		return fmt.Errorf("gateway: requests in flight did not end in time: %w", err)
	}
	return nil
}
