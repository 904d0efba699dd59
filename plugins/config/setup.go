// Package config is the plug-in that keeps the newest published configuration
// in force in this router. It polls the pointer row, follows announcements of
// peers, and serves the content that it has to peers.
package config

import (
	"time"

	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
)

// Settings is the section [config].
type Settings struct {
	// PollPeriod is the period of reading the pointer row. 400 routers at 3 s
	// make 133 reads a second. 500ms to 8s, default 3s.
	PollPeriod time.Duration `ini:"poll_period" default:"3s" min:"500ms" max:"8s"`
	// FetchTimeout bounds the fetch of one revision; the next poll goes on
	// with what is still missing. 1s to 60s, default 10s.
	FetchTimeout time.Duration `ini:"fetch_timeout" default:"10s" min:"1s" max:"60s"`
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "router.config",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("config",
				fx.Supply(s.(*Settings)),
				fx.Provide(fx.Annotate(NewFollower, fx.As(fx.Self()), fx.As(new(core.Config)), fx.As(new(core.RevisionSink)), fx.As(new(core.ObjectSource)))),
				fx.Invoke(join),
			)
		},
	})
}

// optional are the parts that a router may run without.
type optional struct {
	fx.In
	Peers core.ObjectFetcher `optional:"true"`
}

// join connects the follower with the peers after both exist: the peer plug-in
// itself needs the follower.
func join(f *Follower, o optional) { f.setPeers(o.Peers) }
