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

// renew asks each successor to renew its promise not to take over the leases of
// this router, with one message per successor. With lapsedOnly, it renews only
// the leases under which no grants are allowed at present.
func (p *Peer) renew(_ context.Context, lapsedOnly bool) {
	now := p.now()
	batches := map[string][]renewal{}
	p.leaseMu.Lock()
	for k, l := range p.leases {
		if lapsedOnly && l.lease.MayGrant(now) {
			continue
		}
		if r, ok := l.lease.Renewal(now); ok {
			batches[r.Successor] = append(batches[r.Successor], renewal{k, r})
		}
	}
	p.leaseMu.Unlock()
	for successor, batch := range batches {
		p.submitTimed(func(ctx context.Context) { p.sendRenewals(ctx, successor, batch) })
	}
}

func (p *Peer) sendRenewals(ctx context.Context, successor string, batch []renewal) {
	m, ok := p.member(successor)
	if !ok || m.Address == "" {
		return
	}
	client, err := p.conns.client(m.Address)
	if err != nil {
		return
	}
	request := &peerpb.RenewRequest{Holder: p.identity.Router, Incarnation: p.identity.Incarnation}
	for _, r := range batch {
		request.Items = append(request.Items, &peerpb.RenewItem{Upstream: r.key.upstream, Worker: r.key.worker, Epoch: r.renewal.Epoch})
	}
	reply, err := client.Renew(ctx, request)
	if err != nil || len(reply.GetPromised()) != len(batch) {
		p.scope.Counter("renew_failed").Inc(1)
		return
	}
	p.recordContact(successor)
	p.leaseMu.Lock()
	for i, r := range batch {
		if l := p.leases[r.key]; l != nil {
			l.lease.HandleRenewReply(r.renewal, reply.Promised[i])
		}
	}
	p.leaseMu.Unlock()
	p.serveQueues()
}

// recordContact records direct contact with a router.
func (p *Peer) recordContact(router string) {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	p.view.RecordContact(p.now(), router)
}

// handleRenewals returns this router's promises for a holder's renewals. If its
// copies of some rows are stale, it reads these rows again and then repeats the
// refused promises.
func (p *Peer) handleRenewals(ctx context.Context, r *peerpb.RenewRequest) []bool {
	promised := make([]bool, len(r.GetItems()))
	p.recordContact(r.GetHolder())
	stale := p.promiseAll(p.now(), r, promised)
	if len(stale) > 0 && p.readRows(ctx, stale) {
		p.promiseAll(p.now(), r, promised)
	}
	return promised
}

// promiseAll makes the promises that are possible now, and returns the leases
// whose rows have to be read again before a promise.
func (p *Peer) promiseAll(now time.Time, r *peerpb.RenewRequest, promised []bool) (stale []workerKey) {
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
			stale = append(stale, k)
		}
	}
	return stale
}
