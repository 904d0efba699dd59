// Package caller is the plug-in that serves the caller API: chat completions,
// the list of models and calls to plain services.
package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
)

// componentName is the name of the plug-in in core.Readiness and core.Addresses.
const componentName = "caller"

// Settings is the section [caller].
type Settings struct {
	// Listen is the address of the caller API. Default 127.0.0.1:8080.
	Listen string `ini:"listen" default:"127.0.0.1:8080" check:"hostport" required:"true"`
	// MaxConnections limits the number of open connections, as does half of the
	// descriptors of the process. For further ones the connection that has waited
	// longest for a request is closed. Default 8192.
	MaxConnections int `ini:"max_connections" default:"8192" min:"1" max:"1000000"`
	// BodyBytes limits the body of a request. Default 4194304 bytes.
	BodyBytes int64 `ini:"body_bytes" default:"4194304" min:"1024" max:"268435456"`
	// AnswerBytes limits the size of a buffered response. Default 8388608 bytes.
	AnswerBytes int `ini:"answer_bytes" default:"8388608" min:"1024" max:"268435456"`
	// HeaderBytes limits the header of a request. Default 32768 bytes.
	HeaderBytes int `ini:"header_bytes" default:"32768" min:"4096" max:"1048576"`
	// HeaderTimeout limits the time to receive a request header. Default 5s.
	HeaderTimeout time.Duration `ini:"header_timeout" default:"5s" min:"10ms" max:"5m"`
	// BodyTimeout limits the time to receive a request body. Default 30s.
	BodyTimeout time.Duration `ini:"body_timeout" default:"30s" min:"10ms" max:"10m"`
	// WriteTimeout limits the time of one write to the caller. A stream that
	// makes progress is not interrupted. Default 20s.
	WriteTimeout time.Duration `ini:"write_timeout" default:"20s" min:"10ms" max:"10m"`
	// IdleTimeout is the time after which idle connections are closed. Default
	// 2m.
	IdleTimeout time.Duration `ini:"idle_timeout" default:"2m" min:"1s" max:"1h"`
	// DrainDelay is the time during which a router that is shutting down still
	// accepts new requests, so that the load balancer can remove it first.
	// Default 3s.
	DrainDelay time.Duration `ini:"drain_delay" default:"3s" min:"0s" max:"5m"`
	// DefaultMaxTokens is the expected length of a response, in tokens, for
	// requests without a limit of their own. It is part of the cost estimate and
	// isn't sent to the engine. Default 512.
	DefaultMaxTokens int64 `ini:"default_max_tokens" default:"512" min:"1" max:"1000000"`
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "router.caller",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("caller", fx.Supply(s.(*Settings)), fx.Provide(New), fx.Invoke(start))
		},
	})
}

// Params are the dependencies of the plug-in.
type Params struct {
	fx.In

	Settings   *Settings
	Config     core.Config
	Dispatcher core.Dispatcher
	Readiness  core.Readiness
	Addresses  *core.Addresses
	Logger     *log.Logger
	Scope      tally.Scope `optional:"true"`
	Identity   core.Identity
	Resources  connlimit.Resources
}

// Server serves the caller API.
type Server struct {
	settings   *Settings
	config     core.Config
	dispatcher core.Dispatcher
	readiness  core.Readiness
	addresses  *core.Addresses
	log        *log.Logger
	metrics    *metrics
	keys       keyring
	requests   *requestTracker
	bytes      *bytebudget.Budget // bytes held for callers
	pool       *connlimit.Pool
	http       *http.Server
}

// New returns a server that does not listen yet.
func New(p Params) *Server {
	if p.Scope == nil {
		p.Scope = tally.NoopScope
	}
	resources := p.Resources.OrDefault()
	s := &Server{
		settings:   p.Settings,
		config:     p.Config,
		dispatcher: p.Dispatcher,
		readiness:  p.Readiness,
		addresses:  p.Addresses,
		log:        p.Logger.WithPrefix("caller"),
		metrics:    newMetrics(p.Scope.SubScope("caller")),
		requests:   newRequestTracker(),
		bytes:      resources.Bytes,
		pool:       resources.Connections,
	}
	s.readiness.Require(componentName)
	s.config.Subscribe(s.keys.update)
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: p.Settings.HeaderTimeout,
		IdleTimeout:       p.Settings.IdleTimeout,
		MaxHeaderBytes:    p.Settings.HeaderBytes,
		ErrorLog:          s.log.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}),
	}
	return s
}

func start(s *Server, lc fx.Lifecycle) { lc.Append(fx.Hook{OnStart: s.Start, OnStop: s.Stop}) }

// Start opens the listener and serves requests in the background.
func (s *Server) Start(ctx context.Context) error {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", s.settings.Listen)
	if err != nil {
		return fmt.Errorf("caller: %w; set caller.listen to a free address of this VM", err)
	}
	s.addresses.Set(componentName, l.Addr().String())
	go s.serve(l)
	s.readiness.SetReady(componentName, true, "")
	s.log.Info("listening", "address", l.Addr().String())
	return nil
}

// maxConnections returns the limit of open connections, which leaves descriptors for
// workers and peers.
func (s *Server) maxConnections() int {
	return min(s.settings.MaxConnections, connlimit.ForProcess())
}

func (s *Server) serve(l net.Listener) {
	limits := connlimit.Config{Listener: componentName, Limit: s.maxConnections, Pool: s.pool}
	if err := connlimit.Serve(s.http, l, limits); err != http.ErrServerClosed {
		s.log.Error("listener failed", "error", err)
		s.readiness.SetReady(componentName, false, "listener failed")
	}
}

// Stop shuts the server down gracefully: the router reports not ready, serves
// requests for DrainDelay, refuses new ones, waits for those in flight and closes
// the listener.
func (s *Server) Stop(ctx context.Context) error {
	s.readiness.SetReady(componentName, false, "shutting down")
	s.log.Info("stopping", "drain_delay", s.settings.DrainDelay)
	timer := time.NewTimer(s.settings.DrainDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	select {
	case <-s.requests.close():
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return fmt.Errorf("caller: requests in flight did not end in time: %w", err)
	}
	return nil
}
