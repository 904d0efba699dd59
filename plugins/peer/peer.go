package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
	"github.com/auburnlead/auburnlead/store"
)

// Peer exchanges membership views with other routers, keeps the slot leases of
// the workers in its failure domain, and acquires and grants slots.
type Peer struct {
	settings   *Settings
	identity   core.Identity
	table      store.Client
	background *core.BackgroundPool
	addresses  *core.Addresses
	readiness  core.Readiness
	log        *log.Logger
	scope      tally.Scope
	now        func() time.Time
	deps       AttachParams

	server *grpc.Server
	// connections are those of all listeners of the process.
	connections *connlimit.Pool
	conns       *conns
	started     time.Time
	leaving     atomic.Bool
	wake        chan struct{} // requests a round of the lease loop

	viewMu       sync.Mutex // lock level 20
	view         *membership.View
	holderIndex  map[workerKey]string // advertised holders; nil when out of date
	vmListReadAt time.Time            // when the VM list was last read

	leaseMu      sync.Mutex // lock level 30
	leases       map[workerKey]*slotLease
	pools        map[string]*pool
	revision     *core.ConfigRevision
	roundRunning atomic.Bool // a round of the lease loop is in progress

	pendingReleases pendingReleases
	usedSlots       usedSlots
	recentLoads     recentLoads
	unresponsive    unresponsiveRouters
}

// workerKey identifies a worker of an upstream.
type workerKey struct{ upstream, worker string }

// row returns the key of the worker's slot lease in the platform's table.
func (k workerKey) row() string { return "slots/" + k.upstream + "/" + k.worker }

func build(p Params) *Peer {
	peer := &Peer{
		settings: p.Settings, identity: p.Identity, table: p.Platform, background: p.Background,
		addresses: p.Addresses, readiness: p.Readiness, log: p.Logger.WithPrefix(component),
		scope: p.Scope.SubScope(component), now: time.Now,
		wake:   make(chan struct{}, 1),
		leases: map[workerKey]*slotLease{},
		pools:  map[string]*pool{},

		connections: p.Resources.OrDefault().Connections,
	}
	peer.conns = newConns(p.Settings)
	peer.pendingReleases.init()
	peer.usedSlots.init()
	peer.recentLoads.init()
	peer.unresponsive.init()
	return peer
}

func (p *Peer) leaseConfig() lease.Config {
	return lease.Config{Duration: p.settings.LeaseTime, Margin: p.settings.LeaseMargin}
}

// listen binds the address and starts the server. It returns an error if the
// address cannot be bound.
func (p *Peer) listen(context.Context) error {
	l, err := net.Listen("tcp", p.settings.Listen)
	if err != nil {
		return fmt.Errorf("peer: %w; set listen in [peer] to a free address of this VM", err)
	}
	bound := l.Addr().String()
	p.addresses.Set(component, bound)
	if p.identity.PeerAddress = p.settings.Advertise; p.identity.PeerAddress == "" {
		p.identity.PeerAddress = bound
	}
	p.started = p.now()
	p.newView()
	p.server = newServer(p.settings)
	peerpb.RegisterPeerServer(p.server, &service{peer: p})
	go func() {
		limits := connlimit.Config{Listener: component, Limit: p.maxConnections, Pool: p.connections}
		if err := p.server.Serve(admittableListener{connlimit.Listen(l, limits)}); err != nil {
			p.log.Error("gRPC server stopped with an error", "err", err)
		}
	}()
	p.log.Info("listening", "address", bound, "advertised", p.identity.PeerAddress)
	return nil
}

// maxConnections returns the limit of open connections, which leaves descriptors for
// callers and workers.
func (p *Peer) maxConnections() int {
	return min(p.settings.MaxConnections, connlimit.ForPeers())
}

func (p *Peer) newView() {
	self := membership.Entry{Router: p.identity.Router, Incarnation: p.identity.Incarnation, Domain: p.identity.FailureDomain, Address: p.identity.PeerAddress}
	rng := rand.New(rand.NewPCG(rand.Uint64(), p.identity.Incarnation))
	cfg := membership.Config{SuspectAfter: p.settings.SuspectAfter, GoneAfter: p.settings.GoneAfter, Budget: p.settings.ExchangeBudget, Size: entrySize, Rand: rng}
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	p.view = membership.New(cfg, self, p.started)
}

// start begins the periodic work.
func (p *Peer) start(context.Context) error {
	if p.deps.Config != nil {
		p.deps.Config.Subscribe(p.applyRevision)
	}
	p.background.Submit(p.pollVMList)
	p.background.Every(p.settings.ListPollInterval, 0.2, p.pollVMList)
	p.background.Every(p.settings.ExchangeInterval, 0.1, p.exchange)
	p.background.Every(p.settings.RemoteExchangeInterval, 0.1, p.exchangeRemote)
	p.background.Every(p.settings.RenewInterval, 0.1, func(ctx context.Context) { p.renew(ctx, false) })
	p.background.Every(p.roundInterval(), 0, p.leaseRound)
	p.background.Every(releaseRetryInterval, 0.2, p.retryReleases)
	p.readiness.SetReady(component, true, "")
	return nil
}

// roundInterval returns the interval of the lease loop. It is short compared
// with all timeouts that the loop enforces.
func (p *Peer) roundInterval() time.Duration {
	return max(10*time.Millisecond, min(200*time.Millisecond, p.settings.LeaseTime/20))
}

// leave announces to the failure domain that this router is leaving, and hands
// over its leases.
func (p *Peer) leave(ctx context.Context) error {
	p.leaving.Store(true)
	p.announceLeaving(ctx)
	p.handOverAll(ctx)
	return nil
}

// close stops the server and closes the connections.
func (p *Peer) close(context.Context) error {
	if p.server != nil {
		p.server.Stop()
	}
	p.closePools()
	p.conns.close()
	return nil
}

// submit runs a job in the background. If the background pool is full, the job
// is dropped and counted.
func (p *Peer) submit(job func(context.Context)) {
	if !p.background.Submit(job) {
		p.scope.Counter("background_full").Inc(1)
	}
}

// submitTimed is submit with the call timeout, for a job that makes a single
// round of calls.
func (p *Peer) submitTimed(job func(context.Context)) {
	p.submit(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
		defer cancel()
		job(ctx)
	})
}
