package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/connlimit"
)

// admit counts the request's memory and keeps its connection from yielding to others. If
// the request cannot be served, it writes the response and returns false.
func (g *Gateway) admit(x *exchange) bool {
	if x.r.ContentLength > g.settings.BodyBytes {
		g.deny(x, http.StatusRequestEntityTooLarge, "body too large", nil)
		return false
	}
	headBytes, err := connlimit.Admit(x.r.Context(), x.callerName())
	if errors.Is(err, connlimit.ErrTooMany) {
		x.err = err
		g.refuse(x, tooManyRefusal)
		return false
	}
	if err != nil {
		x.setOutcome(outcomeRefused, "connection evicted", err)
		x.abort = true
		return false
	}
	x.body = g.bytes.NewBody(x.callerName(), func() { _ = x.conn.SetReadDeadline(time.Now()) })
	if err := x.body.Admit(x.r.Context(), headBytes, time.Now); err != nil {
		g.refuseMemory(x, err)
		return false
	}
	return true
}

// readBody reads the body within the limits of size, time and memory. If the request
// cannot be served, it writes the response and returns false.
func (g *Gateway) readBody(x *exchange) bool {
	if x.r.ContentLength == 0 {
		return true
	}
	// The deadline stays after a failure, so that the server does not wait for the rest
	// of the body before it closes the connection.
	_ = x.conn.SetReadDeadline(x.deadline) // not supported by recorders in tests
	expire := func() { _ = x.conn.SetReadDeadline(time.Now()) }
	defer context.AfterFunc(g.server.ending, expire)()
	err := x.body.ReadRequest(x.r.Context(), http.MaxBytesReader(x.w, x.r.Body, g.settings.BodyBytes), time.Now)
	g.decisions.held.Update(float64(g.bytes.Used()))
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		_ = x.conn.SetReadDeadline(time.Time{}) // its end would look like a caller that disconnects
		return true
	case errors.Is(err, bytebudget.ErrShort), errors.Is(err, bytebudget.ErrYielded):
		g.refuseMemory(x, err)
	case errors.Is(err, os.ErrDeadlineExceeded) && g.server.ending.Err() != nil:
		x.err = err
		g.refuse(x, stoppingRefusal)
	case errors.Is(err, os.ErrDeadlineExceeded):
		g.deny(x, http.StatusRequestTimeout, "body too slow", err)
	case errors.As(err, &tooLarge):
		g.deny(x, http.StatusRequestEntityTooLarge, "body too large", err)
	default:
		x.setOutcome(outcomeDisconnected, "body not read", err)
		x.abort = true
	}
	return false
}

// refuseMemory refuses a request whose body finds no memory, or was given up for another
// one, and closes its connection without reading the rest of the body.
func (g *Gateway) refuseMemory(x *exchange, err error) {
	reason := "no memory for the body"
	if errors.Is(err, bytebudget.ErrYielded) {
		reason = "body was given up for others"
	}
	g.decisions.count("memory_refusals", "reason", reason)
	g.decisions.logRequest("connection yields", "request", x.header.ID, "caller", x.callerName(), "remote", x.r.RemoteAddr, "reason", reason, "body_bytes", x.body.Size(), "held_bytes", g.bytes.Used())
	x.err = err
	x.body.Release() // others wait for it
	_ = x.conn.SetReadDeadline(time.Now())
	x.w.Header().Set("Connection", "close")
	g.refuse(x, newRefusal(reason, retryAfterOverloaded))
}

func (x *exchange) bodySize() int64 {
	if x.body == nil {
		return 0
	}
	return x.body.Size()
}

// releaseBytes releases what the exchange holds. The transport may still be sending the
// body of an attempt that ended early.
func (x *exchange) releaseBytes() {
	for _, b := range x.sent {
		b.Stop()
	}
	if x.body != nil {
		x.body.Release()
	}
	for _, b := range x.responses {
		b.Release()
	}
}
