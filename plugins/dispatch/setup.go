// Package dispatch is the plug-in that runs requests: it chooses candidate
// workers for a request, acquires a slot from the router that holds the worker's
// lease, sends attempts, resumes and retries them, and ensures that at-most-once
// requests run at most once.
package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/ledger"
	"github.com/auburnlead/auburnlead/retry"
	"github.com/auburnlead/auburnlead/store"
)

// Settings is the section [dispatch].
type Settings struct {
	// MaxWait is the longest time that a request waits for a slot. An earlier
	// deadline of the request or max_duration of its rank shortens it. Default
	// 30s.
	MaxWait time.Duration `ini:"max_wait" default:"30s" min:"100ms" max:"10m"`
	// HolderWait is the longest time for which slot requests are retried while
	// no router holds the workers' leases. A takeover takes up to 12 s.
	// Default 15s.
	HolderWait time.Duration `ini:"holder_wait" default:"15s" min:"0s" max:"10m"`
	// MaxAttempts limits the attempts of one request. Default 4.
	MaxAttempts int `ini:"max_attempts" default:"4" min:"1" max:"16"`
	// MaxResumes limits the resumptions of one attempt. Default 3.
	MaxResumes int `ini:"max_resumes" default:"3" min:"0" max:"16"`
	// RetryRatio is the number of retries allowed for each success of the last
	// 10 s. Default 0.1.
	RetryRatio float64 `ini:"retry_ratio" default:"0.1" min:"0" max:"1"`
	// RetryMinimum is the number of retries per second that are always allowed,
	// so that a router with little traffic can retry. Default 1.
	RetryMinimum float64 `ini:"retry_minimum" default:"1" min:"0" max:"1000"`
	// BackoffBase is the maximum delay before the first retry. It doubles with
	// each retry up to BackoffMax. Defaults 20ms and 1s.
	BackoffBase time.Duration `ini:"backoff_base" default:"20ms" min:"1ms" max:"10s"`
	BackoffMax  time.Duration `ini:"backoff_max" default:"1s" min:"1ms" max:"1m"`
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "router.dispatch",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("dispatch",
				fx.Supply(s.(*Settings)),
				// The attempt registry is provided on its own, since
				// plugins/peer depends on it and the dispatcher depends on
				// plugins/peer.
				fx.Provide(newRegistryFromIdentity, fx.Annotate(func(a *AttemptRegistry) core.AttemptRegistry { return a })),
				fx.Provide(newWithLedger, func(d *Dispatcher) core.Dispatcher { return d }),
			)
		},
	})
}

// Params are the dependencies of the plug-in.
type Params struct {
	fx.In

	Settings   *Settings
	Identity   core.Identity
	Config     core.Config
	Attempts   *AttemptRegistry
	Slots      core.SlotClient
	Engines    core.EngineClient
	Services   core.ServiceClient
	Platform   store.Client
	Background *core.BackgroundPool
	Logger     *log.Logger
	Lifecycle  fx.Lifecycle
	Health     core.WorkerHealthSink  `optional:"true"`
	Peers      core.PeerAttemptClient `optional:"true"`
	Scope      tally.Scope            `optional:"true"`
}

func newRegistryFromIdentity(id core.Identity) *AttemptRegistry {
	return NewAttemptRegistry(id.Router, id.Incarnation)
}

func newWithLedger(p Params) *Dispatcher {
	d := New(p)
	l := ledger.New(p.Platform, p.Platform.Objects(), ledger.Options{Now: time.Now, After: time.After})
	d.ledger = l
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			p.Background.Every(reinstatementInterval, 0.1, func(context.Context) { d.health.reportReinstated(time.Now()) })
			p.Background.Every(sweepInterval, 0.5, d.sweep(l))
			return nil
		},
		OnStop: func(ctx context.Context) error { closeLedger(ctx, l); return nil },
	})
	return d
}

// sweepInterval is the interval at which a router checks whether a sweep of the
// ledger is due. 400 routers then cause one read of the platform every 9 s.
const sweepInterval = time.Hour

func (d *Dispatcher) sweep(l *ledger.Ledger) func(context.Context) {
	return func(ctx context.Context) {
		if n, err := l.Sweep(ctx); err != nil {
			d.log.Warn("ledger sweep failed; the next sweep processes the remaining rows", "deleted", n, "error", err)
		}
	}
}

// ledgerCloseTimeout is the longest wait at shutdown for outcomes that are not
// recorded yet. A row that stays claimed counts as unknown once the router no
// longer exists.
const ledgerCloseTimeout = 10 * time.Second

func closeLedger(ctx context.Context, l *ledger.Ledger) {
	ctx, cancel := context.WithTimeout(ctx, ledgerCloseTimeout)
	defer cancel()
	l.Close(ctx)
}

// maxAttemptLines limits the log lines on failed attempts per second; further ones are
// suppressed and counted.
const maxAttemptLines = 100

// New returns a dispatcher without a ledger, which refuses at-most-once
// requests. It subscribes to the configuration.
func New(p Params) *Dispatcher {
	if p.Scope == nil {
		p.Scope = tally.NoopScope
	}
	d := &Dispatcher{
		settings: p.Settings,
		domain:   p.Identity.FailureDomain,
		router:   p.Identity.Router,
		attempts: p.Attempts,
		slots:    p.Slots,
		engines:  p.Engines,
		services: p.Services,
		peers:    p.Peers,
		submit:   p.Background.Submit,
		budget:   retry.NewBudget(p.Settings.RetryRatio, p.Settings.RetryMinimum),
		backoff:  retry.Backoff{Base: p.Settings.BackoffBase, Max: p.Settings.BackoffMax},
		health:   newWorkerHealth(p.Health),
		metrics:  newMetrics(p.Scope.SubScope("dispatch")),
		log:      p.Logger.WithPrefix("dispatch"),
		lines:    boundedlog.New(p.Logger.WithPrefix("dispatch"), maxAttemptLines),
		random:   rand.Float64,
	}
	p.Config.Subscribe(d.apply)
	return d
}
