package replica

import (
	"math"
	"time"
)

// Carry decides what becomes of a row when the store comes back from an older copy,
// before its writer has written it again. It returns for how long the known row holds,
// 0 if the store's row holds. A row that is not in the table has Removed set; its value
// is the one that it had before, if that is known. A fresh row was written after the
// store's return; it is not known of all that were.
type Carry func(known, restored Row, fresh bool) time.Duration

// Indefinitely is the result of a Carry for a row that holds until the store has a row
// that replaces it.
const Indefinitely time.Duration = math.MaxInt64

// HeldRow is a row of an earlier era that holds in place of the store's row.
type HeldRow struct {
	Row Row `json:"row"`
	// ForMs is the time for which it still holds, in milliseconds, -1 for no limit.
	ForMs int64 `json:"for_ms"`
}

// heldRow is a HeldRow with the time at which it ends, zero for none.
type heldRow struct {
	row   Row
	until time.Time
}

func (h heldRow) export(now time.Time) HeldRow {
	if h.until.IsZero() {
		return HeldRow{h.row, -1}
	}
	return HeldRow{h.row, max(h.until.Sub(now).Milliseconds(), 0)}
}

// Restoration describes how a copy followed a store that came back from an older copy.
type Restoration struct {
	From, To Position
	// Held are the known rows that hold until their writers have written them again.
	Held []HeldRow
}

// current returns the store's row of a key, with Removed set if there is none. The
// caller holds mu.
func (c *Copy) current(key string) Row {
	if r, ok := c.rows[key]; ok {
		return r
	}
	return Row{Key: key, Version: c.version, Removed: true}
}

// effective returns the row of a key that holds. The caller holds mu.
func (c *Copy) effective(key string) Row {
	if h, ok := c.held[key]; ok {
		return h.row
	}
	return c.current(key)
}

// hold lets a known row hold in place of the store's, if the table's Carry says so. It
// reports whether it does. The caller holds mu.
func (c *Copy) hold(known Row, limit time.Duration, now time.Time) bool {
	if c.Carry == nil {
		return false
	}
	restored := c.current(known.Key)
	if known.Removed && restored.Removed {
		return false
	}
	fresh := !restored.Removed && restored.Version > c.base
	duration := min(c.Carry(known, restored, fresh), limit)
	if duration <= 0 {
		return false
	}
	h := heldRow{row: known}
	if duration != Indefinitely {
		h.until = now.Add(duration)
	}
	c.held[known.Key] = h
	return true
}

// release ends the hold of a row if a changed row of the store replaces it. It reports
// whether the store's row holds now. The caller holds mu.
func (c *Copy) release(changed Row) bool {
	h, ok := c.held[changed.Key]
	if !ok {
		return true
	}
	if c.Carry(h.row, changed, changed.Version > c.base) > 0 {
		return false
	}
	delete(c.held, changed.Key)
	return true
}

// restore replaces the copy by a snapshot of a later era. It returns the rows that
// hold now, with those that no longer do as removed. The caller holds mu.
func (c *Copy) restore(snapshot RowSet, now time.Time) ([]Row, *Restoration) {
	result := &Restoration{From: Position{c.era, c.version}, To: snapshot.Position()}
	known := c.removed()
	for key, r := range c.rows {
		known[key] = r
	}
	for key, h := range c.held {
		known[key] = h.row
	}
	c.era, c.version = snapshot.Era, snapshot.Version
	c.base = snapshot.Version
	if snapshot.Base > 0 {
		c.base = snapshot.Base
	}
	c.rows, c.held, c.tombstones = map[string]Row{}, map[string]heldRow{}, nil
	c.digest, c.droppedVersion = emptyDigest, 0
	c.merge(snapshot.Rows)
	for _, r := range known {
		if c.hold(r, Indefinitely, now) {
			result.Held = append(result.Held, c.held[r.Key].export(now))
		} else if _, listed := c.rows[r.Key]; !listed && r.Removed {
			// The copy from which the store comes back next may have the row.
			r.Version = c.version
			c.tombstones = append(c.tombstones, r)
		}
	}
	var rows []Row
	for key := range c.rows {
		rows = append(rows, c.effective(key))
	}
	for key, r := range known {
		if _, listed := c.rows[key]; !listed && !r.Removed {
			rows = append(rows, c.effective(key))
		}
	}
	sortRows(rows)
	if result.From.Era == 0 {
		return rows, nil // the copy was empty, or its source named no era
	}
	c.informed, c.returned = true, true
	return rows, result
}

// removed returns the rows that are known to have been removed, with their last values.
// The caller holds mu.
func (c *Copy) removed() map[string]Row {
	removed := map[string]Row{}
	for _, r := range c.tombstones {
		if _, listed := c.rows[r.Key]; listed {
			continue
		}
		if r.Value == nil {
			r.Value = removed[r.Key].Value
		}
		removed[r.Key] = r
	}
	return removed
}

// eraOf returns the era of a set. A router of an older release names none; once the store
// has come back, its rows may be those that the store has lost. The caller holds mu.
func (c *Copy) eraOf(set RowSet) int64 {
	if set.Era == 0 && !c.returned {
		return c.era
	}
	return set.Era
}

// isBehind reports whether a snapshot is older than the copy.
func (c *Copy) isBehind(snapshot RowSet) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Position{c.eraOf(snapshot), snapshot.Version}.Before(Position{c.era, c.version})
}

// lowerBase takes over the base of another router that read the table of this era sooner.
// The caller holds mu.
func (c *Copy) lowerBase(set RowSet) {
	if set.Base > 0 && set.Base < c.base {
		c.base = set.Base
	}
}

// adopt takes over the rows that another router holds and returns those that hold here
// now. A removal that this router knows outlasts a row whose removal the other one does
// not know.
func (c *Copy) adopt(held []HeldRow) []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	removed := c.removed()
	var rows []Row
	for _, h := range held {
		if _, ok := c.held[h.Row.Key]; ok {
			continue
		}
		if r, ok := removed[h.Row.Key]; ok && !h.Row.Removed && c.Carry != nil && c.Carry(r, h.Row, false) > 0 {
			continue
		}
		limit := Indefinitely
		if h.ForMs >= 0 {
			limit = time.Duration(min(h.ForMs, maxHoldMs)) * time.Millisecond
		}
		if c.hold(h.Row, limit, now) {
			rows = append(rows, h.Row)
		}
	}
	return rows
}

// informedAfter is the time after the start by which the operator and the workers have
// written again what the store had lost before.
const informedAfter = 30 * time.Second

// learn takes over the rows that a peer holds, or that it knows from an earlier era, and
// returns those that hold here now. It reports whether the peer is informed.
func (c *Copy) learn(set RowSet) (rows []Row, informed bool) {
	switch era := c.Position().Era; {
	case set.Era == 0 || set.Era > era: // a router of an older release, or one that is ahead
		return nil, false
	case set.Era < era:
		rows, informed = c.adoptEarlier(set), true
	default:
		rows, informed = c.adopt(set.Held), set.Informed
	}
	if informed {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.informed = true
	}
	return rows, informed
}

// maxHoldMs limits the time for which a row of another router is held, so that a larger
// one does not overflow.
const maxHoldMs = 24 * 60 * 60 * 1000

// adoptEarlier holds the rows that a router knows from an earlier era, as if this
// router had known them. It returns those that hold here now.
func (c *Copy) adoptEarlier(set RowSet) []Row {
	held, replaced := set.Held, map[string]bool{}
	for _, h := range set.Held {
		replaced[h.Row.Key] = true
	}
	for _, r := range set.Rows {
		if !replaced[r.Key] {
			held = append(held, HeldRow{r, -1})
		}
	}
	return c.adopt(held)
}

// dropExpired ends the holds whose time is over and returns the store's rows in their
// place.
func (c *Copy) dropExpired(now time.Time) []Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	var rows []Row
	for key, h := range c.held {
		if !h.until.IsZero() && !now.Before(h.until) {
			delete(c.held, key)
			current := c.current(key)
			rows = append(rows, current)
			if current.Removed {
				// Other routers, which may hold the row for longer, are not told.
				c.tombstones = append(c.tombstones, Row{Key: key, Value: h.row.Value, Removed: true})
			}
		}
	}
	sortRows(rows)
	return rows
}

// untilExpiry returns the time until a hold ends, Indefinitely if there is none.
func (c *Copy) untilExpiry(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := Indefinitely
	for _, h := range c.held {
		if !h.until.IsZero() {
			next = min(next, max(h.until.Sub(now), 0))
		}
	}
	return next
}

// heldRows returns the held rows for other routers. The caller holds mu.
func (c *Copy) heldRows(now time.Time) []HeldRow {
	var held []HeldRow
	for _, h := range c.held {
		held = append(held, h.export(now))
	}
	return held
}
