// Package gossip is the plug-in through which routers tell one another of the
// fleet: who is there, how loaded workers are and how new the copies of the
// store's tables are. In a large fleet one router of each failure domain reads
// the store, and the others take the changes from it or from one another.
//
// Messages are datagrams; changes are read over HTTP on the same port.
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
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/replica"
	"github.com/auburnlead/auburnlead/routing"
)

// part is the name of the plug-in in addresses and logs.
const part = "gossip"

// Settings is the section [gossip].
type Settings struct {
	// Listen is the address for messages of other routers, UDP and TCP. All
	// routers use the same port. Required.
	Listen string `ini:"listen" required:"true" check:"hostport"`
	// Seeds are addresses of routers to begin with. Only the IP counts.
	Seeds []string `ini:"seeds"`
	// Capacity orders the routers of a failure domain: the first one reads the
	// store for the others and sends them what it read. Bandwidth in Mbit/s,
	// since a large desired state goes to all. Default 0.
	Capacity float64 `ini:"capacity" default:"0" min:"0" max:"1000000"`
	// Period is the time between two messages. Default 250ms.
	Period time.Duration `ini:"period" default:"250ms" min:"10ms" max:"1m"`
	// Live is the silence after which a router counts as gone: twelve
	// messages by default. Default 3s.
	Live time.Duration `ini:"live" default:"3s" min:"100ms" max:"10m"`
	// Large is the number of routers from which on only one of each failure
	// domain reads the store. Default 16: with fewer, calls that wait long
	// cost the store less than the short ones of such a reader.
	Large int `ini:"large" default:"16" min:"2" max:"1000000"`
	// Settle is the time after the start in which a router gets to know the
	// others. Default 1200ms.
	Settle time.Duration `ini:"settle" default:"1200ms" min:"0s" max:"1m"`
}

// Sizes of the rounds: the receivers of each message in the router's own
// failure domain and in others. Those of the own one are reached at no cost
// between domains.
const (
	nearTargets = 2
	farTargets  = 1
	// urgentFactor multiplies them once when there is news of a table.
	urgentFactor = 2
	// seedPeriod is the time between two messages to a seed, by which parts
	// of the fleet meet again.
	seedPeriod = 3 * time.Second
	// loadMemory is the age after which a load is not told any more.
	loadMemory = 3 * time.Second
)

func init() {
	kernel.Register(kernel.Plugin{
		ID:       "gateway.gossip",
		Settings: func() any { return &Settings{} },
		Options: func(s any) fx.Option {
			return fx.Module(part,
				fx.Supply(s.(*Settings)),
				fx.Provide(fx.Annotate(New, fx.As(new(replica.Peers)), fx.As(new(core.LoadGossip)), fx.As(fx.Self()))),
			)
		},
	})
}

// Params are the parts that the plug-in uses.
type Params struct {
	fx.In

	Settings  *Settings
	Identity  core.Identity
	Tables    *replica.Tables
	Addresses *core.Addresses
	Logger    *log.Logger
	Scope     tally.Scope
	Lifecycle fx.Lifecycle
}

// Gossip exchanges messages with other routers.
type Gossip struct {
	settings *Settings
	tables   *replica.Tables
	names    []string // of the tables, in the order of the messages
	log      *log.Logger
	started  time.Time
	peers    *peers
	pages    *pages
	sent     tally.Counter
	received tally.Counter
	refused  tally.Counter
	routers  tally.Gauge

	conn   net.PacketConn
	server *http.Server

	mu      sync.Mutex // level 20
	view    *lib.View
	changed chan struct{} // closed at news of a table
	loads   func([]routing.Load)
	seeded  time.Time
	reads   bool // as of the last round
}

// New returns a Gossip that listens from the start of the application on.
// Errors: an address of the settings is not usable.
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
	names := p.Tables.Names()
	scope := p.Scope.SubScope(part)
	g := &Gossip{
		settings: p.Settings, tables: p.Tables, names: names, log: p.Logger.WithPrefix(part), started: time.Now(), peers: newPeers(), pages: &pages{last: map[pageKey][]byte{}},
		sent: scope.Counter("sent"), received: scope.Counter("received"), refused: scope.Counter("refused"), routers: scope.Gauge("routers"),
		changed: make(chan struct{}),
		view: lib.New(lib.Config{
			Router: p.Identity.Router, Domain: p.Identity.FailureDomain, Address: self, Seeds: seeds,
			Capacity: int(p.Settings.Capacity), TableCount: len(names), LivenessTimeout: p.Settings.Live, LoadTTL: loadMemory,
		}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	p.Lifecycle.Append(fx.Hook{
		OnStart: func(start context.Context) error {
			if err := g.listen(start); err != nil {
				return err
			}
			p.Addresses.Set(part, g.conn.LocalAddr().String())
			running.Go(g.receive)
			running.Go(func() { g.run(ctx) })
			return nil
		},
		OnStop: func(context.Context) error {
			g.leave()
			cancel()
			_ = g.conn.Close()   // ends receive
			_ = g.server.Close() // peers read elsewhere
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
		_ = conn.Close() // the start fails anyway
		return fmt.Errorf("gossip: %w; set gossip.listen to a free address of this VM", err)
	}
	g.conn = conn
	g.server = &http.Server{Handler: g.serveTables(), ReadHeaderTimeout: peerTimeout, IdleTimeout: peerIdle}
	go func() {
		if err := g.server.Serve(l); err != http.ErrServerClosed {
			g.log.Error("listener failed", "error", err)
		}
	}()
	return nil
}
