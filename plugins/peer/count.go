package peer

import (
	"context"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
)

// recount is how long slots that only a load report shows are counted before
// the report is read again.
const recount = 3 * time.Second

// count finds the slots in use on a worker after a take-over without hand-over
// (rule 6) and opens the worker. It asks the domain's routers for the slots
// they use, which gives their names. What a worker that reports its load runs
// beyond that is counted until the next report. For a worker that reports no
// load the rest of the limit counts as used while a router does not answer.
func (p *Peer) count(ctx context.Context, k workerKey, acquired time.Time) {
	slots, complete := p.askHeld(ctx, k)
	running, reported := p.probe(ctx, k)
	now := p.now()
	p.leaseMu.Lock()
	l := p.leases[k]
	if l == nil || !l.held || l.counted || l.acquired != acquired {
		p.leaseMu.Unlock()
		return
	}
	p.book(l, slots)
	unknown, until := 0, now
	switch {
	case reported:
		unknown, until = running-len(slots), now.Add(recount)
	case !complete:
		unknown, until = p.maxInFlight(l)-len(slots), l.acquired.Add(p.longest())
	}
	if unknown > 0 {
		pl := p.pools[k.upstream]
		pl.mu.Lock()
		pl.s.AddUnknownSlots(now, k.worker, unknown, until)
		pl.mu.Unlock()
	}
	l.unknown, l.unknownUntil = max(0, unknown), until
	l.counted = true
	again := reported && unknown > 0
	p.leaseMu.Unlock()
	p.log.Info("slots in use counted", "upstream", k.upstream, "worker", k.worker, "known", len(slots), "unknown", max(0, unknown))
	p.advanceAll()
	if again {
		p.recountLater(k, acquired)
	}
}

// recountLater reads the load report again while it shows more than is known.
func (p *Peer) recountLater(k workerKey, acquired time.Time) {
	time.AfterFunc(recount, func() {
		p.submitTimed(func(ctx context.Context) {
			running, reported := p.probe(ctx, k)
			if p.recounted(k, acquired, running, reported) {
				p.recountLater(k, acquired)
			}
		})
	})
}

// recounted books what the report shows beyond the known slots and reports
// whether to look again. Requests end by themselves within the longest
// duration, after which nothing unknown can be left.
func (p *Peer) recounted(k workerKey, acquired time.Time, running int, reported bool) bool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	l := p.leases[k]
	now := p.now()
	if l == nil || !l.held || l.acquired != acquired || now.Sub(acquired) > p.longest() {
		return false
	}
	pl := p.pools[k.upstream]
	pl.mu.Lock()
	defer pl.mu.Unlock()
	unknown := running - len(pl.s.HeldGrants(k.worker))
	if !reported {
		unknown = p.maxInFlight(l) - len(pl.s.HeldGrants(k.worker))
	}
	pl.s.AddUnknownSlots(now, k.worker, unknown, now.Add(recount))
	l.unknown, l.unknownUntil = max(0, unknown), now.Add(recount)
	return unknown > 0
}

// longest is the longest duration of any rank. The caller holds leaseMu.
func (p *Peer) longest() time.Duration {
	longest := time.Duration(0)
	for _, r := range p.set.Set.Ranks {
		longest = max(longest, r.MaxDuration)
	}
	return longest
}

// probe reads the worker's load report.
func (p *Peer) probe(ctx context.Context, k workerKey) (running int, ok bool) {
	p.leaseMu.Lock()
	u := p.upstream(k.upstream)
	p.leaseMu.Unlock()
	if u == nil || !u.ReportsLoad || p.links.Probe == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
	defer cancel()
	report, err := p.links.Probe.Load(ctx, k.upstream, k.worker)
	if err != nil {
		return 0, false
	}
	p.WorkerLoad(k.upstream, k.worker, report)
	return report.Running + report.Queued, true
}

// askHeld asks all routers of the domain for the slots of a worker that they
// use. complete says that every one that may use slots has answered. A router
// that is gone has either ended or cannot be told from one that still runs, so
// it counts as not answering until the platform's list drops it.
func (p *Peer) askHeld(ctx context.Context, k workerKey) (slots []*peerpb.Slot, complete bool) {
	complete = true
	var mu sync.Mutex // leaf lock of this call
	var wg sync.WaitGroup
	for _, m := range p.domainMembers() {
		if m.State == membership.Gone && !m.Listed {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			held, err := p.heldBy(ctx, m, k)
			mu.Lock()
			defer mu.Unlock()
			slots = append(slots, held...)
			complete = complete && err == nil
		}()
	}
	wg.Wait()
	return append(slots, p.heldHere(k)...), complete
}

func (p *Peer) heldBy(ctx context.Context, m membership.Member, k workerKey) ([]*peerpb.Slot, error) {
	client, err := p.conns.client(m.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
	defer cancel()
	reply, err := client.HeldSlots(ctx, &peerpb.HeldSlotsRequest{Upstream: k.upstream, Worker: k.worker})
	if err != nil {
		return nil, err
	}
	for _, s := range reply.GetSlots() {
		s.Router = m.Router
	}
	return reply.GetSlots(), nil
}

// domainMembers are the other routers of the own domain with an address.
func (p *Peer) domainMembers() []membership.Member {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	var list []membership.Member
	for _, m := range p.view.Members(p.now()) {
		if m.Router != p.id.Router && m.Domain == p.id.FailureDomain && m.Address != "" {
			list = append(list, m)
		}
	}
	return list
}

// heldHere lists the slots of a worker that this router uses.
func (p *Peer) heldHere(k workerKey) []*peerpb.Slot {
	now := p.now()
	slots := fromGrants(now, p.using.on(now, k))
	if p.links.Attempts == nil {
		return slots
	}
	known := map[string]bool{}
	for _, s := range slots {
		known[s.Attempt] = true
	}
	for _, s := range p.links.Attempts.HeldSlots(k.upstream, k.worker) {
		if !known[s.Attempt] {
			slots = append(slots, fromGrants(now, []admission.Grant{{RequestID: s.Attempt, Router: p.id.Router, ExpiresAt: s.Until}})...)
		}
	}
	return slots
}
