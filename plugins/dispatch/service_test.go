package dispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/proof"
	"github.com/auburnlead/auburnlead/ledger"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// newHarnessWithLedger returns a harness with a ledger on an in-process platform.
// The ledger is closed when the test ends.
func newHarnessWithLedger(t *testing.T, seed uint64) (*harness, *storetest.Platform) {
	p := storetest.New(storetest.Options{Seed: seed, Now: time.Now, After: func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }})
	l := ledger.New(p, p.Objects(), ledger.Options{Now: time.Now, After: time.After})
	t.Cleanup(func() { l.Close(context.Background()) })
	h := newHarness()
	h.ledger = l
	return h, p
}

// fakePeers is a core.PeerAttemptClient that returns the same state for every
// attempt.
type fakePeers struct {
	state string
	err   error
}

func (p fakePeers) AttemptState(context.Context, string, string) (string, error) {
	return p.state, p.err
}

// Guards against retries of calls that must not run twice, and against calls that
// fail although they may be retried.
func TestService(t *testing.T) {
	for _, c := range []struct {
		desc, method string
		err          error
		problem      string
		calls        int
	}{
		{"an idempotent call is retried when it may have run", "GET", attemptError(core.OutcomeUnknown, 0), "", 2},
		{"a call that is not idempotent is not retried when it may have run", "PATCH", attemptError(core.OutcomeUnknown, 0), "upstream_unavailable unknown", 1},
		{"a call that is not idempotent is retried when it has not run", "PATCH", attemptError(core.OutcomeNotRun, 503), "", 2},
		{"an at-most-once request is not retried when it may have run", "POST", attemptError(core.OutcomeUnknown, 0), "upstream_unavailable unknown", 1},
		{"an at-most-once request is retried when it has not run", "POST", attemptError(core.OutcomeNotRun, 0), "", 2},
	} {
		inBubble(t, c.desc, func(t *testing.T) {
			h, _ := newHarnessWithLedger(t, 0)
			h.services.fault = func(n int) (bool, error) {
				if n == 1 {
					return false, c.err
				}
				return true, nil
			}
			_, err := h.call(t.Context(), c.method, "k")
			So(problemOf(err), ShouldEqual, c.problem)
			So(h.services.calls, ShouldEqual, c.calls)
			So(h.slots.allReleased(), ShouldBeTrue)
		})
	}
}

// Guards against at-most-once requests that run twice, are not recorded, or are
// sent without a claim (R4).
func TestOnce(t *testing.T) {
	// claim claims the request for another attempt.
	claim := func(h *harness, attempt, router string) {
		digest := requestDigest(&core.ServiceRequest{Method: "POST", Path: "/turns"})
		d, err := h.ledger.Claim(context.Background(), ledger.Claim{Caller: "clerks", Service: "desk", Key: "k", Digest: digest, Attempt: attempt, Router: router})
		So(err, ShouldBeNil)
		So(d.State, ShouldEqual, ledger.StateClaimed)
	}
	inBubble(t, "An at-most-once request needs a key and a ledger", func(t *testing.T) {
		h := newHarness()
		_, err := h.call(t.Context(), "POST", "")
		So(problemOf(err), ShouldEqual, "key_required not_run")
		_, err = h.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "platform_unavailable not_run")
		So(h.services.calls, ShouldEqual, 0)
	})
	inBubble(t, "A second request with the same key gets the stored response, one with another body is refused", func(t *testing.T) {
		h, _ := newHarnessWithLedger(t, 0)
		first, err := h.call(t.Context(), "POST", "k")
		So(err, ShouldBeNil)
		again, err := h.call(t.Context(), "POST", "k")
		So(err, ShouldBeNil)
		So([]any{again.Status, string(again.Body), again.Replayed, first.Replayed}, ShouldResemble, []any{201, "booked", true, false})
		_, err = h.Service(t.Context(), &core.ServiceRequest{Caller: h.caller, Rank: h.rank, Service: "desk", Method: "POST", Path: "/turns", IdempotencyKey: "k", Body: []byte("x")})
		So(problemOf(err), ShouldEqual, "key_reused not_run")
		So(h.services.calls, ShouldEqual, 1)
	})
	inBubble(t, "No at-most-once request is sent while the platform is down", func(t *testing.T) {
		h, p := newHarnessWithLedger(t, 0)
		p.SetFaults(storetest.Faults{Outage: true})
		_, err := h.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "platform_unavailable not_run")
		So(h.services.calls, ShouldEqual, 0)
		p.SetFaults(storetest.Faults{})
	})
	inBubble(t, "A claimed request runs to its end when its caller disconnects", func(t *testing.T) {
		h, _ := newHarnessWithLedger(t, 0)
		h.services.release = make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _, _ = h.call(ctx, "POST", "k") }()
		<-time.After(time.Second)
		cancel()
		_, err := h.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "in_progress unknown")
		close(h.services.release)
		<-done
		again, err := h.call(t.Context(), "POST", "k")
		So(err, ShouldBeNil)
		So(again.Replayed, ShouldBeTrue)
		So(h.services.ran, ShouldEqual, 1)
	})
	inBubble(t, "A claimed request that ends in a panic counts as unknown", func(t *testing.T) {
		h, _ := newHarnessWithLedger(t, 0)
		h.services.fault = func(int) (bool, error) { panic("fault") }
		So(func() { _, _ = h.call(t.Context(), "POST", "k") }, ShouldPanic)
		h.services.mu.Unlock() // left locked by the panic
		_, err := h.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "outcome_unknown unknown")
		So(h.slots.allReleased(), ShouldBeTrue)
	})
	for _, c := range []struct {
		desc    string
		peers   core.PeerAttemptClient
		problem string
	}{
		{"is running", fakePeers{state: stateActive}, "in_progress unknown"},
		{"was not sent", fakePeers{state: stateNotSent}, ""},
		{"has ended without a record", fakePeers{state: stateEnded}, "outcome_unknown unknown"},
		{"is not known to its router", fakePeers{state: stateNotKnown}, "outcome_unknown unknown"},
		{"belongs to a router that no longer exists", fakePeers{state: stateGone}, "outcome_unknown unknown"},
		{"belongs to a router that does not respond", fakePeers{err: errors.New("timeout")}, "outcome_unknown unknown"},
		{"belongs to a router that cannot be queried", nil, "outcome_unknown unknown"},
	} {
		inBubble(t, "A request whose key is claimed by an earlier attempt, which "+c.desc+", is sent only if that attempt was not sent", func(t *testing.T) {
			h, _ := newHarnessWithLedger(t, 0)
			h.peers = c.peers
			claim(h, "other.1", "r2")
			_, err := h.call(t.Context(), "POST", "k")
			So(problemOf(err), ShouldEqual, c.problem)
			So(h.services.calls == 1, ShouldEqual, c.problem == "")
		})
	}
	inBubble(t, "The claim of an attempt of this router is taken over once the attempt has ended without being sent", func(t *testing.T) {
		h, _ := newHarnessWithLedger(t, 0)
		id := h.attempts.begin()
		claim(h, id, h.router)
		_, err := h.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "in_progress unknown")
		h.attempts.finish(id, stateNotSent)
		_, err = h.call(t.Context(), "POST", "k")
		So(err, ShouldBeNil)
		So(h.services.calls, ShouldEqual, 1)
	})
}

// Guards against a second run and against a false outcome not_run under any mix of
// service and platform faults.
func TestOnceInvariants(t *testing.T) {
	report := proof.Begin(t, proof.Claim{Guarantee: "R3 R4", Kind: "seeded runs, whole request path", Faults: "refusing and failing services, lost replies, dropped, late and duplicate writes"})
	for _, seed := range proof.Seeds(150) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			h, p := newHarnessWithLedger(t, seed)
			h.random = func() float64 { return 0.5 }
			p.SetFaults(storetest.Faults{LostReplies: 0.2, DroppedRequests: 0.1, LateWrites: 0.1, DuplicateWrites: 0.1})
			h.services.fault = func(int) (bool, error) {
				switch random.IntN(4) {
				case 0:
					return false, attemptError(core.OutcomeNotRun, 503)
				case 1:
					return random.IntN(2) == 0, attemptError(core.OutcomeUnknown, 0)
				}
				return true, nil
			}
			report.History(6)
			for request := range 6 {
				before := h.services.ran
				response, err := h.call(t.Context(), "POST", "k")
				switch {
				case h.services.ran > 1:
					t.Errorf("seed %d: ran %d times", seed, h.services.ran)
				case err == nil && (h.services.ran != 1 || string(response.Body) != "booked"):
					t.Errorf("seed %d: response %q after %d runs", seed, response.Body, h.services.ran)
				case err != nil && h.services.ran > before && outcomeOf(err) == core.OutcomeNotRun:
					t.Errorf("seed %d, request %d: %s although it ran", seed, request, problemOf(err))
				}
				<-time.After(time.Duration(random.IntN(3)) * time.Second)
			}
			p.SetFaults(storetest.Faults{})
			if !h.slots.allReleased() || len(h.attempts.active) != 0 {
				t.Errorf("seed %d: slots %v, attempts %v", seed, h.slots.held, h.attempts.active)
			}
		})
	}
}

func outcomeOf(err error) core.Outcome {
	var p *core.Problem
	if errors.As(err, &p) {
		return p.Outcome
	}
	return ""
}

// Guards against memory that grows with ended attempts, and against discarding a
// final state that other routers may still query.
func TestAttempts(t *testing.T) {
	Convey("The registry keeps the state of the latest ended attempts only", t, func() {
		a := NewAttemptRegistry("r 1/2", 36)
		first := a.begin()
		So(first, ShouldEqual, "r_1_2.10.1") // 36 is 10 in base 36
		So(a.AttemptState(first), ShouldEqual, stateActive)
		a.finish(first, stateNotSent)
		So(a.AttemptState(first), ShouldEqual, stateNotSent)
		for i := range maxEndedAttempts {
			a.finish(fmt.Sprint(i), stateEnded)
		}
		So(a.AttemptState(first), ShouldEqual, stateNotKnown)
		So(a.AttemptState("0"), ShouldEqual, stateEnded)
		So(len(a.ended), ShouldEqual, maxEndedAttempts)
	})
}
