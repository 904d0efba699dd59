package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/gossip"
)

// Guards against a pause that another router was asked for and that binds this one, is
// kept for another process of the worker, or ends later with each router that tells it.
func TestSharedPauses(t *testing.T) {
	Convey("A worker that another router has to spare gets the requests that no other worker takes", t, func() {
		f, now := newTestFleet(2)
		p := f.pools[testUpstream]
		heard := []Pause{{gossip.WorkerHash(p.workers[0].ID), now.Add(3 * time.Second)}}
		So(f.RecordSharedPauses(heard, now), ShouldEqual, 1)
		So(f.RecordSharedPauses(heard, now), ShouldEqual, 0)
		for range 20 {
			c, _ := f.Choose(Request{Upstream: testUpstream}, now)
			So(c.Worker, ShouldEqual, p.workers[1])
			f.RecordEnd(c, true, now)
		}
		c, ok := f.Choose(Request{Upstream: testUpstream, Tried: []*Worker{p.workers[1]}}, now)
		So(ok, ShouldBeTrue)
		So(c.Worker, ShouldEqual, p.workers[0])
		_, paused := f.NextOpening(testUpstream, now)
		So(paused, ShouldEqual, 0)
		Convey("It tells the others the same end", func() {
			So(f.Pauses(now.Add(time.Second)), ShouldResemble, heard)
			So(f.Pauses(now.Add(3*time.Second)), ShouldBeEmpty)
		})
		Convey("A new process of the worker is free", func() {
			list := workers(2)
			list[0].StartedAtMs = 7
			f.Apply(&WorkerList{Version: 2, At: now, Workers: list})
			So(f.Pauses(now), ShouldBeEmpty)
		})
	})
	Convey("Other routers are told of the first ten seconds of a pause, and keep none for longer", t, func() {
		f, now := newTestFleet(2)
		f.cfg.MaxPause = 24 * time.Hour
		w := f.pools[testUpstream].workers[0]
		f.RecordPause(w, time.Hour, now)
		So(f.Pauses(now), ShouldResemble, []Pause{{gossip.WorkerHash(w.ID), now.Add(maxSharedPause)}})
		later := now.Add(9 * time.Second)
		f.RecordPause(w, time.Hour, later)
		So(f.Pauses(later), ShouldResemble, []Pause{{gossip.WorkerHash(w.ID), now.Add(maxSharedPause)}})
		other, _ := newTestFleet(2)
		other.RecordSharedPauses([]Pause{{gossip.WorkerHash(w.ID), now.Add(time.Hour)}}, now)
		So(other.Pauses(now), ShouldResemble, []Pause{{gossip.WorkerHash(w.ID), now.Add(maxSharedPause)}})
	})
}
