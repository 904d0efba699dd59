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
		var loads recentLoads
		loads.init()
		start := time.Unix(1000, 0)
		fromView, attached := loadTotals{2, 1}, loadTotals{2, 6}
		So(loads.get(start, "r2", "pool", fromView, time.Second), ShouldResemble, fromView)
		So(loads.set(start, "r2", "pool", attached), ShouldBeTrue)
		So(loads.set(start, "r2", "pool", attached), ShouldBeFalse)
		So(loads.get(start.Add(time.Second), "r2", "pool", fromView, time.Second), ShouldResemble, attached)
		So(loads.get(start, "r2", "desk", fromView, time.Second), ShouldResemble, fromView)
		later := start.Add(time.Second + 1)
		So(loads.get(later, "r2", "pool", fromView, time.Second), ShouldResemble, fromView)
		loads.prune(later, time.Second)
		So(loads.loads, ShouldBeEmpty)
	})
}

// Guards against slot requests that all wait for a paused holder, instead of only
// the first one.
func TestUnresponsiveRouters(t *testing.T) {
	Convey("A router that did not reply to a call is skipped for a while", t, func() {
		var unresponsive unresponsiveRouters
		unresponsive.init()
		start := time.Unix(1000, 0)
		unresponsive.mark(start, "r1")
		So(unresponsive.contains(start.Add(time.Second), "r1", time.Second), ShouldBeTrue)
		So(unresponsive.contains(start, "r2", time.Second), ShouldBeFalse)
		So(unresponsive.contains(start.Add(time.Second+1), "r1", time.Second), ShouldBeFalse)
	})
}
