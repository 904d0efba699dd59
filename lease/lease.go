package lease

import (
	"strconv"
	"time"
)

// Config configures a lease. All routers of a failure domain must use the same
// values.
type Config struct {
	// Duration is how long a promise of a successor is valid. Default 10 s.
	Duration time.Duration
	// Margin is the fraction of Duration by which a holder stops early, because
	// clocks run at different rates. Default 0.05.
	Margin float64
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config { return Config{Duration: 10 * time.Second, Margin: 0.05} }

// usableDuration is how long the holder may act after it sent a renewal.
func (c Config) usableDuration() time.Duration {
	return time.Duration(float64(c.Duration) * (1 - c.Margin))
}

// Renewal asks the successor to promise not to take over for one lease duration.
type Renewal struct {
	Successor string
	Epoch     uint64
	Sent      time.Time
}

// Lease is one router's state of the slot lease of one worker.
type Lease struct {
	cfg         Config
	self        string
	incarnation uint64
	row         row[Record]

	renewedAt   time.Time // holder: when the last renewal that the successor promised was sent
	confirmedAt time.Time // holder: when the row was last known to name this process
	promisedAt  time.Time // successor: when it last made a promise
	isolated    bool
	// unconfirmed reports that other routers may have counted this holder as
	// gone and adopted the lease. The holder then acts only for one lease
	// duration after each read of the row, and writes the row to reconfirm the
	// lease.
	unconfirmed    bool
	adopting       bool      // the pending write is an adoption
	grantNotBefore time.Time // after an adoption: by then the previous holder must have read the row again
}

// New returns the state for the router self in a lease whose row it has not
// read.
func New(cfg Config, self string, incarnation uint64) *Lease {
	return &Lease{cfg: cfg, self: self, incarnation: incarnation}
}

// Record returns the row as last seen, and whether it has been read.
func (l *Lease) Record() (Record, bool) { return l.row.value, l.row.known }

// RowAbsent reports whether the row was read and does not exist.
func (l *Lease) RowAbsent() bool { return l.row.known && l.row.version == 0 }

// Holds reports whether the row names this process as holder. To grant slots,
// MayGrant must be true as well.
func (l *Lease) Holds() bool {
	return l.row.value.Holder == l.self && l.row.value.Incarnation == l.incarnation
}

// NeedsRead reports whether the row has to be read before anything else: it is
// not known, the outcome of a write is unknown, or the holder may grant only
// for a limited time after a read.
func (l *Lease) NeedsRead(now time.Time) bool {
	if l.row.needsRead() {
		return true
	}
	if !l.Holds() || !(l.unconfirmed || l.row.value.Successor == "") {
		return false
	}
	return elapsed(now, l.confirmedAt) >= l.cfg.usableDuration()/2
}

// HandleRead processes the row as read by a request that was sent at the given
// time. An absent row is the zero Record with version 0.
func (l *Lease) HandleRead(sent, now time.Time, r Record, version int64) {
	applied, changed := l.row.applyRead(sent, r, version)
	if applied != nil {
		l.ownWriteApplied(now, applied.Sent)
		return
	}
	if changed {
		l.renewedAt, l.confirmedAt = time.Time{}, time.Time{}
		l.promisedAt = now
		l.unconfirmed = l.isolated
	}
	if l.Holds() && version == l.row.version {
		l.unconfirmed = l.unconfirmed || !changed && l.lapsed(sent)
		l.confirmedAt = latest(l.confirmedAt, sent)
	}
}

// lapsed reports whether, at the given time, the last renewal or confirmation was
// so long ago that other routers may be about to adopt the lease.
func (l *Lease) lapsed(at time.Time) bool {
	return elapsed(at, latest(l.renewedAt, l.confirmedAt)) >= OrphanTimeout/2
}

// HandleWrite processes the outcome of a write, with the row's new version if
// it was applied. After Conflict the row has to be read.
func (l *Lease) HandleWrite(now time.Time, w Write[Record], outcome Outcome, version int64) {
	if l.row.applyWriteResult(now, w, outcome, version) {
		l.ownWriteApplied(now, w.Sent)
	}
}

// ownWriteApplied resets the times after a write of this process, sent at the
// given time, was applied. A holder may act from then on as after a renewal,
// because nobody can take over before the new successor has read the row and
// waited a whole lease duration.
func (l *Lease) ownWriteApplied(now, sent time.Time) {
	l.renewedAt, l.confirmedAt = time.Time{}, time.Time{}
	l.promisedAt = now
	l.unconfirmed = l.isolated
	if l.Holds() {
		l.renewedAt, l.confirmedAt = sent, sent
		if l.adopting {
			l.grantNotBefore = now.Add(l.cfg.Duration)
		}
	}
}

// Retry returns the pending write if its outcome is unknown, to be sent again.
func (l *Lease) Retry() (Write[Record], bool) { return l.row.retry() }

// WritePending reports whether a write is pending.
func (l *Lease) WritePending() bool { return l.row.pendingWrite != nil }

// MayGrant reports whether this router may grant the worker's slots now.
func (l *Lease) MayGrant(now time.Time) bool {
	if !l.Holds() || l.handingOver() || now.Before(l.grantNotBefore) {
		return false
	}
	usable := l.cfg.usableDuration()
	if l.row.value.Successor == "" {
		return elapsed(now, l.confirmedAt) < usable
	}
	if l.unconfirmed && elapsed(now, l.confirmedAt) >= usable {
		return false
	}
	return elapsed(now, l.renewedAt) < usable
}

// GrantUntil returns the time at which MayGrant becomes false unless it is
// extended.
func (l *Lease) GrantUntil() time.Time {
	last := l.renewedAt
	if l.row.value.Successor == "" || l.unconfirmed && l.confirmedAt.Before(last) {
		last = l.confirmedAt
	}
	return last.Add(l.cfg.usableDuration())
}

func (l *Lease) handingOver() bool {
	return l.row.pendingWrite != nil && (l.row.pendingWrite.Value.Holder != l.self || l.row.pendingWrite.Value.Incarnation != l.incarnation)
}

// Tick must be called in each round of the holder's loop. Without a successor
// it extends the right to grant; after a pause longer than the usable lease
// duration the row has to be read first. While a write is pending, the right to
// grant runs out, because the write may already have named a successor that is
// waiting to take over.
func (l *Lease) Tick(now time.Time) {
	alone := l.Holds() && l.row.value.Successor == "" && !l.unconfirmed && l.row.pendingWrite == nil
	if alone && elapsed(now, l.confirmedAt) < l.cfg.usableDuration() {
		l.confirmedAt = now
	}
}

// SetIsolated records whether the holder has heard from no router of its
// failure domain except its successor for a while, although others are listed
// as live. While isolated, and until it has written the row after that, it
// grants only for one lease duration after each read of the row.
func (l *Lease) SetIsolated(isolated bool) {
	l.isolated = isolated
	l.unconfirmed = l.unconfirmed || isolated
}

// Reconfirm returns the write by which a holder checks that its lease was not
// adopted while it was paused or cut off. If the write is applied, nobody has
// adopted the lease, and an adoption that is still in progress will fail.
func (l *Lease) Reconfirm(now time.Time) (Write[Record], bool) {
	if !l.Holds() || !l.unconfirmed || l.isolated || l.row.pendingWrite != nil {
		return Write[Record]{}, false
	}
	return l.beginWrite(now, l.self, l.incarnation, l.row.value.Successor), true
}

// Renewal returns the renewal to send to the successor now.
func (l *Lease) Renewal(now time.Time) (Renewal, bool) {
	if !l.Holds() || l.row.value.Successor == "" || l.row.pendingWrite != nil {
		return Renewal{}, false
	}
	return Renewal{Successor: l.row.value.Successor, Epoch: l.row.value.Epoch, Sent: now}, true
}

// HandleRenewReply processes the successor's reply. A promise is valid from the
// time at which the renewal was sent, and only for the current epoch. It is
// ignored if the renewal was sent after a write that is still pending, because
// that write may have named another successor.
func (l *Lease) HandleRenewReply(r Renewal, promised bool) {
	current := l.Holds() && l.row.value.Epoch == r.Epoch && l.row.value.Successor == r.Successor
	if !promised || !current {
		return
	}
	if l.row.pendingWrite != nil && r.Sent.After(l.row.pendingWrite.Sent) {
		return
	}
	l.unconfirmed = l.unconfirmed || l.lapsed(r.Sent)
	l.renewedAt = latest(l.renewedAt, r.Sent)
}

// Promise handles a holder's renewal. It returns false if this router is not
// the successor in the row as it knows it, or is taking over. If IsStale, the
// caller should read the row and ask again.
func (l *Lease) Promise(now time.Time, holder string, incarnation, epoch uint64) bool {
	r := l.row.value
	named := r.Holder == holder && r.Incarnation == incarnation && r.Epoch == epoch && r.Successor == l.self
	if !named || l.row.pendingWrite != nil {
		return false
	}
	l.promisedAt = now
	return true
}

// IsStale reports whether a message with the given epoch shows that the row has
// changed since it was read.
func (l *Lease) IsStale(epoch uint64) bool { return !l.row.known || epoch > l.row.value.Epoch }

// MayTakeOver reports whether this router is the named successor and its last
// promise has expired. Reading a new row counts as a promise, because the
// holder may act for one lease duration on the write itself or on the promises
// of the previous successor. A restarted successor reads the row again, so it
// waits until the promises that it no longer remembers have expired. A
// restarted holder need not wait, because the earlier process can no longer
// act.
func (l *Lease) MayTakeOver(now time.Time) bool {
	if !l.row.known || l.row.pendingWrite != nil || l.Holds() {
		return false
	}
	if l.row.value.Holder == l.self {
		return true
	}
	return l.row.value.Successor == l.self && now.Sub(l.promisedAt) >= l.cfg.Duration
}

// Create returns the write that creates the row with this router as the first
// holder.
func (l *Lease) Create(now time.Time, successor string) (Write[Record], bool) {
	if !l.RowAbsent() || l.row.pendingWrite != nil {
		return Write[Record]{}, false
	}
	return l.beginWrite(now, l.self, l.incarnation, successor), true
}

// TakeOver returns the write that makes this router the holder if MayTakeOver
// is true.
func (l *Lease) TakeOver(now time.Time, successor string) (Write[Record], bool) {
	if !l.MayTakeOver(now) {
		return Write[Record]{}, false
	}
	return l.beginWrite(now, l.self, l.incarnation, successor), true
}

// Adopt returns the write that makes this router the holder of a row whose
// holder and successor are both gone according to the evidence. This router
// grants only after one lease duration from the write, in case they are not
// gone: a holder that is reachable again may have read the row just before. The
// row must have been unchanged for as long as the routers were silent, because a
// changed row shows that its writer was alive.
func (l *Lease) Adopt(now time.Time, successor string, evidence Evidence) (Write[Record], bool) {
	if !l.row.known || l.row.pendingWrite != nil || l.Holds() {
		return Write[Record]{}, false
	}
	unchangedFor := now.Sub(l.promisedAt)
	evidence.HolderSilence, evidence.SuccessorSilence = min(evidence.HolderSilence, unchangedFor), min(evidence.SuccessorSilence, unchangedFor)
	if !Orphaned(evidence) {
		return Write[Record]{}, false
	}
	w := l.beginWrite(now, l.self, l.incarnation, successor)
	l.adopting = true
	return w, true
}

// NameSuccessor returns the write with which the holder names another
// successor, empty for none.
func (l *Lease) NameSuccessor(now time.Time, successor string) (Write[Record], bool) {
	if !l.Holds() || l.row.pendingWrite != nil || l.row.value.Successor == successor || successor == l.self {
		return Write[Record]{}, false
	}
	return l.beginWrite(now, l.self, l.incarnation, successor), true
}

// HandOver returns the write that hands the lease over to another router. From
// now on this router does not grant, unless the write turns out not to have
// been applied.
func (l *Lease) HandOver(now time.Time, holder string, incarnation uint64, successor string) (Write[Record], bool) {
	if !l.Holds() || l.row.pendingWrite != nil || holder == l.self || holder == "" {
		return Write[Record]{}, false
	}
	return l.beginWrite(now, holder, incarnation, successor), true
}

func (l *Lease) beginWrite(now time.Time, holder string, incarnation uint64, successor string) Write[Record] {
	next := Record{Holder: holder, Incarnation: incarnation, Successor: successor, Epoch: l.row.value.Epoch + 1}
	l.adopting = false
	next.By = l.self + "/" + strconv.FormatUint(l.incarnation, 36)
	return l.row.beginWrite(now, next)
}

// elapsed returns the time since t, the maximum duration if t is zero. It is
// the greater of the differences on the monotonic and the wall clock, because
// one of the two may stand still while a VM is suspended.
func elapsed(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 1<<63 - 1
	}
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
