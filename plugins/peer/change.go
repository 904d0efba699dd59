package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/peerpb"
)

// handoverTries is how often a list of slots is sent to the new holder. When
// all fail, the new holder counts the slots itself.
const handoverTries = 5

// afterChange compares what the leases say with what the schedulers have: it
// takes on workers that this router has become holder of, gives up those that
// it no longer holds, and starts the count of slots where one is due.
func (p *Peer) afterChange() {
	now := p.now()
	gained := false
	p.leaseMu.Lock()
	for _, l := range p.leases {
		switch holds := l.lease.Holds(); {
		case holds && !l.held:
			p.gain(now, l)
			gained = true
		case !holds && l.held:
			p.lose(l)
		}
		if l.held && !l.counted && !l.counting && now.Sub(l.acquired) >= p.s.UseWithin {
			k, acquired := l.key, l.acquired
			l.counting = p.bg.Submit(func(ctx context.Context) { p.count(ctx, k, acquired) })
		}
	}
	p.leaseMu.Unlock()
	if gained {
		p.submit(func(ctx context.Context) { p.renew(ctx, true) })
	}
	p.advanceAll()
}

// gain takes a worker on. Its slots are not granted before they are counted,
// unless the row was created just now. The caller holds leaseMu.
func (p *Peer) gain(now time.Time, l *slotLease) {
	l.held, l.acquired, l.counted, l.counting = true, now, l.created, false
	record, _ := l.lease.Record()
	p.log.Info("holder of a worker", "upstream", l.key.upstream, "worker", l.key.worker, "epoch", record.Epoch, "successor", record.Successor)
	p.scope.Counter("leases_gained").Inc(1)
	p.updateHeld()
}

// lose gives a worker up and sends its slots to the new holder. Also after an
// unplanned take-over the list is complete: this router stopped granting
// before the new holder could exist. The caller holds leaseMu.
func (p *Peer) lose(l *slotLease) {
	record, _ := l.lease.Record()
	slots := p.drop(l)
	p.log.Info("no longer holder of a worker", "upstream", l.key.upstream, "worker", l.key.worker, "epoch", record.Epoch, "holder", record.Holder)
	p.scope.Counter("leases_lost").Inc(1)
	if record.Holder == "" || record.Holder == p.id.Router {
		return
	}
	k := l.key
	p.submit(func(ctx context.Context) { p.sendSlots(ctx, k, record, slots) })
}

// drop takes a worker out of its scheduler and returns its slots in use. The
// caller holds leaseMu.
func (p *Peer) drop(l *slotLease) []admission.Grant {
	l.held, l.created, l.counted, l.handTo, l.better = false, false, false, "", ""
	p.updateHeld()
	pl := p.pools[l.key.upstream]
	if pl == nil {
		return nil
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	slots := pl.s.HeldGrants(l.key.worker)
	pl.s.RemoveWorker(p.now(), l.key.worker)
	for i := range l.unknown {
		if l.unknownUntil.After(p.now()) {
			slots = append(slots, admission.Grant{RequestID: fmt.Sprintf("unknown/%s/%d", l.key.worker, i), ExpiresAt: l.unknownUntil})
		}
	}
	l.unknown = 0
	return slots
}

// updateHeld sets the gauge of held workers. The caller holds leaseMu.
func (p *Peer) updateHeld() {
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
	request := &peerpb.HandoverRequest{Upstream: k.upstream, Worker: k.worker, Epoch: record.Epoch, From: p.id.Router}
	for range handoverTries {
		m, ok := p.member(record.Holder)
		if !ok || m.Address == "" || ctx.Err() != nil {
			return
		}
		client, err := p.conns.client(m.Address)
		if err != nil {
			return
		}
		request.Slots = fromGrants(p.now(), slots)
		call, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
		reply, err := client.Handover(call, request)
		cancel()
		if err == nil && reply.GetAccepted() {
			p.log.Debug("slots handed over", "upstream", k.upstream, "worker", k.worker, "to", record.Holder, "slots", len(slots))
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(p.s.CallTimeout / 4):
		}
	}
}

func fromGrants(now time.Time, grants []admission.Grant) []*peerpb.Slot {
	var list []*peerpb.Slot
	for _, g := range grants {
		list = append(list, &peerpb.Slot{Attempt: g.RequestID, Router: g.Router, RemainingMs: g.ExpiresAt.Sub(now).Milliseconds()})
	}
	return list
}

// accept takes the slots of a worker from its old holder. The row is read
// first when it is not known that this router is the new holder.
func (p *Peer) accept(ctx context.Context, r *peerpb.HandoverRequest) bool {
	k := workerKey{r.GetUpstream(), r.GetWorker()}
	p.leaseMu.Lock()
	l := p.leases[k]
	behind := l != nil && l.lease.IsStale(r.GetEpoch())
	p.leaseMu.Unlock()
	if behind {
		p.readRows(ctx, []workerKey{k})
	}
	p.afterChange()
	if !p.occupy(k, r) {
		return false
	}
	p.renew(ctx, true)
	p.advanceAll()
	return true
}

// occupy books the slots of a hand-over and opens the worker. The list is
// accepted once, and only under the epoch in which this router became holder.
func (p *Peer) occupy(k workerKey, r *peerpb.HandoverRequest) bool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	l := p.leases[k]
	if l == nil || !l.held || l.counted {
		return false
	}
	if record, _ := l.lease.Record(); record.Epoch != r.GetEpoch() {
		return false
	}
	p.book(l, r.GetSlots())
	l.counted = true
	return true
}

// book occupies slots in the scheduler. The caller holds leaseMu.
func (p *Peer) book(l *slotLease, slots []*peerpb.Slot) {
	pl := p.pools[l.key.upstream]
	pl.mu.Lock()
	defer pl.mu.Unlock()
	now := p.now()
	pl.s.SetWorker(now, admission.Worker{ID: l.key.worker, MaxInFlight: p.maxInFlight(l)})
	for _, s := range slots {
		until := now.Add(time.Duration(s.GetRemainingMs()) * time.Millisecond)
		pl.s.RestoreGrant(now, admission.Grant{RequestID: s.GetAttempt(), Router: s.GetRouter(), Worker: l.key.worker, UseBy: until, ExpiresAt: until})
	}
}

// handOverAll passes all leases on when the router stops, and waits until the
// rows are written or ctx or a few call timeouts are over. A lease that could
// not be passed on is taken over by its successor.
func (p *Peer) handOverAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 3*p.s.CallTimeout)
	defer cancel()
	tick := time.NewTicker(p.turnInterval())
	defer tick.Stop()
	for p.holdsAny() {
		p.kick()
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
