package orders

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/placement"
	"github.com/auburnlead/auburnlead/store/storetest"
)

const upstream = "pool"

// sentOrder is an order that a router has sent.
type sentOrder struct {
	at           time.Time
	router       string
	fencingToken uint64
	load         bool
}

// fakeEngine is a model engine. Without ChecksFencing it executes orders with
// any fencing token.
type fakeEngine struct {
	models       []string
	fencingToken uint64
	rejected     int
	outdated     int // orders received with a fencing token below the highest one seen
}

// randomSource draws random numbers for one goroutine, so that they do not
// depend on the order in which goroutines run.
type randomSource struct{ *rand.Rand }

func (f *fleet) newSource(name string) randomSource {
	return randomSource{rand.New(rand.NewPCG(f.seed, placement.Hash(name)))}
}

func (s randomSource) chance(share float64) bool { return s.Float64() < share }

func (s randomSource) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.Int64N(int64(to-from)))
}

// fleet simulates routers, engines and the platform in virtual time.
type fleet struct {
	mu            sync.Mutex
	seed          uint64
	set           *objects.Set
	workers       map[string]*fakeEngine
	sent          []sentOrder
	paused        map[string]time.Time // end of the pause, by router
	lateOrders    bool                 // some orders arrive after their deadline
	failingOrders bool                 // some orders fail, some responses are lost, some routers pause
	noEffect      bool                 // engines accept orders without executing them
	faultsOff     bool                 // disables the faults above
	onSend        func(router string)  // called before an order is sent
	table         *storetest.Platform
	loops         sync.WaitGroup
}

func newFleet(seed uint64, checksFencing bool, engines int) *fleet {
	u := &objects.Upstream{Name: upstream, Models: []string{"m1"}, ManageModels: true, ChecksFencing: checksFencing}
	f := &fleet{
		seed:    seed,
		set:     &objects.Set{Upstreams: map[string]*objects.Upstream{upstream: u}},
		workers: map[string]*fakeEngine{}, paused: map[string]time.Time{},
		table: storetest.New(storetest.Options{Seed: seed, Now: time.Now, After: func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }}),
	}
	for i := range engines {
		id := fmt.Sprint("e", i)
		u.Workers = append(u.Workers, objects.Worker{ID: id, FailureDomain: "a"})
		f.workers[id] = &fakeEngine{}
	}
	return f
}

// publishModels publishes a set with other desired models.
func (f *fleet) publishModels(models ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := *f.set.Upstreams[upstream]
	u.Models = models
	f.set = &objects.Set{Upstreams: map[string]*objects.Upstream{upstream: &u}}
}

// Current and Subscribe implement core.Config.
func (f *fleet) Current() *core.ConfigRevision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &core.ConfigRevision{Set: f.set}
}

func (f *fleet) Subscribe(func(*core.ConfigRevision)) {}

// drawFault draws whether a fault occurs, if faults of its kind are on.
func (f *fleet) drawFault(s randomSource, on bool, share float64) bool {
	occurs := s.chance(share)
	f.mu.Lock()
	defer f.mu.Unlock()
	return on && occurs && !f.faultsOff
}

func (f *fleet) turnFaultsOff() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faultsOff = true
}

// sentOrders returns the orders sent so far.
func (f *fleet) sentOrders() []sentOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sent)
}

func (f *fleet) pause(router string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused[router] = time.Now().Add(d)
}

// fakeClient is the client with which a router calls the engines. Calls wait
// while the router is paused.
type fakeClient struct {
	f       *fleet
	router  string
	sources map[string]randomSource // by worker
}

// waitWhilePaused waits while the router is paused. After a pause, the goroutines
// of a router continue in an order that depends on the seed.
func (c fakeClient) waitWhilePaused(s randomSource) {
	for {
		c.f.mu.Lock()
		left := time.Until(c.f.paused[c.router])
		c.f.mu.Unlock()
		if left <= 0 {
			return
		}
		<-time.After(left + s.between(0, time.Millisecond))
	}
}

func (c fakeClient) Load(_ context.Context, _, id string) (core.LoadReport, error) {
	s := c.sources[id]
	c.waitWhilePaused(s)
	c.f.mu.Lock()
	w := c.f.workers[id]
	report := core.LoadReport{Models: slices.Clone(w.models), FencingToken: w.fencingToken}
	c.f.mu.Unlock()
	<-time.After(s.between(0, 300*time.Millisecond))
	c.waitWhilePaused(s)
	return report, nil
}

func (c fakeClient) SendOrder(ctx context.Context, o core.Order) (core.LoadReport, error) {
	s := c.sources[o.Worker]
	<-time.After(s.between(0, 300*time.Millisecond))
	if c.f.onSend != nil {
		c.f.onSend(c.router)
	}
	if c.f.drawFault(s, c.f.failingOrders, 0.15) {
		c.f.pause(c.router, s.between(time.Second, 20*time.Second))
	}
	c.waitWhilePaused(s)
	if !o.Allowed() {
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeNotRun, Err: errors.New("not allowed")}
	}
	c.f.record(c.router, o)
	if ctx.Err() != nil { // after a pause: the bytes are sent before the process handles its timers
		c.f.execute(o)
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Err: ctx.Err()}
	}
	deadline, _ := ctx.Deadline()
	arrival := s.between(0, max(time.Until(deadline), 1))
	if c.f.drawFault(s, c.f.lateOrders, 0.2) {
		time.AfterFunc(s.between(5*time.Second, time.Minute), func() { c.f.execute(o) })
		arrival = time.Hour
	}
	select {
	case <-ctx.Done():
		<-time.After(s.between(0, time.Millisecond))
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Err: ctx.Err()}
	case <-time.After(arrival):
	}
	if c.f.drawFault(s, c.f.failingOrders, 0.1) {
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Status: 500, Err: errors.New("out of memory")}
	}
	if !c.f.execute(o) {
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Status: 409, Err: errors.New("outdated fencing token")}
	}
	if c.f.drawFault(s, c.f.failingOrders, 0.1) {
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Err: io.ErrUnexpectedEOF}
	}
	return core.LoadReport{}, nil
}

func (f *fleet) record(router string, o core.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, sentOrder{time.Now(), router, o.FencingToken, o.Order == "load"})
}

func (f *fleet) execute(o core.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[o.Worker]
	if o.FencingToken < w.fencingToken {
		w.outdated++
		if f.set.Upstreams[upstream].ChecksFencing {
			w.rejected++
			return false
		}
	}
	w.fencingToken = max(w.fencingToken, o.FencingToken)
	if f.noEffect && !f.faultsOff {
		return true
	}
	w.models = slices.DeleteFunc(w.models, func(m string) bool { return m == o.Model })
	if o.Order == "load" {
		w.models = append(w.models, o.Model)
	}
	return true
}

// converged reports whether every engine has exactly the desired models.
func (f *fleet) converged() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	desired := slices.Sorted(slices.Values(f.set.Upstreams[upstream].Models))
	for _, w := range f.workers {
		if !slices.Equal(slices.Sorted(slices.Values(w.models)), desired) {
			return false
		}
	}
	return true
}

// startRouter starts a router whose rounds run until ctx ends.
func (f *fleet) startRouter(ctx context.Context, id string, change func(*Settings)) *Manager {
	settings := &Settings{
		WeightLoadsPerMinute: 6, LeaseTime: 10 * time.Second, LeaseMargin: 0.05, Renew: 3 * time.Second, Candidates: 3,
		Interval: time.Second, Reports: 8, OrderTimeout: 2 * time.Second, CallTimeout: time.Second,
		LoadPatience: 30 * time.Second, BackoffBase: 2 * time.Second, BackoffMax: 20 * time.Second,
	}
	if change != nil {
		change(settings)
	}
	c := fakeClient{f, id, map[string]randomSource{}}
	for worker := range f.workers {
		c.sources[worker] = f.newSource(id + "/" + worker)
	}
	p := Params{Settings: settings, Identity: core.Identity{Router: id, FailureDomain: "a", Incarnation: 1}, Config: f, Platform: f.table, Probe: c, Orders: c, Logger: log.New(io.Discard)}
	p.Scope = tally.NoopScope
	m := newManager(p, f.table, time.Now, f.newSource(id).Float64)
	runRounds := func(name string, round func(context.Context)) {
		s := f.newSource(id + name)
		for ctx.Err() == nil {
			<-time.After(s.between(900*time.Millisecond, 1100*time.Millisecond))
			c.waitWhilePaused(s)
			round(ctx)
		}
	}
	f.loops.Go(func() { runRounds("leases", m.leaseRound) })
	f.loops.Go(func() { runRounds("orders", m.reconcileRound) })
	return m
}

// check reports violations by the orders sent so far: fencing tokens that
// decrease, a fencing token used by two routers, or more than 6 loads in a minute.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	owner := map[uint64]string{}
	var loads []time.Time
	highest := uint64(0)
	for _, s := range f.sent {
		if s.fencingToken < highest {
			t.Errorf("an order with fencing token %d was sent after one with %d", s.fencingToken, highest)
		}
		highest = max(highest, s.fencingToken)
		if o := owner[s.fencingToken]; o != "" && o != s.router {
			t.Errorf("%s and %s used fencing token %d", o, s.router, s.fencingToken)
		}
		owner[s.fencingToken] = s.router
		if s.load {
			loads = append(loads, s.at)
		}
	}
	for i := 6; i < len(loads); i++ {
		if took := loads[i].Sub(loads[i-6]); took < time.Minute {
			t.Errorf("7 loads within %v", took)
		}
	}
	for id, w := range f.workers {
		if w.outdated > 0 && !f.lateOrders {
			t.Errorf("%s got %d orders with an outdated fencing token", id, w.outdated)
		}
	}
}
