// Package platform is the plug-in that calls the platform over HTTP and
// provides a store.Client to the other plug-ins.
package platform

import (
	"context"
	"time"

	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/store"
)

// Settings is the settings section [platform].
type Settings struct {
	// URL is the platform's base URL, with an IP address as host. Required.
	URL string `ini:"url" required:"true" check:"url"`
	// Key is sent as Authorization: Bearer. Default none.
	Key string `ini:"key" secret:"true"`
	// Timeout limits one request. 10ms to 1m, default 2s.
	Timeout time.Duration `ini:"timeout" default:"2s" min:"10ms" max:"1m"`
	// ConnectTimeout limits the time to open a connection. 10ms to 1m, default 1s.
	ConnectTimeout time.Duration `ini:"connect_timeout" default:"1s" min:"10ms" max:"1m"`
	// MaxConnections limits the number of connections. When all are in use, a
	// request waits for one within its timeout. 1 to 256, default 8.
	MaxConnections int `ini:"max_connections" default:"8" min:"1" max:"256"`
	// IdleTimeout is the time after which an unused connection is closed. 1s to
	// 10m, default 90s.
	IdleTimeout time.Duration `ini:"idle_timeout" default:"90s" min:"1s" max:"10m"`
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "router.platform",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("platform",
				fx.Supply(s.(*Settings)),
				fx.Provide(provide),
			)
		},
	})
}

func provide(s *Settings, lc fx.Lifecycle) store.Client {
	c := NewClient(s)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { c.Close(); return nil }})
	return c
}
