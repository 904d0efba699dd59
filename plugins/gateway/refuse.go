package gateway

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Times after which callers may come back. Half of each is spread at random,
// so that callers who were refused together do not return together.
const (
	// retryStarting is the time in which a starting router reads the
	// configuration from a slow store.
	retryStarting = time.Second
	// retryFull is the time in which a full worker ends a few requests.
	retryFull = 600 * time.Millisecond
	// retryNoWorker is the time in which a worker is listed again.
	retryNoWorker = 800 * time.Millisecond
)

// retryShare is the part of a caller's time, one of so many, after which it
// comes back to a router that still has no configuration: the store is away, for
// a time that nobody knows, and most callers have few tries.
const retryShare = 3

// retryWithoutConfig is the time after which a caller may come back to a router
// without a configuration.
func (g *Gateway) retryWithoutConfig(x *exchange) time.Duration {
	if x.start.Sub(g.started) < retryStarting {
		return retryStarting
	}
	return max(retryStarting, x.in.Timeout/retryShare)
}

// refuse answers a request that has not run and will not.
func (g *Gateway) refuse(x *exchange, reason string, after time.Duration) {
	wait := after/2 + time.Duration(rand.Int64N(int64(after/2)))
	x.w.Header().Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 3, 64))
	x.end(endRefused, reason, x.err)
	g.answer(x, http.StatusServiceUnavailable, core.KindUpstreamUnavailable, core.OutcomeNotRun)
}

// deny answers a request that the configuration does not allow.
func (g *Gateway) deny(x *exchange, status int, reason string, err error) {
	x.end(endDenied, reason, err)
	g.answer(x, status, denialKinds[status], core.OutcomeNotRun)
}

// denialKinds are the kinds of problems by the status of a denial.
var denialKinds = map[int]core.ProblemKind{
	http.StatusBadRequest:            core.KindInvalidRequest,
	http.StatusUnauthorized:          core.KindUnauthorized,
	http.StatusNotFound:              core.KindNotFound,
	http.StatusRequestEntityTooLarge: core.KindBodyTooLarge,
}

// fail answers a request that may have run, before anything of its answer was
// passed on.
func (g *Gateway) fail(x *exchange, status int, reason string, err error) {
	if x.r.Context().Err() != nil {
		x.end(endLeft, "caller left", err)
		x.abort = true
		return
	}
	x.end(endFailed, reason, err)
	g.answer(x, status, core.KindAnswerIncomplete, core.OutcomeUnknown)
}

// answer writes the router's own answer as problem+json.
func (g *Gateway) answer(x *exchange, status int, kind core.ProblemKind, outcome core.Outcome) {
	x.status = status
	p := core.Problem{Kind: kind, Detail: x.reason, Outcome: outcome}
	body := p.JSON(x.in.ID)
	body.Status, body.Title = status, http.StatusText(status)
	x.w.Header().Set("Content-Type", "application/problem+json")
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(body) // the connection may be gone
}
