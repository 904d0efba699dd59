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

// exchangeFanout is the number of peers in the failure domain that receive the
// view in each exchange.
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

// pollVMList reads the platform's VM list.
func (p *Peer) pollVMList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
	defer cancel()
	list, err := p.table.List(ctx)
	if err != nil {
		p.log.Debug("cannot read the VM list", "err", err)
		p.contactSeeds()
		return
	}
	vms := make([]membership.ListedVM, 0, len(list.VMs))
	for _, vm := range list.VMs {
		vms = append(vms, membership.ListedVM{Router: vm.ID, Domain: vm.FailureDomain, Address: vm.Address, Leaving: vm.State == store.VMLeaving})
	}
	p.viewMu.Lock()
	p.view.SetVMList(p.now(), vms)
	p.holderIndex = nil
	first := p.vmListReadAt.IsZero()
	p.vmListReadAt = p.now()
	p.viewMu.Unlock()
	p.conns.prune(p.addressesInUse())
	if first {
		p.introduce()
	}
	p.contactSeeds()
}

// introduce contacts every peer in the failure domain once at the start, so
// that routers that start together know each other before they choose holders.
func (p *Peer) introduce() {
	p.viewMu.Lock()
	now := p.now()
	targets := p.view.DomainPeers(now)
	entries := p.view.Introduction(now)
	p.viewMu.Unlock()
	for _, t := range targets {
		p.sendAsync(t, entries)
	}
}

func (p *Peer) addressesInUse() map[string]bool {
	used := map[string]bool{}
	for _, seed := range p.settings.Seeds {
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
	noPeers := len(p.view.DomainPeers(now)) == 0
	entries := p.view.Introduction(now)
	p.viewMu.Unlock()
	if !noPeers {
		return
	}
	for _, seed := range p.settings.Seeds {
		if seed != p.identity.PeerAddress {
			p.sendAsync(membership.Target{Address: seed}, entries)
		}
	}
}

// exchange pushes the view to some peers in the failure domain.
func (p *Peer) exchange(context.Context) {
	pools := p.poolLoads()
	p.viewMu.Lock()
	now := p.now()
	p.view.SetPools(now, pools)
	targets := p.view.Targets(now, exchangeFanout)
	messages := make([][]membership.Entry, len(targets))
	for i, t := range targets {
		messages[i] = p.exchangeMessage(now, t)
	}
	p.viewMu.Unlock()
	for i, t := range targets {
		p.sendAsync(t, messages[i])
	}
}

// exchangeMessage returns the entries to send to a peer: this router's own full
// entry if nothing was ever received from the peer, otherwise a regular push.
// The caller holds viewMu.
func (p *Peer) exchangeMessage(now time.Time, t membership.Target) []membership.Entry {
	if m, ok := p.view.Member(now, t.Router); !ok || m.LastHeard.IsZero() {
		return p.view.Introduction(now)
	}
	return p.view.Push(now)
}

// exchangeRemote sends a summary to a router of another failure domain.
func (p *Peer) exchangeRemote(context.Context) {
	p.viewMu.Lock()
	now := p.now()
	t, ok := p.view.RemoteTarget(now)
	entries := p.view.Summary(now)
	p.viewMu.Unlock()
	if ok {
		p.sendAsync(t, entries)
	}
}

// sendAsync pushes entries to a router in the background and merges its reply.
func (p *Peer) sendAsync(t membership.Target, entries []membership.Entry) {
	p.submitTimed(func(ctx context.Context) { p.sendView(ctx, t, entries) })
}

func (p *Peer) sendView(ctx context.Context, t membership.Target, entries []membership.Entry) {
	client, err := p.conns.client(t.Address)
	if err != nil {
		return
	}
	message := fromEntries(p.identity.Router, entries)
	p.scope.Counter("exchange_bytes").Inc(int64(proto.Size(message)))
	reply, err := client.Exchange(ctx, message)
	if err != nil {
		p.scope.Counter("exchange_failed").Inc(1)
		p.log.Debug("exchange of membership views failed", "peer", t.Router, "address", t.Address, "err", err)
		return
	}
	p.mergeView(reply)
}

// mergeView merges a peer's entries and reports newly announced revisions.
func (p *Peer) mergeView(v *peerpb.View) {
	p.viewMu.Lock()
	announced := p.view.Merge(p.now(), v.GetFrom(), toEntries(v))
	p.holderIndex = nil
	p.viewMu.Unlock()
	if p.deps.RevisionSink == nil {
		return
	}
	for _, e := range announced {
		p.deps.RevisionSink.RevisionAnnounced(e.Router, e.Revision, e.Manifest)
	}
}

// broadcast pushes a status to all peers in the failure domain at once. Each
// returned channel is closed when one push has ended.
func (p *Peer) broadcast(status func(now time.Time) []membership.Entry) []<-chan struct{} {
	p.viewMu.Lock()
	now := p.now()
	targets := p.view.DomainPeers(now)
	messages := make([][]membership.Entry, len(targets))
	for i := range targets {
		messages[i] = status(now)
	}
	p.viewMu.Unlock()
	var done []<-chan struct{}
	for i, t := range targets {
		end := make(chan struct{})
		done = append(done, end)
		ok := p.background.Submit(func(ctx context.Context) {
			defer close(end)
			ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
			defer cancel()
			p.sendView(ctx, t, messages[i])
		})
		if !ok {
			close(end)
		}
	}
	return done
}

// announceLeaving tells all peers in the failure domain that this router is
// leaving. It waits until all of these calls have ended, each within the call
// timeout, or until ctx ends.
func (p *Peer) announceLeaving(ctx context.Context) {
	p.viewMu.Lock()
	p.view.Leave(p.now())
	p.viewMu.Unlock()
	for _, end := range p.broadcast(p.view.LeaveNotice) {
		select {
		case <-end:
		case <-ctx.Done():
			return
		}
	}
}

// advertisedHolder returns the router that advertises itself in the view as the
// holder of a worker.
func (p *Peer) advertisedHolder(k workerKey) (string, bool) {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	if p.holderIndex == nil {
		p.holderIndex = p.indexHolders()
	}
	router, ok := p.holderIndex[k]
	return router, ok
}

// indexHolders indexes the advertised workers of all routers that are not gone.
// If two routers advertise a worker, the one heard from last wins. A wrong
// choice costs one redirected call. The caller holds viewMu.
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
