package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/routing"
)

// exchange is one request of a caller on its way.
type exchange struct {
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context // ends with the caller's connection and at the limit

	in          core.RequestHeader
	route       *objects.Route
	caller      *objects.Caller
	destination string // upstream
	revision    uint64
	body        []byte
	start       time.Time
	limit       time.Duration // the caller's deadline or the route's timeout
	deadline    time.Time

	tried     []*routing.Worker // workers to which the request was given, in order
	ranOn     int               // workers that ran it or may have
	status    int
	outcome   string // how it ended, for log and metrics
	reason    string // why it ended so
	err       error  // cause of a failure
	firstByte time.Duration
	events    int
	abort     bool // the connection has to be closed without an end
}

// startHold is the longest wait of a request for the first configuration and
// list of workers. A router reads them within some 30 ms of its start, so that a
// request which came in between need not come back.
const startHold = 100 * time.Millisecond

// await waits until first is closed, at most for what is left of startHold.
func (x *exchange) await(first <-chan struct{}) {
	select {
	case <-first:
		return
	default:
	}
	timer := time.NewTimer(startHold - time.Since(x.start))
	defer timer.Stop()
	select {
	case <-first:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
}

// Outcomes of an exchange.
const (
	endServed  = "served"  // the worker's answer, whole
	endRelayed = "relayed" // a failure that the worker answered with
	endRefused = "refused" // not run, and never will be
	endDenied  = "denied"  // no such route or key
	endFailed  = "failed"  // may have run
	endCut     = "cut"     // broken off after a part of the answer
	endLeft    = "left"    // the caller left
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

// end records how the exchange ended.
func (x *exchange) end(outcome, reason string, err error) {
	x.outcome, x.reason, x.err = outcome, reason, err
}

func (g *Gateway) serveRequest(w http.ResponseWriter, r *http.Request) {
	g.decisions.active.Add(1)
	defer g.decisions.active.Add(-1)
	x := &exchange{w: w, r: r, start: time.Now()}
	if g.server.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	g.redirect(w.Header())
	g.serve(x)
	g.decisions.ended(x)
	if x.abort {
		panic(http.ErrAbortHandler)
	}
}

// serve admits the request and answers it.
func (g *Gateway) serve(x *exchange) {
	if !g.admit(x) {
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if x.route.Kind == objects.RouteStream {
		g.serveStream(x)
		return
	}
	g.serveWhole(x)
}

// admit finds route and caller and reads the body. It answers and returns
// false when the request cannot go on.
func (g *Gateway) admit(x *exchange) bool {
	var err error
	if x.in, err = g.wire.DecodeRequest(x.r.Header); err != nil {
		g.deny(x, http.StatusBadRequest, "malformed header", err)
		return false
	}
	x.await(g.routes.first)
	table := g.routes.table.Load()
	if table == nil {
		g.refuse(x, "no configuration yet", g.retryWithoutConfig(x))
		return false
	}
	x.revision = table.revision
	if x.route = table.match(x.r.Host, x.r.URL.EscapedPath()); x.route == nil {
		g.deny(x, http.StatusNotFound, "no route", nil)
		return false
	}
	if !x.route.Public {
		if x.caller = table.caller(x.in.Key); x.caller == nil {
			g.deny(x, http.StatusUnauthorized, "unknown key", nil)
			return false
		}
	}
	x.limit = x.route.Timeout
	if x.in.Timeout > 0 && x.in.Timeout < x.limit {
		x.limit = x.in.Timeout
	}
	x.deadline = x.start.Add(x.limit)
	x.destination = destination(x.route, rand.Float64())
	x.await(g.listed)
	return g.readBody(x)
}

func (g *Gateway) readBody(x *exchange) bool {
	if x.r.ContentLength > g.settings.BodyBytes {
		g.deny(x, http.StatusRequestEntityTooLarge, "body too large", nil)
		return false
	}
	var b bytes.Buffer
	if x.r.ContentLength > 0 {
		b.Grow(int(x.r.ContentLength) + bytes.MinRead)
	}
	_, err := io.Copy(&b, http.MaxBytesReader(x.w, x.r.Body, g.settings.BodyBytes))
	x.body = b.Bytes()
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		g.deny(x, http.StatusRequestEntityTooLarge, "body too large", err)
	default:
		x.end(endLeft, "body not read", err)
		x.abort = true
	}
	return false
}
