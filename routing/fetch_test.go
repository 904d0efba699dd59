package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/placement"
)

// Guards against prompts that are prefilled again during a release or when workers
// are added, because the parts are fetched from a worker that joined as recently
// as the chosen one.
func TestFetchDuringRelease(t *testing.T) {
	const former, joined = 10, 10
	all := workers(former + joined)
	for i := range all {
		all[i].Address = fmt.Sprintf("10.0.0.%d:1", i)
	}
	// homeAmong returns the index of the first preference of a key among the first
	// n workers.
	homeAmong := func(key uint64, n int) int {
		hashes := make([]uint64, n)
		for i := range hashes {
			hashes[i] = placement.Hash(all[i].ID)
		}
		var first [1]int
		return placement.Choose(first[:], key, hashes)[0]
	}
	// newFleet returns the view of a router that has not placed the prompts
	// itself: the second half of the workers joins after a minute.
	newFleet := func() (*Fleet, time.Time) {
		now := time.Unix(1_000_000, 0)
		f := New(Config{Domain: "a", LoadBound: 2, MinRouters: 1})
		f.Apply(&WorkerList{Version: 1, At: now, Workers: all[:former]})
		now = now.Add(time.Minute)
		f.Apply(&WorkerList{Version: 2, At: now, Workers: all})
		return f, now
	}
	var moved []uint64 // keys whose first preference is one of the workers that join
	for key := uint64(1); key < 200; key++ {
		if homeAmong(key, former+joined) >= former {
			moved = append(moved, key)
		}
	}
	Convey("A prompt whose first preference has just joined is fetched from the worker that owned it before", t, func() {
		So(len(moved), ShouldBeGreaterThan, 50)
		for _, key := range moved {
			f, now := newFleet()
			c, _ := f.Choose(prompt(key, 1_000_000), now.Add(time.Second))
			So(c.Reason, ShouldEqual, ReasonFirstPreference)
			So(c.FetchFrom, ShouldEqual, all[homeAmong(key, former)].Address)
		}
	})
	Convey("The worker that owned it before is the source also while it drains and just after it left", t, func() {
		for _, key := range moved[:20] {
			f, now := newFleet()
			owner := homeAmong(key, former)
			list := append([]WorkerInfo(nil), all...)
			list[owner].Draining = true
			f.Apply(&WorkerList{Version: 3, At: now, Workers: list})
			c, _ := f.Choose(prompt(key, 1_000_000), now.Add(time.Second))
			So(c.FetchFrom, ShouldEqual, all[owner].Address)
			f.Apply(&WorkerList{Version: 4, At: now, Workers: append(list[:owner:owner], list[owner+1:]...)})
			f.placements = newPlacements()
			c, _ = f.Choose(prompt(key, 1_000_000), now.Add(2*time.Second))
			So(c.FetchFrom, ShouldEqual, all[owner].Address)
			f.placements = newPlacements()
			c, _ = f.Choose(prompt(key, 1_000_000), now.Add(departedTTL+time.Second))
			So(c.FetchFrom, ShouldNotEqual, all[owner].Address)
		}
	})
	Convey("A worker that is unreachable is no source, and the router's own recent placement comes first", t, func() {
		key := moved[0]
		f, now := newFleet()
		owner := f.byID[all[homeAmong(key, former)].ID]
		f.SetUnreachable(owner, true)
		c, _ := f.Choose(prompt(key, 1_000_000), now.Add(time.Second))
		So(c.FetchFrom, ShouldNotEqual, owner.Address)
		f, now = newFleet()
		other := f.byID[all[(homeAmong(key, former)+1)%former].ID]
		f.placements.put(key, other, now)
		c, _ = f.Choose(prompt(key, 1_000_000), now.Add(time.Second))
		So(c.FetchFrom, ShouldEqual, other.Address)
	})
	Convey("A worker that has been the first preference for long fetches nothing", t, func() {
		f, now := newFleet()
		c, _ := f.Choose(prompt(moved[0], 1_000_000), now.Add(newWorkerAge+time.Second))
		So(c.FetchFrom, ShouldBeEmpty)
	})
}
