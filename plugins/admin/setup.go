// Package admin is the plug-in that serves the operators' API, health, readiness
// and metrics. It has its own listener and its own key.
package admin

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/kernel"
)

// Settings is the section [admin].
type Settings struct {
	// Listen is the address of the admin API. Default 127.0.0.1:8090.
	Listen string `ini:"listen" default:"127.0.0.1:8090" check:"hostport"`
	// Key is the bearer key of the operators. Required.
	Key string `ini:"key" required:"true" secret:"true"`
	// MaxConnections bounds the open connections, as does a sixteenth of the
	// descriptors of the process. For further ones the connection that has waited
	// longest for a request is closed. 1 to 4096, default 64.
	MaxConnections int `ini:"max_connections" default:"64" min:"1" max:"4096"`
	// RequestTimeout bounds one request, including the time to receive its
	// body. 1s to 5m, default 30s.
	RequestTimeout time.Duration `ini:"request_timeout" default:"30s" min:"1s" max:"5m"`
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "router.admin",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("admin",
				fx.Supply(s.(*Settings)),
				fx.Provide(NewScope, NewAPI, NewServer),
				fx.Invoke(func(*Server) {}),
			)
		},
	})
}

// NewScope returns the root scope of the router's metrics. It keeps totals for
// /metrics and has no other reporter. Timers are not kept; use histograms instead.
func NewScope() tally.Scope {
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "auburnlead", Separator: "_", Reporter: tally.NullStatsReporter, OmitCardinalityMetrics: true,
	}, 0)
	return scope
}
