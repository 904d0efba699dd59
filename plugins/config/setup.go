// Package config is the plug-in that keeps the newest published configuration
// active in this router. It polls the pointer row, which names the newest
// revision, fetches revisions that peers announce, and serves its configuration
// objects to peers.
package config

import (
	"time"

	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
)

// Settings is the settings section [config].
type Settings struct {
	// PollPeriod is the interval at which the pointer row is read. 400 routers at
	// 3 s make 133 reads a second. 500ms to 8s, default 3s.
	PollPeriod time.Duration `ini:"poll_period" default:"3s" min:"500ms" max:"8s"`
	// FetchTimeout limits the fetch of one revision; the next poll continues with
	// the objects that are still missing. 1s to 60s, default 10s.
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
				fx.Invoke(connectPeers),
			)
		},
	})
}

// optionalParams are the dependencies that a router can run without.
type optionalParams struct {
	fx.In
	Peers core.ObjectFetcher `optional:"true"`
}

// connectPeers passes the peers to the follower after both exist, because the
// peer plug-in itself depends on the follower.
func connectPeers(f *Follower, o optionalParams) { f.setPeers(o.Peers) }
