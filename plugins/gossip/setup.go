// Package gossip is the plug-in that exchanges messages with other routers. They
// report which routers are live, how loaded the workers are, and how recent the
// copies of the store's tables are. In a large fleet one router of each failure
// domain, the domain leader, reads the store, and the others read the changes
// from it or from one another.
//
// Messages are datagrams; changes are read over HTTP on the same port number.
package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	lib "github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/unreadable"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/replica"
	"github.com/auburnlead/auburnlead/routing"
)

// component is the name of the plug-in in addresses and logs.
const component = "gossip"

// Settings is the section [gossip].
type Settings struct {
	// Listen is the address for messages from other routers, UDP and TCP. All
	// routers use the same port. Required.
	Listen string `ini:"listen" required:"true" check:"hostport"`
	// Seeds are the addresses of the first routers to contact. Only the IP is
	// used.
	Seeds []string `ini:"seeds"`
	// Capacity orders the routers of a failure domain: the one with the highest
	// capacity reads the store for the others and sends them what it read. It
	// is the bandwidth in Mbit/s, since a large desired state is sent to all of
	// them. Default 0.
	Capacity float64 `ini:"capacity" default:"0" min:"0" max:"1000000"`
	// Period is the mean time between two rounds of messages. Default 250ms.
	Period time.Duration `ini:"period" default:"250ms" min:"10ms" max:"1m"`
	// LivenessTimeout is the time without a message after which a router counts
	// as not live. Default 3s, which is twelve times the default Period.
	LivenessTimeout time.Duration `ini:"live" default:"3s" min:"100ms" max:"10m"`
	// LargeFleet is the number of routers from which only the domain leaders
	// read the store. Default 16: in a smaller fleet the long polls of
	// all routers cost the store less than the polls of the domain leaders,
	// which are shorter so that the other routers learn of changes sooner.
	LargeFleet int `ini:"large" default:"16" min:"2" max:"1000000"`
	// StartupDelay is the time after the start during which a router only learns
	// of the others and doesn't read the store. Default 1200ms.
	StartupDelay time.Duration `ini:"settle" default:"1200ms" min:"0s" max:"1m"`
}

// Numbers of receivers of each message, in the router's own failure domain and
// in others. Messages within a domain cost no traffic between domains.
const (
	sameDomainTargets  = 2
	otherDomainTargets = 1
	// urgentFactor multiplies them for one round when a table has changed.
	urgentFactor = 2
	// seedPeriod is the time between two messages to a seed. Through seeds,
	// partitions of the fleet that have lost contact learn of each other again.
	seedPeriod = 3 * time.Second
	// pushInterval is the shortest time between two rounds of PushLoads.
	pushInterval = 20 * time.Millisecond
	// loadTTL is the age from which a load report is no longer sent.
	loadTTL = 3 * time.Second
)

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "gateway.gossip",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module(component,
				fx.Supply(s.(*Settings)),
				fx.Provide(fx.Annotate(New, fx.As(new(replica.Peers)), fx.As(new(core.LoadGossip)), fx.As(new(core.ExtensionGossip)), fx.As(fx.Self()))),
			)
		},
	})
}

// Params are the dependencies of the plug-in.
type Params struct {
	fx.In

	Settings  *Settings
	Identity  core.Identity
	Tables    *replica.Tables
	Addresses *core.Addresses
	Logger    *log.Logger
	Scope     tally.Scope
	Lifecycle fx.Lifecycle
	Resources connlimit.Resources
}

// Gossip exchanges messages with other routers.
type Gossip struct {
	settings   *Settings
	tables     *replica.Tables
	tableNames []string // in the order of the messages
	log        *log.Logger
	startedAt  time.Time
	peerClient *peerClient
	encoded    *encodedRowSets
	sent       tally.Counter
	pushed     tally.Counter // rounds of PushLoads
	received   tally.Counter
	refused    tally.Counter
	unreadable *unreadable.Reporter
	routers    tally.Gauge

	conn        net.PacketConn
	server      *http.Server
	connections *connlimit.Pool

	mu              sync.Mutex // lock level 20, see internal/core/lockorder.go
	view            *lib.View
	tablesChanged   chan struct{}        // closed when a table has a newer version
	onLoads         func([]routing.Load) // subscriber of load reports, nil for none
	extensions      []core.GossipExtension
	pendingLoads    []uint32  // workers whose loads are to be pushed, by hash
	lastPush        time.Time // when loads were last pushed
	lastSeedMessage time.Time // when the last message was sent to a seed
	readsStore      bool      // role as of the last round
}

// New returns a Gossip that listens once the application has started. Errors:
// an address in the settings is invalid.
func New(p Params) (*Gossip, error) {
	self, err := netip.ParseAddrPort(p.Settings.Listen)
	if err != nil {
		return nil, fmt.Errorf("gossip: %w; set gossip.listen to IP:port", err)
	}
	var seeds []netip.AddrPort
	for _, text := range p.Settings.Seeds {
		seed, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("gossip: seed: %w; set gossip.seeds to a list of IP:port", err)
		}
		seeds = append(seeds, netip.AddrPortFrom(seed.Addr(), self.Port()))
	}
	tableNames := p.Tables.Names()
	scope := p.Scope.SubScope(component)
	g := &Gossip{
		settings: p.Settings, tables: p.Tables, tableNames: tableNames, log: p.Logger.WithPrefix(component), startedAt: time.Now(), peerClient: newPeerClient(), encoded: &encodedRowSets{byKey: map[rowSetKey][]byte{}},
		sent: scope.Counter("sent"), pushed: scope.Counter("load_pushes"), received: scope.Counter("received"), refused: scope.Counter("refused"), unreadable: unreadable.New(p.Logger.WithPrefix(component), scope), routers: scope.Gauge("routers"),
		tablesChanged: make(chan struct{}), connections: p.Resources.OrDefault().Connections,
		view: lib.New(lib.Config{
			Router: p.Identity.Router, Domain: p.Identity.FailureDomain, Address: self, Seeds: seeds,
			Capacity: int(p.Settings.Capacity), TableCount: len(tableNames), LivenessTimeout: p.Settings.LivenessTimeout, LoadTTL: loadTTL,
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(start context.Context) error {
			if err := g.listen(start); err != nil {
				return err
			}
			p.Addresses.Set(component, g.conn.LocalAddr().String())
			running.Go(g.receive)
			running.Go(func() { g.run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			g.announceLeaving()
			cancel()
			_ = g.conn.Close()   // ends receive
			_ = g.server.Close() // peers then read from other routers
			running.Wait()
			return nil
		},
	})
	return g, nil
}

func (g *Gossip) listen(ctx context.Context) error {
	var config net.ListenConfig
	conn, err := config.ListenPacket(ctx, "udp4", g.settings.Listen)
	if err != nil {
		return fmt.Errorf("gossip: %w; set gossip.listen to a free address of this VM", err)
	}
	l, err := config.Listen(ctx, "tcp4", g.settings.Listen)
	if err != nil {
		_ = conn.Close() // the start fails in any case
		return fmt.Errorf("gossip: %w; set gossip.listen to a free address of this VM", err)
	}
	g.conn = conn
	g.server = connlimit.AuxServer(g.serveTables(), peerIdleTimeout)
	go func() {
		limits := connlimit.Config{Listener: component, Limit: connlimit.ForAux, Pool: g.connections}
		if err := connlimit.Serve(g.server, l, limits); err != http.ErrServerClosed {
			g.log.Error("listener failed", "error", err)
		}
	}()
	return nil
}
