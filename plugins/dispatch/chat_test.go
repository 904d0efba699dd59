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

// inBubble runs a Convey suite in a synctest bubble, which has a fake clock.
func inBubble(t *testing.T, desc string, fn func(*testing.T)) {
	synctest.Test(t, func(t *testing.T) { Convey(desc, t, func() { fn(t); synctest.Wait() }) })
}

// Guards against requests that fail although a slot can be acquired, wait without
// a limit, or use an expired slot.
func TestSlots(t *testing.T) {
	// While no slot is free, a failure domain gets three slot requests: for the
	// first and the second choice without a wait, then for the first choice with
	// one. Requests 1 to 3 go to the local domain, 4 to 6 to the remote one, and
	// 7 to 9 to the local one again, where the last waits for the rest of the time.
	type reason = core.SlotReason
	for _, c := range []struct {
		desc    string
		refuse  func(n int, first bool) reason // refusal of the nth slot request, empty for none; first is set for the first choice
		expired int                            // number of grants that have expired on arrival
		problem string
		grants  int
		worker  string // expected worker: first or second choice, or remote domain; empty for any
	}{
		{"a slot of the first choice", func(int, bool) reason { return "" }, 0, "", 1, "first"},
		{"a slot of the second choice when the first has no lease holder", func(_ int, first bool) reason { return map[bool]reason{true: core.SlotNoHolder}[first] }, 0, "", 1, "second"},
		{"a slot of the second choice when the first has none free", func(n int, _ bool) reason { return map[int]reason{1: core.SlotExpired}[n] }, 0, "", 1, "second"},
		{"a slot of the first choice when neither had one free and the first gets one during the wait", func(n int, _ bool) reason { return map[bool]reason{true: core.SlotExpired}[n < 3] }, 0, "", 1, "first"},
		{"a slot in another domain when the queue is full", func(n int, _ bool) reason { return map[bool]reason{true: core.SlotQueueFull}[n < 4] }, 0, "", 1, "remote domain"},
		{"a slot after the rank's target wait has passed in every domain", func(n int, _ bool) reason { return map[bool]reason{true: core.SlotExpired}[n < 9] }, 0, "", 1, ""},
		{"no slot when all queues are full", func(int, bool) reason { return core.SlotQueueFull }, 0, "overloaded not_run", 0, ""},
		{"no slot when the longest wait has passed", func(int, bool) reason { return core.SlotExpired }, 0, "overloaded not_run", 0, ""},
		{"a slot after the worker's lease holder has been replaced", func(n int, _ bool) reason { return map[bool]reason{true: core.SlotNoHolder}[n < 200] }, 0, "", 1, ""},
		{"no slot when no lease holder responds", func(int, bool) reason { return core.SlotUnanswered }, 0, "upstream_unavailable not_run", 0, ""},
		{"another slot when the first one has expired on arrival", func(int, bool) reason { return "" }, 1, "", 2, "first"},
	} {
		inBubble(t, "A chat gets "+c.desc, func(t *testing.T) {
			h := newHarness()
			_, workers := newCandidatePlan(chatPlacementKey("clerks", "", "c1", nil), h.index.Load().models["m"], h.health).next(time.Now())
			n := 0
			h.slots.refuse = func(r core.SlotRequest, s *core.Slot) error {
				n++
				if reason := c.refuse(n, r.Workers[0] == workers[0]); reason != "" {
					return slotError(reason)
				}
				if n <= c.expired {
					s.UseBy = time.Now().Add(-time.Millisecond)
				}
				return nil
			}
			sink := &textSink{}
			So(problemOf(h.chat(t.Context(), sink)), ShouldEqual, c.problem)
			So(h.slots.grants, ShouldEqual, c.grants)
			So(h.slots.allReleased(), ShouldBeTrue)
			So(h.slots.firstChoices, ShouldNotContain, "w0") // w0 is draining
			if c.problem == "" {
				So(sink.text.String(), ShouldEqual, completeText(5))
				So(len(h.engines.connections), ShouldEqual, 1)
				place := map[string]string{workers[0]: "first", workers[1]: "second"}
				got := cmp.Or(place[h.engines.connections[0].Worker], "remote domain")
				So(got, ShouldEqual, cmp.Or(c.worker, got))
			}
		})
	}
}

// Guards against wrong reactions to failing engines: missing or duplicate chunks,
// retries of responses that have started, and a false outcome not_run.
func TestChat(t *testing.T) {
	type faults []streamFault
	for _, c := range []struct {
		desc        string
		faults      faults // of the connections in order
		buffered    bool   // the sink buffers the response
		problem     string
		connections int
		workers     int
	}{
		{"runs", nil, false, "", 1, 1},
		{"ignores duplicate frames and those of other attempts", faults{{injectAt: []int{1, 3, 6}}}, false, "", 1, 1},
		{"is resumed on the same worker when its stream is truncated", faults{{closeAt: 3}}, false, "", 2, 1},
		{"is resumed when only the end marker is missing", faults{{closeAt: 6}}, false, "", 2, 1},
		{"is retried on another worker when its stream ends before the first chunk", faults{{closeAt: 1}}, false, "", 2, 2},
		{"is retried on another worker when the connection is refused", faults{{connectErr: attemptError(core.OutcomeNotRun, 0)}}, false, "", 2, 2},
		{"is retried on another worker when the worker refuses it", faults{{connectErr: attemptError(core.OutcomeNotRun, 503)}}, false, "", 2, 2},
		{"is not retried when the worker rejects it as invalid", faults{{connectErr: attemptError(core.OutcomeUnknown, 400)}}, false, "invalid_request unknown", 1, 1},
		{"ends incomplete when it cannot be resumed", faults{{closeAt: 3}, {connectErr: attemptError(core.OutcomeUnknown, 404)}}, false, "answer_incomplete ran", 2, 1},
		{"is restarted on another worker when its response was buffered", faults{{closeAt: 3}, {connectErr: attemptError(core.OutcomeUnknown, 404)}}, true, "", 3, 2},
		{"fails with not_run when all workers refuse it", faults{{connectErr: attemptError(core.OutcomeNotRun, 0)}, {connectErr: attemptError(core.OutcomeNotRun, 0)}, {connectErr: attemptError(core.OutcomeNotRun, 0)}, {connectErr: attemptError(core.OutcomeNotRun, 0)}}, false, "upstream_unavailable not_run", 4, 4},
		{"fails with unknown when one worker may have run it", faults{{closeAt: 1}, {connectErr: attemptError(core.OutcomeNotRun, 0)}, {connectErr: attemptError(core.OutcomeNotRun, 0)}, {connectErr: attemptError(core.OutcomeNotRun, 0)}}, false, "upstream_unavailable unknown", 4, 4},
		{"ends when its slot expires", faults{{hangAt: 1}}, false, "deadline_exceeded unknown", 1, 1},
		{"ends incomplete when its slot expires after the first chunk", faults{{hangAt: 3}}, false, "answer_incomplete ran", 1, 1},
	} {
		inBubble(t, "A chat "+c.desc, func(t *testing.T) {
			h := newHarness()
			h.engines.fault = func(n int, _ core.Attempt) streamFault {
				if n <= len(c.faults) {
					return c.faults[n-1]
				}
				return streamFault{}
			}
			restarting := &restartSink{}
			sink, out := core.ChatSink(&restarting.textSink), &restarting.text
			if c.buffered {
				sink = restarting
			}
			So(problemOf(h.chat(t.Context(), sink)), ShouldEqual, c.problem)
			if c.problem == "" {
				So(out.String(), ShouldEqual, completeText(5))
			}
			workers := map[string]bool{}
			for _, a := range h.engines.connections {
				workers[a.Worker] = true
			}
			So(len(h.engines.connections), ShouldEqual, c.connections)
			So(len(workers), ShouldEqual, c.workers)
			So(h.slots.allReleased(), ShouldBeTrue)
			So(h.InFlight(), ShouldEqual, 0)
		})
	}
	inBubble(t, "A chat ends when its caller disconnects, and is cancelled on the engine", func(t *testing.T) {
		h := newHarness()
		h.engines.fault = func(int, core.Attempt) streamFault { return streamFault{hangAt: 3} }
		ctx, cancel := context.WithCancel(t.Context())
		sink := &textSink{onChunk: func() error { cancel(); return nil }}
		So(problemOf(h.chat(ctx, sink)), ShouldEqual, "answer_incomplete ran")
		So(h.engines.cancelled, ShouldResemble, []string{h.engines.connections[0].ID})
		So(h.slots.allReleased(), ShouldBeTrue)
		So(h.attempts.HeldSlots("pool", h.engines.connections[0].Worker), ShouldBeEmpty)
	})
	// Guards against exceeding max_in_flight: the worker still runs a cancelled
	// attempt while its slot is granted to another request.
	inBubble(t, "A cancelled attempt keeps its slot until the engine has ended it", func(t *testing.T) {
		h := newHarness()
		h.engines.endCancelled = make(chan struct{})
		h.engines.fault = func(int, core.Attempt) streamFault { return streamFault{hangAt: 3} }
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = h.chat(ctx, &textSink{}) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		So(len(h.engines.cancelled), ShouldEqual, 1)
		So(h.slots.allReleased(), ShouldBeFalse)
		So(len(h.attempts.HeldSlots("pool", h.engines.connections[0].Worker)), ShouldEqual, 1)
		close(h.engines.endCancelled)
		synctest.Wait()
		So(h.slots.allReleased(), ShouldBeTrue)
		So(h.attempts.HeldSlots("pool", h.engines.connections[0].Worker), ShouldBeEmpty)
	})
	inBubble(t, "A chat ends when the response cannot be sent to its caller", func(t *testing.T) {
		h := newHarness()
		So(problemOf(h.chat(t.Context(), &textSink{onChunk: func() error { return errors.New("closed") }})), ShouldEqual, "answer_incomplete ran")
		So(len(h.engines.connections), ShouldEqual, 1)
		So(len(h.engines.cancelled), ShouldEqual, 1)
	})
	inBubble(t, "After a failed attempt on a worker, a chat no longer lets the lease holder choose any of its workers", func(t *testing.T) {
		h := newHarness()
		var anyWorker []bool
		h.slots.refuse = func(r core.SlotRequest, _ *core.Slot) error {
			if r.Wait == 0 {
				return slotError(core.SlotExpired)
			}
			anyWorker = append(anyWorker, r.AnyWorker)
			return nil
		}
		h.engines.fault = func(n int, _ core.Attempt) streamFault {
			return streamFault{connectErr: map[int]error{1: attemptError(core.OutcomeNotRun, 0)}[n]}
		}
		So(h.chat(t.Context(), &textSink{}), ShouldBeNil)
		So(anyWorker, ShouldResemble, []bool{true, false})
	})
	inBubble(t, "A model without workers is replaced by its fallback, if it has one", func(t *testing.T) {
		h := newHarness()
		pools, model := h.index.Load().poolsForModel("new")
		So([]any{len(pools), model}, ShouldResemble, []any{1, "m"})
		pools, _ = h.index.Load().poolsForModel("unserved")
		So(pools, ShouldBeEmpty)
	})
}

// fakeHealthSink records the ejections that are reported to lease holders.
type fakeHealthSink struct {
	core.WorkerHealthSink
	reported []string
}

func (s *fakeHealthSink) WorkerEjected(_, worker string, ejected bool) {
	s.reported = append(s.reported, worker+map[bool]string{true: " ejected", false: " reinstated"}[ejected])
}

// Guards against sending requests to a worker that fails repeatedly, and against
// ejections that are not reported to the lease holder or never end.
func TestEjection(t *testing.T) {
	inBubble(t, "A worker that fails repeatedly is ejected and later reinstated", func(t *testing.T) {
		h := newHarness()
		sink := &fakeHealthSink{}
		h.health.sink = sink
		var failing string
		h.engines.fault = func(_ int, a core.Attempt) streamFault {
			if failing == "" {
				failing = a.Worker
			}
			if a.Worker == failing {
				return streamFault{connectErr: attemptError(core.OutcomeNotRun, 0)}
			}
			return streamFault{}
		}
		for range 4 {
			So(h.chat(t.Context(), &textSink{}), ShouldBeNil)
		}
		So(sink.reported, ShouldResemble, []string{failing + " ejected"})
		So(len(h.engines.connections), ShouldEqual, 7) // the fourth chat avoids the ejected worker
		<-time.After(2 * time.Second)
		h.health.reportReinstated(time.Now())
		So(sink.reported, ShouldResemble, []string{failing + " ejected", failing + " reinstated"})
	})
}

// Guards against slots that leak or are released twice, incomplete responses
// without an error, and a false outcome not_run under any mix of faults.
func TestChatInvariants(t *testing.T) {
	report := proof.Begin(t, proof.Claim{Guarantee: "R2 R3", Kind: "seeded runs, whole request path", Faults: "refused and expired slots, truncated and stalled streams, duplicate frames and those of other attempts, callers that disconnect"})
	for _, seed := range proof.Seeds(300) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHarness()
			h.random = func() float64 { return 0.5 }
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			h.slots.refuse = func(_ core.SlotRequest, s *core.Slot) error {
				switch random.IntN(8) {
				case 0:
					return slotError([]core.SlotReason{core.SlotNoHolder, core.SlotQueueFull, core.SlotExpired, core.SlotUnanswered}[random.IntN(4)])
				case 1:
					s.UseBy = time.Now().Add(-1)
				}
				return nil
			}
			h.engines.fault = func(int, core.Attempt) streamFault {
				switch random.IntN(8) {
				case 0:
					return streamFault{connectErr: attemptError([]core.Outcome{core.OutcomeNotRun, core.OutcomeUnknown}[random.IntN(2)], []int{0, 503}[random.IntN(2)])}
				case 1, 2:
					return streamFault{closeAt: 1 + random.IntN(6)}
				case 3:
					return streamFault{hangAt: 1 + random.IntN(6)}
				}
				return streamFault{injectAt: []int{1 + random.IntN(6)}}
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
			err := h.chat(ctx, sink)
			text, problem := sink.text.String(), problemOf(err)
			report.History(len(h.engines.connections))
			switch {
			case err == nil && text != completeText(5), !strings.HasPrefix(completeText(5), text):
				t.Errorf("seed %d: response %q, problem %q", seed, text, problem)
			case sink.starts > 1:
				t.Errorf("seed %d: started %d times", seed, sink.starts)
			case strings.HasSuffix(problem, "not_run") && h.engines.runs > 0:
				t.Errorf("seed %d: problem %q after %d runs", seed, problem, h.engines.runs)
			}
			<-time.After(2 * drainTimeout) // some engines keep the connection open after the end marker
			if !h.slots.allReleased() || len(h.attempts.active) != 0 {
				t.Errorf("seed %d: slots %v, attempts %v", seed, h.slots.held, h.attempts.active)
			}
		})
	}
}
