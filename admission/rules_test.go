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

// pool runs a scheduler with requests that hold their slots for a random time
// and lets callers keep the queues filled.
type pool struct {
	s     *Scheduler
	now   time.Time
	rng   *rand.Rand
	ends  []ending
	next  int
	ranks map[string]string  // rank by request
	held  map[string]int     // slots by rank
	spent map[string]float64 // slot time by rank in the current window
	costs map[string]int64   // tokens by caller
	owner map[string]string  // caller by request
}

type ending struct {
	id string
	at time.Time
}

func newPool(cfg Config, slots int, seed uint64) *pool {
	p := &pool{s: New(cfg), now: start, rng: rand.New(rand.NewPCG(seed, 1)), ranks: map[string]string{},
		held: map[string]int{}, spent: map[string]float64{}, costs: map[string]int64{}, owner: map[string]string{}}
	p.s.SetWorker(start, Worker{ID: "w", MaxInFlight: slots, Open: true})
	return p
}

func (p *pool) offer(rank, caller string, cost int64) *Refusal {
	p.next++
	id := fmt.Sprint("q", p.next)
	p.ranks[id], p.owner[id] = rank, caller
	return p.s.Enqueue(p.now, Request{ID: id, Caller: caller, Weight: 1, Rank: rank, CostTokens: cost, AnyWorker: true})
}

// step moves the time by 100 ms and ends requests. Service times are 0 to 24 s,
// like those of the target size.
func (p *pool) step() {
	const tick = 100 * time.Millisecond
	p.now = p.now.Add(tick)
	for rank, held := range p.held {
		p.spent[rank] += float64(held) * tick.Seconds()
	}
	rest := p.ends[:0]
	for _, e := range p.ends {
		if e.at.After(p.now) {
			rest = append(rest, e)
			continue
		}
		p.s.Release(p.now, e.id, -1)
		p.held[p.ranks[e.id]]--
	}
	p.ends = rest
	p.s.Advance(p.now, func(g Grant) {
		p.ends = append(p.ends, ending{g.RequestID, p.now.Add(time.Duration(p.rng.Float64() * 24 * float64(time.Second)))})
		p.held[p.ranks[g.RequestID]]++
		p.costs[p.owner[g.RequestID]]++
	}, func(Refusal) {})
}

// Guards the floors: under a flood of any rank, every rank that has waiting
// work keeps its floor of the slot time in every 10 s once slots have turned
// over, with non-preemptible requests that run longer than the window.
func TestFloorsHoldInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flood := rapid.SampledFrom([]string{"urgent", "normal", "low"}).Draw(t, "flood")
		slots := rapid.IntRange(20, 60).Draw(t, "slots")
		p := newPool(testConfig(), slots, rapid.Uint64().Draw(t, "seed"))
		p.s.cfg.MaxReservedShare = -1
		for tick := range 700 {
			for _, rank := range []string{"urgent", "normal", "low"} {
				p.offer(rank, "a", 1)
			}
			for range 9 {
				p.offer(flood, "b", 1)
			}
			p.step()
			if tick%100 != 99 {
				continue
			}
			for _, rank := range testConfig().Ranks {
				if share := p.spent[rank.Name] / float64(slots*10); tick > 300 && share < rank.Floor-1e-9 {
					t.Fatalf("rank %s has %.3f of the slot time, floor %.2f", rank.Name, share, rank.Floor)
				}
			}
			clear(p.spent)
		}
	})
}

// Guards against a rank that is starved when its floor is less than one slot.
func TestFloorsWithOneSlot(t *testing.T) {
	Convey("Every rank is served on a worker with one slot under a flood of the most urgent", t, func() {
		p := newPool(testConfig(), 1, 1)
		for range 6000 {
			p.offer("urgent", "a", 1)
			p.offer("normal", "a", 1)
			p.offer("low", "a", 1)
			p.step()
		}
		for _, rank := range testConfig().Ranks {
			So(p.spent[rank.Name]/600, ShouldBeGreaterThan, rank.Floor/2)
		}
	})
}

// Guards small callers: one caller with 50 times its share can take neither
// their queue places nor their share of the slots.
func TestSmallCallersBesideALargeOne(t *testing.T) {
	Convey("Nine small callers get all they ask for beside one that floods", t, func() {
		cfg := testConfig()
		p := newPool(cfg, 40, 7)
		refused := 0
		offered := 0
		for tick := range 3000 {
			for range 20 {
				p.offer("normal", "large", 1)
			}
			if tick%10 == 0 {
				offered++
				if p.offer("normal", fmt.Sprint("small", tick/10%9), 1) != nil {
					refused++
				}
			}
			p.step()
		}
		served := 0
		for caller, count := range p.costs {
			if caller != "large" {
				served += int(count)
			}
		}
		So(refused, ShouldEqual, 0)
		So(offered-served, ShouldBeLessThanOrEqualTo, cfg.Ranks[2].QueueLimit)
	})
}

// Guards small callers against a large one that sends its work as urgent.
func TestUrgentWorkOfALargeCaller(t *testing.T) {
	Convey("Nine callers get all their normal work served beside one that floods with urgent work", t, func() {
		p := newPool(testConfig(), 40, 11)
		offered := 0
		for tick := range 3000 {
			p.offer("urgent", "large", 1)
			if tick%10 == 0 {
				offered++
				p.offer("normal", fmt.Sprint("small", tick/10%9), 1)
			}
			p.step()
		}
		served := 0
		for caller, count := range p.costs {
			if caller != "large" {
				served += int(count)
			}
		}
		So(offered-served, ShouldBeLessThanOrEqualTo, 3)
	})
}

// Guards the correction of costs: a caller that understates its costs gets no
// more tokens than an honest one.
func TestCostsAreCorrectedOnRelease(t *testing.T) {
	Convey("Two callers get equal tokens whatever cost they state", t, func() {
		s := New(testConfig())
		s.SetWorker(start, Worker{ID: "w", MaxInFlight: 4, Open: true})
		tokens := map[string]int{}
		granted := []string{}
		for i := range 4000 {
			now := start.Add(time.Duration(i) * time.Millisecond)
			s.Enqueue(now, Request{ID: fmt.Sprint("honest", i), Caller: "h", Weight: 1, Rank: "low", CostTokens: 100, AnyWorker: true})
			s.Enqueue(now, Request{ID: fmt.Sprint("sly", i), Caller: "s", Weight: 1, Rank: "low", CostTokens: 1, AnyWorker: true})
			s.Advance(now, func(g Grant) { granted = append(granted, g.RequestID) }, func(Refusal) {})
			s.Release(now, granted[0], 100)
			tokens[granted[0][:1]] += 100
			granted = granted[1:]
		}
		So(tokens["s"], ShouldBeBetween, tokens["h"]*97/100, tokens["h"]*103/100)
	})
}

// Guards the urgent rank: while a lower rank floods, a slot is free when an
// urgent request arrives, and none is kept when no urgent work arrives.
func TestReserve(t *testing.T) {
	Convey("Lower ranks leave a slot free while urgent requests arrive", t, func() {
		p := newPool(testConfig(), 40, 3)
		for tick := range 1800 {
			for range 5 {
				p.offer("low", "a", 1)
			}
			if tick%20 == 0 && tick < 600 {
				p.offer("urgent", "a", 1)
			}
			p.step()
			if tick == 599 {
				So(p.s.InFlight(), ShouldBeBetweenOrEqual, 38, 39)
			}
		}
		So(p.s.InFlight(), ShouldEqual, 40)
	})
}

// Guards the choice of worker, requests that must not wait and those that no
// worker can serve.
func TestOffer(t *testing.T) {
	Convey("Given two workers of which the first has one slot", t, func() {
		s := New(testConfig())
		s.SetWorker(start, Worker{ID: "w1", MaxInFlight: 1, Open: true})
		s.SetWorker(start, Worker{ID: "w2", MaxInFlight: 1, Open: true})
		got := map[string]string{}
		offer := func(id string, any bool, workers ...string) {
			q := Request{ID: id, Rank: "low", Workers: workers, AnyWorker: any, Deadline: start}
			if r := s.Enqueue(start, q); r != nil {
				got[id] = string(r.Reason)
				return
			}
			s.Advance(start, func(g Grant) { got[g.RequestID] = g.Worker }, func(r Refusal) { got[r.RequestID] = string(r.Reason) })
		}
		offer("first", false, "w1")
		offer("full", false, "w1")
		offer("other", true, "w1")
		offer("unknown", false, "w7")
		So(got, ShouldResemble, map[string]string{"first": "w1", "full": "expired", "other": "w2", "unknown": "no_worker"})
		Convey("A worker that closes sends its waiting requests elsewhere at once", func() {
			s.Enqueue(start, Request{ID: "waits", Rank: "low", Workers: []string{"w1"}})
			s.SetWorker(start, Worker{ID: "w1", MaxInFlight: 1})
			s.Advance(start, nil, func(r Refusal) { got[r.RequestID] = string(r.Reason) })
			So(got["waits"], ShouldEqual, "no_worker")
		})
	})
}

// Guards the target of no allocation per decision.
func TestSteadyStateAllocatesNothing(t *testing.T) {
	Convey("Offer, Advance and Release of a queued request allocate nothing", t, func() {
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
