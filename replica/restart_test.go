package replica

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// countingPeer is a peer that counts what is read from it.
type countingPeer struct {
	peerCopy
	snapshots int
	reads     int // of changes
}

func (p *countingPeer) Changes(ctx context.Context, table string, since Position, wait time.Duration) (RowSet, error) {
	if p.reads++; p.reads > 1000 {
		<-ctx.Done() // ends a loop without a pause, in which virtual time stands still
	}
	return p.peerCopy.Changes(ctx, table, since, wait)
}

func (p *countingPeer) Read(ctx context.Context, table string) (RowSet, error) {
	p.snapshots++
	return p.peerCopy.Read(ctx, table)
}

// Guards against a row that is kept for good after it was removed while the router
// that reads the store for the others was down: its copy is filled anew and does
// not know that the row ever existed.
func TestRemovedWhileReaderWasDown(t *testing.T) {
	before := []Row{{Key: "a", Value: []byte("1"), Version: 2}, {Key: "b", Value: []byte("2"), Version: 3}}
	for _, test := range []struct {
		desc      string
		snapshot  RowSet
		expected  map[string]string
		snapshots int
	}{
		{"another row was added after that", RowSet{Rows: []Row{before[1], {Key: "c", Value: []byte("3"), Version: 5}}, Version: 6}, map[string]string{"b": "2", "c": "3"}, 1},
		{"no row changed after that", RowSet{Rows: before[1:], Version: 6}, map[string]string{"b": "2"}, 1},
		{"it was the last row", RowSet{Version: 6}, map[string]string{}, 1},
		{"nothing was removed", RowSet{Rows: before, Version: 6}, map[string]string{"a": "1", "b": "2"}, 0},
		{"a row was added and nothing removed", RowSet{Rows: append(before[:2:2], Row{Key: "c", Value: []byte("3"), Version: 5}), Version: 6}, map[string]string{"a": "1", "b": "2", "c": "3"}, 0},
	} {
		inBubble(t, "A router learns from a restarted reader what was removed, where "+test.desc, func(ctx context.Context) {
			peers, old := newFakePeers(), NewCopy()
			old.apply(before)
			peers.setStatus(TableStatus{Position: old.Position(), Peer: peerCopy{old}})
			f := startFollower(ctx, newFakeStore(), peers)
			advanceTime(time.Second)
			So(f.values, ShouldHaveLength, 2)

			restarted := &countingPeer{peerCopy: peerCopy{NewCopy()}}
			restarted.replaceAll(test.snapshot)
			peers.setStatus(TableStatus{Position: restarted.Position(), Peer: restarted})
			advanceTime(time.Second)
			synctest.Wait()
			So(f.values, ShouldResemble, test.expected)
			So(restarted.snapshots, ShouldEqual, test.snapshots)
			So(f.Copy.Position(), ShouldEqual, restarted.Position())
		})
	}
}

// Guards against a snapshot of a peer that restarted in between: it is empty, and
// its rows would be removed here.
func TestSnapshotOfRestartedPeer(t *testing.T) {
	inBubble(t, "A peer's snapshot that is older than the copy is not applied", func(ctx context.Context) {
		peers, old := newFakePeers(), NewCopy()
		old.apply([]Row{{Key: "a", Value: []byte("1"), Version: 2}})
		peers.setStatus(TableStatus{Position: Position{Version: 2}, Peer: peerCopy{old}})
		s := newFakeStore()
		s.refuses = true
		f := startFollower(ctx, s, peers)
		advanceTime(time.Second)
		peers.setStatus(TableStatus{Position: Position{Version: 9}, Peer: &forgetfulPeer{peerCopy{NewCopy()}}})
		advanceTime(time.Second)
		synctest.Wait()
		So(f.values, ShouldResemble, map[string]string{"a": "1"})
	})
}

// Guards against calls without a pause to a peer that restarted after it announced a
// version and no longer has it.
func TestPeerBehindItsStatus(t *testing.T) {
	inBubble(t, "A peer that has not reached the version that it announced is asked again after a while", func(ctx context.Context) {
		peers, peer := newFakePeers(), &countingPeer{peerCopy: peerCopy{NewCopy()}}
		peer.apply([]Row{{Key: "a", Value: []byte("1"), Version: 2}})
		peers.setStatus(TableStatus{Position: Position{Version: 9}, Peer: peer})
		f := startFollower(ctx, newFakeStore(), peers)
		advanceTime(time.Second)
		synctest.Wait()
		So(f.values, ShouldResemble, map[string]string{"a": "1"})
		So(peer.reads, ShouldBeLessThanOrEqualTo, 6)
	})
}

// Guards against a removed row that returns from a peer whose snapshot had several
// pages: the row was on an early page, and a later page had a newer row.
func TestSnapshotOfSeveralPages(t *testing.T) {
	inBubble(t, "A copy that was filled page by page holds the changes up to its first page only", func(ctx context.Context) {
		peers, old, filled := newFakePeers(), NewCopy(), NewCopy()
		old.apply([]Row{{Key: "a", Version: 4}, {Key: "a", Version: 8, Removed: true}, {Key: "b", Value: []byte("1"), Version: 5}})
		peers.setStatus(TableStatus{Position: old.Position(), Peer: peerCopy{old}})
		f := startFollower(ctx, newFakeStore(), peers)
		advanceTime(time.Second)
		filled.replaceAll(RowSet{Rows: []Row{{Key: "a", Value: []byte("1"), Version: 4}, {Key: "b", Value: []byte("2"), Version: 12}}, Version: 7})
		So(filled.Position().Version, ShouldEqual, 7)
		peers.setStatus(TableStatus{Position: filled.Position(), Peer: peerCopy{filled}})
		advanceTime(time.Second)
		synctest.Wait()
		So(f.values, ShouldResemble, map[string]string{"b": "1"})
		filled.apply([]Row{{Key: "a", Version: 8, Removed: true}, {Key: "b", Value: []byte("2"), Version: 12}})
		peers.setStatus(TableStatus{Position: filled.Position(), Peer: peerCopy{filled}})
		advanceTime(time.Second)
		synctest.Wait()
		So(f.values, ShouldResemble, map[string]string{"b": "2"})
	})
}

// forgetfulPeer is a peer whose history is gone and whose copy is empty.
type forgetfulPeer struct{ peerCopy }

func (p *forgetfulPeer) Changes(_ context.Context, _ string, since Position, _ time.Duration) (RowSet, error) {
	return RowSet{}, &HistoryGoneError{since}
}

// Guards against copies that differ although they have the same version, in any
// order of changes, restarts and reads among a few routers.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store, copies := NewCopy(), []*Copy{NewCopy(), NewCopy(), NewCopy()}
		version := int64(1)
		pull := func(to, from *Copy) {
			set, err := from.ChangesSince(to.Position())
			complete := false
			if err == nil {
				_, complete = to.applyChanges(set)
			}
			if !complete {
				if set := from.Snapshot(); !set.Position().Before(to.Position()) {
					to.replaceAll(set)
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, len(copies)-1).Draw(t, "router")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				version++
				store.apply([]Row{{Key: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), Version: version, Removed: rapid.Bool().Draw(t, "removed")}})
			case 1:
				copies[i] = NewCopy()
			case 2:
				snapshot := store.Snapshot()
				version++ // a row of another table was written
				snapshot.Version = version
				copies[i].replaceAll(snapshot)
			case 3, 4:
				pull(copies[i], copies[rapid.IntRange(0, len(copies)-1).Draw(t, "peer")])
			}
		}
		snapshot := store.Snapshot()
		snapshot.Version = version + 1
		copies[0].replaceAll(snapshot)
		for _, c := range copies {
			pull(c, copies[0])
			if c.Snapshot().Digest != store.Snapshot().Digest || len(c.Snapshot().Rows) != len(store.Snapshot().Rows) {
				t.Fatalf("a copy has %v, the store %v", c.Snapshot(), store.Snapshot())
			}
		}
	})
}
