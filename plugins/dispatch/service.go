package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/placement"
)

// Service runs a call of a plain service.
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
	c := &call{
		job: job{
			d: d, caller: r.Caller, rank: r.Rank, space: r.Workspace, deadline: r.Deadline,
			cost: callCost,
			// Calls have no cache to return to, so they are spread evenly.
			plan: newPlan(placement.Hash(r.RequestID), []*pool{p}, d.health),
		},
		request: r,
		repeat:  idempotent(r.Method),
	}
	if slices.Contains(p.upstream.OnceMethods, r.Method) {
		return c.runOnce(ctx)
	}
	err := c.run(ctx, c.try)
	return c.answer, err
}

// callCost is the cost of a service call in tokens. Calls of a service compete
// only with one another, so that any equal value shares slots fairly.
const callCost = 100

// idempotent reports whether the method may be repeated (RFC 9110, 9.2.2).
func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// call is a service call that runs.
type call struct {
	job
	request *core.ServiceRequest
	repeat  bool // may run again when it is not known whether it ran
	answer  *core.ServiceResponse
}

// try makes one attempt.
func (c *call) try(ctx context.Context, a core.Attempt) result {
	answer, err := c.d.services.Call(ctx, a, c.request)
	if err == nil {
		c.answer = answer
		return result{sent: core.OutcomeRan, cost: callCost}
	}
	r := result{err: err, sent: core.OutcomeUnknown, cost: callCost}
	var failed *core.AttemptError
	if errors.As(err, &failed) {
		r.sent = failed.Outcome
		r.faulty = failed.Status == 0 && ctx.Err() == nil
	}
	if r.sent == core.OutcomeNotRun {
		r.cost = 0
	}
	r.retry = r.sent == core.OutcomeNotRun || c.repeat
	return r
}
