package caller

import (
	"net"
	"sync"
)

// gate counts the requests in flight and turns new ones away once closed.
type gate struct {
	mu     sync.Mutex // level 90
	active int
	closed bool
	empty  chan struct{} // closed when the gate is and no request is left
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// enter admits a request unless the gate is closed.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	if g.closed && g.active == 0 {
		close(g.empty)
	}
}

// close turns new requests away. The channel is closed when the last admitted
// one has left. It is called once.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	if g.active == 0 {
		close(g.empty)
	}
	return g.empty
}

// limitConnections bounds the accepted connections of a listener.
func limitConnections(l net.Listener, limit int) net.Listener {
	return &limitedListener{Listener: l, free: make(chan struct{}, limit), done: make(chan struct{})}
}

type limitedListener struct {
	net.Listener
	free chan struct{}
	once sync.Once
	done chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.free <- struct{}{}:
	case <-l.done:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.free
		return nil, err
	}
	return &limitedConn{Conn: conn, release: func() { <-l.free }}, nil
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
