package routing

import (
	"math"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against cold times that are lost, that never end or that pass round between
// routers.
func TestColdState(t *testing.T) {
	configure := func(f *Fleet) {
		f.ConfigureUpstreams(map[string]UpstreamConfig{testUpstream: {ColdStart: coldTime, ColdRate: coldWorkerRate}})
		f.Configure(Config{Domain: "a", LoadBound: 2, ColdOver: 1.5, ColdSlack: 5, MaxRouters: 400})
	}
	Convey("Workers of the first list are cold as far as their registration says so, later processes are in any case", t, func() {
		f, now := newTestFleet(1)
		configure(f)
		list := workers(3)
		list[1].ColdLeft, list[1].RegisteredAt = time.Second, now
		f.Apply(&WorkerList{Version: 2, At: now, Workers: list})
		changes, cold, next := f.ColdState(now)
		So(changes, ShouldHaveLength, 2)
		So(cold, ShouldEqual, 2)
		So(next, ShouldBeGreaterThan, coldTime)
		// The same entries say nothing new.
		now = now.Add(time.Minute)
		f.Apply(&WorkerList{Version: 3, At: now, Workers: list})
		changes, cold, _ = f.ColdState(now)
		So(changes, ShouldHaveLength, 2)
		So(changes[0].Cold, ShouldBeFalse)
		So(cold, ShouldEqual, 0)
		// A registration that changes does.
		list[0].ColdLeft, list[0].RegisteredAt = 2*time.Second, now
		f.Apply(&WorkerList{Version: 4, At: now, Workers: list})
		_, cold, _ = f.ColdState(now)
		So(cold, ShouldEqual, 1)
	})
	Convey("A registration of long before the router's start that states a cold time is of the worker's start", t, func() {
		now := time.Unix(1_000_000, 0)
		f := New(Config{LoadBound: 2})
		configure(f)
		list := workers(3)
		for i, age := range []time.Duration{time.Hour, 5 * time.Second, time.Hour} {
			list[i].ColdLeft, list[i].RegisteredAt, list[i].StartedAtMs = coldTime, now, now.Add(-age).UnixMilli()
		}
		f.Apply(&WorkerList{Version: 1, At: now, Workers: list})
		f.Apply(&WorkerList{Version: 2, At: now.Add(time.Second), Workers: list})
		changes, _, _ := f.ColdState(now.Add(time.Second))
		So(changes, ShouldHaveLength, 1)
		So(changes[0].Worker, ShouldEqual, list[1].ID)
		list[2].RegisteredAt = now.Add(2 * time.Second) // it has become cold again
		f.Apply(&WorkerList{Version: 3, At: now.Add(2 * time.Second), Workers: list})
		_, cold, _ := f.ColdState(now.Add(2 * time.Second))
		So(cold, ShouldEqual, 2)
	})
	Convey("A process that is listed again is not cold, and an upstream without a figure has no cold workers", t, func() {
		f, now := newTestFleet(1)
		configure(f)
		list := restart(2, 2, 5)
		f.Apply(&WorkerList{Version: 2, At: now, Workers: list})
		now = now.Add(time.Minute)
		f.Apply(&WorkerList{Version: 3, At: now, Workers: list[:1]})
		f.Apply(&WorkerList{Version: 4, At: now.Add(time.Minute), Workers: list})
		_, cold, _ := f.ColdState(now.Add(time.Minute))
		So(cold, ShouldEqual, 0)
		f.ConfigureUpstreams(nil)
		f.Apply(&WorkerList{Version: 5, At: now.Add(time.Minute), Workers: restart(2, 2, 6)})
		_, cold, _ = f.ColdState(now.Add(time.Minute))
		So(cold, ShouldEqual, 0)
	})
	Convey("Routers learn of a cold worker from each other; what goes round does not prolong it", t, func() {
		a, now := newTestFleet(2)
		b, _ := newTestFleet(2)
		configure(a)
		configure(b)
		So(a.RecordCold(a.Worker("engine-0"), coldTime, now), ShouldBeTrue)
		So(a.RecordCold(a.Worker("engine-0"), coldTime, now.Add(time.Millisecond)), ShouldBeFalse)
		told := a.ColdWorkers(now)
		So(b.RecordSharedCold(told, now), ShouldEqual, 1)
		told[0].Until = told[0].Until.Add(100 * time.Millisecond) // time in transit
		So(a.RecordSharedCold(told, now.Add(coldTime-time.Millisecond)), ShouldEqual, 0)
		So(a.ColdWorkers(now.Add(coldTime)), ShouldBeEmpty)
		for _, left := range []time.Duration{-time.Second, math.MinInt64} {
			So(b.RecordCold(b.Worker("engine-1"), left, now), ShouldBeFalse)
		}
		So(b.RecordCold(b.Worker("engine-1"), math.MaxInt64, now), ShouldBeTrue)
		So(b.isCold(b.Worker("engine-1"), now.Add(2*maxColdLeft)), ShouldBeFalse)
	})
	Convey("A router that does not know the fleet leaves cold workers to the others", t, func() {
		f, now := newTestFleet(2)
		configure(f)
		So(f.coldRouters(now), ShouldEqual, 400)
		f.cfg.MaxRouters = 1
		f.RecordCold(f.Worker("engine-0"), coldTime, now)
		for i := range 2000 {
			c, ok := f.Choose(prompt(1, uint64(i), 3), now.Add(time.Duration(i)*time.Millisecond))
			if !ok {
				So(ok, ShouldBeTrue)
			}
			if c.Worker.ID != "engine-1" {
				So(c.Worker.ID, ShouldEqual, "engine-1")
			}
			f.RecordEnd(c, true, now)
		}
	})
}

// Guards against a fleet size that is forgotten in a partition, that never falls, or that
// one wrong message raises without limit.
func TestFleetSize(t *testing.T) {
	Convey("The largest number that a router was told holds, decays and is bounded", t, func() {
		now := time.Unix(1_000_000, 0)
		f := New(Config{MaxRouters: 400})
		So(f.coldRouters(now), ShouldEqual, 400)
		f.RecordFleetSize(3, FleetSize{Routers: 85, Age: time.Minute}, now)
		So(f.coldRouters(now), ShouldEqual, 85)
		f.RecordFleetSize(3, FleetSize{}, now.Add(8*time.Minute))
		So(f.coldRouters(now.Add(8*time.Minute)), ShouldEqual, 85)
		late := now.Add(sizeHold - time.Minute + 2*sizeHalfLife)
		So(f.coldRouters(late), ShouldAlmostEqual, 85.0/4, 0.01)
		f.RecordFleetSize(30, FleetSize{}, late)
		So(f.coldRouters(late), ShouldEqual, 30)
		f.RecordFleetSize(30, FleetSize{Routers: 1 << 40}, late)
		So(f.coldRouters(late), ShouldEqual, 400)
	})
	Convey("A size that goes round between routers does not get younger", t, func() {
		now := time.Unix(1_000_000, 0)
		a, b := New(Config{MaxRouters: 400}), New(Config{MaxRouters: 400})
		for _, f := range []*Fleet{a, b} {
			f.ConfigureUpstreams(map[string]UpstreamConfig{"u": {ColdRate: 1}})
			f.Configure(Config{MaxRouters: 400, ColdOver: 1})
		}
		a.RecordFleetSize(2, FleetSize{Routers: 85}, now)
		for range 7200 {
			now = now.Add(time.Second)
			told, _ := a.SharedFleetSize(now)
			b.RecordFleetSize(2, told, now)
			told, _ = b.SharedFleetSize(now)
			a.RecordFleetSize(2, told, now)
		}
		So(a.coldRouters(now), ShouldBeLessThan, 3)
	})
	Convey("A router that nobody tells a number takes what it sees after a while, and tells nothing before", t, func() {
		now := time.Unix(1_000_000, 0)
		f := New(Config{MaxRouters: 400, ColdOver: 1})
		f.ConfigureUpstreams(map[string]UpstreamConfig{"u": {ColdRate: 1}})
		f.RecordFleetSize(9, FleetSize{}, now)
		told, due := f.SharedFleetSize(now)
		So(due, ShouldBeTrue)
		So(told.Routers, ShouldEqual, 0)
		told, _ = f.SharedFleetSize(now.Add(sizeSettleTime))
		So(told.Routers, ShouldEqual, 9)
	})
}
