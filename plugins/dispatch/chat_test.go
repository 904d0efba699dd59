package dispatch

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/proof"
)

// inBubble runs a Convey suite with virtual time.
func inBubble(t *testing.T, desc string, fn func(*testing.T)) {
	synctest.Test(t, func(t *testing.T) { Convey(desc, t, func() { fn(t); synctest.Wait() }) })
}

// Guards against requests that fail although a slot can be had, wait without
// end, or use a slot that is void.
func TestSlots(t *testing.T) {
	type reason = core.SlotReason
	for _, c := range []struct {
		desc    string
		refuse  func(n int, first bool) reason // nth request, for the first choice or not
		late    int                            // grants that come too late
		problem string
		grants  int
		worker  string // first, second or other domain; empty for any
	}{
		{"the first choice", func(int, bool) reason { return "" }, 0, "", 1, "first"},
		{"the second choice when the first has no holder", func(_ int, first bool) reason { return map[bool]reason{true: core.SlotNoHolder}[first] }, 0, "", 1, "second"},
		{"the second choice when the first has no room", func(n int, _ bool) reason { return map[int]reason{1: core.SlotExpired}[n] }, 0, "", 1, "second"},
		{"the first choice when both had no room and it comes first", func(n int, _ bool) reason { return map[bool]reason{true: core.SlotExpired}[n < 3] }, 0, "", 1, "first"},
		{"another domain when the queue is full", func(n int, _ bool) reason { return map[bool]reason{true: core.SlotQueueFull}[n < 4] }, 0, "", 1, "other domain"},
		{"the first choice after the rank's target has passed in every domain", func(n int, _ bool) reason { return map[bool]reason{true: core.SlotExpired}[n < 9] }, 0, "", 1, ""},
		{"nothing when all queues are full", func(int, bool) reason { return core.SlotQueueFull }, 0, "overloaded not_run", 0, ""},
		{"nothing when the wait is over", func(int, bool) reason { return core.SlotExpired }, 0, "overloaded not_run", 0, ""},
		{"a worker whose holder is replaced meanwhile", func(n int, _ bool) reason { return map[bool]reason{true: core.SlotNoHolder}[n < 200] }, 0, "", 1, ""},
		{"nothing when no holder comes", func(int, bool) reason { return core.SlotUnanswered }, 0, "upstream_unavailable not_run", 0, ""},
		{"a new slot when the first one came too late", func(int, bool) reason { return "" }, 1, "", 2, "first"},
	} {
		inBubble(t, "A chat gets "+c.desc, func(t *testing.T) {
			b := newBench()
			_, workers := newPlan(chatKey("clerks", "", "c1", nil), b.index.Load().models["m"], b.health).next(time.Now())
			n := 0
			b.slots.grant = func(r core.SlotRequest, s *core.Slot) error {
				n++
				if why := c.refuse(n, r.Workers[0] == workers[0]); why != "" {
					return refusal(why)
				}
				if n <= c.late {
					s.UseBy = time.Now().Add(-time.Millisecond)
				}
				return nil
			}
			sink := &textSink{}
			So(problemOf(b.chat(t.Context(), sink)), ShouldEqual, c.problem)
			So(b.slots.grants, ShouldEqual, c.grants)
			So(b.slots.balanced(), ShouldBeTrue)
			So(b.slots.asked, ShouldNotContain, "w0") // it is draining
			if c.problem == "" {
				So(sink.text.String(), ShouldEqual, wholeAnswer(5))
				So(len(b.engines.connections), ShouldEqual, 1)
				place := map[string]string{workers[0]: "first", workers[1]: "second"}
				got := cmp.Or(place[b.engines.connections[0].Worker], "other domain")
				So(got, ShouldEqual, cmp.Or(c.worker, got))
			}
		})
	}
}

// Guards against wrong reactions to failing engines: lost or repeated chunks,
// retries of started answers, and false not_run.
func TestChat(t *testing.T) {
	type faults []streamFault
	for _, c := range []struct {
		desc        string
		faults      faults // of the connections in turn
		whole       bool   // the caller gets the answer as a whole
		problem     string
		connections int
		workers     int
	}{
		{"runs", nil, false, "", 1, 1},
		{"ignores frames that are not its own", faults{{mix: []int{1, 3, 6}}}, false, "", 1, 1},
		{"is resumed on the same worker after a cut", faults{{cutAt: 3}}, false, "", 2, 1},
		{"is resumed when only the end is missing", faults{{cutAt: 6}}, false, "", 2, 1},
		{"runs elsewhere when it is cut before its first chunk", faults{{cutAt: 1}}, false, "", 2, 2},
		{"runs elsewhere when the connection is refused", faults{{refuse: failure(core.OutcomeNotRun, 0)}}, false, "", 2, 2},
		{"runs elsewhere when the worker refuses it", faults{{refuse: failure(core.OutcomeNotRun, 503)}}, false, "", 2, 2},
		{"is not repeated when the worker finds it invalid", faults{{refuse: failure(core.OutcomeUnknown, 400)}}, false, "invalid_request unknown", 1, 1},
		{"ends incomplete when it cannot be resumed", faults{{cutAt: 3}, {refuse: failure(core.OutcomeUnknown, 404)}}, false, "answer_incomplete ran", 2, 1},
		{"starts anew elsewhere when nothing was passed on", faults{{cutAt: 3}, {refuse: failure(core.OutcomeUnknown, 404)}}, true, "", 3, 2},
		{"fails as not run when all refuse", faults{{refuse: failure(core.OutcomeNotRun, 0)}, {refuse: failure(core.OutcomeNotRun, 0)}, {refuse: failure(core.OutcomeNotRun, 0)}, {refuse: failure(core.OutcomeNotRun, 0)}}, false, "upstream_unavailable not_run", 4, 4},
		{"fails as unknown when one may have run it", faults{{cutAt: 1}, {refuse: failure(core.OutcomeNotRun, 0)}, {refuse: failure(core.OutcomeNotRun, 0)}, {refuse: failure(core.OutcomeNotRun, 0)}}, false, "upstream_unavailable unknown", 4, 4},
		{"ends at the end of its slot", faults{{hangAt: 1}}, false, "deadline_exceeded unknown", 1, 1},
		{"ends incomplete at the end of its slot", faults{{hangAt: 3}}, false, "answer_incomplete ran", 1, 1},
	} {
		inBubble(t, "A chat "+c.desc, func(t *testing.T) {
			b := newBench()
			b.engines.fault = func(n int, _ core.Attempt) streamFault {
				if n <= len(c.faults) {
					return c.faults[n-1]
				}
				return streamFault{}
			}
			restarting := &restartSink{}
			sink, out := core.ChatSink(&restarting.textSink), &restarting.text
			if c.whole {
				sink = restarting
			}
			So(problemOf(b.chat(t.Context(), sink)), ShouldEqual, c.problem)
			if c.problem == "" {
				So(out.String(), ShouldEqual, wholeAnswer(5))
			}
			workers := map[string]bool{}
			for _, a := range b.engines.connections {
				workers[a.Worker] = true
			}
			So(len(b.engines.connections), ShouldEqual, c.connections)
			So(len(workers), ShouldEqual, c.workers)
			So(b.slots.balanced(), ShouldBeTrue)
			So(b.InFlight(), ShouldEqual, 0)
		})
	}
	inBubble(t, "A chat ends when its caller goes away, and the engine is told", func(t *testing.T) {
		b := newBench()
		b.engines.fault = func(int, core.Attempt) streamFault { return streamFault{hangAt: 3} }
		ctx, cancel := context.WithCancel(t.Context())
		sink := &textSink{onChunk: func() error { cancel(); return nil }}
		So(problemOf(b.chat(ctx, sink)), ShouldEqual, "answer_incomplete ran")
		So(b.engines.cancelled, ShouldResemble, []string{b.engines.connections[0].ID})
		So(b.slots.balanced(), ShouldBeTrue)
		So(b.attempts.HeldSlots("pool", b.engines.connections[0].Worker), ShouldBeEmpty)
	})
	// Guards against max_in_flight being exceeded by attempts that the worker
	// runs on while their slots are given to others.
	inBubble(t, "A cancelled attempt keeps its slot until the engine has ended it", func(t *testing.T) {
		b := newBench()
		b.engines.ending = make(chan struct{})
		b.engines.fault = func(int, core.Attempt) streamFault { return streamFault{hangAt: 3} }
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = b.chat(ctx, &textSink{}) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		So(len(b.engines.cancelled), ShouldEqual, 1)
		So(b.slots.balanced(), ShouldBeFalse)
		So(len(b.attempts.HeldSlots("pool", b.engines.connections[0].Worker)), ShouldEqual, 1)
		close(b.engines.ending)
		synctest.Wait()
		So(b.slots.balanced(), ShouldBeTrue)
		So(b.attempts.HeldSlots("pool", b.engines.connections[0].Worker), ShouldBeEmpty)
	})
	inBubble(t, "A chat ends when its caller does not take the answer", func(t *testing.T) {
		b := newBench()
		So(problemOf(b.chat(t.Context(), &textSink{onChunk: func() error { return errors.New("closed") }})), ShouldEqual, "answer_incomplete ran")
		So(len(b.engines.connections), ShouldEqual, 1)
		So(len(b.engines.cancelled), ShouldEqual, 1)
	})
	inBubble(t, "A chat that failed on a worker does not leave the choice to the holder", func(t *testing.T) {
		b := newBench()
		var anyWorker []bool
		b.slots.grant = func(r core.SlotRequest, _ *core.Slot) error {
			if r.Wait == 0 {
				return refusal(core.SlotExpired)
			}
			anyWorker = append(anyWorker, r.AnyWorker)
			return nil
		}
		b.engines.fault = func(n int, _ core.Attempt) streamFault {
			return streamFault{refuse: map[int]error{1: failure(core.OutcomeNotRun, 0)}[n]}
		}
		So(b.chat(t.Context(), &textSink{}), ShouldBeNil)
		So(anyWorker, ShouldResemble, []bool{true, false})
	})
	inBubble(t, "A model without workers is replaced by its fallback, if it has one", func(t *testing.T) {
		b := newBench()
		pools, model := b.index.Load().engines("new")
		So([]any{len(pools), model}, ShouldResemble, []any{1, "m"})
		pools, _ = b.index.Load().engines("unserved")
		So(pools, ShouldBeEmpty)
	})
}

// ejections records what is told to the holders.
type ejections struct {
	core.WorkerHealthSink
	told []string
}

func (e *ejections) WorkerEjected(_, worker string, out bool) {
	e.told = append(e.told, worker+map[bool]string{true: " out", false: " back"}[out])
}

// Guards against work for a worker that fails again and again, and against
// ejections that the holder does not hear of or that do not end.
func TestEjection(t *testing.T) {
	inBubble(t, "A worker that fails repeatedly is left out for a while", func(t *testing.T) {
		b := newBench()
		told := &ejections{}
		b.health.reports = told
		var bad string
		b.engines.fault = func(_ int, a core.Attempt) streamFault {
			if bad == "" {
				bad = a.Worker
			}
			if a.Worker == bad {
				return streamFault{refuse: failure(core.OutcomeNotRun, 0)}
			}
			return streamFault{}
		}
		for range 4 {
			So(b.chat(t.Context(), &textSink{}), ShouldBeNil)
		}
		So(told.told, ShouldResemble, []string{bad + " out"})
		So(len(b.engines.connections), ShouldEqual, 7) // the fourth chat avoids it
		<-time.After(2 * time.Second)
		b.health.report(time.Now())
		So(told.told, ShouldResemble, []string{bad + " out", bad + " back"})
	})
}

// Guards against slots that leak or are released twice, answers that are
// neither whole nor reported as cut, and false not_run, whatever goes wrong.
func TestChatInvariants(t *testing.T) {
	p := proof.Begin(t, proof.Claim{Guarantee: "R2 R3", Kind: "seeded runs, whole request path", Faults: "refused and late slots, cut, hanging and mixed streams, callers that leave"})
	for _, seed := range proof.Seeds(300) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			b := newBench()
			b.random = func() float64 { return 0.5 }
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			b.slots.grant = func(_ core.SlotRequest, s *core.Slot) error {
				switch random.IntN(8) {
				case 0:
					return refusal([]core.SlotReason{core.SlotNoHolder, core.SlotQueueFull, core.SlotExpired, core.SlotUnanswered}[random.IntN(4)])
				case 1:
					s.UseBy = time.Now().Add(-1)
				}
				return nil
			}
			b.engines.fault = func(int, core.Attempt) streamFault {
				switch random.IntN(8) {
				case 0:
					return streamFault{refuse: failure([]core.Outcome{core.OutcomeNotRun, core.OutcomeUnknown}[random.IntN(2)], []int{0, 503}[random.IntN(2)])}
				case 1, 2:
					return streamFault{cutAt: 1 + random.IntN(6)}
				case 3:
					return streamFault{hangAt: 1 + random.IntN(6)}
				}
				return streamFault{mix: []int{1 + random.IntN(6)}}
			}
			sink := &textSink{onChunk: func() error {
				switch random.IntN(40) {
				case 0:
					cancel()
				case 1:
					return errors.New("closed")
				}
				return nil
			}}
			err := b.chat(ctx, sink)
			text, problem := sink.text.String(), problemOf(err)
			p.History(len(b.engines.connections))
			switch {
			case err == nil && text != wholeAnswer(5), !strings.HasPrefix(wholeAnswer(5), text):
				t.Errorf("seed %d: answer %q, problem %q", seed, text, problem)
			case sink.starts > 1:
				t.Errorf("seed %d: started %d times", seed, sink.starts)
			case strings.HasSuffix(problem, "not_run") && b.engines.runs > 0:
				t.Errorf("seed %d: problem %q after %d runs", seed, problem, b.engines.runs)
			}
			<-time.After(2 * drainTime) // some engines do not close the connection after the end
			if !b.slots.balanced() || len(b.attempts.active) != 0 {
				t.Errorf("seed %d: slots %v, attempts %v", seed, b.slots.held, b.attempts.active)
			}
		})
	}
}
