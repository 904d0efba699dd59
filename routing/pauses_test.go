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
		shared := Pause{gossip.WorkerHash(p.workers[0].ID), now.Add(3 * time.Second), maxPauseHops}
		So(f.RecordSharedPauses([]Pause{shared}, now), ShouldEqual, 1)
		So(f.RecordSharedPauses([]Pause{shared}, now), ShouldEqual, 0)
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
		Convey("It tells the others the same end, with a hop less", func() {
			shared.Hops--
			So(f.Pauses(now.Add(time.Second)), ShouldResemble, []Pause{shared})
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
		So(f.Pauses(now), ShouldResemble, []Pause{{gossip.WorkerHash(w.ID), now.Add(maxSharedPause), maxPauseHops}})
		later := now.Add(9 * time.Second)
		f.RecordPause(w, time.Hour, later)
		So(f.Pauses(later), ShouldResemble, []Pause{{gossip.WorkerHash(w.ID), now.Add(maxSharedPause), maxPauseHops}})
		other, _ := newTestFleet(2)
		other.RecordSharedPauses([]Pause{{gossip.WorkerHash(w.ID), now.Add(time.Hour), 255}}, now)
		So(other.Pauses(now), ShouldResemble, []Pause{{gossip.WorkerHash(w.ID), now.Add(maxSharedPause), maxPauseHops - 1}})
	})
	Convey("Routers that tell each other over a slow network do not keep a pause alive", t, func() {
		const transit = 400 * time.Millisecond
		now := time.Unix(1_000_000, 0)
		var fleets []*Fleet
		for range 5 {
			f, _ := newTestFleet(2)
			fleets = append(fleets, f)
		}
		w := fleets[0].pools[testUpstream].workers[0]
		fleets[0].cfg.MaxPause = time.Hour
		fleets[0].RecordPause(w, 3*time.Second, now)
		pausedAt := now
		for range 100 {
			var sent [][]Pause
			for _, f := range fleets {
				list := f.Pauses(now)
				for i := range list {
					list[i].Until = list[i].Until.Add(transit) // the remaining time counts from the receipt
				}
				sent = append(sent, list)
			}
			now = now.Add(transit)
			for i, f := range fleets {
				for j, list := range sent {
					if i != j {
						f.RecordSharedPauses(list, now)
					}
				}
			}
		}
		now = pausedAt.Add(3*time.Second + maxPauseHops*transit)
		for _, f := range fleets {
			So(f.Pauses(now), ShouldBeEmpty)
			So(f.byID[w.ID].said.isPausedElsewhere(now), ShouldBeFalse)
		}
	})
}
