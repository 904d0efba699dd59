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

// disturb pauses routers, loses replies and takes the platform down for ten
// minutes, while the wanted models change. Then everything works again.
func (f *fleet) disturb(routers int) {
	s := f.source("faults")
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
			f.want([]string{"m1", "m2", "m3"}[:s.between(1, 4)]...)
		}
		<-time.After(s.between(time.Second, 30*time.Second))
	}
	f.table.SetFaults(storetest.Faults{})
}

// Guards against orders of two holders that mix, against orders that leave
// after the lease has ended, against loads beyond the shared limit, and against
// engines that are left in a state that nobody wants.
func TestFleet(t *testing.T) {
	for _, test := range []struct {
		desc          string
		checks, slips bool
	}{
		{"engines that check", true, false},
		{"engines that check, with late orders", true, true},
		{"engines that ignore tokens", false, false},
		{"engines that ignore tokens, with late orders", false, true},
	} {
		total, tokens := 0, uint64(0)
		for seed := range uint64(10) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(seed, test.checks, 4)
				defer f.loops.Wait()
				defer cancel()
				f.slips, f.flaky = test.slips, true
				for i := range 3 {
					f.router(ctx, fmt.Sprint("r", i), nil)
				}
				f.disturb(3)
				<-time.After(10 * time.Minute) // late orders, backoff and the limit delay the end
				f.setCalm()
				<-time.After(5 * time.Minute)
				f.check(t)
				if !f.settled() {
					t.Errorf("%s, seed %d: the engines are not in the wanted state", test.desc, seed)
				}
				if t.Failed() {
					t.Fatalf("%s, seed %d", test.desc, seed)
				}
				sent := f.orders()
				total += len(sent)
				tokens += sent[len(sent)-1].token
			})
		}
		if t.Logf("%s: %d orders, %d tokens", test.desc, total, tokens); total < 200 || tokens < 50 {
			t.Errorf("%s: the runs prove little: %d orders under %d tokens", test.desc, total, tokens)
		}
	}
}

// lag pauses the router before order number nth goes out, and delays that order
// further. It returns the number of orders that were to be sent so far.
func (f *fleet) lag(nth int64, pause, further time.Duration) *atomic.Int64 {
	var calls atomic.Int64
	f.onSend = func(router string) {
		if calls.Add(1) == nth {
			f.pause(router, pause)
			<-time.After(pause + further)
		}
	}
	return &calls
}

// holder returns the holder that the row of the lease names.
func (f *fleet) holder() string {
	rows, err := f.table.Get(context.Background(), rowPrefix+upstream)
	So(err, ShouldBeNil)
	record, err := lease.DecodeFencedRecord(rows[0].Value)
	So(err, ShouldBeNil)
	return record.Holder
}

func inFleet(t *testing.T, desc string, checks bool, engines int, test func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(1, checks, engines)
		defer f.loops.Wait()
		defer cancel()
		Convey(desc, t, func() { test(ctx, f) })
	})
}

// Guards against a holder that acts on a decision from before a pause, against
// an order that an engine carries out late and nobody corrects, against failed
// loads that are given up or repeated without a pause, and against a stop that
// leaves the lease to expire.
func TestHolder(t *testing.T) {
	inFleet(t, "A holder paused past its lease sends nothing under it, and a successor finishes", false, 1, func(ctx context.Context, f *fleet) {
		f.want("m1", "m2")
		f.lag(3, 30*time.Second, 0)
		f.router(ctx, "r0", nil)
		<-time.After(20 * time.Second)
		So(f.settled(), ShouldBeTrue)
		f.router(ctx, "r1", nil)
		f.want("m1")
		<-time.After(20 * time.Second)
		So(f.settled(), ShouldBeTrue)
		<-time.After(time.Minute)
		So(f.orders(), ShouldHaveLength, 3)
		So(f.orders()[2].router, ShouldEqual, "r1")
		So(f.orders()[2].token, ShouldEqual, 2)
	})
	inFleet(t, "A holder that cannot renew sends nothing that could end after its lease", false, 1, func(ctx context.Context, f *fleet) {
		f.want("m1", "m2")
		f.lag(3, 2900*time.Millisecond, 0)
		f.router(ctx, "r0", nil)
		<-time.After(20 * time.Second)
		So(f.settled(), ShouldBeTrue)
		sent, writes := len(f.orders()), f.table.Stats().Writes
		for f.table.Stats().Writes == writes {
			<-time.After(10 * time.Millisecond)
		}
		f.table.SetFaults(storetest.Faults{Outage: true})
		<-time.After(5 * time.Second)
		f.want("m1") // decided before 7.5 s have passed, ready to be sent between 7.5 s and 9.5 s
		<-time.After(time.Minute)
		So(f.orders(), ShouldHaveLength, sent)
		f.table.SetFaults(storetest.Faults{})
		<-time.After(20 * time.Second)
		So(f.settled(), ShouldBeTrue)
	})
	inFleet(t, "A holder that has acquired the lease again does not send what it decided before", false, 1, func(ctx context.Context, f *fleet) {
		f.want("m1", "m2")
		f.lag(3, 30*time.Second, 5*time.Second)
		f.router(ctx, "r0", nil)
		<-time.After(20 * time.Second)
		f.want("m1")
		<-time.After(time.Minute)
		So(f.settled(), ShouldBeTrue)
		So(f.orders(), ShouldHaveLength, 3)
		So(f.orders()[2].token, ShouldEqual, 2)
	})
	inFleet(t, "A load is not sent once its rate-limit token has expired", false, 1, func(ctx context.Context, f *fleet) {
		calls := f.lag(1, 0, 12*time.Second)
		f.router(ctx, "r0", nil)
		<-time.After(time.Minute)
		So(f.orders(), ShouldHaveLength, 1)
		So(calls.Load(), ShouldEqual, 2)
	})
	inFleet(t, "A late order to an engine that ignores tokens is corrected", false, 1, func(ctx context.Context, f *fleet) {
		f.router(ctx, "r0", nil)
		<-time.After(20 * time.Second)
		So(f.settled(), ShouldBeTrue)
		for _, late := range []core.Order{{Order: "unload", Model: "m1"}, {Order: "load", Model: "m9"}} {
			late.Worker = "e0"
			f.obey(late)
			So(f.settled(), ShouldBeFalse)
			<-time.After(20 * time.Second)
			So(f.settled(), ShouldBeTrue)
		}
	})
	inFleet(t, "A load that does not show is sent again, each time later", true, 1, func(ctx context.Context, f *fleet) {
		f.stuck = true
		f.router(ctx, "r0", nil)
		<-time.After(10 * time.Minute)
		sent := f.orders()
		So(len(sent), ShouldBeBetween, 8, 20)
		last := len(sent) - 1
		So(sent[last].at.Sub(sent[last-1].at), ShouldBeGreaterThan, sent[1].at.Sub(sent[0].at))
		f.setCalm()
		<-time.After(2 * time.Minute)
		So(f.settled(), ShouldBeTrue)
	})
	inFleet(t, "A router that stops releases the lease", true, 1, func(ctx context.Context, f *fleet) {
		m := f.router(ctx, "r0", nil)
		<-time.After(5 * time.Second)
		m.mu.Lock()
		plan := m.parts[upstream].plan
		plan.Begin("e0")
		m.mu.Unlock()
		So(m.stop(ctx), ShouldBeNil)
		So(f.holder(), ShouldEqual, "r0") // an order is in flight
		m.mu.Lock()
		plan.Finish(time.Now(), "e0", orders.Order{}, orders.NotSent)
		m.mu.Unlock()
		So(m.stop(ctx), ShouldBeNil)
		So(f.holder(), ShouldEqual, "")
		f.router(ctx, "r1", nil)
		f.want("m2")
		<-time.After(10 * time.Second) // without the release, nobody acts before 11 s
		So(f.settled(), ShouldBeTrue)
		So(f.orders()[len(f.orders())-1].router, ShouldEqual, "r1")
	})
}

// Guards against routers that compete for a lease whose workers they cannot
// reach in a partition, against a whole fleet that reads one row, and against
// candidates that never change although none of them reaches the platform.
func TestCompetes(t *testing.T) {
	Convey("The best candidates with workers in their domain compete in turn, and a holder stays", t, func() {
		u := &objects.Upstream{Name: upstream, Workers: []objects.Worker{{ID: "e1", FailureDomain: "a"}}}
		var members []core.Member
		for i := range 20 {
			members = append(members, core.Member{Router: fmt.Sprint("r", i), FailureDomain: []string{"a", "b"}[i%2], State: "live"})
		}
		now := time.Unix(0, 0)
		seen := map[string]bool{}
		candidates := func(list []core.Member) (n int) {
			for _, o := range members {
				m := &Manager{s: &Settings{Candidates: 3}, id: core.Identity{Router: o.Router, FailureDomain: o.FailureDomain}}
				if m.competes(u, list, now) {
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
	inFleet(t, "A holder stays when it is no candidate any more", false, 1, func(ctx context.Context, f *fleet) {
		m := f.router(ctx, "r0", nil)
		<-time.After(5 * time.Second)
		m.mu.Lock()
		m.join(f.Current().Set.Upstreams[upstream], false)
		wanted := m.parts[upstream].wanted
		m.mu.Unlock()
		So(wanted, ShouldBeTrue)
	})
}
