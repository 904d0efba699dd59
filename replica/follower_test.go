package replica

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fakeStore answers the calls of a follower in virtual time.
type fakeStore struct {
	mu      sync.Mutex
	rows    []Row
	version int64
	oldest  int64 // changes up to here are forgotten
	silent  bool  // swallows calls
	stale   int64 // answers whole readings as of this version, 0 for the newest
	changed chan struct{}
	calls   int
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

func (s *fakeStore) set(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
}

func (s *fakeStore) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) Read(ctx context.Context, _ string) (RowSet, error) {
	if err := s.called(ctx); err != nil {
		return RowSet{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := RowSet{Version: s.version}
	if s.stale > 0 {
		p.Version = s.stale
	}
	for _, r := range s.rows {
		if r.Version <= p.Version {
			p.Rows = append(p.Rows, r)
		}
	}
	return p, nil
}

// called counts a call and swallows it while the store is silent.
func (s *fakeStore) called(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	return s.swallow(ctx)
}

func (s *fakeStore) swallow(ctx context.Context) error {
	if !s.isSilent() {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (s *fakeStore) Changes(ctx context.Context, _ string, since int64, wait time.Duration) (RowSet, error) {
	if err := s.called(ctx); err != nil {
		return RowSet{}, err
	}
	end := time.After(wait)
	for {
		s.mu.Lock()
		p := RowSet{Version: s.version}
		gone := since < s.oldest
		changed := s.changed
		for _, r := range s.rows {
			if r.Version > since {
				p.Rows = append(p.Rows, r)
			}
		}
		s.mu.Unlock()
		if err := s.swallow(ctx); err != nil {
			return RowSet{}, err
		}
		if gone {
			return RowSet{}, &HistoryGoneError{since}
		}
		if len(p.Rows) > 0 {
			return p, nil
		}
		select {
		case <-changed:
		case <-end:
			return p, s.swallow(ctx)
		case <-ctx.Done():
			return RowSet{}, ctx.Err()
		}
	}
}

// followed runs a follower against a store and keeps what it was told.
type followed struct {
	*Follower
	values map[string]string
	back   bool // a version fell
	last   int64
}

func follow(ctx context.Context, s Source, g Peers) *followed {
	f := &followed{values: map[string]string{}}
	take := func(rows []Row, version int64) {
		f.back = f.back || version < f.last
		f.last = version
		for _, r := range rows {
			if r.Removed {
				delete(f.values, r.Key)
				continue
			}
			f.values[r.Key] = string(r.Value)
		}
	}
	f.Follower = &Follower{
		Table: "t", Store: s, Peers: g, Copy: NewCopy(),
		Config: Config{PollWait: 3500 * time.Millisecond, Timeout: 800 * time.Millisecond, BatchDelay: time.Second, StaleAfter: 1800 * time.Millisecond},
		Events: Events{Changed: take, SourcesLost: func(error) {}, SourcesRecovered: func() {}, Warning: func(string, error) {}},
	}
	go f.Run(ctx)
	return f
}

// pass lets virtual time pass.
func pass(d time.Duration) { <-time.After(d) }

func bubble(t *testing.T, name string, body func(ctx context.Context)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer synctest.Wait()
			defer cancel()
			body(ctx)
		})
	})
}

// Guards against a change that a router learns late because a call is still
// waiting for an answer that a silent store swallowed.
func TestStoreReturnsAfterSilence(t *testing.T) {
	for silence := 5 * time.Second; silence < 10*time.Second; silence += 250 * time.Millisecond {
		bubble(t, "A change 1 s after the return from "+silence.String()+" of silence is known within 2 s", func(ctx context.Context) {
			s := newFakeStore()
			f := follow(ctx, s, NoPeers{})
			pass(10 * time.Second)
			s.set(func() { s.silent = true })
			pass(silence)
			s.set(func() { s.silent = false })
			pass(time.Second)
			s.put("k", "new")
			pass(2 * time.Second)
			synctest.Wait()
			So(f.values["k"], ShouldEqual, "new")
		})
	}
}

// Guards against a copy that stands still, or goes back, when the store
// forgets its history and answers readings that are older than the copy.
func TestHistoryGone(t *testing.T) {
	bubble(t, "The table is read again, and never as of an older version", func(ctx context.Context) {
		s := newFakeStore()
		s.put("k", "one")
		f := follow(ctx, s, NoPeers{})
		pass(time.Second)
		s.set(func() { s.silent = true })
		pass(5 * time.Second)
		s.put("k", "two")
		s.set(func() { s.silent, s.oldest, s.stale = false, s.version, 1 })
		pass(3 * time.Second)
		synctest.Wait()
		So(f.back, ShouldBeFalse)
		s.set(func() { s.stale = 0 })
		pass(time.Second)
		synctest.Wait()
		So(f.values["k"], ShouldEqual, "two")
		So(f.back, ShouldBeFalse)
	})
}

// Guards against a call for each of many changes in a row, and against changes
// that are known too late.
func TestGroupsOfChanges(t *testing.T) {
	bubble(t, "Ten changes within a second take at most three calls, and 1 s at most", func(ctx context.Context) {
		s := newFakeStore()
		f := follow(ctx, s, NoPeers{})
		pass(2 * time.Second)
		synctest.Wait()
		before := s.count()
		for i := range 10 {
			s.put(strconv.Itoa(i), "x")
			pass(100 * time.Millisecond)
		}
		pass(f.Config.BatchDelay)
		synctest.Wait()
		So(f.values, ShouldHaveLength, 10)
		So(s.count()-before, ShouldBeLessThanOrEqualTo, 3)
	})
}

// Guards against calls that a quiet store has to pay for.
func TestQuietStore(t *testing.T) {
	bubble(t, "A minute without changes takes one reading and a call each 3.5 s", func(ctx context.Context) {
		s := newFakeStore()
		follow(ctx, s, NoPeers{})
		pass(time.Minute)
		synctest.Wait()
		So(s.count(), ShouldBeLessThanOrEqualTo, 1+18)
	})
}

// fakeGuide is what the peers of a follower know.
type fakeGuide struct {
	mu      sync.Mutex
	reads   bool
	news    TableStatus
	changed chan struct{}
}

func newFakeGuide() *fakeGuide { return &fakeGuide{changed: make(chan struct{})} }

func (g *fakeGuide) ReadsStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reads
}

func (g *fakeGuide) ReadsForOthers() bool { return true }
func (g *fakeGuide) AnnounceChange()      {}

func (g *fakeGuide) TableStatus(string) TableStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.news
}

func (g *fakeGuide) StatusChanged() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *fakeGuide) tell(n TableStatus) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.news = n
	close(g.changed)
	g.changed = make(chan struct{})
}

// copySource is a peer that has a copy.
type copySource struct{ *Copy }

func (c copySource) Read(context.Context, string) (RowSet, error) { return c.Snapshot(), nil }

func (c copySource) Changes(_ context.Context, _ string, since int64, _ time.Duration) (RowSet, error) {
	return c.ChangesSince(since)
}

// Guards against routers that all read the store although one of them does it
// for them, and against a router that stays behind when its peers are.
func TestFollowPeers(t *testing.T) {
	bubble(t, "Changes come from a peer without a call of the store", func(ctx context.Context) {
		s, g, peer := newFakeStore(), newFakeGuide(), NewCopy()
		s.put("a", "1")
		peer.apply([]Row{{Key: "a", Value: []byte("1"), Version: 2}})
		g.tell(TableStatus{Version: 2, Peer: copySource{peer}})
		f := follow(ctx, s, g)
		pass(time.Second)
		peer.apply([]Row{{Key: "b", Value: []byte("2"), Version: 9}, {Key: "a", Version: 10, Removed: true}})
		g.tell(TableStatus{Version: 10, Peer: copySource{peer}})
		synctest.Wait()
		So(f.values, ShouldResemble, map[string]string{"b": "2"})
		So(s.count(), ShouldEqual, 0)
	})
	bubble(t, "Peers without contact are passed by", func(ctx context.Context) {
		s, g := newFakeStore(), newFakeGuide()
		g.tell(TableStatus{Age: 10 * time.Second})
		f := follow(ctx, s, g)
		pass(time.Second)
		s.put("a", "1")
		pass(f.Config.StaleAfter + 100*time.Millisecond)
		synctest.Wait()
		So(f.values["a"], ShouldEqual, "1")
		before := s.count()
		pass(18 * time.Second)
		synctest.Wait()
		// One call in each time after which its own contact is stale.
		So(s.count()-before, ShouldBeLessThanOrEqualTo, 10)
	})
	bubble(t, "A router that the store turns away takes what peers know", func(ctx context.Context) {
		s, g, peer := newFakeStore(), newFakeGuide(), NewCopy()
		g.reads = true
		s.silent = true
		peer.apply([]Row{{Key: "a", Value: []byte("1"), Version: 2}})
		g.tell(TableStatus{Version: 2, Peer: copySource{peer}})
		f := follow(ctx, s, g)
		pass(3 * time.Second)
		synctest.Wait()
		So(f.values["a"], ShouldEqual, "1")
	})
}

// Guards against a peer that keeps a row which a whole reading lacked.
func TestCopy(t *testing.T) {
	Convey("What a reading lacks is told to peers as removed", t, func() {
		c := NewCopy()
		c.apply([]Row{{Key: "a", Version: 2}, {Key: "b", Version: 3}})
		c.replace(RowSet{Rows: []Row{{Key: "b", Version: 3}}, Version: 7})
		p, err := c.ChangesSince(3)
		So(err, ShouldBeNil)
		So(p, ShouldResemble, RowSet{Rows: []Row{{Key: "a", Version: 7, Removed: true}}, Version: 7})
	})
	Convey("A row does not go back, and forgotten removals are not passed over", t, func() {
		c := NewCopy()
		c.apply([]Row{{Key: "a", Value: []byte("new"), Version: 5}})
		c.apply([]Row{{Key: "a", Value: []byte("old"), Version: 4}})
		So(string(c.Snapshot().Rows[0].Value), ShouldEqual, "new")
		for i := range tombstonesMost + 1 {
			c.apply([]Row{{Key: strconv.Itoa(i), Version: int64(10 + i), Removed: true}})
		}
		_, err := c.ChangesSince(5)
		So(err, ShouldHaveSameTypeAs, &HistoryGoneError{})
		_, err = c.ChangesSince(10)
		So(err, ShouldBeNil)
	})
}
