package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/placement"
)

// Service runs a call to a plain service.
func (d *Dispatcher) Service(ctx context.Context, r *core.ServiceRequest) (*core.ServiceResponse, error) {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	x := d.index.Load()
	if x == nil {
		return nil, core.NewProblem(core.KindNotReady, "no configuration is in force yet")
	}
	p := x.services[r.Service]
	if p == nil {
		return nil, core.NewProblem(core.KindNotFound, "there is no such service")
	}
	c := &serviceCall{
		requestJob: requestJob{
			d: d, requestID: r.RequestID, caller: r.Caller, rank: r.Rank, workspace: r.Workspace, deadline: r.Deadline,
			expectedTokens: callCostTokens,
			// Service calls gain nothing from reaching the same worker again, so
			// they are spread evenly.
			candidates: newCandidatePlan(placement.Hash(r.RequestID), []*upstreamPool{p}, d.health),
		},
		request:        r,
		retryIfUnknown: idempotent(r.Method),
	}
	if slices.Contains(p.upstream.OnceMethods, r.Method) {
		return c.runOnce(ctx)
	}
	err := c.run(ctx, c.try)
	return c.response, err
}

// callCostTokens is the cost of a service call in tokens. Calls to a service
// compete for slots only with one another, so the same cost for all of them shares
// the slots fairly, whatever its value.
const callCostTokens = 100

// idempotent reports whether a request with the method may be sent again
// (RFC 9110, 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// serviceCall is a running call to a plain service.
type serviceCall struct {
	requestJob
	request        *core.ServiceRequest
	retryIfUnknown bool // another attempt may follow one whose outcome is unknown
	response       *core.ServiceResponse
}

// try makes one attempt.
func (c *serviceCall) try(ctx context.Context, a core.Attempt) attemptResult {
	response, err := c.d.services.Call(ctx, a, c.request)
	if err == nil {
		c.response = response
		return attemptResult{outcome: core.OutcomeRan, costTokens: callCostTokens}
	}
	r := attemptResult{err: err, outcome: core.OutcomeUnknown, costTokens: callCostTokens}
	var failed *core.AttemptError
	if errors.As(err, &failed) {
		r.outcome = failed.Outcome
		// With status 0 the worker sent no response.
		r.workerFault = failed.Status == 0 && ctx.Err() == nil
	}
	if r.outcome == core.OutcomeNotRun {
		r.costTokens = 0
	}
	r.retryable = r.outcome == core.OutcomeNotRun || c.retryIfUnknown
	return r
}
