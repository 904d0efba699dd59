package peer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
	"github.com/auburnlead/auburnlead/store"
)

// exchangeFanout is the number of domain peers that get the view each time.
const exchangeFanout = 2

// Members implements core.Membership.
func (p *Peer) Members() []core.Member {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	if p.view == nil {
		return nil
	}
	list := p.view.Members(p.now())
	out := make([]core.Member, 0, len(list))
	for _, m := range list {
		out = append(out, core.Member{Router: m.Router, FailureDomain: m.Domain, Address: m.Address, State: string(m.State), Revision: m.Revision, LastHeard: m.LastHeard})
	}
	return out
}

// pollList reads the platform's VM list.
func (p *Peer) pollList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
	defer cancel()
	list, err := p.table.List(ctx)
	if err != nil {
		p.log.Debug("VM list not read", "err", err)
		p.contactSeeds()
		return
	}
	vms := make([]membership.ListedVM, 0, len(list.VMs))
	for _, vm := range list.VMs {
		vms = append(vms, membership.ListedVM{Router: vm.ID, Domain: vm.FailureDomain, Address: vm.Address, Leaving: vm.State == store.VMLeaving})
	}
	p.viewMu.Lock()
	p.view.SetVMList(p.now(), vms)
	p.holders = nil
	first := p.listedAt.IsZero()
	p.listedAt = p.now()
	p.viewMu.Unlock()
	p.conns.prune(p.addressesInUse())
	if first {
		p.introduce()
	}
	p.contactSeeds()
}

// introduce contacts every domain peer once at the start, so that routers that
// start together know one another before they choose holders.
func (p *Peer) introduce() {
	p.viewMu.Lock()
	now := p.now()
	targets := p.view.DomainPeers(now)
	entries := p.view.Introduction(now)
	p.viewMu.Unlock()
	for _, t := range targets {
		p.send(t, entries)
	}
}

func (p *Peer) addressesInUse() map[string]bool {
	used := map[string]bool{}
	for _, seed := range p.s.Seeds {
		used[seed] = true
	}
	for _, m := range p.Members() {
		used[m.Address] = true
	}
	return used
}

// contactSeeds introduces this router to the seeds while no peer is known.
func (p *Peer) contactSeeds() {
	p.viewMu.Lock()
	now := p.now()
	alone := len(p.view.DomainPeers(now)) == 0
	entries := p.view.Introduction(now)
	p.viewMu.Unlock()
	if !alone {
		return
	}
	for _, seed := range p.s.Seeds {
		if seed != p.id.PeerAddress {
			p.send(membership.Target{Address: seed}, entries)
		}
	}
}

// exchange pushes the view to some domain peers.
func (p *Peer) exchange(context.Context) {
	pools := p.loads()
	p.viewMu.Lock()
	now := p.now()
	p.view.SetPools(now, pools)
	targets := p.view.Targets(now, exchangeFanout)
	messages := make([][]membership.Entry, len(targets))
	for i, t := range targets {
		messages[i] = p.messageFor(now, t)
	}
	p.viewMu.Unlock()
	for i, t := range targets {
		p.send(t, messages[i])
	}
}

// messageFor returns the entries for a peer: the own full entry when the peer
// has never been heard. The caller holds viewMu.
func (p *Peer) messageFor(now time.Time, t membership.Target) []membership.Entry {
	if m, ok := p.view.Member(now, t.Router); !ok || m.LastHeard.IsZero() {
		return p.view.Introduction(now)
	}
	return p.view.Push(now)
}

// exchangeRemote sends a summary to a router of another domain.
func (p *Peer) exchangeRemote(context.Context) {
	p.viewMu.Lock()
	now := p.now()
	t, ok := p.view.RemoteTarget(now)
	entries := p.view.Summary(now)
	p.viewMu.Unlock()
	if ok {
		p.send(t, entries)
	}
}

// send pushes entries to a router in the background and merges its answer.
func (p *Peer) send(t membership.Target, entries []membership.Entry) {
	p.submitTimed(func(ctx context.Context) { p.sendNow(ctx, t, entries) })
}

func (p *Peer) sendNow(ctx context.Context, t membership.Target, entries []membership.Entry) {
	client, err := p.conns.client(t.Address)
	if err != nil {
		return
	}
	message := fromEntries(p.id.Router, entries)
	p.scope.Counter("exchange_bytes").Inc(int64(proto.Size(message)))
	reply, err := client.Exchange(ctx, message)
	if err != nil {
		p.scope.Counter("exchange_failed").Inc(1)
		p.log.Debug("exchange failed", "peer", t.Router, "address", t.Address, "err", err)
		return
	}
	p.merge(reply)
}

// merge takes a peer's entries and passes on news of revisions.
func (p *Peer) merge(v *peerpb.View) {
	p.viewMu.Lock()
	announced := p.view.Merge(p.now(), v.GetFrom(), toEntries(v))
	p.holders = nil
	p.viewMu.Unlock()
	if p.links.RevisionSink == nil {
		return
	}
	for _, e := range announced {
		p.links.RevisionSink.RevisionAnnounced(e.Router, e.Revision, e.Manifest)
	}
}

// announce pushes a status to all domain peers at once.
func (p *Peer) announce(status func(now time.Time) []membership.Entry) []<-chan struct{} {
	p.viewMu.Lock()
	now := p.now()
	targets := p.view.DomainPeers(now)
	messages := make([][]membership.Entry, len(targets))
	for i := range targets {
		messages[i] = status(now)
	}
	p.viewMu.Unlock()
	var ends []<-chan struct{}
	for i, t := range targets {
		end := make(chan struct{})
		ends = append(ends, end)
		ok := p.bg.Submit(func(job context.Context) {
			defer close(end)
			job, cancel := context.WithTimeout(job, p.s.CallTimeout)
			defer cancel()
			p.sendNow(job, t, messages[i])
		})
		if !ok {
			close(end)
		}
	}
	return ends
}

// farewell tells all domain peers that this router leaves and waits until they
// were reached or the call timeout is over.
func (p *Peer) farewell(ctx context.Context) {
	p.viewMu.Lock()
	p.view.Leave(p.now())
	p.viewMu.Unlock()
	for _, end := range p.announce(p.view.LeaveNotice) {
		select {
		case <-end:
		case <-ctx.Done():
			return
		}
	}
}

// holderOf returns the router that the held lists name for a worker.
func (p *Peer) holderOf(k workerKey) (string, bool) {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	if p.holders == nil {
		p.holders = p.indexHolders()
	}
	router, ok := p.holders[k]
	return router, ok
}

// indexHolders reads the held lists of all routers that are not gone. When
// two lists name a worker, the router heard last counts; a wrong choice costs
// one redirected call. The caller holds viewMu.
func (p *Peer) indexHolders() map[workerKey]string {
	index := map[workerKey]string{}
	heard := map[workerKey]time.Time{}
	for _, m := range p.view.Members(p.now()) {
		if m.State == membership.Gone {
			continue
		}
		for _, pool := range m.Pools {
			for _, worker := range pool.HeldWorkers {
				k := workerKey{pool.Upstream, worker}
				if _, taken := index[k]; !taken || m.LastHeard.After(heard[k]) {
					index[k], heard[k] = m.Router, m.LastHeard
				}
			}
		}
	}
	return index
}

// member returns a router of the view.
func (p *Peer) member(router string) (membership.Member, bool) {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	return p.view.Member(p.now(), router)
}
