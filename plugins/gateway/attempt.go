package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// reply is a worker's answer whose header has been read and belongs to the
// request.
type reply struct {
	*http.Response
	header core.ResponseHeader
	cancel context.CancelFunc // ends the attempt and closes its connection
	watch  *watch
	sentAt time.Time
}

// failure says why an attempt gave no answer to pass on.
type failure struct {
	outcome core.Outcome
	sent    bool   // bytes of the request may have left
	paid    bool   // the repeat was taken from the budget
	reason  string // bounded set, for log and metrics
	err     error
}

func (f *failure) Error() string {
	if f.err == nil {
		return "gateway: attempt failed: " + f.reason
	}
	return "gateway: attempt failed: " + f.reason + ": " + f.err.Error()
}

func (f *failure) Unwrap() error { return f.err }

// Reasons of failures.
const (
	failConnect  = "connect"   // no connection
	failSend     = "no answer" // reset, closed or unreadable before a header
	failForeign  = "foreign answer"
	failUnsealed = "unsealed answer"
	failRefused  = "worker refused"
	failBody     = "answer cut"
	failStatus   = "worker failed" // 5xx of a worker that ran the request
	failStall    = "stalled"
	failOrder    = "events out of order"
	failDeadline = "deadline"
	failLeft     = "caller left"
)

// send gives the request to a worker and reads the header of its answer. The
// caller closes the body of the reply and calls cancel.
func (g *Gateway) send(x *exchange, c routing.Choice, lastEvent uint64) (*reply, *failure) {
	ctx, cancel := context.WithCancel(x.ctx)
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req := g.attemptRequest(httptrace.WithClientTrace(ctx, trace), x, c, lastEvent)
	watch := g.watch(x, c, cancel)
	start := time.Now()
	resp, err := g.upstream.transport.RoundTrip(req)
	if err != nil {
		cancel()
		f := sendFailure(err, connected)
		f.stalled(watch)
		return nil, f
	}
	h := g.wire.DecodeResponse(resp.StatusCode, resp.Header)
	if h.Load != nil && h.RequestID == x.in.ID {
		g.loaded(c.Worker, *h.Load)
	}
	if f := checkHeader(x.in.ID, resp.StatusCode, h); f != nil {
		watch.stop()
		cancel()
		_ = resp.Body.Close() // the connection is not used again
		return nil, f
	}
	return &reply{resp, h, cancel, watch, start}, nil
}

// stalled marks a failure that the watch caused; its repeat is paid for.
func (f *failure) stalled(w *watch) {
	if w.stop() {
		f.outcome, f.sent, f.reason, f.paid = core.OutcomeUnknown, true, failStall, true
	}
}

func sendFailure(err error, connected bool) *failure {
	var dial *dialError
	if errors.As(err, &dial) || !connected {
		return &failure{outcome: core.OutcomeNotRun, reason: failConnect, err: err}
	}
	return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failSend, err: err}
}

// checkHeader reports answers that are no answer to the request: refusals, and
// answers that belong to another request or lack the worker's seal.
func checkHeader(id string, status int, h core.ResponseHeader) *failure {
	switch {
	case h.RequestID != id && (h.RequestID != "" || !h.NotRun):
		return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failForeign, err: fmt.Errorf("answer to %q", h.RequestID)}
	case h.NotRun:
		return &failure{outcome: core.OutcomeNotRun, sent: true, reason: failRefused, err: fmt.Errorf("status %d", status)}
	case status >= 200 && status < 300 && !h.Sealed:
		return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failUnsealed}
	}
	return nil
}

// attemptRequest builds the request to a worker: the caller's method, path,
// query and body, with the header of an attempt.
func (g *Gateway) attemptRequest(ctx context.Context, x *exchange, c routing.Choice, lastEvent uint64) *http.Request {
	u := *x.r.URL
	u.Scheme, u.Host = "http", c.Worker.Address
	h := x.r.Header.Clone()
	dropHopHeaders(h)
	a := core.AttemptHeader{
		Worker: c.Worker.ID, Remaining: time.Until(x.deadline), Caller: x.callerName(),
		Priority: x.priority(), FetchFrom: c.FetchFrom, LastEventID: lastEvent,
	}
	g.wire.EncodeAttempt(h, a)
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps the library from adding its own
	}
	r := (&http.Request{Method: x.r.Method, URL: &u, Host: x.r.Host, Header: h, ContentLength: int64(len(x.body))}).WithContext(ctx)
	// A body without GetBody keeps the transport from sending the request
	// twice on its own; only the route says what may be repeated.
	r.Body = io.NopCloser(strings.NewReader(""))
	if len(x.body) > 0 {
		r.Body = io.NopCloser(&bodyReader{left: x.body})
	}
	return r
}

// bodyReader reads a body that several attempts share.
type bodyReader struct{ left []byte }

func (b *bodyReader) Read(p []byte) (int, error) {
	if len(b.left) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.left)
	b.left = b.left[n:]
	return n, nil
}

// priority is the caller's where it has one, else the route's.
func (x *exchange) priority() int {
	if x.caller != nil && x.caller.Priority != nil {
		return *x.caller.Priority
	}
	return x.route.Priority
}

// hopHeaders concern one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

func dropHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = http.CanonicalHeaderKey(strings.TrimSpace(name)); !slices.Contains(hopHeaders, name) {
				delete(h, name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// mayRepeat decides whether the request goes to another worker after a
// failure, and takes the repeat from the budget.
func (g *Gateway) mayRepeat(x *exchange, f *failure) bool {
	if x.ctx.Err() != nil || len(x.tried) >= maxTries {
		return false
	}
	if !f.sent {
		return true
	}
	if f.outcome != core.OutcomeNotRun && (!x.route.Retryable() || x.ranOn >= x.route.MaxAttempts) {
		return false
	}
	if !f.paid && !g.fleet.AllowRetry(x.destination, time.Now()) {
		g.decisions.count("repeats_refused", "reason", f.reason)
		return false
	}
	return true
}

// maxTries bounds the workers that one request is offered to, so that an
// upstream of which nothing answers does not hold it until its deadline.
const maxTries = 4

// attemptFailed records a failed attempt.
func (g *Gateway) attemptFailed(x *exchange, c routing.Choice, f *failure) {
	if f.outcome != core.OutcomeNotRun {
		x.ranOn++
	}
	if x.r.Context().Err() == nil && f.reason != failRefused {
		g.reach.failed(c.Worker, f.err)
		if g.fleet.RecordFailure(c.Worker, time.Now()) {
			g.decisions.change("worker ejected", "worker", c.Worker.ID, "upstream", c.Worker.Upstream, "reason", f.reason)
		}
	}
	g.decisions.count("attempt_failures", "reason", f.reason)
	g.decisions.request("attempt failed", "request", x.in.ID, "worker", c.Worker.ID, "attempt", len(x.tried), "reason", f.reason, "outcome", f.outcome, "error", f.err)
}
