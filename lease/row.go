package lease

import "time"

// Outcome is the result of a write as its writer knows it.
type Outcome int

// Outcomes of a write.
const (
	// Applied: the write took effect.
	Applied Outcome = iota
	// NotApplied: the platform certainly did not carry out the write.
	NotApplied
	// Uncertain: the reply was lost; the write may have taken effect or may
	// still do so.
	Uncertain
	// Conflict: the row has another version than the write demanded. An
	// earlier attempt of the same write may be the reason.
	Conflict
)

// Write is a compare-and-set of the row of a resource.
type Write[R comparable] struct {
	Value R
	// IfVersion is the precondition, 0 for a row that does not exist.
	IfVersion int64
	// Sent is the time of the first attempt.
	Sent time.Time
}

// row is a copy of a row together with the write that is under way.
type row[R comparable] struct {
	value   R
	version int64
	known   bool // read or written at least once

	write      *Write[R]
	uncertain  bool // an attempt of write may still take effect
	conflicted bool // the row has to be read to learn the fate of write
	conflictAt time.Time
}

// begin starts a write on the version that was last seen.
func (r *row[R]) begin(now time.Time, value R) Write[R] {
	r.write = &Write[R]{Value: value, IfVersion: r.version, Sent: now}
	r.uncertain, r.conflicted = false, false
	return *r.write
}

// retry returns the pending write if it has to be sent again.
func (r *row[R]) retry() (Write[R], bool) {
	if r.write == nil || !r.uncertain || r.conflicted {
		return Write[R]{}, false
	}
	return *r.write, true
}

// readBack takes the result of a read that was sent at the given time. It
// returns the write that the read has shown to be applied, and whether the row
// is another one than before.
func (r *row[R]) readBack(sent time.Time, value R, version int64) (applied *Write[R], changed bool) {
	afterConflict := r.conflicted && !sent.Before(r.conflictAt)
	if r.known && version <= r.version && !afterConflict {
		return nil, false
	}
	if r.write != nil && (version > r.write.IfVersion || afterConflict) {
		if version > r.write.IfVersion && value == r.write.Value {
			applied = r.write
		}
		r.settle()
	}
	changed = !r.known || version != r.version
	r.value, r.version, r.known = value, version, true
	return applied, changed
}

// written takes the result of a write and reports whether it was applied by
// this attempt. Results of a write that is no longer pending are ignored.
func (r *row[R]) written(now time.Time, w Write[R], outcome Outcome, version int64) bool {
	if r.write == nil || *r.write != w {
		return false
	}
	switch outcome {
	case Applied:
		r.settle()
		r.value, r.version, r.known = w.Value, version, true
		return true
	case NotApplied:
		if !r.uncertain {
			r.settle()
		}
	case Uncertain:
		r.uncertain = true
	case Conflict:
		r.conflicted, r.conflictAt = true, now
	}
	return false
}

func (r *row[R]) settle() {
	r.write, r.uncertain, r.conflicted = nil, false, false
}

// needsRead reports whether only a read can tell the fate of the write.
func (r *row[R]) needsRead() bool {
	return !r.known || r.write != nil && (r.uncertain || r.conflicted)
}
