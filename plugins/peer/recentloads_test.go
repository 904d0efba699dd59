package peer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a load bound computed from attached load totals that are older
// than the membership view, or without those that are newer.
func TestRecentLoads(t *testing.T) {
	Convey("Load totals from a call are used for one exchange interval, and then the totals of the membership view", t, func() {
		var f recentLoads
		f.init()
		start := time.Unix(1000, 0)
		viewed, attached := loadTotals{2, 1}, loadTotals{2, 6}
		So(f.get(start, "r2", "pool", viewed, time.Second), ShouldResemble, viewed)
		So(f.set(start, "r2", "pool", attached), ShouldBeTrue)
		So(f.set(start, "r2", "pool", attached), ShouldBeFalse)
		So(f.get(start.Add(time.Second), "r2", "pool", viewed, time.Second), ShouldResemble, attached)
		So(f.get(start, "r2", "desk", viewed, time.Second), ShouldResemble, viewed)
		later := start.Add(time.Second + 1)
		So(f.get(later, "r2", "pool", viewed, time.Second), ShouldResemble, viewed)
		f.prune(later, time.Second)
		So(f.loads, ShouldBeEmpty)
	})
}

// Guards against every request for a paused holder's workers waiting for that
// holder.
func TestUnresponsiveRouters(t *testing.T) {
	Convey("A router that did not reply to a call is skipped for a while", t, func() {
		var q unresponsiveRouters
		q.init()
		start := time.Unix(1000, 0)
		q.mark(start, "r1")
		So(q.contains(start.Add(time.Second), "r1", time.Second), ShouldBeTrue)
		So(q.contains(start, "r2", time.Second), ShouldBeFalse)
		So(q.contains(start.Add(time.Second+1), "r1", time.Second), ShouldBeFalse)
	})
}
