// Package connlimit bounds the connections of clients that a process holds and the memory
// of their heads. Load patterns: clients that open connections without end, hold them, or
// send heads that do not end.
//
// Contract: no more connections of a listener are open than its limit allows, apart from
// one that waits for room, and the connections of all listeners with their heads take no
// more than their share of the byte budget.
//
// Who yields: if there is no room, the connection that has waited longest for a request to
// be admitted is closed: one that is idle, whose head is still arriving, or whose request
// was answered without being admitted. No worker has a request of it. If a listener has too
// many, it is one of its own; if memory is short, one of any listener. If there is none, a
// request whose body has been arriving for SlowAge and is the slowest, or a response whose
// caller has read nothing for so long. If there is none either, the new connection waits.
//
// Admitted requests need connections to workers: they are as many as a quarter of the
// process's descriptors allows, and those of one caller three quarters of that.
package connlimit

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"
	"golang.org/x/sys/unix"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/framing"
)

// Inverse parts of a process's descriptors. What is left is for files, the store and
// connections to peers.
const (
	callerDivisor  = 2  // connections of callers
	requestDivisor = 4  // admitted requests, which take a connection to a worker each
	peerDivisor    = 8  // the listener for peers
	auxDivisor     = 16 // each other listener
)

// callerShare is the part of the admitted requests that one caller may have.
const callerShare = 0.75

// Memory of a connection. Go keeps two buffers of 4 KiB and the stack of a goroutine; a
// header field is a map entry, two strings and a slice, and is copied for the worker.
const (
	connBytes     = 16 << 10
	headLineBytes = 256
	headByteBytes = 2
)

// SlowAge is the age from which a body that is still arriving, or a response that is not
// read, yields to a new connection.
const SlowAge = 5 * time.Second

// retryInterval is the interval at which a connection that waits looks for room that
// nothing announces.
const retryInterval = 100 * time.Millisecond

// ErrNoRoom means that a connection was closed to make room for others, or found none.
var ErrNoRoom = errors.New("connlimit: the connection was closed for want of room; raise memory_mb or the descriptors of the process")

// ErrTooMany means that no connection to a worker is left for a request.
var ErrTooMany = errors.New("connlimit: too many requests are in flight; retry later, or raise the descriptors of the process")

// ForProcess returns the number of callers' connections that leaves descriptors for
// everything else: half of the soft limit of the process.
func ForProcess() int { return softLimit() / callerDivisor }

// maxRequests returns the number of admitted requests.
func maxRequests() int { return max(softLimit()/requestDivisor, 1) }

// ForPeers returns the number of connections for the listener for peers: an eighth of the
// soft limit of the process.
func ForPeers() int { return max(softLimit()/peerDivisor, 4) }

// ForAux returns the number of connections for each other listener: a sixteenth of the
// soft limit of the process.
func ForAux() int { return max(softLimit()/auxDivisor, 4) }

func softLimit() int {
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) != nil {
		return 1024 // the usual soft limit; the call does not fail for a known resource
	}
	return int(max(min(r.Cur, 1<<30), 2))
}

// Config configures Listen and Serve.
type Config struct {
	// Limit returns the largest number of open connections. It is called for each
	// connection and must not block.
	Limit func() int
	// Pool has the connections of the process.
	Pool *Pool
	// OnClose is called with each connection that is closed for want of room. It must not
	// block. nil for none.
	OnClose func(net.Conn)
}

// Pool has the connections of all listeners of a process.
type Pool struct {
	budget *bytebudget.Budget

	mu      sync.Mutex // lock level 85
	waiting list.List  // connections without an admitted request, the longest waiting first

	admitted    map[string]int // requests, by caller
	requests    int            // sum of admitted
	maxRequests func() int
}

// NewPool returns an empty pool, whose memory a budget counts.
func NewPool(b *bytebudget.Budget) *Pool {
	return &Pool{budget: b, admitted: map[string]int{}, maxRequests: maxRequests}
}

// Resources are what the listeners of a process share. They are dependencies of plug-ins.
type Resources struct {
	fx.In

	Bytes       *bytebudget.Budget `optional:"true"`
	Connections *Pool              `optional:"true"`
}

// testBytes is the budget of a plug-in without the plug-in node, which is a test.
const testBytes = 736 << 20

// OrDefault returns the resources, with those of a test in place of missing ones.
func (r Resources) OrDefault() Resources {
	if r.Bytes == nil {
		r.Bytes = bytebudget.New(testBytes)
	}
	if r.Connections == nil {
		r.Connections = NewPool(r.Bytes)
	}
	return r
}

// Serve serves a listener within the limits, with the checks of package framing. Errors:
// those of server.Serve.
func Serve(server *http.Server, l net.Listener, c Config) error {
	return ServeListener(server, Listen(l, c))
}

// ServeListener is Serve for a listener that Listen has returned.
func ServeListener(server *http.Server, l net.Listener) error {
	next := server.ConnState
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := find(nc); c != nil && (state == http.StateActive || state == http.StateIdle) {
			c.wait(state == http.StateIdle)
		}
		if next != nil {
			next(nc, state)
		}
	}
	return framing.Serve(server, l)
}

// Admit records that a request of a caller is about to be sent to a worker, so that its
// connection no longer yields. The name is empty for clients without a known key. From then
// on the caller of Admit counts headBytes, the memory of the request's head. Errors:
// ErrNoRoom if the connection has been closed, ErrTooMany.
func Admit(ctx context.Context, caller string) (headBytes int64, err error) {
	c := find(framing.Conn(ctx))
	if c == nil {
		return 0, nil // not served by this package
	}
	return c.admitRequest(caller)
}

// AdmitConn is Admit for a connection of a server without package framing. Errors:
// ErrNoRoom if the connection has been closed.
func AdmitConn(nc net.Conn) error {
	c := find(nc)
	if c == nil {
		return nil // not accepted by this package
	}
	return c.admit()
}

// find returns the connection that one of package framing wraps, nil if there is none.
func find(nc net.Conn) *conn {
	if w, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = w.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// Listen returns a listener that keeps to the limits.
func Listen(l net.Listener, c Config) net.Listener {
	return &listener{Listener: l, config: c, changed: make(chan struct{}, 1), done: make(chan struct{})}
}

type listener struct {
	net.Listener
	config  Config
	once    sync.Once
	done    chan struct{}
	changed chan struct{} // has a value if a connection was closed

	open int // the pool's lock protects it
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: l}
	for {
		added, own := l.tryAdd(c)
		if added {
			return c, nil
		}
		if l.config.Pool.closeLongestWaiting(own) {
			continue
		}
		l.config.Pool.budget.YieldSlow(SlowAge, time.Now())
		select {
		case <-l.changed:
		case <-time.After(retryInterval):
		case <-l.done:
			_ = nc.Close() // nothing of it has been read
			return nil, net.ErrClosed
		}
	}
}

// tryAdd counts a connection if there is room. If its listener has too many, another one
// of the listener has to make room, which is returned as own.
func (l *listener) tryAdd(c *conn) (added bool, own *listener) {
	p := l.config.Pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if l.open >= l.config.Limit() {
		return false, l
	}
	if !p.tryCount(c, connBytes) {
		return false, nil
	}
	l.open++
	c.counted, c.element = true, p.waiting.PushBack(c)
	return true, nil
}

func (p *Pool) tryCount(c *conn, n int64) bool {
	if !p.budget.TryAddConnection(n, time.Now()) {
		return false
	}
	c.bytes += n
	return true
}

// closeLongestWaiting closes the connection of a listener, nil for any, that has waited
// longest. It returns false if there is none.
func (p *Pool) closeLongestWaiting(of *listener) bool {
	c := p.evictLongestWaiting(of)
	if c == nil {
		return false
	}
	if onClose := c.listener.config.OnClose; onClose != nil {
		onClose(c)
	}
	_ = c.Close()
	return true
}

func (p *Pool) evictLongestWaiting(of *listener) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for e := p.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if of == nil || c.listener == of {
			c.evicted = true
			c.stopWaiting()
			return c
		}
	}
	return nil
}

// Close closes the listener and ends an Accept that waits for room.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// conn is one connection. The lock of the pool protects its fields.
type conn struct {
	net.Conn
	listener *listener
	counted  bool
	evicted  bool
	element  *list.Element // in Pool.waiting, nil for none
	bytes    int64         // counted in the budget
	serving  int64         // part of bytes: the head of the request that is served
	admitted bool          // a request of the caller is counted in Pool.admitted
	caller   string
}

func (c *conn) pool() *Pool { return c.listener.config.Pool }

// wait makes the connection the one that has waited for the shortest time.
func (c *conn) wait(idle bool) {
	p := c.pool()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.counted || c.evicted {
		return
	}
	if idle {
		c.releaseServing()
		c.endRequest()
	}
	c.stopWaiting()
	c.element = p.waiting.PushBack(c)
}

func (c *conn) stopWaiting() {
	if c.element != nil {
		c.pool().waiting.Remove(c.element)
		c.element = nil
	}
}

func (c *conn) admit() error {
	c.pool().mu.Lock()
	defer c.pool().mu.Unlock()
	if c.evicted {
		return ErrNoRoom
	}
	c.stopWaiting()
	return nil
}

func (c *conn) admitRequest(caller string) (headBytes int64, err error) {
	p := c.pool()
	p.mu.Lock()
	defer p.mu.Unlock()
	most := p.maxRequests()
	switch {
	case c.evicted:
		return 0, ErrNoRoom
	case p.requests >= most, float64(p.admitted[caller]) >= callerShare*float64(most):
		return 0, ErrTooMany
	}
	c.stopWaiting()
	if c.counted {
		c.admitted, c.caller = true, caller
		p.admitted[caller]++
		p.requests++
	}
	return c.releaseServing(), nil
}

func (c *conn) endRequest() {
	if !c.admitted {
		return
	}
	c.admitted = false
	p := c.pool()
	p.requests--
	if p.admitted[c.caller]--; p.admitted[c.caller] == 0 {
		delete(p.admitted, c.caller)
	}
}

func (c *conn) releaseServing() (n int64) {
	n, c.serving = c.serving, 0
	c.release(n)
	return n
}

func (c *conn) release(n int64) {
	c.bytes -= n
	if n > 0 {
		c.pool().budget.ReleaseConnection(n)
	}
}

func headCost(bytes, lines int) int64 {
	return int64(bytes)*headByteBytes + int64(lines)*headLineBytes
}

// AddHead implements framing.HeadAccount. Errors: ErrNoRoom.
func (c *conn) AddHead(bytes, lines int) error {
	for !c.tryAddHead(headCost(bytes, lines)) {
		if !c.pool().closeLongestWaiting(nil) {
			return ErrNoRoom
		}
	}
	if c.isEvicted() {
		return ErrNoRoom
	}
	return nil
}

func (c *conn) tryAddHead(n int64) bool {
	c.pool().mu.Lock()
	defer c.pool().mu.Unlock()
	// A single byte arrives when net/http watches a connection during its request, which
	// must not end because of the next one.
	return c.evicted || !c.counted || n <= headCost(1, 1) && c.element == nil || c.pool().tryCount(c, n)
}

func (c *conn) isEvicted() bool {
	c.pool().mu.Lock()
	defer c.pool().mu.Unlock()
	return c.evicted
}

// ServeHead implements framing.HeadAccount.
func (c *conn) ServeHead(bytes, lines int) {
	c.pool().mu.Lock()
	defer c.pool().mu.Unlock()
	if c.counted {
		c.serving += headCost(bytes, lines)
	}
}

// Close closes the connection and stops counting it. Further calls do not change the
// count.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.uncount()
	return err
}

func (c *conn) uncount() {
	p := c.pool()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.counted {
		return
	}
	c.counted = false
	c.listener.open--
	c.stopWaiting()
	c.release(c.bytes)
	c.serving = 0
	c.endRequest()
	select {
	case c.listener.changed <- struct{}{}:
	default: // Accept will see it
	}
}

// CloseWrite implements the half-close by which net/http lets a client read a response
// before the connection is closed. It does nothing on connections without one.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

var _ framing.HeadAccount = (*conn)(nil)
