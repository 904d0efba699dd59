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

// Limits of a ledger.
const (
	// maxCommitRows bounds the rows of one commit.
	maxCommitRows = 128
	// maxAbandoned bounds the claims that wait to be marked not_run. Claims
	// beyond it stay claimed. Later requests see such a claim as an attempt
	// that never ends; nothing runs twice.
	maxAbandoned = 4096
	// maxClaimTries bounds the writes of one Claim when the row changes before
	// each of them.
	maxClaimTries = 8
	// minRetryDelay and maxRetryDelay bound the exponential backoff.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Options configures a ledger. Now and After are required.
type Options struct {
	// Now is the local clock.
	Now func() time.Time
	// After returns a channel that receives a value after the duration, like
	// time.After.
	After func(time.Duration) <-chan time.Time
	// GroupWindow is how long a write waits for others to share a commit with.
	// Default 3 ms.
	GroupWindow time.Duration
	// Retention is how long a row is kept after its last write, by the
	// platform's clock. Default 7 days.
	Retention time.Duration
	// SweepInterval is the minimum time between two sweeps of all routers
	// together. Default 6 h.
	SweepInterval time.Duration
	// MaxInlineBytes is the largest answer that is stored in its row. Default
	// 32 KB.
	MaxInlineBytes int
}

// Claim identifies one attempt to run a request. Caller, Service and Key
// identify the request, Digest its content. Attempt is a token that no other
// attempt has used; it may be reused only after a Decision other than
// StateClaimed.
type Claim struct {
	Caller  string
	Service string
	Key     string // the Idempotency-Key
	Digest  string
	Attempt string
	Router  string // the router that makes the attempt
}

// State determines what the claiming router must do with the request.
type State string

// States of a Decision.
const (
	StateClaimed    State = "claimed"     // run it now, then call Finish or Abandon
	StateReplay     State = "replay"      // it ran; Answer is the stored answer
	StateInProgress State = "in_progress" // another attempt has claimed it
	StateUnknown    State = "unknown"     // it may have run and is never run again
)

// Decision is the result of a claim.
type Decision struct {
	State State
	// Answer is the stored answer of StateReplay.
	Answer []byte
	// Attempt and Router identify the other attempt of StateInProgress.
	Attempt string
	Router  string
}

// Outcome states whether a claimed request ran.
type Outcome string

// Outcomes of a Result.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not_run" // certainly not run; a later request may run
	OutcomeUnknown Outcome = "unknown"
)

// Result is the final result of a claimed request. Answer is stored with
// OutcomeRan only.
type Result struct {
	Outcome Outcome
	Answer  []byte
}

// Ledger claims and records requests that must not run twice. It is safe for
// concurrent use. Close stops its background work.
type Ledger struct {
	table   store.Table
	objects store.ObjectStore
	opts    Options
	ctx     context.Context
	cancel  context.CancelFunc

	mu            sync.Mutex // lock level 70, see internal/core/lockorder.go
	closed        bool
	running       int              // background goroutines
	stopped       chan struct{}    // closed when the last of them has ended after Close
	batch         []*write         // writes of the next commit
	claimVersions map[string]int64 // row versions of claims that have not ended, by attempt
	jobs          []*job
	jobsRunning   bool          // a goroutine is running jobs
	abandoned     int           // number of jobs that mark a claim not_run
	skew          time.Duration // platform's clock minus local clock
	skewKnown     bool
}

// New returns a ledger that keeps its rows in t and large answers in s. Calls
// to t and s must have timeouts of their own. New panics if Now or After is nil.
func New(t store.Table, s store.ObjectStore, opts Options) *Ledger {
	if opts.Now == nil || opts.After == nil {
		panic("ledger: Options.Now and Options.After are required")
	}
	setDefault(&opts.GroupWindow, DefaultGroupWindow)
	setDefault(&opts.Retention, DefaultRetention)
	setDefault(&opts.SweepInterval, DefaultSweepInterval)
	setDefault(&opts.MaxInlineBytes, DefaultMaxInlineBytes)
	l := &Ledger{table: t, objects: s, opts: opts, claimVersions: map[string]int64{}}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

func setDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}

// Close rejects new claims and waits for the background work until ctx ends.
// Claims that have not been marked not_run by then stay claimed.
func (l *Ledger) Close(ctx context.Context) {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		l.stopped = make(chan struct{})
		l.stopIfIdleLocked()
	}
	l.mu.Unlock()
	select {
	case <-l.stopped:
	case <-ctx.Done():
	}
	l.cancel()
	<-l.stopped
}

// stopIfIdleLocked stops a closed ledger that has no background goroutines.
func (l *Ledger) stopIfIdleLocked() {
	if l.closed && l.running == 0 {
		l.running = -1 // no further goroutine is started
		close(l.stopped)
	}
}

// Claim claims a request; it must be called before anything is sent. Errors:
// *KeyReusedError, *NotClaimedError, *AnswerUnavailableError.
func (l *Ledger) Claim(ctx context.Context, c Claim) (Decision, error) {
	return l.claim(ctx, c, "")
}

// TakeOver claims a request that the previous attempt has claimed. The caller
// must know that the previous attempt has not sent anything and will not.
// Errors are those of Claim.
func (l *Ledger) TakeOver(ctx context.Context, c Claim, previous string) (Decision, error) {
	return l.claim(ctx, c, previous)
}

func (l *Ledger) claim(ctx context.Context, c Claim, previous string) (Decision, error) {
	if err := c.validate(); err != nil {
		return Decision{}, &NotClaimedError{Err: err}
	}
	if l.isClosed() {
		return Decision{}, &NotClaimedError{Err: errClosed}
	}
	var version int64 // expected version of the row; 0 while it is expected to be absent
	for range maxClaimTries {
		w := l.newWrite(c, version, record{State: rowClaimed})
		if err := l.submit(ctx, w); err != nil {
			l.abandonUndecided(c, w)
			return Decision{}, &NotClaimedError{Err: err}
		}
		res := <-w.done
		switch res.kind {
		case writeApplied:
			l.rememberVersion(c, res.row.Version)
			return Decision{State: StateClaimed}, nil
		case writeFailed:
			if res.uncertain {
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
		if rec.State == rowClaimed && rec.Attempt == c.Attempt && res.uncertain {
			// The claim took effect, and a sweep has rewritten the row since.
			l.rememberVersion(c, res.row.Version)
			return Decision{State: StateClaimed}, nil
		}
		if !rec.claimable(c, previous) {
			return l.decide(ctx, c, rec)
		}
	}
	return Decision{}, &NotClaimedError{Err: errors.New("the row changed before every write of the claim")}
}

// claimable reports whether a row may be claimed by a new attempt, because the
// earlier one has certainly not run.
func (r record) claimable(c Claim, previous string) bool {
	if r.Digest != c.Digest {
		return false
	}
	return r.State == rowNotRun || (r.State == rowClaimed && previous != "" && r.Attempt == previous)
}

// decide returns the decision for a claim on a row that cannot be claimed.
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

// abandonUndecided marks a claim not_run once its write has a result. It is for
// claims whose context ended before that.
func (l *Ledger) abandonUndecided(c Claim, w *write) {
	l.spawn(func() {
		select {
		case res := <-w.done:
			if res.kind == writeApplied || res.uncertain {
				l.abandonAt(c, w.ifVersion)
			}
		case <-l.ctx.Done():
		}
	})
}

// Finish records the result of a claimed request and returns once it is
// recorded. If ctx ends first it returns *PendingError and continues in the
// background. It returns *SupersededError if the row no longer belongs to the
// claim.
func (l *Ledger) Finish(ctx context.Context, c Claim, r Result) error {
	rec, object, err := r.toRecord(l.opts.MaxInlineBytes)
	if err != nil {
		return err
	}
	return l.runJob(ctx, &job{claim: c, rec: rec, object: object, version: l.takeVersion(c)})
}

// Abandon marks a claim not_run in the background, with retries. It may be
// called only if nothing was sent for the claim. It does not block.
func (l *Ledger) Abandon(c Claim) { l.abandonAt(c, l.takeVersion(c)) }

// abandonAt replaces the row of the given version, or the claim's own row, with
// one in state not_run. In both cases a delayed write of the claim has no
// effect afterwards.
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

func (l *Ledger) rememberVersion(c Claim, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claimVersions[c.Attempt] = version
}

// takeVersion removes a claim from claimVersions and returns the version of its
// row, 0 if it is not known.
func (l *Ledger) takeVersion(c Claim) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	version := l.claimVersions[c.Attempt]
	delete(l.claimVersions, c.Attempt)
	return version
}

// spawn runs fn in a background goroutine unless the ledger has stopped.
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
		l.stopIfIdleLocked()
	}()
	return true
}

func (l *Ledger) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// updateSkew records the difference between the platform's clock and the local
// one.
func (l *Ledger) updateSkew(at time.Time) {
	skew := at.Sub(l.opts.Now())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.skew, l.skewKnown = skew, true
}

// platformNowMillis estimates the platform's clock in Unix milliseconds. It
// returns 0 before the first commit.
func (l *Ledger) platformNowMillis() int64 {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.skewKnown {
		return 0
	}
	return now.Add(l.skew).UnixMilli()
}
