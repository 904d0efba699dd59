// Package replica keeps copies of a store's tables in every router. A few
// routers read the store; the others take the changes from them, and read the
// store themselves as soon as nobody seems to be in contact with it.
//
// Contract: a copy only moves forward: its version never falls. A router
// learns of a change within the time between two readings of the readers plus
// the time in which news travels among the routers, or, without readers,
// within Config.Stale plus one call.
//
// Failure behaviour: a store that does not answer is asked again with short
// calls; what peers know is taken meanwhile. Peers that do not answer are left
// out in favour of the store. Errors are reported, never returned: a follower
// runs until its context ends.
//
// Concurrency: a Copy is safe for concurrent use. A Follower is run by one
// goroutine.
package replica

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Row is a row of a table. Versions come from one counter of the store.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// RowSet is a part of a table: the rows, and the version that they lead to.
type RowSet struct {
	Rows    []Row `json:"rows"`
	Version int64 `json:"version"`
}

// HistoryGoneError says that the changes asked for are no longer known.
type HistoryGoneError struct{ Since int64 }

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("replica: the changes since %d are gone; read the table as a whole", e.Since)
}

// Source is where a copy is read from: the store or a peer.
type Source interface {
	// Read returns all rows of a table.
	Read(ctx context.Context, table string) (RowSet, error)
	// Changes returns the rows that changed after a version, at once if there
	// are any, else after the wait. Errors: *HistoryGoneError, and those of
	// the connection.
	Changes(ctx context.Context, table string, since int64, wait time.Duration) (RowSet, error)
}

// TableStatus is what the routers know of a table.
type TableStatus struct {
	Version int64         // of the newest row that any router has seen
	Age     time.Duration // since any router was in contact with the store
	Peer    Source        // a peer that has Version, nil for none
}

// Peers tells a follower what the other routers know. Implemented by
// plugins/gossip.
type Peers interface {
	// ReadsStore reports whether this router is one of those that read the store.
	ReadsStore() bool
	// ReadsForOthers reports whether those that read do so for the others too,
	// which learn of a change the sooner the more often they read.
	ReadsForOthers() bool
	// TableStatus tells what the other routers know of a table.
	TableStatus(table string) TableStatus
	// StatusChanged returns a channel that is closed when there are news.
	StatusChanged() <-chan struct{}
	// AnnounceChange tells that the copy has changed.
	AnnounceChange()
}

// NoPeers is the Guide of a router without peers.
type NoPeers struct{}

// ReadsStore returns true: there is nobody else.
func (NoPeers) ReadsStore() bool { return true }

// ReadsForOthers returns false.
func (NoPeers) ReadsForOthers() bool { return false }

// AnnounceChange does nothing.
func (NoPeers) AnnounceChange() {}

// TableStatus returns nothing, of any age.
func (NoPeers) TableStatus(string) TableStatus { return TableStatus{Age: time.Hour} }

// StatusChanged returns a channel that is never closed.
func (NoPeers) StatusChanged() <-chan struct{} { return nil }

// tombstonesMost bounds the removed rows that a copy remembers for its peers.
// A peer that is further behind reads the table as a whole.
const tombstonesMost = 1024

// Copy is a table as this router knows it.
type Copy struct {
	mu      sync.Mutex // level 90
	rows    map[string]Row
	removed []Row // oldest first
	dropped int64 // version of the newest tombstone that was dropped
	version int64 // of the newest row
	contact time.Time
}

// NewCopy returns an empty copy.
func NewCopy() *Copy { return &Copy{rows: map[string]Row{}} }

// Version returns the version of the newest row.
func (c *Copy) Version() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// LastContact returns when the store last answered this router.
func (c *Copy) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.contact
}

func (c *Copy) touched(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.contact = now
}

// apply takes over changed rows.
func (c *Copy) apply(rows []Row) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range rows {
		c.version = max(c.version, r.Version)
		if r.Version < c.rows[r.Key].Version {
			continue // a peer or call that was behind
		}
		if !r.Removed {
			c.rows[r.Key] = r
			continue
		}
		delete(c.rows, r.Key)
		c.removed = append(c.removed, r)
	}
	if over := len(c.removed) - tombstonesMost; over > 0 {
		c.dropped = max(c.dropped, c.removed[over-1].Version)
		c.removed = slices.Delete(c.removed, 0, over)
	}
}

// replace takes over a whole reading as of a version and returns what changed
// by it. A row that the reading lacks counts as removed at that version.
func (c *Copy) replace(p RowSet) []Row {
	listed := map[string]bool{}
	for _, r := range p.Rows {
		listed[r.Key] = true
	}
	rows := p.Rows
	c.mu.Lock()
	for key := range c.rows {
		if !listed[key] {
			rows = append(rows, Row{Key: key, Version: p.Version, Removed: true})
		}
	}
	c.mu.Unlock()
	c.apply(rows)
	return rows
}

// Snapshot returns all rows, by rising version.
func (c *Copy) Snapshot() RowSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := RowSet{Version: c.version}
	for _, r := range c.rows {
		p.Rows = append(p.Rows, r)
	}
	sortRows(p.Rows)
	return p
}

// ChangesSince returns the rows that changed after a version. Errors:
// *HistoryGoneError.
func (c *Copy) ChangesSince(version int64) (RowSet, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if version < c.dropped && version < c.version {
		return RowSet{}, &HistoryGoneError{version}
	}
	p := RowSet{Version: max(c.version, version)}
	for _, r := range c.rows {
		if r.Version > version {
			p.Rows = append(p.Rows, r)
		}
	}
	for _, r := range c.removed {
		if r.Version > version {
			p.Rows = append(p.Rows, r)
		}
	}
	sortRows(p.Rows)
	return p, nil
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
}

// Tables has the copies of all tables that a router follows.
type Tables struct{ byName map[string]*Copy }

// NewTables returns empty copies of the named tables.
func NewTables(names ...string) *Tables {
	t := &Tables{byName: map[string]*Copy{}}
	for _, name := range names {
		t.byName[name] = NewCopy()
	}
	return t
}

// Copy returns the copy of a table, nil for a name that is not followed.
func (t *Tables) Copy(name string) *Copy { return t.byName[name] }

// Names returns the names of the tables, sorted.
func (t *Tables) Names() []string {
	var names []string
	for name := range t.byName {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
