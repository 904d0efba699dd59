package admission

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against ranks that get less than their floor, and against a less urgent rank
// that gets more than its floor while a more urgent one lacks room.
func TestRankShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var demand [maxRank + 1]float64
		for rank := range demand {
			demand[rank] = rapid.SampledFrom([]float64{0, 1, 20, 300}).Draw(t, "demand")
		}
		rate := rapid.Float64Range(1, 900).Draw(t, "rate")
		share, sum, short := rankShares(demand, rate), 0.0, false
		for rank := range demand {
			floor := min(demand[rank], rankFloor*rate)
			if share[rank] < floor || share[rank] > demand[rank]+1e-9 {
				t.Fatalf("rank %d gets %v of %v, floor %v", rank, share[rank], demand[rank], floor)
			}
			if short && share[rank] > floor+1e-9 {
				t.Fatalf("rank %d gets %v above its floor while a more urgent one lacks room", rank, share[rank])
			}
			short = short || share[rank] < demand[rank]-1e-9
			sum += share[rank]
		}
		if sum > rate+1e-6 {
			t.Fatalf("%v admitted of %v", sum, rate)
		}
	})
}

// Guards against callers that lose a part of their share to one with more demand or
// less weight.
func TestCallerShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sums := &totals{callers: map[flowID]callerDemand{}}
		for caller := range uint32(rapid.IntRange(1, 9).Draw(t, "callers")) {
			c := callerDemand{flowID{3, caller}, rapid.Float64Range(0.5, 90).Draw(t, "demand"), rapid.Float64Range(0.5, 4).Draw(t, "weight")}
			sums.callers[c.id] = c
			sums.ranks[3] += c.demand
		}
		share := sums.ranks[3] * rapid.Float64Range(0.05, 0.95).Draw(t, "share")
		fraction := map[flowID]float64{}
		fillRank(sums, 3, share, fraction)
		total, level := 0.0, 0.0 // the most that a caller gets for each unit of weight
		for id, c := range sums.callers {
			total += fraction[id] * c.demand
			level = max(level, fraction[id]*c.demand/c.weight)
		}
		for id, c := range sums.callers {
			if got := fraction[id] * c.demand / c.weight; fraction[id] < 1-1e-9 && got < level-1e-6 {
				t.Fatalf("%v gets %v for its weight while another one gets %v", c, got, level)
			}
		}
		if total > share+1e-6 || total < share-1e-6 {
			t.Fatalf("%v admitted of %v", total, share)
		}
	})
}

func newTestGate(router uint64, slots int) *Gate {
	g := NewGate(router)
	g.SetUpstreams(map[uint32]Upstream{floodService: {Slots: slots}})
	return g
}

// send lets requests pass a gate, of which some are rejected, in one second. It returns
// the number of refusals.
func send(g *Gate, at time.Time, requests, rejected int) int {
	refused := 0
	for i := range requests {
		now := at.Add(time.Duration(i) * time.Second / time.Duration(requests))
		if g.Decide(now, RoutedRequest{Upstream: floodService, Rank: 5, Caller: 1, Weight: 1, Target: floodTarget, TimeLeft: floodDeadline}).Refused {
			refused++
			continue
		}
		g.RecordSent(now, floodService)
		if rejected == requests || i%2 == 1 && i < 2*rejected {
			g.RecordRejected(now, floodService)
			g.RecordEnd(now, floodService, false)
		}
	}
	return refused
}

// Guards against refusals of upstreams that have room.
func TestGateStaysOpen(t *testing.T) {
	Convey("Nothing is refused", t, func() {
		Convey("without rejections, however many requests are in flight", func() {
			So(send(newTestGate(1, 2), start, 500, 0), ShouldEqual, 0)
		})
		Convey("after two rejections among few requests", func() {
			g := newTestGate(1, 2)
			So(send(g, start, 10, 0)+send(g, start.Add(time.Second), 10, 2), ShouldEqual, 0)
		})
		Convey("while less than half of the slots are taken, as after the crash of some workers", func() {
			So(send(newTestGate(1, 400), start, 100, 40), ShouldEqual, 0)
		})
		Convey("for long where the slots are not known and all was rejected before", func() {
			g := newTestGate(1, 0)
			So(send(g, start, 100, 100), ShouldBeGreaterThan, 0)
			for i := range 10 {
				send(g, start.Add(time.Duration(i+1)*time.Second), 100, 0)
			}
			So(send(g, start.Add(11*time.Second), 100, 0), ShouldEqual, 0)
		})
		Convey("once the rejections are two seconds old", func() {
			g := newTestGate(1, 2)
			So(send(g, start, 100, 50), ShouldBeGreaterThan, 0)
			g.Update(start.Add(4 * time.Second))
			So(send(g, start.Add(4*time.Second), 100, 0), ShouldEqual, 0)
			changes := g.Changes()
			So(changes, ShouldHaveLength, 2)
			So(changes[0].On, ShouldBeTrue)
			So(changes[1].On, ShouldBeFalse)
		})
	})
}

// Guards against a Retry-After that lets callers above their share, or less urgent ones,
// return first.
func TestGateRetryAfter(t *testing.T) {
	Convey("Urgent ranks return first, and callers above their share last", t, func() {
		u := &room{startedAt: start, plan: plan{short: true, shortage: 0.4}}
		wait := func(rank int, fraction float64) time.Duration {
			return u.refuse(start.Add(2*time.Second), RoutedRequest{Rank: rank}, &routeFlow{fraction: fraction}).RetryAfter
		}
		So(wait(0, 0.9), ShouldBeLessThan, wait(5, 0.9))
		So(wait(5, 0.9), ShouldBeLessThan, wait(5, 0.3))
		So(wait(9, 0.01), ShouldBeLessThanOrEqualTo, maxRoomWait)
	})
}

// Guards against digests that exceed a message, and against malformed ones that change
// or crash a router.
func TestDigest(t *testing.T) {
	a, b := newTestGate(1, 2), newTestGate(2, 2)
	for caller := range uint32(400) {
		a.Decide(start, RoutedRequest{Upstream: floodService, Rank: int(caller % 10), Caller: caller, Weight: 2})
	}
	send(a, start, 100, 50)
	now := start.Add(time.Second)
	payload := a.Digest(now, 1100)
	Convey("A digest fits, is sent once in its period, and starts the control at another router", t, func() {
		So(len(payload), ShouldBeBetween, 300, 1101)
		So(a.Digest(now.Add(50*time.Millisecond), 1100), ShouldBeNil)
		urgent, err := b.Merge(now, payload)
		So(err, ShouldBeNil)
		So(urgent, ShouldBeTrue)
		So(b.Changes(), ShouldHaveLength, 1)
		So(newTestGate(3, 2).Digest(now, 1100), ShouldBeNil)
	})
	rapid.Check(t, func(t *rapid.T) {
		g := newTestGate(2, 2)
		damaged := append([]byte(nil), payload[:rapid.IntRange(0, len(payload)-1).Draw(t, "length")]...)
		if len(damaged) > 0 && rapid.Bool().Draw(t, "flip") {
			damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "bits")
		}
		if _, err := g.Merge(now, damaged); err != nil && len(g.upstreams[floodService].peers) != 0 {
			t.Fatal("a malformed digest was used")
		}
		if d := g.Decide(now, RoutedRequest{Upstream: floodService}); d.RetryAfter < 0 {
			t.Fatal("negative wait")
		}
	})
}

// Guards against allocations for requests that pass while there is no overload.
func TestOpenGateDoesNotAllocate(t *testing.T) {
	g := newTestGate(1, 18)
	now := start
	r := RoutedRequest{Upstream: floodService, Rank: 5, Caller: 1, Weight: 1}
	g.Decide(now, r)
	if n := testing.AllocsPerRun(1000, func() {
		now = now.Add(time.Millisecond)
		g.Decide(now, r)
		g.RecordSent(now, floodService)
		g.RecordEnd(now, floodService, true)
	}); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}
