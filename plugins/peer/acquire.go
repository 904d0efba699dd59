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
	// notHolder is the reason in an AcquireReply of a router that is not the
	// holder of any of the workers.
	notHolder = "not_holder"
	// maxHops bounds the routers asked for one worker: the one the view
	// names, and those that each of them names instead.
	maxHops = 3
	// noHolderRetry is when another attempt can succeed after a holder was
	// not found: leases move within a few seconds.
	noHolderRetry = time.Second
	// answerGrace is how long an answer may take beyond the wait in the queue.
	answerGrace = 2 * time.Second
	// promptShare of the call timeout is how long a request that does not wait
	// in the queue may take: 250 ms by default, against one-way latencies of
	// 1.5 ms. A holder that is slower costs the request its first choice.
	promptShare = 4
	// quietTimes call timeouts is how long a router is left out that left a
	// call without answer.
	quietTimes = 2
)

// Acquire implements core.Slots. It asks the holder of each acceptable worker
// in turn. Only an answer that depends on the worker leads to the next one; a
// full queue or a passed deadline ends the search, since the first choice
// decides on order and fairness.
func (p *Peer) Acquire(ctx context.Context, r core.SlotRequest) (core.Slot, error) {
	deadline := p.now().Add(r.Wait)
	last := &core.SlotError{Reason: core.SlotNoHolder, RetryAfter: noHolderRetry}
	asked := map[string]bool{}
	for _, worker := range r.Workers {
		router := p.findHolder(workerKey{r.Upstream, worker})
		for hop := 0; hop < maxHops && router != "" && !asked[router]; hop++ {
			asked[router] = true
			slot, hint, err := p.ask(ctx, router, r, deadline)
			if err == nil {
				p.using.add(slot, router)
				p.scope.Counter("slots_acquired").Inc(1)
				return slot, nil
			}
			last, router = err, hint
			if err.Reason == core.SlotQueueFull || err.Reason == core.SlotExpired || ctx.Err() != nil {
				p.refused(err)
				return core.Slot{}, err
			}
		}
	}
	p.refused(last)
	return core.Slot{}, last
}

func (p *Peer) refused(err *core.SlotError) {
	p.scope.Tagged(map[string]string{"reason": string(err.Reason)}).Counter("slots_refused").Inc(1)
}

// findHolder returns the router to ask for a worker: this one if it holds the
// worker, the one that the held lists name, else the first choice by
// rendezvous among the live routers of the worker's domain.
func (p *Peer) findHolder(k workerKey) string {
	p.leaseMu.Lock()
	l := p.leases[k]
	here := l != nil && l.held
	domain := p.domainOf(k)
	p.leaseMu.Unlock()
	if here {
		return p.id.Router
	}
	if router, ok := p.holderOf(k); ok && router != p.id.Router {
		return router
	}
	return p.guessHolder(k, domain)
}

// domainOf is the failure domain of a worker. The caller holds leaseMu.
func (p *Peer) domainOf(k workerKey) string {
	if u := p.upstream(k.upstream); u != nil {
		for i := range u.Workers {
			if u.Workers[i].ID == k.worker {
				return u.Workers[i].FailureDomain
			}
		}
	}
	return ""
}

func (p *Peer) guessHolder(k workerKey, domain string) string {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	var routers []string
	var hashes []uint64
	for _, m := range p.view.Members(p.now()) {
		if m.Domain == domain && m.State == membership.Live && m.Router != p.id.Router {
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

// ask asks one router for a slot. hint names another router to ask instead.
func (p *Peer) ask(ctx context.Context, router string, r core.SlotRequest, deadline time.Time) (slot core.Slot, hint string, err *core.SlotError) {
	request := &peerpb.AcquireRequest{
		Attempt: r.Attempt, Router: p.id.Router, Incarnation: p.id.Incarnation,
		Upstream: r.Upstream, Workers: r.Workers, AnyWorker: r.AnyWorker,
		Caller: r.Caller, Weight: r.Weight, Workspace: r.Workspace, Rank: r.Rank,
		CostTokens: r.CostTokens, WaitMs: max(0, deadline.Sub(p.now()).Milliseconds()),
	}
	sent := p.now()
	reply, failed := p.askReply(ctx, router, request)
	if failed != nil {
		reason := core.SlotUnanswered
		if ctx.Err() != nil {
			reason = core.SlotExpired
		}
		return core.Slot{}, "", &core.SlotError{Reason: reason, RetryAfter: noHolderRetry}
	}
	if !reply.GetGranted() {
		reason := core.SlotReason(reply.GetReason())
		if reply.GetReason() == notHolder {
			reason = core.SlotNoHolder
		}
		return core.Slot{}, reply.GetHolder(), &core.SlotError{Reason: reason, RetryAfter: time.Duration(reply.GetRetryAfterMs()) * time.Millisecond}
	}
	// The request was granted no earlier than the time it waited after it was
	// sent, so these times are never later than those of the holder.
	granted := sent.Add(time.Duration(reply.GetWaitedMs()) * time.Millisecond)
	slot = core.Slot{
		Attempt: r.Attempt, Upstream: r.Upstream, Worker: reply.GetWorker(),
		UseBy: granted.Add(time.Duration(reply.GetUseWithinMs()) * time.Millisecond),
		Until: granted.Add(time.Duration(reply.GetMaxDurationMs()) * time.Millisecond),
	}
	if !p.now().Before(slot.UseBy) {
		p.giveBack(router, slot, -1)
		return core.Slot{}, "", &core.SlotError{Reason: core.SlotUnanswered}
	}
	return slot, "", nil
}

// askReply calls a router, without the network if it is this one. When no
// answer came, the slot may have been granted and is given back.
func (p *Peer) askReply(ctx context.Context, router string, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	if router == p.id.Router {
		return p.grant(ctx, r), ctx.Err()
	}
	m, ok := p.member(router)
	if !ok || m.Address == "" {
		return nil, status.Error(codes.Unavailable, "peer: the holder's address is not known")
	}
	if p.quiet.is(p.now(), router, quietTimes*p.s.CallTimeout) {
		return nil, status.Error(codes.Unavailable, "peer: the holder has just left a call without answer")
	}
	client, err := p.conns.client(m.Address)
	if err != nil {
		return nil, err
	}
	grace := answerGrace
	if r.GetWaitMs() == 0 {
		grace = p.s.CallTimeout / promptShare
	}
	call, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMs())*time.Millisecond+grace)
	defer cancel()
	r.Sums = p.ownSums(r.GetUpstream())
	reply, err := client.Acquire(call, r)
	if err == nil {
		p.observeSums(router, r.GetUpstream(), reply.GetSums())
	}
	if err != nil {
		if ctx.Err() == nil {
			p.quiet.set(p.now(), router)
		}
		p.log.Debug("no answer to a slot request", "holder", router, "upstream", r.GetUpstream(), "err", err)
		p.giveBack(router, core.Slot{Attempt: r.GetAttempt(), Upstream: r.GetUpstream(), Worker: firstOf(r.GetWorkers()), Until: p.now().Add(answerGrace)}, -1)
		return nil, err
	}
	return reply, nil
}

func firstOf(list []string) string {
	if len(list) == 0 {
		return ""
	}
	return list[0]
}

// grant answers a request as the holder.
func (p *Peer) grant(ctx context.Context, r *peerpb.AcquireRequest) *peerpb.AcquireReply {
	arrived := p.now()
	pl, epoch, hint := p.poolFor(r)
	if pl == nil {
		return &peerpb.AcquireReply{Reason: notHolder, Holder: hint, RetryAfterMs: noHolderRetry.Milliseconds()}
	}
	q := admission.Request{
		ID: r.GetAttempt(), Router: r.GetRouter(), Caller: r.GetCaller(), Weight: cmp.Or(max(0, r.GetWeight()), 1),
		Workspace: r.GetWorkspace(), Rank: r.GetRank(), CostTokens: max(0, r.GetCostTokens()),
		Workers: r.GetWorkers(), AnyWorker: r.GetAnyWorker(),
	}
	g, refusal := pl.acquire(ctx, q, time.Duration(r.GetWaitMs())*time.Millisecond)
	if refusal != nil {
		return &peerpb.AcquireReply{Reason: string(refusal.Reason), RetryAfterMs: refusal.RetryAfter.Milliseconds(), Epoch: epoch}
	}
	p.scope.Counter("grants").Inc(1)
	waited := g.UseBy.Add(-p.s.UseWithin).Sub(arrived)
	return &peerpb.AcquireReply{
		Granted: true, Worker: g.Worker, Epoch: epoch,
		WaitedMs:      max(0, waited.Milliseconds()),
		UseWithinMs:   p.s.UseWithin.Milliseconds(),
		MaxDurationMs: g.ExpiresAt.Sub(g.UseBy.Add(-p.s.UseWithin)).Milliseconds(),
	}
}

// poolFor returns the pool when this router holds one of the workers, else the
// name of the first one's holder if it is known.
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
		if hint == "" && record.Holder != p.id.Router {
			hint = record.Holder
		}
	}
	p.leaseMu.Unlock()
	if router, ok := p.holderOf(workerKey{r.GetUpstream(), firstOf(r.GetWorkers())}); ok && router != p.id.Router {
		hint = router
	}
	return nil, 0, hint
}
