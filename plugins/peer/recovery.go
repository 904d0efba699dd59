package peer

import (
	"context"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
)

// recoverInterval is the time after which the load report of a worker with
// unaccounted slots is read again. These slots are in use by requests that only
// the load report shows, and count as in use until then.
const recoverInterval = 3 * time.Second

// recoverSlots finds the slots in use on a worker after a takeover without a
// handover, and then opens the worker. It asks the routers of the failure
// domain for the slots that they use, with the attempts that use them. Requests
// that the worker reports beyond these occupy slots until its next load report.
// If the worker reports no load and a router does not reply, the rest of the
// worker's limit counts as in use.
func (p *Peer) recoverSlots(ctx context.Context, k workerKey, acquiredAt time.Time) {
	slots, complete := p.collectSlots(ctx, k)
	running, reported := p.readLoadReport(ctx, k)
	now := p.now()
	p.leaseMu.Lock()
	l := p.leases[k]
	if l == nil || !l.held || l.slotsKnown || l.acquiredAt != acquiredAt {
		p.leaseMu.Unlock()
		return
	}
	p.restoreGrants(l, slots)
	unaccounted, until := 0, now
	switch {
	case reported:
		unaccounted, until = running-len(slots), now.Add(recoverInterval)
	case !complete:
		unaccounted, until = p.maxInFlight(l)-len(slots), l.acquiredAt.Add(p.maxRankDuration())
	}
	if unaccounted > 0 {
		pl := p.pools[k.upstream]
		pl.mu.Lock()
		pl.scheduler.AddUnaccountedSlots(now, k.worker, unaccounted, until)
		pl.mu.Unlock()
	}
	l.unaccounted, l.unaccountedUntil = max(0, unaccounted), until
	l.slotsKnown = true
	again := reported && unaccounted > 0
	p.leaseMu.Unlock()
	p.log.Info("slots in use recovered", "upstream", k.upstream, "worker", k.worker, "known", len(slots), "unknown", max(0, unaccounted))
	p.serveQueues()
	if again {
		p.scheduleRecovery(k, acquiredAt)
	}
}

// scheduleRecovery schedules another read of the load report after
// recoverInterval, and repeats it while the report shows more requests than are
// known.
func (p *Peer) scheduleRecovery(k workerKey, acquiredAt time.Time) {
	time.AfterFunc(recoverInterval, func() {
		p.submitTimed(func(ctx context.Context) {
			running, reported := p.readLoadReport(ctx, k)
			if p.updateUnaccounted(k, acquiredAt, running, reported) {
				p.scheduleRecovery(k, acquiredAt)
			}
		})
	})
}

// updateUnaccounted marks the slots as in use that the report shows beyond the
// known ones, or the rest of the worker's limit if there is no report. It reports
// whether to read the report again. After the longest duration of any rank it
// returns false, because every request from before the takeover has ended by
// then.
func (p *Peer) updateUnaccounted(k workerKey, acquiredAt time.Time, running int, reported bool) bool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	l := p.leases[k]
	now := p.now()
	if l == nil || !l.held || l.acquiredAt != acquiredAt || now.Sub(acquiredAt) > p.maxRankDuration() {
		return false
	}
	pl := p.pools[k.upstream]
	pl.mu.Lock()
	defer pl.mu.Unlock()
	unaccounted := running - len(pl.scheduler.HeldGrants(k.worker))
	if !reported {
		unaccounted = p.maxInFlight(l) - len(pl.scheduler.HeldGrants(k.worker))
	}
	pl.scheduler.AddUnaccountedSlots(now, k.worker, unaccounted, now.Add(recoverInterval))
	l.unaccounted, l.unaccountedUntil = max(0, unaccounted), now.Add(recoverInterval)
	return unaccounted > 0
}

// maxRankDuration returns the longest duration of any rank. The caller holds
// leaseMu.
func (p *Peer) maxRankDuration() time.Duration {
	longest := time.Duration(0)
	for _, r := range p.revision.Set.Ranks {
		longest = max(longest, r.MaxDuration)
	}
	return longest
}

// readLoadReport reads the worker's load report.
func (p *Peer) readLoadReport(ctx context.Context, k workerKey) (running int, ok bool) {
	p.leaseMu.Lock()
	u := p.upstream(k.upstream)
	p.leaseMu.Unlock()
	if u == nil || !u.ReportsLoad || p.deps.Probe == nil {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
	defer cancel()
	report, err := p.deps.Probe.Load(ctx, k.upstream, k.worker)
	if err != nil {
		return 0, false
	}
	p.WorkerLoad(k.upstream, k.worker, report)
	return report.Running + report.Queued, true
}

// collectSlots asks all routers of the failure domain for the slots of a worker
// that they use. complete reports whether every router that may use slots has
// replied. A router in state gone may have stopped or may still be running, and
// the two cannot be told apart. Its reply is therefore required until the
// platform's VM list no longer names it.
func (p *Peer) collectSlots(ctx context.Context, k workerKey) (slots []*peerpb.Slot, complete bool) {
	complete = true
	var mu sync.Mutex // leaf lock of this call
	var wg sync.WaitGroup
	for _, m := range p.domainPeers() {
		if m.State == membership.Gone && !m.Listed {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			held, err := p.fetchSlots(ctx, m, k)
			mu.Lock()
			defer mu.Unlock()
			slots = append(slots, held...)
			complete = complete && err == nil
		}()
	}
	wg.Wait()
	return append(slots, p.localSlots(k)...), complete
}

func (p *Peer) fetchSlots(ctx context.Context, m membership.Member, k workerKey) ([]*peerpb.Slot, error) {
	client, err := p.conns.client(m.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
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

// domainPeers returns the other routers of this failure domain that have an
// address.
func (p *Peer) domainPeers() []membership.Member {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	var list []membership.Member
	for _, m := range p.view.Members(p.now()) {
		if m.Router != p.identity.Router && m.Domain == p.identity.FailureDomain && m.Address != "" {
			list = append(list, m)
		}
	}
	return list
}

// localSlots returns the slots of a worker that this router uses.
func (p *Peer) localSlots(k workerKey) []*peerpb.Slot {
	now := p.now()
	slots := slotsFromGrants(now, p.usedSlots.onWorker(now, k))
	if p.deps.Attempts == nil {
		return slots
	}
	known := map[string]bool{}
	for _, s := range slots {
		known[s.Attempt] = true
	}
	for _, s := range p.deps.Attempts.HeldSlots(k.upstream, k.worker) {
		if !known[s.Attempt] {
			slots = append(slots, slotsFromGrants(now, []admission.Grant{{RequestID: s.Attempt, Router: p.identity.Router, ExpiresAt: s.ExpiresAt}})...)
		}
	}
	return slots
}
