package lease

import (
	"cmp"
	"container/heap"
	"context"
	"math/rand/v2"
	"time"

	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

const rowKey = "slots/u/w"

// virtualStart is the wall time at which virtual time starts.
var virtualStart = time.Unix(1_700_000_000, 0)

// sim provides virtual time with an event queue, and an in-memory platform whose
// requests and replies are delayed and can be lost. Each process has its own
// clock.
type sim struct {
	rand      *rand.Rand
	now       time.Duration
	queue     events
	lastOrder int
	table     *storetest.Platform
	check     func()
}

func newSim(seed uint64) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 1)), check: func() {}}
	s.table = storetest.New(storetest.Options{
		Seed: seed, Now: func() time.Time { return virtualStart.Add(s.now) },
		After: func(d time.Duration, fn func()) { s.after(d, fn) },
	})
	return s
}

type event struct {
	at    time.Duration
	order int
	fn    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e events) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(e[i].at, e[j].at), cmp.Compare(e[i].order, e[j].order)) < 0
}

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *sim) after(d time.Duration, fn func()) {
	s.lastOrder++
	heap.Push(&s.queue, event{s.now + d, s.lastOrder, fn})
}

// run handles events until the given time and runs the check after each.
func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= until {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.fn()
		s.check()
	}
	s.now = until
}

func (s *sim) chance(probability float64) bool { return s.rand.Float64() < probability }

func (s *sim) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rand.Int64N(int64(high-low)+1))
}

// delay returns the one-way latency of a message: mostly short, sometimes
// longer than a lease.
func (s *sim) delay() time.Duration {
	if s.chance(0.03) {
		return s.between(time.Second, 15*time.Second)
	}
	return s.between(time.Millisecond, 50*time.Millisecond)
}

// process is one router process. It has its own clock, and tests can pause it or
// end it.
type process struct {
	sim         *sim
	id          string
	incarnation uint64
	clockRate   float64 // relative to virtual time
	clockOffset time.Duration
	pausedUntil time.Duration
	cutOffUntil time.Duration // replies to requests that the platform handles before then are lost
	dead        bool
}

func (p *process) now() time.Time {
	return virtualStart.Add(p.clockOffset + time.Duration(p.clockRate*float64(p.sim.now)))
}

// deliver runs fn in the process after the delay, or after its pause if it is
// paused then. It does nothing if the process has ended.
func (p *process) deliver(d time.Duration, fn func()) {
	p.sim.after(d, func() { p.resume(fn) })
}

func (p *process) resume(fn func()) {
	switch {
	case p.dead:
	case p.sim.now < p.pausedUntil:
		p.sim.after(p.pausedUntil-p.sim.now, func() { p.resume(fn) })
	default:
		fn()
	}
}

// every runs fn in the process once per period of its own clock.
func (p *process) every(period time.Duration, fn func()) {
	p.deliver(time.Duration(float64(period)/p.clockRate), func() {
		fn()
		p.every(period, fn)
	})
}

// read reads the row over a slow network.
func (p *process) read(key string, done func(sent time.Time, row store.Row)) {
	sent := p.now()
	p.sim.after(p.sim.delay(), func() {
		rows, err := p.sim.table.Get(context.Background(), key)
		if err == nil && p.sim.now >= p.cutOffUntil {
			p.deliver(p.sim.delay(), func() { done(sent, rows[0]) })
		}
	})
}

// commit writes the row. After a second without a reply the outcome is reported
// as Uncertain, and a later reply is ignored.
func (p *process) commit(op store.Op, done func(outcome Outcome, version int64)) {
	replied := false
	reply := func(outcome Outcome, version int64) {
		if !replied {
			replied = true
			done(outcome, version)
		}
	}
	p.deliver(time.Second, func() { reply(Uncertain, 0) })
	p.sim.after(p.sim.delay(), func() {
		result, err := p.sim.table.Commit(context.Background(), []store.Op{op})
		version := int64(0)
		if err == nil {
			version = result.Versions[0]
		}
		if p.sim.now < p.cutOffUntil {
			return
		}
		p.deliver(p.sim.delay(), func() { reply(OutcomeOf(err), version) })
	})
}

// changeFaults changes the faults of the platform at random intervals.
func (s *sim) changeFaults(faults storetest.Faults, outages bool) {
	s.after(s.between(time.Second, 20*time.Second), func() {
		f := faults
		f.Outage = outages && s.chance(0.25)
		s.table.SetFaults(f)
		s.changeFaults(faults, outages)
	})
}
