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

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/framing"
)

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

// Intervals of a connection that waits. yieldInterval is longer than net/http keeps a
// connection open after its request has yielded.
const (
	retryInterval = 100 * time.Millisecond // it looks for capacity that nothing announces
	yieldInterval = time.Second            // it lets a body yield
)

// ErrEvicted means that a connection was closed to free capacity.
var ErrEvicted = errors.New("connlimit: the connection was closed to free capacity; raise memory_mb or the descriptors of the process")

// ErrTooMany means that no connection to a worker is left for a request.
var ErrTooMany = errors.New("connlimit: too many requests are in flight; retry later, or raise the descriptors of the process")

// Config configures Listen and Serve.
type Config struct {
	// Listener is the name of the listener for logs and metrics.
	Listener string
	// Limit returns the largest number of open connections. It is called for each
	// connection and must not block.
	Limit func() int
	// Pool has the connections of the process.
	Pool *Pool
}

// Pool has the connections of all listeners of a process.
type Pool struct {
	budget  *bytebudget.Budget
	onEvict func(listener string, c net.Conn) // nil for none

	mu      sync.Mutex // lock level 85
	waiting list.List  // connections without an admitted request, the longest waiting first

	admitted    map[string]int // requests, by caller
	requests    int            // sum of admitted
	maxRequests func() int
}

// NewPool returns an empty pool, whose memory a budget counts. onEvict is called with each
// connection that is closed to free capacity, and the name of its listener; it must not
// block. nil for none.
func NewPool(b *bytebudget.Budget, onEvict func(listener string, c net.Conn)) *Pool {
	return &Pool{budget: b, onEvict: onEvict, admitted: map[string]int{}, maxRequests: maxRequests}
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
// ErrEvicted if the connection has been closed, ErrTooMany.
func Admit(ctx context.Context, caller string) (headBytes int64, err error) {
	c := find(framing.Conn(ctx))
	if c == nil {
		return 0, nil // not served by this package
	}
	return c.admitRequest(caller)
}

// AdmitConn is Admit for a connection of a server without package framing. Errors:
// ErrEvicted if the connection has been closed.
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

	// The pool's lock protects the fields below.
	open     int
	requests int // admitted
}

func (l *listener) hasRequests() bool {
	l.config.Pool.mu.Lock()
	defer l.config.Pool.mu.Unlock()
	return l.requests > 0
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: nc, listener: l}
	var lastYield time.Time
	for {
		added, own := l.tryAdd(c)
		if added {
			return c, nil
		}
		if l.config.Pool.closeLongestWaiting(own) {
			continue
		}
		// Only a listener with admitted requests gains from one that yields.
		if now := time.Now(); now.Sub(lastYield) >= yieldInterval && l.hasRequests() {
			if l.config.Pool.budget.YieldSlow(SlowAge, now) {
				lastYield = now
			}
		}
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
	c := p.markLongestWaiting(of)
	if c == nil {
		return false
	}
	p.closeEvicted(c)
	return true
}

func (p *Pool) markLongestWaiting(of *listener) *conn {
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

func (p *Pool) closeEvicted(c *conn) {
	if p.onEvict != nil {
		p.onEvict(c.listener.config.Listener, c)
	}
	_ = c.Close()
}

// Close closes the listener and ends an Accept that waits for room.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}
