package peer

import (
	"context"
	"time"

	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/peerpb"
)

// renewal is one lease to renew in a batch.
type renewal struct {
	key     workerKey
	renewal lease.Renewal
}

// renew asks each successor to promise for all leases that it backs, in one
// message for each. With pressing, only leases without the right to grant are
// renewed.
func (p *Peer) renew(_ context.Context, pressing bool) {
	now := p.now()
	batches := map[string][]renewal{}
	p.leaseMu.Lock()
	for k, l := range p.leases {
		if pressing && l.lease.MayGrant(now) {
			continue
		}
		if r, ok := l.lease.Renewal(now); ok {
			batches[r.Successor] = append(batches[r.Successor], renewal{k, r})
		}
	}
	p.leaseMu.Unlock()
	for successor, batch := range batches {
		p.submitTimed(func(ctx context.Context) { p.renewWith(ctx, successor, batch) })
	}
}

func (p *Peer) renewWith(ctx context.Context, successor string, batch []renewal) {
	m, ok := p.member(successor)
	if !ok || m.Address == "" {
		return
	}
	client, err := p.conns.client(m.Address)
	if err != nil {
		return
	}
	request := &peerpb.RenewRequest{Holder: p.id.Router, Incarnation: p.id.Incarnation}
	for _, r := range batch {
		request.Items = append(request.Items, &peerpb.RenewItem{Upstream: r.key.upstream, Worker: r.key.worker, Epoch: r.renewal.Epoch})
	}
	reply, err := client.Renew(ctx, request)
	if err != nil || len(reply.GetPromised()) != len(batch) {
		p.scope.Counter("renew_failed").Inc(1)
		return
	}
	p.heard(successor)
	p.leaseMu.Lock()
	for i, r := range batch {
		if l := p.leases[r.key]; l != nil {
			l.lease.HandleRenewReply(r.renewal, reply.Promised[i])
		}
	}
	p.leaseMu.Unlock()
	p.advanceAll()
}

// heard records direct contact with a router.
func (p *Peer) heard(router string) {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	p.view.RecordContact(p.now(), router)
}

// promise answers a holder's renewals. Rows that have changed since they were
// read are read again first.
func (p *Peer) promise(ctx context.Context, r *peerpb.RenewRequest) []bool {
	promised := make([]bool, len(r.GetItems()))
	p.heard(r.GetHolder())
	behind := p.promiseKnown(p.now(), r, promised)
	if len(behind) > 0 && p.readRows(ctx, behind) {
		p.promiseKnown(p.now(), r, promised)
	}
	return promised
}

func (p *Peer) promiseKnown(now time.Time, r *peerpb.RenewRequest, promised []bool) (behind []workerKey) {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	for i, item := range r.GetItems() {
		k := workerKey{item.GetUpstream(), item.GetWorker()}
		l := p.leases[k]
		if l == nil || promised[i] {
			continue
		}
		promised[i] = !p.leaving.Load() && l.lease.Promise(now, r.GetHolder(), r.GetIncarnation(), item.GetEpoch())
		if !promised[i] && l.lease.IsStale(item.GetEpoch()) {
			behind = append(behind, k)
		}
	}
	return behind
}
