package capacity

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Traffic counts bytes on connections. Up is sent by the side that opened the
// connection, Down by the other side. Reads approximates the number of packets.
type Traffic struct {
	Up, Down, Reads, Conns atomic.Int64
}

// TrafficSnapshot is a reading of Traffic.
type TrafficSnapshot struct {
	Up, Down, Reads, Conns int64
}

// Snapshot returns the current counts.
func (t *Traffic) Snapshot() TrafficSnapshot {
	return TrafficSnapshot{t.Up.Load(), t.Down.Load(), t.Reads.Load(), t.Conns.Load()}
}

// Sub returns the counts between an earlier snapshot and this one.
func (v TrafficSnapshot) Sub(earlier TrafficSnapshot) TrafficSnapshot {
	return TrafficSnapshot{v.Up - earlier.Up, v.Down - earlier.Down, v.Reads - earlier.Reads, v.Conns - earlier.Conns}
}

// countedConn counts the bytes read from a connection.
type countedConn struct {
	net.Conn
	bytes, reads *atomic.Int64
}

// Read implements io.Reader.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	c.reads.Add(1)
	return n, err
}

// Relay forwards TCP connections to a target and counts their bytes, which
// include HTTP and gRPC framing but no TCP and IP headers.
type Relay struct {
	traffic  *Traffic
	listener net.Listener
	target   atomic.Pointer[string]

	mu     sync.Mutex // leaf lock
	open   map[net.Conn]bool
	closed bool
}

// NewRelay listens on a free loopback port. Errors: the port cannot be bound.
func NewRelay(t *Traffic) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{traffic: t, listener: l, open: map[net.Conn]bool{}}
	go r.accept()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget sets the address to which connections are forwarded. Connections before
// the first call are closed.
func (r *Relay) SetTarget(address string) { r.target.Store(&address) }

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(c)
	}
}

func (r *Relay) forward(from net.Conn) {
	target := r.target.Load()
	if target == nil {
		_ = from.Close()
		return
	}
	to, err := net.Dial("tcp", *target)
	if err != nil || !r.track(from, to) {
		_ = from.Close()
		return
	}
	r.traffic.Conns.Add(1)
	go r.copy(to, countedConn{from, &r.traffic.Up, &r.traffic.Reads}, from)
	r.copy(from, countedConn{to, &r.traffic.Down, &r.traffic.Reads}, to)
}

// copy forwards bytes in one direction until a connection ends, and then closes
// both.
func (r *Relay) copy(to net.Conn, counted io.Reader, from net.Conn) {
	// Wrapping the writer prevents io.Copy from using splice, which would bypass
	// the counting reader.
	_, _ = io.Copy(struct{ io.Writer }{to}, counted)
	_ = to.Close()
	_ = from.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, to)
	delete(r.open, from)
}

// track registers connections to be closed by Close. If the relay is already
// closed, it closes them and returns false.
func (r *Relay) track(conns ...net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range conns {
		if r.closed {
			_ = c.Close()
			continue
		}
		r.open[c] = true
	}
	return !r.closed
}

// Close closes the listener and all connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.open {
		err = errors.Join(err, c.Close())
	}
	return err
}
