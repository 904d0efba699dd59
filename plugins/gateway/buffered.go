package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// serveBuffered buffers the response of a worker before forwarding it, so that
// a truncated one can be replaced by a response of another worker.
func (g *Gateway) serveBuffered(x *exchange) {
	var last *failure
	var failed *bufferedResponse // an error response of a worker
	for {
		c, ok := g.chooseWorker(x)
		if !ok {
			g.finishFailed(x, last, failed)
			return
		}
		resp, f := g.attemptBuffered(x, c)
		if f == nil && resp.status < http.StatusInternalServerError {
			g.recordEnd(x, c, true)
			if isSuccess(resp.status) && resp.framed {
				g.crashes.recordSuccess(x.sharedPartIDs())
			}
			g.forward(x, resp, outcomeServed)
			return
		}
		if f == nil {
			failed = resp
			f = &failure{outcome: core.OutcomeRan, sent: true, reason: failStatus, err: errors.New(strconv.Itoa(resp.status))}
		}
		g.recordEnd(x, c, false)
		g.recordFailedAttempt(x, c, f)
		last = f
		if !g.mayRetry(x, f) {
			g.finishFailed(x, last, failed)
			return
		}
	}
}

// bufferedResponse is a worker's response. If it exceeds the buffer, body is its
// first part and the rest has to be read from unread; otherwise unread is nil.
type bufferedResponse struct {
	worker *routing.Worker
	status int
	header http.Header
	body   *bytebudget.Body
	framed bool // see workerResponse.isFramed
	unread *workerResponse
}

// holds returns the ID of the worker that waits for the caller to read, empty for none.
func (b *bufferedResponse) holds() string {
	if b.unread == nil {
		return ""
	}
	return b.worker.ID
}

// discard closes the connection of a response whose rest is not forwarded.
func (b *bufferedResponse) discard() {
	if b.unread != nil {
		_ = b.unread.Body.Close() // the rest is not read
		b.unread.cancel()
	}
}

func (g *Gateway) attemptBuffered(x *exchange, c routing.Choice) (*bufferedResponse, *failure) {
	resp, f := g.send(x, c, 0)
	if f != nil {
		return nil, f
	}
	return g.readBuffered(x, c, resp)
}

func (g *Gateway) readBuffered(x *exchange, c routing.Choice, resp *workerResponse) (*bufferedResponse, *failure) {
	body := g.bytes.NewBody(x.callerName(), nil)
	x.responses = append(x.responses, body)
	err := body.ReadResponse(x.ctx, io.LimitReader(resp.Body, int64(g.settings.AnswerBytes)), time.Now)
	short := errors.Is(err, bytebudget.ErrShort) || errors.Is(err, bytebudget.ErrYielded)
	took := time.Since(resp.sentAt)
	buffered := &bufferedResponse{worker: c.Worker, status: resp.StatusCode, header: resp.Header, body: body, framed: resp.isFramed()}
	if short || err == nil && body.Size() == int64(g.settings.AnswerBytes) {
		resp.stallTimer.stop()
		if resp.StatusCode >= http.StatusInternalServerError {
			_ = resp.Body.Close() // the rest is not forwarded
			resp.cancel()
			return nil, &failure{outcome: core.OutcomeRan, sent: true, reason: failOversized, err: fmt.Errorf("status %d with more than %d bytes", resp.StatusCode, body.Size())}
		}
		buffered.unread = resp
		return buffered, nil
	}
	_ = resp.Body.Close() // the body has been read to its end or is truncated
	resp.cancel()
	if err != nil {
		f := &failure{outcome: core.OutcomeUnknown, sent: true, reason: failTruncated, err: err}
		f.markStalled(resp.stallTimer)
		return nil, f
	}
	resp.stallTimer.stop()
	if isSuccess(resp.StatusCode) {
		g.speeds.recordFirstByte(c, took)
	} else {
		g.fleet.RecordErrorResponse(c, took)
	}
	return buffered, nil
}

// forward forwards a worker's response unchanged.
func (g *Gateway) forward(x *exchange, resp *bufferedResponse, outcome string) {
	x.status = resp.status
	x.setOutcome(outcome, "", nil)
	x.copyHeader(resp.header)
	if resp.unread == nil && bodyAllowed(resp.status) && x.r.Method != http.MethodHead {
		x.w.Header().Set("Content-Length", strconv.FormatInt(resp.body.Size(), 10))
	}
	x.w.WriteHeader(resp.status)
	x.firstByte = sinceStart(x)
	x.extendWriteDeadline(g.settings.WriteTimeout)
	defer resp.body.EndWriting()
	for _, chunk := range resp.body.Chunks() {
		resp.body.StartWriting(resp.holds(), x.interruptWrite, time.Now())
		if _, err := x.w.Write(chunk); err != nil {
			x.setOutcome(outcomeDisconnected, "caller left", err)
			break
		}
	}
	if resp.unread == nil {
		return
	}
	defer resp.unread.cancel()
	defer resp.unread.Body.Close()
	rest := &limitedBody{
		from: resp.unread.Body, left: g.settings.MaxAnswerBytes - resp.body.Size(),
		beforeRead: func() {
			resp.body.EndWriting()
			x.extendWriteDeadline(g.settings.WriteTimeout)
		},
		afterRead: func() { resp.body.StartWriting(resp.holds(), x.interruptWrite, time.Now()) },
	}
	if _, err := io.Copy(x.w, rest); err != nil {
		reason := failTruncated
		if errors.Is(err, errOversized) {
			reason = failOversized
		}
		x.setOutcome(outcomeTruncated, reason, err)
		x.abort = true
	}
}

// errOversized is the error of a response body that is longer than its limit.
var errOversized = errors.New("gateway: the response is longer than max_answer_bytes; raise the setting if the worker's answer is valid")

// limitedBody reads a response body up to a limit, beyond which it fails. It calls
// beforeRead before each read, since then everything read so far has been written, and
// afterRead after it.
type limitedBody struct {
	from                  io.Reader
	left                  int64
	beforeRead, afterRead func()
}

func (b *limitedBody) Read(p []byte) (int, error) {
	b.beforeRead()
	n, err := b.from.Read(p[:min(int64(len(p)), b.left+1)])
	b.afterRead()
	if b.left -= int64(n); b.left < 0 {
		return 0, errOversized
	}
	return n, err
}

func bodyAllowed(status int) bool {
	return status >= 200 && status != http.StatusNoContent && status != http.StatusNotModified
}

// copyHeader copies the response header of a worker.
func (x *exchange) copyHeader(from http.Header) {
	to := x.w.Header()
	closing := to.Get("Connection")
	for name, values := range from {
		to[name] = values
	}
	removeHopByHopHeaders(to)
	if closing != "" {
		to.Set("Connection", closing)
	}
	if _, ok := from["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps net/http from detecting a content type
	}
}

// finishFailed sends the final response after the last failed attempt: the
// error response of a worker if there is one, a refusal if the request has
// certainly not run, otherwise an error with unknown outcome.
func (g *Gateway) finishFailed(x *exchange, last *failure, failed *bufferedResponse) {
	switch {
	case x.r.Context().Err() != nil:
		x.setOutcome(outcomeDisconnected, "caller left", x.r.Context().Err())
		x.abort = true
	case failed != nil:
		g.forward(x, failed, outcomeRelayed)
	case x.possibleRuns > 0 && errors.Is(x.ctx.Err(), context.DeadlineExceeded):
		g.fail(x, http.StatusGatewayTimeout, "deadline", last)
	case x.possibleRuns > 0 && (x.tooLate || g.server.ending.Err() != nil):
		g.fail(x, http.StatusBadGateway, reasonStopping, last)
	case x.possibleRuns > 0:
		g.fail(x, http.StatusBadGateway, last.reason, last)
	default:
		if last != nil {
			x.err = last
		}
		g.refuse(x, g.refusalOf(x, last))
	}
}
