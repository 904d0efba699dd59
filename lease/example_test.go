package lease_test

import (
	"fmt"
	"time"

	"github.com/auburnlead/auburnlead/lease"
)

// Two routers share the slot lease of a worker. The example passes rows, messages
// and times between them.
func ExampleLease() {
	now := time.Unix(0, 0)
	holder := lease.New(lease.DefaultConfig(), "r1", 1)
	successor := lease.New(lease.DefaultConfig(), "r2", 1)

	// The row does not exist, so r1 creates it and names r2 as its successor.
	holder.HandleRead(now, now, lease.Record{}, 0)
	w, _ := holder.Create(now, "r2")
	holder.HandleWrite(now, w, lease.Applied, 1)
	successor.HandleRead(now, now, w.Value, 1)

	// After 5 s, r2 promises for another lease duration.
	now = now.Add(5 * time.Second)
	r, _ := holder.Renewal(now)
	holder.HandleRenewReply(r, successor.Promise(now, "r1", 1, r.Epoch))
	fmt.Println("at 12 s:", holder.MayGrant(now.Add(7*time.Second)), successor.MayTakeOver(now.Add(7*time.Second)))

	// Without further renewals the holder stops granting before r2 may take
	// over.
	fmt.Println("at 14.8 s:", holder.MayGrant(now.Add(9800*time.Millisecond)), successor.MayTakeOver(now.Add(9800*time.Millisecond)))
	fmt.Println("at 15 s:", holder.MayGrant(now.Add(10*time.Second)), successor.MayTakeOver(now.Add(10*time.Second)))
	// Output:
	// at 12 s: true false
	// at 14.8 s: false false
	// at 15 s: false true
}

// A router takes the order lease of an upstream. It may send an order that
// takes at most 3 s only while the lease remains valid for longer than that.
func ExampleFencedLease() {
	now := time.Unix(0, 0)
	l := lease.NewFenced(lease.DefaultConfig(), "r1", 1)
	l.HandleRead(now, now, lease.FencedRecord{Token: 6}, 4)
	w, _ := l.Acquire(now)
	l.HandleWrite(now, w, lease.Uncertain, 0)
	fmt.Println("reply lost:", l.MayAct(now, 3*time.Second))

	// Reading the row back shows that the write took effect.
	now = now.Add(time.Second)
	l.HandleRead(now, now, w.Value, 5)
	fmt.Println("token", l.Token(), l.MayAct(now, 3*time.Second))
	fmt.Println("after a pause:", l.MayAct(now.Add(6*time.Second), 3*time.Second))
	// Output:
	// reply lost: false
	// token 7 true
	// after a pause: false
}
