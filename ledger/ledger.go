package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/store"
)

// Defaults of Options.
const (
	DefaultGroupWindow    = 3 * time.Millisecond
	DefaultRetention      = 7 * 24 * time.Hour
	DefaultSweepInterval  = 6 * time.Hour
	DefaultMaxInlineBytes = 32 << 10
)

// Bounds of a ledger.
const (
	// maxGroup bounds the rows of one commit.
	maxGroup = 128
	// maxAbandoned bounds the claims that wait to be marked not_run. Above it
	// further ones stay claimed, which later requests see as another router's
	// attempt that never ends; nothing runs twice.
	maxAbandoned = 4096
	// maxRounds bounds how often one call follows a row that keeps changing.
	maxRounds = 8
	// firstRetry and lastRetry bound the doubling wait between tries.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// Options are the properties of a ledger. Now and After are required.
type Options struct {
	// Now is the local clock.
	Now func() time.Time
	// After returns a channel that receives after a duration, as time.After.
	After func(time.Duration) <-chan time.Time
	// GroupWindow is the time for which writes wait for others to share their
	// commit. Default 3 ms.
	GroupWindow time.Duration
	// Retention is the time, by the platform's clock, for which a row is kept
	// after it was last written. Default 7 days.
	Retention time.Duration
	// SweepInterval is the least time between two sweeps of all routers together.
	// Default 6 h.
	SweepInterval time.Duration
	// MaxInlineBytes is the size up to which an answer is stored in its row.
	// Default 32 KB.
	MaxInlineBytes int
}

// Claim names one attempt to run a request. Caller, Service and Key name the
// request, Digest its content. Attempt is a token that no other attempt has
// had; it may be used again only after a Decision other than StateClaimed.
type Claim struct {
	Caller  string
	Service string
	Key     string // the Idempotency-Key
	Digest  string
	Attempt string
	Router  string // the router that makes the attempt
}

// State says what to do with a claimed request.
type State string

// States of a Decision.
const (
	StateClaimed    State = "claimed"     // run it now, then call Finish or Abandon
	StateReplay     State = "replay"      // it ran; Answer is the stored answer
	StateInProgress State = "in_progress" // another attempt has claimed it
	StateUnknown    State = "unknown"     // it may have run and is never run again
)

// Decision is the answer to a claim.
type Decision struct {
	State State
	// Answer is the stored answer of StateReplay.
	Answer []byte
	// Attempt and Router name the other attempt of StateInProgress.
	Attempt string
	Router  string
}

// Outcome is what became of a claimed request.
type Outcome string

// Outcomes of a Result.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not_run" // certainly not run; a later request may run
	OutcomeUnknown Outcome = "unknown"
)

// Result is the end of a claimed request. Answer belongs to OutcomeRan.
type Result struct {
	Outcome Outcome
	Answer  []byte
}

// Ledger claims and records requests that must not run twice. It is safe for
// concurrent use. Close it to end its background work.
type Ledger struct {
	table   store.Table
	objects store.ObjectStore
	o       Options
	ctx     context.Context
	cancel  context.CancelFunc

	mu        sync.Mutex // level 70
	closed    bool
	running   int              // background goroutines
	idle      chan struct{}    // closed when the last one has ended after Close
	group     []*write         // writes that wait for their commit
	held      map[string]int64 // row versions of claims that have not ended, by attempt
	jobs      []*job
	working   bool // a goroutine works on jobs
	abandoned int  // jobs that mark not_run
	skew      time.Duration
	hasSkew   bool // skew is known: platform's clock minus local clock
}

// New returns a ledger on a platform. Calls of t and s must end by themselves.
// It panics without a clock.
func New(t store.Table, s store.ObjectStore, o Options) *Ledger {
	if o.Now == nil || o.After == nil {
		panic("ledger: Options.Now and Options.After are required")
	}
	setDefault(&o.GroupWindow, DefaultGroupWindow)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.SweepInterval, DefaultSweepInterval)
	setDefault(&o.MaxInlineBytes, DefaultMaxInlineBytes)
	l := &Ledger{table: t, objects: s, o: o, held: map[string]int64{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Close refuses new claims and waits for the background work until ctx ends.
// Claims that were still to be marked then stay claimed.
func (l *Ledger) Close(ctx context.Context) {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		l.idle = make(chan struct{})
		l.endIfIdleLocked()
	}
	l.mu.Unlock()
	select {
	case <-l.idle:
	case <-ctx.Done():
	}
	l.cancel()
	<-l.idle
}

// endIfIdleLocked ends a closed ledger without background goroutines.
func (l *Ledger) endIfIdleLocked() {
	if l.closed && l.running == 0 {
		l.running = -1 // no further goroutine is started
		close(l.idle)
	}
}

// Claim claims a request before anything is sent. Errors: *KeyReusedError,
// *NotClaimedError, *AnswerUnavailableError.
func (l *Ledger) Claim(ctx context.Context, c Claim) (Decision, error) {
	return l.claim(ctx, c, "")
}

// TakeOver claims a request that another attempt has claimed. The caller must
// know that the other attempt has not sent anything and will not. Errors as
// for Claim.
func (l *Ledger) TakeOver(ctx context.Context, c Claim, previous string) (Decision, error) {
	return l.claim(ctx, c, previous)
}

func (l *Ledger) claim(ctx context.Context, c Claim, other string) (Decision, error) {
	if err := c.check(); err != nil {
		return Decision{}, &NotClaimedError{Err: err}
	}
	if l.isClosed() {
		return Decision{}, &NotClaimedError{Err: errClosed}
	}
	var version int64 // expected version of the row: absent at first
	for range maxRounds {
		w := l.newWrite(c, version, record{State: rowClaimed})
		if err := l.submit(ctx, w); err != nil {
			l.giveUp(c, w)
			return Decision{}, &NotClaimedError{Err: err}
		}
		res := <-w.done
		switch res.kind {
		case writeApplied:
			l.hold(c, res.row.Version)
			return Decision{State: StateClaimed}, nil
		case writeFailed:
			if res.maybe {
				l.abandonAt(c, version)
			}
			return Decision{}, &NotClaimedError{Err: res.err}
		}
		version = res.row.Version
		if version == 0 {
			continue // a sweep deleted the row
		}
		rec, err := decode(res.row.Value)
		if err != nil {
			// A row that cannot be read may belong to a request that ran.
			return Decision{State: StateUnknown}, nil
		}
		if rec.State == rowClaimed && rec.Attempt == c.Attempt && res.maybe {
			// The claim took effect and the row was written again by a sweep.
			l.hold(c, res.row.Version)
			return Decision{State: StateClaimed}, nil
		}
		if !rec.free(c, other) {
			return l.decide(ctx, c, rec)
		}
	}
	return Decision{}, &NotClaimedError{Err: errors.New("the row keeps changing")}
}

// free reports whether a row may be claimed again: the earlier attempt has
// certainly not run.
func (r record) free(c Claim, other string) bool {
	if r.Digest != c.Digest {
		return false
	}
	return r.State == rowNotRun || (r.State == rowClaimed && other != "" && r.Attempt == other)
}

// decide answers a claim from a row that cannot be claimed.
func (l *Ledger) decide(ctx context.Context, c Claim, r record) (Decision, error) {
	if r.Digest != c.Digest {
		return Decision{}, &KeyReusedError{Key: c.Key}
	}
	switch r.State {
	case rowClaimed:
		return Decision{State: StateInProgress, Attempt: r.Attempt, Router: r.Router}, nil
	case rowRan:
		answer, err := l.answer(ctx, r)
		if err != nil {
			return Decision{}, &AnswerUnavailableError{Err: err}
		}
		return Decision{State: StateReplay, Answer: answer}, nil
	}
	return Decision{State: StateUnknown}, nil
}

// giveUp leaves a claim whose caller went away before the write was decided.
func (l *Ledger) giveUp(c Claim, w *write) {
	l.spawn(func() {
		select {
		case res := <-w.done:
			if res.kind == writeApplied || res.maybe {
				l.abandonAt(c, w.ifVersion)
			}
		case <-l.ctx.Done():
		}
	})
}

// Finish records the end of a claimed request and returns once it is recorded.
// When ctx ends first it returns *PendingError and goes on in the background.
// *SupersededError says that the row no longer belongs to the claim.
func (l *Ledger) Finish(ctx context.Context, c Claim, r Result) error {
	rec, object, err := r.record(l.o.MaxInlineBytes)
	if err != nil {
		return err
	}
	return l.settleNow(ctx, &job{claim: c, rec: rec, object: object, version: l.release(c)})
}

// Abandon marks a claim not_run in the background, with retries. It is for
// claims of which nothing was sent. It does not block.
func (l *Ledger) Abandon(c Claim) { l.abandonAt(c, l.release(c)) }

// abandonAt replaces the row of the given version, or the claim's own row, by
// one that says not_run. Either way a late write of the claim has no effect.
func (l *Ledger) abandonAt(c Claim, version int64) {
	l.mu.Lock()
	full := l.abandoned >= maxAbandoned
	if !full {
		l.abandoned++
	}
	l.mu.Unlock()
	if !full {
		l.background(&job{claim: c, rec: record{State: rowNotRun}, version: version, abandon: true})
	}
}

func (l *Ledger) hold(c Claim, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[c.Attempt] = version
}

// release forgets a claim and returns the version of its row, 0 if it is not
// known.
func (l *Ledger) release(c Claim) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	version := l.held[c.Attempt]
	delete(l.held, c.Attempt)
	return version
}

// spawn runs fn in the background unless the ledger has ended.
func (l *Ledger) spawn(fn func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.spawnLocked(fn)
}

func (l *Ledger) spawnLocked(fn func()) bool {
	if l.running < 0 {
		return false
	}
	l.running++
	go func() {
		fn()
		l.mu.Lock()
		defer l.mu.Unlock()
		l.running--
		l.endIfIdleLocked()
	}()
	return true
}

func (l *Ledger) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// learnClock keeps the difference between the platform's clock and the local
// one.
func (l *Ledger) learnClock(at time.Time) {
	skew := at.Sub(l.o.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skew, l.hasSkew = skew, true
}

// platformMillis estimates the platform's clock, 0 before the first commit.
func (l *Ledger) platformMillis() int64 {
	now := l.o.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasSkew {
		return 0
	}
	return now.Add(l.skew).UnixMilli()
}
