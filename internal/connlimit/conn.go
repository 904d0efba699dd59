package connlimit

import (
	"container/list"
	"net"

	"github.com/auburnlead/auburnlead/internal/framing"
)

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
		return ErrEvicted
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
		return 0, ErrEvicted
	case p.requests >= most, float64(p.admitted[caller]) >= callerShare*float64(most):
		return 0, ErrTooMany
	}
	c.stopWaiting()
	if c.counted {
		c.admitted, c.caller = true, caller
		p.admitted[caller]++
		p.requests++
		c.listener.requests++
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
	c.listener.requests--
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

// AddHead implements framing.HeadAccount. Errors: ErrEvicted.
func (c *conn) AddHead(bytes, lines int) error {
	for !c.tryAddHead(headCost(bytes, lines)) {
		if !c.pool().closeLongestWaiting(nil) {
			c.pool().closeEvicted(c) // all others have an admitted request
			return ErrEvicted
		}
	}
	if c.isEvicted() {
		return ErrEvicted
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
