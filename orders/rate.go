package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/store"
)

// RateLimitKey is the key of the row that all routers share.
const RateLimitKey = "weights/rate"

// maxRateBytes bounds the size of the row. 600 entries, which the maximum of
// weight_loads_per_minute allows, take about 48 KB.
const maxRateBytes = 128 << 10

// RateLimiterConfig configures a RateLimiter. Zero values take the defaults.
type RateLimiterConfig struct {
	// Owner identifies this process, including its incarnation. Required.
	Owner string
	// PerWindow is the maximum number of tokens that all routers together use
	// in any window. Default 6.
	PerWindow int
	// Window is the period that the limit applies to. Default 1 min.
	Window time.Duration
	// UseWithin is the time from the write of a reservation within which the
	// use of its tokens must take effect. Default 10 s.
	UseWithin time.Duration
	// Margin is the fraction by which an entry is kept longer, to allow for
	// clocks that run at different rates. Default 0.05.
	Margin float64
	// Now returns the current time. Required.
	Now func() time.Time
}

// Reservation is an entry of the row: tokens that one router has reserved.
type Reservation struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
	// ExpiresInMS is how long the entry still counts against the limit, in
	// milliseconds from the row's last write on. A router can measure that time
	// with its own clock from when it read the row.
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// RateRecord is the value of the row.
type RateRecord struct {
	Reservations []Reservation `json:"reservations"`
}

// FormatError is returned if the row's value is not a RateRecord.
type FormatError struct{ Err error }

func (e *FormatError) Error() string {
	return fmt.Sprintf("orders: the value of row %s is not a rate record: %v; stop model loads for a minute and delete the row", RateLimitKey, e.Err)
}

func (e *FormatError) Unwrap() error { return e.Err }

// DecodeRateRecord decodes the row's value; an empty value gives the zero
// record. Errors: *FormatError.
func DecodeRateRecord(data []byte) (RateRecord, error) {
	var r RateRecord
	if len(data) == 0 {
		return r, nil
	}
	if len(data) > maxRateBytes {
		return r, &FormatError{fmt.Errorf("longer than %d bytes", maxRateBytes)}
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return RateRecord{}, &FormatError{err}
	}
	for _, e := range r.Reservations {
		if e.Count <= 0 || e.ExpiresInMS < 0 {
			return RateRecord{}, &FormatError{errors.New("an entry has no tokens or a negative expiry")}
		}
	}
	return r, nil
}

// RateLimiter enforces the shared rate limit in one router.
type RateLimiter struct {
	cfg RateLimiterConfig

	mu        sync.Mutex // lock level 90, see internal/core/lockorder.go
	reserving bool       // a call of Reserve is in progress
	serial    uint64
	version   int64
	entries   []entry
	pending   []grant // reservations whose write has an unknown outcome
	granted   []grant
}

// entry is a reservation in the row as last seen.
type entry struct {
	id        string
	count     int
	expiresAt time.Time // by this router's clock
}

// grant is a reservation of this router.
type grant struct {
	id        string
	count     int
	sent      time.Time
	ifVersion int64
}

// NewRateLimiter returns a rate limiter without tokens. It panics if Now or
// Owner is not set.
func NewRateLimiter(cfg RateLimiterConfig) *RateLimiter {
	if cfg.Now == nil || cfg.Owner == "" {
		panic("orders: RateLimiterConfig.Now and Owner are required")
	}
	if cfg.PerWindow == 0 {
		cfg.PerWindow = 6
	}
	if cfg.Window == 0 {
		cfg.Window = time.Minute
	}
	if cfg.UseWithin == 0 {
		cfg.UseWithin = 10 * time.Second
	}
	if cfg.Margin == 0 {
		cfg.Margin = 0.05
	}
	return &RateLimiter{cfg: cfg}
}

// RateToken permits one model load.
type RateToken struct {
	sent      time.Time
	useWithin time.Duration
}

// Usable reports whether a use that takes effect within useTime may start now.
func (t RateToken) Usable(now time.Time, useTime time.Duration) bool {
	return elapsed(now, t.sent)+useTime <= t.useWithin
}

// elapsed returns the longer of the times that the monotonic clock and the wall
// clock show, since the monotonic clock may stop while a VM is suspended.
func elapsed(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// Take returns a token for a use that takes effect within useTime. It returns
// false if there is none.
func (r *RateLimiter) Take(now time.Time, useTime time.Duration) (RateToken, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.granted {
		g := &r.granted[i]
		t := RateToken{g.sent, r.cfg.UseWithin}
		if g.count > 0 && t.Usable(now, useTime) {
			g.count--
			return t, true
		}
	}
	return RateToken{}, false
}

// Reserve raises the number of tokens that are usable for useTime to target, as
// far as the limit allows. It makes one read, and one write if tokens are free.
// Errors: *FormatError and those of the table; if the outcome of a write is
// unknown, the next call resolves it.
func (r *RateLimiter) Reserve(ctx context.Context, table store.Table, target int, useTime time.Duration) error {
	if !r.tryBegin() {
		return nil
	}
	defer r.end()
	if r.usable(useTime) >= target {
		return nil
	}
	if err := r.read(ctx, table); err != nil {
		return err
	}
	g, value, ok := r.prepare(target, useTime)
	if !ok {
		return nil
	}
	op := store.Op{Key: RateLimitKey, IfVersion: g.ifVersion, Value: value}
	done, err := table.Commit(ctx, []store.Op{op})
	if err == nil {
		r.recordWrite(g, done.Versions[0])
		return nil
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return r.read(ctx, table)
	}
	return errors.Join(err, r.read(ctx, table))
}

func (r *RateLimiter) tryBegin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reserving {
		return false
	}
	r.reserving = true
	return true
}

func (r *RateLimiter) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reserving = false
}

func (r *RateLimiter) usable(useTime time.Duration) int {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.usableCount(now, useTime)
}

func (r *RateLimiter) usableCount(now time.Time, useTime time.Duration) int {
	n := 0
	for _, g := range r.granted {
		if (RateToken{g.sent, r.cfg.UseWithin}).Usable(now, useTime) {
			n += g.count
		}
	}
	return n
}

// read reads the row and resolves pending reservations.
func (r *RateLimiter) read(ctx context.Context, table store.Table) error {
	rows, err := table.Get(ctx, RateLimitKey)
	if err != nil {
		return err
	}
	record, err := DecodeRateRecord(rows[0].Value)
	if err != nil {
		return err
	}
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applyRow(now, record, rows[0].Version)
	return nil
}

// applyRow replaces the entries by those of the row, which was read before now. If
// an entry is already known, the earlier of its two expiry times applies.
func (r *RateLimiter) applyRow(now time.Time, record RateRecord, version int64) {
	expiryByID := map[string]time.Time{}
	for _, e := range r.entries {
		expiryByID[e.id] = e.expiresAt
	}
	r.entries, r.version = r.entries[:0:0], version
	present := map[string]bool{}
	for _, reservation := range record.Reservations {
		e := entry{reservation.ID, reservation.Count, now.Add(time.Duration(reservation.ExpiresInMS) * time.Millisecond)}
		if knownExpiry, ok := expiryByID[reservation.ID]; ok && knownExpiry.Before(e.expiresAt) {
			e.expiresAt = knownExpiry
		}
		r.entries = append(r.entries, e)
		present[reservation.ID] = true
	}
	stillPending := r.pending[:0]
	for _, g := range r.pending {
		switch {
		case present[g.id]:
			r.granted = append(r.granted, g)
		case version <= g.ifVersion && elapsed(now, g.sent) < r.cfg.UseWithin:
			stillPending = append(stillPending, g) // a late write may still take effect
		}
	}
	r.pending = stillPending
}

// prepare returns the next reservation and the new value of the row, without the
// expired entries. It returns false if no reservation is needed or possible.
func (r *RateLimiter) prepare(target int, useTime time.Duration) (grant, []byte, bool) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var next RateRecord
	free := r.cfg.PerWindow
	for _, e := range r.entries {
		if left := e.expiresAt.Sub(now); left > 0 {
			// Rounded up, so that rewriting the row never shortens the expiry.
			next.Reservations = append(next.Reservations, Reservation{e.id, e.count, left.Milliseconds() + 1})
			free -= e.count
		}
	}
	n := min(target-r.usableCount(now, useTime), free)
	if n <= 0 {
		return grant{}, nil, false
	}
	r.serial++
	g := grant{fmt.Sprintf("%s/%d", r.cfg.Owner, r.serial), n, now, r.version}
	next.Reservations = append(next.Reservations, Reservation{g.id, n, r.retention().Milliseconds() + 1})
	value, err := json.Marshal(next)
	if err != nil {
		panic(err) // cannot happen: only strings and numbers
	}
	r.pending = append(r.pending, g)
	return g, value, true
}

// retention is how long an entry is kept: its tokens may be used within
// UseWithin, and the last use counts for one window.
func (r *RateLimiter) retention() time.Duration {
	return time.Duration(float64(r.cfg.UseWithin+r.cfg.Window) * (1 + r.cfg.Margin))
}

// recordWrite records that the write of a reservation succeeded.
func (r *RateLimiter) recordWrite(g grant, version int64) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
	r.entries = append(r.entries, entry{g.id, g.count, g.sent.Add(r.retention())})
	r.pending = nil // earlier writes had the same or an older precondition, so they cannot take effect any more
	usable := r.granted[:0]
	for _, old := range r.granted {
		if elapsed(now, old.sent) < r.cfg.UseWithin {
			usable = append(usable, old)
		}
	}
	r.granted = append(usable, g)
}
