package peer

import (
	"context"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/peerpb"
)

const (
	// releaseRetry is the interval at which unanswered releases are repeated.
	releaseRetry = 500 * time.Millisecond
	// releaseBatch bounds the releases repeated at one time, so that they
	// leave room for other background work.
	releaseBatch = 64
)

// using lists the slots that this router uses, and who granted them.
type using struct {
	mu    sync.Mutex // level 90
	slots map[string]usedSlot
}

type usedSlot struct {
	slot   core.Slot
	router string
}

func (u *using) init() { u.slots = map[string]usedSlot{} }

func (u *using) add(s core.Slot, router string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slots[s.Attempt] = usedSlot{s, router}
}

func (u *using) remove(attempt string) (router string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	router = u.slots[attempt].router
	delete(u.slots, attempt)
	return router
}

// on lists the slots in use on a worker and forgets those that have expired.
func (u *using) on(now time.Time, k workerKey) []admission.Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []admission.Grant
	for attempt, s := range u.slots {
		if now.After(s.slot.Until) {
			delete(u.slots, attempt)
			continue
		}
		if s.slot.Upstream == k.upstream && s.slot.Worker == k.worker {
			list = append(list, admission.Grant{RequestID: attempt, Worker: k.worker, ExpiresAt: s.slot.Until})
		}
	}
	return list
}

// release is a slot on its way back to the holder.
type release struct {
	slot   core.Slot
	router string // to ask first; the holder may have changed
	cost   int64
	busy   bool
}

// releases are the slots whose holder has not confirmed the release.
type releases struct {
	mu   sync.Mutex // level 90
	open map[string]*release
}

func (r *releases) init() { r.open = map[string]*release{} }

// Release implements core.Slots.
func (p *Peer) Release(s core.Slot, costTokens int64) {
	p.giveBack(p.using.remove(s.Attempt), s, costTokens)
}

// giveBack releases a slot at the router that granted it or its successor as
// holder, and repeats that in the background.
func (p *Peer) giveBack(router string, s core.Slot, costTokens int64) {
	if p.releaseHere(s.Upstream, s.Worker, s.Attempt, costTokens) {
		return
	}
	p.releases.mu.Lock()
	p.releases.open[s.Attempt+"/"+router] = &release{slot: s, router: router, cost: costTokens, busy: true}
	r := p.releases.open[s.Attempt+"/"+router]
	p.releases.mu.Unlock()
	if !p.bg.Submit(func(ctx context.Context) { p.tryRelease(ctx, r) }) {
		p.releases.mu.Lock()
		r.busy = false
		p.releases.mu.Unlock()
	}
}

// releaseHere releases a slot if this router is the holder, and reports
// whether it is. A holder that has not yet got the list of slots from its
// predecessor is not ready: the list would bring the slot back.
func (p *Peer) releaseHere(upstream, worker, attempt string, costTokens int64) bool {
	p.leaseMu.Lock()
	l := p.leases[workerKey{upstream, worker}]
	pl := p.pools[upstream]
	ready := l != nil && l.held && l.counted
	if ready && costTokens > 0 {
		l.missed = 0
	}
	p.leaseMu.Unlock()
	if !ready || pl == nil {
		return false
	}
	pl.release(attempt, costTokens)
	return true
}

// retryReleases repeats the releases that have not been confirmed.
func (p *Peer) retryReleases(context.Context) {
	now := p.now()
	p.fresh.prune(now, p.s.ExchangeInterval)
	var due []*release
	p.releases.mu.Lock()
	for id, r := range p.releases.open {
		if now.After(r.slot.Until) {
			delete(p.releases.open, id)
			continue
		}
		if !r.busy && len(due) < releaseBatch {
			r.busy = true
			due = append(due, r)
		}
	}
	p.releases.mu.Unlock()
	for _, r := range due {
		p.submit(func(ctx context.Context) { p.tryRelease(ctx, r) })
	}
}

// tryRelease makes one attempt. A router that is not the holder names the one
// to ask next time.
func (p *Peer) tryRelease(ctx context.Context, r *release) {
	done, next := p.sendRelease(ctx, r)
	p.releases.mu.Lock()
	defer p.releases.mu.Unlock()
	r.busy = false
	for id, other := range p.releases.open {
		if other == r && done {
			delete(p.releases.open, id)
		}
	}
	if next != "" {
		r.router = next
	}
}

func (p *Peer) sendRelease(ctx context.Context, r *release) (done bool, next string) {
	s := r.slot
	if p.releaseHere(s.Upstream, s.Worker, s.Attempt, r.cost) {
		return true, ""
	}
	present := p.findHolder(workerKey{s.Upstream, s.Worker})
	router := r.router
	if router == "" || router == p.id.Router {
		router = present
	}
	m, ok := p.member(router)
	if !ok || m.Address == "" || router == p.id.Router {
		return false, present
	}
	client, err := p.conns.client(m.Address)
	if err != nil {
		return false, present
	}
	ctx, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
	defer cancel()
	reply, err := client.Release(ctx, &peerpb.ReleaseRequest{
		Attempt: s.Attempt, Upstream: s.Upstream, Worker: s.Worker, CostTokens: r.cost,
		Router: p.id.Router, Sums: p.ownSums(s.Upstream),
	})
	if err == nil {
		p.observeSums(router, s.Upstream, reply.GetSums())
	}
	switch {
	case err != nil:
		return false, present
	case !reply.GetNotHolder():
		return true, ""
	case reply.GetHolder() != "":
		return false, reply.GetHolder()
	}
	return false, present
}
