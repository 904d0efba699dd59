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
	// releaseRetryInterval is the interval at which unconfirmed releases are
	// retried.
	releaseRetryInterval = 500 * time.Millisecond
	// maxReleaseBatch limits the releases retried at one time, so that they
	// leave capacity for other background work.
	maxReleaseBatch = 64
)

// usedSlots holds the slots that this router uses, with the holder that granted
// each.
type usedSlots struct {
	mu    sync.Mutex // lock level 90
	slots map[string]usedSlot
}

type usedSlot struct {
	slot   core.Slot
	holder string
}

func (u *usedSlots) init() { u.slots = map[string]usedSlot{} }

func (u *usedSlots) add(s core.Slot, holder string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.slots[s.Attempt] = usedSlot{s, holder}
}

func (u *usedSlots) remove(attempt string) (holder string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	holder = u.slots[attempt].holder
	delete(u.slots, attempt)
	return holder
}

// onWorker returns the slots in use on a worker and removes those that have
// expired.
func (u *usedSlots) onWorker(now time.Time, k workerKey) []admission.Grant {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []admission.Grant
	for attempt, s := range u.slots {
		if now.After(s.slot.ExpiresAt) {
			delete(u.slots, attempt)
			continue
		}
		if s.slot.Upstream == k.upstream && s.slot.Worker == k.worker {
			list = append(list, admission.Grant{RequestID: attempt, Worker: k.worker, ExpiresAt: s.slot.ExpiresAt})
		}
	}
	return list
}

// pendingRelease is a slot whose release the holder has not confirmed.
type pendingRelease struct {
	slot       core.Slot
	holder     string // asked first; the holder may have changed
	costTokens int64
	inFlight   bool
}

// pendingReleases holds the slots whose holder has not confirmed the release.
type pendingReleases struct {
	mu      sync.Mutex // lock level 90
	pending map[string]*pendingRelease
}

func (r *pendingReleases) init() { r.pending = map[string]*pendingRelease{} }

// Release implements core.SlotClient.
func (p *Peer) Release(s core.Slot, costTokens int64) {
	p.releaseSlot(p.usedSlots.remove(s.Attempt), s, costTokens)
}

// releaseSlot releases a slot at its current holder: the router that granted
// it, or one that has become holder since. It retries in the background until
// the release is confirmed or the slot expires. A negative costTokens means that
// the cost is not known.
func (p *Peer) releaseSlot(router string, s core.Slot, costTokens int64) {
	if p.releaseLocal(s.Upstream, s.Worker, s.Attempt, costTokens) {
		return
	}
	p.pendingReleases.mu.Lock()
	p.pendingReleases.pending[s.Attempt+"/"+router] = &pendingRelease{slot: s, holder: router, costTokens: costTokens, inFlight: true}
	r := p.pendingReleases.pending[s.Attempt+"/"+router]
	p.pendingReleases.mu.Unlock()
	if !p.background.Submit(func(ctx context.Context) { p.tryRelease(ctx, r) }) {
		p.pendingReleases.mu.Lock()
		r.inFlight = false
		p.pendingReleases.mu.Unlock()
	}
}

// releaseLocal releases a slot if this router is the holder, and reports
// whether it did. A holder that does not know the slots in use yet is not
// ready, because the list from the previous holder would restore the slot. A
// positive cost shows that a request ran on the worker, which resets the count
// of the worker's missed load reports.
func (p *Peer) releaseLocal(upstream, worker, attempt string, costTokens int64) bool {
	p.leaseMu.Lock()
	l := p.leases[workerKey{upstream, worker}]
	pl := p.pools[upstream]
	ready := l != nil && l.held && l.slotsKnown
	if ready && costTokens > 0 {
		l.missedReports = 0
	}
	p.leaseMu.Unlock()
	if !ready || pl == nil {
		return false
	}
	pl.release(attempt, costTokens)
	return true
}

// retryReleases retries the releases that have not been confirmed.
func (p *Peer) retryReleases(context.Context) {
	now := p.now()
	p.recentLoads.prune(now, p.settings.ExchangeInterval)
	var due []*pendingRelease
	p.pendingReleases.mu.Lock()
	for id, r := range p.pendingReleases.pending {
		if now.After(r.slot.ExpiresAt) {
			delete(p.pendingReleases.pending, id)
			continue
		}
		if !r.inFlight && len(due) < maxReleaseBatch {
			r.inFlight = true
			due = append(due, r)
		}
	}
	p.pendingReleases.mu.Unlock()
	for _, r := range due {
		p.submit(func(ctx context.Context) { p.tryRelease(ctx, r) })
	}
}

// tryRelease sends one pending release. A router that is not the holder names
// the router to ask next time.
func (p *Peer) tryRelease(ctx context.Context, r *pendingRelease) {
	done, next := p.sendRelease(ctx, r)
	p.pendingReleases.mu.Lock()
	defer p.pendingReleases.mu.Unlock()
	r.inFlight = false
	for id, other := range p.pendingReleases.pending {
		if other == r && done {
			delete(p.pendingReleases.pending, id)
		}
	}
	if next != "" {
		r.holder = next
	}
}

func (p *Peer) sendRelease(ctx context.Context, r *pendingRelease) (done bool, next string) {
	s := r.slot
	if p.releaseLocal(s.Upstream, s.Worker, s.Attempt, r.costTokens) {
		return true, ""
	}
	currentHolder := p.findHolder(workerKey{s.Upstream, s.Worker})
	router := r.holder
	if router == "" || router == p.identity.Router {
		router = currentHolder
	}
	m, ok := p.member(router)
	if !ok || m.Address == "" || router == p.identity.Router {
		return false, currentHolder
	}
	client, err := p.conns.client(m.Address)
	if err != nil {
		return false, currentHolder
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
	defer cancel()
	reply, err := client.Release(ctx, &peerpb.ReleaseRequest{
		Attempt: s.Attempt, Upstream: s.Upstream, Worker: s.Worker, CostTokens: r.costTokens,
		Router: p.identity.Router, Sums: p.localLoad(s.Upstream),
	})
	if err == nil {
		p.recordLoad(router, s.Upstream, reply.GetSums())
	}
	switch {
	case err != nil:
		return false, currentHolder
	case !reply.GetNotHolder():
		return true, ""
	case reply.GetHolder() != "":
		return false, reply.GetHolder()
	}
	return false, currentHolder
}
