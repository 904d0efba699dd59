package replica

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// inSubtest runs a subtest in virtual time, so that one failure does not end the others.
func inSubtest(t *testing.T, name string, body func(ctx context.Context)) {
	t.Run(name, func(t *testing.T) { inBubble(t, name, body) })
}

// prepareReturn makes the changes that a copy lacks, and returns the copy's version and
// that of the newest lost change: worker "new" is added, "lost" too and never written
// again, "old" starts to drain, and "gone" is removed.
func (f *eraFleet) prepareReturn(changes int) (copied, lost int64) {
	f.write("old", "ready")
	f.write("gone", "ready")
	advanceTime(contactTime)
	copied = f.store.newest()
	for range changes {
		f.change()
	}
	f.write("new", "ready")
	f.write("lost", "ready")
	f.write("old", "draining")
	f.write("gone", "")
	f.mu.Lock()
	f.unrepeated["lost"] = true
	f.mu.Unlock()
	advanceTime(contactTime)
	return copied, f.store.newest()
}

// catchUp writes until the store has given out all lost versions again.
func (f *eraFleet) catchUp(lost int64) {
	for f.store.newest() < lost {
		f.change()
	}
}

// Guards against a router that holds on to the lost versions of a store that came back
// from an older copy, or takes back what it had in force before.
func TestReturnFromOlderCopy(t *testing.T) {
	for _, routers := range []int{1, 9, 86, 95, 400} {
		for _, changes := range []int{1, 7} {
			name := fmt.Sprintf("%d routers follow a store that came back without %d changes", routers, changes)
			inSubtest(t, name, func(ctx context.Context) {
				f := newEraFleet(ctx, routers)
				copied, lost := f.prepareReturn(changes)
				So(f.broken(), ShouldBeEmpty)
				So(f.without("lost", "ready"), ShouldEqual, 0)
				f.restore(copied, 2*time.Second)
				advanceTime(time.Second)
				So(f.without("new", "ready"), ShouldEqual, 0)
				So(f.without("lost", "ready"), ShouldEqual, 0)
				f.write("gone", "restarted") // some routers read it with the first rows of the era
				f.writeAgain()
				f.write("another", "ready")
				f.change()
				advanceTime(2500 * time.Millisecond)
				synctest.Wait()
				So(f.without(desiredKey, f.written[desiredKey]), ShouldEqual, 0)
				So(f.without("another", "ready"), ShouldEqual, 0)
				So(f.without("gone", "restarted"), ShouldEqual, 0)
				// Beside the readers, routers take turns until they know that one of
				// them has reached the store.
				readers, turns := min(routers, f.domains), int(gossipDelay/callSpacing)
				if routers < smallFleet {
					readers, turns = routers, 0
				}
				So(len(f.store.reads), ShouldBeGreaterThanOrEqualTo, readers)
				So(len(f.store.reads), ShouldBeLessThanOrEqualTo, readers+turns)
				for _, reads := range f.store.reads {
					So(reads, ShouldEqual, 1)
				}
				// A hold ends with a contact of after its time, and a contact is at most
				// StaleAfter old.
				advanceTime(lostRetention + applyWithin + f.routers[0].Config.StaleAfter - 3500*time.Millisecond)
				synctest.Wait()
				So(f.without("lost", ""), ShouldEqual, 0)
				So(f.differing(), ShouldEqual, 0)
				// The store has given out the lost versions again, for other rows.
				f.catchUp(lost)
				f.write("late", "ready")
				advanceTime(applyWithin)
				synctest.Wait()
				So(f.differing(), ShouldEqual, 0)
				So(f.broken(), ShouldBeEmpty)
			})
		}
	}
}

// Guards against routers that learn of the new era late, over gossip only, from a peer
// that does not know of it yet, or not at all.
func TestReturnInADisturbedFleet(t *testing.T) {
	for _, test := range []struct {
		desc    string
		disturb func(ctx context.Context, f *eraFleet, copied int64)
	}{
		{"some readers cannot reach the store", func(_ context.Context, f *eraFleet, copied int64) {
			f.disturb(func() {
				for i := range f.domains - 1 {
					f.routers[i].cutOff = true
				}
			})
			f.restore(copied, 2*time.Second)
		}},
		{"routers are cut off from all until the versions have been given out again", func(_ context.Context, f *eraFleet, copied int64) {
			lost := f.store.newest()
			f.disturb(func() { f.isolate(1, true) })
			f.restore(copied, 2*time.Second)
			advanceTime(500 * time.Millisecond)
			f.writeAgain()
			f.catchUp(lost)
			advanceTime(contactTime)
			f.disturb(func() { f.isolate(0, false) })
		}},
		{"routers lose touch once they have read the new era, until the workers have registered again", func(_ context.Context, f *eraFleet, copied int64) {
			f.restore(copied, 2*time.Second)
			advanceTime(1200 * time.Millisecond)
			f.disturb(func() { f.isolate(1, true) })
			f.writeAgain()
			advanceTime(contactTime)
			f.disturb(func() { f.isolate(0, false) })
		}},
		{"routers reach the store alone", func(_ context.Context, f *eraFleet, copied int64) {
			f.disturb(func() { f.isolate(1, false) })
			f.restore(copied, 2*time.Second)
			advanceTime(500 * time.Millisecond)
			f.writeAgain()
			advanceTime(contactTime)
			f.disturb(func() { f.isolate(0, false) })
		}},
		{"the readers are killed as the store returns", func(ctx context.Context, f *eraFleet, copied int64) {
			f.restore(copied, 2*time.Second)
			advanceTime(700 * time.Millisecond)
			for _, r := range f.routers[:f.domains] {
				f.kill(r)
				f.start(ctx)
			}
		}},
		{"the store returns twice", func(_ context.Context, f *eraFleet, copied int64) {
			f.restore(copied, 500*time.Millisecond)
			advanceTime(400 * time.Millisecond)
			f.change()
			f.restore(copied-1, 300*time.Millisecond)
		}},
		{"the store returns again before anything is written again, and calls of readers are lost in between", func(_ context.Context, f *eraFleet, copied int64) {
			f.restore(copied, 4500*time.Millisecond)
			advanceTime(1200 * time.Millisecond)
			f.restore(copied, 600*time.Millisecond)
		}},
		{"the store returns at once, without a time away", func(_ context.Context, f *eraFleet, copied int64) {
			f.restore(copied, 0)
		}},
	} {
		for _, routers := range []int{9, 86} {
			inSubtest(t, fmt.Sprintf("%d routers follow a store that came back from an older copy where %s", routers, test.desc), func(ctx context.Context) {
				f := newEraFleet(ctx, routers)
				copied, lost := f.prepareReturn(3)
				test.disturb(ctx, f, copied)
				advanceTime(700 * time.Millisecond)
				f.writeAgain()
				advanceTime(convergeWithin)
				f.change()
				advanceTime(applyWithin)
				synctest.Wait()
				So(f.differing(), ShouldEqual, 0)
				f.catchUp(lost)
				advanceTime(applyWithin)
				synctest.Wait()
				So(f.differing(), ShouldEqual, 0)
				So(f.broken(), ShouldBeEmpty)
			})
		}
	}
}

// isolate moves three routers that do not read the store in a large fleet to a group,
// cut off from the store or not. The caller holds mu.
func (f *eraFleet) isolate(group int, cutOff bool) {
	for _, r := range f.routers[len(f.routers)-3:] {
		r.group, r.cutOff = group, cutOff
	}
}

// Guards against an order of changes, faults and returns of the store after which a
// router holds another state than the store, or lacks a change for longer than a
// fleet without faults needs.
func TestReturnsInAnyOrder(t *testing.T) {
	const seeds, routers = 50, 20
	for seed := range uint64(seeds) {
		inSubtest(t, fmt.Sprintf("Seed %d", seed), func(ctx context.Context) {
			random := rand.New(rand.NewPCG(seed, seed))
			f := newEraFleet(ctx, routers)
			for range 25 {
				f.randomStep(ctx, random)
				advanceTime(time.Duration(random.IntN(1500)) * time.Millisecond)
			}
			f.disturb(func() {
				for _, r := range f.routers {
					r.group, r.cutOff = 0, false
				}
			})
			f.silence(false)
			f.writeAgain()
			advanceTime(convergeWithin)
			synctest.Wait()
			So(f.broken(), ShouldBeEmpty)
			So(f.differing(), ShouldEqual, 0)
		})
	}
}

// randomStep changes a row, the fleet or the store.
func (f *eraFleet) randomStep(ctx context.Context, random *rand.Rand) {
	live := slices.DeleteFunc(slices.Clone(f.routers), func(r *eraRouter) bool { return r.dead })
	r := live[random.IntN(len(live))]
	worker := fmt.Sprintf("w%d", random.IntN(6))
	switch random.IntN(12) {
	case 0, 1, 2:
		f.change()
	case 3, 4:
		// A worker's row goes from ready over draining to removed.
		if value, known := f.written[worker]; !known {
			f.write(worker, "ready")
		} else {
			f.write(worker, map[string]string{"ready": "draining", "draining": "", "": ""}[value])
		}
	case 5:
		f.kill(r)
		f.start(ctx)
	case 6:
		f.disturb(func() { r.group, r.cutOff = r.id+1, random.IntN(2) == 0 })
	case 7:
		f.disturb(func() { r.cutOff = true })
	case 8:
		f.disturb(func() {
			for _, r := range f.routers {
				r.group, r.cutOff = 0, false
			}
		})
	case 9:
		f.silence(true)
		advanceTime(time.Duration(random.IntN(2500)) * time.Millisecond)
		f.silence(false)
	case 10, 11:
		for more := true; more; more = random.IntN(3) == 0 {
			f.restore(max(f.store.newest()-random.Int64N(9), 1), time.Duration(random.IntN(1000))*time.Millisecond)
			advanceTime(time.Duration(random.IntN(400)) * time.Millisecond)
		}
		f.writeAgain()
	}
}
