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

// Guards against workers that stay without a holder after a crash, and against
// a new holder that does not count the slots of requests that are still running.
func TestHolderCrash(t *testing.T) {
	proof.Begin(t, proof.Claim{Guarantee: "R1", Kind: "example: slots in use are recovered", Faults: "crash of a holder"}).History(1)
	Convey("When a holder crashes, its successors take over and recover the slots in use", t, func() {
		f := newFleet(t, poolSet(4, 2))
		a, b, c := f.start("a", "d1"), f.start("b", "d1"), f.start("c", "d1")
		eventually(func() bool { return assignmentSettled(4, a, b, c) })
		user, holder := userAndHolder(a, b, c)
		worker := anyWorker(holder.grantableWorkers())
		slot, err := user.Acquire(context.Background(), request("one", time.Second, worker))
		So(err, ShouldBeNil)
		rest := without(holder, a, b, c)
		holder.crash()
		f.platform.DeleteVM(holder.identity.Router)
		eventually(func() bool { return eachHeldOnce(4, rest...) })
		So(len(holder.grantableWorkers()), ShouldEqual, 0)
		next := holderOf(worker, rest...)
		So(inFlight(next, "pool"), ShouldBeGreaterThanOrEqualTo, 1)
		user.Release(slot, 1)
		eventually(func() bool { return accountedSlots(next, worker) == 0 })
	})
}

// Guards against a planned stop that leaves workers without a holder or loses
// track of the slots in use.
func TestHandover(t *testing.T) {
	proof.Begin(t, proof.Claim{Guarantee: "R6", Kind: "example: handover with slots in use", Faults: "planned stop of a holder"}).History(1)
	Convey("A router that stops hands over its workers with their slots in use", t, func() {
		f := newFleet(t, poolSet(4, 2))
		f.settings.LeaseTime, f.settings.RenewInterval = time.Hour, time.Second
		a, b, c := f.start("a", "d1"), f.start("b", "d1"), f.start("c", "d1")
		eventually(func() bool { return assignmentSettled(4, a, b, c) })
		user, holder := userAndHolder(a, b, c)
		worker := anyWorker(holder.grantableWorkers())
		slot, err := user.Acquire(context.Background(), request("one", time.Second, worker))
		So(err, ShouldBeNil)
		rest := without(holder, a, b, c)
		holder.stop()
		eventually(func() bool { return eachHeldOnce(4, rest...) })
		next := holderOf(worker, rest...)
		So(accountedSlots(next, worker), ShouldEqual, 1)
		user.Release(slot, 1)
		eventually(func() bool { return accountedSlots(next, worker) == 0 })
	})
}

// Guards against grants that stop when the platform is unreachable, and against
// mishandling a row write that took effect although its reply was lost.
func TestPlatformFaults(t *testing.T) {
	Convey("Every worker gets one holder although replies of the platform are lost", t, func() {
		f := newFleet(t, poolSet(4, 2))
		f.platform.SetFaults(storetest.Faults{LostReplies: 0.5, DroppedRequests: 0.1})
		a, b := f.start("a", "d1"), f.start("b", "d1")
		eventually(func() bool { return assignmentSettled(4, a, b) })
		Convey("and an outage longer than the lease time does not stop grants", func() {
			// A lease may end in an outage if the outcome of a write is
			// unknown, or if its successor has not read the row yet.
			eventually(func() bool { return a.rowsUpToDate() && b.rowsUpToDate() })
			f.platform.SetFaults(storetest.Faults{Outage: true})
			began := time.Now()
			user, holder := userAndHolder(a, b)
			for time.Since(began) < f.settings.LeaseTime*3/2 {
				slot, err := user.Acquire(context.Background(), request("one", time.Second, anyWorker(holder.grantableWorkers())))
				So(err, ShouldBeNil)
				user.Release(slot, 1)
				eventually(func() bool { return inFlight(holder, "pool") == 0 })
			}
			So(eachHeldOnce(4, a, b), ShouldBeTrue)
		})
	})
}

// Guards against leases whose writes stay pending for ever, because they were
// planned while another round was still waiting for the platform.
func TestOverlappingRounds(t *testing.T) {
	Convey("A round that begins while another one runs leaves no write pending", t, func() {
		f := newFleet(t, poolSet(4, 2))
		a := f.start("a", "d1")
		eventually(func() bool { return assignmentSettled(4, a) && a.rowsUpToDate() })
		eventually(func() bool { return a.roundRunning.CompareAndSwap(false, true) })
		// The second router becomes the successor of the first one's leases, which
		// plans a write for each.
		b := f.start("b", "d1")
		<-time.After(f.settings.LeaseTime)
		seenIdle := false
		for range 100 {
			seenIdle = seenIdle || a.pendingWrites() == 0
			<-time.After(time.Millisecond)
		}
		So(seenIdle, ShouldBeTrue)
		a.roundRunning.Store(false)
		eventually(func() bool { return assignmentSettled(4, a, b) && a.rowsUpToDate() })
	})
}

// pendingWrites returns the number of leases with a pending write.
func (r *router) pendingWrites() int {
	r.leaseMu.Lock()
	defer r.leaseMu.Unlock()
	n := 0
	for _, l := range r.leases {
		if l.lease.WritePending() {
			n++
		}
	}
	return n
}

// Guards against new requests on a worker that is leaving or that a revision
// drains.
func TestLeavingWorker(t *testing.T) {
	proof.Begin(t, proof.Claim{Guarantee: "R5", Kind: "example: no grant after the change is known", Faults: "leaving and draining workers"}).History(1)
	Convey("A worker that is leaving or draining gets no new requests", t, func() {
		f := newFleet(t, poolSet(3, 2))
		a, b := f.start("a", "d1"), f.start("b", "d1")
		eventually(func() bool { return assignmentSettled(3, a, b) })
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

// assignmentSettled reports whether every worker has one holder, which is its
// preferred holder, and every router knows the holders of the other routers'
// workers.
func assignmentSettled(n int, routers ...*router) bool {
	if !eachHeldOnce(n, routers...) {
		return false
	}
	for _, r := range routers {
		ranked := r.rankRouters(r.now())
		if len(ranked.routers) != len(routers) {
			return false
		}
		for worker := range r.grantableWorkers() {
			k := workerKey{"pool", worker}
			if best, _ := ranked.best(k, ""); best != r.identity.Router {
				return false
			}
			for _, o := range without(r, routers...) {
				if router, _ := o.advertisedHolder(k); router != r.identity.Router {
					return false
				}
			}
		}
	}
	return true
}

// rowsUpToDate reports whether the router has read the current row of every
// worker and no write is pending.
func (r *router) rowsUpToDate() bool {
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
		if r.grantableWorkers()[worker] {
			return r
		}
	}
	return nil
}

// accountedSlots returns the number of slots in use whose request the holder
// knows.
func accountedSlots(r *router, worker string) int {
	r.leaseMu.Lock()
	pl := r.pools["pool"]
	r.leaseMu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return len(pl.scheduler.HeldGrants(worker))
}
