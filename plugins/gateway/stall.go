package gateway

import (
	"sync/atomic"
	"time"
)

// A worker can take a request and never answer, while its health check and its
// other requests go on. Waiting for the deadline loses the request; giving up
// after a fixed time repeats requests whenever a flood makes all workers slow.
// The patience therefore follows the times that the upstream takes.

// delay is the time that an upstream takes to its first byte: an average and
// the average deviation from it, as for the retransmission of packets
// (RFC 6298). It is guarded by fleet.mu.
type delay struct {
	known           bool
	mean, deviation time.Duration
}

// Weights of a new time in the averages, and bounds of the patience.
const (
	meanShare      = 8 // one of so many
	deviationShare = 4
	// deviations above the mean are waited for: prompts differ in length by
	// more than packets do in their way.
	deviations = 8
	// patienceLeast keeps single slow answers from being given up.
	patienceLeast = 500 * time.Millisecond
	// targetFactor times the route's target is waited for at least, since
	// another worker may have to read a long prompt again.
	targetFactor = 2
	// patienceFirst applies until a time is known.
	patienceFirst = 2 * time.Second
)

func (d *delay) took(t time.Duration) {
	if !d.known {
		d.known, d.mean, d.deviation = true, t, t/2
		return
	}
	off := t - d.mean
	d.mean += off / meanShare
	d.deviation += (off.Abs() - d.deviation) / deviationShare
}

func (d *delay) patience() time.Duration {
	if !d.known {
		return patienceFirst
	}
	return max(d.mean+deviations*d.deviation, patienceLeast)
}

// watch ends an attempt that stalls, if the request may go to another worker.
type watch struct {
	timer *time.Timer
	fired atomic.Bool
}

// watch starts to watch an attempt whose first byte is due. cancel ends it.
func (g *Gateway) watch(x *exchange, c choice, cancel func()) *watch {
	w := &watch{}
	patience := max(g.fleet.patience(c.worker), targetFactor*x.route.Target)
	w.timer = time.AfterFunc(patience, func() {
		g.decisions.count("stalls", "upstream", c.worker.Upstream)
		// The repeat is taken from the budget first: without it, the answer
		// may still come.
		if x.maySwitch() && g.fleet.allowRepeat(x.destination) {
			w.fired.Store(true)
			cancel()
		}
	})
	return w
}

// maySwitch reports whether a request that is running at a worker may be given
// to another.
func (x *exchange) maySwitch() bool {
	return x.route.Repeatable() && x.ranOn+1 < x.route.MaxAttempts && len(x.tried) < maxTries
}

// again watches for the next event of a stream.
func (w *watch) again(d time.Duration) { w.timer.Reset(d) }

// stop ends the watch and reports whether it ended the attempt.
func (w *watch) stop() bool {
	w.timer.Stop()
	return w.fired.Load()
}
