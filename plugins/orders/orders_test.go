package orders

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/platform/platformtest"
)

// disturb pauses routers, loses replies and takes the platform down for ten
// minutes, while the wanted models change. Then everything works again.
func (f *fleet) disturb(routers int) {
	s := f.source("faults")
	end := time.Now().Add(10 * time.Minute)
	for time.Now().Before(end) {
		faults := platformtest.Faults{LateBy: 20 * time.Second, Outage: s.chance(0.1)}
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
	f.table.SetFaults(platformtest.Faults{})
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
		orders, tokens := 0, uint64(0)
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
				orders += len(sent)
				tokens += sent[len(sent)-1].token
			})
		}
		if t.Logf("%s: %d orders, %d tokens", test.desc, orders, tokens); orders < 200 || tokens < 50 {
			t.Errorf("%s: the runs prove little: %d orders under %d tokens", test.desc, orders, tokens)
		}
	}
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
		var once sync.Once
		f.onSend = func(router string) { once.Do(func() { f.pause(router, 30*time.Second) }) }
		f.router(ctx, "r0", nil)
		<-time.After(5 * time.Second)
		f.router(ctx, "r1", nil)
		<-time.After(15 * time.Second)
		So(f.settled(), ShouldBeTrue)
		<-time.After(time.Minute)
		So(f.orders(), ShouldHaveLength, 1)
		So(f.orders()[0].router, ShouldEqual, "r1")
		So(f.orders()[0].token, ShouldEqual, 2)
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
		So(m.stop(ctx), ShouldBeNil)
		f.router(ctx, "r1", nil)
		f.want("m2")
		<-time.After(10 * time.Second) // without the release, nobody acts before 11 s
		So(f.settled(), ShouldBeTrue)
		So(f.orders()[len(f.orders())-1].router, ShouldEqual, "r1")
	})
}

// Guards against routers that compete for a lease whose workers they cannot
// reach in a partition, and against a whole fleet that reads one row.
func TestCompetes(t *testing.T) {
	Convey("The best candidates with workers in their domain compete", t, func() {
		u := &objects.Upstream{Name: upstream, Workers: []objects.Worker{{ID: "e1", FailureDomain: "a"}}}
		var members []core.Member
		for i := range 20 {
			members = append(members, core.Member{Router: fmt.Sprint("r", i), FailureDomain: []string{"a", "b"}[i%2], State: "live"})
		}
		candidates := func(list []core.Member) (n int) {
			for _, o := range members {
				m := &Manager{s: &Settings{Candidates: 3}, id: core.Identity{Router: o.Router, FailureDomain: o.FailureDomain}}
				if m.competes(u, list) {
					So(o.FailureDomain, ShouldEqual, "a")
					n++
				}
			}
			return n
		}
		So(candidates(members), ShouldEqual, 3)
		So(candidates(nil), ShouldEqual, 10)
	})
}
