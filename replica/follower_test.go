package replica

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fakeStore serves the calls of a follower in virtual time.
type fakeStore struct {
	mu              sync.Mutex
	rows            []Row
	version         int64
	oldestAvailable int64 // changes since an older version are no longer available
	unresponsive    bool  // calls get no reply
	refuses         bool  // calls get an error at once
	snapshotVersion int64 // version of the snapshots that Read returns, 0 for the newest
	changed         chan struct{}
	calls           int
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{}), version: 1} }

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, Row{Key: key, Value: []byte(value), Version: s.version})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) withLock(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func (s *fakeStore) isUnresponsive() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unresponsive
}

func (s *fakeStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) Read(ctx context.Context, _ string) (RowSet, error) {
	if err := s.recordCall(ctx); err != nil {
		return RowSet{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	set := RowSet{Version: s.version}
	if s.snapshotVersion > 0 {
		set.Version = s.snapshotVersion
	}
	for _, r := range s.rows {
		if r.Version <= set.Version {
			set.Rows = append(set.Rows, r)
		}
	}
	return set, nil
}

// recordCall counts a call. If the store is unresponsive, it blocks until the
// context of the call ends.
func (s *fakeStore) recordCall(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	refuses := s.refuses
	s.mu.Unlock()
	if refuses {
		return errors.New("refused")
	}
	return s.blockIfUnresponsive(ctx)
}

func (s *fakeStore) blockIfUnresponsive(ctx context.Context) error {
	if !s.isUnresponsive() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *fakeStore) Changes(ctx context.Context, _ string, since Position, wait time.Duration) (RowSet, error) {
	if err := s.recordCall(ctx); err != nil {
		return RowSet{}, err
	}
	end := time.After(wait)
	for {
		s.mu.Lock()
		set := RowSet{Version: s.version}
		gone := since.Version < s.oldestAvailable
		changed := s.changed
		for _, r := range s.rows {
			if r.Version > since.Version {
				set.Rows = append(set.Rows, r)
			}
		}
		s.mu.Unlock()
		if err := s.blockIfUnresponsive(ctx); err != nil {
			return RowSet{}, err
		}
		if gone {
			return RowSet{}, &HistoryGoneError{since}
		}
		if len(set.Rows) > 0 {
			return set, nil
		}
		select {
		case <-changed:
		case <-end:
			return set, s.blockIfUnresponsive(ctx)
		case <-ctx.Done():
			return RowSet{}, ctx.Err()
		}
	}
}

// testFollower runs a follower against a store and records its events.
type testFollower struct {
	*Follower
	values           map[string]string
	versionDecreased bool // a version was lower than the previous one
	lastVersion      int64
}

func startFollower(ctx context.Context, s Source, peers Peers) *testFollower {
	f := &testFollower{values: map[string]string{}}
	apply := func(rows []Row, version int64) {
		f.versionDecreased = f.versionDecreased || version < f.lastVersion
		f.lastVersion = version
		for _, r := range rows {
			if r.Removed {
				delete(f.values, r.Key)
				continue
			}
			f.values[r.Key] = string(r.Value)
		}
	}
	f.Follower = &Follower{
		Table: "t", Store: s, Peers: peers, Copy: NewCopy(),
		Config: Config{PollWait: 3500 * time.Millisecond, Timeout: 800 * time.Millisecond, BatchDelay: time.Second, PollWaitForOthers: time.Second, BatchDelayForOthers: 200 * time.Millisecond, StaleAfter: 1800 * time.Millisecond},
		Events: Events{Changed: apply, SourcesLost: func(error) {}, SourcesRecovered: func() {}, Restored: func(Restoration) {}, Warning: func(string, error) {}},
	}
	go f.Run(ctx)
	return f
}

// advanceTime waits until virtual time has advanced by d.
func advanceTime(d time.Duration) { <-time.After(d) }

// inBubble runs a test in a synctest bubble, where time is virtual.
func inBubble(t *testing.T, name string, body func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer synctest.Wait()
			defer cancel()
			body(ctx)
		})
	})
}

// Guards against learning of a change late after the store was unresponsive:
// the store drops the long polls that reach it in that state, and a follower
// could still be waiting for the reply to one of them.
func TestStoreReturnsAfterSilence(t *testing.T) {
	for outage := 5 * time.Second; outage < 10*time.Second; outage += 250 * time.Millisecond {
		inBubble(t, "A change 1 s after the end of "+outage.String()+" without replies is applied within 2 s", func(ctx context.Context) {
			s := newFakeStore()
			f := startFollower(ctx, s, NoPeers{})
			advanceTime(10 * time.Second)
			s.withLock(func() { s.unresponsive = true })
			advanceTime(outage)
			s.withLock(func() { s.unresponsive = false })
			advanceTime(time.Second)
			s.put("k", "new")
			advanceTime(2 * time.Second)
			synctest.Wait()
			So(f.values["k"], ShouldEqual, "new")
		})
	}
}

// Guards against a copy that is no longer updated, or returns to an older
// version, when the store drops its history and then returns snapshots that are
// older than the copy.
func TestHistoryGone(t *testing.T) {
	inBubble(t, "A snapshot is read again, and an older version is never applied", func(ctx context.Context) {
		s := newFakeStore()
		s.put("k", "one")
		f := startFollower(ctx, s, NoPeers{})
		advanceTime(time.Second)
		s.withLock(func() { s.unresponsive = true })
		advanceTime(5 * time.Second)
		s.put("k", "two")
		s.withLock(func() { s.unresponsive, s.oldestAvailable, s.snapshotVersion = false, s.version, 1 })
		advanceTime(3 * time.Second)
		synctest.Wait()
		So(f.versionDecreased, ShouldBeFalse)
		s.withLock(func() { s.snapshotVersion = 0 })
		advanceTime(time.Second)
		synctest.Wait()
		So(f.values["k"], ShouldEqual, "two")
		So(f.versionDecreased, ShouldBeFalse)
	})
}

// Guards against one call for each of many changes in quick succession, and
// against changes that are applied too late.
func TestBatchesOfChanges(t *testing.T) {
	inBubble(t, "Ten changes within a second take at most three calls and are applied 1 s later", func(ctx context.Context) {
		s := newFakeStore()
		f := startFollower(ctx, s, NoPeers{})
		advanceTime(2 * time.Second)
		synctest.Wait()
		before := s.callCount()
		for i := range 10 {
			s.put(strconv.Itoa(i), "x")
			advanceTime(100 * time.Millisecond)
		}
		advanceTime(f.Config.BatchDelay)
		synctest.Wait()
		So(f.values, ShouldHaveLength, 10)
		So(s.callCount()-before, ShouldBeLessThanOrEqualTo, 3)
	})
}

// Guards against frequent calls to a store whose rows do not change.
func TestStoreWithoutChanges(t *testing.T) {
	inBubble(t, "A minute without changes takes one snapshot and one call every 3.5 s", func(ctx context.Context) {
		s := newFakeStore()
		startFollower(ctx, s, NoPeers{})
		advanceTime(time.Minute)
		synctest.Wait()
		So(s.callCount(), ShouldBeLessThanOrEqualTo, 1+18)
	})
}

// fakePeers implements Peers with a status that the test sets.
type fakePeers struct {
	mu         sync.Mutex
	readsStore bool
	status     TableStatus
	routers    int
	changed    chan struct{}
}

func newFakePeers() *fakePeers { return &fakePeers{changed: make(chan struct{})} }

func (p *fakePeers) ReadsStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readsStore
}

func (p *fakePeers) ReadsForOthers() bool { return true }
func (p *fakePeers) AnnounceChange()      {}
func (p *fakePeers) AnyPeer() Source      { return nil }

func (p *fakePeers) RouterCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.routers, 2)
}

func (p *fakePeers) setRouters(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers = n
}

func (p *fakePeers) TableStatus(string) TableStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.status
}

func (p *fakePeers) StatusChanged() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *fakePeers) setStatus(status TableStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.status = status
	close(p.changed)
	p.changed = make(chan struct{})
}

// peerCopy is a Source that reads from a peer's copy.
type peerCopy struct{ *Copy }

func (c peerCopy) Read(context.Context, string) (RowSet, error) { return c.Snapshot(), nil }

func (c peerCopy) Changes(_ context.Context, _ string, since Position, _ time.Duration) (RowSet, error) {
	return c.ChangesSince(since)
}

// Guards against routers that all read the store although some of them do so
// for the others, and against a router that keeps an old copy because its peers
// have lost contact with the store.
func TestFollowPeers(t *testing.T) {
	inBubble(t, "Changes are read from a peer without a call to the store", func(ctx context.Context) {
		s, peers, peer := newFakeStore(), newFakePeers(), NewCopy()
		s.put("a", "1")
		peer.apply([]Row{{Key: "a", Value: []byte("1"), Version: 2}})
		peers.setStatus(TableStatus{Position: Position{Version: 2}, Peer: peerCopy{peer}})
		f := startFollower(ctx, s, peers)
		advanceTime(time.Second)
		peer.apply([]Row{{Key: "b", Value: []byte("2"), Version: 9}, {Key: "a", Version: 10, Removed: true}})
		peers.setStatus(TableStatus{Position: Position{Version: 10}, Peer: peerCopy{peer}})
		synctest.Wait()
		So(f.values, ShouldResemble, map[string]string{"b": "2"})
		So(s.callCount(), ShouldEqual, 0)
	})
	inBubble(t, "A router reads the store itself if no peer is in contact with it", func(ctx context.Context) {
		s, peers := newFakeStore(), newFakePeers()
		peers.setStatus(TableStatus{Age: 10 * time.Second})
		f := startFollower(ctx, s, peers)
		advanceTime(time.Second)
		s.put("a", "1")
		advanceTime(f.Config.StaleAfter + 100*time.Millisecond)
		synctest.Wait()
		So(f.values["a"], ShouldEqual, "1")
		before := s.callCount()
		advanceTime(18 * time.Second)
		synctest.Wait()
		// One call each time the router's own contact with the store becomes
		// stale.
		So(s.callCount()-before, ShouldBeLessThanOrEqualTo, 10)
	})
	inBubble(t, "A router whose calls to the store fail reads from its peers", func(ctx context.Context) {
		s, peers, peer := newFakeStore(), newFakePeers(), NewCopy()
		peers.readsStore = true
		s.unresponsive = true
		peer.apply([]Row{{Key: "a", Value: []byte("1"), Version: 2}})
		peers.setStatus(TableStatus{Position: Position{Version: 2}, Peer: peerCopy{peer}})
		f := startFollower(ctx, s, peers)
		advanceTime(3 * time.Second)
		synctest.Wait()
		So(f.values["a"], ShouldEqual, "1")
	})
}

// Guards against peers that keep a removed row, and against rows that are
// overwritten by an older version.
func TestCopy(t *testing.T) {
	Convey("A row that a snapshot lacks is reported to peers as removed", t, func() {
		c := NewCopy()
		c.apply([]Row{{Key: "a", Version: 2}, {Key: "b", Version: 3}})
		c.replaceAll(RowSet{Rows: []Row{{Key: "b", Version: 3}}, Version: 7})
		set, err := c.ChangesSince(Position{Version: 3})
		So(err, ShouldBeNil)
		So(set, ShouldResemble, RowSet{Rows: []Row{{Key: "a", Version: 7, Removed: true}}, Version: 7, Digest: emptyDigest ^ Row{Key: "b", Version: 3}.digest()})
	})
	Convey("An older version of a row is not applied, and a peer that is further behind than the dropped tombstones gets an error", t, func() {
		c := NewCopy()
		c.apply([]Row{{Key: "a", Value: []byte("new"), Version: 5}})
		c.apply([]Row{{Key: "a", Value: []byte("old"), Version: 4}})
		So(string(c.Snapshot().Rows[0].Value), ShouldEqual, "new")
		for i := range maxTombstones + 1 {
			c.apply([]Row{{Key: strconv.Itoa(i), Version: int64(10 + i), Removed: true}})
		}
		_, err := c.ChangesSince(Position{Version: 5})
		So(err, ShouldHaveSameTypeAs, &HistoryGoneError{})
		_, err = c.ChangesSince(Position{Version: 10})
		So(err, ShouldBeNil)
	})
}

// Guards against a reply of a peer that crashes this router or lets the version of
// its copy decrease.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"rows":[{"key":"a","value":"dg==","version":4},{"key":"b","version":5,"removed":true,"new":1}],"version":9}`), int64(3))
	f.Add([]byte(`{"rows":[{"key":"","version":-1},{}],"version":-9223372036854775808}`), int64(-1))
	f.Add([]byte(`{"rows":null}`), int64(0))
	f.Fuzz(func(t *testing.T, reply []byte, since int64) {
		var set RowSet
		if json.Unmarshal(reply, &set) != nil {
			return
		}
		c := NewCopy()
		c.apply([]Row{{Key: "a", Value: []byte("v"), Version: 7}, {Key: "gone", Version: 8, Removed: true}})
		for _, apply := range []func(){func() { c.apply(set.Rows) }, func() { c.replaceAll(set) }, func() { c.apply(set.Rows) }} {
			before := c.Position()
			apply()
			if c.Position().Before(before) {
				t.Fatalf("the position decreased from %v to %v", before, c.Position())
			}
		}
		_, _ = c.ChangesSince(Position{Version: since}) // may be gone
		c.Snapshot()
	})
}
