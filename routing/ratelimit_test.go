package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/gossip"
)

// Guards against a limit that is exceeded by all routers together, that is used in
// bursts, or that keeps requests from a worker after it has ended.
func TestRateLimitPermits(t *testing.T) {
	newFleet := func(routers int, seed uint64) (*Fleet, *Worker, time.Time) {
		f, now := newTestFleet(1)
		f.cfg.Random = rand.New(rand.NewPCG(seed, 1)).IntN
		f.RecordRouters(routers)
		return f, f.Worker("engine-0"), now
	}
	Convey("Routers with more requests than permits use the limit evenly", t, func() {
		for _, routers := range []int{1, 9, 60} {
			const limit, seconds = 3.0, 200
			sent := make([]int, seconds)
			for router := range routers {
				f, w, now := newFleet(routers, uint64(router))
				So(f.RecordRateLimit(w, limit, now), ShouldBeTrue)
				for ms := 0; ms < seconds*1000; ms += 10 {
					if c, ok := f.Choose(prompt(1, 2, 3), now.Add(time.Duration(ms)*time.Millisecond)); ok {
						sent[ms/1000]++
						f.RecordEnd(c, true, now)
					}
				}
			}
			total, most := 0, 0
			for i := range sent {
				total += sent[i]
				if i >= 4 {
					most = max(most, sent[i]+sent[i-1]+sent[i-2]+sent[i-3])
				}
			}
			So(total, ShouldBeBetween, 0.9*limit*seconds, 1.1*limit*seconds)
			So(most, ShouldBeLessThanOrEqualTo, 1.5*limit*4+5)
		}
	})
	Convey("Permits that were not used lapse: after a pause the routers together send little more than the limit of permitTTL", t, func() {
		const routers, limit = 60, 2.0
		sent := 0
		for router := range routers {
			f, w, now := newFleet(routers, uint64(router))
			f.RecordRateLimit(w, limit, now)
			now = now.Add(5 * time.Minute)
			for {
				if _, ok := f.Choose(prompt(1, 2, 3), now); !ok {
					break
				}
				sent++
			}
		}
		So(sent, ShouldBeLessThanOrEqualTo, 3*limit*permitTTL.Seconds())
	})
	Convey("When a limit rises, routers that learn of it at the same time do not send together", t, func() {
		const routers, limit = 60, 3.0
		var sent [40]int // in each second
		for router := range routers {
			f, w, now := newFleet(routers, uint64(router))
			f.RecordRateLimit(w, 0.05, now)
			now = now.Add(time.Minute)
			f.Choose(prompt(1, 2, 3), now)
			f.RecordRateLimit(w, limit, now)
			for ms := 0; ms < len(sent)*1000; ms += 10 {
				if c, ok := f.Choose(prompt(1, 2, 3), now.Add(time.Duration(ms)*time.Millisecond)); ok {
					sent[ms/1000]++
					f.RecordEnd(c, true, now)
				}
			}
		}
		So(slices.Max(sent[:]), ShouldBeLessThanOrEqualTo, 1.5*limit+5)
	})
	Convey("A limit ends with an answer that names none, and a limit of 0 is tried now and then", t, func() {
		f, w, now := newFleet(1, 1)
		So(f.RecordRateLimit(w, 0, now), ShouldBeTrue)
		tries := 0
		for s := range 100 {
			if _, ok := f.Choose(prompt(1, 2, 3), now.Add(time.Duration(s)*time.Second)); ok {
				tries++
			}
		}
		So(tries, ShouldBeBetween, 2, 7)
		So(f.RecordRateLimit(w, NoRateLimit, now), ShouldBeTrue)
		So(f.RecordRateLimit(w, NoRateLimit, now), ShouldBeFalse)
		for range 50 {
			_, ok := f.Choose(prompt(1, 2, 3), now.Add(100*time.Second))
			So(ok, ShouldBeTrue)
		}
	})
	Convey("Very large limits and fleets keep valid times", t, func() {
		for _, limit := range []float64{0, 1e-9, 1e6, math.MaxFloat64} {
			f, w, now := newFleet(400, 1)
			f.RecordRateLimit(w, limit, now)
			wait, limited := f.NextPermit(testUpstream, now.Add(time.Hour))
			So(limited, ShouldEqual, 1)
			So(wait, ShouldBeBetweenOrEqual, 0, maxPermitPeriod)
		}
	})
}

// Guards against the one worker without a limit that gets all requests that the others
// do not take.
func TestLoadBesideRateLimits(t *testing.T) {
	Convey("A worker without a limit gets as many requests as it has slots, the others are refused", t, func() {
		f, now := newTestFleet(3)
		slots := workers(3)[2].Slots
		for _, id := range []string{"engine-0", "engine-1"} {
			f.RecordRateLimit(f.Worker(id), 0.1, now)
		}
		sent := map[string]int{}
		for i := range 100 {
			if c, ok := f.Choose(prompt(1, uint64(i), 3), now); ok {
				sent[c.Worker.ID]++
			}
		}
		So(sent["engine-2"], ShouldBeBetweenOrEqual, 1, slots)
		_, limited := f.NextPermit(testUpstream, now)
		So(limited, ShouldEqual, 2)
		Convey("Without limits all requests are sent", func() {
			f.RecordRateLimit(f.Worker("engine-0"), NoRateLimit, now)
			f.RecordRateLimit(f.Worker("engine-1"), NoRateLimit, now)
			for i := range 100 {
				_, ok := f.Choose(prompt(1, uint64(i), 3), now)
				So(ok, ShouldBeTrue)
			}
		})
	})
}

// Guards against workers without a limit that count as overloaded because those with one
// carry little.
func TestLoadBoundBesideRateLimits(t *testing.T) {
	Convey("The load bound compares the workers without a limit among themselves", t, func() {
		f, now := newTestFleet(9)
		for i, w := range f.pools[testUpstream].workers {
			w.reportedAt = now
			if i < 6 {
				f.RecordRateLimit(w, 0.01, now)
				w.rateLimit.nextPermit = now.Add(time.Minute)
				continue
			}
			w.Slots, w.reportedLoad = 64, 20
		}
		// Over all nine workers the bound would be 15.
		for key := range uint64(20) {
			c, ok := f.Choose(prompt(1, key, 3), now)
			So(ok, ShouldBeTrue)
			So(c.Reason, ShouldNotEqual, ReasonAllAboveLimit)
			f.RecordEnd(c, true, now)
			c.Worker.sentTimes = nil
		}
	})
}

// Guards against a limit that stays in force after its end because the worker gets no
// request whose answer would tell.
func TestEndOfRateLimit(t *testing.T) {
	Convey("A limited worker that has not answered for a second gets the next request with a permit, whatever its prompt", t, func() {
		f, now := newTestFleet(4)
		w := f.Worker("engine-0")
		f.RecordRateLimit(w, 2, now)
		choose := func(key uint64, at time.Time) Choice {
			c, _ := f.Choose(prompt(1, key, 3), at)
			f.RecordEnd(c, true, at)
			return c
		}
		key := uint64(1)
		for choose(key, now).Worker == w { // a prompt of another worker
			key++
		}
		sent := 0
		for ms := range 4000 {
			at := now.Add(time.Duration(ms) * time.Millisecond)
			if c := choose(key, at); c.Worker == w {
				So(c.Reason, ShouldEqual, ReasonLimitCheck)
				sent++
				So(at.Sub(now), ShouldBeGreaterThan, time.Second)
				f.RecordRateLimit(w, 2, at)
				now = at
				break
			}
		}
		So(sent, ShouldEqual, 1)
		So(choose(key, now.Add(500*time.Millisecond)).Worker, ShouldNotEqual, w)
	})
}

// Guards against limits that routers do not learn from each other, or that old reports
// bring back.
func TestSharedRateLimits(t *testing.T) {
	Convey("The newest report counts; one that has gone round is not newer", t, func() {
		a, now := newTestFleet(2)
		b, _ := newTestFleet(2)
		w := b.Worker("engine-0")
		a.RecordRateLimit(a.Worker("engine-0"), 3, now)
		old := a.RateLimits(now)
		So(old, ShouldHaveLength, 1)
		So(b.RecordSharedRateLimits(old, now), ShouldResemble, []*Worker{w})
		So(b.WorkerRateLimit(w), ShouldEqual, 3)
		So(b.RecordSharedRateLimits(old, now), ShouldBeEmpty)

		b.RecordRateLimit(w, NoRateLimit, now.Add(time.Second))
		old[0].At = now.Add(time.Millisecond) // received late
		So(b.RecordSharedRateLimits(old, now.Add(time.Second)), ShouldBeEmpty)
		So(b.WorkerRateLimit(w), ShouldEqual, NoRateLimit)
		So(a.RecordSharedRateLimits(b.RateLimits(now.Add(time.Second)), now.Add(time.Second)), ShouldHaveLength, 1)
		So(a.RateLimits(now.Add(time.Minute)), ShouldBeEmpty)
		unknown := []RateLimit{{WorkerHash: gossip.WorkerHash("other"), PerSecond: 1, At: now}}
		So(a.RecordSharedRateLimits(unknown, now), ShouldBeEmpty)
	})
}
