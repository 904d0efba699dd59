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

// sent is an order whose bytes have gone out.
type sent struct {
	at     time.Time
	router string
	token  uint64
	load   bool
}

// worker is an engine. One that does not check obeys orders with any token.
type worker struct {
	models  []string
	token   uint64
	refused int
	back    int // orders obeyed under an older token than the one before
}

// source draws random numbers for one goroutine, so that the order in which
// goroutines run at one moment changes nothing.
type source struct{ *rand.Rand }

func (f *fleet) source(name string) source {
	return source{rand.New(rand.NewPCG(f.seed, placement.Hash(name)))}
}

func (s source) chance(share float64) bool { return s.Float64() < share }

func (s source) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.Int64N(int64(to-from)))
}

// fleet is some routers, the engines and the platform, in virtual time.
type fleet struct {
	mu      sync.Mutex
	seed    uint64
	set     *objects.Set
	workers map[string]*worker
	sent    []sent
	paused  map[string]time.Time // routers, until when
	slips   bool                 // some orders arrive after their deadline
	flaky   bool                 // some orders are refused, some replies lost
	stuck   bool                 // no report shows a change
	calm    bool                 // nothing of these happens any more
	onSend  func(router string)  // called before the bytes of an order go out
	table   *storetest.Platform
	loops   sync.WaitGroup
}

func newFleet(seed uint64, checks bool, engines int) *fleet {
	u := &objects.Upstream{Name: upstream, Models: []string{"m1"}, ManageModels: true, ChecksFencing: checks}
	f := &fleet{
		seed:    seed,
		set:     &objects.Set{Upstreams: map[string]*objects.Upstream{upstream: u}},
		workers: map[string]*worker{}, paused: map[string]time.Time{},
		table: storetest.New(storetest.Options{Seed: seed, Now: time.Now, After: func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }}),
	}
	for i := range engines {
		id := fmt.Sprint("e", i)
		u.Workers = append(u.Workers, objects.Worker{ID: id, FailureDomain: "a"})
		f.workers[id] = &worker{}
	}
	return f
}

// want publishes other models.
func (f *fleet) want(models ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	u := *f.set.Upstreams[upstream]
	u.Models = models
	f.set = &objects.Set{Upstreams: map[string]*objects.Upstream{upstream: &u}}
}

// Current and Subscribe make the fleet a core.Config.
func (f *fleet) Current() *core.ConfigRevision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &core.ConfigRevision{Set: f.set}
}

func (f *fleet) Subscribe(func(*core.ConfigRevision)) {}

// fault draws whether a fault of a kind that is on happens.
func (f *fleet) fault(s source, on bool, share float64) bool {
	hit := s.chance(share)
	f.mu.Lock()
	defer f.mu.Unlock()
	return on && hit && !f.calm
}

func (f *fleet) setCalm() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calm = true
}

// orders returns the orders sent so far.
func (f *fleet) orders() []sent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.sent)
}

func (f *fleet) pause(router string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paused[router] = time.Now().Add(d)
}

// client is a router's way to the engines. Every call waits while the router
// is paused.
type client struct {
	f      *fleet
	router string
	draws  map[string]source // by worker
}

// gate waits while the router is paused. The goroutines of a router go on one
// after the other, in an order that depends on the seed.
func (c client) gate(s source) {
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

func (c client) Load(_ context.Context, _, id string) (core.LoadReport, error) {
	s := c.draws[id]
	c.gate(s)
	c.f.mu.Lock()
	w := c.f.workers[id]
	report := core.LoadReport{Models: slices.Clone(w.models), FencingToken: w.token}
	c.f.mu.Unlock()
	<-time.After(s.between(0, 300*time.Millisecond))
	c.gate(s)
	return report, nil
}

func (c client) SendOrder(ctx context.Context, o core.Order) (core.LoadReport, error) {
	s := c.draws[o.Worker]
	<-time.After(s.between(0, 300*time.Millisecond))
	if c.f.onSend != nil {
		c.f.onSend(c.router)
	}
	if c.f.fault(s, c.f.flaky, 0.15) {
		c.f.pause(c.router, s.between(time.Second, 20*time.Second))
	}
	c.gate(s)
	if !o.Allowed() {
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeNotRun, Err: errors.New("not allowed")}
	}
	c.f.record(c.router, o)
	if ctx.Err() != nil { // a pause: the bytes go out before the process looks at its timers
		c.f.obey(o)
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Err: ctx.Err()}
	}
	deadline, _ := ctx.Deadline()
	arrival := s.between(0, max(time.Until(deadline), 1))
	if c.f.fault(s, c.f.slips, 0.2) {
		time.AfterFunc(s.between(5*time.Second, time.Minute), func() { c.f.obey(o) })
		arrival = time.Hour
	}
	select {
	case <-ctx.Done():
		<-time.After(s.between(0, time.Millisecond))
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Err: ctx.Err()}
	case <-time.After(arrival):
	}
	if c.f.fault(s, c.f.flaky, 0.1) {
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Status: 500, Err: errors.New("out of memory")}
	}
	if !c.f.obey(o) {
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Status: 409, Err: errors.New("old token")}
	}
	if c.f.fault(s, c.f.flaky, 0.1) {
		return core.LoadReport{}, &core.AttemptError{Outcome: core.OutcomeUnknown, Err: io.ErrUnexpectedEOF}
	}
	return core.LoadReport{}, nil
}

func (f *fleet) record(router string, o core.Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, sent{time.Now(), router, o.FencingToken, o.Order == "load"})
}

func (f *fleet) obey(o core.Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[o.Worker]
	if o.FencingToken < w.token {
		w.back++
		if f.set.Upstreams[upstream].ChecksFencing {
			w.refused++
			return false
		}
	}
	w.token = max(w.token, o.FencingToken)
	if f.stuck && !f.calm {
		return true
	}
	w.models = slices.DeleteFunc(w.models, func(m string) bool { return m == o.Model })
	if o.Order == "load" {
		w.models = append(w.models, o.Model)
	}
	return true
}

// settled reports whether every engine has exactly the wanted models.
func (f *fleet) settled() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := slices.Sorted(slices.Values(f.set.Upstreams[upstream].Models))
	for _, w := range f.workers {
		if !slices.Equal(slices.Sorted(slices.Values(w.models)), wanted) {
			return false
		}
	}
	return true
}

// router starts a router whose turns run until ctx ends.
func (f *fleet) router(ctx context.Context, id string, change func(*Settings)) *Manager {
	set := &Settings{
		WeightLoadsPerMinute: 6, LeaseTime: 10 * time.Second, LeaseMargin: 0.05, Renew: 3 * time.Second, Candidates: 3,
		Interval: time.Second, Reports: 8, OrderTimeout: 2 * time.Second, CallTimeout: time.Second,
		LoadPatience: 30 * time.Second, BackoffBase: 2 * time.Second, BackoffMax: 20 * time.Second,
	}
	if change != nil {
		change(set)
	}
	c := client{f, id, map[string]source{}}
	for worker := range f.workers {
		c.draws[worker] = f.source(id + "/" + worker)
	}
	p := Params{Settings: set, Identity: core.Identity{Router: id, FailureDomain: "a", Incarnation: 1}, Config: f, Platform: f.table, Probe: c, Orders: c, Logger: log.New(io.Discard)}
	p.Scope = tally.NoopScope
	m := newManager(p, f.table, time.Now, f.source(id).Float64)
	every := func(name string, turn func(context.Context)) {
		s := f.source(id + name)
		for ctx.Err() == nil {
			<-time.After(s.between(900*time.Millisecond, 1100*time.Millisecond))
			c.gate(s)
			turn(ctx)
		}
	}
	f.loops.Go(func() { every("leases", m.leaseTurn) })
	f.loops.Go(func() { every("orders", m.compareTurn) })
	return m
}

// check reports what the orders sent so far break: tokens that go back, a token
// used by two routers, or more loads in a minute than 6.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	owner := map[uint64]string{}
	var loads []time.Time
	highest := uint64(0)
	for _, s := range f.sent {
		if s.token < highest {
			t.Errorf("token %d is sent after token %d", s.token, highest)
		}
		highest = max(highest, s.token)
		if o := owner[s.token]; o != "" && o != s.router {
			t.Errorf("%s and %s used token %d", o, s.router, s.token)
		}
		owner[s.token] = s.router
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
		if w.back > 0 && !f.slips {
			t.Errorf("%s got %d orders under an older token", id, w.back)
		}
	}
}
