package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/internal/upload"
)

// errWritesStopped is the error of writes after stopWrites.
var errWritesStopped = errors.New("upstream: writes are stopped because the request must not be sent any more")

// countedConn is a connection to a worker that counts the bytes written and can stop
// further writes.
type countedConn struct {
	net.Conn

	mu            sync.Mutex // lock level 61, not held during a write
	written       int64
	writing       bool
	writesStopped bool

	retired atomic.Bool    // it carries no further requests
	upload  upload.Tracker // of the request on the connection
}

func (c *countedConn) Write(b []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errWritesStopped
	}
	n, err := c.upload.Write(c.Conn, b)
	c.endWrite(n)
	return n, err
}

// Read fails if the connection ends before the worker has received the request.
func (c *countedConn) Read(b []byte) (int, error) { return c.upload.Read(c.Conn, b) }

// beginWrite marks a write as in progress. It returns false if writes are stopped.
func (c *countedConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = !c.writesStopped
	return c.writing
}

func (c *countedConn) endWrite(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	c.written += int64(n)
}

func (c *countedConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// stopWrites stops further writes and reports whether more than baseline bytes
// were written or a write is in progress.
func (c *countedConn) stopWrites(baseline int64) (sent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesStopped = true
	return c.writing || c.written > baseline
}

// sendTracker determines whether any byte of a request can have been sent, and
// prevents the request from being sent twice or too late.
type sendTracker struct {
	sendBy time.Time // zero for no limit
	// allowed is called immediately before the request is written. If it returns
	// false, the request is not sent; nil allows every request.
	allowed func() bool
	body    *upload.Body // of the next round trip, nil for none

	mu          sync.Mutex // lock level 60, acquired before the mutex of a connection
	conn        *countedConn
	baseline    int64 // bytes that earlier requests wrote to conn
	sentEarlier bool  // bytes may have been sent on an earlier connection
	used        bool  // earlier requests used conn
	withheld    bool  // conn was retired before the request
}

// usedConnection reports whether earlier requests used the connection of the request.
func (t *sendTracker) usedConnection() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.used
}

// isWithheld reports whether the last connection that the transport offered was retired.
func (t *sendTracker) isWithheld() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.withheld
}

// retireConnection keeps further requests off the connection of the request. A request
// that already has the connection is not affected.
func (t *sendTracker) retireConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn.retired.Store(true)
}

// dropConnection closes the connection of a response that is not HTTP.
func (t *sendTracker) dropConnection() {
	t.retireConnection()
	t.mu.Lock()
	conn := t.conn
	t.mu.Unlock()
	_ = conn.Close() // nothing on it is used any more
}

// trace returns the context for the next round trip, whose request has the body, nil for
// none.
func (t *sendTracker) trace(ctx context.Context, body *upload.Body) context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.body = body
	t.withheld = false // no connection is offered if dialing fails
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

// gotConn is called before the request is written to a connection. The transport
// tries another connection if an idle one turns out to be closed.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	allowed := t.allowed == nil || t.allowed() // before t.mu is locked, because it acquires locks of lower levels
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.stopWrites(t.baseline) {
		t.sentEarlier = true
	}
	t.conn = unwrapCountedConn(info.Conn)
	t.baseline = t.conn.bytesWritten()
	t.used = info.Reused
	t.withheld = t.conn.retired.Load() || t.conn.upload.Failed()
	t.conn.upload.Begin(t.body)
	// net/http retries requests that it considers idempotent, among them every
	// one with an Idempotency-Key. Retries are decided in plugins/dispatch, so
	// writes are stopped on the connection of such a retry.
	if !allowed || t.sentEarlier || t.withheld || !t.sendBy.IsZero() && time.Now().After(t.sendBy) {
		t.conn.stopWrites(t.baseline)
	}
}

// nothingSent reports whether no byte of the request was sent. It stops writes, so
// that none will be sent later.
func (t *sendTracker) nothingSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return true
	}
	return !t.conn.stopWrites(t.baseline) && !t.sentEarlier
}

// unwrapCountedConn returns the countedConn below a connection, which may use TLS.
func unwrapCountedConn(conn net.Conn) *countedConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	return conn.(*countedConn)
}
