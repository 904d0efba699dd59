// Package connlimit holds accepting of connections back while a process has too many.
// Load pattern: clients that open connections without end, so that the process has no
// descriptors left for workers and peers. Connections that are not accepted wait in the
// backlog of the operating system.
package connlimit

import (
	"net"
	"sync"

	"golang.org/x/sys/unix"
)

// reserveDivisor is the inverse part of a process's descriptors that is kept for
// connections to workers and peers, files and listeners.
const reserveDivisor = 2

// ForProcess returns the number of clients' connections that leaves descriptors for
// everything else: half of the soft limit of the process.
func ForProcess() int {
	var r unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) != nil {
		return 512 // half of the usual soft limit; the call does not fail for a known resource
	}
	return int(max(min(r.Cur, 1<<30)/reserveDivisor, 1))
}

// Listen returns a listener that accepts only while fewer connections are open than limit
// returns. limit is called for each connection and must not block.
func Listen(l net.Listener, limit func() int) net.Listener {
	return &listener{Listener: l, limit: limit, changed: make(chan struct{}, 1), done: make(chan struct{})}
}

type listener struct {
	net.Listener
	limit   func() int
	once    sync.Once
	done    chan struct{}
	changed chan struct{} // has a value if a connection was closed

	mu   sync.Mutex // lock level 90
	open int
}

func (l *listener) Accept() (net.Conn, error) {
	for !l.take() {
		select {
		case <-l.changed:
		case <-l.done:
			return nil, net.ErrClosed
		}
	}
	c, err := l.Listener.Accept()
	if err != nil {
		l.release()
		return nil, err
	}
	return &conn{Conn: c, release: l.release}, nil
}

func (l *listener) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit() {
		return false
	}
	l.open++
	return true
}

func (l *listener) release() {
	l.mu.Lock()
	l.open--
	l.mu.Unlock()
	select {
	case l.changed <- struct{}{}:
	default: // Accept will see it
	}
}

// Close closes the listener and ends an Accept that waits because of the limit.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

type conn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and stops counting it. Further calls do not change the
// count.
func (c *conn) Close() error {
	defer c.once.Do(c.release)
	return c.Conn.Close()
}

// CloseWrite implements the half-close by which net/http lets a client read a response
// before the connection is closed. It does nothing on connections without one.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
