package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/placement"
)

// Guards against a hot prompt that all routers of a large fleet send to one worker
// after the other: each sees few of its requests, and all know the same old loads
// (incident 0014).
func TestSpreadOfHotPrompt(t *testing.T) {
	Convey("Routers that saw one request and know the same loads send the next one to many workers", t, func() {
		const routers, workerCount, full = 86, 60, 3
		random := rand.New(rand.NewPCG(1, 1))
		sent := map[string]int{}
		for range routers {
			now := time.Unix(1_000_000, 0)
			f := New(Config{Domain: "a", LoadBound: 2, MinRouters: 1, Random: random.IntN})
			f.Apply(&WorkerList{Version: 1, At: now, Workers: workers(workerCount)})
			f.RecordRouters(routers)
			p := f.pools[testUpstream]
			p.meanDuration = time.Second
			for _, w := range p.workers {
				w.reportedLoad, w.reportedAt = 5, now
			}
			f.Choose(prompt(1, 2, 3), now)
			now = now.Add(300 * time.Millisecond)
			var preferences [full]int
			for _, i := range placement.Choose(preferences[:], 2, p.hashes) {
				p.workers[i].reportedLoad = 14
			}
			c, ok := f.Choose(prompt(1, 2, 4), now)
			So(ok, ShouldBeTrue)
			So(c.Worker.reportedLoad, ShouldEqual, 5)
			sent[c.Worker.ID]++
		}
		most := 0
		for _, n := range sent {
			most = max(most, n)
		}
		// 86 requests to about ten workers with room for five each.
		So(most, ShouldBeLessThanOrEqualTo, routers/4)
	})
	Convey("A router that has seen many requests adds little for the error of its estimate", t, func() {
		f, now := newTestFleet(4)
		p := f.pools[testUpstream]
		for range 400 {
			f.placements.put(7, p.workers[0], now)
		}
		So(f.keyRate(p, 7, rateDeviations, now)/f.keyRate(p, 7, 0, now), ShouldBeBetween, 1.05, 1.15)
	})
	Convey("A mean of reported loads leaves out the request that each report was made with", t, func() {
		f, now := newTestFleet(4)
		p := f.pools[testUpstream]
		for _, w := range p.workers {
			w.reportedLoad, w.reportedAt = 6, now
		}
		So(p.meanLoad(now), ShouldEqual, 5)
		So(f.loadLimit(p.workers, now), ShouldEqual, 0.9*2*5+3)
		So(p.meanLoad(now.Add(loadTTL+time.Second)), ShouldEqual, 0)
	})
}
