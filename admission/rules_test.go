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
// time. Tests call enqueue and step.
type simulation struct {
	s          *Scheduler
	now        time.Time
	rng        *rand.Rand
	running    []runningRequest
	lastNumber int
	ranks      map[string]string  // rank by request
	held       map[string]int     // slots by rank
	slotTime   map[string]float64 // slot time by rank in the current window
	granted    map[string]int64   // granted requests by caller
	callers    map[string]string  // caller by request
}

type runningRequest struct {
	id string
	at time.Time
}

func newSimulation(cfg Config, slots int, seed uint64) *simulation {
	sim := &simulation{s: New(cfg), now: start, rng: rand.New(rand.NewPCG(seed, 1)), ranks: map[string]string{},
		held: map[string]int{}, slotTime: map[string]float64{}, granted: map[string]int64{}, callers: map[string]string{}}
	sim.s.SetWorker(start, Worker{ID: "w", MaxInFlight: slots, Open: true})
	return sim
}

func (sim *simulation) enqueue(rank, caller string, cost int64) *Refusal {
	sim.lastNumber++
	id := fmt.Sprint("q", sim.lastNumber)
	sim.ranks[id], sim.callers[id] = rank, caller
	return sim.s.Enqueue(sim.now, Request{ID: id, Caller: caller, Weight: 1, Rank: rank, CostTokens: cost, AnyWorker: true})
}

// step advances the clock by 100 ms, ends requests and advances the scheduler.
// Service times are 0 to 24 s, like those of the target deployment.
func (sim *simulation) step() {
	const tick = 100 * time.Millisecond
	sim.now = sim.now.Add(tick)
	for rank, held := range sim.held {
		sim.slotTime[rank] += float64(held) * tick.Seconds()
	}
	rest := sim.running[:0]
	for _, e := range sim.running {
		if e.at.After(sim.now) {
			rest = append(rest, e)
			continue
		}
		sim.s.Release(sim.now, e.id, -1)
		sim.held[sim.ranks[e.id]]--
	}
	sim.running = rest
	sim.s.Advance(sim.now, func(g Grant) {
		sim.running = append(sim.running, runningRequest{g.RequestID, sim.now.Add(time.Duration(sim.rng.Float64() * 24 * float64(time.Second)))})
		sim.held[sim.ranks[g.RequestID]]++
		sim.granted[sim.callers[g.RequestID]]++
	}, func(Refusal) {})
}

// Guards against a rank that gets less than its floor while another rank floods.
// Every rank that has waiting requests must get its floor of the slot time in
// every window of 10 s, once the slots have been released and granted again,
// although requests are not preempted and run longer than the window.
func TestFloorsHoldInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flood := rapid.SampledFrom([]string{"urgent", "normal", "low"}).Draw(t, "flood")
		slots := rapid.IntRange(20, 60).Draw(t, "slots")
		sim := newSimulation(testConfig(), slots, rapid.Uint64().Draw(t, "seed"))
		sim.s.cfg.MaxReservedShare = -1
		for tick := range 700 {
			for _, rank := range []string{"urgent", "normal", "low"} {
				sim.enqueue(rank, "a", 1)
			}
			for range 9 {
				sim.enqueue(flood, "b", 1)
			}
			sim.step()
			if tick%100 != 99 {
				continue
			}
			for _, rank := range testConfig().Ranks {
				if share := sim.slotTime[rank.Name] / float64(slots*10); tick > 300 && share < rank.Floor-1e-9 {
					t.Fatalf("rank %s has %.3f of the slot time, floor %.2f", rank.Name, share, rank.Floor)
				}
			}
			clear(sim.slotTime)
		}
	})
}

// Guards against a rank that starves when its floor is less than one slot.
func TestFloorsWithOneSlot(t *testing.T) {
	Convey("Every rank is served on a worker with one slot under a flood of the most urgent rank", t, func() {
		sim := newSimulation(testConfig(), 1, 1)
		for range 6000 {
			sim.enqueue("urgent", "a", 1)
			sim.enqueue("normal", "a", 1)
			sim.enqueue("low", "a", 1)
			sim.step()
		}
		for _, rank := range testConfig().Ranks {
			So(sim.slotTime[rank.Name]/600, ShouldBeGreaterThan, rank.Floor/2)
		}
	})
}

// Guards against a caller that takes the places of small callers in the queue, or
// their share of the slots, by sending 50 times its share.
func TestSmallCallersBesideALargeOne(t *testing.T) {
	Convey("Nine small callers get all their requests served beside one caller that floods", t, func() {
		cfg := testConfig()
		sim := newSimulation(cfg, 40, 7)
		refused := 0
		enqueued := 0
		for tick := range 3000 {
			for range 20 {
				sim.enqueue("normal", "large", 1)
			}
			if tick%10 == 0 {
				enqueued++
				if sim.enqueue("normal", fmt.Sprint("small", tick/10%9), 1) != nil {
					refused++
				}
			}
			sim.step()
		}
		served := 0
		for caller, count := range sim.granted {
			if caller != "large" {
				served += int(count)
			}
		}
		So(refused, ShouldEqual, 0)
		So(enqueued-served, ShouldBeLessThanOrEqualTo, cfg.Ranks[2].QueueLimit)
	})
}

// Guards against a large caller that takes the slots of small ones by sending its
// requests in the urgent rank.
func TestUrgentWorkOfALargeCaller(t *testing.T) {
	Convey("Nine callers get all their normal requests served beside one that floods with urgent requests", t, func() {
		sim := newSimulation(testConfig(), 40, 11)
		enqueued := 0
		for tick := range 3000 {
			sim.enqueue("urgent", "large", 1)
			if tick%10 == 0 {
				enqueued++
				sim.enqueue("normal", fmt.Sprint("small", tick/10%9), 1)
			}
			sim.step()
		}
		served := 0
		for caller, count := range sim.granted {
			if caller != "large" {
				served += int(count)
			}
		}
		So(enqueued-served, ShouldBeLessThanOrEqualTo, 3)
	})
}

// Guards against a caller that gets more tokens by understating its costs: the
// requests "sly" state a cost of 1 token and use 100.
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

// Guards against urgent requests that find no free slot while a lower rank floods,
// and against slots that stay reserved when no urgent requests arrive.
func TestReserve(t *testing.T) {
	Convey("Lower ranks leave a slot free while urgent requests arrive", t, func() {
		sim := newSimulation(testConfig(), 40, 3)
		for tick := range 1800 {
			for range 5 {
				sim.enqueue("low", "a", 1)
			}
			if tick%20 == 0 && tick < 600 {
				sim.enqueue("urgent", "a", 1)
			}
			sim.step()
			if tick == 599 {
				So(sim.s.InFlight(), ShouldBeBetweenOrEqual, 38, 39)
			}
		}
		So(sim.s.InFlight(), ShouldEqual, 40)
	})
}

// Guards against a wrong choice of the worker, and against requests that wait
// although they must not wait or no worker can serve them.
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

// Guards against allocations in a decision; the target is zero.
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
