package lease

import "time"

// FencedRecord is the value of an order lease's row in the platform's table.
type FencedRecord struct {
	Holder      string `json:"holder,omitempty"` // empty after a release
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Token is the fencing token. It increases by one with each acquisition.
	Token uint64 `json:"token"`
	// Renewals counts the renewals under this fencing token.
	Renewals uint64 `json:"renewals"`
	// ExpiresInMS is how long the lease lasts after this write, in
	// milliseconds, on the clock of any process that has seen the write.
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// Encode returns the row's value.
func (r FencedRecord) Encode() []byte { return encode(r) }

// DecodeFencedRecord decodes a row's value. An empty value is the zero record.
// Errors: *FormatError.
func DecodeFencedRecord(data []byte) (FencedRecord, error) { return decode[FencedRecord](data) }

// FencedLease is one router's state of the order lease of one upstream. The
// expiry needs no common clock: the holder counts from when it sent its last
// write, a contender from when it first read the current version of the row.
type FencedLease struct {
	cfg         Config
	self        string
	incarnation uint64
	row         row[FencedRecord]

	writeSentAt   time.Time // holder: when the last applied write was sent
	versionSeenAt time.Time // contender: when the current version was first seen
}

// NewFenced returns the state for the router self in an order lease whose row
// it has not read. cfg.Duration is the time from a write to the expiry.
func NewFenced(cfg Config, self string, incarnation uint64) *FencedLease {
	return &FencedLease{cfg: cfg, self: self, incarnation: incarnation}
}

// Record returns the row as last seen, and whether it has been read.
func (l *FencedLease) Record() (FencedRecord, bool) { return l.row.value, l.row.known }

// NeedsRead reports whether the row has to be read before anything else. A
// contender must also read it from time to time, to see renewals.
func (l *FencedLease) NeedsRead() bool { return l.row.needsRead() }

// HandleRead processes the row as read by a request that was sent at the given
// time.
func (l *FencedLease) HandleRead(sent, now time.Time, r FencedRecord, version int64) {
	applied, changed := l.row.applyRead(sent, r, version)
	switch {
	case applied != nil:
		l.ownWriteApplied(now, applied.Sent)
	case changed:
		l.writeSentAt, l.versionSeenAt = time.Time{}, now
	}
}

// HandleWrite processes the outcome of a write, with the row's new version if
// it was applied.
func (l *FencedLease) HandleWrite(now time.Time, w Write[FencedRecord], outcome Outcome, version int64) {
	if l.row.applyWriteResult(now, w, outcome, version) {
		l.ownWriteApplied(now, w.Sent)
	}
}

func (l *FencedLease) ownWriteApplied(now, sent time.Time) {
	l.versionSeenAt, l.writeSentAt = now, time.Time{}
	if l.holds() {
		l.writeSentAt = sent
	}
}

func (l *FencedLease) holds() bool {
	return l.row.value.Holder == l.self && l.row.value.Incarnation == l.incarnation
}

// Retry returns the pending write if its outcome is unknown, to be sent again.
func (l *FencedLease) Retry() (Write[FencedRecord], bool) { return l.row.retry() }

// Token returns the fencing token of the row as last seen.
func (l *FencedLease) Token() uint64 { return l.row.value.Token }

// MayAct reports whether this router may send an order that takes at most
// orderTimeout: the lease remains valid for longer than that.
func (l *FencedLease) MayAct(now time.Time, orderTimeout time.Duration) bool {
	if !l.holds() || l.releasing() || l.writeSentAt.IsZero() {
		return false
	}
	return elapsed(now, l.writeSentAt) < l.cfg.usableDuration()-orderTimeout
}

func (l *FencedLease) releasing() bool {
	return l.row.pendingWrite != nil && l.row.pendingWrite.Value.Holder == ""
}

// Acquire returns the write that acquires a free or expired lease. The fencing
// token increases by one, even if this router held the lease before.
func (l *FencedLease) Acquire(now time.Time) (Write[FencedRecord], bool) {
	if !l.row.known || l.row.pendingWrite != nil || l.MayAct(now, 0) || !l.isFree(now) {
		return Write[FencedRecord]{}, false
	}
	return l.row.beginWrite(now, FencedRecord{
		Holder: l.self, Incarnation: l.incarnation, Token: l.row.value.Token + 1, ExpiresInMS: l.cfg.Duration.Milliseconds(),
	}), true
}

// isFree reports whether no order sent under the row as last seen can still
// take effect. For its own orders, this process knows that from its own clock.
// An earlier process with the same router ID may have left an order in flight,
// so its lease must expire like the lease of any other router.
func (l *FencedLease) isFree(now time.Time) bool {
	r := l.row.value
	if r.Holder == "" || l.holds() {
		return true
	}
	return now.Sub(l.versionSeenAt) >= time.Duration(r.ExpiresInMS)*time.Millisecond
}

// Renew returns the write that extends the lease under the same fencing token.
func (l *FencedLease) Renew(now time.Time) (Write[FencedRecord], bool) {
	if l.row.pendingWrite != nil || !l.MayAct(now, 0) {
		return Write[FencedRecord]{}, false
	}
	next := l.row.value
	next.Renewals++
	next.ExpiresInMS = l.cfg.Duration.Milliseconds()
	return l.row.beginWrite(now, next), true
}

// Release returns the write that frees the lease. The caller must have no order
// in flight, because the next holder does not wait for one. From now on MayAct
// is false, unless the write turns out not to have been applied.
func (l *FencedLease) Release(now time.Time) (Write[FencedRecord], bool) {
	if l.row.pendingWrite != nil || !l.holds() {
		return Write[FencedRecord]{}, false
	}
	return l.row.beginWrite(now, FencedRecord{Token: l.row.value.Token}), true
}
