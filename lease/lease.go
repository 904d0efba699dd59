package lease

import (
	"strconv"
	"time"
)

// Config has the times of a lease. All routers of a domain use the same.
type Config struct {
	// Duration is how long a promise of a successor lasts. Default 10 s.
	Duration time.Duration
	// Margin is the share of Time by which a holder stops early, for clocks
	// that run at different rates. Default 0.05.
	Margin float64
}

// DefaultConfig returns the times of the design.
func DefaultConfig() Config { return Config{Duration: 10 * time.Second, Margin: 0.05} }

// usable is how long the holder may act after it sent a renewal.
func (c Config) usable() time.Duration {
	return time.Duration(float64(c.Duration) * (1 - c.Margin))
}

// Renewal is a request to the successor to promise not to take over.
type Renewal struct {
	Successor string
	Epoch     uint64
	Sent      time.Time
}

// Lease is one router's part in the slot lease of one worker.
type Lease struct {
	cfg         Config
	self        string
	incarnation uint64
	row         row[Record]

	renewed  time.Time // holder: when the last counting renewal was sent
	fresh    time.Time // holder: when the row was last known to be its own
	promised time.Time // successor: the last promise
	isolated bool
	// doubtful says that others may have counted this holder as gone (rule
	// 4). It then acts only for a lease time after each read of the row, and
	// writes the row to end the doubt.
	doubtful  bool
	adopting  bool      // the open write is an adoption
	notBefore time.Time // after an adoption: when the old holder has read the row
}

// New returns the part of the router self in a lease whose row it has not read.
func New(cfg Config, self string, incarnation uint64) *Lease {
	return &Lease{cfg: cfg, self: self, incarnation: incarnation}
}

// Record returns the row as last seen and whether it has been read.
func (l *Lease) Record() (Record, bool) { return l.row.value, l.row.known }

// RowAbsent reports whether the row was read and does not exist.
func (l *Lease) RowAbsent() bool { return l.row.known && l.row.version == 0 }

// Holds reports whether the row names this process as holder. The right to
// grant depends on MayGrant as well.
func (l *Lease) Holds() bool {
	return l.row.value.Holder == l.self && l.row.value.Incarnation == l.incarnation
}

// NeedsRead reports whether the row has to be read before anything else: it is
// not known, the fate of a write is open, or the holder's right depends on it.
func (l *Lease) NeedsRead(now time.Time) bool {
	if l.row.needsRead() {
		return true
	}
	if !l.Holds() || !(l.doubtful || l.row.value.Successor == "") {
		return false
	}
	return age(now, l.fresh) >= l.cfg.usable()/2
}

// HandleRead takes the row as read by a request that was sent at the given time.
// An absent row is the zero Record with version 0.
func (l *Lease) HandleRead(sent, now time.Time, r Record, version int64) {
	applied, changed := l.row.readBack(sent, r, version)
	if applied != nil {
		l.took(now, applied.Sent)
		return
	}
	if changed {
		l.renewed, l.fresh = time.Time{}, time.Time{}
		l.promised = now
		l.doubtful = l.isolated
	}
	if l.Holds() && version == l.row.version {
		l.doubtful = l.doubtful || !changed && l.lapsed(sent)
		l.fresh = later(l.fresh, sent)
	}
}

// lapsed reports whether the holder had no right to act for so long before the
// given time that others may be about to adopt the lease.
func (l *Lease) lapsed(at time.Time) bool {
	return age(at, later(l.renewed, l.fresh)) >= OrphanTimeout/2
}

// HandleWrite takes the result of a write and the row's new version if applied.
// After Conflict the row has to be read.
func (l *Lease) HandleWrite(now time.Time, w Write[Record], outcome Outcome, version int64) {
	if l.row.written(now, w, outcome, version) {
		l.took(now, w.Sent)
	}
}

// took starts the times of a row that this process wrote at the given time. A
// holder may act from then on as after a renewal: nobody can take over before
// the new successor has read the row and waited a whole lease time.
func (l *Lease) took(now, sent time.Time) {
	l.renewed, l.fresh = time.Time{}, time.Time{}
	l.promised = now
	l.doubtful = l.isolated
	if l.Holds() {
		l.renewed, l.fresh = sent, sent
		if l.adopting {
			l.notBefore = now.Add(l.cfg.Duration)
		}
	}
}

// Retry returns the write whose fate is open, to be sent again.
func (l *Lease) Retry() (Write[Record], bool) { return l.row.retry() }

// WritePending reports whether the fate of a write is open.
func (l *Lease) WritePending() bool { return l.row.write != nil }

// MayGrant reports whether this router may grant the worker's slots now.
func (l *Lease) MayGrant(now time.Time) bool {
	if !l.Holds() || l.handingOver() || now.Before(l.notBefore) {
		return false
	}
	usable := l.cfg.usable()
	if l.row.value.Successor == "" {
		return age(now, l.fresh) < usable
	}
	if l.doubtful && age(now, l.fresh) >= usable {
		return false
	}
	return age(now, l.renewed) < usable
}

// GrantUntil returns the time at which MayGrant ends unless it is extended.
func (l *Lease) GrantUntil() time.Time {
	last := l.renewed
	if l.row.value.Successor == "" || l.doubtful && l.fresh.Before(last) {
		last = l.fresh
	}
	return last.Add(l.cfg.usable())
}

func (l *Lease) handingOver() bool {
	return l.row.write != nil && (l.row.write.Value.Holder != l.self || l.row.write.Value.Incarnation != l.incarnation)
}

// Tick is called by the holder's loop at each turn. Without a successor it
// keeps the right to grant alive; after a pause longer than the usable lease
// time the row has to be read first. While a write is open, it may already have
// named a successor who counts down to a take-over, so the right runs out.
func (l *Lease) Tick(now time.Time) {
	alone := l.Holds() && l.row.value.Successor == "" && !l.doubtful && l.row.write == nil
	if alone && age(now, l.fresh) < l.cfg.usable() {
		l.fresh = now
	}
}

// SetIsolated records whether the holder has heard from no router of its
// domain except its successor for a while although others are listed as live.
// While isolated, and until it has written the row after that, it grants only
// for a lease time after each read of the row.
func (l *Lease) SetIsolated(isolated bool) {
	l.isolated = isolated
	l.doubtful = l.doubtful || isolated
}

// Reconfirm returns the write with which a holder ends the doubt whether its
// lease was adopted while it was paused or cut off. If it is applied, nobody
// has adopted the lease, and an adoption that is still under way will fail.
func (l *Lease) Reconfirm(now time.Time) (Write[Record], bool) {
	if !l.Holds() || !l.doubtful || l.isolated || l.row.write != nil {
		return Write[Record]{}, false
	}
	return l.begin(now, l.self, l.incarnation, l.row.value.Successor), true
}

// Renewal returns the renewal to send to the successor now.
func (l *Lease) Renewal(now time.Time) (Renewal, bool) {
	if !l.Holds() || l.row.value.Successor == "" || l.row.write != nil {
		return Renewal{}, false
	}
	return Renewal{Successor: l.row.value.Successor, Epoch: l.row.value.Epoch, Sent: now}, true
}

// HandleRenewReply takes the successor's answer. A promise counts from the time
// the renewal was sent, only for the present epoch, and not when it was sent
// after a write whose fate is open: that write may have named another one.
func (l *Lease) HandleRenewReply(r Renewal, promised bool) {
	current := l.Holds() && l.row.value.Epoch == r.Epoch && l.row.value.Successor == r.Successor
	if !promised || !current {
		return
	}
	if l.row.write != nil && r.Sent.After(l.row.write.Sent) {
		return
	}
	l.doubtful = l.doubtful || l.lapsed(r.Sent)
	l.renewed = later(l.renewed, r.Sent)
}

// Promise answers a holder's renewal. False means that this router is not the
// successor in the row as it knows it, or is taking over; the caller reads the
// row and asks again when Behind.
func (l *Lease) Promise(now time.Time, holder string, incarnation, epoch uint64) bool {
	r := l.row.value
	named := r.Holder == holder && r.Incarnation == incarnation && r.Epoch == epoch && r.Successor == l.self
	if !named || l.row.write != nil {
		return false
	}
	l.promised = now
	return true
}

// IsStale reports whether a message with the given epoch shows that the row has
// changed since it was read.
func (l *Lease) IsStale(epoch uint64) bool { return !l.row.known || epoch > l.row.value.Epoch }

// MayTakeOver reports whether this router is the named successor and its last
// promise has expired. Reading a new row counts as a promise, because the
// holder may act for a lease time on the write itself or on the promises of
// the successor before. A restarted successor reads the row anew, so it waits
// out the promises that it no longer remembers. A restarted holder need not
// wait: its predecessor can no longer act.
func (l *Lease) MayTakeOver(now time.Time) bool {
	if !l.row.known || l.row.write != nil || l.Holds() {
		return false
	}
	if l.row.value.Holder == l.self {
		return true
	}
	return l.row.value.Successor == l.self && now.Sub(l.promised) >= l.cfg.Duration
}

// Create returns the write that makes this router the first holder.
func (l *Lease) Create(now time.Time, successor string) (Write[Record], bool) {
	if !l.RowAbsent() || l.row.write != nil {
		return Write[Record]{}, false
	}
	return l.begin(now, l.self, l.incarnation, successor), true
}

// TakeOver returns the write that makes this router the holder when
// MayTakeOver.
func (l *Lease) TakeOver(now time.Time, successor string) (Write[Record], bool) {
	if !l.MayTakeOver(now) {
		return Write[Record]{}, false
	}
	return l.begin(now, l.self, l.incarnation, successor), true
}

// Adopt returns the write that makes this router the holder of a row whose
// holder and successor are both gone, as shown by the evidence. It grants only
// a lease time after the write, in case they are not: a holder that is back may
// have read the row just before. The row must have been the same for as long as
// the silence, because a new row shows that its writer was alive.
func (l *Lease) Adopt(now time.Time, successor string, e Evidence) (Write[Record], bool) {
	if !l.row.known || l.row.write != nil || l.Holds() {
		return Write[Record]{}, false
	}
	same := now.Sub(l.promised)
	e.HolderSilence, e.SuccessorSilence = min(e.HolderSilence, same), min(e.SuccessorSilence, same)
	if !Orphaned(e) {
		return Write[Record]{}, false
	}
	w := l.begin(now, l.self, l.incarnation, successor)
	l.adopting = true
	return w, true
}

// NameSuccessor returns the write with which the holder names another
// successor, empty for none.
func (l *Lease) NameSuccessor(now time.Time, successor string) (Write[Record], bool) {
	if !l.Holds() || l.row.write != nil || l.row.value.Successor == successor || successor == l.self {
		return Write[Record]{}, false
	}
	return l.begin(now, l.self, l.incarnation, successor), true
}

// HandOver returns the write that passes the lease to another router. From now
// on this router does not grant unless the write turns out not to have been
// applied.
func (l *Lease) HandOver(now time.Time, holder string, incarnation uint64, successor string) (Write[Record], bool) {
	if !l.Holds() || l.row.write != nil || holder == l.self || holder == "" {
		return Write[Record]{}, false
	}
	return l.begin(now, holder, incarnation, successor), true
}

func (l *Lease) begin(now time.Time, holder string, incarnation uint64, successor string) Write[Record] {
	next := Record{Holder: holder, Incarnation: incarnation, Successor: successor, Epoch: l.row.value.Epoch + 1}
	l.adopting = false
	next.By = l.self + "/" + strconv.FormatUint(l.incarnation, 36)
	return l.row.begin(now, next)
}

// age is the time since t, zero time being infinitely long ago. It is the
// greater of the monotonic and the wall clock's difference: one of the two may
// stand still while a VM is suspended.
func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 1<<63 - 1
	}
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
