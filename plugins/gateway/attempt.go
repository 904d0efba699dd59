package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/upload"
	"github.com/auburnlead/auburnlead/routing"
)

// workerResponse is the response of a worker to one attempt. Its header has
// been read and checked to belong to the request.
type workerResponse struct {
	*http.Response
	header     core.ResponseHeader
	cancel     context.CancelFunc // ends the attempt and closes its connection
	stallTimer *stallTimer
	sentAt     time.Time
}

// isFramed reports whether the end of the response shows that it is complete. A
// response without a length and chunks ends with its connection, also if the worker
// crashes.
func (r *workerResponse) isFramed() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// failure says why an attempt produced no response that can be forwarded.
type failure struct {
	outcome       core.Outcome
	sent          bool          // the worker may have received bytes of the request
	full          bool          // the worker rejected the request for lack of room
	paused        bool          // the worker asked for a pause, which is no fault of it
	retryReserved bool          // the retry has already been taken from the retry budget
	reason        string        // one of the reasons below, used in logs and metrics
	progress      time.Duration // time since the first event of the attempt, 0 for no event
	conn          connHistory
	answerID      string // request ID in the response, empty for none or for no response
	err           error
}

func (f *failure) Error() string {
	if f.err == nil {
		return "gateway: attempt failed: " + f.reason
	}
	return "gateway: attempt failed: " + f.reason + ": " + f.err.Error()
}

func (f *failure) Unwrap() error { return f.err }

// Reasons of failed attempts, as they appear in logs and metrics.
const (
	failConnect      = "connect"        // no connection could be opened
	failEvacuated    = "evacuated"      // the worker's failure domain was evacuated before the request was sent
	failNoResponse   = "no answer"      // connection reset, closed or unreadable before a response header
	failWrongRequest = "foreign answer" // the response belongs to another request
	failNoStatus     = "answer without a valid status"
	failUnsealed     = "unsealed answer"
	failRefused      = "worker refused"
	failUnattributed = "refusal without a request ID on a used connection"
	failUnstated     = "refusal without a statement that it was not run"
	failOversized    = "answer too large"
	failTruncated    = "answer cut"
	failStatus       = "worker failed" // 5xx from a worker that ran the request
	failStall        = "stalled"
	failSequence     = "events out of order"
	failDeadline     = "deadline"
	failDisconnected = "caller left"
)

// send sends the request to a worker and reads the header of the response. The
// calling function must close the body of the response and call cancel. A
// lastEvent of 0 keeps the Last-Event-ID of the caller's request.
func (g *Gateway) send(x *exchange, c routing.Choice, lastEvent uint64) (*workerResponse, *failure) {
	ctx, cancel := context.WithCancel(x.ctx)
	stall := g.startStallTimer(x, c, cancel)
	start := time.Now()
	resp, conn, err := g.roundTrip(ctx, x, c, lastEvent)
	if err != nil {
		cancel()
		f := classifySendError(err, conn.number > 0)
		f.conn = conn
		f.markStalled(stall)
		return nil, f
	}
	if !core.IsResponseStatus(resp.StatusCode) {
		conn.drop()
		stall.stop()
		cancel()
		_ = resp.Body.Close() // not forwarded
		return nil, &failure{outcome: core.OutcomeUnknown, sent: true, reason: failNoStatus, conn: conn, err: fmt.Errorf("status %03d", resp.StatusCode)}
	}
	h := g.wire.DecodeResponse(resp.StatusCode, resp.Header)
	for _, in := range h.Unread {
		g.decisions.unreadable.Report(c.Worker.ID, in)
	}
	if h.Load != nil && namesRequest(x.header.ID, h, conn) {
		g.recordLoad(c.Worker, *h.Load)
	}
	if namesRequest(x.header.ID, h, conn) && !isMisdirected(resp.StatusCode) {
		g.limits.record(c.Worker, h)
	}
	if isAttributed(x.header.ID, h, conn) && !isMisdirected(resp.StatusCode) {
		g.recordStatements(x, c.Worker, h)
		g.cold.record(c.Worker, h)
	}
	if h.NotRun && h.RequestID == "" && x.header.ID != "" && g.fleet.RecordAnonymousRefusal(c.Worker, start) {
		g.decisions.logChange("worker refuses without a request ID", "worker", c.Worker.ID, "upstream", c.Worker.Upstream, "request", x.header.ID, "status", resp.StatusCode, "reused_connection", conn.reused)
	}
	if f := checkResponseHeader(x.header.ID, resp.StatusCode, h, conn); f != nil {
		if f.reason == failWrongRequest || f.reason == failUnattributed {
			conn.retire() // the response to this request may still follow
		}
		stall.stop()
		cancel()
		_ = resp.Body.Close() // a connection with an unread body is not used again
		f.full = f.reason == failRefused && isFull(resp.StatusCode, h)
		f.paused = f.reason == failUnstated && h.Pause > 0
		f.conn, f.answerID = conn, h.RequestID
		return nil, f
	}
	return &workerResponse{resp, h, cancel, stall, start}, nil
}

// isFault reports whether a failure may be a fault of the worker. A refusal is none,
// and neither is an evacuation or one that may be an additional response to an earlier
// request.
func (f *failure) isFault() bool {
	return f.reason != failRefused && f.reason != failEvacuated && f.reason != failUnattributed && !f.paused
}

// markStalled marks a failure that the stall timer caused. Its retry has
// already been taken from the budget.
func (f *failure) markStalled(stall *stallTimer) {
	if stall.stop() {
		f.outcome, f.sent, f.reason, f.retryReserved = core.OutcomeUnknown, true, failStall, true
	}
}

func classifySendError(err error, connected bool) *failure {
	if errors.Is(err, errEvacuated) {
		return &failure{outcome: core.OutcomeNotRun, reason: failEvacuated, err: err}
	}
	var dial *dialError
	if errors.As(err, &dial) || !connected {
		return &failure{outcome: core.OutcomeNotRun, reason: failConnect, err: err}
	}
	return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failNoResponse, err: err}
}

// checkResponseHeader returns a failure if the response cannot be forwarded: it
// is a refusal, it belongs to another request, or it is a success without the
// worker's seal, a digest of the body. A status that promises callers that the request
// was not run is not forwarded if the worker does not state that.
func checkResponseHeader(id string, status int, h core.ResponseHeader, conn connHistory) *failure {
	switch {
	case isAttributed(id, h, conn):
	case h.RequestID == "" && h.NotRun:
		return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failUnattributed, err: fmt.Errorf("status %d", status)}
	default:
		return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failWrongRequest, err: fmt.Errorf("answer to %q", h.RequestID)}
	}
	switch {
	case h.NotRun:
		return &failure{outcome: core.OutcomeNotRun, sent: true, reason: failRefused, err: fmt.Errorf("status %d", status)}
	case core.PromisesNotRun(status):
		return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failUnstated, err: fmt.Errorf("status %d", status)}
	case isSuccess(status) && !h.Sealed:
		return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failUnsealed}
	}
	return nil
}

// isAttributed reports whether a response belongs to the request that was sent on its
// connection. Only a refusal may lack the request ID, and only on a connection that was
// not used before: on another one it may be an additional response to an earlier
// request. The same holds for each response to a request without an ID.
func isAttributed(id string, h core.ResponseHeader, conn connHistory) bool {
	if id == "" {
		return h.RequestID == "" && !conn.reused
	}
	return namesRequest(id, h, conn) || h.RequestID == "" && h.NotRun && !conn.reused
}

// namesRequest reports whether a response bears the ID of the request, and no other
// request on its connection had this ID. An attempt is not sent on a connection that has
// carried its ID, so the second condition holds as long as that is kept.
func namesRequest(id string, h core.ResponseHeader, conn connHistory) bool {
	return h.RequestID == id && !conn.carriedID
}

// recordStatements records what a worker said of itself in a response.
func (g *Gateway) recordStatements(x *exchange, w *routing.Worker, h core.ResponseHeader) {
	now := time.Now()
	if h.Leaving && g.fleet.RecordLeaving(w, now) {
		g.decisions.logChange("worker says that it leaves", "worker", w.ID, "upstream", w.Upstream, "request", x.header.ID)
	}
	if h.Pause <= 0 {
		return
	}
	if until, started := g.fleet.RecordPause(w, h.Pause, now); started {
		g.pauses.push()
		g.decisions.logChange("worker paused", "worker", w.ID, "upstream", w.Upstream, "request", x.header.ID, "asked_ms", h.Pause.Milliseconds(), "pause_ms", until.Sub(now).Milliseconds())
	}
}

// isMisdirected reports whether a response is of another worker than the one chosen,
// which uses its address now.
func isMisdirected(status int) bool { return status == http.StatusMisdirectedRequest }

// newAttemptRequest builds the request to a worker: the caller's method, path,
// query and body, nil for none, with the header fields of an attempt.
func (g *Gateway) newAttemptRequest(ctx context.Context, x *exchange, c routing.Choice, lastEvent uint64, body *upload.Body) *http.Request {
	u := *x.r.URL
	u.Scheme, u.Host = "http", c.Worker.Address
	h := x.r.Header.Clone()
	removeHopByHopHeaders(h)
	a := core.AttemptHeader{
		Worker: c.Worker.ID, Remaining: time.Until(x.deadline), Caller: x.callerName(),
		Priority: x.priority(), FetchFrom: c.FetchFrom, LastEventID: lastEvent,
	}
	g.wire.EncodeAttempt(h, a)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	r := (&http.Request{Method: x.r.Method, URL: &u, Host: x.r.Host, Header: h, ContentLength: x.bodySize()}).WithContext(ctx)
	// Without GetBody the transport does not resend the request on its own; only
	// the route decides what may be retried.
	if r.Body = upload.NewBody(); body != nil {
		r.Body = body
	}
	return r
}

// newBody returns the body of an attempt, nil for none.
func (x *exchange) newBody() *upload.Body {
	if x.bodySize() == 0 {
		return nil
	}
	b := upload.NewBody(x.body.Chunks()...)
	x.sent = append(x.sent, b)
	return b
}

// priority returns the caller's priority if it has one, otherwise the route's.
func (x *exchange) priority() int {
	if x.caller != nil && x.caller.Priority != nil {
		return *x.caller.Priority
	}
	return x.route.Priority
}

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(hopByHopHeaders, name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// mayRetry reports whether the request may go to another worker after a
// failure. If the failed attempt was sent, the retry is taken from the retry
// budget.
func (g *Gateway) mayRetry(x *exchange, f *failure) bool {
	if x.ctx.Err() != nil || len(x.tried) >= maxWorkersTried {
		return false
	}
	if !f.sent {
		return true
	}
	if f.outcome != core.OutcomeNotRun && (!x.route.Retryable() || x.possibleRuns >= x.route.MaxAttempts) {
		return false
	}
	if !f.retryReserved && !g.fleet.AllowRetry(x.upstream, time.Now()) {
		g.decisions.count("repeats_refused", "reason", f.reason)
		return false
	}
	return true
}

// maxWorkersTried limits the workers to which one request is sent, so that a
// request does not last until its deadline if all workers of the upstream fail
// to respond.
const maxWorkersTried = 4

// freeWorker breaks off responses that nobody reads of a worker that did not answer an
// attempt: they may hold all connections that it accepts.
func (g *Gateway) freeWorker(w *routing.Worker, f *failure) {
	if f.reason != failConnect && f.reason != failNoResponse {
		return
	}
	if n := g.bytes.YieldHolding(w.ID, time.Now()); n > 0 {
		g.decisions.logChange("unread responses broken off", "worker", w.ID, "upstream", w.Upstream, "responses", n)
	}
}

// recordFailedAttempt updates worker health, metrics and the log after a failed
// attempt.
func (g *Gateway) recordFailedAttempt(x *exchange, c routing.Choice, f *failure) {
	if f.outcome != core.OutcomeNotRun {
		x.possibleRuns++
	}
	if x.r.Context().Err() == nil && f.isFault() {
		g.reachability.handleFailure(c.Worker, f.err)
		if f.isSuspect() {
			g.crashes.handleLostAnswer(c.Worker, x.sharedPartIDs())
		}
		if g.fleet.RecordFailure(c.Worker, time.Now()) {
			g.decisions.logChange("worker ejected", "worker", c.Worker.ID, "upstream", c.Worker.Upstream, "reason", f.reason)
		}
	}
	if f.full {
		g.room.recordRejected(x)
	}
	g.freeWorker(c.Worker, f)
	g.decisions.count("attempt_failures", "reason", f.reason)
	g.decisions.logRequest("attempt failed", "request", x.header.ID, "worker", c.Worker.ID, "attempt", len(x.tried), "reason", f.reason, "outcome", f.outcome, "used_connection", f.conn.reused, "connection", f.conn.number, "carried", f.conn.requests, "carried_id", f.conn.carriedID, "answer_id", f.answerID, "shared_parts", formatParts(x.sharedParts()), "error", f.err)
}
