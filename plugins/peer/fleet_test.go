package peer

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// fleet is several routers in this process that meet over loopback gRPC and an
// in-memory platform.
type fleet struct {
	t        *testing.T
	platform *storetest.Platform
	config   *fakeConfig
	settings Settings
}

func newFleet(t *testing.T, set *objects.Set) *fleet {
	return &fleet{
		t:        t,
		platform: storetest.New(storetest.Options{Seed: 1, Now: time.Now}),
		config:   &fakeConfig{current: &core.ConfigRevision{Revision: 1, Manifest: "m1", Set: set}},
		settings: Settings{
			Listen: "127.0.0.1:0", Key: "secret", ExchangeInterval: 50 * time.Millisecond, RemoteExchangeInterval: 50 * time.Millisecond,
			ExchangeBudget: 1 << 20, ListPollInterval: 100 * time.Millisecond, SuspectAfter: 500 * time.Millisecond, GoneAfter: 3 * time.Second,
			LeaseTime: 2 * time.Second, LeaseMargin: 0.05, RenewInterval: 100 * time.Millisecond, HandoverDelay: 300 * time.Millisecond,
			UseWithin: 300 * time.Millisecond, CallTimeout: 300 * time.Millisecond, MaxMessageBytes: 1 << 20, MaxConnections: 64, MaxStreams: 1024,
		},
	}
}

// router is one router of a fleet.
type router struct {
	*Peer
	f     *fleet
	app   *fx.App
	table *tableSwitch
	skew  atomic.Int64 // added to the router's clock, in nanoseconds
	stop  func()
}

// incarnations gives each started router a higher incarnation.
var incarnations struct {
	sync.Mutex
	last uint64
}

func nextIncarnation() uint64 {
	incarnations.Lock()
	defer incarnations.Unlock()
	incarnations.last++
	return incarnations.last
}

// start starts a router and puts it on the platform's list.
func (f *fleet) start(id, domain string) *router {
	r := &router{f: f, table: &tableSwitch{Client: f.platform}}
	s := f.settings
	identity := core.Identity{Router: id, FailureDomain: domain, Incarnation: nextIncarnation()}
	r.app = fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(&s, identity),
		fx.Provide(core.NewAddresses, core.NewReadiness, core.NewBackgroundPool, New,
			func() *log.Logger { return log.New(io.Discard) },
			func() store.Client { return r.table },
			func() core.Config { return f.config }),
		fx.Invoke(Attach),
		fx.Populate(&r.Peer),
	)
	if err := r.app.Err(); err != nil {
		f.t.Fatal(err)
	}
	r.now = func() time.Time { return time.Now().Add(time.Duration(r.skew.Load())) }
	if err := r.app.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.platform.PutVM(store.VM{ID: id, Address: r.id.PeerAddress, FailureDomain: domain, State: store.VMLive})
	r.stop = sync.OnceFunc(func() { _ = r.app.Stop(context.Background()) })
	f.t.Cleanup(r.stop)
	return r
}

// crash cuts the router off from its peers and the platform for good.
func (r *router) crash() {
	r.table.set(true)
	r.server.Stop()
	r.conns.close()
}

// holds lists the workers that the router may grant now.
func (r *router) holds() map[string]bool {
	r.leaseMu.Lock()
	defer r.leaseMu.Unlock()
	out := map[string]bool{}
	for k, l := range r.leases {
		if r.open(r.now(), l) {
			out[k.worker] = true
		}
	}
	return out
}

// eventually waits for a condition. The test binary's timeout is the bound.
func eventually(condition func() bool) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		<-ticker.C
	}
}

// eachHeldOnce reports whether every worker of the domain has one holder.
func eachHeldOnce(n int, routers ...*router) bool {
	count := 0
	seen := map[string]bool{}
	for _, r := range routers {
		for worker := range r.holds() {
			count++
			seen[worker] = true
		}
	}
	return count == n && len(seen) == n
}

// tableSwitch cuts one router off from the platform.
type tableSwitch struct {
	store.Client
	mu  sync.Mutex
	off bool
}

func (s *tableSwitch) set(off bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.off = off
}

func (s *tableSwitch) err(op string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.off {
		return &store.UnavailableError{Op: op, Err: storetest.ErrOutage}
	}
	return nil
}

func (s *tableSwitch) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := s.err("get"); err != nil {
		return nil, err
	}
	return s.Client.Get(ctx, keys...)
}

func (s *tableSwitch) Commit(ctx context.Context, ops []store.Op) (store.CommitResult, error) {
	if err := s.err("commit"); err != nil {
		return store.CommitResult{}, err
	}
	return s.Client.Commit(ctx, ops)
}

func (s *tableSwitch) List(ctx context.Context) (store.VMList, error) {
	if err := s.err("list"); err != nil {
		return store.VMList{}, err
	}
	return s.Client.List(ctx)
}

// fakeConfig publishes sets to all routers of a fleet.
type fakeConfig struct {
	mu      sync.Mutex
	current *core.ConfigRevision
	fns     []func(*core.ConfigRevision)
}

func (c *fakeConfig) Current() *core.ConfigRevision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *fakeConfig) Subscribe(fn func(*core.ConfigRevision)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fns = append(c.fns, fn)
	fn(c.current)
}

func (c *fakeConfig) publish(set *objects.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &core.ConfigRevision{Revision: c.current.Revision + 1, Manifest: fmt.Sprint("m", c.current.Revision+1), Set: set}
	for _, fn := range c.fns {
		fn(c.current)
	}
}

// poolSet is a set with one upstream of n workers in domain d1.
func poolSet(n, maxInFlight int, draining ...string) *objects.Set {
	u := &objects.Upstream{Name: "pool", Kind: objects.UpstreamEngine, LoadBound: 1.25, MaxInFlight: maxInFlight, Draining: draining}
	for i := range n {
		u.Workers = append(u.Workers, objects.Worker{ID: fmt.Sprint("w", i), FailureDomain: "d1", URL: "http://127.0.0.1:1"})
	}
	return &objects.Set{
		Ranks:     map[string]*objects.Rank{"urgent": {Name: "urgent", MaxDuration: 20 * time.Second, QueueLimit: 100}},
		Upstreams: map[string]*objects.Upstream{"pool": u},
	}
}

// request asks for a slot of the given workers.
func request(attempt string, wait time.Duration, workers ...string) core.SlotRequest {
	return core.SlotRequest{Attempt: attempt, Upstream: "pool", Workers: workers, Caller: "c", Weight: 1, Rank: "urgent", Wait: wait}
}
