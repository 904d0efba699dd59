package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/retry"
)

// Dispatcher implements core.Dispatcher: it runs chat completions and service
// calls on workers.
type Dispatcher struct {
	settings *Settings
	router   string
	domain   string
	index    atomic.Pointer[routingIndex]
	attempts *AttemptRegistry
	slots    core.SlotClient
	engines  core.EngineClient
	services core.ServiceClient
	peers    core.PeerAttemptClient // nil if other routers can't be queried
	ledger   claimLedger            // nil refuses at-most-once requests
	submit   func(func(context.Context)) bool
	budget   *retry.Budget
	backoff  retry.Backoff
	health   *workerHealth
	metrics  *metrics
	log      *log.Logger
	lines    *boundedlog.Logger // of failed attempts
	random   func() float64
	inFlight atomic.Int64
}

// InFlight returns the number of requests in flight.
func (d *Dispatcher) InFlight() int { return int(d.inFlight.Load()) }

// requestJob is the common part of a chat completion and a service call: it
// tries candidate workers until one of them has run the request.
type requestJob struct {
	d              *Dispatcher
	requestID      string
	caller         *objects.Caller
	rank           *objects.Rank
	workspace      string
	deadline       time.Time // zero for none
	expectedTokens int64     // cost estimate for the slot request
	candidates     *candidatePlan

	waitDeadline time.Time // end of the wait for a slot
	// allDomainsFull is set when no failure domain had a free slot. The request
	// then waits in the local domain for the rest of the time, instead of for the
	// rank's target wait only.
	allDomainsFull bool
	failedWorkers  []string // workers of failed attempts
	outcome        core.Outcome
	lastErr        error // of the last attempt
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	err         error // nil after a complete response
	outcome     core.Outcome
	retryable   bool // another worker may run the request
	workerFault bool // counts as a failure of the worker
	mayStillRun bool // the worker may still run the attempt
	costTokens  int64
}

// run acquires slots and calls try with each of them until the request has
// succeeded or must not be retried. try receives a registered attempt and a
// context that ends with the slot. Errors: *core.Problem.
func (j *requestJob) run(ctx context.Context, try func(context.Context, core.Attempt) attemptResult) error {
	j.outcome = core.OutcomeNotRun
	j.waitDeadline = time.Now().Add(min(j.d.settings.MaxWait, j.rank.MaxDuration))
	if !j.deadline.IsZero() && j.deadline.Before(j.waitDeadline) {
		j.waitDeadline = j.deadline
	}
	for attempts := 1; ; attempts++ {
		retry, err := j.runAttempt(ctx, try)
		if !retry || attempts >= j.d.settings.MaxAttempts {
			return err
		}
		if !failedBeforeSend(j.lastErr) && (!j.d.budget.Allow(time.Now()) || !j.waitBackoff(ctx, attempts-1)) {
			return err
		}
		j.d.metrics.retries.Inc(1)
	}
}

// failedBeforeSend reports whether an attempt failed before its request was
// sent. Such a request is retried without backoff and outside the retry budget,
// since no worker receives it twice. With a third of the workers down and none
// of them ejected yet, the budget would fail most of the requests placed on
// them.
func failedBeforeSend(err error) bool {
	var failed *core.AttemptError
	return errors.Is(err, errSlotExpired) || errors.As(err, &failed) && failed.Outcome == core.OutcomeNotRun && failed.Status == 0
}

// runAttempt acquires a slot, makes one attempt with it and releases it. retry
// reports whether another attempt may follow; err is the problem to return if
// none does.
func (j *requestJob) runAttempt(ctx context.Context, try func(context.Context, core.Attempt) attemptResult) (retry bool, err error) {
	id := j.d.attempts.begin()
	slot, err := j.acquireWithRetry(ctx, id)
	if err != nil {
		j.d.attempts.discard(id)
		return false, j.problem(ctx, err)
	}
	var r attemptResult
	var a core.Attempt
	defer func() { j.release(a, slot, r) }()
	j.d.attempts.setSlot(slot)
	deadline := slot.ExpiresAt
	if deadline.IsZero() {
		deadline = time.Now().Add(j.rank.MaxDuration)
	}
	if !j.deadline.IsZero() && j.deadline.Before(deadline) {
		deadline = j.deadline
	}
	attemptCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	a = core.Attempt{ID: id, Upstream: slot.Upstream, Worker: slot.Worker, Priority: j.rank.Priority, Deadline: deadline, SendBy: slot.UseBy}
	if !slot.UseBy.IsZero() && time.Now().After(slot.UseBy) {
		r = attemptResult{err: errSlotExpired, outcome: core.OutcomeNotRun, retryable: true}
	} else {
		r = try(attemptCtx, a)
	}
	j.recordResult(a, r)
	if r.err == nil {
		return false, nil
	}
	j.lastErr = r.err
	return r.retryable && attemptCtx.Err() == nil, j.problem(attemptCtx, r.err)
}

// release releases a slot. If the worker may still run the attempt, the slot is
// kept until the attempt is cancelled. Otherwise the slot could be granted to
// another request meanwhile, and the worker would run both and exceed
// max_in_flight.
func (j *requestJob) release(a core.Attempt, slot core.Slot, r attemptResult) {
	if !r.mayStillRun {
		j.d.attempts.discard(a.ID)
		j.d.slots.Release(slot, r.costTokens)
		return
	}
	j.d.engines.Cancel(a, func() {
		j.d.attempts.discard(a.ID)
		j.d.slots.Release(slot, r.costTokens)
	})
}

// acquireWithRetry requests a slot. If no lease holder grants slots, it retries
// until HolderWait has passed, since no slots of a worker are granted while its
// lease holder is being replaced.
func (j *requestJob) acquireWithRetry(ctx context.Context, id string) (core.Slot, error) {
	retryDeadline := time.Now().Add(j.d.settings.HolderWait)
	if j.waitDeadline.Before(retryDeadline) {
		retryDeadline = j.waitDeadline
	}
	for retries := 0; ; retries++ {
		slot, err := j.acquire(ctx, id)
		if err == nil || !isHolderUnavailable(err) || !time.Now().Before(retryDeadline) || !j.waitBackoff(ctx, retries) {
			return slot, err
		}
		j.candidates.restart(j.failedWorkers)
	}
}

// errSlotExpired is the error of an attempt whose slot was granted so late that
// UseBy had already passed.
var errSlotExpired = errors.New("the slot expired before the request was sent; another slot is requested")

// recordResult updates the outcome of the request, the retry budget, the
// worker's health and the metrics after an attempt.
func (j *requestJob) recordResult(a core.Attempt, r attemptResult) {
	now := time.Now()
	if r.err == nil {
		j.outcome = core.OutcomeRan
		j.d.budget.Success(now)
		j.d.health.success(now, a.Upstream, a.Worker)
		j.d.metrics.attemptEnded(core.OutcomeRan)
		return
	}
	j.d.metrics.attemptEnded(r.outcome)
	j.d.lines.Log(log.InfoLevel, "attempt failed", "attempt failed", "request", j.requestID, "attempt", a.ID, "upstream", a.Upstream, "worker", a.Worker, "outcome", r.outcome, "retryable", r.retryable, "error", r.err)
	if r.outcome != core.OutcomeNotRun && j.outcome != core.OutcomeRan {
		j.outcome = r.outcome
	}
	if r.workerFault {
		j.d.health.failure(now, a.Upstream, a.Worker)
	}
	if r.retryable && !errors.Is(r.err, errSlotExpired) {
		j.failedWorkers = append(j.failedWorkers, a.Worker)
		j.candidates.restart(j.failedWorkers)
	}
}

// acquire requests a slot of the candidates in order. Trying the next candidates
// after a refusal sends nothing to a worker and is limited by the number of
// candidates, so it doesn't use the retry budget. If no slot was granted, an
// overload error is returned in preference to others.
func (j *requestJob) acquire(ctx context.Context, id string) (core.Slot, error) {
	startedAt := time.Now()
	var reported error
	for {
		pool, workers := j.candidates.next(time.Now())
		if pool == nil && !j.allDomainsFull && isOverload(reported) && time.Now().Before(j.waitDeadline) {
			// No domain had a free slot: wait in the queue of the local domain
			// for the rest of the time.
			j.allDomainsFull = true
			j.candidates.restart(j.failedWorkers)
			continue
		}
		if pool == nil {
			if reported == nil {
				reported = errNoWorker
			}
			return core.Slot{}, reported
		}
		slot, err := j.requestSlot(ctx, id, pool, workers)
		if err == nil {
			j.d.metrics.slotWait.RecordDuration(time.Since(startedAt))
			return slot, nil
		}
		// Overload is more useful to the caller than a missing lease holder.
		if reported == nil || isOverload(err) {
			reported = err
		}
		if ctx.Err() != nil || !j.skipRefused(err, workers) {
			return core.Slot{}, err
		}
	}
}

// requestSlot requests a slot of the first choice without waiting, then of the
// second, which may have another lease holder, and only then waits in the queue
// of the first one's holder. Otherwise a first choice at its load bound would
// delay a request for which the second has a free slot.
func (j *requestJob) requestSlot(ctx context.Context, id string, pool *upstreamPool, workers []string) (core.Slot, error) {
	request := core.SlotRequest{
		Attempt:    id,
		Upstream:   pool.upstream.Name,
		Workers:    workers,
		Caller:     j.caller.Name,
		Weight:     j.caller.Weight,
		Workspace:  j.workspace,
		Rank:       j.rank.Name,
		CostTokens: j.expectedTokens,
	}
	if len(workers) > 1 {
		slot, err := j.d.slots.Acquire(ctx, request)
		if err == nil || !isOverload(err) || ctx.Err() != nil {
			return slot, err
		}
		request.Workers = []string{workers[1], workers[0]}
		if slot, err := j.d.slots.Acquire(ctx, request); err == nil {
			return slot, nil
		}
		request.Workers = workers
	}
	// A worker that has just failed has no load, so a holder that may choose any
	// worker and doesn't know of the failure would choose it again.
	request.AnyWorker = len(j.failedWorkers) == 0
	request.Wait = max(time.Until(j.waitDeadline), 0)
	if !j.allDomainsFull && j.candidates.spansDomains() {
		// If no slot is granted within the rank's target wait, for example because
		// the holder is paused or the local domain is overloaded, slots are
		// requested in the remote domains.
		request.Wait = min(request.Wait, j.rank.TargetWait)
	}
	return j.d.slots.Acquire(ctx, request)
}

// errNoWorker is returned when every candidate is excluded or ejected.
var errNoWorker = errors.New("no worker is open for the request")

// skipRefused removes candidates from the plan after a slot was refused and
// reports whether to try the next ones.
func (j *requestJob) skipRefused(err error, workers []string) bool {
	var refused *core.SlotError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Reason {
	case core.SlotExpired, core.SlotQueueFull:
		// SlotExpired before the end of the wait means that the holder doesn't
		// expect a free slot in time.
		j.candidates.skipStage()
		return time.Now().Before(j.waitDeadline)
	default:
		// The first choice has no holder that grants slots; the second choice
		// may have another holder.
		j.candidates.exclude(workers[0])
	}
	return true
}

// isOverload reports whether a slot was refused because none is free.
func isOverload(err error) bool {
	var refused *core.SlotError
	return errors.As(err, &refused) && (refused.Reason == core.SlotQueueFull || refused.Reason == core.SlotExpired)
}

// isHolderUnavailable reports whether a slot was refused for another reason than
// overload: no reachable lease holder grants slots of the worker now.
func isHolderUnavailable(err error) bool {
	var refused *core.SlotError
	return errors.As(err, &refused) && !isOverload(err)
}

// waitBackoff waits before a retry. It returns false if the request was
// cancelled or its deadline is too close.
func (j *requestJob) waitBackoff(ctx context.Context, retries int) bool {
	delay := j.d.backoff.Delay(retries, j.d.random())
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

// defaultRetryAfter is the Retry-After of problems for which no upstream or
// lease holder gave an estimate.
const defaultRetryAfter = time.Second

// problem converts an error to the problem that the caller receives. ctx is the
// context of the attempt, or of the request if there was no attempt.
func (j *requestJob) problem(ctx context.Context, err error) *core.Problem {
	var p *core.Problem
	if errors.As(err, &p) {
		return p
	}
	p = &core.Problem{Outcome: j.outcome, Err: err, RetryAfter: defaultRetryAfter}
	var refused *core.SlotError
	var failed *core.AttemptError
	switch {
	case !j.deadline.IsZero() && !time.Now().Before(j.deadline):
		p.Kind, p.Detail, p.RetryAfter = core.KindDeadlineExceeded, "the deadline of the request passed before its response", 0
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		p.Kind, p.Detail, p.RetryAfter = core.KindDeadlineExceeded, fmt.Sprintf("the request took longer than max_duration of rank %s", j.rank.Name), 0
	case ctx.Err() != nil:
		p.Kind, p.Detail = core.KindUpstreamUnavailable, "the request was cancelled"
	case isOverload(err):
		errors.As(err, &refused)
		p.Kind, p.Detail = core.KindOverloaded, fmt.Sprintf("no slot became free in time for rank %s", j.rank.Name)
		p.RetryAfter = max(p.RetryAfter, refused.RetryAfter)
	case errors.As(err, &failed) && failed.Status != 0:
		describeStatus(p, failed)
	default:
		p.Kind, p.Detail = core.KindUpstreamUnavailable, "no worker could serve the request"
	}
	return p
}

// describeStatus fills in a problem from the HTTP status of an upstream.
func describeStatus(p *core.Problem, e *core.AttemptError) {
	p.RetryAfter = max(p.RetryAfter, e.RetryAfter)
	switch {
	case e.Status == 429:
		p.Kind, p.Detail = core.KindOverloaded, "the upstream has no capacity"
	case e.Status >= 400 && e.Status < 500:
		p.Kind, p.Detail, p.RetryAfter = core.KindInvalidRequest, fmt.Sprintf("the upstream refused the request with status %d", e.Status), 0
	default:
		p.Kind, p.Detail = core.KindUpstreamUnavailable, fmt.Sprintf("the upstream responded with status %d", e.Status)
	}
}

var _ core.Dispatcher = (*Dispatcher)(nil)
