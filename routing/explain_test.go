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
			fleets[i] = New(Config{Domain: "a", LoadBound: 2, RetryRatio: 0.2, RetrySlack: 10, MinRouters: 1, LeavingGrace: time.Minute, MaxPause: time.Minute, ColdOver: 1.5, ColdSlack: 5, MaxRouters: 40, Random: rand.New(rand.NewPCG(seed, 1)).IntN})
			fleets[i].ConfigureUpstreams(map[string]UpstreamConfig{testUpstream: {ColdStart: 3 * time.Second, ColdRate: 8.5}})
			fleets[i].Apply(&WorkerList{Version: 1, At: now, Workers: list})
		}
		explained, plain := fleets[0], fleets[1]
		both := func(do func(f *Fleet)) { do(explained); do(plain) }
		var running [][2]Choice
		id := func() string { return list[rapid.IntRange(0, len(list)-1).Draw(t, "worker")].ID }
		request := func() Request {
			if rapid.Bool().Draw(t, "prompt") {
				return prompt(1, uint64(rapid.IntRange(2, 5).Draw(t, "part")), 9)
			}
			return Request{Upstream: testUpstream}
		}
		t.Repeat(map[string]func(*rapid.T){
			"explain": func(t *rapid.T) { explained.Explain(request(), now) },
			"choose": func(t *rapid.T) {
				r := request()
				e := explained.Explain(r, now)
				a, ok := explained.Choose(r, now)
				b, okPlain := plain.Choose(r, now)
				if ok != okPlain || ok && (a.Worker.ID != b.Worker.ID || a.Reason != b.Reason || a.FetchFrom != b.FetchFrom) {
					t.Fatalf("with explanations %+v, without %+v", a, b)
				}
				if !e.ByChance {
					named++
					if e.Chosen != ok || ok && (e.Choice.Worker != a.Worker || e.Choice.Reason != a.Reason || e.Choice.FetchFrom != a.FetchFrom || e.Choice.EstimatedLoad != a.EstimatedLoad) {
						t.Fatalf("explained %+v, chosen %+v", e.Choice, a)
					}
				}
				if ok {
					running = append(running, [2]Choice{a, b})
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
