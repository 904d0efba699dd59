package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/auburnlead/auburnlead/routing"
)

// A worker that is unreachable gets no requests until a connection to it can be
// opened again. A partition makes whole failure domains unreachable. Therefore a
// connect timeout of one worker triggers an immediate probe of the other workers
// in its domain. One worker of each remaining domain except this router's is
// probed too, because requests may be sent to such a domain too rarely to detect
// that it is unreachable.

// reachability probes unreachable workers until a connection can be opened.
type reachability struct {
	g    *Gateway
	dial func(ctx context.Context, address string) error
	ctx  context.Context
	stop context.CancelFunc
}

// Bounds of the delay between probes of an unreachable worker. It doubles with
// each probe.
const (
	firstProbeDelay = 200 * time.Millisecond
	maxProbeDelay   = time.Second
)

func newReachability(g *Gateway) *reachability {
	r := &reachability{g: g}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.dial = func(ctx context.Context, address string) error {
		conn, err := g.conns.dial(ctx, "tcp", address)
		if err != nil {
			return err
		}
		return conn.Close()
	}
	return r
}

// isUnreachable reports whether an error means that a worker is unreachable.
func isUnreachable(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

// mayBePartition reports whether an error can be due to a partition. A refused
// connection concerns a single worker only.
func mayBePartition(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

// handleFailure processes the error of an attempt or probe.
func (r *reachability) handleFailure(w *routing.Worker, err error) {
	if !isUnreachable(err) || !r.markUnreachable(w, err) {
		return
	}
	if !mayBePartition(err) {
		return
	}
	for _, other := range r.g.fleet.SameDomainWorkers(w) {
		go r.probe(other, func(err error) { r.markUnreachable(other, err) })
	}
	for _, other := range r.g.fleet.OtherDomainSamples(w) {
		go r.probe(other, func(err error) { r.handleFailure(other, err) })
	}
}

// probe calls onError if no connection to the worker can be opened.
func (r *reachability) probe(w *routing.Worker, onError func(error)) {
	if err := r.dial(r.ctx, w.Address); err != nil && r.ctx.Err() == nil {
		onError(err)
	}
}

// markUnreachable marks a worker as unreachable and reports whether it was
// reachable before.
func (r *reachability) markUnreachable(w *routing.Worker, err error) bool {
	if !r.g.fleet.SetUnreachable(w, true) {
		return false
	}
	r.g.decisions.logChange("worker lost", "worker", w.ID, "upstream", w.Upstream, "failure_domain", w.FailureDomain, "error", err)
	r.g.updateIsolation()
	go r.probeUntilReachable(w)
	return true
}

// probeUntilReachable probes an unreachable worker until it is reachable again
// or no longer listed.
func (r *reachability) probeUntilReachable(w *routing.Worker) {
	for delay := firstProbeDelay; r.g.fleet.IsListed(w); delay = min(2*delay, maxProbeDelay) {
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(delay):
		}
		if r.dial(r.ctx, w.Address) == nil {
			r.g.fleet.SetUnreachable(w, false)
			r.g.decisions.logChange("worker regained", "worker", w.ID, "upstream", w.Upstream)
			r.g.updateIsolation()
			return
		}
	}
}
