package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// serveWhole answers a request whose answer is read whole before it is passed
// on, so that a broken one can be replaced by that of another worker.
func (g *Gateway) serveWhole(x *exchange) {
	var last *failure
	var failed *wholeAnswer // a failure that a worker answered with
	for {
		c, ok := g.choose(x)
		if !ok {
			g.giveUp(x, last, failed)
			return
		}
		a, f := g.attemptWhole(x, c)
		if f == nil && a.status < http.StatusInternalServerError {
			g.fleet.RecordEnd(c, true, time.Now())
			g.deliver(x, a, endServed)
			return
		}
		if f == nil {
			failed = a
			f = &failure{outcome: core.OutcomeRan, sent: true, reason: failStatus, err: errors.New(strconv.Itoa(a.status))}
		}
		g.fleet.RecordEnd(c, false, time.Now())
		g.attemptFailed(x, c, f)
		last = f
		if !g.mayRepeat(x, f) {
			g.giveUp(x, last, failed)
			return
		}
	}
}

// wholeAnswer is a worker's answer, complete unless rest is left to read.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
	rest   *reply
}

func (g *Gateway) attemptWhole(x *exchange, c routing.Choice) (*wholeAnswer, *failure) {
	r, f := g.send(x, c, 0)
	if f != nil {
		return nil, f
	}
	return g.readWhole(c, r)
}

func (g *Gateway) readWhole(c routing.Choice, r *reply) (*wholeAnswer, *failure) {
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(g.settings.AnswerBytes)))
	took := time.Since(r.sentAt)
	a := &wholeAnswer{status: r.StatusCode, header: r.Header, body: body}
	if err == nil && len(body) == g.settings.AnswerBytes {
		r.watch.stop()
		a.rest = r
		return a, nil
	}
	_ = r.Body.Close() // read to its end or broken
	r.cancel()
	if err != nil {
		f := &failure{outcome: core.OutcomeUnknown, sent: true, reason: failBody, err: err}
		f.stalled(r.watch)
		return nil, f
	}
	r.watch.stop()
	g.fleet.RecordFirstByte(c, took)
	return a, nil
}

// deliver passes a worker's answer on unchanged.
func (g *Gateway) deliver(x *exchange, a *wholeAnswer, outcome string) {
	x.status = a.status
	x.end(outcome, "", nil)
	x.copyHeader(a.header)
	if a.rest == nil && bodyAllowed(a.status) && x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	x.w.WriteHeader(a.status)
	x.firstByte = sinceStart(x)
	if _, err := x.w.Write(a.body); err != nil {
		x.end(endLeft, "caller left", err)
	}
	if a.rest == nil {
		return
	}
	defer a.rest.cancel()
	defer a.rest.Body.Close()
	if _, err := io.Copy(x.w, a.rest.Body); err != nil {
		x.end(endCut, failBody, err)
		x.abort = true
	}
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyHeader takes over the header of a worker's answer.
func (x *exchange) copyHeader(from http.Header) {
	to := x.w.Header()
	closing := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	dropHopHeaders(to)
	if closing != "" {
		to.Set("Connection", closing)
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps the library from guessing one
	}
}

// giveUp gives the request its final answer after the last attempt: the
// failure that a worker answered with, a refusal if it has certainly not run,
// or a failure with unknown outcome.
func (g *Gateway) giveUp(x *exchange, last *failure, failed *wholeAnswer) {
	switch {
	case x.r.Context().Err() != nil:
		x.end(endLeft, "caller left", x.r.Context().Err())
		x.abort = true
	case failed != nil:
		g.deliver(x, failed, endRelayed)
	case x.ranOn > 0 && errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		g.fail(x, http.StatusGatewayTimeout, "deadline", last)
	case x.ranOn > 0:
		g.fail(x, http.StatusBadGateway, last.reason, last)
	case last == nil:
		g.refuse(x, "no worker", retryNoWorker)
	default:
		x.err = last
		g.refuse(x, last.reason, retryFull)
	}
}
