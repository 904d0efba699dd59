package replica

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"
)

// eraStore is a store that can return from an older copy. Its versions then go
// back, and it does not know in which era a reader has read before.
type eraStore struct {
	mu      sync.Mutex
	era     int64
	version int64
	log     []Row // in the order of their versions
	silent  bool  // calls get no reply
	changed chan struct{}
	reads   map[int]int // snapshots read in this era, by router
}

func newEraStore() *eraStore {
	return &eraStore{era: 1, version: 1, changed: make(chan struct{}), reads: map[int]int{}}
}

func (s *eraStore) update(fn func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn()
	close(s.changed)
	s.changed = make(chan struct{})
}

// write stores a value, or removes the row if it is empty.
func (s *eraStore) write(key, value string) {
	s.update(func() {
		s.version++
		s.log = append(s.log, Row{Key: key, Value: []byte(value), Version: s.version, Removed: value == ""})
	})
}

// restore returns to the copy of a version.
func (s *eraStore) restore(version int64) {
	s.update(func() {
		s.era, s.version, s.reads = s.era+1, version, map[int]int{}
		s.log = slices.DeleteFunc(s.log, func(r Row) bool { return r.Version > version })
	})
}

// newest returns the version of the newest row.
func (s *eraStore) newest() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// since returns the newest row of each key that changed after a version. The caller
// holds mu.
func (s *eraStore) since(version int64) RowSet {
	byKey := map[string]Row{}
	for _, r := range s.log {
		byKey[r.Key] = r
	}
	set := RowSet{Era: s.era, Version: s.version, Rows: slices.Collect(maps.Values(byKey))}
	set.Rows = slices.DeleteFunc(set.Rows, func(r Row) bool { return r.Version <= version })
	sortRows(set.Rows)
	return set
}

// all returns a snapshot.
func (s *eraStore) all() RowSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	set := s.since(0)
	set.Rows = slices.DeleteFunc(set.Rows, func(r Row) bool { return r.Removed })
	return set
}

func (s *eraStore) values() map[string]string {
	values := map[string]string{}
	for _, r := range s.all().Rows {
		values[r.Key] = string(r.Value)
	}
	return values
}

// changes waits for changes. A call that is under way when the store becomes silent gets
// no reply, and one that is under way when it returns an error.
func (s *eraStore) changes(ctx context.Context, since Position, wait time.Duration) (RowSet, error) {
	end := time.After(wait)
	for era := int64(0); ; {
		s.mu.Lock()
		set, changed, silent := s.since(since.Version), s.changed, s.silent
		s.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return RowSet{}, ctx.Err()
		case era != 0 && set.Era != era:
			return RowSet{}, errors.New("connection reset")
		case since.Version > set.Version:
			return RowSet{}, &HistoryGoneError{}
		case len(set.Rows) > 0:
			return set, nil
		}
		era = set.Era
		select {
		case <-changed:
		case <-end:
			return set, nil
		case <-ctx.Done():
			return RowSet{}, ctx.Err()
		}
	}
}

// routerStore is the store as one router reaches it.
type routerStore struct{ router *eraRouter }

// reach waits until the call ends if the store does not reply to this router.
func (s routerStore) reach(ctx context.Context) (*eraStore, error) {
	f := s.router.fleet
	f.mu.Lock()
	unreachable := s.router.cutOff
	f.mu.Unlock()
	f.store.mu.Lock()
	unreachable = unreachable || f.store.silent
	f.store.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.store, nil
}

func (s routerStore) Read(ctx context.Context, _ string) (RowSet, error) {
	store, err := s.reach(ctx)
	if err != nil {
		return RowSet{}, err
	}
	store.update(func() { store.reads[s.router.id]++ })
	return store.all(), nil
}

func (s routerStore) Changes(ctx context.Context, _ string, since Position, wait time.Duration) (RowSet, error) {
	store, err := s.reach(ctx)
	if err != nil {
		return RowSet{}, err
	}
	set, err := store.changes(ctx, since, wait)
	if err == nil {
		_, err = s.reach(ctx) // the reply may be lost
	}
	return set, err
}

// peerRouter reads from a router on behalf of another one.
type peerRouter struct{ reader, peer *eraRouter }

func (p peerRouter) reach() (peerCopy, error) {
	p.reader.fleet.mu.Lock()
	defer p.reader.fleet.mu.Unlock()
	if p.peer.dead || p.peer.group != p.reader.group {
		return peerCopy{}, errors.New("unreachable")
	}
	return peerCopy{p.peer.Copy}, nil
}

func (p peerRouter) Read(ctx context.Context, table string) (RowSet, error) {
	c, err := p.reach()
	if err != nil {
		return RowSet{}, err
	}
	return c.Read(ctx, table)
}

func (p peerRouter) Changes(ctx context.Context, table string, since Position, wait time.Duration) (RowSet, error) {
	c, err := p.reach()
	if err != nil {
		return RowSet{}, err
	}
	return c.Changes(ctx, table, since, wait)
}

// The table of the tests holds a desired state, whose value is its revision, and
// workers, whose value is "ready", "draining" or, in another process, "restarted".
const (
	desiredKey    = "config"
	lostRetention = 2200 * time.Millisecond
	withdrawnHold = 10 * time.Second
)

func revision(value string) int {
	n, _ := strconv.Atoi(value) // 0 if there is none
	return n
}

// carryRow is the policy of the tests' table.
func carryRow(known, restored Row, fresh bool) time.Duration {
	ready := func(r Row) bool { return !r.Removed && string(r.Value) == "ready" }
	switch {
	case known.Key == desiredKey && revision(string(known.Value)) > revision(string(restored.Value)):
		return Indefinitely
	case known.Key == desiredKey || fresh:
		return 0
	case !known.Removed && restored.Removed:
		return lostRetention
	case known.Removed && string(known.Value) == "ready" && string(restored.Value) == "restarted":
		return 0
	case !ready(known) && !restored.Removed && string(restored.Value) != "draining":
		return withdrawnHold
	}
	return 0
}
