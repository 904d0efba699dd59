// Package peer is the plug-in for communication between routers: the gRPC
// server and client, the membership exchange, the slot leases of the workers in
// this router's failure domain, and the slots granted under them.
package peer

import (
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/settings"
	"github.com/auburnlead/auburnlead/store"
)

// component is the name of this plug-in in logs, readiness and bound addresses.
const component = "peer"

// Settings is the section [peer].
type Settings struct {
	// Listen is the address of the gRPC server. Default 127.0.0.1:7400.
	Listen string `ini:"listen" default:"127.0.0.1:7400" check:"hostport"`
	// Advertise is the address at which peers reach this router. Default: the
	// bound address.
	Advertise string `ini:"advertise" check:"hostport"`
	// Key is the secret that all routers share. Required.
	Key string `ini:"key" required:"true" secret:"true"`
	// Seeds are addresses of routers to contact without the VM list. Default
	// none.
	Seeds []string `ini:"seeds"`
	// ExchangeInterval is the interval of the exchange within the failure
	// domain. 20ms to 1m, default 1s.
	ExchangeInterval time.Duration `ini:"exchange" default:"1s" min:"20ms" max:"1m"`
	// RemoteExchangeInterval is the interval of summaries to other failure
	// domains. 20ms to 5m, default 2s.
	RemoteExchangeInterval time.Duration `ini:"remote_exchange" default:"2s" min:"20ms" max:"5m"`
	// ExchangeBudget limits the traffic of the exchange within the failure
	// domain, in bytes per second. 500 to 1000000, default 1500.
	ExchangeBudget int `ini:"budget" default:"1500" min:"500" max:"1000000"`
	// ListPollInterval is the interval at which the VM list is read. 50ms to
	// 5m, default 5s.
	ListPollInterval time.Duration `ini:"list_poll" default:"5s" min:"50ms" max:"5m"`
	// SuspectAfter is the silence after which a router is suspect and is not
	// made holder or successor of any more leases. 100ms to 5m, default 5s.
	SuspectAfter time.Duration `ini:"suspect" default:"5s" min:"100ms" max:"5m"`
	// GoneAfter is the silence after which a router counts as gone. 200ms to
	// 30m, default 30s.
	GoneAfter time.Duration `ini:"gone" default:"30s" min:"200ms" max:"30m"`
	// LeaseTime is how long a successor's promise not to take over a lease
	// lasts. It must be the same on all routers. 200ms to 5m, default 10s.
	LeaseTime time.Duration `ini:"lease_time" default:"10s" min:"200ms" max:"5m"`
	// LeaseMargin is the share of LeaseTime by which a holder stops granting
	// early. 0.01 to 0.5, default 0.05.
	LeaseMargin float64 `ini:"lease_margin" default:"0.05" min:"0.01" max:"0.5"`
	// RenewInterval is the interval of renewals. 20ms to 1m, default 2s.
	RenewInterval time.Duration `ini:"renew" default:"2s" min:"20ms" max:"1m"`
	// HandoverDelay is how long another router must be the preferred holder of
	// a worker before the lease is handed over to it. 50ms to 10m, default 5s.
	HandoverDelay time.Duration `ini:"stable" default:"5s" min:"50ms" max:"10m"`
	// UseWithin is the time within which a grant must be used before it
	// expires. It must be the same on all routers. 50ms to 1m, default 2s.
	UseWithin time.Duration `ini:"use_by" default:"2s" min:"50ms" max:"1m"`
	// CallTimeout limits calls to peers and to the platform's table. 20ms to
	// 1m, default 1s.
	CallTimeout time.Duration `ini:"call_timeout" default:"1s" min:"20ms" max:"1m"`
	// MaxMessageBytes limits the size of a message in bytes. 65536 to 67108864,
	// default 4194304.
	MaxMessageBytes int `ini:"max_message" default:"4194304" min:"65536" max:"67108864"`
	// MaxConnections limits the connections accepted from peers, as does an eighth
	// of the descriptors of the process. Connections without the peer key make room
	// for further ones. 8 to 65536, default 1024.
	MaxConnections int `ini:"max_connections" default:"1024" min:"8" max:"65536"`
	// MaxStreams limits the concurrent calls of one peer. 8 to 65536, default
	// 4096.
	MaxStreams int `ini:"max_streams" default:"4096" min:"8" max:"65536"`
}

// Validate checks the rules that involve several fields.
func (s *Settings) Validate() []settings.Problem {
	var problems []settings.Problem
	if s.RenewInterval*3 > s.LeaseTime {
		problems = append(problems, settings.Problem{Key: "renew", Detail: "more than a third of lease_time", Allowed: "at most lease_time / 3", Remedy: "lower renew or raise lease_time"})
	}
	if s.SuspectAfter >= s.GoneAfter {
		problems = append(problems, settings.Problem{Key: "gone", Detail: "not greater than suspect", Allowed: "more than suspect", Remedy: "raise gone or lower suspect"})
	}
	return problems
}

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "router.peer",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module("peer",
				fx.Supply(s.(*Settings)),
				fx.Provide(
					New,
					func(p *Peer) core.Membership { return p },
					func(p *Peer) core.SlotClient { return p },
					func(p *Peer) core.ObjectFetcher { return p },
					func(p *Peer) core.WorkerHealthSink { return p },
					func(p *Peer) core.PeerAttemptClient { return peerAttempts{p} },
				),
				fx.Invoke(Attach),
			)
		},
	})
}

// Params are the dependencies needed to build the plug-in.
type Params struct {
	fx.In
	Lifecycle  fx.Lifecycle
	Settings   *Settings
	Identity   core.Identity
	Platform   store.Client
	Background *core.BackgroundPool
	Addresses  *core.Addresses
	Readiness  core.Readiness
	Logger     *log.Logger
	Scope      tally.Scope `optional:"true"`
	Resources  connlimit.Resources
}

// New returns the plug-in, which listens from the start of the application.
func New(p Params) (*Peer, error) {
	if p.Identity.Router == "" || p.Identity.FailureDomain == "" {
		return nil, errors.New("peer: the router has no ID or no failure domain; set id and failure_domain in [node]")
	}
	if p.Scope == nil {
		p.Scope = tally.NoopScope
	}
	peer := build(p)
	p.Readiness.Require(component)
	p.Lifecycle.Append(fx.Hook{OnStart: peer.listen, OnStop: peer.close})
	return peer, nil
}

// AttachParams are the dependencies that the plug-in uses once they exist. They
// are passed to Attach and not to New, because their plug-ins need this one to
// be built.
type AttachParams struct {
	fx.In
	Config       core.Config          `optional:"true"`
	RevisionSink core.RevisionSink    `optional:"true"`
	Objects      core.ObjectSource    `optional:"true"`
	Attempts     core.AttemptRegistry `optional:"true"`
	Probe        core.LoadProbe       `optional:"true"`
}

// Attach connects the plug-in with the components that depend on it. Its stop
// hook is added last and therefore runs first: the router tells its peers that
// it is leaving and hands over its leases while its own requests still run.
func Attach(lc fx.Lifecycle, p *Peer, params AttachParams) {
	p.deps = params
	lc.Append(fx.Hook{OnStart: p.start, OnStop: p.leave})
}
