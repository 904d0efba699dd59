package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/retry"
)

// Dispatcher runs requests.
type Dispatcher struct {
	settings *Settings
	router   string
	domain   string
	index    atomic.Pointer[index]
	attempts *AttemptRegistry
	slots    core.SlotClient
	engines  core.EngineClient
	services core.ServiceClient
	peers    core.PeerAttemptClient // may be nil
	once     onceLedger             // may be nil
	submit   func(func(context.Context)) bool
	budget   *retry.Budget
	backoff  retry.Backoff
	health   *health
	metrics  *metrics
	log      *log.Logger
	random   func() float64
	inFlight atomic.Int64
}

// InFlight counts the requests that have started and not ended.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

// job is what the two kinds of requests have in common: a walk over workers
// until one of them has run the request.
type job struct {
	d        *Dispatcher
	caller   *objects.Caller
	rank     *objects.Rank
	space    string // workspace
	deadline time.Time
	cost     int64 // expected, in tokens
	plan     *plan

	waitUntil time.Time // end of the wait for slots
	// overflowed says that the own domain was waited for in vain.
	overflowed bool
	failed     []string // workers of failed attempts
	outcome    core.Outcome
	last       error // of the last attempt or slot request
}

// result says how an attempt ended.
type result struct {
	err    error // nil after a whole answer
	sent   core.Outcome
	retry  bool // another worker may run the request
	faulty bool // the worker is to blame
	cancel bool // the worker may still run the attempt
	cost   int64
}

// run gets slots and calls try with them until the request is done. try gets
// an attempt that has been registered and a context that ends with the slot.
// Errors: *core.Problem.
func (j *job) run(ctx context.Context, try func(context.Context, core.Attempt) result) error {
	j.outcome = core.OutcomeNotRun
	j.waitUntil = time.Now().Add(min(j.d.settings.MaxWait, j.rank.MaxDuration))
	if !j.deadline.IsZero() && j.deadline.Before(j.waitUntil) {
		j.waitUntil = j.deadline
	}
	for tries := 1; ; tries++ {
		again, err := j.attempt(ctx, try)
		if !again || tries >= j.d.settings.MaxAttempts {
			return err
		}
		if !unsent(j.last) && (!j.d.budget.Allow(time.Now()) || !j.pause(ctx, tries-1)) {
			return err
		}
		j.d.metrics.retries.Inc(1)
	}
}

// unsent reports whether an attempt failed before its request was sent. The
// next choice gets the request at once and without regard to the budget, since
// no worker sees it twice: with a third of the workers down and none ejected,
// the budget would fail most of their requests.
func unsent(err error) bool {
	var failed *core.AttemptError
	return errors.Is(err, errLateSlot) || errors.As(err, &failed) && failed.Outcome == core.OutcomeNotRun && failed.Status == 0
}

// attempt gets one slot, makes one attempt with it and gives it back. again
// says that another attempt may follow; err is the problem if none does.
func (j *job) attempt(ctx context.Context, try func(context.Context, core.Attempt) result) (again bool, err error) {
	id := j.d.attempts.begin()
	slot, err := j.patientAcquire(ctx, id)
	if err != nil {
		j.d.attempts.forget(id)
		return false, j.problem(ctx, err)
	}
	var r result
	var a core.Attempt
	defer func() { j.release(a, slot, r) }()
	j.d.attempts.use(slot)
	until := slot.Until
	if until.IsZero() {
		until = time.Now().Add(j.rank.MaxDuration)
	}
	if !j.deadline.IsZero() && j.deadline.Before(until) {
		until = j.deadline
	}
	attemptCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	a = core.Attempt{ID: id, Upstream: slot.Upstream, Worker: slot.Worker, Priority: j.rank.Priority, Deadline: until, SendBy: slot.UseBy}
	if !slot.UseBy.IsZero() && time.Now().After(slot.UseBy) {
		r = result{err: errLateSlot, sent: core.OutcomeNotRun, retry: true}
	} else {
		r = try(attemptCtx, a)
	}
	j.account(a, r)
	if r.err == nil {
		return false, nil
	}
	j.last = r.err
	return r.retry && attemptCtx.Err() == nil, j.problem(attemptCtx, r.err)
}

// release gives a slot back. While the worker may still run the attempt, the
// slot is kept until the attempt is cancelled: given to another request
// earlier, the worker would run both and exceed max_in_flight.
func (j *job) release(a core.Attempt, slot core.Slot, r result) {
	if !r.cancel {
		j.d.attempts.forget(a.ID)
		j.d.slots.Release(slot, r.cost)
		return
	}
	j.d.engines.Cancel(a, func() {
		j.d.attempts.forget(a.ID)
		j.d.slots.Release(slot, r.cost)
	})
}

// patientAcquire asks for a slot until HolderWait is over: while a holder is
// being replaced no slot of its workers is granted.
func (j *job) patientAcquire(ctx context.Context, id string) (core.Slot, error) {
	giveUp := time.Now().Add(j.d.settings.HolderWait)
	if j.waitUntil.Before(giveUp) {
		giveUp = j.waitUntil
	}
	for round := 0; ; round++ {
		slot, err := j.acquire(ctx, id)
		if err == nil || !holderless(err) || !time.Now().Before(giveUp) || !j.pause(ctx, round) {
			return slot, err
		}
		j.plan.restart(j.failed)
	}
}

// errLateSlot says that a slot came too late to be used.
var errLateSlot = errors.New("the slot could not be used in time")

// account records the end of an attempt.
func (j *job) account(a core.Attempt, r result) {
	now := time.Now()
	if r.err == nil {
		j.outcome = core.OutcomeRan
		j.d.budget.Success(now)
		j.d.health.success(now, a.Upstream, a.Worker)
		j.d.metrics.ended(core.OutcomeRan)
		return
	}
	j.d.metrics.ended(r.sent)
	if r.sent != core.OutcomeNotRun && j.outcome != core.OutcomeRan {
		j.outcome = r.sent
	}
	if r.faulty {
		j.d.health.failure(now, a.Upstream, a.Worker)
	}
	if r.retry && !errors.Is(r.err, errLateSlot) {
		j.failed = append(j.failed, a.Worker)
		j.plan.restart(j.failed)
	}
}

// acquire asks for a slot along the plan. Moving on after a holder's refusal
// sends nothing to a worker and is bounded by the plan, so it needs no budget.
// The error is the most telling of those on the way.
func (j *job) acquire(ctx context.Context, id string) (core.Slot, error) {
	begin := time.Now()
	var first error
	for {
		from, workers := j.plan.next(time.Now())
		if from == nil && !j.overflowed && isOverload(first) && time.Now().Before(j.waitUntil) {
			// No domain had room: queue in the own one for the rest of the wait.
			j.overflowed = true
			j.plan.restart(j.failed)
			continue
		}
		if from == nil {
			if first == nil {
				first = errNoWorker
			}
			return core.Slot{}, first
		}
		slot, err := j.ask(ctx, id, from, workers)
		if err == nil {
			j.d.metrics.slotWait.RecordDuration(time.Since(begin))
			return slot, nil
		}
		// A full queue tells the caller more than a missing holder does.
		if first == nil || isOverload(err) {
			first = err
		}
		if ctx.Err() != nil || !j.moveOn(err, workers) {
			return core.Slot{}, err
		}
	}
}

// ask asks for a slot of the first choice, then of the second, which may have
// another holder, and only then waits in the queue of the first one's holder: a
// first choice at its bound must not hold back a request for which the second
// has room.
func (j *job) ask(ctx context.Context, id string, from *pool, workers []string) (core.Slot, error) {
	r := core.SlotRequest{
		Attempt:    id,
		Upstream:   from.upstream.Name,
		Workers:    workers,
		Caller:     j.caller.Name,
		Weight:     j.caller.Weight,
		Workspace:  j.space,
		Rank:       j.rank.Name,
		CostTokens: j.cost,
	}
	if len(workers) > 1 {
		slot, err := j.d.slots.Acquire(ctx, r)
		if err == nil || !isOverload(err) || ctx.Err() != nil {
			return slot, err
		}
		r.Workers = []string{workers[1], workers[0]}
		if slot, err := j.d.slots.Acquire(ctx, r); err == nil {
			return slot, nil
		}
		r.Workers = workers
	}
	// A worker that has just failed is idle, so that a holder without knowledge
	// of it would choose it again.
	r.AnyWorker = len(j.failed) == 0
	r.Wait = max(time.Until(j.waitUntil), 0)
	if !j.overflowed && j.plan.overflows() {
		// The other domains are asked once the rank's target has passed, for
		// example when the holder is paused or the own domain is flooded.
		r.Wait = min(r.Wait, j.rank.TargetWait)
	}
	return j.d.slots.Acquire(ctx, r)
}

// errNoWorker says that no worker is left to try.
var errNoWorker = errors.New("no worker is open for the request")

// moveOn changes the plan after a holder's refusal and reports whether it is
// of use to go on.
func (j *job) moveOn(err error, workers []string) bool {
	var refused *core.SlotError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Reason {
	case core.SlotExpired, core.SlotQueueFull:
		// Expired before the end of the wait means that the holder expects
		// no slot in time.
		j.plan.leave()
		return time.Now().Before(j.waitUntil)
	default:
		// The first choice has no holder that grants; the second choice may
		// have another one.
		j.plan.exclude(workers[0])
	}
	return true
}

func isOverload(err error) bool {
	var refused *core.SlotError
	return errors.As(err, &refused) && (refused.Reason == core.SlotQueueFull || refused.Reason == core.SlotExpired)
}

// holderless reports whether a slot was refused because no holder grants now.
func holderless(err error) bool {
	var refused *core.SlotError
	return errors.As(err, &refused) && !isOverload(err)
}

// pause waits before a retry and reports whether the request is still wanted.
func (j *job) pause(ctx context.Context, attempt int) bool {
	delay := j.d.backoff.Delay(attempt, j.d.random())
	if !j.deadline.IsZero() && time.Until(j.deadline) <= delay {
		return false
	}
	return sleep(ctx, delay)
}

func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// noCapacityRetry is the Retry-After of problems without an estimate.
const noCapacityRetry = time.Second

// problem states an error towards the caller. ctx is that of the attempt, if
// there was one.
func (j *job) problem(ctx context.Context, err error) *core.Problem {
	var p *core.Problem
	if errors.As(err, &p) {
		return p
	}
	p = &core.Problem{Outcome: j.outcome, Err: err, RetryAfter: noCapacityRetry}
	var refused *core.SlotError
	var failed *core.AttemptError
	switch {
	case !j.deadline.IsZero() && !time.Now().Before(j.deadline):
		p.Kind, p.Detail, p.RetryAfter = core.KindDeadlineExceeded, "the deadline of the request passed before its answer", 0
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p.Kind, p.Detail, p.RetryAfter = core.KindDeadlineExceeded, fmt.Sprintf("the request took longer than max_duration of rank %s", j.rank.Name), 0
	case ctx.Err() != nil:
		p.Kind, p.Detail = core.KindUpstreamUnavailable, "the request was cancelled"
	case isOverload(err):
		errors.As(err, &refused)
		p.Kind, p.Detail = core.KindOverloaded, fmt.Sprintf("rank %s has no free slot in time", j.rank.Name)
		p.RetryAfter = max(p.RetryAfter, refused.RetryAfter)
	case errors.As(err, &failed) && failed.Status != 0:
		statusProblem(p, failed)
	default:
		p.Kind, p.Detail = core.KindUpstreamUnavailable, "no worker could serve the request"
	}
	return p
}

// statusProblem states an upstream's own refusal.
func statusProblem(p *core.Problem, e *core.AttemptError) {
	p.RetryAfter = max(p.RetryAfter, e.RetryAfter)
	switch {
	case e.Status == 429:
		p.Kind, p.Detail = core.KindOverloaded, "the upstream has no capacity"
	case e.Status >= 400 && e.Status < 500:
		p.Kind, p.Detail, p.RetryAfter = core.KindInvalidRequest, fmt.Sprintf("the upstream refused the request with status %d", e.Status), 0
	default:
		p.Kind, p.Detail = core.KindUpstreamUnavailable, fmt.Sprintf("the upstream answered with status %d", e.Status)
	}
}

var _ core.Dispatcher = (*Dispatcher)(nil)
