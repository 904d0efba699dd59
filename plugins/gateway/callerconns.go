package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns tracks the connections of callers on which a request is in flight or
// the first one is still to come.
type callerConns struct {
	mu       sync.Mutex // lock level 90, see internal/core/lockorder.go
	listener net.Listener
	busy     map[net.Conn]bool
}

// idlePollInterval is the interval at which awaitIdle looks at the connections.
const idlePollInterval = 20 * time.Millisecond

// record implements http.Server.ConnState.
func (c *callerConns) record(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		if c.busy == nil {
			c.busy = map[net.Conn]bool{}
		}
		c.busy[conn] = true
		return
	}
	delete(c.busy, conn)
}

func (c *callerConns) setListener(l net.Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = l
}

// closeListener lets no more connections be opened.
func (c *callerConns) closeListener() {
	c.mu.Lock()
	l := c.listener
	c.mu.Unlock()
	if l != nil {
		_ = l.Close() // closed again by the server
	}
}

// awaitIdle waits until no connection is busy or ctx ends.
func (c *callerConns) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for c.busyCount() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (c *callerConns) busyCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.busy)
}
