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
	// Uncertain: the reply was lost. The write may have taken effect or may
	// still do so.
	Uncertain
	// Conflict: the row has another version than the write requires, possibly
	// because an earlier attempt of the same write was applied.
	Conflict
)

// Write is a compare-and-set of a resource's row.
type Write[R comparable] struct {
	Value R
	// IfVersion is the precondition, 0 for a row that does not exist.
	IfVersion int64
	// Sent is the time of the first attempt.
	Sent time.Time
}

// row is a local copy of a row, with the write that is pending.
type row[R comparable] struct {
	value   R
	version int64
	known   bool // read or written at least once

	pendingWrite  *Write[R]
	mayStillApply bool // an attempt of pendingWrite may still take effect
	conflicted    bool // the row has to be read to learn the outcome of pendingWrite
	conflictedAt  time.Time
}

// beginWrite starts a write on top of the version that was last seen.
func (r *row[R]) beginWrite(now time.Time, value R) Write[R] {
	r.pendingWrite = &Write[R]{Value: value, IfVersion: r.version, Sent: now}
	r.mayStillApply, r.conflicted = false, false
	return *r.pendingWrite
}

// retry returns the pending write if it has to be sent again.
func (r *row[R]) retry() (Write[R], bool) {
	if r.pendingWrite == nil || !r.mayStillApply || r.conflicted {
		return Write[R]{}, false
	}
	return *r.pendingWrite, true
}

// applyRead processes the result of a read that was sent at the given time. It
// returns the write that the read has shown to be applied, and whether the row
// has changed.
func (r *row[R]) applyRead(sent time.Time, value R, version int64) (applied *Write[R], changed bool) {
	afterConflict := r.conflicted && !sent.Before(r.conflictedAt)
	if r.known && version <= r.version && !afterConflict {
		return nil, false
	}
	if r.pendingWrite != nil && (version > r.pendingWrite.IfVersion || afterConflict) {
		if version > r.pendingWrite.IfVersion && value == r.pendingWrite.Value {
			applied = r.pendingWrite
		}
		r.clearWrite()
	}
	changed = !r.known || version != r.version
	r.value, r.version, r.known = value, version, true
	return applied, changed
}

// applyWriteResult processes the outcome of a write and reports whether this
// attempt applied it. Results of a write that is no longer pending are ignored.
func (r *row[R]) applyWriteResult(now time.Time, w Write[R], outcome Outcome, version int64) bool {
	if r.pendingWrite == nil || *r.pendingWrite != w {
		return false
	}
	switch outcome {
	case Applied:
		r.clearWrite()
		r.value, r.version, r.known = w.Value, version, true
		return true
	case NotApplied:
		if !r.mayStillApply {
			r.clearWrite()
		}
	case Uncertain:
		r.mayStillApply = true
	case Conflict:
		r.conflicted, r.conflictedAt = true, now
	}
	return false
}

func (r *row[R]) clearWrite() {
	r.pendingWrite, r.mayStillApply, r.conflicted = nil, false, false
}

// needsRead reports whether the row was never read, or only a read can reveal the
// outcome of the write.
func (r *row[R]) needsRead() bool {
	return !r.known || r.pendingWrite != nil && (r.mayStillApply || r.conflicted)
}
