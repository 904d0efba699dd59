package ledger

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// runInVirtualTime runs a test in virtual time.
func runInVirtualTime(t *testing.T, desc string, test func(*testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(desc, t, func() { test(t) })
	})
}

func newTestClaim(key, attempt string) Claim {
	return Claim{Caller: "clerk", Service: "rota-desk", Key: key, Digest: "d", Attempt: attempt, Router: "r1"}
}

// Guards against decisions that let a request run again, or that do not match the
// recorded state of the request.
func TestDecisions(t *testing.T) {
	cases := []struct {
		desc     string
		result   Result
		expected Decision
	}{
		{"ran", Result{OutcomeRan, []byte("turn 7")}, Decision{State: StateReplay, Answer: []byte("turn 7")}},
		{"ran with a large answer", Result{OutcomeRan, []byte(strings.Repeat("x", 99))}, Decision{State: StateReplay, Answer: []byte(strings.Repeat("x", 99))}},
		{"unknown", Result{OutcomeUnknown, nil}, Decision{State: StateUnknown}},
		{"not run", Result{OutcomeNotRun, nil}, Decision{State: StateClaimed}},
		{"not finished", Result{}, Decision{State: StateInProgress, Attempt: "a1", Router: "r1"}},
	}
	for _, tc := range cases {
		runInVirtualTime(t, "The decision of a second claim when the result of the first one is: "+tc.desc, func(t *testing.T) {
			sim := newSimulation(1, 2)
			ctx := t.Context()
			c := newTestClaim("k", "a1")
			d, err := sim.ledgers[0].Claim(ctx, c)
			So(err, ShouldBeNil)
			So(d.State, ShouldEqual, StateClaimed)
			if tc.result.Outcome != "" {
				So(sim.ledgers[0].Finish(ctx, c, tc.result), ShouldBeNil)
			}
			d, err = sim.ledgers[1].Claim(ctx, newTestClaim("k", "a2"))
			So(err, ShouldBeNil)
			So(d, ShouldResemble, tc.expected)
			other := newTestClaim("k", "a3")
			other.Digest = "e"
			_, err = sim.ledgers[0].Claim(ctx, other)
			var reused *KeyReusedError
			So(errors.As(err, &reused), ShouldBeTrue)
		})
	}
	runInVirtualTime(t, "A request with a corrupt row is never run, and one with a lost object is reported as having run", func(t *testing.T) {
		sim := newSimulation(1, 1)
		l := sim.ledgers[0]
		c := newTestClaim("k", "a1")
		_, err := l.Claim(t.Context(), c)
		So(err, ShouldBeNil)
		So(l.Finish(t.Context(), c, Result{OutcomeRan, []byte(strings.Repeat("x", 99))}), ShouldBeNil)
		l.objects = storetest.New(storetest.Options{Now: time.Now}).Objects()
		_, err = l.Claim(t.Context(), newTestClaim("k", "a2"))
		var noAnswer *AnswerUnavailableError
		So(errors.As(err, &noAnswer), ShouldBeTrue)
		l.table = corruptTable{sim.platform}
		d, err := l.Claim(t.Context(), newTestClaim("k", "a3"))
		So(err, ShouldBeNil)
		So(d.State, ShouldEqual, StateUnknown)
	})
}

// Guards against one commit per claim, which would exceed the platform's write
// limit, and against one conflict that makes the other claims of its commit
// fail.
func TestGroupCommit(t *testing.T) {
	runInVirtualTime(t, "Claims within 3 ms share a commit; after a conflict the others need one more commit", func(t *testing.T) {
		sim := newSimulation(1, 2)
		_, err := sim.ledgers[1].Claim(t.Context(), newTestClaim("k3", "other"))
		So(err, ShouldBeNil)
		before := sim.platform.Stats()
		var mu sync.Mutex
		states := map[State]int{}
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				<-time.After(time.Duration(i) * 100 * time.Microsecond)
				d, err := sim.ledgers[0].Claim(t.Context(), newTestClaim(fmt.Sprintf("k%d", i%19), fmt.Sprintf("a%d", i)))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					states[d.State]++
				}
			})
		}
		wg.Wait()
		// k3 has been claimed by the other router, and k0 is claimed twice.
		So(states, ShouldResemble, map[State]int{StateClaimed: 18, StateInProgress: 2})
		So(sim.platform.Stats().Writes-before.Writes, ShouldEqual, 3)
		So(sim.platform.Stats().Reads, ShouldEqual, 0)
	})
}

// Guards against at-most-once requests that hang or are sent while the platform
// is down, and against results that are lost during the outage.
func TestOutage(t *testing.T) {
	runInVirtualTime(t, "A claim fails at once; a result is kept until the platform is available", func(t *testing.T) {
		sim := newSimulation(1, 1)
		l := sim.ledgers[0]
		c := newTestClaim("k1", "a1")
		_, err := l.Claim(t.Context(), c)
		So(err, ShouldBeNil)
		sim.platform.SetFaults(storetest.Faults{Outage: true})
		began := time.Now()
		_, err = l.Claim(t.Context(), newTestClaim("k2", "a2"))
		var notClaimed *NotClaimedError
		So(errors.As(err, &notClaimed), ShouldBeTrue)
		So(time.Since(began), ShouldEqual, DefaultGroupWindow)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var pending *PendingError
		So(errors.As(l.Finish(ctx, c, Result{OutcomeRan, []byte("turn 7")}), &pending), ShouldBeTrue)
		sim.platform.SetFaults(storetest.Faults{})
		l.Close(t.Context())
		d, err := New(sim.platform, sim.platform.Objects(), l.opts).Claim(t.Context(), newTestClaim("k1", "a3"))
		So(err, ShouldBeNil)
		So(string(d.Answer), ShouldEqual, "turn 7")
		_, err = l.Claim(t.Context(), newTestClaim("k3", "a4"))
		So(errors.As(err, &notClaimed), ShouldBeTrue)
	})
}

// Guards against rows that are deleted before the retention has passed or are
// never deleted, and against every router sweeping the whole ledger.
func TestSweep(t *testing.T) {
	runInVirtualTime(t, "One router deletes the rows after 7 days by the platform's clock", func(t *testing.T) {
		sim := newSimulation(1, 2)
		ctx := t.Context()
		for i := range 300 {
			c := newTestClaim(fmt.Sprintf("k%d", i), fmt.Sprintf("a%d", i))
			_, err := sim.ledgers[0].Claim(ctx, c)
			So(err, ShouldBeNil)
			if i > 0 { // the first claim is never finished
				So(sim.ledgers[0].Finish(ctx, c, Result{OutcomeRan, nil}), ShouldBeNil)
			}
		}
		sweep := func(router, expected int) {
			n, err := sim.ledgers[router].Sweep(ctx)
			So(err, ShouldBeNil)
			So(n, ShouldEqual, expected)
		}
		sweep(0, 0) // sets the timestamp of the first row
		<-time.After(DefaultRetention - time.Minute)
		sweep(1, 0)
		<-time.After(2 * time.Minute)
		before := sim.platform.Stats()
		sweep(0, 0) // not due
		So(sim.platform.Stats().Reads-before.Reads, ShouldEqual, 1)
		So(sim.platform.Stats().Writes, ShouldEqual, before.Writes)
		<-time.After(DefaultSweepInterval)
		sweep(0, 300)
		sweep(1, 0)
	})
}

// corruptTable is a table whose rows all have a value that cannot be decoded.
type corruptTable struct{ store.Table }

func (corruptTable) Commit(_ context.Context, ops []store.Op) (store.CommitResult, error) {
	return store.CommitResult{}, &store.ConflictError{Current: []store.Row{{Key: ops[0].Key, Value: []byte("{"), Version: 9}}}
}
