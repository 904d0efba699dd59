package peer

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/proof"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// Guards against workers that stay without holder after a crash, and against
// slots of running requests that the next holder does not count.
func TestHolderCrash(t *testing.T) {
	proof.Begin(t, proof.Claim{Guarantee: "R1", Kind: "example: slots in use are counted on", Faults: "crash of a holder"}).History(1)
	Convey("When a holder crashes, its successors take over and count the slots in use", t, func() {
		f := newFleet(t, poolSet(4, 2))
		a, b, c := f.start("a", "d1"), f.start("b", "d1"), f.start("c", "d1")
		eventually(func() bool { return settled(4, a, b, c) })
		user, holder := other(a, b, c)
		worker := first(holder.holds())
		slot, err := user.Acquire(context.Background(), request("one", time.Second, worker))
		So(err, ShouldBeNil)
		rest := without(holder, a, b, c)
		holder.crash()
		f.platform.DeleteVM(holder.id.Router)
		eventually(func() bool { return eachHeldOnce(4, rest...) })
		So(len(holder.holds()), ShouldEqual, 0)
		next := holderOf(worker, rest...)
		So(inFlight(next, "pool"), ShouldBeGreaterThanOrEqualTo, 1)
		user.Release(slot, 1)
		eventually(func() bool { return known(next, worker) == 0 })
	})
}

// Guards against a planned stop that leaves workers without holder or loses
// the slots in use.
func TestHandover(t *testing.T) {
	proof.Begin(t, proof.Claim{Guarantee: "R6", Kind: "example: hand-over with slots in use", Faults: "planned stop of a holder"}).History(1)
	Convey("A router that stops hands its workers over with their slots", t, func() {
		f := newFleet(t, poolSet(4, 2))
		f.settings.LeaseTime, f.settings.RenewInterval = time.Hour, time.Second
		a, b, c := f.start("a", "d1"), f.start("b", "d1"), f.start("c", "d1")
		eventually(func() bool { return settled(4, a, b, c) })
		user, holder := other(a, b, c)
		worker := first(holder.holds())
		slot, err := user.Acquire(context.Background(), request("one", time.Second, worker))
		So(err, ShouldBeNil)
		rest := without(holder, a, b, c)
		holder.stop()
		eventually(func() bool { return eachHeldOnce(4, rest...) })
		next := holderOf(worker, rest...)
		So(known(next, worker), ShouldEqual, 1)
		user.Release(slot, 1)
		eventually(func() bool { return known(next, worker) == 0 })
	})
}

// Guards against grants that stop with the platform, and against rows whose
// write took effect although its reply was lost.
func TestPlatformTrouble(t *testing.T) {
	Convey("With lost replies every worker still gets one holder", t, func() {
		f := newFleet(t, poolSet(4, 2))
		f.platform.SetFaults(storetest.Faults{LostReplies: 0.5, DroppedRequests: 0.1})
		a, b := f.start("a", "d1"), f.start("b", "d1")
		eventually(func() bool { return settled(4, a, b) })
		Convey("and an outage longer than the lease time does not stop grants", func() {
			// A lease rightly ends in an outage when the fate of a write is
			// open, or when its successor has not read the row yet.
			eventually(func() bool { return a.knowsRows() && b.knowsRows() })
			f.platform.SetFaults(storetest.Faults{Outage: true})
			began := time.Now()
			user, holder := other(a, b)
			for time.Since(began) < f.settings.LeaseTime*3/2 {
				slot, err := user.Acquire(context.Background(), request("one", time.Second, first(holder.holds())))
				So(err, ShouldBeNil)
				user.Release(slot, 1)
				eventually(func() bool { return inFlight(holder, "pool") == 0 })
			}
			So(eachHeldOnce(4, a, b), ShouldBeTrue)
		})
	})
}

// Guards against new work on a worker that leaves or that a revision drains.
func TestLeavingWorker(t *testing.T) {
	proof.Begin(t, proof.Claim{Guarantee: "R5", Kind: "example: no grant after the news", Faults: "leaving and draining workers"}).History(1)
	Convey("A worker that leaves or is draining gets no new work", t, func() {
		f := newFleet(t, poolSet(3, 2))
		a, b := f.start("a", "d1"), f.start("b", "d1")
		eventually(func() bool { return settled(3, a, b) })
		f.config.publish(poolSet(3, 2, "w0"))
		_, err := a.Acquire(context.Background(), request("one", time.Second, "w0"))
		So(err, ShouldNotBeNil)
		holder := holderOf("w1", a, b)
		holder.WorkerLoad("pool", "w1", core.LoadReport{Leaving: true})
		_, err = b.Acquire(context.Background(), request("two", time.Second, "w1"))
		So(err, ShouldNotBeNil)
		eventually(func() bool {
			for _, m := range b.Members() {
				if m.Revision != 2 {
					return false
				}
			}
			return true
		})
	})
}

// settled reports whether every worker has one holder which is its first
// choice, and every holder knows the others' workers.
func settled(n int, routers ...*router) bool {
	if !eachHeldOnce(n, routers...) {
		return false
	}
	for _, r := range routers {
		ranked := r.rank(r.now())
		if len(ranked.routers) != len(routers) {
			return false
		}
		for worker := range r.holds() {
			k := workerKey{"pool", worker}
			if best, _ := ranked.order(k, ""); best != r.id.Router {
				return false
			}
			for _, o := range without(r, routers...) {
				if router, _ := o.holderOf(k); router != r.id.Router {
					return false
				}
			}
		}
	}
	return true
}

// knowsRows reports whether the router has read the present row of every
// worker and no write is open.
func (r *router) knowsRows() bool {
	r.leaseMu.Lock()
	defer r.leaseMu.Unlock()
	for k, l := range r.leases {
		rows, err := r.f.platform.Get(context.Background(), k.row())
		record, _ := l.lease.Record()
		if err != nil || l.lease.WritePending() || string(record.Encode()) != string(rows[0].Value) {
			return false
		}
	}
	return true
}

func without(r *router, routers ...*router) []*router {
	var rest []*router
	for _, o := range routers {
		if o != r {
			rest = append(rest, o)
		}
	}
	return rest
}

func holderOf(worker string, routers ...*router) *router {
	for _, r := range routers {
		if r.holds()[worker] {
			return r
		}
	}
	return nil
}

// known counts the slots that a holder knows by name.
func known(r *router, worker string) int {
	r.leaseMu.Lock()
	pl := r.pools["pool"]
	r.leaseMu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return len(pl.s.HeldGrants(worker))
}
