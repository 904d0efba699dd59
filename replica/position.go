package replica

import "cmp"

// Position is a point in the history of a store. A store that comes back from an
// older copy begins a new era, in which it gives out versions again.
type Position struct {
	Era     int64 // counts from 1; 0 for a source that names none
	Version int64
}

// Compare returns a negative number if p is before q, a positive one if it is after q,
// and otherwise 0.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Position returns the position up to which a row set includes all changes.
func (s RowSet) Position() Position { return Position{s.Era, s.Version} }
