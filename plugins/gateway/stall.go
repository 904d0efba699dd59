package gateway

import (
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/routing"
)

// A worker can accept a request and never respond, although its health check
// and its other requests succeed. If the router waited until the deadline, the
// request would fail; with a fixed timeout it would retry requests whenever a
// flood makes all workers slow. Therefore the timeout follows the response times
// of the upstream.

// The first-byte timeout is at least targetFactor times the route's target,
// because another worker may have to prefill a long prompt again.
const targetFactor = 2

// stallTimer cancels a stalled attempt if the request may be retried on another
// worker.
type stallTimer struct {
	timer *time.Timer
	fired atomic.Bool
}

// startStallTimer starts the first-byte timeout of an attempt. The timer calls
// cancel if the request may be retried by then.
func (g *Gateway) startStallTimer(x *exchange, c routing.Choice, cancel func()) *stallTimer {
	stall := &stallTimer{}
	mayRetry, place := x.mayRetryRunning(), x.place // the timer runs beside the handler of the request
	timeout := max(g.fleet.FirstByteTimeout(c.Worker), targetFactor*x.route.Target)
	stall.timer = time.AfterFunc(timeout, func() {
		g.decisions.count("stalls", "upstream", c.Worker.Upstream)
		g.room.free(c.Worker.Upstream, place, false)
		// Reserve the retry in the budget first: if it is refused, the attempt goes
		// on and its response may still arrive.
		if mayRetry && g.fleet.AllowRetry(x.upstream, time.Now()) {
			stall.fired.Store(true)
			cancel()
		}
	})
	return stall
}

// mayRetryRunning reports whether a request that is running on a worker may be
// sent to another one.
func (x *exchange) mayRetryRunning() bool {
	return x.route.Retryable() && x.possibleRuns+1 < x.route.MaxAttempts && len(x.tried) < maxWorkersTried
}

// reset restarts the timer for the next event of a stream. With a duration of 0 it
// stops the timer.
func (t *stallTimer) reset(d time.Duration) {
	if d <= 0 {
		t.timer.Stop()
		return
	}
	t.timer.Reset(d)
}

// stop stops the timer and reports whether it has cancelled the attempt.
func (t *stallTimer) stop() bool {
	t.timer.Stop()
	return t.fired.Load()
}
