// Package orders is the plug-in that loads and unloads models: one router for
// each upstream holds the order lease, compares what the workers report with
// what the configuration wants, and sends the orders that are missing.
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
	// WeightLoadsPerMinute bounds the loads of all routers together. The same
	// on all routers. 1 to 600, default 6.
	WeightLoadsPerMinute int `ini:"weight_loads_per_minute" default:"6" min:"1" max:"600"`
	// LeaseTime is how long the order lease lasts after a renewal. The same on
	// all routers. 1s to 5m, default 10s.
	LeaseTime time.Duration `ini:"lease_time" default:"10s" min:"1s" max:"5m"`
	// LeaseMargin is the share of LeaseTime by which a holder stops early.
	// 0.01 to 0.5, default 0.05.
	LeaseMargin float64 `ini:"lease_margin" default:"0.05" min:"0.01" max:"0.5"`
	// Renew is the interval of renewals. 100ms to 1m, default 3s.
	Renew time.Duration `ini:"renew" default:"3s" min:"100ms" max:"1m"`
	// Candidates is the number of routers that compete for the lease of one
	// upstream. 1 to 64, default 3.
	Candidates int `ini:"candidates" default:"3" min:"1" max:"64"`
	// Interval is the time between two rounds of row accesses and
	// comparisons. 50ms to 1m, default 1s.
	Interval time.Duration `ini:"interval" default:"1s" min:"50ms" max:"1m"`
	// Reports bounds the workers that are compared in one round. 1 to 256,
	// default 8, which is about 3 KB/s.
	Reports int `ini:"reports" default:"8" min:"1" max:"256"`
	// OrderTimeout bounds one order. 50ms to 1m, default 2s.
	OrderTimeout time.Duration `ini:"order_timeout" default:"2s" min:"50ms" max:"1m"`
	// CallTimeout bounds calls to the platform's table. 20ms to 1m, default 1s.
	CallTimeout time.Duration `ini:"call_timeout" default:"1s" min:"20ms" max:"1m"`
	// LoadPatience is how long an accepted order may take to show in the load
	// report before it is sent again. 1s to 1h, default 2m.
	LoadPatience time.Duration `ini:"load_patience" default:"2m" min:"1s" max:"1h"`
	// BackoffBase and BackoffMax bound the delay after a failed order.
	// 100ms to 1h, defaults 2s and 1m.
	BackoffBase time.Duration `ini:"backoff_base" default:"2s" min:"100ms" max:"1h"`
	BackoffMax  time.Duration `ini:"backoff_max" default:"1m" min:"100ms" max:"1h"`
}

// Validate checks the rules across fields.
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

// Params are the parts that the plug-in uses.
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

// start runs the rounds between the start and the stop of the router. The stop
// hook releases the leases once no order is in flight.
func start(lc fx.Lifecycle, m *Manager, b *core.BackgroundPool) {
	lc.Append(fx.StartStopHook(func() {
		b.Every(m.s.Interval, 0.1, m.leaseTurn)
		b.Every(m.s.Interval, 0.1, m.compareTurn)
	}, m.stop))
}
