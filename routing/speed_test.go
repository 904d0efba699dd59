package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/auburnlead/auburnlead/gossip"
)

// speedSim lets routers send plain requests to workers whose time for a request is given.
// Routers exchange samples every 250 ms as over gossip.
type speedSim struct {
	random *rand.Rand
	fleets []*Fleet
	now    time.Time
	took   func(w *Worker, elapsed time.Duration) time.Duration
}

func newSpeedSim(routers, workerCount int, learn bool) *speedSim {
	s := &speedSim{random: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1_000_000, 0)}
	for range routers {
		f := New(Config{Domain: "a", LoadBound: 2, RetryRatio: 0.2, RetrySlack: 10, MinRouters: 1, LearnSpeed: learn, Random: s.random.IntN})
		f.Apply(&WorkerList{Version: 1, At: s.now, Workers: workers(workerCount)})
		s.fleets = append(s.fleets, f)
	}
	return s
}

// run sends requests at a rate per second and returns those sent to each worker.
func (s *speedSim) run(length time.Duration, perSecond int, sent func(now time.Duration, c Choice)) {
	type ended struct {
		at     time.Time
		f      *Fleet
		choice Choice
		took   time.Duration
	}
	var running []ended
	shared := s.now
	for i, begin := 0, s.now; i < int(length.Seconds()*float64(perSecond)); i++ {
		s.now = s.now.Add(time.Second / time.Duration(perSecond))
		running = slices.DeleteFunc(running, func(e ended) bool {
			if !e.at.After(s.now) {
				e.f.RecordFirstByte(e.choice, e.took)
				e.f.RecordEnd(e.choice, true, e.at)
			}
			return !e.at.After(s.now)
		})
		if s.now.Sub(shared) >= 250*time.Millisecond && len(s.fleets) > 1 {
			shared = s.now
			for _, f := range s.fleets {
				list := f.SharedSpeeds(s.now)
				for range 3 {
					s.fleets[s.random.IntN(len(s.fleets))].RecordSharedSpeeds(list, s.now)
				}
			}
		}
		f := s.fleets[s.random.IntN(len(s.fleets))]
		c, _ := f.Choose(Request{Upstream: testUpstream, Whole: true}, s.now)
		took := time.Duration((0.75 + s.random.Float64()/2) * float64(s.took(c.Worker, s.now.Sub(begin))))
		running = append(running, ended{s.now.Add(took), f, c, took})
		if sent != nil {
			sent(s.now.Sub(begin), c)
		}
	}
}

const usualTook = 22 * time.Millisecond

// Guards against slow workers that routers keep using as the others, against speeds that
// are never forgotten, and against noise that counts as a slow worker.
func TestPlainServiceWithSlowWorker(t *testing.T) {
	Convey("With 100 routers in front of 3 workers that share their machines", t, func() {
		const slowFrom, slowUntil, length = 20 * time.Second, 40 * time.Second, 60 * time.Second
		share := func(learn bool, factor float64) (slow, after float64) {
			s := newSpeedSim(100, 3, learn)
			busyUntil := map[string]time.Duration{}
			s.took = func(w *Worker, at time.Duration) time.Duration {
				took := float64(usualTook)
				if at > busyUntil[w.ID]+3400*time.Millisecond { // 0.6 s in 4 s take 2.5 times as long
					busyUntil[w.ID] = at + 600*time.Millisecond
				}
				if at < busyUntil[w.ID] {
					took *= 2.5
				}
				if w.ID == "engine-1" && at >= slowFrom && at < slowUntil {
					took *= factor
				}
				return time.Duration(took)
			}
			var n, slowSent, m, afterSent float64
			s.run(length, 210, func(now time.Duration, c Choice) {
				isSlow := c.Worker.ID == "engine-1"
				switch {
				case now >= slowFrom+2*time.Second && now < slowUntil:
					n++
					if isSlow {
						slowSent++
					}
				case now >= slowUntil+8*time.Second:
					m++
					if isSlow {
						afterSent++
					}
				}
			})
			return slowSent / n, afterSent / m
		}
		Convey("a worker that is four times slower gets less than a fourth of its share two seconds later, and its share again when it is fast", func() {
			slow, after := share(true, 4)
			before, _ := share(false, 4)
			So(before, ShouldBeGreaterThan, 0.25)
			So(slow, ShouldBeLessThan, 0.33/4)
			So(slow, ShouldBeGreaterThan, 0.01) // its times show when it is fast again
			So(after, ShouldAlmostEqual, 1.0/3, 0.04)
		})
		Convey("none is slow without it", func() {
			slow, after := share(true, 1)
			So(slow, ShouldAlmostEqual, 1.0/3, 0.03)
			So(after, ShouldAlmostEqual, 1.0/3, 0.03)
		})
	})
}

// Guards against a router that takes the common slowness of all workers for one of each,
// and against state that stays when the samples end or the setting is turned off.
func TestSlowness(t *testing.T) {
	slowOnes := func(s *speedSim) (n int) {
		for _, w := range s.fleets[0].byID {
			if w.slowness(s.now) > 1 {
				n++
			}
		}
		return n
	}
	Convey("Where a router has learned the usual times", t, func() {
		s := newSpeedSim(1, 4, true)
		factor := map[string]float64{}
		s.took = func(w *Worker, _ time.Duration) time.Duration {
			return time.Duration(float64(usualTook) * max(factor[w.ID], 1))
		}
		s.run(20*time.Second, 60, nil)
		So(slowOnes(s), ShouldEqual, 0)
		f := s.fleets[0]
		Convey("no worker is slow if all slow down together", func() {
			for id := range f.byID {
				factor[id] = 4
			}
			s.run(2*time.Second, 60, nil) // the samples of one worker arrive before those of another
			for range 8 {
				So(slowOnes(s), ShouldEqual, 0)
				s.run(time.Second, 60, nil)
			}
		})
		Convey("a worker is no longer slow some seconds after its last sample", func() {
			factor["engine-1"] = 4
			s.run(3*time.Second, 60, nil)
			w := f.byID["engine-1"]
			So(w.slowness(s.now), ShouldBeBetween, 3, 5)
			So(f.SpeedChanges(), ShouldHaveLength, 1)
			So(f.SlowWorkers(), ShouldEqual, 1)
			before := w.slowness(s.now)
			for range 10 {
				s.now = s.now.Add(time.Second)
				So(w.slowness(s.now), ShouldBeLessThanOrEqualTo, before)
				before = w.slowness(s.now)
			}
			So(before, ShouldBeLessThan, 1.2)
			So(w.keeps(12345, s.now.Add(time.Minute)), ShouldBeTrue)
			f.Configure(Config{LoadBound: 2})
			So(w.slowness(s.now), ShouldEqual, 1)
		})
		Convey("keys that a worker keeps at a high figure stay there at a lower one", func() {
			w := f.byID["engine-1"]
			w.speed.estimatedAt = s.now
			kept := func(slowness float64, key uint64) bool {
				w.speed.level = math.Log(slowness)
				return w.keeps(key, s.now)
			}
			keptAt3, n := 0, 1000
			for key := range uint64(n) {
				if kept(3, key) {
					keptAt3++
					So(kept(2, key), ShouldBeTrue)
				}
			}
			So(keptAt3, ShouldBeBetween, n/8, n/4)
		})
	})
}

// Guards against workers that count as slow because responses differ much in length.
func TestSpeedOfVariedResponses(t *testing.T) {
	Convey("Where most responses take a half to twice the median, hardly any worker counts as slow", t, func() {
		s := newSpeedSim(20, 10, true)
		s.took = func(*Worker, time.Duration) time.Duration {
			return time.Duration(float64(usualTook) * math.Exp(0.8*s.random.NormFloat64()))
		}
		s.run(30*time.Second, 60, nil)
		slow, checks := 0, 0
		for range 60 {
			s.run(500*time.Millisecond, 60, nil)
			for _, f := range s.fleets {
				slow += f.SlowWorkers()
				checks += 10
			}
		}
		So(float64(slow)/float64(checks), ShouldBeLessThan, 0.01)
	})
	Convey("The time of an error response is no sample", t, func() {
		s := newSpeedSim(1, 2, true)
		f := s.fleets[0]
		for range 2 * calibratedAt {
			c, _ := f.Choose(Request{Upstream: testUpstream, Whole: true}, s.now)
			f.RecordErrorResponse(c, time.Millisecond)
			f.RecordEnd(c, true, s.now)
		}
		So(f.pools[testUpstream].expected.byWork[wholeClass].samples, ShouldEqual, 0)
	})
}

// Guards against routers that disagree because messages arrive in another order or twice,
// and against implausible samples.
func TestSharedSpeeds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		var list []SpeedSamples
		for i := range rapid.IntRange(1, 40).Draw(t, "samples") {
			list = append(list, SpeedSamples{gossip.WorkerHash("engine-1"), []SpeedSample{{
				ID: uint16(i), Times: rapid.Float64Range(0.1, 100).Draw(t, "times"), At: now.Add(-time.Duration(rapid.IntRange(0, 3000).Draw(t, "age")) * time.Millisecond),
			}}})
		}
		figure := func(list []SpeedSamples) float64 {
			s := newSpeedSim(1, 3, true)
			for _, l := range list {
				s.fleets[0].RecordSharedSpeeds([]SpeedSamples{l}, now)
			}
			f, _ := s.fleets[0].byID["engine-1"].speed.recent(now)
			return f
		}
		repeated := rapid.Permutation(append(slices.Clone(list), list...)).Draw(t, "order")
		if a, b := figure(list), figure(repeated); a != b {
			t.Fatalf("%v and %v", a, b)
		}
	})
	Convey("Samples that are no figure, of the future or of unknown workers change nothing", t, func() {
		s := newSpeedSim(1, 3, true)
		hash, w := gossip.WorkerHash("engine-1"), s.fleets[0].byID["engine-1"]
		for _, sample := range []SpeedSample{{1, math.NaN(), s.now}, {2, -1, s.now}, {3, 0, s.now}, {4, 3, s.now.Add(time.Second)}, {5, 3, s.now.Add(-time.Hour)}} {
			s.fleets[0].RecordSharedSpeeds([]SpeedSamples{{hash, []SpeedSample{sample}}, {hash + 1, []SpeedSample{{6, 3, s.now}}}}, s.now)
		}
		_, n := w.speed.recent(s.now)
		So(n, ShouldEqual, 0)
		s.fleets[0].RecordSharedSpeeds([]SpeedSamples{{hash, []SpeedSample{{7, math.Inf(1), s.now}}}}, s.now)
		figure, n := w.speed.recent(s.now)
		So(n, ShouldEqual, 1)
		So(figure, ShouldAlmostEqual, math.Log(maxSpeedSample), 0.001)
	})
}

// Guards against choices that take longer or allocate more because of slow workers.
func BenchmarkChoose(b *testing.B) {
	for _, slow := range []bool{false, true} {
		b.Run(map[bool]string{false: "alike", true: "third slow"}[slow], func(b *testing.B) {
			s := newSpeedSim(1, 1100, true)
			f := s.fleets[0]
			for i, w := range f.pools[testUpstream].workers {
				if slow && i%3 == 0 {
					w.speed.level, w.speed.estimatedAt = math.Log(3), s.now
				}
			}
			r := prompt(1, 2, 3)
			b.ReportAllocs()
			for range b.N {
				s.now = s.now.Add(time.Millisecond)
				c, _ := f.Choose(r, s.now)
				f.RecordEnd(c, false, s.now)
			}
		})
	}
}
