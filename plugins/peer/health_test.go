package peer

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Guards against requests that are sent to a paused worker and wait for their
// stall timeout, and against late load reports that close a worker which still
// serves requests.
func TestUnresponsiveWorker(t *testing.T) {
	Convey("A worker that sends no load reports and ends no requests gets no new requests", t, func() {
		f := newFleet(t, poolSet(2, 2))
		r := f.start("a", "d1")
		eventually(func() bool { return eachHeldOnce(2, r) })
		ctx := context.Background()
		miss := func(times int) {
			for range times {
				r.WorkerUnanswered("pool", "w0", false)
			}
		}
		miss(maxMissedReports - 1)
		slot, err := r.Acquire(ctx, request("one", 0, "w0"))
		So(err, ShouldBeNil)
		r.Release(slot, 10)
		miss(maxMissedReports - 1)
		slot, err = r.Acquire(ctx, request("two", 0, "w0"))
		So(err, ShouldBeNil)
		r.Release(slot, 0)
		miss(1)
		_, err = r.Acquire(ctx, request("three", 0, "w0"))
		So(err, ShouldNotBeNil)
		other, err := r.Acquire(ctx, request("four", 0, "w1"))
		So(err, ShouldBeNil)
		r.Release(other, 1)
		r.WorkerLoad("pool", "w0", core.LoadReport{Limit: 2})
		slot, err = r.Acquire(ctx, request("five", 0, "w0"))
		So(err, ShouldBeNil)
		r.Release(slot, 10)
		r.WorkerUnanswered("pool", "w0", true)
		_, err = r.Acquire(ctx, request("six", 0, "w0"))
		So(err, ShouldNotBeNil)
	})
}

// Guards against a slot request that waits forever because its attempt has a slot
// already.
func TestDuplicateAttempt(t *testing.T) {
	Convey("A second request with the ID of an attempt that has a slot is refused", t, func() {
		f := newFleet(t, poolSet(2, 2))
		r := f.start("a", "d1")
		eventually(func() bool { return eachHeldOnce(2, r) })
		slot, err := r.Acquire(context.Background(), request("one", time.Hour, "w0"))
		So(err, ShouldBeNil)
		_, err = r.Acquire(context.Background(), request("one", time.Hour, "w0"))
		So(err, ShouldNotBeNil)
		r.Release(slot, 1)
	})
}
