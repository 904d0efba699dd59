package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

// errSealed ends a write of a request that must not be sent any more.
var errSealed = errors.New("upstream: the request has failed and must not be sent any more")

// countedConn is a connection that knows how many bytes have been written, and
// that can be sealed against further writes.
type countedConn struct {
	net.Conn

	mu      sync.Mutex // level 61, not held during a write
	written int64
	writing bool
	sealed  bool
}

func (c *countedConn) Write(b []byte) (int, error) {
	if !c.begin() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(b)
	c.end(n)
	return n, err
}

func (c *countedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = !c.sealed
	return c.writing
}

func (c *countedConn) end(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)
}

func (c *countedConn) count() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// seal stops further writes and reports whether any byte beyond the first
// start bytes has left or may be leaving now.
func (c *countedConn) seal(start int64) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writing || c.written > start
}

// sentTracker finds out whether a byte of one request can have left, and keeps
// the request from being sent twice or too late.
type sentTracker struct {
	sendBy time.Time // zero for no bound
	// allowed is asked right before the request is written; nil allows.
	allowed func() bool

	mu    sync.Mutex // level 60, taken before a connection's
	conn  *countedConn
	start int64 // bytes written by earlier requests
	sent  bool  // on an earlier connection
}

func (t *sentTracker) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn is called before the request is written to the connection. The
// transport uses several connections in turn when it finds that an idle one
// has been closed.
func (t *sentTracker) gotConn(info httptrace.GotConnInfo) {
	allowed := t.allowed == nil || t.allowed() // takes locks below this level
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.seal(t.start) {
		t.sent = true
	}
	t.conn = counted(info.Conn)
	t.start = t.conn.count()
	// net/http repeats requests that it takes for idempotent, among them each
	// one with an Idempotency-Key. Whether to repeat is decided in
	// plugins/dispatch, so a repetition gets a connection without writes.
	if !allowed || t.sent || !t.sendBy.IsZero() && time.Now().After(t.sendBy) {
		t.conn.seal(t.start)
	}
}

// nothingSent reports whether no byte of the request has left, and makes sure
// that none will.
func (t *sentTracker) nothingSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return true
	}
	return !t.conn.seal(t.start) && !t.sent
}

func counted(conn net.Conn) *countedConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	return conn.(*countedConn)
}
