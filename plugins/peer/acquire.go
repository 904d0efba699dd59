package peer

import (
	"cmp"
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
	"github.com/auburnlead/auburnlead/placement"
)

const (
	// reasonNotHolder is the reason in an AcquireReply of a router that holds
	// none of the requested workers.
	reasonNotHolder = "not_holder"
	// maxHops limits how many routers are asked for a slot of one worker: first
	// the holder according to the membership view, then the router that each
	// reply names instead.
	maxHops = 3
	// noHolderRetryAfter is the retry delay reported when no holder was found.
	// Leases move to another router within a few seconds.
	noHolderRetryAfter = time.Second
	// replyGrace is added to the wait in the queue to give the timeout of a
	// call.
	replyGrace = 2 * time.Second
	// noWaitTimeoutDivisor divides CallTimeout to give the timeout of a request
	// that does not wait in the queue: 250 ms by default, compared with one-way
	// network latencies of 1.5 ms. If the holder takes longer, the request gives
	// up its preferred worker and goes on to the next one.
	noWaitTimeoutDivisor = 4
	// unresponsiveTimeouts is the number of call timeouts for which a router is
	// skipped after a call to it got no reply.
	unresponsiveTimeouts = 2
)

// Acquire implements core.SlotClient. It asks the holder of each acceptable
// worker in turn, and goes on to the next worker if the refusal concerns only
// that one, for example because its holder does not reply. A full queue or an
// expired deadline ends the search, because the holder of the preferred worker
// decides on order and fairness.
func (p *Peer) Acquire(ctx context.Context, r core.SlotRequest) (core.Slot, error) {
	deadline := p.now().Add(r.Wait)
	last := &core.SlotError{Reason: core.SlotNoHolder, RetryAfter: noHolderRetryAfter}
	asked := map[string]bool{}
	for _, worker := range r.Workers {
		router := p.findHolder(workerKey{r.Upstream, worker})
		for hop := 0; hop < maxHops && router != "" && !asked[router]; hop++ {
			asked[router] = true
			slot, hint, err := p.requestSlot(ctx, router, r, deadline)
			if err == nil {
				p.usedSlots.add(slot, router)
				p.scope.Counter("slots_acquired").Inc(1)
				return slot, nil
			}
			last, router = err, hint
			if err.Reason == core.SlotQueueFull || err.Reason == core.SlotExpired || ctx.Err() != nil {
				p.countRefusal(err)
				return core.Slot{}, err
			}
		}
	}
	p.countRefusal(last)
	return core.Slot{}, last
}

func (p *Peer) countRefusal(err *core.SlotError) {
	p.scope.Tagged(map[string]string{"reason": string(err.Reason)}).Counter("slots_refused").Inc(1)
}

// findHolder returns the router to ask for a worker: this one if it holds the
// worker, otherwise the one that advertises in the membership view that it
// holds the worker, otherwise the preferred holder by rendezvous hashing among
// the live routers of the worker's failure domain.
func (p *Peer) findHolder(k workerKey) string {
	p.leaseMu.Lock()
	l := p.leases[k]
	heldHere := l != nil && l.held
	domain := p.workerDomain(k)
	p.leaseMu.Unlock()
	if heldHere {
		return p.identity.Router
	}
	if router, ok := p.advertisedHolder(k); ok && router != p.identity.Router {
		return router
	}
	return p.preferredHolder(k, domain)
}

// workerDomain returns the failure domain of a worker. The caller holds
// leaseMu.
func (p *Peer) workerDomain(k workerKey) string {
	if u := p.upstream(k.upstream); u != nil {
		for i := range u.Workers {
			if u.Workers[i].ID == k.worker {
				return u.Workers[i].FailureDomain
			}
		}
	}
	return ""
}

func (p *Peer) preferredHolder(k workerKey, domain string) string {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	var routers []string
	var hashes []uint64
	for _, m := range p.view.Members(p.now()) {
		if m.Domain == domain && m.State == membership.Live && m.Router != p.identity.Router {
			routers = append(routers, m.Router)
			hashes = append(hashes, placement.Hash(m.Router))
		}
	}
	var best [1]int
	for _, i := range placement.Choose(best[:], placement.Hash(k.upstream, k.worker), hashes) {
		return routers[i]
	}
	return ""
}

// requestSlot asks one router for a slot. If it is refused, hint is the router
// to ask instead, empty if none is known.
func (p *Peer) requestSlot(ctx context.Context, router string, r core.SlotRequest, deadline time.Time) (slot core.Slot, hint string, err *core.SlotError) {
	request := &peerpb.AcquireRequest{
		Attempt: r.Attempt, Router: p.identity.Router, Incarnation: p.identity.Incarnation,
		Upstream: r.Upstream, Workers: r.Workers, AnyWorker: r.AnyWorker,
		Caller: r.Caller, Weight: r.Weight, Workspace: r.Workspace, Rank: r.Rank,
		CostTokens: r.CostTokens, WaitMs: max(0, deadline.Sub(p.now()).Milliseconds()),
	}
	sent := p.now()
	reply, failed := p.callAcquire(ctx, router, request)
	if failed != nil {
		reason := core.SlotUnanswered
		if ctx.Err() != nil {
			reason = core.SlotExpired
		}
		return core.Slot{}, "", &core.SlotError{Reason: reason, RetryAfter: noHolderRetryAfter}
	}
	if !reply.GetGranted() {
		reason := core.SlotReason(reply.GetReason())
		if reply.GetReason() == reasonNotHolder {
			reason = core.SlotNoHolder
		}
		return core.Slot{}, reply.GetHolder(), &core.SlotError{Reason: reason, RetryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond}
	}
	// The grant was made at least WaitedMs after the request was sent, so the
	// times computed here are never later than the holder's own.
	granted := sent.Add(time.Duration(reply.GetWaitedMs()) * time.Millisecond)
	slot = core.Slot{
		Attempt: r.Attempt, Upstream: r.Upstream, Worker: reply.GetWorker(),
		UseBy:     granted.Add(time.Duration(reply.GetUseWithinMs()) * time.Millisecond),
		ExpiresAt: granted.Add(time.Duration(reply.GetMaxDurationMs()) * time.Millisecond),
	}
	if !p.now().Before(slot.UseBy) {
		p.releaseSlot(router, slot, -1)
		return core.Slot{}, "", &core.SlotError{Reason: core.SlotUnanswered}
	}
	return slot, "", nil
}

// callAcquire sends a slot request to a router, or handles the request in this
// process if it is for this router. If no reply arrives, the slot may have been
// granted, so it is released.
func (p *Peer) callAcquire(ctx context.Context, router string, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	if router == p.identity.Router {
		return p.handleAcquire(ctx, r), ctx.Err()
	}
	m, ok := p.member(router)
	if !ok || m.Address == "" {
		return nil, status.Error(codes.Unavailable, "peer: the holder's address is not known")
	}
	if p.unresponsive.contains(p.now(), router, unresponsiveTimeouts*p.settings.CallTimeout) {
		return nil, status.Error(codes.Unavailable, "peer: a recent call to the holder got no reply")
	}
	client, err := p.conns.client(m.Address)
	if err != nil {
		return nil, err
	}
	grace := replyGrace
	if r.GetWaitMs() == 0 {
		grace = p.settings.CallTimeout / noWaitTimeoutDivisor
	}
	call, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMs())*time.Millisecond+grace)
	defer cancel()
	r.Sums = p.localLoad(r.GetUpstream())
	reply, err := client.Acquire(call, r)
	if err == nil {
		p.recordLoad(router, r.GetUpstream(), reply.GetSums())
	}
	if err != nil {
		if ctx.Err() == nil {
			p.unresponsive.mark(p.now(), router)
		}
		p.log.Debug("no answer to a slot request", "holder", router, "upstream", r.GetUpstream(), "err", err)
		p.releaseSlot(router, core.Slot{Attempt: r.GetAttempt(), Upstream: r.GetUpstream(), Worker: firstOrEmpty(r.GetWorkers()), ExpiresAt: p.now().Add(replyGrace)}, -1)
		return nil, err
	}
	return reply, nil
}

func firstOrEmpty(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// handleAcquire handles a slot request as the holder.
func (p *Peer) handleAcquire(ctx context.Context, r *peerpb.AcquireRequest) *peerpb.AcquireReply {
	arrived := p.now()
	pl, epoch, hint := p.poolFor(r)
	if pl == nil {
		return &peerpb.AcquireReply{Reason: reasonNotHolder, Holder: hint, RetryAfterMs: noHolderRetryAfter.Milliseconds()}
	}
	request := admission.Request{
		ID: r.GetAttempt(), Router: r.GetRouter(), Caller: r.GetCaller(), Weight: cmp.Or(max(0, r.GetWeight()), 1),
		Workspace: r.GetWorkspace(), Rank: r.GetRank(), CostTokens: max(0, r.GetCostTokens()),
		Workers: r.GetWorkers(), AnyWorker: r.GetAnyWorker(),
	}
	g, refusal := pl.acquire(ctx, request, time.Duration(r.GetWaitMs())*time.Millisecond)
	if refusal != nil {
		return &peerpb.AcquireReply{Reason: string(refusal.Reason), RetryAfterMs: refusal.RetryAfter.Milliseconds(), Epoch: epoch}
	}
	p.scope.Counter("grants").Inc(1)
	waited := g.UseBy.Add(-p.settings.UseWithin).Sub(arrived)
	return &peerpb.AcquireReply{
		Granted: true, Worker: g.Worker, Epoch: epoch,
		WaitedMs:      max(0, waited.Milliseconds()),
		UseWithinMs:   p.settings.UseWithin.Milliseconds(),
		MaxDurationMs: g.ExpiresAt.Sub(g.UseBy.Add(-p.settings.UseWithin)).Milliseconds(),
	}
}

// poolFor returns the pool if this router holds one of the workers, otherwise
// the name of the first worker's holder if it is known.
func (p *Peer) poolFor(r *peerpb.AcquireRequest) (pl *pool, epoch uint64, hint string) {
	p.leaseMu.Lock()
	for _, worker := range r.GetWorkers() {
		l := p.leases[workerKey{r.GetUpstream(), worker}]
		if l == nil {
			continue
		}
		record, _ := l.lease.Record()
		if l.held {
			p.leaseMu.Unlock()
			return p.pools[r.GetUpstream()], record.Epoch, ""
		}
		if hint == "" && record.Holder != p.identity.Router {
			hint = record.Holder
		}
	}
	p.leaseMu.Unlock()
	if router, ok := p.advertisedHolder(workerKey{r.GetUpstream(), firstOrEmpty(r.GetWorkers())}); ok && router != p.identity.Router {
		hint = router
	}
	return nil, 0, hint
}
