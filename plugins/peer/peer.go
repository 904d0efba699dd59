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

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
	"github.com/auburnlead/auburnlead/store"
)

// Peer is the plug-in.
type Peer struct {
	s         *Settings
	id        core.Identity
	table     store.Client
	bg        *core.BackgroundPool
	addresses *core.Addresses
	readiness core.Readiness
	log       *log.Logger
	scope     tally.Scope
	now       func() time.Time
	links     AttachParams

	server  *grpc.Server
	conns   *conns
	started time.Time
	leaving atomic.Bool
	kicked  chan struct{} // asks for a turn of the holder loop

	viewMu   sync.Mutex // level 20
	view     *membership.View
	holders  map[workerKey]string // by the held lists; nil when out of date
	listedAt time.Time            // when the VM list was last read

	leaseMu sync.Mutex // level 30
	leases  map[workerKey]*slotLease
	pools   map[string]*pool
	set     *core.ConfigRevision
	turn    atomic.Bool // a turn of the holder loop is under way

	releases releases
	using    using
	fresh    freshSums
	quiet    quietRouters
}

// workerKey names a worker of an upstream.
type workerKey struct{ upstream, worker string }

// row is the key of the worker's slot lease in the platform's table.
func (k workerKey) row() string { return "slots/" + k.upstream + "/" + k.worker }

func build(p Params) *Peer {
	peer := &Peer{
		s: p.Settings, id: p.Identity, table: p.Platform, bg: p.Background,
		addresses: p.Addresses, readiness: p.Readiness, log: p.Logger.WithPrefix(part),
		scope: p.Scope.SubScope(part), now: time.Now,
		kicked: make(chan struct{}, 1),
		leases: map[workerKey]*slotLease{},
		pools:  map[string]*pool{},
	}
	peer.conns = newConns(p.Settings)
	peer.releases.init()
	peer.using.init()
	peer.fresh.init()
	peer.quiet.init()
	return peer
}

func (p *Peer) leaseConfig() lease.Config {
	return lease.Config{Duration: p.s.LeaseTime, Margin: p.s.LeaseMargin}
}

// listen binds the address and serves. Errors: the address cannot be bound.
func (p *Peer) listen(context.Context) error {
	l, err := net.Listen("tcp", p.s.Listen)
	if err != nil {
		return fmt.Errorf("peer: %w; set listen in [peer] to a free address of this VM", err)
	}
	bound := l.Addr().String()
	p.addresses.Set(part, bound)
	if p.id.PeerAddress = p.s.Advertise; p.id.PeerAddress == "" {
		p.id.PeerAddress = bound
	}
	p.started = p.now()
	p.newView()
	p.server = newServer(p.s)
	peerpb.RegisterPeerServer(p.server, &service{p: p})
	go func() {
		if err := p.server.Serve(limitListener(l, p.s.MaxConnections)); err != nil {
			p.log.Error("server ended", "err", err)
		}
	}()
	p.log.Info("listening", "address", bound, "advertised", p.id.PeerAddress)
	return nil
}

func (p *Peer) newView() {
	self := membership.Entry{Router: p.id.Router, Incarnation: p.id.Incarnation, Domain: p.id.FailureDomain, Address: p.id.PeerAddress}
	seed := rand.New(rand.NewPCG(rand.Uint64(), p.id.Incarnation))
	cfg := membership.Config{SuspectAfter: p.s.SuspectAfter, GoneAfter: p.s.GoneAfter, Budget: p.s.ExchangeBudget, Size: entrySize, Rand: seed}
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	p.view = membership.New(cfg, self, p.started)
}

// start begins the periodic work.
func (p *Peer) start(context.Context) error {
	if p.links.Config != nil {
		p.links.Config.Subscribe(p.published)
	}
	p.bg.Submit(p.pollList)
	p.bg.Every(p.s.ListPollInterval, 0.2, p.pollList)
	p.bg.Every(p.s.ExchangeInterval, 0.1, p.exchange)
	p.bg.Every(p.s.RemoteExchangeInterval, 0.1, p.exchangeRemote)
	p.bg.Every(p.s.RenewInterval, 0.1, func(ctx context.Context) { p.renew(ctx, false) })
	p.bg.Every(p.turnInterval(), 0, p.holderTurn)
	p.bg.Every(releaseRetry, 0.2, p.retryReleases)
	p.readiness.SetReady(part, true, "")
	return nil
}

// turnInterval is the interval of the holder loop: short beside every interval
// that it watches over.
func (p *Peer) turnInterval() time.Duration {
	return max(10*time.Millisecond, min(200*time.Millisecond, p.s.LeaseTime/20))
}

// leave tells the domain that this router stops and hands over its leases.
func (p *Peer) leave(ctx context.Context) error {
	p.leaving.Store(true)
	p.farewell(ctx)
	p.handOverAll(ctx)
	return nil
}

// close ends the server and the connections.
func (p *Peer) close(context.Context) error {
	if p.server != nil {
		p.server.Stop()
	}
	p.closePools()
	p.conns.close()
	return nil
}

// submit runs a job in the background, or notes that the pool is full.
func (p *Peer) submit(job func(context.Context)) {
	if !p.bg.Submit(job) {
		p.scope.Counter("background_full").Inc(1)
	}
}

// submitTimed is submit for a job that makes one round of calls.
func (p *Peer) submitTimed(job func(context.Context)) {
	p.submit(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
		defer cancel()
		job(ctx)
	})
}
