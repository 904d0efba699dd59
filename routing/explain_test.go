package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/auburnlead/auburnlead/gossip"
)

// Guards against an explanation that changes a later choice, and against one that names
// another worker than the next choice takes. Two routers get the same events and draw the
// same random numbers; only one of them is asked for explanations.
func TestExplainChangesNothing(t *testing.T) {
	named := 0
	rapid.Check(t, func(t *rapid.T) {
		now, seed := time.Unix(1_000_000, 0), rapid.Uint64().Draw(t, "seed")
		list := workers(8)
		for i := range list {
			list[i].FailureDomain = string(rune('a' + i%3))
			list[i].StartedAtMs = int64(i + 1)
		}
		var fleets [2]*Fleet
		for i := range fleets {
			fleets[i] = New(Config{Domain: "a", LoadBound: 2, RetryRatio: 0.2, RetrySlack: 10, MinRouters: 1, LeavingGrace: time.Minute, MaxPause: time.Minute, ColdOver: 1.5, ColdSlack: 5, MaxRouters: 40, LearnSpeed: true, Random: rand.New(rand.NewPCG(seed, 1)).IntN})
			fleets[i].ConfigureUpstreams(map[string]UpstreamConfig{testUpstream: {ColdStart: 3 * time.Second, ColdRate: 8.5, KVCapacity: 8000}})
			fleets[i].Apply(&WorkerList{Version: 1, At: now, Workers: list})
		}
		explained, plain := fleets[0], fleets[1]
		both := func(do func(f *Fleet)) { do(explained); do(plain) }
		var running [][2]Choice
		id := func() string { return list[rapid.IntRange(0, len(list)-1).Draw(t, "worker")].ID }
		request := func() Request {
			r := Request{Upstream: testUpstream}
			if rapid.Bool().Draw(t, "prompt") {
				r = prompt(1, uint64(rapid.IntRange(2, 5).Draw(t, "part")), 9)
			}
			r.PromptTokens, r.ExpectedOutput, r.Whole = 100*rapid.IntRange(0, 30).Draw(t, "tokens"), 50, rapid.Bool().Draw(t, "whole")
			r.Target, r.TimeLeft = time.Second, 2*time.Second
			return r
		}
		t.Repeat(map[string]func(*rapid.T){
			"explain": func(t *rapid.T) { explained.Explain(request(), now) },
			"choose": func(t *rapid.T) {
				r := request()
				e := explained.Explain(r, now)
				a, ok := explained.Choose(r, now)
				b, okPlain := plain.Choose(r, now)
				if ok != okPlain || ok && (a.Worker.ID != b.Worker.ID || a.Reason != b.Reason || a.FetchFrom != b.FetchFrom || a.ExpectedWait != b.ExpectedWait || a.Slowness != b.Slowness) {
					t.Fatalf("with explanations %+v, without %+v", a, b)
				}
				if !e.ByChance {
					named++
					if e.Chosen != ok || ok && (e.Choice.Worker != a.Worker || e.Choice.Reason != a.Reason || e.Choice.FetchFrom != a.FetchFrom || e.Choice.EstimatedLoad != a.EstimatedLoad || e.Choice.ExpectedWait != a.ExpectedWait || e.Choice.Slowness != a.Slowness) {
						t.Fatalf("explained %+v, chosen %+v", e.Choice, a)
					}
				}
				if ok {
					running = append(running, [2]Choice{a, b})
				}
				if ok && (a.Worker.tokens != b.Worker.tokens || a.Worker.unread != b.Worker.unread || explained.pools[testUpstream].meanTokens != plain.pools[testUpstream].meanTokens) {
					t.Fatalf("%d tokens on the worker, without explanations %d", a.Worker.tokens, b.Worker.tokens)
				}
				waitA, limitedA := explained.NextPermit(testUpstream, now)
				waitB, limitedB := plain.NextPermit(testUpstream, now)
				if waitA != waitB || limitedA != limitedB {
					t.Fatalf("next permit %v of %d, without explanations %v of %d", waitA, limitedA, waitB, limitedB)
				}
			},
			"retry": func(t *rapid.T) {
				if a, b := explained.AllowRetry(testUpstream, now), plain.AllowRetry(testUpstream, now); a != b {
					t.Fatalf("retry allowed %v, without explanations %v", a, b)
				}
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				ok := rapid.Bool().Draw(t, "ok")
				for i, f := range fleets {
					f.RecordEnd(running[0][i], ok, now)
					if !ok {
						f.RecordFailure(running[0][i].Worker, now)
					}
				}
				running = running[1:]
			},
			"load": func(t *rapid.T) {
				w, load := id(), rapid.IntRange(0, 40).Draw(t, "load")
				both(func(f *Fleet) { f.RecordLoad(f.Worker(w), load, 100, now) })
			},
			"first byte": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				took := time.Duration(rapid.IntRange(10, 500).Draw(t, "took")) * time.Millisecond
				for i, f := range fleets {
					f.RecordFirstByte(running[0][i], took)
				}
			},
			"speed": func(t *rapid.T) {
				w, times := id(), rapid.SampledFrom([]float64{1, 3, 6}).Draw(t, "times")
				var samples []SpeedSample
				for i := range minSpeedSamples {
					samples = append(samples, SpeedSample{uint16(i), times, now.Add(-time.Duration(i) * speedSlot)})
				}
				both(func(f *Fleet) { f.RecordSharedSpeeds([]SpeedSamples{{gossip.WorkerHash(w), samples}}, now) })
			},
			"cold": func(t *rapid.T) {
				w := id()
				both(func(f *Fleet) { f.RecordCold(f.Worker(w), 2*time.Second, now) })
			},
			"limit": func(t *rapid.T) {
				w, rate := id(), rapid.SampledFrom([]float64{NoRateLimit, 0.5, 4, 50}).Draw(t, "rate")
				both(func(f *Fleet) { f.RecordRateLimit(f.Worker(w), rate, now) })
			},
			"pause": func(t *rapid.T) {
				w, shared := id(), rapid.Bool().Draw(t, "shared")
				both(func(f *Fleet) {
					if shared {
						f.RecordSharedPauses([]Pause{{gossip.WorkerHash(w), now.Add(time.Second), 3}}, now)
						return
					}
					f.RecordPause(f.Worker(w), time.Second, now)
				})
			},
			"state": func(t *rapid.T) {
				w, unreachable := id(), rapid.Bool().Draw(t, "unreachable")
				both(func(f *Fleet) { f.SetUnreachable(f.Worker(w), unreachable) })
			},
			"leave": func(t *rapid.T) {
				w := id()
				both(func(f *Fleet) { f.RecordLeaving(f.Worker(w), now) })
			},
			"evacuate": func(t *rapid.T) {
				domains := rapid.SampledFrom([][]string{nil, {"b"}, {"a", "c"}}).Draw(t, "domains")
				both(func(f *Fleet) { f.SetEvacuated(domains, now) })
			},
			"restart": func(t *rapid.T) {
				list[rapid.IntRange(0, len(list)-1).Draw(t, "worker")].StartedAtMs += 100
				both(func(f *Fleet) { f.Apply(&WorkerList{Version: 2, At: now, Workers: list}) })
			},
			"routers": func(t *rapid.T) {
				n := rapid.IntRange(1, 20).Draw(t, "routers")
				both(func(f *Fleet) { f.RecordFleetSize(n, FleetSize{Routers: n}, now) })
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
	if named < 100 {
		t.Errorf("only %d explanations were compared with a choice", named)
	}
}

// Guards against candidates in another order than the one in which they are preferred,
// and against workers that get nothing among those that do.
func TestExplainCandidates(t *testing.T) {
	Convey("Candidates are in the prompt's order, with those that get no requests last and the reason for it", t, func() {
		f, now := newTestFleet(5)
		f.cfg.MaxPause = time.Minute
		f.RecordLeaving(f.Worker("engine-1"), now)
		order := f.Explain(prompt(1, 2, 3), now).Candidates
		So(len(order), ShouldEqual, 5)
		So(order[4].Worker.ID, ShouldEqual, "engine-1")
		So(order[4].Leaving, ShouldBeTrue)
		f.SetUnreachable(order[0].Worker, true)
		f.RecordPause(order[1].Worker, time.Second, now)
		e := f.Explain(prompt(1, 2, 3), now)
		So(e.Choice.Worker.ID, ShouldEqual, order[2].Worker.ID)
		So(e.Candidates[0].Unreachable, ShouldBeTrue)
		So(e.Candidates[1].PausedFor, ShouldEqual, time.Second)
		So(e.Candidates[2].Chosen, ShouldBeTrue)
		So(f.Explain(Request{Upstream: "unknown"}, now).Known, ShouldBeFalse)
	})
}

// Guards against candidates without the figures that keep requests from a worker.
func TestExplainSpeedAndRise(t *testing.T) {
	Convey("A slow worker and a cold worker whose part rises are shown as such", t, func() {
		f, now := newTestFleet(4)
		f.cfg.LearnSpeed, f.cfg.ColdOver, f.cfg.ColdSlack, f.cfg.MaxRouters = true, 1.5, 5, 4
		f.ConfigureUpstreams(map[string]UpstreamConfig{testUpstream: {ColdRate: 8.5}})
		f.RecordCold(f.Worker("engine-1"), 2*time.Second, now)
		of := func(id string, at time.Time) Candidate {
			for _, c := range f.Explain(prompt(1, 2, 3), at).Candidates {
				if c.Worker.ID == id {
					return c
				}
			}
			return Candidate{}
		}
		cold := of("engine-1", now)
		So(cold.Cold, ShouldBeTrue)
		So(cold.Rising, ShouldBeFalse)
		So(cold.RisenPart, ShouldEqual, 0)
		now = now.Add(2*time.Second + coldRise/2)
		rising := of("engine-1", now)
		So(rising.Rising, ShouldBeTrue)
		So(rising.RisenPart, ShouldAlmostEqual, 0.5)
		So(f.salt, ShouldEqual, 0)
		f.salt = 1
		So(f.Explain(prompt(1, 2, 3), now).ByChance, ShouldBeFalse)
		So(f.Explain(Request{Upstream: testUpstream}, now).ByChance, ShouldBeTrue)
		So(of("engine-1", now.Add(coldRise)).Rising, ShouldBeFalse)

		var samples []SpeedSample
		for i := range minSpeedSamples {
			samples = append(samples, SpeedSample{uint16(i), 3, now.Add(-time.Duration(i) * speedSlot)})
		}
		f.RecordSharedSpeeds([]SpeedSamples{{gossip.WorkerHash("engine-2"), samples}}, now)
		So(of("engine-2", now).Slowness, ShouldAlmostEqual, 3, 0.01)
		So(of("engine-3", now).Slowness, ShouldEqual, 1)
	})
}

// Guards against explanations that hold the lock for long: each choice needs it.
func BenchmarkExplain(b *testing.B) {
	for _, n := range []int{140, 1100} {
		f, now := newTestFleet(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f.explain(prompt(1, 2, 3), now)
			}
		})
	}
}
