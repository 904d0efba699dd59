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

// onceBench is a bench with a ledger on a platform until the test ends.
func onceBench(t *testing.T, seed uint64) (*bench, *storetest.Platform) {
	p := storetest.New(storetest.Options{Seed: seed, Now: time.Now, After: func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }})
	l := ledger.New(p, p.Objects(), ledger.Options{Now: time.Now, After: time.After})
	t.Cleanup(func() { l.Close(context.Background()) })
	b := newBench()
	b.once = l
	return b, p
}

// peers answers for the attempts of another router.
type peers struct {
	state string
	err   error
}

func (p peers) AttemptState(context.Context, string, string) (string, error) { return p.state, p.err }

// Guards against repeated calls that must not be repeated, and against calls
// that are given up although they may be repeated.
func TestService(t *testing.T) {
	for _, c := range []struct {
		desc, method string
		err          error
		problem      string
		calls        int
	}{
		{"an idempotent call is repeated when it may have run", "GET", failure(core.OutcomeUnknown, 0), "", 2},
		{"another call is not", "PATCH", failure(core.OutcomeUnknown, 0), "upstream_unavailable unknown", 1},
		{"unless it has not run", "PATCH", failure(core.OutcomeNotRun, 503), "", 2},
		{"a once-request is not repeated when it may have run", "POST", failure(core.OutcomeUnknown, 0), "upstream_unavailable unknown", 1},
		{"but goes elsewhere when it has not", "POST", failure(core.OutcomeNotRun, 0), "", 2},
	} {
		inBubble(t, c.desc, func(t *testing.T) {
			b, _ := onceBench(t, 0)
			b.services.fault = func(n int) (bool, error) {
				if n == 1 {
					return false, c.err
				}
				return true, nil
			}
			_, err := b.call(t.Context(), c.method, "k")
			So(problemOf(err), ShouldEqual, c.problem)
			So(b.services.calls, ShouldEqual, c.calls)
			So(b.slots.balanced(), ShouldBeTrue)
		})
	}
}

// Guards against once-requests that run twice, are not recorded, or are sent
// without a claim (R4).
func TestOnce(t *testing.T) {
	// claim has another attempt hold the claim.
	claim := func(b *bench, attempt, router string) {
		digest := requestDigest(&core.ServiceRequest{Method: "POST", Path: "/turns"})
		d, err := b.once.Claim(context.Background(), ledger.Claim{Caller: "clerks", Service: "desk", Key: "k", Digest: digest, Attempt: attempt, Router: router})
		So(err, ShouldBeNil)
		So(d.State, ShouldEqual, ledger.StateClaimed)
	}
	inBubble(t, "A once-request needs a key and a ledger", func(t *testing.T) {
		b := newBench()
		_, err := b.call(t.Context(), "POST", "")
		So(problemOf(err), ShouldEqual, "key_required not_run")
		_, err = b.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "platform_unavailable not_run")
		So(b.services.calls, ShouldEqual, 0)
	})
	inBubble(t, "A repeated once-request gets the stored answer, another body is refused", func(t *testing.T) {
		b, _ := onceBench(t, 0)
		first, err := b.call(t.Context(), "POST", "k")
		So(err, ShouldBeNil)
		again, err := b.call(t.Context(), "POST", "k")
		So(err, ShouldBeNil)
		So([]any{again.Status, string(again.Body), again.Replayed, first.Replayed}, ShouldResemble, []any{201, "booked", true, false})
		_, err = b.Service(t.Context(), &core.ServiceRequest{Caller: b.caller, Rank: b.rank, Service: "desk", Method: "POST", Path: "/turns", IdempotencyKey: "k", Body: []byte("x")})
		So(problemOf(err), ShouldEqual, "key_reused not_run")
		So(b.services.calls, ShouldEqual, 1)
	})
	inBubble(t, "Nothing is sent while the platform is down", func(t *testing.T) {
		b, p := onceBench(t, 0)
		p.SetFaults(storetest.Faults{Outage: true})
		_, err := b.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "platform_unavailable not_run")
		So(b.services.calls, ShouldEqual, 0)
		p.SetFaults(storetest.Faults{})
	})
	inBubble(t, "A claimed request goes on to its end when its caller goes away", func(t *testing.T) {
		b, _ := onceBench(t, 0)
		b.services.hold = make(chan struct{})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _, _ = b.call(ctx, "POST", "k") }()
		<-time.After(time.Second)
		cancel()
		_, err := b.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "in_progress unknown")
		close(b.services.hold)
		<-done
		again, err := b.call(t.Context(), "POST", "k")
		So(err, ShouldBeNil)
		So(again.Replayed, ShouldBeTrue)
		So(b.services.ran, ShouldEqual, 1)
	})
	inBubble(t, "A claimed request that ends in a panic counts as unknown", func(t *testing.T) {
		b, _ := onceBench(t, 0)
		b.services.fault = func(int) (bool, error) { panic("fault") }
		So(func() { _, _ = b.call(t.Context(), "POST", "k") }, ShouldPanic)
		b.services.mu.Unlock() // left locked by the panic
		_, err := b.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "outcome_unknown unknown")
		So(b.slots.balanced(), ShouldBeTrue)
	})
	for _, c := range []struct {
		desc    string
		peers   core.PeerAttemptClient
		problem string
	}{
		{"runs", peers{state: stateActive}, "in_progress unknown"},
		{"was not sent", peers{state: stateNotSent}, ""},
		{"has ended without a record", peers{state: stateEnded}, "outcome_unknown unknown"},
		{"is not known to its router", peers{state: stateNotKnown}, "outcome_unknown unknown"},
		{"belongs to a router that is gone", peers{state: stateGone}, "outcome_unknown unknown"},
		{"belongs to a router that does not answer", peers{err: errors.New("timeout")}, "outcome_unknown unknown"},
		{"belongs to a router that cannot be asked", nil, "outcome_unknown unknown"},
	} {
		inBubble(t, "A once-request whose other attempt "+c.desc+" ends accordingly", func(t *testing.T) {
			b, _ := onceBench(t, 0)
			b.peers = c.peers
			claim(b, "other.1", "r2")
			_, err := b.call(t.Context(), "POST", "k")
			So(problemOf(err), ShouldEqual, c.problem)
			So(b.services.calls == 1, ShouldEqual, c.problem == "")
		})
	}
	inBubble(t, "A claim of this router that was never sent is taken over", func(t *testing.T) {
		b, _ := onceBench(t, 0)
		id := b.attempts.begin()
		claim(b, id, b.router)
		_, err := b.call(t.Context(), "POST", "k")
		So(problemOf(err), ShouldEqual, "in_progress unknown")
		b.attempts.end(id, stateNotSent)
		_, err = b.call(t.Context(), "POST", "k")
		So(err, ShouldBeNil)
		So(b.services.calls, ShouldEqual, 1)
	})
}

// Guards against a second run and against a false not_run when the service and
// the platform fail in any mix.
func TestOnceInvariants(t *testing.T) {
	report := proof.Begin(t, proof.Claim{Guarantee: "R3 R4", Kind: "seeded runs, whole request path", Faults: "refusing and dying services, lost replies, dropped, late and doubled writes"})
	for _, seed := range proof.Seeds(150) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			b, p := onceBench(t, seed)
			b.random = func() float64 { return 0.5 }
			p.SetFaults(storetest.Faults{LostReplies: 0.2, DroppedRequests: 0.1, LateWrites: 0.1, DuplicateWrites: 0.1})
			b.services.fault = func(int) (bool, error) {
				switch random.IntN(4) {
				case 0:
					return false, failure(core.OutcomeNotRun, 503)
				case 1:
					return random.IntN(2) == 0, failure(core.OutcomeUnknown, 0)
				}
				return true, nil
			}
			report.History(6)
			for try := range 6 {
				before := b.services.ran
				a, err := b.call(t.Context(), "POST", "k")
				switch {
				case b.services.ran > 1:
					t.Errorf("seed %d: ran %d times", seed, b.services.ran)
				case err == nil && (b.services.ran != 1 || string(a.Body) != "booked"):
					t.Errorf("seed %d: answer %q after %d runs", seed, a.Body, b.services.ran)
				case err != nil && b.services.ran > before && outcomeOf(err) == core.OutcomeNotRun:
					t.Errorf("seed %d, try %d: %s although it ran", seed, try, problemOf(err))
				}
				<-time.After(time.Duration(random.IntN(3)) * time.Second)
			}
			p.SetFaults(storetest.Faults{})
			if !b.slots.balanced() || len(b.attempts.active) != 0 {
				t.Errorf("seed %d: slots %v, attempts %v", seed, b.slots.held, b.attempts.active)
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

// Guards against memory that grows with ended attempts, and against ends that
// are forgotten while others may still ask.
func TestAttempts(t *testing.T) {
	Convey("The record keeps the latest ends only", t, func() {
		a := NewAttemptRegistry("r 1/2", 36)
		first := a.begin()
		So(first, ShouldEqual, "r_1_2.10.1")
		So(a.AttemptState(first), ShouldEqual, stateActive)
		a.end(first, stateNotSent)
		So(a.AttemptState(first), ShouldEqual, stateNotSent)
		for i := range keptEnds {
			a.end(fmt.Sprint(i), stateEnded)
		}
		So(a.AttemptState(first), ShouldEqual, stateNotKnown)
		So(a.AttemptState("0"), ShouldEqual, stateEnded)
		So(len(a.ended), ShouldEqual, keptEnds)
	})
}
