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

// streamState is the state of a stream across its attempts.
type streamState struct {
	lastEventID uint64 // ID of the last event that the caller has received
	headerSent  bool   // the response header was sent to the caller
	emptyRests  int    // workers that resumed it and ended with their connection before the first event
}

// confirmEmptyRest records that a worker's connection ended before the first event.
// It reports whether the stream is complete because of that: two workers that resumed
// it agree that no event is left.
func (s *streamState) confirmEmptyRest() bool {
	if s.lastEventID > 0 {
		s.emptyRests++
	}
	return s.emptyRests > 1
}

// serveStream forwards the events of a worker as they arrive. A resumable
// stream that is truncated or pauses for too long is resumed on another worker.
func (g *Gateway) serveStream(x *exchange) {
	s := &streamState{lastEventID: x.header.LastEventID}
	var last *failure
	var failed *bufferedResponse
	for {
		c, ok := g.chooseWorker(x)
		if !ok {
			g.finishFailedStream(x, s, last, failed)
			return
		}
		resp, f := g.attemptStream(x, s, c)
		g.recordEnd(x, c, f == nil)
		if f == nil && resp == nil {
			x.setOutcome(outcomeServed, "", nil)
			return
		}
		if f == nil && resp.status < http.StatusInternalServerError && !s.headerSent {
			g.forward(x, resp, outcomeRelayed)
			return
		}
		if f == nil {
			resp.discard()
			failed = resp
			f = &failure{outcome: core.OutcomeRan, sent: true, reason: failStatus, err: errors.New(http.StatusText(resp.status))}
		}
		g.recordFailedAttempt(x, c, f)
		last = f
		if !g.mayRetry(x, f) {
			g.finishFailedStream(x, s, last, failed)
			return
		}
	}
}

// finishFailedStream ends a stream that could not be completed.
func (g *Gateway) finishFailedStream(x *exchange, s *streamState, last *failure, failed *bufferedResponse) {
	if !s.headerSent {
		g.finishFailed(x, last, failed)
		return
	}
	x.abort = true
	if x.r.Context().Err() != nil {
		x.setOutcome(outcomeDisconnected, "caller left", x.r.Context().Err())
		return
	}
	x.setOutcome(outcomeTruncated, last.reason, last)
}

// attemptStream runs one attempt. It returns nil, nil after a complete stream,
// and the worker's response if that is not a stream.
func (g *Gateway) attemptStream(x *exchange, s *streamState, c routing.Choice) (*bufferedResponse, *failure) {
	resumeAfter := uint64(0) // keeps the caller's own Last-Event-ID
	if s.headerSent {
		resumeAfter = s.lastEventID
	}
	resp, f := g.send(x, c, resumeAfter)
	if f != nil {
		return nil, f
	}
	if !isSuccess(resp.StatusCode) {
		return g.readBuffered(x, c, resp)
	}
	defer resp.cancel()
	defer resp.Body.Close()
	return nil, g.forwardEvents(x, s, c, resp)
}

// gapFactor times the route's gap target is the time without an event after
// which a resumable stream is resumed on another worker. The gap target itself is
// the longest pause between two events that still meets the latency target. Without
// a gap target a stream is not resumed because of a pause.
const gapFactor = 2

// forwardEvents forwards events until the end of the stream.
func (g *Gateway) forwardEvents(x *exchange, s *streamState, c routing.Choice, resp *workerResponse) *failure {
	events := answer.NewRawReader(resp.Body, g.settings.EventBytes)
	defer resp.stallTimer.stop()
	var firstEventAt time.Time
	survived := false
	var pace paceMeter
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) && !resp.isFramed() && firstEventAt.IsZero() && !s.confirmEmptyRest() {
			err = errNoEvent
		}
		if errors.Is(err, io.EOF) {
			g.recordStreamEnd(x, c, resp)
			return g.finishStream(x, s, resp)
		}
		if err != nil {
			f := classifyStreamError(err, resp.stallTimer)
			if !firstEventAt.IsZero() {
				f.progress = time.Since(firstEventAt)
			}
			return f
		}
		if firstEventAt.IsZero() {
			firstEventAt = time.Now()
			g.speeds.recordFirstByte(c, time.Since(resp.sentAt))
		}
		if !survived && time.Since(firstEventAt) >= survivalTime {
			survived = true
			g.crashes.recordSuccess(x.sharedPartIDs())
		}
		if e.ID != s.lastEventID+1 {
			return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failSequence, err: &answer.SequenceError{Got: e.ID, Want: s.lastEventID + 1}}
		}
		resp.stallTimer.reset(gapFactor * x.route.GapTarget)
		x.extendWriteDeadline(g.settings.WriteTimeout)
		arrived := time.Now()
		x.body.StartWriting(c.Worker.ID, x.interruptWrite, arrived)
		err = g.forwardEvent(x, s, resp, e, events.Buffered() == 0)
		x.body.EndWriting()
		if err != nil {
			return &failure{outcome: core.OutcomeUnknown, sent: true, reason: failDisconnected, err: err}
		}
		pace.record(g.speeds, c, arrived, time.Now())
	}
}

// errNoEvent is the error of a stream that ended with its connection before its first
// event: it cannot be told from one whose worker crashed.
var errNoEvent = errors.New("gateway: the connection was closed before the first event; send the request again if it may be repeated")

// recordStreamEnd records that the prompt of a complete stream does not crash workers.
func (g *Gateway) recordStreamEnd(x *exchange, c routing.Choice, resp *workerResponse) {
	if resp.isFramed() {
		g.crashes.recordSuccess(x.sharedPartIDs())
		return
	}
	g.crashes.recordSettled(c.Worker, x.sharedPartIDs())
}

func classifyStreamError(err error, stall *stallTimer) *failure {
	f := &failure{outcome: core.OutcomeUnknown, sent: true, reason: failTruncated, err: err}
	if errors.Is(err, context.DeadlineExceeded) {
		f.reason = failDeadline
	}
	f.markStalled(stall)
	return f
}

// forwardEvent writes one event to the caller.
func (g *Gateway) forwardEvent(x *exchange, s *streamState, resp *workerResponse, e answer.RawEvent, flush bool) error {
	g.sendHeader(x, s, resp)
	if _, err := x.w.Write(e.Bytes); err != nil {
		return err
	}
	s.lastEventID = e.ID
	x.events++
	if !flush {
		return nil
	}
	return http.NewResponseController(x.w).Flush()
}

// sendHeader forwards the response header of the first worker, once.
func (g *Gateway) sendHeader(x *exchange, s *streamState, resp *workerResponse) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	x.status = resp.StatusCode
	x.copyHeader(resp.Header)
	x.w.Header().Del("Content-Length") // a resumed stream may have another length
	x.w.WriteHeader(resp.StatusCode)
	x.firstByte = sinceStart(x)
}

// finishStream completes the caller's stream. The header is still to be sent if
// the stream had no events.
func (g *Gateway) finishStream(x *exchange, s *streamState, resp *workerResponse) *failure {
	g.sendHeader(x, s, resp)
	return nil
}

func sinceStart(x *exchange) time.Duration { return time.Since(x.start) }
