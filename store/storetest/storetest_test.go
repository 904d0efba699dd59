package storetest

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/store"
)

func newPlatform(seed uint64) *Platform {
	return New(Options{Seed: seed, Now: time.Now, After: func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }})
}

func runInVirtualTime(t *testing.T, desc string, test func(*testing.T)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(desc, t, func() { test(t) })
	})
}

// Guards against an in-memory platform that is more lenient than the contract of
// store.Client, so that a faulty ledger or lease would pass its tests.
func TestTable(t *testing.T) {
	runInVirtualTime(t, "A commit applies all operations or none, and versions are not reused", func(t *testing.T) {
		p := newPlatform(1)
		ctx := t.Context()
		first, err := p.Commit(ctx, []store.Op{{Key: "a"}, {Key: "b"}})
		So(err, ShouldBeNil)
		_, err = p.Commit(ctx, []store.Op{{Key: "c"}, {Key: "a"}})
		var conflict *store.ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.Current, ShouldResemble, []store.Row{{Key: "a", Version: first.Versions[0]}})
		rows, err := p.Get(ctx, "c")
		So(err, ShouldBeNil)
		So(rows[0].Version, ShouldEqual, 0)
		_, err = p.Commit(ctx, []store.Op{{Key: "b", IfVersion: first.Versions[1], Delete: true}})
		So(err, ShouldBeNil)
		again, err := p.Commit(ctx, []store.Op{{Key: "b"}})
		So(err, ShouldBeNil)
		So(again.Versions[0], ShouldBeGreaterThan, first.Versions[1])
	})
	runInVirtualTime(t, "Late and duplicated writes take effect after the call, on the current state of the rows", func(t *testing.T) {
		p := newPlatform(1)
		ctx := t.Context()
		p.SetFaults(Faults{LateWrites: 1})
		_, err := p.Commit(ctx, []store.Op{{Key: "late", Value: []byte("1")}})
		var uncertain *store.UncertainError
		So(errors.As(err, &uncertain), ShouldBeTrue)
		p.SetFaults(Faults{DuplicateWrites: 1})
		_, err = p.Commit(ctx, []store.Op{{Key: "twice", IfVersion: store.AnyVersion, Value: []byte("1")}})
		So(err, ShouldBeNil)
		before, err := p.Get(ctx, "late", "twice")
		So(err, ShouldBeNil)
		So(before[0].Version, ShouldEqual, 0)
		<-time.After(2 * time.Second)
		after, err := p.Get(ctx, "late", "twice")
		So(err, ShouldBeNil)
		So(after[0].Version, ShouldBeGreaterThan, 0)
		So(after[1].Version, ShouldBeGreaterThan, before[1].Version)
	})
	runInVirtualTime(t, "Rate limits, the lag of the VM list and the delay hook use the platform's clock", func(t *testing.T) {
		p := newPlatform(1)
		ctx := t.Context()
		p.PutVM(store.VM{ID: "r1"})
		p.SetFaults(Faults{ReadsPerSecond: 2, VMLag: 10 * time.Second, Delay: func(_ context.Context, c Call) {
			if c.Stage == BeforeEffect {
				<-time.After(time.Millisecond)
			}
		}})
		served := 0
		for range 10 {
			if _, err := p.Get(ctx, "a"); err == nil {
				served++
			}
		}
		So(served, ShouldEqual, 2)
		<-time.After(9 * time.Second)
		list, err := p.List(ctx)
		So(err, ShouldBeNil)
		So(list.VMs, ShouldBeEmpty)
		<-time.After(time.Second)
		list, err = p.List(ctx)
		So(err, ShouldBeNil)
		So(list.VMs, ShouldHaveLength, 1)
	})
	Convey("A single goroutine sees the same faults for the same seed", t, func() {
		faults := func(seed uint64) string {
			p := New(Options{Seed: seed, Now: func() time.Time { return time.Unix(0, 0) }})
			p.SetFaults(Faults{LostReplies: 0.5, DroppedRequests: 0.3})
			var seen string
			for range 40 {
				_, err := p.Commit(t.Context(), []store.Op{{Key: "a", IfVersion: store.AnyVersion}})
				seen += fmt.Sprint(err == nil, p.version, " ")
			}
			return seen
		}
		So(faults(7), ShouldEqual, faults(7))
		So(faults(7), ShouldNotEqual, faults(8))
	})
}
