package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/framing"
	"github.com/auburnlead/auburnlead/internal/upload"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/routing"
)

// exchange is one request of a caller while it is being served.
type exchange struct {
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context // ends when the caller disconnects or the deadline passes

	header    core.RequestHeader
	route     *objects.Route
	caller    *objects.Caller
	upstream  string // name of the upstream that was picked
	revision  uint64
	body      *bytebudget.Body   // nil before the request is admitted
	sent      []*upload.Body     // bodies of the attempts
	responses []*bytebudget.Body // buffered responses of the attempts
	start     time.Time
	timeout   time.Duration // the caller's timeout or the route's, whichever is shorter
	deadline  time.Time

	tried        []*routing.Worker // workers to which the request was sent, in order
	possibleRuns int               // number of workers that ran the request or may have
	// Workers of the upstream that take no more requests for now because of their
	// limits, and the time until one of them takes one of this router again.
	limitedWorkers int
	nextPermit     time.Duration
	coldWorkers    int                // those of them that are cold
	pausedWorkers  int                // workers of the upstream that want no requests for now
	nextOpening    time.Duration      // time until one of them takes requests again
	evacuated      bool               // all workers that could run it are in evacuated failure domains
	room           admission.Decision // last decision on the upstream's room
	place          *heldPlace         // of the last attempt
	rejected       bool               // a worker has rejected it for lack of room
	tooLate        bool               // the router stops before the request's deadline
	quarantined    time.Duration      // remaining quarantine of one of its prompt parts, 0 for none
	status         int
	outcome        string // one of the outcomes below
	reason         string // reason of the outcome, for log and metrics
	err            error  // cause of a failure
	firstByte      time.Duration
	events         int
	abort          bool // close the connection without completing the response

	conn          *http.ResponseController
	writeDeadline time.Time // deadline set on the caller's connection, zero for none
}

// extendWriteDeadline lets the caller's connection fail if a write takes longer than
// the timeout, so that a caller that does not read cannot hold a request for ever.
func (x *exchange) extendWriteDeadline(timeout time.Duration) {
	now := time.Now()
	if x.writeDeadline.Sub(now) > timeout*3/4 {
		return
	}
	x.writeDeadline = now.Add(timeout)
	_ = x.conn.SetWriteDeadline(x.writeDeadline) // not supported by recorders in tests
}

// interruptWrite ends a write to the caller.
func (x *exchange) interruptWrite() { _ = x.conn.SetWriteDeadline(time.Now()) }

// startupWait is the longest time that a request waits for the first
// configuration and worker list. A router reads them within about 30 ms of its
// start, so a request that arrives before that need not be refused.
const startupWait = 100 * time.Millisecond

// waitFor waits until ready is closed, at most until startupWait has passed since
// the request arrived.
func (x *exchange) waitFor(ready <-chan struct{}) {
	select {
	case <-ready:
		return
	default:
	}
	timer := time.NewTimer(startupWait - time.Since(x.start))
	defer timer.Stop()
	select {
	case <-ready:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
}

// Outcomes of an exchange, as they appear in logs and metrics.
const (
	outcomeServed       = "served"  // the worker's complete response was forwarded
	outcomeRelayed      = "relayed" // an error response of the worker was forwarded
	outcomeRefused      = "refused" // the request has not run and will not run
	outcomeDenied       = "denied"  // no such route, invalid key or invalid request
	outcomeFailed       = "failed"  // the request may have run
	outcomeTruncated    = "cut"     // the response was aborted after a part of it was sent
	outcomeDisconnected = "left"    // the caller disconnected
)

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

func (x *exchange) callerName() string {
	if x.caller == nil {
		return ""
	}
	return x.caller.Name
}

func (x *exchange) lastWorker() string {
	if len(x.tried) == 0 {
		return ""
	}
	return x.tried[len(x.tried)-1].ID
}

// setOutcome records how the exchange ended.
func (x *exchange) setOutcome(outcome, reason string, err error) {
	x.outcome, x.reason, x.err = outcome, reason, err
}

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	g.decisions.requestsInFlight.Add(1)
	defer g.decisions.requestsInFlight.Add(-1)
	x := &exchange{w: w, r: r, start: time.Now(), conn: http.NewResponseController(w)}
	x.extendWriteDeadline(g.settings.WriteTimeout)
	connlimit.LimitUnreadBody(x.r, x.conn)
	if g.server.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	g.closeIfIsolated(w.Header())
	defer g.closeOnPanic(x)
	defer x.releaseBytes()
	g.serve(x)
	g.decisions.recordEnd(x)
	if x.abort {
		panic(http.ErrAbortHandler)
	}
}

// closeOnPanic logs an unexpected panic of a handler and closes the caller's
// connection, so that the error ends one request only.
func (g *Gateway) closeOnPanic(x *exchange) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		g.decisions.logWarning("request handler failed", "request", x.header.ID, "route", x.routeName(), "worker", x.lastWorker(), "error", v)
	}
	panic(http.ErrAbortHandler)
}

// serve prepares the request and responds to it.
func (g *Gateway) serve(x *exchange) {
	if !g.prepare(x) {
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(g.server.ending, cancel)()
	x.ctx = ctx
	if x.route.Kind == objects.RouteStream {
		g.serveStream(x)
		return
	}
	g.serveBuffered(x)
}

// prepare finds the route and the caller and reads the body. If the request
// cannot be served, it writes the response and returns false.
func (g *Gateway) prepare(x *exchange) bool {
	ambiguous := framing.Check(x.r)
	if ambiguous != nil {
		x.w.Header().Set("Connection", "close")
	}
	var err error
	x.header, err = g.wire.DecodeRequest(x.r.Header)
	if ambiguous != nil {
		g.deny(x, http.StatusBadRequest, "ambiguous framing", ambiguous)
		return false
	}
	if err != nil {
		g.deny(x, http.StatusBadRequest, "malformed header", err)
		return false
	}
	for _, in := range x.header.Unread {
		g.decisions.unreadable.Report(x.header.ID, in)
	}
	x.waitFor(g.routes.loaded)
	table := g.routes.table.Load()
	if table == nil {
		g.refuse(x, newRefusal(reasonNoConfig, g.retryAfterWithoutConfig(x)))
		return false
	}
	x.revision = table.revision
	if x.route = table.match(x.r.Host, x.r.URL.EscapedPath()); x.route == nil {
		g.deny(x, http.StatusNotFound, reasonNoRoute, nil)
		return false
	}
	if !x.route.Public {
		if x.caller = table.caller(x.header.Key); x.caller == nil {
			g.deny(x, http.StatusUnauthorized, reasonUnknownKey, nil)
			return false
		}
	}
	x.setDeadline()
	x.upstream = pickUpstream(x.route, rand.Float64())
	x.waitFor(g.workersListed)
	return g.admit(x) && g.readBody(x)
}

// setDeadline sets the timeout and the deadline from those of the route and the caller.
func (x *exchange) setDeadline() {
	x.timeout = x.route.Timeout
	if x.header.Timeout > 0 && x.header.Timeout < x.timeout {
		x.timeout = x.header.Timeout
	}
	x.deadline = x.start.Add(x.timeout)
}
