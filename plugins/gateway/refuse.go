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

// routerRefusal is the router's own response to a request that has not run and will not run.
type routerRefusal struct {
	reason  string
	counter string        // counter of these refusals, empty for none
	least   time.Duration // least Retry-After
	spread  time.Duration // Retry-After is below least plus spread, at random
}

// newRefusal returns a refusal with a Retry-After between half and all of a time.
func newRefusal(reason string, retryAfter time.Duration) routerRefusal {
	return routerRefusal{reason: reason, least: retryAfter / 2, spread: retryAfter / 2}
}

// refuse responds to a request that has not run and will not run.
func (g *Gateway) refuse(x *exchange, r routerRefusal) {
	if r.counter != "" {
		g.decisions.count(r.counter, "upstream", x.upstream)
	}
	wait := r.least
	if r.spread > 0 {
		wait += rand.N(r.spread)
	}
	x.w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	x.setOutcome(outcomeRefused, r.reason, x.err)
	g.writeProblem(x, http.StatusServiceUnavailable, core.KindUpstreamUnavailable, core.OutcomeNotRun)
}

// refusalOf returns the refusal of a request that no worker has run. last is the failure
// of the last attempt, nil if there was none.
func (g *Gateway) refusalOf(x *exchange, last *failure) routerRefusal {
	switch {
	case x.tooLate || g.server.ending.Err() != nil:
		return stoppingRefusal
	case x.quarantined > 0:
		return quarantineRefusal(x)
	case x.evacuated:
		return evacuationRefusal
	case x.room.Refused:
		return roomRefusal(x)
	case x.pausedWorkers > 0:
		return pauseRefusal(x)
	case last != nil:
		return newRefusal(last.reason, retryAfterOverloaded)
	case x.coldWorkers > 0:
		return coldRefusal(x)
	case x.limitedWorkers > 0:
		return routerRefusal{reason: "workers are at their limits", counter: "limit_refusals", least: x.nextPermit, spread: retryAfterOverloaded}
	}
	return newRefusal("no worker", retryAfterNoWorker)
}

// quarantineRefusal lasts until the quarantine of the request's prompt part ends. It
// would crash another worker if it were sent sooner.
func quarantineRefusal(x *exchange) routerRefusal {
	return routerRefusal{reason: "prompt part is quarantined", least: x.quarantined, spread: retryAfterStarting}
}

// Reasons of requests that are answered before an upstream is picked.
const (
	reasonNoConfig   = "no configuration yet"
	reasonNoRoute    = "no route"
	reasonUnknownKey = "unknown key"
)

// reasonStopping is the reason of requests that a router which stops does not serve.
const reasonStopping = "router is stopping"

// stoppingRefusal is that of a router that stops. The caller may return at once: its
// connection is closed, and a new one leads to another router.
var stoppingRefusal = routerRefusal{reason: reasonStopping, counter: "stop_refusals"}

// tooManyRefusal is that of a request for which no connection to a worker is left. The
// requests in flight end as fast as those of fully loaded workers.
var tooManyRefusal = routerRefusal{reason: "too many requests in flight", counter: "request_refusals", least: retryAfterOverloaded / 2, spread: retryAfterOverloaded / 2}

// pauseSpread is the inverse part of a pause over which callers return after it.
const pauseSpread = 4

// pauseRefusal is that of a request whose workers want no requests. The callers return
// after the first pause has ended, not all at once.
func pauseRefusal(x *exchange) routerRefusal {
	return routerRefusal{reason: "workers are paused", counter: "pause_refusals", least: x.nextOpening, spread: x.nextOpening/pauseSpread + retryAfterOverloaded}
}

// coldRefusal is that of a request whose workers are cold while no permit of this router
// for them is in force. The callers return after the next one begins, not all at once.
func coldRefusal(x *exchange) routerRefusal {
	return routerRefusal{reason: "workers are cold", counter: "cold_refusals", least: x.nextPermit, spread: retryAfterOverloaded}
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
