// Package replica keeps copies of a store's tables in every router. Peers
// selects the routers that read the store. The others read the changes from
// their peers, and read the store themselves once no router seems to be in
// contact with it.
//
// Contract: the position of a copy never decreases. While the store replies, a
// router learns of a change within the batch delay of the selected routers, plus
// one call to the store and the time in which table statuses spread among the
// routers; if no router reads the store, within Config.StaleAfter plus one call.
//
// A store that comes back from an older copy begins a new era. The selected routers
// then read a snapshot, and the others read one from them. Rows that the store has lost
// hold for as long as the table's Carry says, and routers that start meanwhile learn of
// them from a peer.
//
// A digest of the rows shows a copy that lacks a change, so that a peer that restarted
// and does not know which rows were removed before is noticed.
//
// Failure behaviour: a store that does not reply is called again with short
// timeouts, and changes are read from peers meanwhile. The routers that are not
// selected to read the store call it in turns, so that the calls of a large fleet
// stay few. If no peer replies, the store is read instead. Errors are reported through Events, never returned: a
// follower runs until its context ends.
//
// Concurrency: a Copy is safe for concurrent use. A Follower is run by one
// goroutine.
package replica

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Row is a row of a table. All versions come from a single counter of the
// store.
type Row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"version"`
	Removed bool   `json:"removed,omitempty"`
}

// RowSet holds rows of a table, either all of them or those that changed after
// a version. All changes of the table up to Version are included, unless the
// source was itself filled after the version that was asked for: it does not know
// the rows that were removed before that.
type RowSet struct {
	Rows    []Row `json:"rows"`
	Version int64 `json:"version"`
	// Era is the era of the store, 0 if it is not known. It then counts as that of the
	// copy to which the set is applied, until the store has come back from an older copy.
	Era int64 `json:"era,omitempty"`
	// Base is the version at which the first router read the table in this era, 0 if it
	// is not known. Later rows were written after the store's return.
	Base int64 `json:"base,omitempty"`
	// Held are the rows of earlier eras that hold in place of those in Rows.
	Held []HeldRow `json:"held,omitempty"`
	// Informed says that Held lacks no row: the router followed the store's last return,
	// learned of it from one that did, or has run for so long that nothing is held.
	Informed bool `json:"informed,omitempty"`
	// Digest covers the keys and versions of all rows of the table at Version. It
	// shows whether a copy lacks a change. It is 0 if it is not known.
	Digest uint64 `json:"digest,omitempty"`
}

// emptyDigest is the Digest of a table without rows.
const emptyDigest = 1

// digest returns the part of a row in RowSet.Digest, which combines them by XOR.
func (r Row) digest() uint64 {
	return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(r.Key), uint64(r.Version)))
}

// HistoryGoneError reports that the requested changes are no longer available.
type HistoryGoneError struct{ Since Position }

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("replica: the changes since version %d of era %d are not available; read a snapshot of the table", e.Since.Version, e.Since.Era)
}

// Source is where a copy is read from: the store or a peer.
type Source interface {
	// Read returns a snapshot of a table with all its rows.
	Read(ctx context.Context, table string) (RowSet, error)
	// Changes returns the rows that changed after a position. If there are none,
	// it waits up to the given time for a change. Errors: *HistoryGoneError, and
	// those of the connection. A set of another era than the position's has no rows of
	// use; a snapshot has to be read.
	Changes(ctx context.Context, table string, since Position, wait time.Duration) (RowSet, error)
}

// TableStatus is what this router knows about a table from all routers.
type TableStatus struct {
	Position Position      // newest position that any router has seen
	Age      time.Duration // time since any router had contact with the store
	Peer     Source        // a peer whose copy has reached Position, nil for none
}

// Peers gives a follower access to the other routers and decides which routers
// read the store. It is implemented by plugins/gossip.
type Peers interface {
	// ReadsStore reports whether this router is selected to read the store.
	ReadsStore() bool
	// ReadsForOthers reports whether only some routers read the store, and the
	// others read the changes from them. The selected routers then read more
	// often, so that the others learn of changes sooner.
	ReadsForOthers() bool
	// TableStatus returns what this router knows about a table from all routers.
	TableStatus(table string) TableStatus
	// AnyPeer returns a live router, whatever its copies hold, nil if none is known.
	AnyPeer() Source
	// StatusChanged returns a channel that is closed when the status of a table
	// changes.
	StatusChanged() <-chan struct{}
	// RouterCount estimates the number of routers, including this one.
	RouterCount() int
	// AnnounceChange tells the other routers that this router's copy has
	// changed.
	AnnounceChange()
}

// NoPeers implements Peers for a router without peers.
type NoPeers struct{}

// ReadsStore returns true, since no other router can read the store.
func (NoPeers) ReadsStore() bool { return true }

// ReadsForOthers returns false.
func (NoPeers) ReadsForOthers() bool { return false }

// RouterCount returns 1.
func (NoPeers) RouterCount() int { return 1 }

// AnnounceChange does nothing.
func (NoPeers) AnnounceChange() {}

// TableStatus returns an empty status that is old enough to count as stale.
func (NoPeers) TableStatus(string) TableStatus { return TableStatus{Age: time.Hour} }

// AnyPeer returns nil.
func (NoPeers) AnyPeer() Source { return nil }

// StatusChanged returns a channel that is never closed.
func (NoPeers) StatusChanged() <-chan struct{} { return nil }

// maxTombstones limits the removed rows that a copy remembers for its peers. A
// peer that is further behind reads a snapshot of the table.
const maxTombstones = 1024

// Copy is this router's copy of a table.
type Copy struct {
	// Carry decides which rows outlast the store's return, none if it is nil. It has to
	// be set before the copy is used.
	Carry Carry

	mu             sync.Mutex // lock level 90, see internal/core/lockorder.go
	rows           map[string]Row
	held           map[string]heldRow // rows of earlier eras that hold in place of those in rows
	tombstones     []Row              // removed rows, oldest first
	droppedVersion int64              // version of the newest tombstone that was dropped
	era            int64              // era of rows, see Position
	base           int64              // see RowSet.Base
	version        int64              // all changes up to it are included
	digest         uint64             // see RowSet.Digest
	filledAt       time.Time          // when the first snapshot was applied, zero for never
	informed       bool               // see RowSet.Informed
	returned       bool               // the store has come back since this router's start
	lastContact    time.Time
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{rows: map[string]Row{}, held: map[string]heldRow{}, digest: emptyDigest}
}

// Position returns the position up to which the copy holds all changes.
func (c *Copy) Position() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Position{c.era, c.version}
}

// Digest returns the digest of the rows, see RowSet.
func (c *Copy) Digest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.digest
}

// LastContact returns when the store last replied to this router.
func (c *Copy) LastContact() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastContact
}

func (c *Copy) recordContact(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = now
}

// apply merges rows that changed in the copy's era into the copy, which then holds all
// changes up to the newest one. It returns the rows that hold now.
func (c *Copy) apply(rows []Row) []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version = max(c.version, newestVersion(rows))
	return c.merge(rows)
}

func newestVersion(rows []Row) int64 {
	newest := int64(0)
	for _, r := range rows {
		newest = max(newest, r.Version)
	}
	return newest
}

// merge merges rows into the copy and returns those that hold. The caller holds mu.
func (c *Copy) merge(rows []Row) []Row {
	var effective []Row
	for _, r := range rows {
		old, listed := c.rows[r.Key]
		if r.Version < old.Version {
			continue // the source has an older version of the row
		}
		if c.release(r) {
			effective = append(effective, r)
		}
		if listed {
			c.digest ^= old.digest()
		}
		if !r.Removed {
			c.rows[r.Key] = r
			c.digest ^= r.digest()
			continue
		}
		delete(c.rows, r.Key)
		if listed {
			r.Value = old.Value // shows in a later era whether its writer has restarted
		}
		c.tombstones = append(c.tombstones, r)
	}
	if excess := len(c.tombstones) - maxTombstones; excess > 0 {
		c.droppedVersion = max(c.droppedVersion, c.tombstones[excess-1].Version)
		c.tombstones = slices.Delete(c.tombstones, 0, excess)
	}
	return effective
}

// applyChanges merges the changes that a peer sent into the copy and returns the rows
// that hold now. It returns false if the copy then differs from the peer's.
func (c *Copy) applyChanges(set RowSet) ([]Row, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set.Era = c.eraOf(set)
	if set.Era != c.era {
		return nil, set.Era < c.era
	}
	c.lowerBase(set)
	rows := c.merge(set.Rows)
	switch {
	case set.Digest == 0: // a peer of an older release
		c.version = max(c.version, newestVersion(set.Rows))
	case set.Version < c.version: // a peer that is behind
	case set.Digest != c.digest:
		return rows, false
	default:
		c.version = set.Version
	}
	return rows, true
}

// replaceAll applies a snapshot of the copy's era or a later one. It returns the rows
// that hold now, together with a tombstone for each row that no longer does. The result
// is not nil if the snapshot is of a later era.
func (c *Copy) replaceAll(snapshot RowSet) ([]Row, *Restoration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.filledAt.IsZero() {
		c.filledAt = time.Now()
	}
	snapshot.Era = c.eraOf(snapshot)
	if snapshot.Era < c.era {
		return nil, nil
	}
	if snapshot.Era > c.era {
		return c.restore(snapshot, time.Now())
	}
	c.lowerBase(snapshot)
	listed := map[string]bool{}
	for _, r := range snapshot.Rows {
		listed[r.Key] = true
	}
	rows := snapshot.Rows
	for key := range c.rows {
		if !listed[key] {
			rows = append(rows, Row{Key: key, Version: snapshot.Version, Removed: true})
		}
	}
	rows = c.merge(rows)
	// Rows may have been removed after the newest one changed, and a snapshot of
	// several pages has rows of after its version, without the other changes up to
	// them.
	c.version = max(c.version, snapshot.Version)
	return rows, nil
}

// Snapshot returns all rows of the store, by ascending version, and those that are held.
func (c *Copy) Snapshot() RowSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	set := c.emptySet()
	for _, r := range c.rows {
		set.Rows = append(set.Rows, r)
	}
	sortRows(set.Rows)
	return set
}

// emptySet returns a set without changed rows. The caller holds mu.
func (c *Copy) emptySet() RowSet {
	now := time.Now()
	informed := c.informed || !c.filledAt.IsZero() && now.Sub(c.filledAt) >= informedAfter
	return RowSet{Era: c.era, Base: c.base, Version: c.version, Digest: c.digest, Held: c.heldRows(now), Informed: informed}
}

// ChangesSince returns the rows that changed after a position, without those that
// were removed before the copy was filled. Errors: *HistoryGoneError.
func (c *Copy) ChangesSince(since Position) (RowSet, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	otherEra := since.Era != c.era && since.Era != 0
	if otherEra || since.Version < c.droppedVersion && since.Version < c.version {
		return RowSet{}, &HistoryGoneError{since}
	}
	set := c.emptySet()
	for _, r := range c.rows {
		if r.Version > since.Version {
			set.Rows = append(set.Rows, r)
		}
	}
	for _, r := range c.tombstones {
		if r.Version > since.Version {
			set.Rows = append(set.Rows, r)
		}
	}
	sortRows(set.Rows)
	return set, nil
}

func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
}

// Tables holds the copies of all tables that a router follows.
type Tables struct{ byName map[string]*Copy }

// NewTables returns empty copies of the named tables.
func NewTables(names ...string) *Tables {
	t := &Tables{byName: map[string]*Copy{}}
	for _, name := range names {
		t.byName[name] = NewCopy()
	}
	return t
}

// Copy returns the copy of a table, nil for an unknown name.
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
