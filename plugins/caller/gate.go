package caller

import (
	"net"
	"sync"
)

// requestTracker counts the requests in flight and rejects new ones once closed.
type requestTracker struct {
	mu      sync.Mutex // lock level 90, see internal/core/lockorder.go
	active  int
	closed  bool
	drained chan struct{} // closed when the tracker is closed and no request is in flight
}

func newRequestTracker() *requestTracker { return &requestTracker{drained: make(chan struct{})} }

// start counts a request. It returns false if the tracker is closed.
func (t *requestTracker) start() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.active++
	return true
}

// done ends a request for which start returned true.
func (t *requestTracker) done() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	if t.closed && t.active == 0 {
		close(t.drained)
	}
}

// close rejects new requests. The returned channel is closed when the last
// request in flight has ended. close must be called only once.
func (t *requestTracker) close() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.active == 0 {
		close(t.drained)
	}
	return t.drained
}

// limitConnections returns a listener that accepts at most limit connections at a
// time.
func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, slots: make(chan struct{}, limit), done: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	slots chan struct{}
	once  sync.Once
	done  chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.slots }}, nil
}

func (l *limitedListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

func (c *limitedConn) Close() error {
	defer c.once.Do(c.release)
	return c.Conn.Close()
}
