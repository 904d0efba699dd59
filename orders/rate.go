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

// RateLimitKey is the row that all routers share.
const RateLimitKey = "weights/rate"

// maxRateBytes bounds the row; 600 entries take about 48 KB.
const maxRateBytes = 128 << 10

// RateLimiterConfig configures a Rate. Zero values take the defaults.
type RateLimiterConfig struct {
	// Owner names this process, its incarnation included. Required.
	Owner string
	// PerWindow is the number of tokens of all routers in any window. Default 6.
	PerWindow int
	// Window is the time to which the limit applies. Default 1 min.
	Window time.Duration
	// UseWithin is the time from the write of a reservation to the last moment at
	// which the use of a token may take effect. Default 10 s.
	UseWithin time.Duration
	// Margin is the share by which an entry stays longer, for clocks that run
	// at different rates. Default 0.05.
	Margin float64
	// Now returns the time. Required.
	Now func() time.Time
}

// Reservation is an entry of the row.
type Reservation struct {
	ID    string `json:"id"`
	Count int    `json:"count"`
	// ExpiresInMS is how long the entry counts from the row's last write on,
	// in milliseconds of any clock that has seen the write.
	ExpiresInMS int64 `json:"expires_in_ms"`
}

// RateRecord is the value of the row.
type RateRecord struct {
	Reservations []Reservation `json:"reservations"`
}

// FormatError says that the row's value is not a record.
type FormatError struct{ Err error }

func (e *FormatError) Error() string {
	return fmt.Sprintf("orders: the value of row %s is not a rate record: %v; stop loads for a minute and delete the row", RateLimitKey, e.Err)
}

func (e *FormatError) Unwrap() error { return e.Err }

// DecodeRateRecord reads the row's value; an empty value is the zero record.
// Errors: *FormatError.
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
			return RateRecord{}, &FormatError{errors.New("an entry has no tokens or a negative time")}
		}
	}
	return r, nil
}

// RateLimiter is one router's part in the shared limit.
type RateLimiter struct {
	cfg RateLimiterConfig

	mu      sync.Mutex // level 90
	busy    bool       // a call of Reserve is under way
	serial  uint64
	version int64
	entries []entry
	pending []grant // reservations whose fate is open
	granted []grant
}

// entry is a reservation in the row as last seen.
type entry struct {
	id    string
	count int
	until time.Time // counts until then by this router's clock
}

// grant is a reservation of this router.
type grant struct {
	id        string
	count     int
	sent      time.Time
	ifVersion int64
}

// NewRateLimiter returns a part without tokens. It panics without a clock or owner.
func NewRateLimiter(cfg RateLimiterConfig) *RateLimiter {
	if cfg.Now == nil || cfg.Owner == "" {
		panic("orders: RateConfig.Now and Owner are required")
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

// RateToken is the right to one use.
type RateToken struct {
	sent  time.Time
	useBy time.Duration
}

// Usable reports whether a use that takes effect within the given time may
// start now.
func (t RateToken) Usable(now time.Time, within time.Duration) bool {
	return age(now, t.sent)+within <= t.useBy
}

// age uses the monotonic or the wall reading, whichever shows more, since the
// monotonic clock may stand still while a VM is suspended.
func age(now, t time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// Take returns a token for a use that takes effect within the given time.
func (r *RateLimiter) Take(now time.Time, within time.Duration) (RateToken, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.granted {
		g := &r.granted[i]
		t := RateToken{g.sent, r.cfg.UseWithin}
		if g.count > 0 && t.Usable(now, within) {
			g.count--
			return t, true
		}
	}
	return RateToken{}, false
}

// Reserve brings the number of tokens that are usable within the given time up
// to want, as far as the limit allows: one read, and a write if something is
// free. Errors: *FormatError and those of the table; the next call resolves
// what a lost reply left open.
func (r *RateLimiter) Reserve(ctx context.Context, table store.Table, want int, within time.Duration) error {
	if !r.begin() {
		return nil
	}
	defer r.end()
	if r.usable(within) >= want {
		return nil
	}
	if err := r.read(ctx, table); err != nil {
		return err
	}
	g, value, ok := r.prepare(want, within)
	if !ok {
		return nil
	}
	op := store.Op{Key: RateLimitKey, IfVersion: g.ifVersion, Value: value}
	done, err := table.Commit(ctx, []store.Op{op})
	if err == nil {
		r.apply(g, done.Versions[0])
		return nil
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return r.read(ctx, table)
	}
	return errors.Join(err, r.read(ctx, table))
}

func (r *RateLimiter) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.busy {
		return false
	}
	r.busy = true
	return true
}

func (r *RateLimiter) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.busy = false
}

func (r *RateLimiter) usable(within time.Duration) int {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count(now, within)
}

func (r *RateLimiter) count(now time.Time, within time.Duration) int {
	n := 0
	for _, g := range r.granted {
		if (RateToken{g.sent, r.cfg.UseWithin}).Usable(now, within) {
			n += g.count
		}
	}
	return n
}

// read takes over the row and learns the fate of pending reservations.
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
	r.see(now, record, rows[0].Version)
	return nil
}

// see takes the row as read before now. An entry counts until the earliest
// time that any version of the row has given for it.
func (r *RateLimiter) see(now time.Time, record RateRecord, version int64) {
	known := map[string]time.Time{}
	for _, e := range r.entries {
		known[e.id] = e.until
	}
	r.entries, r.version = r.entries[:0:0], version
	in := map[string]bool{}
	for _, v := range record.Reservations {
		e := entry{v.ID, v.Count, now.Add(time.Duration(v.ExpiresInMS) * time.Millisecond)}
		if until, ok := known[v.ID]; ok && until.Before(e.until) {
			e.until = until
		}
		r.entries = append(r.entries, e)
		in[v.ID] = true
	}
	open := r.pending[:0]
	for _, g := range r.pending {
		switch {
		case in[g.id]:
			r.granted = append(r.granted, g)
		case version <= g.ifVersion && age(now, g.sent) < r.cfg.UseWithin:
			open = append(open, g) // a late write may still take effect
		}
	}
	r.pending = open
}

// prepare decides the next reservation and the row's value with it. Entries
// whose time has passed are left out.
func (r *RateLimiter) prepare(want int, within time.Duration) (grant, []byte, bool) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var next RateRecord
	free := r.cfg.PerWindow
	for _, e := range r.entries {
		if left := e.until.Sub(now); left > 0 {
			// Rounded up, so that rewriting never shortens the time.
			next.Reservations = append(next.Reservations, Reservation{e.id, e.count, left.Milliseconds() + 1})
			free -= e.count
		}
	}
	n := min(want-r.count(now, within), free)
	if n <= 0 {
		return grant{}, nil, false
	}
	r.serial++
	g := grant{fmt.Sprintf("%s/%d", r.cfg.Owner, r.serial), n, now, r.version}
	next.Reservations = append(next.Reservations, Reservation{g.id, n, r.retention().Milliseconds() + 1})
	value, err := json.Marshal(next)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	r.pending = append(r.pending, g)
	return g, value, true
}

// retention is how long an entry stays: its tokens may be used until UseWithin, and
// the last use counts for a window.
func (r *RateLimiter) retention() time.Duration {
	return time.Duration(float64(r.cfg.UseWithin+r.cfg.Window) * (1 + r.cfg.Margin))
}

// apply records that a reservation was written.
func (r *RateLimiter) apply(g grant, version int64) {
	now := r.cfg.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
	r.entries = append(r.entries, entry{g.id, g.count, g.sent.Add(r.retention())})
	r.pending = nil // older ones had the same or an earlier precondition
	live := r.granted[:0]
	for _, old := range r.granted {
		if age(now, old.sent) < r.cfg.UseWithin {
			live = append(live, old)
		}
	}
	r.granted = append(live, g)
}
