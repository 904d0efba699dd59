package peer

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a load bound that follows sums which are older than the view,
// or that ignores the sums which came with a call.
func TestFreshSums(t *testing.T) {
	Convey("Attached sums count for one exchange interval, then the view's do", t, func() {
		var f freshSums
		f.init()
		start := time.Unix(1000, 0)
		viewed, attached := sums{2, 1}, sums{2, 6}
		So(f.of(start, "r2", "pool", viewed, time.Second), ShouldResemble, viewed)
		So(f.set(start, "r2", "pool", attached), ShouldBeTrue)
		So(f.set(start, "r2", "pool", attached), ShouldBeFalse)
		So(f.of(start.Add(time.Second), "r2", "pool", viewed, time.Second), ShouldResemble, attached)
		So(f.of(start, "r2", "desk", viewed, time.Second), ShouldResemble, viewed)
		later := start.Add(time.Second + 1)
		So(f.of(later, "r2", "pool", viewed, time.Second), ShouldResemble, viewed)
		f.prune(later, time.Second)
		So(f.sums, ShouldBeEmpty)
	})
}

// Guards against a wait for a paused holder by every request for its workers.
func TestQuietRouters(t *testing.T) {
	Convey("A router that left a call without answer is left out for a while", t, func() {
		var q quietRouters
		q.init()
		start := time.Unix(1000, 0)
		q.set(start, "r1")
		So(q.is(start.Add(time.Second), "r1", time.Second), ShouldBeTrue)
		So(q.is(start, "r2", time.Second), ShouldBeFalse)
		So(q.is(start.Add(time.Second+1), "r1", time.Second), ShouldBeFalse)
	})
}
