package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against requests that go to an engine whose memory they would exceed while
// another one has memory, and against engines above the load bound because of it.
func TestMemory(t *testing.T) {
	Convey("Where the memory of the engines is known", t, func() {
		f, now := newTestFleet(4)
		f.ConfigureUpstreams(map[string]UpstreamConfig{testUpstream: {KVCapacity: 30_000}})
		large := prompt(1, 2, 3)
		large.PromptTokens, large.ExpectedOutput = 11_800, 400
		first, _ := f.Choose(large, now)
		second, _ := f.Choose(large, now)
		So(second.Worker, ShouldEqual, first.Worker)
		Convey("a request that exceeds the memory of its worker goes to the next preference", func() {
			third, _ := f.Choose(large, now)
			So(third.Worker, ShouldNotEqual, first.Worker)
			So(third.PreferenceIndex, ShouldEqual, 1)
			f.RecordEnd(first, true, now.Add(time.Second))
			fourth, _ := f.Choose(large, now.Add(time.Second))
			So(fourth.Worker, ShouldEqual, first.Worker)
		})
		Convey("it stays if no other worker has memory, or if those that have are above the load bound", func() {
			for _, w := range f.byID {
				if w != first.Worker {
					w.tokens = 30_000
				}
			}
			third, _ := f.Choose(large, now)
			So(third.Worker, ShouldEqual, first.Worker)
			other := f.byID["engine-0"]
			if other == first.Worker {
				other = f.byID["engine-1"]
			}
			other.tokens, other.inFlight = 0, 60 // limit 31
			third, _ = f.Choose(large, now)
			So(third.Worker, ShouldEqual, first.Worker)
			other.inFlight = 5
			third, _ = f.Choose(large, now)
			So(third.Worker, ShouldEqual, other)
		})
		Convey("requests of other routers count with the mean", func() {
			f.RecordLoad(first.Worker, 2, 0, now)
			third, _ := f.Choose(large, now.Add(time.Millisecond))
			So(third.Worker, ShouldNotEqual, first.Worker)
		})
		Convey("of two workers with the same number of requests the one with less to read gets the next one", func() {
			f, now := newTestFleet(2)
			p := f.pools[testUpstream]
			for i, unread := range []int{1000, 100} {
				p.workers[i].inFlight, p.workers[i].unanswered = 1, 1
				p.workers[i].unread, p.workers[i].unreadCount = unread, 1
			}
			p.meanUnread = 500
			So(p.work(p.workers[0], now), ShouldEqual, 2)
			So(p.work(p.workers[1], now), ShouldAlmostEqual, 0.2)
			p.workers[0].unread, p.workers[1].unread = 500, 500
			So(p.work(p.workers[0], now), ShouldEqual, p.estimatedLoad(p.workers[0], now))
		})
		Convey("a request without a prompt part goes to a worker with memory", func() {
			for _, w := range f.byID {
				w.tokens = 30_000
			}
			f.byID["engine-2"].tokens, f.byID["engine-2"].inFlight = 0, 5
			c, _ := f.Choose(Request{Upstream: testUpstream, PromptTokens: 100}, now)
			So(c.Worker.ID, ShouldEqual, "engine-2")
		})
	})
}
