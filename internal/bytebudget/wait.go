package bytebudget

import (
	"context"
	"slices"
	"time"
)

// waiter waits for bytes that others release.
type waiter struct {
	body *Body
	n    int64
	wake chan struct{} // closed to let it try again
}

// yieldWait limits the wait for the memory of bodies that yield. Their owners only have
// to notice that a read has ended.
const yieldWait = time.Second

// reserve counts n bytes, and waits for bodies that yield if the budget is short.
func (h *Body) reserve(ctx context.Context, n int64, now func() time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, yieldWait)
	defer cancel()
	for {
		w, err := h.tryReserve(n, now())
		if w == nil {
			return err
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			h.budget.stopWaiting(w)
			return ErrShort
		}
	}
}

// tryReserve counts n bytes. If other bodies yield for them, it returns a waiter that is
// woken when they may be free.
func (h *Body) tryReserve(n int64, now time.Time) (*waiter, error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	over := b.isOverShare(h, n)
	if h.yielded {
		return nil, ErrYielded
	}
	if !over && b.used+n <= b.limit {
		b.add(h, n)
		h.progress = now
		return nil, nil
	}
	caller := h.caller
	if !over {
		caller = b.largestReader()
	}
	if !b.yield(h, n, caller, now) && !b.yieldResponse(h, n, now) {
		return nil, ErrShort
	}
	w := &waiter{h, n, make(chan struct{})}
	b.waiters = append(b.waiters, w)
	return w, nil
}

func (b *Budget) stopWaiting(w *waiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
		return
	}
	b.signal() // it was woken for bytes that another one may take
}

// isOverShare reports whether n more bytes exceed the share of the caller. The share of
// clients without a known key is for bodies and responses; as many of their requests are
// admitted as of a caller.
func (b *Budget) isOverShare(h *Body, n int64) bool {
	if h.caller == "" && !h.admitting {
		return float64(b.held[""]-b.unknown+n) > unknownShare*float64(b.limit)
	}
	return float64(b.held[h.caller]+n) > callerShare*float64(b.limit)
}

// signal wakes the waiters whose bytes are free, in order, and the first one whose bytes
// are not, since it may let another body yield.
func (b *Budget) signal() {
	left, woken := b.limit-b.used, 0
	for _, w := range b.waiters {
		close(w.wake)
		woken++
		if left -= w.n; left < 0 {
			break
		}
	}
	b.waiters = slices.Delete(b.waiters, 0, woken)
}

// wake wakes the waiter of a body.
func (b *Budget) wake(h *Body) {
	for i, w := range b.waiters {
		if w.body == h {
			close(w.wake)
			b.waiters = slices.Delete(b.waiters, i, i+1)
			return
		}
	}
}
