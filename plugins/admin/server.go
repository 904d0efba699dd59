package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/framing"
)

// Limits of the admin API.
const (
	maxHeaderBytes = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	stopTimeout    = 5 * time.Second
	componentName  = "admin" // name in core.Addresses
)

// Server is the HTTP server of the admin API.
type Server struct {
	settings  *Settings
	addresses *core.Addresses
	log       *log.Logger
	pool      *connlimit.Pool
	http      *http.Server
}

// NewServer returns a server that listens between the start and the stop of lc.
func NewServer(s *Settings, a *core.Addresses, l *log.Logger, api *API, resources connlimit.Resources, lc fx.Lifecycle) *Server {
	server := &Server{settings: s, addresses: a, log: l.WithPrefix("admin"), pool: resources.OrDefault().Connections}
	server.http = &http.Server{
		Handler:           framing.Reject(api.routes(s.Key), rejectAmbiguous),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       s.RequestTimeout,
		WriteTimeout:      2 * s.RequestTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	lc.Append(fx.Hook{OnStart: server.start, OnStop: server.stop})
	return server
}

func (s *Server) start(context.Context) error {
	l, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return fmt.Errorf("admin: %w; set admin.listen to a free address of this VM", err)
	}
	s.addresses.Set(componentName, l.Addr().String())
	s.log.Info("listening", "address", l.Addr().String())
	go func() {
		limits := connlimit.Config{Listener: componentName, Limit: s.maxConnections, Pool: s.pool}
		if err := connlimit.Serve(s.http, l, limits); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("listener failed", "err", err)
		}
	}()
	return nil
}

// maxConnections returns the limit of open connections, which leaves descriptors for
// callers and workers.
func (s *Server) maxConnections() int {
	return min(s.settings.MaxConnections, connlimit.ForAux())
}

func (s *Server) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		return s.http.Close()
	}
	return nil
}

// rejectAmbiguous responds with 400 to a request whose end is ambiguous.
func rejectAmbiguous(w http.ResponseWriter, err error) {
	writeError(w, core.NewProblem(core.KindInvalidRequest, "%v", err))
}

// requireKey returns middleware that responds with 401 to requests without the
// operators' key. It compares digests, which have equal lengths, so that the
// duration of the comparison reveals nothing about the key.
func requireKey(key string) mux.MiddlewareFunc {
	want := sha256.Sum256([]byte(key))
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			given, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			got := sha256.Sum256([]byte(given))
			if !ok || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
				core.WriteProblem(w, core.NewProblem(core.KindUnauthorized, "the admin API needs the operators' key"), "")
				return
			}
			next.ServeHTTP(w, r)
		})
	}
}
