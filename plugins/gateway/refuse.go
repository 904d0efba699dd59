package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Base values of Retry-After. A random wait between half and all of the value
// is sent, so that callers that were refused together do not return together.
const (
	// retryAfterStarting is the time that a starting router needs to read the
	// configuration from a slow store.
	retryAfterStarting = time.Second
	// retryAfterOverloaded is the time that a fully loaded worker needs to finish a
	// few requests.
	retryAfterOverloaded = 600 * time.Millisecond
	// retryAfterNoWorker is the time until a worker is usually listed again.
	retryAfterNoWorker = 800 * time.Millisecond
)

// timeoutDivisor sets Retry-After to a third of the caller's timeout while the
// router still has no configuration. The store may be unreachable for long, and
// most callers retry only a few times.
const timeoutDivisor = 3

// retryAfterWithoutConfig returns how long a caller should wait before it tries
// a router without a configuration again.
func (g *Gateway) retryAfterWithoutConfig(x *exchange) time.Duration {
	if x.start.Sub(g.started) < retryAfterStarting {
		return retryAfterStarting
	}
	return max(retryAfterStarting, x.header.Timeout/timeoutDivisor)
}

// refuse responds to a request that has not run and will not run.
func (g *Gateway) refuse(x *exchange, reason string, retryAfter time.Duration) {
	g.refuseFor(x, reason, retryAfter/2+time.Duration(rand.Int64N(int64(retryAfter/2))))
}

// refuseQuarantined refuses a request until the quarantine of its prompt part ends.
// It would crash another worker if it were sent sooner.
func (g *Gateway) refuseQuarantined(x *exchange) {
	g.refuseFor(x, "prompt part is quarantined", x.quarantined+time.Duration(rand.Int64N(int64(retryAfterStarting))))
}

// reasonStopping is the reason of requests that a router which stops does not serve.
const reasonStopping = "router is stopping"

// refuseStopping refuses a request since the router stops. The caller may return at
// once: its connection is closed, and a new one leads to another router.
func (g *Gateway) refuseStopping(x *exchange) {
	g.decisions.count("stop_refusals", "upstream", x.upstream)
	g.refuseFor(x, reasonStopping, 0)
}

// pauseSpread is the inverse part of a pause over which callers return after it.
const pauseSpread = 4

// refusePaused refuses a request because the workers that could run it want no
// requests. The callers return after the first pause has ended, not all at once.
func (g *Gateway) refusePaused(x *exchange) {
	g.decisions.count("pause_refusals", "upstream", x.upstream)
	g.refuseFor(x, "workers are paused", x.nextOpening+rand.N(x.nextOpening/pauseSpread+retryAfterOverloaded))
}

// refuseCold refuses a request because the workers that could run it are cold and no permit
// of this router for them is in force. The callers return after the next one begins, not
// all at once.
func (g *Gateway) refuseCold(x *exchange) {
	g.decisions.count("cold_refusals", "upstream", x.upstream)
	g.refuseFor(x, "workers are cold", x.nextPermit+rand.N(retryAfterOverloaded))
}

// refuseFor refuses a request and tells the caller how long to wait.
func (g *Gateway) refuseFor(x *exchange, reason string, wait time.Duration) {
	x.w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	x.setOutcome(outcomeRefused, reason, x.err)
	g.writeProblem(x, http.StatusServiceUnavailable, core.KindUpstreamUnavailable, core.OutcomeNotRun)
}

// deny responds to a request that is invalid or that the configuration does not
// allow.
func (g *Gateway) deny(x *exchange, status int, reason string, err error) {
	x.setOutcome(outcomeDenied, reason, err)
	g.writeProblem(x, status, denialKinds[status], core.OutcomeNotRun)
}

// denialKinds maps the HTTP status of a denial to the kind of problem.
var denialKinds = map[int]core.ProblemKind{
	http.StatusBadRequest:            core.KindInvalidRequest,
	http.StatusUnauthorized:          core.KindUnauthorized,
	http.StatusNotFound:              core.KindNotFound,
	http.StatusRequestTimeout:        core.KindInvalidRequest,
	http.StatusRequestEntityTooLarge: core.KindBodyTooLarge,
}

// fail responds to a request that may have run, if no part of its response has
// been forwarded.
func (g *Gateway) fail(x *exchange, status int, reason string, err error) {
	if x.r.Context().Err() != nil {
		x.setOutcome(outcomeDisconnected, "caller left", err)
		x.abort = true
		return
	}
	x.setOutcome(outcomeFailed, reason, err)
	g.writeProblem(x, status, core.KindAnswerIncomplete, core.OutcomeUnknown)
}

// writeProblem writes an error response of the router itself as problem+json.
func (g *Gateway) writeProblem(x *exchange, status int, kind core.ProblemKind, outcome core.Outcome) {
	x.status = status
	p := core.Problem{Kind: kind, Detail: x.reason, Outcome: outcome}
	body := p.JSON(x.header.ID)
	body.Status, body.Title = status, http.StatusText(status)
	x.w.Header().Set("Content-Type", "application/problem+json")
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(body) // the connection may be closed
}
