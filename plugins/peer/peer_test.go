package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Guards against workers without a holder after a start, two holders of one
// worker, grants above a worker's limit, and slots lost between routers.
func TestSlotsLocalAndRemote(t *testing.T) {
	f := newFleet(t, poolSet(6, 2))
	a := f.start("a", "d1")
	Convey("A lone router becomes the holder of its failure domain's workers", t, func() {
		eventually(func() bool { return eachHeldOnce(6, a) })
		b, c := f.start("b", "d1"), f.start("c", "d1")
		Convey("and shares them with routers that join", func() {
			eventually(func() bool {
				return eachHeldOnce(6, a, b, c) && len(b.grantableWorkers())+len(c.grantableWorkers()) > 0
			})
			ctx := context.Background()
			for _, r := range []*router{a, b, c} {
				for _, worker := range []string{"w0", "w1", "w2", "w3", "w4", "w5"} {
					var slot core.Slot
					eventually(func() bool {
						s, err := r.Acquire(ctx, request(r.identity.Router+worker, time.Second, worker))
						slot = s
						return err == nil
					})
					So(slot.Worker, ShouldEqual, worker)
					r.Release(slot, 10)
				}
			}
			Convey("a release lets a request waiting at a remote holder proceed", func() {
				user, holder := userAndHolder(a, b, c)
				worker := anyWorker(holder.grantableWorkers())
				one, err := user.Acquire(ctx, request("one", time.Minute, worker))
				So(err, ShouldBeNil)
				got := make(chan error, 1)
				go func() {
					two, err := user.Acquire(ctx, request("two", time.Minute, worker))
					user.Release(two, 1)
					got <- err
				}()
				eventually(func() bool { return queued(holder, "pool") > 0 })
				user.Release(one, 1)
				So(<-got, ShouldBeNil)
				Convey("and a cancelled request leaves the queue", func() {
					eventually(func() bool { return inFlight(holder, "pool") == 0 })
					one, err := user.Acquire(ctx, request("one", time.Minute, worker))
					So(err, ShouldBeNil)
					cancelled, cancel := context.WithCancel(ctx)
					go func() {
						_, err := user.Acquire(cancelled, request("two", time.Minute, worker))
						got <- err
					}()
					eventually(func() bool { return queued(holder, "pool") > 0 })
					cancel()
					var refused *core.SlotError
					So(errors.As(<-got, &refused), ShouldBeTrue)
					eventually(func() bool { return queued(holder, "pool") == 0 })
					user.Release(one, 1)
					eventually(func() bool { return inFlight(holder, "pool") == 0 })
				})
			})
		})
	})
}

// userAndHolder returns a router that holds workers, as holder, and another
// router, as user of its slots.
func userAndHolder(routers ...*router) (user, holder *router) {
	for i, r := range routers {
		if len(r.grantableWorkers()) > 0 {
			return routers[(i+1)%len(routers)], r
		}
	}
	return nil, nil
}

func anyWorker(held map[string]bool) string {
	for worker := range held {
		return worker
	}
	return ""
}

func queued(r *router, upstream string) int {
	r.leaseMu.Lock()
	pl := r.pools[upstream]
	r.leaseMu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.scheduler.Queued()
}

func inFlight(r *router, upstream string) int {
	r.leaseMu.Lock()
	pl := r.pools[upstream]
	r.leaseMu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.scheduler.InFlight()
}
