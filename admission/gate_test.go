package admission

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/retry"
)

// flood is a model, in virtual time, of many routers in front of a plain service of 3
// workers with 6 slots and a queue of 24 each, at 30 ms a request. 24 callers send
// 235 requests/s; from the second to the ninth second they send 2.3 times as many,
// and two of them 7 times as many as the others.
type flood struct {
	routers, unheard int
	gated            bool
	greedy           [2]int // the callers that send 7 times as much
	random           *rand.Rand
	now              time.Time
	events           []floodEvent // latest first
	gates            []*Gate
	budgets          []*retry.Budget
	busy             [3]int
	waiting          [3][]func(rejected bool)

	arrivals, rejected int     // attempts at the workers during the flood, and those rejected
	sent, onTime       [24]int // requests of callers during the flood, without retries
	refusedAfter       int     // refusals later than 2 s after the flood
	refusedFree        int     // refusals while less than half of the slots were taken
}

type floodEvent struct {
	at time.Time
	do func()
}

const (
	floodService  = 7
	floodStart    = 2 * time.Second
	floodEnd      = 9 * time.Second
	floodTarget   = 150 * time.Millisecond
	floodDeadline = time.Second
	floodSlots    = 6
	floodQueue    = 24
)

func (f *flood) after(d time.Duration, do func()) {
	at := f.now.Add(d)
	i, _ := slices.BinarySearchFunc(f.events, at, func(e floodEvent, at time.Time) int { return at.Compare(e.at) })
	f.events = slices.Insert(f.events, i, floodEvent{at, do})
}

func (f *flood) run(seed uint64) *flood {
	f.random, f.now = rand.New(rand.NewPCG(seed, 2)), start
	for i := range f.routers {
		f.gates, f.budgets = append(f.gates, newTestGate(uint64(i)+1, 3*floodSlots)), append(f.budgets, retry.NewBudget(0.1, 0.06))
		f.gates[i].SetRouters(f.routers)
		f.after(f.upTo(250*time.Millisecond), func() { f.gossip(i) })
	}
	for caller := range f.sent {
		f.arrive(caller)
	}
	for f.now.Sub(start) < floodEnd+4*time.Second {
		e := f.events[len(f.events)-1]
		f.events, f.now = f.events[:len(f.events)-1], e.at
		e.do()
	}
	return f
}

func (f *flood) upTo(d time.Duration) time.Duration { return time.Duration(f.random.Int64N(int64(d))) }

func (f *flood) flooding() bool {
	return f.now.Sub(start) >= floodStart && f.now.Sub(start) < floodEnd
}

// arrive sends a request of a caller to a random router, and prepares the next one.
func (f *flood) arrive(caller int) {
	rate := 235 / float64(len(f.sent))
	if f.flooding() {
		rate *= 2.3
		if slices.Contains(f.greedy[:], caller) {
			rate *= 7
		}
		f.sent[caller]++
	}
	f.request(caller, f.now, false, f.flooding())
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), func() { f.arrive(caller) })
}

// request sends a request that arrived at some time. The caller repeats it once.
func (f *flood) request(caller int, arrived time.Time, second, counted bool) {
	router := f.random.IntN(f.routers)
	f.budgets[router].Success(f.now)
	f.attempt(caller, router, f.random.Perm(3), func(refused bool, wait time.Duration) {
		if !refused && counted && f.now.Sub(arrived) <= floodTarget {
			f.onTime[caller]++
		}
		if left := arrived.Add(floodDeadline).Sub(f.now); refused && !second && left > 0 {
			f.after(min(wait, left/3), func() { f.request(caller, arrived, true, counted) })
		}
	})
}

// attempt sends a request to the workers in turn until one takes it.
func (f *flood) attempt(caller, router int, workers []int, end func(refused bool, wait time.Duration)) {
	g := f.gates[router]
	r := RoutedRequest{Upstream: floodService, Rank: []int{0, 4, 8}[caller/8], Caller: uint32(caller) + 1, Weight: 1, Target: floodTarget, TimeLeft: floodDeadline, Repeated: len(workers) < 3}
	if d := g.Decide(f.now, r); d.Refused && f.gated {
		if f.now.Sub(start) > floodEnd+2*time.Second {
			f.refusedAfter++
		}
		if f.busy[0]+f.busy[1]+f.busy[2] < 3*floodSlots/2 {
			f.refusedFree++
		}
		end(true, d.RetryAfter*3/4+f.upTo(d.RetryAfter/2))
		return
	}
	if f.flooding() {
		f.arrivals++
	}
	g.RecordSent(f.now, floodService)
	f.after(2*time.Millisecond, func() { // to the worker and back
		f.serve(workers[0], func(rejected bool) {
			g.RecordEnd(f.now, floodService, !rejected)
			if !rejected {
				end(false, 0)
				return
			}
			if f.flooding() {
				f.rejected++
			}
			if g.RecordRejected(f.now, floodService) {
				f.share(router, 6)
			}
			if len(workers) > 1 && f.budgets[router].Allow(f.now) {
				f.attempt(caller, router, workers[1:], end)
				return
			}
			end(true, 300*time.Millisecond+f.upTo(300*time.Millisecond))
		})
	})
}

// serve lets a worker run a request, or reject it if its queue is full.
func (f *flood) serve(w int, end func(rejected bool)) {
	switch {
	case f.busy[w] < floodSlots:
		f.busy[w]++
		f.after(15*time.Millisecond+f.upTo(30*time.Millisecond), func() {
			end(false)
			f.busy[w]--
			if len(f.waiting[w]) > 0 {
				next := f.waiting[w][0]
				f.waiting[w] = f.waiting[w][1:]
				f.serve(w, next)
			}
		})
	case len(f.waiting[w]) == floodQueue:
		end(true)
	default:
		f.waiting[w] = append(f.waiting[w], end)
	}
}

func (f *flood) gossip(router int) {
	f.gates[router].Update(f.now)
	f.share(router, 3)
	f.after(187*time.Millisecond+f.upTo(125*time.Millisecond), func() { f.gossip(router) })
}

// share sends the digest of a router to some others.
func (f *flood) share(router, targets int) {
	payload := f.gates[router].Digest(f.now, 1100)
	if payload == nil || router < f.unheard {
		return
	}
	for range targets {
		to := f.random.IntN(f.routers)
		f.after(time.Millisecond, func() {
			if urgent, _ := f.gates[to].Merge(f.now, payload); urgent {
				f.share(to, 6)
			}
		})
	}
}

// shares returns the shares of requests that were served in time: by rank without the
// greedy callers, and of the greedy callers.
func (f *flood) shares() (ranks [3]float64, greedy float64) {
	var sent, onTime [4]int
	for caller := range f.sent {
		group := caller / 8
		if slices.Contains(f.greedy[:], caller) {
			group = 3
		}
		sent[group] += f.sent[caller]
		onTime[group] += f.onTime[caller]
	}
	for group := range ranks {
		ranks[group] = float64(onTime[group]) / float64(sent[group])
	}
	return ranks, float64(onTime[3]) / float64(sent[3])
}

func (f *flood) rejectedShare() float64 { return float64(f.rejected) / float64(f.arrivals) }

// Guards against rejections that multiply in a flood, against an order of service that
// ignores rank or the shares of callers, and against refusals after the flood. The
// bounds are those of docs/hard-load.md. With half of the routers unheard the bound of
// rejections is twice as high.
func TestFlood(t *testing.T) {
	for i, f := range []*flood{
		{routers: 85, greedy: [2]int{0, 1}}, {routers: 85, greedy: [2]int{8, 16}}, {routers: 85, greedy: [2]int{16, 17}},
		{routers: 4, greedy: [2]int{8, 16}}, {routers: 85, greedy: [2]int{8, 16}, unheard: 43},
	} {
		seed := uint64(i) + 1
		Convey(fmt.Sprintf("In a flood of the callers %v at %d routers, %d of them unheard", f.greedy, f.routers, f.unheard), t, func() {
			before := (&flood{routers: f.routers, greedy: f.greedy}).run(seed).rejectedShare()
			f.gated = true
			ranks, greedy := f.run(seed).shares()
			Printf("seed %d: rejected %.3f without and %.3f with control, on time by rank %.2f, greedy %.2f, refused while half free %d ", seed, before, f.rejectedShare(), ranks, greedy, f.refusedFree)
			So(before, ShouldBeGreaterThan, 0.41)
			So(f.rejectedShare(), ShouldBeLessThanOrEqualTo, 0.05*float64(cmp.Compare(f.unheard, 0)+1))
			So(f.refusedAfter, ShouldEqual, 0)
			So(ranks[0], ShouldBeGreaterThanOrEqualTo, 0.85)
			So(ranks[1], ShouldBeLessThanOrEqualTo, ranks[0]+0.05)
			So(ranks[2], ShouldBeLessThanOrEqualTo, ranks[1]+0.05)
			So(ranks[2], ShouldBeGreaterThanOrEqualTo, rankFloor)
			if own := f.greedy[0] / 8; own > 0 { // the other callers of the rank keep their share
				So(ranks[own], ShouldBeGreaterThan, greedy+0.3)
			}
		})
	}
}
