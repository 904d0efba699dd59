package orders

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/orders"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// injectFaults pauses routers, loses replies and makes the platform unavailable at
// random times during ten minutes, while the desired models change. Then it turns
// the faults of the platform off.
func (f *fleet) injectFaults(routers int) {
	s := f.newSource("faults")
	end := time.Now().Add(10 * time.Minute)
	for time.Now().Before(end) {
		faults := storetest.Faults{LateBy: 20 * time.Second, Outage: s.chance(0.1)}
		if s.chance(0.5) {
			faults.LostReplies, faults.DroppedRequests, faults.LateWrites, faults.DuplicateWrites = 0.2, 0.1, 0.1, 0.1
		}
		f.table.SetFaults(faults)
		if s.chance(0.6) {
			f.pause(fmt.Sprint("r", int(s.between(0, time.Duration(routers)))), s.between(time.Second, 40*time.Second))
		}
		if s.chance(0.5) {
			f.publishModels([]string{"m1", "m2", "m3"}[:s.between(1, 4)]...)
		}
		<-time.After(s.between(time.Second, 30*time.Second))
	}
	f.table.SetFaults(storetest.Faults{})
}

// Guards against interleaved orders of two lease holders, orders that are sent
// after the lease has ended, loads beyond the shared rate limit, and engines
// that do not reach the desired state.
func TestFleet(t *testing.T) {
	for _, test := range []struct {
		desc                      string
		checksFencing, lateOrders bool
	}{
		{"engines that check fencing tokens", true, false},
		{"engines that check fencing tokens, with late orders", true, true},
		{"engines that ignore fencing tokens", false, false},
		{"engines that ignore fencing tokens, with late orders", false, true},
	} {
		total, tokens := 0, uint64(0)
		for seed := range uint64(10) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(seed, test.checksFencing, 4)
				defer f.loops.Wait()
				defer cancel()
				f.lateOrders, f.failingOrders = test.lateOrders, true
				for i := range 3 {
					f.startRouter(ctx, fmt.Sprint("r", i), nil)
				}
				f.injectFaults(3)
				<-time.After(10 * time.Minute) // late orders, backoff and the rate limit delay convergence
				f.turnFaultsOff()
				<-time.After(5 * time.Minute)
				f.check(t)
				if !f.converged() {
					t.Errorf("%s, seed %d: the engines are not in the desired state", test.desc, seed)
				}
				if t.Failed() {
					t.Fatalf("%s, seed %d", test.desc, seed)
				}
				sent := f.sentOrders()
				total += len(sent)
				tokens += sent[len(sent)-1].fencingToken
			})
		}
		if t.Logf("%s: %d orders, %d fencing tokens", test.desc, total, tokens); total < 200 || tokens < 50 {
			t.Errorf("%s: %d orders with %d fencing tokens are too few for a meaningful test", test.desc, total, tokens)
		}
	}
}

// delayOrder pauses the router before it sends order number nth, and delays that
// order by the further duration after the pause. It returns a counter of the
// attempts to send an order.
func (f *fleet) delayOrder(nth int64, pause, further time.Duration) *atomic.Int64 {
	var calls atomic.Int64
	f.onSend = func(router string) {
		if calls.Add(1) == nth {
			f.pause(router, pause)
			<-time.After(pause + further)
		}
	}
	return &calls
}

// leaseHolder returns the holder according to the lease row.
func (f *fleet) leaseHolder() string {
	rows, err := f.table.Get(context.Background(), rowPrefix+upstream)
	So(err, ShouldBeNil)
	record, err := lease.DecodeFencedRecord(rows[0].Value)
	So(err, ShouldBeNil)
	return record.Holder
}

func inFleet(t *testing.T, desc string, checksFencing bool, engines int, test func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(1, checksFencing, engines)
		defer f.loops.Wait()
		defer cancel()
		Convey(desc, t, func() { test(ctx, f) })
	})
}

// Guards against a holder that acts on a decision from before a pause, an order
// that an engine executes late and that is not corrected, failed loads that are
// not retried or are retried without backoff, and a shutdown that does not
// release the lease.
func TestLeaseHolder(t *testing.T) {
	inFleet(t, "A holder that is paused until its lease has expired sends no more orders under it, and the next holder finishes", false, 1, func(ctx context.Context, f *fleet) {
		f.publishModels("m1", "m2")
		f.delayOrder(3, 30*time.Second, 0)
		f.startRouter(ctx, "r0", nil)
		<-time.After(20 * time.Second)
		So(f.converged(), ShouldBeTrue)
		f.startRouter(ctx, "r1", nil)
		f.publishModels("m1")
		<-time.After(20 * time.Second)
		So(f.converged(), ShouldBeTrue)
		<-time.After(time.Minute)
		So(f.sentOrders(), ShouldHaveLength, 3)
		So(f.sentOrders()[2].router, ShouldEqual, "r1")
		So(f.sentOrders()[2].fencingToken, ShouldEqual, 2)
	})
	inFleet(t, "A holder that cannot renew sends no order that could end after its lease", false, 1, func(ctx context.Context, f *fleet) {
		f.publishModels("m1", "m2")
		f.delayOrder(3, 2900*time.Millisecond, 0)
		f.startRouter(ctx, "r0", nil)
		<-time.After(20 * time.Second)
		So(f.converged(), ShouldBeTrue)
		sent, writes := len(f.sentOrders()), f.table.Stats().Writes
		for f.table.Stats().Writes == writes {
			<-time.After(10 * time.Millisecond)
		}
		f.table.SetFaults(storetest.Faults{Outage: true})
		<-time.After(5 * time.Second)
		// The holder may act for 9.5 s after the renewal and an order may take 2 s, so
		// none may be sent after 7.5 s. This one is decided before that and, because of
		// the delay, ready to be sent between 7.5 s and 9.5 s.
		f.publishModels("m1")
		<-time.After(time.Minute)
		So(f.sentOrders(), ShouldHaveLength, sent)
		f.table.SetFaults(storetest.Faults{})
		<-time.After(20 * time.Second)
		So(f.converged(), ShouldBeTrue)
	})
	inFleet(t, "A holder that has acquired the lease again does not send orders decided under the previous lease", false, 1, func(ctx context.Context, f *fleet) {
		f.publishModels("m1", "m2")
		f.delayOrder(3, 30*time.Second, 5*time.Second)
		f.startRouter(ctx, "r0", nil)
		<-time.After(20 * time.Second)
		f.publishModels("m1")
		<-time.After(time.Minute)
		So(f.converged(), ShouldBeTrue)
		So(f.sentOrders(), ShouldHaveLength, 3)
		So(f.sentOrders()[2].fencingToken, ShouldEqual, 2)
	})
	inFleet(t, "A load is not sent once its rate token has expired", false, 1, func(ctx context.Context, f *fleet) {
		calls := f.delayOrder(1, 0, 12*time.Second)
		f.startRouter(ctx, "r0", nil)
		<-time.After(time.Minute)
		So(f.sentOrders(), ShouldHaveLength, 1)
		So(calls.Load(), ShouldEqual, 2)
	})
	inFleet(t, "A late order to an engine that ignores fencing tokens is corrected", false, 1, func(ctx context.Context, f *fleet) {
		f.startRouter(ctx, "r0", nil)
		<-time.After(20 * time.Second)
		So(f.converged(), ShouldBeTrue)
		for _, late := range []core.Order{{Order: "unload", Model: "m1"}, {Order: "load", Model: "m9"}} {
			late.Worker = "e0"
			f.execute(late)
			So(f.converged(), ShouldBeFalse)
			<-time.After(20 * time.Second)
			So(f.converged(), ShouldBeTrue)
		}
	})
	inFleet(t, "A load without effect is retried with increasing delays", true, 1, func(ctx context.Context, f *fleet) {
		f.noEffect = true
		f.startRouter(ctx, "r0", nil)
		<-time.After(10 * time.Minute)
		sent := f.sentOrders()
		So(len(sent), ShouldBeBetween, 8, 20)
		last := len(sent) - 1
		So(sent[last].at.Sub(sent[last-1].at), ShouldBeGreaterThan, sent[1].at.Sub(sent[0].at))
		f.turnFaultsOff()
		<-time.After(2 * time.Minute)
		So(f.converged(), ShouldBeTrue)
	})
	inFleet(t, "A router that shuts down releases the lease", true, 1, func(ctx context.Context, f *fleet) {
		m := f.startRouter(ctx, "r0", nil)
		<-time.After(5 * time.Second)
		m.mu.Lock()
		planner := m.upstreams[upstream].planner
		planner.Begin("e0")
		m.mu.Unlock()
		So(m.stop(ctx), ShouldBeNil)
		So(f.leaseHolder(), ShouldEqual, "r0") // an order is in flight
		m.mu.Lock()
		planner.Finish(time.Now(), "e0", orders.Order{}, orders.NotSent)
		m.mu.Unlock()
		So(m.stop(ctx), ShouldBeNil)
		So(f.leaseHolder(), ShouldEqual, "")
		f.startRouter(ctx, "r1", nil)
		f.publishModels("m2")
		<-time.After(10 * time.Second) // without the release, the lease would have to expire and no router would send orders before 11 s
		So(f.converged(), ShouldBeTrue)
		So(f.sentOrders()[len(f.sentOrders())-1].router, ShouldEqual, "r1")
	})
}

// Guards against routers that compete for a lease although a partition may separate
// them from the workers of the upstream, against a fleet in which all routers read
// one row, and against candidates that never change although none of them reaches
// the platform.
func TestCandidates(t *testing.T) {
	Convey("Only routers with workers in their failure domain are candidates, and the candidates change", t, func() {
		u := &objects.Upstream{Name: upstream, Workers: []objects.Worker{{ID: "e1", FailureDomain: "a"}}}
		var members []core.Member
		for i := range 20 {
			members = append(members, core.Member{Router: fmt.Sprint("r", i), FailureDomain: []string{"a", "b"}[i%2], State: "live"})
		}
		now := time.Unix(0, 0)
		seen := map[string]bool{}
		candidates := func(list []core.Member) (n int) {
			for _, o := range members {
				m := &Manager{settings: &Settings{Candidates: 3}, id: core.Identity{Router: o.Router, FailureDomain: o.FailureDomain}}
				if m.isCandidate(u, list, now) {
					So(o.FailureDomain, ShouldEqual, "a")
					seen[o.Router] = true
					n++
				}
			}
			return n
		}
		for range 20 {
			So(candidates(members), ShouldEqual, 3)
			now = now.Add(candidatePeriod)
		}
		So(seen, ShouldHaveLength, 10)
		So(candidates(nil), ShouldEqual, 10)
	})
	inFleet(t, "A holder keeps the lease when it is no longer a candidate", false, 1, func(ctx context.Context, f *fleet) {
		m := f.startRouter(ctx, "r0", nil)
		<-time.After(5 * time.Second)
		m.mu.Lock()
		m.updateCandidacy(f.Current().Set.Upstreams[upstream], false)
		wanted := m.upstreams[upstream].wantLease
		m.mu.Unlock()
		So(wanted, ShouldBeTrue)
	})
}
