package lease

import "time"

// FencedRecord is the row of an order lease.
type FencedRecord struct {
	Holder      string `json:"holder,omitempty"` // empty after a release
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Token is the fencing token. It rises by one with each acquisition.
	Token uint64 `json:"token"`
	// Renewals counts the renewals under this token.
	Renewals uint64 `json:"renewals"`
	// ExpiresInMS is how long the lease lasts from this write on, in
	// milliseconds of any clock that has seen the write.
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// Encode returns the row's value.
func (r FencedRecord) Encode() []byte { return encode(r) }

// DecodeFencedRecord reads a row's value; an empty value is the zero record.
// Errors: *FormatError.
func DecodeFencedRecord(data []byte) (FencedRecord, error) { return decode[FencedRecord](data) }

// FencedLease is one router's part in the order lease of one upstream. The
// expiry needs no common clock: the holder counts from when it sent its last
// write, a contender from when it first read the row in its present version.
type FencedLease struct {
	cfg         Config
	self        string
	incarnation uint64
	row         row[FencedRecord]

	acquired time.Time // holder: when the last applied write was sent
	seen     time.Time // contender: when the present version was first seen
}

// NewFenced returns the part of the router self in an order lease whose row it
// has not read. cfg.Time is the time from a write to the expiry.
func NewFenced(cfg Config, self string, incarnation uint64) *FencedLease {
	return &FencedLease{cfg: cfg, self: self, incarnation: incarnation}
}

// Record returns the row as last seen and whether it has been read.
func (l *FencedLease) Record() (FencedRecord, bool) { return l.row.value, l.row.known }

// NeedsRead reports whether the row has to be read before anything else. A
// contender reads it now and then as well, to see renewals.
func (l *FencedLease) NeedsRead() bool { return l.row.needsRead() }

// HandleRead takes the row as read by a request sent at the given time.
func (l *FencedLease) HandleRead(sent, now time.Time, r FencedRecord, version int64) {
	applied, changed := l.row.readBack(sent, r, version)
	switch {
	case applied != nil:
		l.took(now, applied.Sent)
	case changed:
		l.acquired, l.seen = time.Time{}, now
	}
}

// HandleWrite takes the result of a write and the row's new version if applied.
func (l *FencedLease) HandleWrite(now time.Time, w Write[FencedRecord], outcome Outcome, version int64) {
	if l.row.written(now, w, outcome, version) {
		l.took(now, w.Sent)
	}
}

func (l *FencedLease) took(now, sent time.Time) {
	l.seen, l.acquired = now, time.Time{}
	if l.holds() {
		l.acquired = sent
	}
}

func (l *FencedLease) holds() bool {
	return l.row.value.Holder == l.self && l.row.value.Incarnation == l.incarnation
}

// Retry returns the write whose fate is open, to be sent again.
func (l *FencedLease) Retry() (Write[FencedRecord], bool) { return l.row.retry() }

// Token returns the fencing token of the row as last seen.
func (l *FencedLease) Token() uint64 { return l.row.value.Token }

// MayAct reports whether this router may send an order that takes at most the
// given time: the rest of the lease covers it.
func (l *FencedLease) MayAct(now time.Time, orderTimeout time.Duration) bool {
	if !l.holds() || l.releasing() || l.acquired.IsZero() {
		return false
	}
	return age(now, l.acquired) < l.cfg.usable()-orderTimeout
}

func (l *FencedLease) releasing() bool { return l.row.write != nil && l.row.write.Value.Holder == "" }

// Acquire returns the write that takes a lease which is free or expired. The
// token rises by one, also when this router held the lease before.
func (l *FencedLease) Acquire(now time.Time) (Write[FencedRecord], bool) {
	if !l.row.known || l.row.write != nil || l.MayAct(now, 0) || !l.free(now) {
		return Write[FencedRecord]{}, false
	}
	return l.row.begin(now, FencedRecord{
		Holder: l.self, Incarnation: l.incarnation, Token: l.row.value.Token + 1, ExpiresInMS: l.cfg.Duration.Milliseconds(),
	}), true
}

// free reports whether no order under the row as last seen can still take
// effect. This process knows that from its own clock. A predecessor under its
// ID may have left an order on the way, so its lease is waited out like that of
// any other router.
func (l *FencedLease) free(now time.Time) bool {
	r := l.row.value
	if r.Holder == "" || l.holds() {
		return true
	}
	return now.Sub(l.seen) >= time.Duration(r.ExpiresInMS)*time.Millisecond
}

// Renew returns the write that extends the lease under the same token.
func (l *FencedLease) Renew(now time.Time) (Write[FencedRecord], bool) {
	if l.row.write != nil || !l.MayAct(now, 0) {
		return Write[FencedRecord]{}, false
	}
	next := l.row.value
	next.Renewals++
	next.ExpiresInMS = l.cfg.Duration.Milliseconds()
	return l.row.begin(now, next), true
}

// Release returns the write that frees the lease. The caller has no order under
// way: the next holder need not wait for one. From now on MayAct is false
// unless the write turns out not to have been applied.
func (l *FencedLease) Release(now time.Time) (Write[FencedRecord], bool) {
	if l.row.write != nil || !l.holds() {
		return Write[FencedRecord]{}, false
	}
	return l.row.begin(now, FencedRecord{Token: l.row.value.Token}), true
}
