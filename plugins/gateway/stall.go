package gateway

import (
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/routing"
)

// A worker can take a request and never answer, while its health check and its
// other requests go on. Waiting for the deadline loses the request; giving up
// after a fixed time repeats requests whenever a flood makes all workers slow.
// The patience therefore follows the times that the upstream takes.

// targetFactor times the route's target is waited for at least, since another
// worker may have to read a long prompt again.
const targetFactor = 2

// watch ends an attempt that stalls, if the request may go to another worker.
type watch struct {
	timer *time.Timer
	fired atomic.Bool
}

// watch starts to watch an attempt whose first byte is due. cancel ends it.
func (g *Gateway) watch(x *exchange, c routing.Choice, cancel func()) *watch {
	w := &watch{}
	patience := max(g.fleet.FirstByteTimeout(c.Worker), targetFactor*x.route.Target)
	w.timer = time.AfterFunc(patience, func() {
		g.decisions.count("stalls", "upstream", c.Worker.Upstream)
		// The repeat is taken from the budget first: without it, the answer
		// may still come.
		if x.maySwitch() && g.fleet.AllowRetry(x.destination, time.Now()) {
			w.fired.Store(true)
			cancel()
		}
	})
	return w
}

// maySwitch reports whether a request that is running at a worker may be given
// to another.
func (x *exchange) maySwitch() bool {
	return x.route.Retryable() && x.ranOn+1 < x.route.MaxAttempts && len(x.tried) < maxTries
}

// again watches for the next event of a stream.
func (w *watch) again(d time.Duration) { w.timer.Reset(d) }

// stop ends the watch and reports whether it ended the attempt.
func (w *watch) stop() bool {
	w.timer.Stop()
	return w.fired.Load()
}
