package caller

import "sync"

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
