package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// streaming is the state of a stream over its attempts.
type streaming struct {
	last      uint64 // number of the last event that the caller has
	committed bool   // the header was passed on
}

// serveStream passes the events of a worker on as they arrive. A resumable
// stream that breaks off goes on at another worker.
func (g *Gateway) serveStream(x *exchange) {
	s := &streaming{last: x.in.LastEventID}
	var last *failure
	var failed *wholeAnswer
	for {
		c, ok := g.choose(x)
		if !ok {
			g.endStream(x, s, last, failed)
			return
		}
		a, f := g.attemptStream(x, s, c)
		g.fleet.RecordEnd(c, f == nil, time.Now())
		if f == nil && a == nil {
			x.end(endServed, "", nil)
			return
		}
		if f == nil && a.status < http.StatusInternalServerError && !s.committed {
			g.deliver(x, a, endRelayed)
			return
		}
		if f == nil {
			failed = a
			f = &failure{outcome: core.OutcomeRan, sent: true, reason: failStatus, err: errors.New(http.StatusText(a.status))}
		}
		g.attemptFailed(x, c, f)
		last = f
		if !g.mayRepeat(x, f) {
			g.endStream(x, s, last, failed)
			return
		}
	}
}

// endStream ends a stream that did not come to its end.
func (g *Gateway) endStream(x *exchange, s *streaming, last *failure, failed *wholeAnswer) {
	if !s.committed {
		g.giveUp(x, last, failed)
		return
	}
	x.abort = true
	if x.r.Context().Err() != nil {
		x.end(endLeft, "caller left", x.r.Context().Err())
		return
	}
	x.end(endCut, last.reason, last)
}

// attemptStream runs one attempt. It returns nothing after the end of the
// stream, or the worker's whole answer if that is no stream.
func (g *Gateway) attemptStream(x *exchange, s *streaming, c routing.Choice) (*wholeAnswer, *failure) {
	resumeAfter := uint64(0)
	if s.committed {
		resumeAfter = s.last
	}
	r, f := g.send(x, c, resumeAfter)
	if f != nil {
		return nil, f
	}
	if r.StatusCode < 200 || r.StatusCode > 299 {
		return g.readWhole(c, r)
	}
	defer r.cancel()
	defer r.Body.Close()
	return nil, g.pump(x, s, c, r)
}

// stallFactor times the longest pause of a stream that is on time is the
// silence after which a resumable stream goes on at another worker.
const stallFactor = 2

// pump passes events on until the end of the stream.
func (g *Gateway) pump(x *exchange, s *streaming, c routing.Choice, r *reply) *failure {
	events := answer.NewRawReader(r.Body, g.settings.EventBytes)
	defer r.watch.stop()
	first := true
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return g.finish(x, s, r)
		}
		if err != nil {
			return streamFailure(err, r.watch)
		}
		if first {
			first = false
			g.fleet.RecordFirstByte(c, time.Since(r.sentAt))
		}
		if e.ID != s.last+1 {
			return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failOrder, err: &answer.SequenceError{Got: e.ID, Want: s.last + 1}}
		}
		r.watch.again(stallFactor * x.route.GapTarget)
		if err := g.pass(x, s, r, e, events.Buffered() == 0); err != nil {
			return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failLeft, err: err}
		}
	}
}

func streamFailure(err error, w *watch) *failure {
	f := &failure{outcome: core.OutcomeUnknown, sent: true, reason: failBody, err: err}
	if errors.Is(err, context.DeadlineExceeded) {
		f.reason = failDeadline
	}
	f.stalled(w)
	return f
}

// pass writes one event to the caller.
func (g *Gateway) pass(x *exchange, s *streaming, r *reply, e answer.RawEvent, flush bool) error {
	g.commit(x, s, r)
	if _, err := x.w.Write(e.Bytes); err != nil {
		return err
	}
	s.last = e.ID
	x.events++
	if !flush {
		return nil
	}
	return http.NewResponseController(x.w).Flush()
}

// commit passes the header of the first worker on, once.
func (g *Gateway) commit(x *exchange, s *streaming, r *reply) {
	if s.committed {
		return
	}
	s.committed = true
	x.status = r.StatusCode
	x.copyHeader(r.Header)
	x.w.Header().Del("Content-Length") // a resumed stream may differ in length
	x.w.WriteHeader(r.StatusCode)
	x.firstByte = sinceStart(x)
}

// finish ends the caller's stream as complete.
func (g *Gateway) finish(x *exchange, s *streaming, r *reply) *failure {
	g.commit(x, s, r)
	return nil
}

func sinceStart(x *exchange) time.Duration { return time.Since(x.start) }
