// Package gateway is the plug-in that serves routes: it takes HTTP requests of
// callers, finds their route, sends them unchanged to one worker of the
// route's upstream and passes the answer on.
//
// A request moves through the files in this order: server.go (listeners and
// stop), handler.go (route, key, body), choose.go (worker, by package routing), attempt.go and stall.go (one try on a worker), whole.go or
// stream.go (the answer), refuse.go (answers of the router's own), decision.go
// (log and metrics). reach.go and isolation.go find out which
// workers can be reached.
package gateway

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/routing"
)

// part is the name of the plug-in in readiness, addresses and logs.
const part = "gateway"

// pluginID is the dotted ID of the plug-in.
const pluginID = "gateway.gateway"

// Settings is the section [gateway].
type Settings struct {
	// Listen is the address for callers. Required.
	Listen string `ini:"listen" required:"true" check:"hostport"`
	// Readiness is the address that the load balancer asks. Required.
	Readiness string `ini:"readiness" required:"true" check:"hostport"`
	// ReadinessPath is the path that the load balancer asks. Default /readyz.
	ReadinessPath string `ini:"readiness_path" default:"/readyz"`
	// Metrics is the address that serves /metrics. Default none.
	Metrics string `ini:"metrics" check:"hostport"`
	// HeaderBytes bounds the header of a request. Default 65536 bytes.
	HeaderBytes int `ini:"header_bytes" default:"65536" min:"4096" max:"1048576"`
	// BodyBytes bounds the body of a request. Default 4194304 bytes.
	BodyBytes int64 `ini:"body_bytes" default:"4194304" min:"1024" max:"268435456"`
	// HeaderTimeout bounds the time to send a header. Default 5s.
	HeaderTimeout time.Duration `ini:"header_timeout" default:"5s" min:"10ms" max:"5m"`
	// IdleTimeout closes idle connections of callers. It has to exceed the
	// time for which callers keep theirs. Default 1m.
	IdleTimeout time.Duration `ini:"idle_timeout" default:"1m" min:"1s" max:"1h"`
	// DrainDelay is the time during which a stopping router still takes
	// connections, until the load balancer has noticed. Default 3s.
	DrainDelay time.Duration `ini:"drain_delay" default:"3s" min:"0s" max:"5m"`
	// StopWithin bounds a stop; what is in flight then is cut. Default 8s.
	StopWithin time.Duration `ini:"stop_within" default:"8s" min:"1s" max:"1h"`
	// ConnectTimeout bounds one try of a connection setup to a worker; there
	// are two. A worker of the same region answers within a few ms. Default
	// 120ms.
	ConnectTimeout time.Duration `ini:"connect_timeout" default:"120ms" min:"10ms" max:"30s"`
	// SilenceTimeout ends a connection to a worker whose machine does not
	// acknowledge what was sent for so long: two losses in a row and their
	// repeats, which start at 200 ms. Default 700ms.
	SilenceTimeout time.Duration `ini:"silence_timeout" default:"700ms" min:"100ms" max:"5m"`
	// IdlePerWorker bounds the idle connections kept to one worker. Default 16.
	IdlePerWorker int `ini:"idle_per_worker" default:"16" min:"1" max:"256"`
	// WorkerIdleTimeout closes idle connections to workers. It has to be
	// shorter than the time after which workers close theirs, since a request
	// that meets the close has an unknown outcome. Default 2s.
	WorkerIdleTimeout time.Duration `ini:"worker_idle_timeout" default:"2s" min:"100ms" max:"10m"`
	// AnswerBytes bounds an answer that is read whole before it is passed on;
	// the rest of a longer one follows as it arrives. Default 262144 bytes.
	AnswerBytes int `ini:"answer_bytes" default:"262144" min:"1024" max:"67108864"`
	// EventBytes bounds one event of a stream. Default 65536 bytes.
	EventBytes int `ini:"event_bytes" default:"65536" min:"1024" max:"16777216"`
	// LoadBound is the multiple of the mean load of an upstream's workers that
	// no worker should exceed. Default 2.
	LoadBound float64 `ini:"load_bound" default:"2" min:"1.05" max:"100"`
	// RetryRatio is the share of the requests of an upstream that may be sent
	// once more in 10 s. Default 0.1.
	RetryRatio float64 `ini:"retry_ratio" default:"0.1" min:"0" max:"1"`
	// RetrySlack is the number of repeats in 10 s that all routers together
	// may send beyond the ratio. Default 10.
	RetrySlack float64 `ini:"retry_slack" default:"10" min:"0" max:"100000"`
	// Routers is the least number of routers among which RetrySlack is
	// divided, until more are seen. Default 16.
	Routers int `ini:"routers" default:"16" min:"1" max:"100000"`
	// LogLines bounds the lines of one kind in a second; further ones are
	// counted and reported. Default 100.
	LogLines int `ini:"log_lines" default:"100" min:"1" max:"100000"`
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       pluginID,
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module(part, fx.Supply(s.(*Settings)), fx.Provide(New, newScope), fx.Invoke(start))
		},
	})
}

// Params are the parts that the plug-in uses.
type Params struct {
	fx.In

	Settings  *Settings
	Identity  core.Identity
	Config    core.Config
	Workers   core.WorkerList
	Wire      core.HeaderCodec
	Readiness core.Readiness
	Addresses *core.Addresses
	Logger    *log.Logger
	Scope     tally.Scope
	Loads     core.LoadGossip  `optional:"true"`
	Reloader  *kernel.Reloader `optional:"true"`
}

// Gateway serves the routes of the configuration in force.
type Gateway struct {
	settings  *Settings
	identity  core.Identity
	wire      core.HeaderCodec
	readiness core.Readiness
	addresses *core.Addresses
	decisions *decisions
	scope     tally.Scope
	started   time.Time
	loads     core.LoadGossip // nil for none

	routes   routeIndex
	listed   chan struct{} // closed when there is a list of workers
	listOnce sync.Once
	fleet    *routing.Fleet
	upstream *upstream
	reach    *reach

	isolation isolation
	server    *server
}

// New returns a gateway that does not listen yet.
func New(p Params) *Gateway {
	g := &Gateway{
		settings:  p.Settings,
		identity:  p.Identity,
		wire:      p.Wire,
		readiness: p.Readiness,
		addresses: p.Addresses,
		decisions: newDecisions(p.Logger.WithPrefix(part), p.Scope, p.Settings.LogLines),
		scope:     p.Scope,
		started:   time.Now(),
		routes:    routeIndex{first: make(chan struct{})},
		listed:    make(chan struct{}),
		fleet:     routing.New(fleetConfig(p.Identity.FailureDomain, p.Settings)),
		upstream:  newUpstream(p.Settings),
	}
	g.readiness.Require(partConfig)
	g.readiness.Require(partWorkers)
	g.readiness.Require(part)
	if p.Loads != nil {
		g.loads = p.Loads
		p.Loads.SubscribeLoads(func(l []routing.Load) { g.fleet.RecordSharedLoads(g.loads.RouterCount(), l) })
	}
	p.Config.Subscribe(g.applyConfig)
	p.Workers.SubscribeWorkers(g.applyWorkers)
	g.server = newServer(g)
	g.reach = newReach(g)
	if p.Reloader != nil {
		p.Reloader.Subscribe(pluginID, func(s any) { g.reload(s.(*Settings)) })
	}
	return g
}

// Parts whose readiness the plug-in reports beside its own.
const (
	partConfig  = "config"
	partWorkers = "workers"
)

func fleetConfig(domain string, s *Settings) routing.Config {
	return routing.Config{Domain: domain, LoadBound: s.LoadBound, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, MinRouters: s.Routers}
}

// reload takes over the settings that can change while requests run: those of
// the retry budget and of the log. The others take a restart.
func (g *Gateway) reload(s *Settings) {
	g.fleet.Configure(fleetConfig(g.identity.FailureDomain, s))
	g.decisions.setLines(s.LogLines)
	g.decisions.change("settings in force", "retry_ratio", s.RetryRatio, "retry_slack", s.RetrySlack, "routers", s.Routers, "log_lines", s.LogLines)
}

func (g *Gateway) applyConfig(p *core.ConfigRevision) {
	changes := g.routes.apply(p)
	g.readiness.SetReady(partConfig, true, "")
	g.decisions.change("configuration in force", "revision", p.Revision, "routes", len(p.Set.Routes), "callers", len(p.Set.Callers), "upstreams", len(p.Set.Upstreams), "added", changes.added, "removed", changes.removed)
}

func (g *Gateway) applyWorkers(s *routing.WorkerList) {
	changes := g.fleet.Apply(s)
	g.listOnce.Do(func() { close(g.listed) })
	g.readiness.SetReady(partWorkers, true, "")
	for _, c := range changes {
		g.decisions.change("worker "+c.Kind, "worker", c.Worker, "upstream", c.Upstream, "version", s.Version, "workers", len(s.Workers))
	}
	g.noteReach()
}

// newScope returns the scope whose snapshot the metrics address prints.
func newScope() tally.Scope { return tally.NewTestScope("auburnlead", nil) }

func start(g *Gateway, lc fx.Lifecycle) {
	lc.Append(fx.Hook{OnStart: g.server.start, OnStop: g.server.stop})
}
