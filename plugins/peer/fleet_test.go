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

// fleet is a set of routers in this process that communicate over loopback gRPC
// and share an in-memory platform.
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
	f           *fleet
	app         *fx.App
	table       *cutOffTable
	clockOffset atomic.Int64 // added to the router's clock, in nanoseconds
	stop        func()
}

// lastIncarnation is the incarnation of the router that was started last. Each
// router that is started gets a higher one.
var lastIncarnation struct {
	sync.Mutex
	last uint64
}

func nextIncarnation() uint64 {
	lastIncarnation.Lock()
	defer lastIncarnation.Unlock()
	lastIncarnation.last++
	return lastIncarnation.last
}

// start starts a router and adds it to the platform's VM list.
func (f *fleet) start(id, domain string) *router {
	r := &router{f: f, table: &cutOffTable{Client: f.platform}}
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
	r.now = func() time.Time { return time.Now().Add(time.Duration(r.clockOffset.Load())) }
	if err := r.app.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.platform.PutVM(store.VM{ID: id, Address: r.identity.PeerAddress, FailureDomain: domain, State: store.VMLive})
	r.stop = sync.OnceFunc(func() { _ = r.app.Stop(context.Background()) })
	f.t.Cleanup(r.stop)
	return r
}

// crash simulates a crash: it cuts the router off from its peers and the platform
// permanently.
func (r *router) crash() {
	r.table.setCutOff(true)
	r.server.Stop()
	r.conns.close()
}

// grantableWorkers returns the workers whose slots the router may grant now.
func (r *router) grantableWorkers() map[string]bool {
	r.leaseMu.Lock()
	defer r.leaseMu.Unlock()
	out := map[string]bool{}
	for k, l := range r.leases {
		if r.isOpen(r.now(), l) {
			out[k.worker] = true
		}
	}
	return out
}

// eventually waits for a condition. Only the timeout of the test binary limits
// the wait.
func eventually(condition func() bool) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		<-ticker.C
	}
}

// eachHeldOnce reports whether each of the n workers has exactly one holder
// that may grant its slots.
func eachHeldOnce(n int, routers ...*router) bool {
	count := 0
	seen := map[string]bool{}
	for _, r := range routers {
		for worker := range r.grantableWorkers() {
			count++
			seen[worker] = true
		}
	}
	return count == n && len(seen) == n
}

// cutOffTable can cut one router off from the platform.
type cutOffTable struct {
	store.Client
	mu     sync.Mutex
	cutOff bool
}

func (s *cutOffTable) setCutOff(off bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cutOff = off
}

func (s *cutOffTable) outageError(op string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cutOff {
		return &store.UnavailableError{Op: op, Err: storetest.ErrOutage}
	}
	return nil
}

func (s *cutOffTable) Get(ctx context.Context, keys ...string) ([]store.Row, error) {
	if err := s.outageError("get"); err != nil {
		return nil, err
	}
	return s.Client.Get(ctx, keys...)
}

func (s *cutOffTable) Commit(ctx context.Context, ops []store.Op) (store.CommitResult, error) {
	if err := s.outageError("commit"); err != nil {
		return store.CommitResult{}, err
	}
	return s.Client.Commit(ctx, ops)
}

func (s *cutOffTable) List(ctx context.Context) (store.VMList, error) {
	if err := s.outageError("list"); err != nil {
		return store.VMList{}, err
	}
	return s.Client.List(ctx)
}

// fakeConfig publishes object sets to all routers of a fleet.
type fakeConfig struct {
	mu          sync.Mutex
	current     *core.ConfigRevision
	subscribers []func(*core.ConfigRevision)
}

func (c *fakeConfig) Current() *core.ConfigRevision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *fakeConfig) Subscribe(fn func(*core.ConfigRevision)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, fn)
	fn(c.current)
}

func (c *fakeConfig) publish(set *objects.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = &core.ConfigRevision{Revision: c.current.Revision + 1, Manifest: fmt.Sprint("m", c.current.Revision+1), Set: set}
	for _, fn := range c.subscribers {
		fn(c.current)
	}
}

// poolSet returns an object set with one upstream of n workers in failure
// domain d1.
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

// request returns a request for a slot of one of the given workers.
func request(attempt string, wait time.Duration, workers ...string) core.SlotRequest {
	return core.SlotRequest{Attempt: attempt, Upstream: "pool", Workers: workers, Caller: "c", Weight: 1, Rank: "urgent", Wait: wait}
}
