package gateway

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/auburnlead/auburnlead/routing"
)

// A worker that cannot be reached gets no requests until a connection to it
// can be opened again. A partition cuts off whole failure domains, so the loss
// of one worker has the others of its domain checked at once, and one worker of
// each other domain, which requests may reach rarely.

// reach opens connections to lost workers until one succeeds.
type reach struct {
	g    *Gateway
	dial func(ctx context.Context, address string) error
	ctx  context.Context
	stop context.CancelFunc
}

// Periods of the checks of lost workers.
const (
	reachFirst   = 200 * time.Millisecond
	reachLongest = time.Second
)

func newReach(g *Gateway) *reach {
	r := &reach{g: g}
	r.ctx, r.stop = context.WithCancel(context.Background())
	r.dial = func(ctx context.Context, address string) error {
		conn, err := g.upstream.dial(ctx, "tcp", address)
		if err != nil {
			return err
		}
		return conn.Close()
	}
	return r
}

// isLoss reports whether an error says that a worker cannot be reached.
func isLoss(err error) bool {
	var dial *dialError
	return errors.As(err, &dial) || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

// isSilence reports whether an error may be due to a partition. A refused
// connection concerns one worker only.
func isSilence(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout() || errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, syscall.EHOSTUNREACH)
}

// failed takes the error of an attempt.
func (r *reach) failed(w *routing.Worker, err error) {
	if !isLoss(err) || !r.lose(w, err) {
		return
	}
	if !isSilence(err) {
		return
	}
	for _, other := range r.g.fleet.SameDomainWorkers(w) {
		go r.check(other, func(err error) { r.lose(other, err) })
	}
	for _, other := range r.g.fleet.OtherDomainSamples(w) {
		go r.check(other, func(err error) { r.failed(other, err) })
	}
}

// check calls lost if a worker cannot be reached.
func (r *reach) check(w *routing.Worker, lost func(error)) {
	if err := r.dial(r.ctx, w.Address); err != nil && r.ctx.Err() == nil {
		lost(err)
	}
}

// lose marks a worker as lost and reports whether it was not before.
func (r *reach) lose(w *routing.Worker, err error) bool {
	if !r.g.fleet.SetUnreachable(w, true) {
		return false
	}
	r.g.decisions.change("worker lost", "worker", w.ID, "upstream", w.Upstream, "failure_domain", w.FailureDomain, "error", err)
	r.g.noteReach()
	go r.regain(w)
	return true
}

// regain checks a lost worker until it can be reached or is gone.
func (r *reach) regain(w *routing.Worker) {
	for wait := reachFirst; r.g.fleet.IsListed(w); wait = min(2*wait, reachLongest) {
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(wait):
		}
		if r.dial(r.ctx, w.Address) == nil {
			r.g.fleet.SetUnreachable(w, false)
			r.g.decisions.change("worker regained", "worker", w.ID, "upstream", w.Upstream)
			r.g.noteReach()
			return
		}
	}
}
