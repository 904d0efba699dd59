package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/auburnlead/auburnlead/internal/proof" // sets the seed
)

// simulation runs a scheduler with requests that hold their slots for a random
// time and lets callers keep the queues filled.
type simulation struct {
	s        *Scheduler
	now      time.Time
	rng      *rand.Rand
	running  []ending
	next     int
	ranks    map[string]string  // rank by request
	held     map[string]int     // slots by rank
	slotTime map[string]float64 // slot time by rank in the current window
	granted  map[string]int64   // granted requests by caller
	callers  map[string]string  // caller by request
}

type ending struct {
	id string
	at time.Time
}

func newSimulation(cfg Config, slots int, seed uint64) *simulation {
	p := &simulation{s: New(cfg), now: start, rng: rand.New(rand.NewPCG(seed, 1)), ranks: map[string]string{},
		held: map[string]int{}, slotTime: map[string]float64{}, granted: map[string]int64{}, callers: map[string]string{}}
	p.s.SetWorker(start, Worker{ID: "w", MaxInFlight: slots, Open: true})
	return p
}

func (p *simulation) enqueue(rank, caller string, cost int64) *Refusal {
	p.next++
	id := fmt.Sprint("q", p.next)
	p.ranks[id], p.callers[id] = rank, caller
	return p.s.Enqueue(p.now, Request{ID: id, Caller: caller, Weight: 1, Rank: rank, CostTokens: cost, AnyWorker: true})
}

// step moves the time by 100 ms, ends requests and advances the scheduler.
// Service times are 0 to 24 s, like those of the target deployment.
func (p *simulation) step() {
	const tick = 100 * time.Millisecond
	p.now = p.now.Add(tick)
	for rank, held := range p.held {
		p.slotTime[rank] += float64(held) * tick.Seconds()
	}
	rest := p.running[:0]
	for _, e := range p.running {
		if e.at.After(p.now) {
			rest = append(rest, e)
			continue
		}
		p.s.Release(p.now, e.id, -1)
		p.held[p.ranks[e.id]]--
	}
	p.running = rest
	p.s.Advance(p.now, func(g Grant) {
		p.running = append(p.running, ending{g.RequestID, p.now.Add(time.Duration(p.rng.Float64() * 24 * float64(time.Second)))})
		p.held[p.ranks[g.RequestID]]++
		p.granted[p.callers[g.RequestID]]++
	}, func(Refusal) {})
}

// Guards the floors: under a flood of any rank, every rank that has waiting
// requests keeps its floor of the slot time in every 10 s once slots have
// turned over, with non-preemptible requests that run longer than the window.
func TestFloorsHoldInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flood := rapid.SampledFrom([]string{"urgent", "normal", "low"}).Draw(t, "flood")
		slots := rapid.IntRange(20, 60).Draw(t, "slots")
		p := newSimulation(testConfig(), slots, rapid.Uint64().Draw(t, "seed"))
		p.s.cfg.MaxReservedShare = -1
		for tick := range 700 {
			for _, rank := range []string{"urgent", "normal", "low"} {
				p.enqueue(rank, "a", 1)
			}
			for range 9 {
				p.enqueue(flood, "b", 1)
			}
			p.step()
			if tick%100 != 99 {
				continue
			}
			for _, rank := range testConfig().Ranks {
				if share := p.slotTime[rank.Name] / float64(slots*10); tick > 300 && share < rank.Floor-1e-9 {
					t.Fatalf("rank %s has %.3f of the slot time, floor %.2f", rank.Name, share, rank.Floor)
				}
			}
			clear(p.slotTime)
		}
	})
}

// Guards against a rank that starves when its floor is less than one slot.
func TestFloorsWithOneSlot(t *testing.T) {
	Convey("Every rank is served on a worker with one slot under a flood of the most urgent rank", t, func() {
		p := newSimulation(testConfig(), 1, 1)
		for range 6000 {
			p.enqueue("urgent", "a", 1)
			p.enqueue("normal", "a", 1)
			p.enqueue("low", "a", 1)
			p.step()
		}
		for _, rank := range testConfig().Ranks {
			So(p.slotTime[rank.Name]/600, ShouldBeGreaterThan, rank.Floor/2)
		}
	})
}

// Guards small callers: a caller that sends 50 times its share can take neither
// their places in the queue nor their share of the slots.
func TestSmallCallersBesideALargeOne(t *testing.T) {
	Convey("Nine small callers get all their requests served beside one caller that floods", t, func() {
		cfg := testConfig()
		p := newSimulation(cfg, 40, 7)
		refused := 0
		offered := 0
		for tick := range 3000 {
			for range 20 {
				p.enqueue("normal", "large", 1)
			}
			if tick%10 == 0 {
				offered++
				if p.enqueue("normal", fmt.Sprint("small", tick/10%9), 1) != nil {
					refused++
				}
			}
			p.step()
		}
		served := 0
		for caller, count := range p.granted {
			if caller != "large" {
				served += int(count)
			}
		}
		So(refused, ShouldEqual, 0)
		So(offered-served, ShouldBeLessThanOrEqualTo, cfg.Ranks[2].QueueLimit)
	})
}

// Guards small callers against a large caller that sends its requests as
// urgent.
func TestUrgentWorkOfALargeCaller(t *testing.T) {
	Convey("Nine callers get all their normal requests served beside one that floods with urgent requests", t, func() {
		p := newSimulation(testConfig(), 40, 11)
		offered := 0
		for tick := range 3000 {
			p.enqueue("urgent", "large", 1)
			if tick%10 == 0 {
				offered++
				p.enqueue("normal", fmt.Sprint("small", tick/10%9), 1)
			}
			p.step()
		}
		served := 0
		for caller, count := range p.granted {
			if caller != "large" {
				served += int(count)
			}
		}
		So(offered-served, ShouldBeLessThanOrEqualTo, 3)
	})
}

// Guards the correction of costs: a caller that understates its costs gets no
// more tokens than one that states them correctly.
func TestCostsAreCorrectedOnRelease(t *testing.T) {
	Convey("Two callers get equal tokens whatever costs they state", t, func() {
		s := New(testConfig())
		s.SetWorker(start, Worker{ID: "w", MaxInFlight: 4, Open: true})
		tokens := map[string]int{}
		inFlight := []string{}
		for i := range 4000 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			s.Enqueue(now, Request{ID: fmt.Sprint("honest", i), Caller: "h", Weight: 1, Rank: "low", CostTokens: 100, AnyWorker: true})
			s.Enqueue(now, Request{ID: fmt.Sprint("sly", i), Caller: "s", Weight: 1, Rank: "low", CostTokens: 1, AnyWorker: true})
			s.Advance(now, func(g Grant) { inFlight = append(inFlight, g.RequestID) }, func(Refusal) {})
			s.Release(now, inFlight[0], 100)
			tokens[inFlight[0][:1]] += 100
			inFlight = inFlight[1:]
		}
		So(tokens["s"], ShouldBeBetween, tokens["h"]*97/100, tokens["h"]*103/100)
	})
}

// Guards the urgent rank: while a lower rank floods, a slot is free when an
// urgent request arrives, and none is kept free when no urgent requests arrive.
func TestReserve(t *testing.T) {
	Convey("Lower ranks leave a slot free while urgent requests arrive", t, func() {
		p := newSimulation(testConfig(), 40, 3)
		for tick := range 1800 {
			for range 5 {
				p.enqueue("low", "a", 1)
			}
			if tick%20 == 0 && tick < 600 {
				p.enqueue("urgent", "a", 1)
			}
			p.step()
			if tick == 599 {
				So(p.s.InFlight(), ShouldBeBetweenOrEqual, 38, 39)
			}
		}
		So(p.s.InFlight(), ShouldEqual, 40)
	})
}

// Guards the choice of the worker, requests that must not wait, and requests
// that no worker can serve.
func TestEnqueue(t *testing.T) {
	Convey("Given two workers with one slot each", t, func() {
		s := New(testConfig())
		s.SetWorker(start, Worker{ID: "w1", MaxInFlight: 1, Open: true})
		s.SetWorker(start, Worker{ID: "w2", MaxInFlight: 1, Open: true})
		got := map[string]string{}
		enqueue := func(id string, any bool, workers ...string) {
			q := Request{ID: id, Rank: "low", Workers: workers, AnyWorker: any, Deadline: start}
			if r := s.Enqueue(start, q); r != nil {
				got[id] = string(r.Reason)
				return
			}
			s.Advance(start, func(g Grant) { got[g.RequestID] = g.Worker }, func(r Refusal) { got[r.RequestID] = string(r.Reason) })
		}
		enqueue("first", false, "w1")
		enqueue("full", false, "w1")
		enqueue("other", true, "w1")
		enqueue("unknown", false, "w7")
		So(got, ShouldResemble, map[string]string{"first": "w1", "full": "expired", "other": "w2", "unknown": "no_worker"})
		Convey("When a worker closes, its waiting requests are refused at once, so that they can go elsewhere", func() {
			s.Enqueue(start, Request{ID: "waits", Rank: "low", Workers: []string{"w1"}})
			s.SetWorker(start, Worker{ID: "w1", MaxInFlight: 1})
			s.Advance(start, nil, func(r Refusal) { got[r.RequestID] = string(r.Reason) })
			So(got["waits"], ShouldEqual, "no_worker")
		})
	})
}

// Guards the target of zero allocations per decision.
func TestSteadyStateAllocatesNothing(t *testing.T) {
	Convey("Enqueue, Advance and Release of a queued request allocate nothing", t, func() {
		s := New(testConfig())
		s.SetWorker(start, Worker{ID: "w", MaxInFlight: 2, Open: true})
		ids := make([]string, 1000)
		for i := range ids {
			ids[i] = fmt.Sprint(i)
		}
		workers := []string{"w"}
		i := 0
		granted := make([]string, 0, 8)
		grant := func(g Grant) { granted = append(granted, g.RequestID) }
		refuse := func(Refusal) {}
		So(testing.AllocsPerRun(500, func() {
			now := start.Add(time.Duration(i) * time.Second)
			q := Request{ID: ids[i], Rank: "low", Caller: ids[i%5], Workspace: ids[i%7], CostTokens: 10, Workers: workers, Deadline: now.Add(9 * time.Second)}
			s.Enqueue(now, q)
			s.Advance(now, grant, refuse)
			if i > 2 {
				s.Release(now, granted[0], 12)
				granted = granted[:copy(granted, granted[1:])]
			}
			i++
		}), ShouldEqual, 0)
	})
}
