package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/peerpb"
)

// handoverAttempts is the maximum number of times that a list of slots is sent to
// the new holder. If all attempts fail, the new holder recovers the slots in use
// itself.
const handoverAttempts = 5

// applyLeaseChanges brings the schedulers in line with the leases: it adds
// workers that this router has become holder of, gives up those that it no
// longer holds, and starts the recovery of slots in use where one is due.
func (p *Peer) applyLeaseChanges() {
	now := p.now()
	gained := false
	p.leaseMu.Lock()
	for _, l := range p.leases {
		switch holds := l.lease.Holds(); {
		case holds && !l.held:
			p.addWorker(now, l)
			gained = true
		case !holds && l.held:
			p.giveUpWorker(l)
		}
		if l.held && !l.slotsKnown && !l.recovering && now.Sub(l.acquiredAt) >= p.settings.UseWithin {
			k, acquired := l.key, l.acquiredAt
			l.recovering = p.background.Submit(func(ctx context.Context) { p.recoverSlots(ctx, k, acquired) })
		}
	}
	p.leaseMu.Unlock()
	if gained {
		p.submit(func(ctx context.Context) { p.renew(ctx, true) })
	}
	p.serveQueues()
}

// addWorker adds a worker that this router has become holder of. Its slots are
// granted only after the slots in use are known. If this router has just created
// the row, none can be in use. The caller holds leaseMu.
func (p *Peer) addWorker(now time.Time, l *slotLease) {
	l.held, l.acquiredAt, l.slotsKnown, l.recovering = true, now, l.created, false
	record, _ := l.lease.Record()
	p.log.Info("became holder of a worker", "upstream", l.key.upstream, "worker", l.key.worker, "epoch", record.Epoch, "successor", record.Successor)
	p.scope.Counter("leases_gained").Inc(1)
	p.updateHeldGauge()
}

// giveUpWorker removes a worker that this router no longer holds, and sends the
// list of its slots in use to the new holder. The list is complete after an
// unplanned takeover too, because this router stopped granting before there
// could be a new holder. The caller holds leaseMu.
func (p *Peer) giveUpWorker(l *slotLease) {
	record, _ := l.lease.Record()
	slots := p.removeWorker(l)
	p.log.Info("no longer holder of a worker", "upstream", l.key.upstream, "worker", l.key.worker, "epoch", record.Epoch, "holder", record.Holder)
	p.scope.Counter("leases_lost").Inc(1)
	if record.Holder == "" || record.Holder == p.identity.Router {
		return
	}
	k := l.key
	p.submit(func(ctx context.Context) { p.sendSlots(ctx, k, record, slots) })
}

// removeWorker removes a worker from its scheduler and returns its slots in
// use. The caller holds leaseMu.
func (p *Peer) removeWorker(l *slotLease) []admission.Grant {
	l.held, l.created, l.slotsKnown, l.handoverTarget, l.betterHolder = false, false, false, "", ""
	p.updateHeldGauge()
	pl := p.pools[l.key.upstream]
	if pl == nil {
		return nil
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	slots := pl.scheduler.HeldGrants(l.key.worker)
	pl.scheduler.RemoveWorker(p.now(), l.key.worker)
	for i := range l.unaccounted {
		if l.unaccountedUntil.After(p.now()) {
			slots = append(slots, admission.Grant{RequestID: fmt.Sprintf("unknown/%s/%d", l.key.worker, i), ExpiresAt: l.unaccountedUntil})
		}
	}
	l.unaccounted = 0
	return slots
}

// updateHeldGauge sets the gauge of held workers. The caller holds leaseMu.
func (p *Peer) updateHeldGauge() {
	n := 0
	for _, l := range p.leases {
		if l.held {
			n++
		}
	}
	p.scope.Gauge("leases_held").Update(float64(n))
}

// sendSlots sends the slots in use on a worker to its new holder.
func (p *Peer) sendSlots(ctx context.Context, k workerKey, record lease.Record, slots []admission.Grant) {
	request := &peerpb.HandoverRequest{Upstream: k.upstream, Worker: k.worker, Epoch: record.Epoch, From: p.identity.Router}
	for range handoverAttempts {
		m, ok := p.member(record.Holder)
		if !ok || m.Address == "" || ctx.Err() != nil {
			return
		}
		client, err := p.conns.client(m.Address)
		if err != nil {
			return
		}
		request.Slots = slotsFromGrants(p.now(), slots)
		call, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
		reply, err := client.Handover(call, request)
		cancel()
		if err == nil && reply.GetAccepted() {
			p.log.Debug("slots handed over", "upstream", k.upstream, "worker", k.worker, "to", record.Holder, "slots", len(slots))
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.settings.CallTimeout / 4):
		}
	}
}

func slotsFromGrants(now time.Time, grants []admission.Grant) []*peerpb.Slot {
	var list []*peerpb.Slot
	for _, g := range grants {
		list = append(list, &peerpb.Slot{Attempt: g.RequestID, Router: g.Router, RemainingMs: g.ExpiresAt.Sub(now).Milliseconds()})
	}
	return list
}

// acceptHandover accepts the list of slots in use on a worker from its previous
// holder. It reads the row first if this router does not yet know that it is
// the new holder.
func (p *Peer) acceptHandover(ctx context.Context, r *peerpb.HandoverRequest) bool {
	k := workerKey{r.GetUpstream(), r.GetWorker()}
	p.leaseMu.Lock()
	l := p.leases[k]
	stale := l != nil && l.lease.IsStale(r.GetEpoch())
	p.leaseMu.Unlock()
	if stale {
		p.readRows(ctx, []workerKey{k})
	}
	p.applyLeaseChanges()
	if !p.applyHandover(k, r) {
		return false
	}
	p.renew(ctx, true)
	p.serveQueues()
	return true
}

// applyHandover restores the slots of a handover and opens the worker. The list
// is accepted once, and only under the epoch in which this router became
// holder.
func (p *Peer) applyHandover(k workerKey, r *peerpb.HandoverRequest) bool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	l := p.leases[k]
	if l == nil || !l.held || l.slotsKnown {
		return false
	}
	if record, _ := l.lease.Record(); record.Epoch != r.GetEpoch() {
		return false
	}
	p.restoreGrants(l, r.GetSlots())
	l.slotsKnown = true
	return true
}

// restoreGrants marks slots as in use in the scheduler. The caller holds
// leaseMu.
func (p *Peer) restoreGrants(l *slotLease, slots []*peerpb.Slot) {
	pl := p.pools[l.key.upstream]
	pl.mu.Lock()
	defer pl.mu.Unlock()
	now := p.now()
	pl.scheduler.SetWorker(now, admission.Worker{ID: l.key.worker, MaxInFlight: p.maxInFlight(l)})
	for _, s := range slots {
		until := now.Add(time.Duration(s.GetRemainingMs()) * time.Millisecond)
		pl.scheduler.RestoreGrant(now, admission.Grant{RequestID: s.GetAttempt(), Router: s.GetRouter(), Worker: l.key.worker, UseBy: until, ExpiresAt: until})
	}
}

// handOverAll hands over all leases when the router stops. It waits until the
// rows are written, ctx ends, or three call timeouts have passed. A lease that
// could not be handed over is taken over by its successor.
func (p *Peer) handOverAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 3*p.settings.CallTimeout)
	defer cancel()
	tick := time.NewTicker(p.roundInterval())
	defer tick.Stop()
	for p.holdsAny() {
		p.wakeLoop()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (p *Peer) holdsAny() bool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	for _, l := range p.leases {
		if l.held {
			return true
		}
	}
	return false
}
