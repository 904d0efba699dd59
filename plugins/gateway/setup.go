// Package gateway is the plug-in that serves routes. It accepts HTTP requests
// of callers, finds their route, sends them unchanged to one worker of the
// route's upstream and forwards the response.
//
// A request passes through the files in this order: server.go (listeners,
// shutdown), handler.go (route, API key), body.go (body, memory), choose.go (worker, with package
// routing), attempt.go and stall.go (one attempt on a worker), buffered.go for
// buffered responses or stream.go for streams, refuse.go (responses of the
// router itself), decision.go (log and metrics). reachability.go and isolation.go
// track which workers are reachable, quarantine.go which requests crash them,
// ratelimit.go how many requests they take, coldworkers.go which of them have just
// started, pauses.go which of them other routers have to spare, evacuation.go in which
// failure domains they may get none, room.go which upstreams are full, speeds.go
// how fast workers are. callerconns.go tells a stop which connections are in use.
// explain.go tells operators what would be decided.
package gateway

import (
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/routing"
)

// componentName is the name of the plug-in in readiness, addresses and logs.
const componentName = "gateway"

// pluginID is the dotted ID of the plug-in.
const pluginID = "gateway.gateway"

// Settings is the settings section [gateway].
type Settings struct {
	// Listen is the address for callers. Required.
	Listen string `ini:"listen" required:"true" check:"hostport"`
	// Readiness is the address of the readiness check of the load balancer.
	// Required.
	Readiness string `ini:"readiness" required:"true" check:"hostport"`
	// ReadinessPath is the path of the readiness check. Default /readyz.
	ReadinessPath string `ini:"readiness_path" default:"/readyz"`
	// Metrics is the address that serves /metrics and /explain. Default none.
	Metrics string `ini:"metrics" check:"hostport"`
	// HeaderBytes limits the header of a request. Default 65536 bytes.
	HeaderBytes int `ini:"header_bytes" default:"65536" min:"4096" max:"1048576"`
	// BodyBytes limits the body of a request. Default 4194304 bytes.
	BodyBytes int64 `ini:"body_bytes" default:"4194304" min:"1024" max:"268435456"`
	// HeaderTimeout limits the time for reading a request header. Default 5s.
	HeaderTimeout time.Duration `ini:"header_timeout" default:"5s" min:"10ms" max:"5m"`
	// IdleTimeout closes idle connections of callers. It has to be longer than the
	// time for which callers keep idle connections open. Default 1m.
	IdleTimeout time.Duration `ini:"idle_timeout" default:"1m" min:"1s" max:"1h"`
	// DrainDelay is how long a router that shuts down still accepts connections,
	// so that the load balancer has time to notice. Default 3s.
	DrainDelay time.Duration `ini:"drain_delay" default:"3s" min:"0s" max:"5m"`
	// StopWithin limits the duration of a shutdown; requests still in flight then
	// are aborted. Default 8s.
	StopWithin time.Duration `ini:"stop_within" default:"8s" min:"1s" max:"1h"`
	// ConnectTimeout limits one connection attempt to a worker; one that times out
	// is retried once. A worker of the same region accepts within a few ms.
	// Default 120ms.
	ConnectTimeout time.Duration `ini:"connect_timeout" default:"120ms" min:"10ms" max:"30s"`
	// SilenceTimeout closes a connection to a worker whose machine does not
	// acknowledge sent data for this long. It leaves time for two packet losses in
	// a row and their retransmissions, which start at 200 ms. Default 700ms.
	SilenceTimeout time.Duration `ini:"silence_timeout" default:"700ms" min:"100ms" max:"5m"`
	// IdlePerWorker limits the idle connections kept to one worker. Default 16.
	IdlePerWorker int `ini:"idle_per_worker" default:"16" min:"1" max:"256"`
	// WorkerIdleTimeout closes idle connections to workers. It has to be shorter
	// than the idle timeout of the workers, because a request sent while the
	// worker closes the connection has an unknown outcome. Default 2s.
	WorkerIdleTimeout time.Duration `ini:"worker_idle_timeout" default:"2s" min:"100ms" max:"10m"`
	// AnswerBytes limits how much of a response is buffered before it is
	// forwarded; the rest of a longer one is forwarded as it arrives. Default
	// 262144 bytes.
	AnswerBytes int `ini:"answer_bytes" default:"262144" min:"1024" max:"67108864"`
	// MaxAnswerBytes limits a response that is not a stream of events. The
	// connection of the caller is closed at the limit, so that bytes without end
	// do not look like a complete response. Default 67108864 bytes.
	MaxAnswerBytes int64 `ini:"max_answer_bytes" default:"67108864" min:"1024" max:"1099511627776"`
	// WriteTimeout closes the connection of a caller that does not read its
	// response for this long. Default 30s.
	WriteTimeout time.Duration `ini:"write_timeout" default:"30s" min:"1s" max:"1h"`
	// EventBytes limits the size of one event of a stream. Default 65536 bytes.
	EventBytes int `ini:"event_bytes" default:"65536" min:"1024" max:"16777216"`
	// LoadBound is the multiple of the mean load of an upstream's workers that no
	// worker should exceed. Default 2.
	LoadBound float64 `ini:"load_bound" default:"2" min:"1.05" max:"100"`
	// LearnSpeed makes workers that take at least twice as long as the others of their
	// upstream get fewer requests. Default true.
	LearnSpeed bool `ini:"learn_speed" default:"true"`
	// LeavingGrace is how long a worker that says in a response that it leaves still
	// gets requests that no other worker takes. It has to be shorter than the time for
	// which workers keep serving after that. Default 1s.
	LeavingGrace time.Duration `ini:"leaving_grace" default:"1s" min:"0s" max:"10m"`
	// MaxPause limits the time for which a worker gets no requests because it turned
	// one away with a Retry-After; a new process of it gets requests before that.
	// Default 24h.
	MaxPause time.Duration `ini:"max_pause" default:"24h" min:"1s" max:"8760h"`
	// RetryRatio is the fraction of an upstream's requests in 10 s that may be
	// retried. Default 0.1.
	RetryRatio float64 `ini:"retry_ratio" default:"0.1" min:"0" max:"1"`
	// RetrySlack is the number of retries in 10 s that all routers together may
	// send in addition to the ratio. Default 10.
	RetrySlack float64 `ini:"retry_slack" default:"10" min:"0" max:"100000"`
	// Routers is the minimum number of routers among which RetrySlack is divided;
	// if more are known, their number is used. Default 16.
	Routers int `ini:"routers" default:"16" min:"1" max:"100000"`
	// AdmissionControl refuses requests at the router while the workers of their
	// upstream reject requests for lack of room. Default true.
	AdmissionControl bool `ini:"admission_control" default:"true"`
	// ColdOver and ColdSlack bound the requests of all routers to a cold worker in any
	// second: ColdOver times the upstream's cold rate, plus ColdSlack. Without a cold rate
	// there is no bound. Default 1 and 0.
	ColdOver  float64 `ini:"cold_over" default:"1" min:"0.1" max:"100"`
	ColdSlack float64 `ini:"cold_slack" default:"0" min:"0" max:"100000"`
	// MaxRouters is the number of routers that a router assumes for the bound on cold
	// workers until another router has told it one. Default 400.
	MaxRouters int `ini:"max_routers" default:"400" min:"1" max:"100000"`
	// LogLines limits the log lines of one kind per second; further ones are
	// suppressed and counted. Default 100.
	LogLines int `ini:"log_lines" default:"100" min:"1" max:"100000"`
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       pluginID,
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module(componentName, fx.Supply(s.(*Settings)), fx.Provide(New, newScope), fx.Invoke(start))
		},
	})
}

// Params are the dependencies of the plug-in.
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

	Extensions  core.ExtensionGossip `optional:"true"`
	Evacuations core.Evacuations
	Resources   connlimit.Resources
}

// Gateway serves the routes of the active configuration revision.
type Gateway struct {
	settings  *Settings
	identity  core.Identity
	wire      core.HeaderCodec
	readiness core.Readiness
	addresses *core.Addresses
	log       *log.Logger
	decisions *decisionLog
	scope     tally.Scope
	started   time.Time
	loads     core.LoadGossip // nil if routers do not share loads

	routes            routeIndex
	workersListed     chan struct{} // closed when the first worker list has arrived
	workersListedOnce sync.Once
	fleet             *routing.Fleet
	conns             *workerConns
	bytes             *bytebudget.Budget // bytes held for callers
	connections       *connlimit.Pool
	reachability      *reachability
	crashes           *crashDetector
	limits            *rateLimits
	pauses            *sharedPauses
	evacuatedDomains  tally.Gauge
	room              *roomControl
	cold              *coldWorkers
	speeds            *speeds

	isolation isolation
	server    *server
}

// New returns a gateway that does not listen yet.
func New(p Params) *Gateway {
	resources := p.Resources.OrDefault()
	g := &Gateway{
		settings:      p.Settings,
		identity:      p.Identity,
		wire:          p.Wire,
		readiness:     p.Readiness,
		addresses:     p.Addresses,
		log:           p.Logger.WithPrefix(componentName),
		scope:         p.Scope,
		started:       time.Now(),
		routes:        routeIndex{loaded: make(chan struct{})},
		workersListed: make(chan struct{}),
		fleet:         routing.New(fleetConfig(p.Identity.FailureDomain, p.Settings)),
		conns:         newWorkerConns(p.Settings),
		bytes:         resources.Bytes,
		connections:   resources.Connections,

		evacuatedDomains: p.Scope.SubScope(componentName).Gauge("evacuated_domains"),
	}
	g.decisions = newDecisionLog(g.log, p.Scope, p.Settings.LogLines)
	g.crashes = newCrashDetector(g, p.Extensions)
	g.limits = newRateLimits(g, p.Extensions)
	g.pauses = newSharedPauses(g, p.Extensions)
	g.room = newRoomControl(g, p.Extensions)
	g.cold = newColdWorkers(g, p.Extensions)
	g.speeds = newSpeeds(g, p.Extensions)
	g.readiness.Require(componentConfig)
	g.readiness.Require(componentWorkers)
	g.readiness.Require(componentName)
	if p.Loads != nil {
		g.loads = p.Loads
		p.Loads.SubscribeLoads(g.recordSharedLoads)
	}
	if p.Evacuations != nil { // nil in tests
		p.Evacuations.SubscribeEvacuations(g.applyEvacuations)
	}
	p.Config.Subscribe(g.applyConfig)
	p.Workers.SubscribeWorkers(g.applyWorkers)
	g.server = newServer(g)
	g.reachability = newReachability(g)
	if p.Reloader != nil {
		p.Reloader.Subscribe(pluginID, func(s any) { g.reload(s.(*Settings)) })
	}
	return g
}

// Components whose readiness the plug-in reports in addition to its own.
const (
	componentConfig  = "config"
	componentWorkers = "workers"
)

func fleetConfig(domain string, s *Settings) routing.Config {
	return routing.Config{Domain: domain, LoadBound: s.LoadBound, RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, MinRouters: s.Routers, LeavingGrace: s.LeavingGrace, MaxPause: s.MaxPause, LearnSpeed: s.LearnSpeed, ColdOver: s.ColdOver, ColdSlack: s.ColdSlack, MaxRouters: s.MaxRouters}
}

// reload applies the settings that can change without a restart: the load bound,
// whether speeds are learned, the leaving grace, the longest pause, the bound on cold
// workers and the settings of the retry budget and of the log.
func (g *Gateway) reload(s *Settings) {
	g.fleet.Configure(fleetConfig(g.identity.FailureDomain, s))
	g.decisions.lines.SetMaxLines(s.LogLines)
	g.decisions.logChange("settings in force", "retry_ratio", s.RetryRatio, "retry_slack", s.RetrySlack, "routers", s.Routers, "leaving_grace", s.LeavingGrace, "max_pause", s.MaxPause, "cold_over", s.ColdOver, "cold_slack", s.ColdSlack, "max_routers", s.MaxRouters, "learn_speed", s.LearnSpeed, "log_lines", s.LogLines)
}

func (g *Gateway) applyConfig(revision *core.ConfigRevision) {
	changes := g.routes.apply(revision)
	g.room.setUpstreams()
	g.fleet.ConfigureUpstreams(upstreamConfigs(revision.Set))
	g.cold.update()
	g.readiness.SetReady(componentConfig, true, "")
	g.decisions.logChange("configuration in force", "revision", revision.Revision, "routes", len(revision.Set.Routes), "callers", len(revision.Set.Callers), "upstreams", len(revision.Set.Upstreams), "added", changes.added, "removed", changes.removed)
}

// upstreamConfigs returns the configuration of the upstreams that package routing needs.
func upstreamConfigs(set *objects.Set) map[string]routing.UpstreamConfig {
	configs := make(map[string]routing.UpstreamConfig, len(set.Upstreams))
	for name, u := range set.Upstreams {
		configs[name] = routing.UpstreamConfig{ColdStart: u.ColdStart, ColdRate: u.ColdRate, KVCapacity: u.KVCapacity}
	}
	return configs
}

func (g *Gateway) applyWorkers(list *routing.WorkerList) {
	changes := g.fleet.Apply(list)
	g.room.setUpstreams()
	g.workersListedOnce.Do(func() { close(g.workersListed) })
	g.readiness.SetReady(componentWorkers, true, "")
	for _, c := range changes {
		if c.Domain != "" {
			g.logDomainChange(c)
			continue
		}
		g.decisions.logChange("worker "+c.Kind, "worker", c.Worker, "upstream", c.Upstream, "version", list.Version, "workers", len(list.Workers))
	}
	g.cold.update()
	g.updateIsolation()
}

// newScope returns a scope whose snapshot is served at /metrics.
func newScope() tally.Scope { return tally.NewTestScope("auburnlead", nil) }

func start(g *Gateway, lc fx.Lifecycle) {
	lc.Append(fx.Hook{OnStart: g.server.start, OnStop: g.server.stop})
}
