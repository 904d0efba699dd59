package dispatch

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/ledger"
)

// claimLedger is the part of *ledger.Ledger that dispatch uses.
type claimLedger interface {
	Claim(ctx context.Context, c ledger.Claim) (ledger.Decision, error)
	TakeOver(ctx context.Context, c ledger.Claim, previous string) (ledger.Decision, error)
	Finish(ctx context.Context, c ledger.Claim, r ledger.Result) error
}

// claimTimeout limits the time for which a caller waits for the claim of its
// request, and for the record of the outcome.
const claimTimeout = 3 * time.Second

// inProgressRetryAfter is the Retry-After while another attempt runs.
const inProgressRetryAfter = time.Second

// runOnce runs an at-most-once request. Once claimed, the request is run to its
// end and its outcome is recorded, even if the caller disconnects. The attempt ID
// in the claim stands for the whole request; each attempt has an ID of its own.
func (c *serviceCall) runOnce(ctx context.Context) (*core.ServiceResponse, error) {
	if c.request.IdempotencyKey == "" {
		return nil, core.NewProblem(core.KindKeyRequired, "%s on service %s needs an Idempotency-Key", c.request.Method, c.request.Service)
	}
	if c.d.ledger == nil {
		return nil, c.claimProblem(errors.New("the router has no ledger"))
	}
	ctx = context.WithoutCancel(ctx)
	claim := ledger.Claim{
		Caller: c.caller.Name, Service: c.request.Service, Key: c.request.IdempotencyKey,
		Digest: requestDigest(c.request), Attempt: c.d.attempts.begin(), Router: c.d.router,
	}
	claimed, replayed, err := c.claim(ctx, claim)
	if !claimed {
		// Also correct if the claim was written although an error was returned.
		c.d.attempts.finish(claim.Attempt, stateNotSent)
		return replayed, err
	}
	c.retryIfUnknown = false
	completed := false
	defer func() {
		if !completed {
			c.outcome = core.OutcomeUnknown // c.run panicked
		}
		c.recordOutcome(ctx, claim)
	}()
	err = c.run(ctx, c.try)
	completed = true
	return c.response, err
}

// claim claims the request in the ledger. If the claim is not granted, it returns
// the stored response of an earlier request or a problem.
func (c *serviceCall) claim(ctx context.Context, claim ledger.Claim) (claimed bool, stored *core.ServiceResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	decision, err := c.d.ledger.Claim(ctx, claim)
	if err == nil && decision.State == ledger.StateInProgress {
		decision, err = c.resolveInProgress(ctx, claim, decision)
	}
	if err != nil {
		return false, nil, c.claimProblem(err)
	}
	switch decision.State {
	case ledger.StateClaimed:
		return true, nil, nil
	case ledger.StateReplay:
		stored, err := decodeResponse(decision.Answer)
		if err != nil {
			return false, nil, &core.Problem{Kind: core.KindOutcomeUnknown, Outcome: core.OutcomeRan, Detail: "the request has run, but its stored response is unreadable", Err: err}
		}
		return false, stored, nil
	case ledger.StateInProgress:
		return false, nil, &core.Problem{Kind: core.KindInProgress, Outcome: core.OutcomeUnknown, RetryAfter: inProgressRetryAfter, Detail: "another request with this key is running"}
	}
	return false, nil, &core.Problem{Kind: core.KindOutcomeUnknown, Outcome: core.OutcomeUnknown, Detail: "an earlier request with this key may have run"}
}

// resolveInProgress queries the state of the attempt that holds the claim and
// takes the claim over if that attempt was never sent.
func (c *serviceCall) resolveInProgress(ctx context.Context, claim ledger.Claim, current ledger.Decision) (ledger.Decision, error) {
	switch c.d.attemptState(ctx, current.Router, current.Attempt) {
	case stateActive:
		return current, nil
	case stateNotSent:
		return c.d.ledger.TakeOver(ctx, claim, current.Attempt)
	case stateEnded:
		// The outcome is recorded before the state changes, so claiming again
		// finds it.
		recheck, err := c.d.ledger.Claim(ctx, claim)
		if err != nil || recheck.State != ledger.StateInProgress {
			return recheck, err
		}
	}
	return ledger.Decision{State: ledger.StateUnknown}, nil
}

// attemptState returns the state of an attempt of a router, or gone if that
// router doesn't respond.
func (d *Dispatcher) attemptState(ctx context.Context, router, attempt string) string {
	if router == d.router {
		return d.attempts.AttemptState(attempt)
	}
	if d.peers == nil {
		return stateGone
	}
	state, err := d.peers.AttemptState(ctx, router, attempt)
	if err != nil {
		d.log.Warn("state of an attempt could not be queried; treated as gone", "router", router, "attempt", attempt, "error", err)
		return stateGone
	}
	return state
}

// claimProblem returns the problem of a request that could not be claimed and
// therefore was not sent.
func (c *serviceCall) claimProblem(err error) *core.Problem {
	var reused *ledger.KeyReusedError
	var unavailable *ledger.AnswerUnavailableError
	p := core.NewProblem(core.KindPlatformUnavailable, "the request could not be recorded and was not sent")
	switch {
	case errors.As(err, &reused):
		return core.NewProblem(core.KindKeyReused, "the key was used for another request to service %s", c.request.Service)
	case errors.As(err, &unavailable):
		p.Detail, p.Outcome = "the request has run before, but its stored response cannot be read now", core.OutcomeRan
	}
	p.RetryAfter, p.Err = defaultRetryAfter, err
	return p
}

// recordOutcome writes the outcome of a claimed request to the ledger. If the
// write takes longer than claimTimeout, the ledger continues it in the
// background.
func (c *serviceCall) recordOutcome(ctx context.Context, claim ledger.Claim) {
	r := ledger.Result{Outcome: ledger.Outcome(c.outcome)}
	state := stateEnded
	switch {
	case c.outcome == core.OutcomeNotRun:
		state = stateNotSent
	case c.response != nil:
		r.Answer = encodeResponse(c.response)
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := c.d.ledger.Finish(ctx, claim, r); err != nil {
		c.d.log.Warn("outcome of a request is not recorded yet", "attempt", claim.Attempt, "outcome", r.Outcome, "error", err)
	}
	c.d.attempts.finish(claim.Attempt, state)
}

// requestDigest distinguishes different requests with the same key. Each part is
// preceded by its length, so that different requests never hash the same input.
func requestDigest(r *core.ServiceRequest) string {
	h := sha256.New()
	for _, p := range [][]byte{[]byte(r.Method), []byte(r.Path), []byte(r.Header.Get("Content-Type")), r.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write(p)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// storedResponse is the form in which the ledger stores a response.
type storedResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	Worker string      `json:"worker"`
}

func encodeResponse(r *core.ServiceResponse) []byte {
	b, err := json.Marshal(storedResponse{r.Status, r.Header, r.Body, r.Worker})
	if err != nil {
		return nil // impossible: every value of the type can be encoded
	}
	return b
}

func decodeResponse(b []byte) (*core.ServiceResponse, error) {
	var s storedResponse
	if err := json.Unmarshal(b, &s); err != nil {
		return nil, err
	}
	return &core.ServiceResponse{Status: s.Status, Header: s.Header, Body: s.Body, Worker: s.Worker, Replayed: true}, nil
}
