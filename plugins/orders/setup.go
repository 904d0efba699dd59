// Package orders is the plug-in that loads and unloads models. For each managed
// upstream, one router holds the order lease. It compares the models that the
// workers report with those in the configuration and sends the load and unload
// orders that make up the difference.
package orders

import (
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/settings"
	"github.com/auburnlead/auburnlead/store"
)

// Settings is the section [orders].
type Settings struct {
	// WeightLoadsPerMinute bounds the model loads that all routers together
	// order per minute. Must be the same on all routers. 1 to 600, default 6.
	WeightLoadsPerMinute int `ini:"weight_loads_per_minute" default:"6" min:"1" max:"600"`
	// LeaseTime is how long an order lease is valid after a renewal. Must be the
	// same on all routers. 1s to 5m, default 10s.
	LeaseTime time.Duration `ini:"lease_time" default:"10s" min:"1s" max:"5m"`
	// LeaseMargin is the clock margin: the fraction of LeaseTime by which a
	// holder stops acting before the lease expires. 0.01 to 0.5, default 0.05.
	LeaseMargin float64 `ini:"lease_margin" default:"0.05" min:"0.01" max:"0.5"`
	// Renew is the interval between renewals. 100ms to 1m, default 3s.
	Renew time.Duration `ini:"renew" default:"3s" min:"100ms" max:"1m"`
	// Candidates is the number of routers that compete for the lease of one
	// upstream. 1 to 64, default 3.
	Candidates int `ini:"candidates" default:"3" min:"1" max:"64"`
	// Interval is the interval between lease rounds, and between reconcile
	// rounds. 50ms to 1m, default 1s.
	Interval time.Duration `ini:"interval" default:"1s" min:"50ms" max:"1m"`
	// Reports bounds the workers whose load reports are read in one round. 1 to
	// 256, default 8, which causes about 3 KB/s of traffic.
	Reports int `ini:"reports" default:"8" min:"1" max:"256"`
	// OrderTimeout bounds one order. 50ms to 1m, default 2s.
	OrderTimeout time.Duration `ini:"order_timeout" default:"2s" min:"50ms" max:"1m"`
	// CallTimeout bounds calls to the platform's table. 20ms to 1m, default 1s.
	CallTimeout time.Duration `ini:"call_timeout" default:"1s" min:"20ms" max:"1m"`
	// LoadPatience is how long after its acceptance an order may take until the
	// worker's load report shows its effect. After that it counts as failed and
	// is retried. 1s to 1h, default 2m.
	LoadPatience time.Duration `ini:"load_patience" default:"2m" min:"1s" max:"1h"`
	// BackoffBase and BackoffMax bound the delay after a failed order.
	// 100ms to 1h, defaults 2s and 1m.
	BackoffBase time.Duration `ini:"backoff_base" default:"2s" min:"100ms" max:"1h"`
	BackoffMax  time.Duration `ini:"backoff_max" default:"1m" min:"100ms" max:"1h"`
}

// Validate checks the rules that involve several fields.
func (s *Settings) Validate() []settings.Problem {
	var problems []settings.Problem
	if s.Renew*3 > s.LeaseTime {
		problems = append(problems, settings.Problem{Key: "renew", Detail: "more than a third of lease_time", Allowed: "at most lease_time / 3", Remedy: "lower renew or raise lease_time"})
	}
	if s.OrderTimeout*2 > s.LeaseTime {
		problems = append(problems, settings.Problem{Key: "order_timeout", Detail: "more than half of lease_time", Allowed: "at most lease_time / 2", Remedy: "lower order_timeout or raise lease_time"})
	}
	if s.BackoffMax < s.BackoffBase {
		problems = append(problems, settings.Problem{Key: "backoff_max", Detail: "below backoff_base", Allowed: "at least backoff_base", Remedy: "raise backoff_max or lower backoff_base"})
	}
	return problems
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "router.orders",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("orders",
				fx.Supply(s.(*Settings)),
				fx.Provide(fx.Private, newFromParams),
				fx.Invoke(start),
			)
		},
	})
}

// Params are the dependencies of the plug-in.
type Params struct {
	fx.In

	Settings *Settings
	Identity core.Identity
	Config   core.Config
	Platform store.Client
	Probe    core.LoadProbe
	Orders   core.OrderClient
	Logger   *log.Logger
	Members  core.Membership `optional:"true"`
	Scope    tally.Scope     `optional:"true"`
}

func newFromParams(p Params) *Manager {
	if p.Scope == nil {
		p.Scope = tally.NoopScope
	}
	return newManager(p, p.Platform, time.Now, rand.Float64)
}

// start runs lease and reconcile rounds while the router runs. When it stops,
// the leases are released once no order is in flight.
func start(lc fx.Lifecycle, m *Manager, b *core.BackgroundPool) {
	lc.Append(fx.StartStopHook(func() {
		b.Every(m.settings.Interval, 0.1, m.leaseRound)
		b.Every(m.settings.Interval, 0.1, m.reconcileRound)
	}, m.stop))
}
