package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a row that was written after the store's return and does not replace a
// held one, because it is taken for a row of the older copy.
func TestFreshRows(t *testing.T) {
	ready := func(version int64) Row { return Row{Key: "a", Value: []byte("ready"), Version: version} }
	withdrawn := func() *Copy {
		c := NewCopy()
		c.Carry = carryRow
		c.replaceAll(RowSet{Era: 1, Version: 5, Rows: []Row{ready(5)}})
		c.apply([]Row{{Key: "a", Version: 6, Removed: true}})
		return c
	}
	Convey("A row of the older copy does not replace a removal, and a later one does", t, func() {
		c := withdrawn()
		rows, _ := c.replaceAll(RowSet{Era: 2, Version: 3, Rows: []Row{ready(2)}})
		So(rows[0].Removed, ShouldBeTrue)
		So(c.apply([]Row{ready(4)}), ShouldResemble, []Row{ready(4)})
		So(c.Snapshot().Held, ShouldBeEmpty)
	})
	Convey("Rows of after a peer's first read are fresh in its snapshot", t, func() {
		c := withdrawn()
		rows, _ := c.replaceAll(RowSet{Era: 2, Version: 9, Base: 3, Rows: []Row{ready(4)}})
		So(rows, ShouldResemble, []Row{ready(4)})
	})
	Convey("A worker that has restarted is listed, whether its row is fresh or not", t, func() {
		restarted := Row{Key: "a", Value: []byte("restarted"), Version: 4}
		rows, _ := withdrawn().replaceAll(RowSet{Era: 2, Version: 9, Rows: []Row{restarted}})
		So(rows, ShouldResemble, []Row{restarted})
	})
	Convey("A peer that has read the era sooner shows which rows are fresh", t, func() {
		c := NewCopy()
		c.Carry = carryRow
		c.replaceAll(RowSet{Era: 2, Version: 9, Rows: []Row{ready(4)}})
		c.applyChanges(RowSet{Era: 2, Version: 9, Base: 3, Digest: c.Snapshot().Digest})
		So(c.adopt([]HeldRow{{Row{Key: "a", Version: 6, Removed: true}, 5000}}), ShouldBeEmpty)
	})
}

// Guards against a router that missed a change and does not learn of it from the peers
// that hold it.
func TestHeldRowsOfAPeer(t *testing.T) {
	inBubble(t, "A router that reads the new era from a peer takes over what the peer holds", func(ctx context.Context) {
		peers, old, restored := newFakePeers(), NewCopy(), NewCopy()
		restored.Carry = carryRow
		row := func(value string, version int64) RowSet {
			return RowSet{Era: 1, Version: version, Rows: []Row{{Key: desiredKey, Value: []byte(value), Version: version}}}
		}
		old.replaceAll(row("1", 4))
		peers.setStatus(TableStatus{Position: old.Position(), Peer: peerCopy{old}})
		f := startFollower(ctx, newFakeStore(), peers)
		f.Copy.Carry = carryRow
		advanceTime(time.Second)
		restored.replaceAll(row("2", 6))
		back := row("1", 4)
		back.Era = 2
		restored.replaceAll(back)
		peers.setStatus(TableStatus{Position: restored.Position(), Peer: peerCopy{restored}})
		advanceTime(time.Second)
		synctest.Wait()
		So(f.Copy.Position(), ShouldResemble, Position{2, 4})
		So(f.values[desiredKey], ShouldEqual, "2")
	})
}

// Guards against a withdrawn worker that is taken back after several returns: its removal
// is forgotten, or another router that does not know it still holds the worker.
func TestRemovalOutlastsReturns(t *testing.T) {
	ready := Row{Key: "a", Value: []byte("ready"), Version: 2}
	known := func(rows ...Row) *Copy {
		c := NewCopy()
		c.Carry = carryRow
		c.replaceAll(RowSet{Era: 1, Version: 3, Rows: []Row{ready}})
		c.apply(rows)
		return c
	}
	removed := Row{Key: "a", Version: 4, Removed: true}
	Convey("A removal that was repeated in one era holds against the copy of the next one", t, func() {
		c := known(removed)
		c.replaceAll(RowSet{Era: 2, Version: 5})
		rows, _ := c.replaceAll(RowSet{Era: 3, Version: 2, Rows: []Row{ready}})
		So(rows, ShouldHaveLength, 1)
		So(rows[0].Removed, ShouldBeTrue)
	})
	Convey("A router that knows a removal does not take the row over from one that does not", t, func() {
		c, unaware := known(removed), known()
		for _, router := range []*Copy{c, unaware} {
			router.replaceAll(RowSet{Era: 2, Version: 1})
		}
		So(unaware.Snapshot().Held, ShouldHaveLength, 1)
		So(c.adopt(unaware.Snapshot().Held), ShouldBeEmpty)
	})
	Convey("A row that is no longer held is not taken over from a router that holds it for longer", t, func() {
		c, later := known(), known()
		for _, router := range []*Copy{c, later} {
			router.replaceAll(RowSet{Era: 2, Version: 1})
		}
		So(c.dropExpired(time.Now().Add(lostRetention)), ShouldHaveLength, 1)
		changes, err := c.ChangesSince(Position{Era: 2})
		So(err, ShouldBeNil)
		So(changes.Rows, ShouldBeEmpty)
		c.replaceAll(RowSet{Era: 3, Version: 1})
		So(c.adopt(later.Snapshot().Held), ShouldBeEmpty)
	})
}

// Guards against lost rows that a router of an older release, which knows no eras, passes
// on after the store's return.
func TestRowsOfRouterWithoutEra(t *testing.T) {
	Convey("A router without an era is followed until the store has come back", t, func() {
		row := func(value string, version int64) Row { return Row{Key: "w", Value: []byte(value), Version: version} }
		c, old := NewCopy(), NewCopy()
		old.replaceAll(RowSet{Version: 50, Rows: []Row{row("draining", 48)}})
		c.replaceAll(RowSet{Era: 1, Version: 10, Rows: []Row{row("ready", 10)}})
		changes := old.Snapshot()
		rows, complete := c.applyChanges(changes)
		So(complete, ShouldBeTrue)
		So(rows, ShouldHaveLength, 1)
		So(c.Position(), ShouldResemble, Position{1, 50})
		c.replaceAll(RowSet{Era: 2, Version: 12, Rows: []Row{row("ready", 10)}})
		rows, complete = c.applyChanges(changes)
		So(complete, ShouldBeTrue)
		So(rows, ShouldBeEmpty)
		So(c.isBehind(changes), ShouldBeTrue)
		So(c.Position(), ShouldResemble, Position{2, 12})
	})
}
