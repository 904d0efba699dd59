package peer

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
	"github.com/auburnlead/auburnlead/store"
)

// maxFetchPeers limits the number of peers asked for one object.
const maxFetchPeers = 3

// stateGone is the attempt state returned for a router that no longer exists.
const stateGone = "gone"

// FetchObject implements core.ObjectFetcher. Routers with the newest revision
// are asked first, and among these the routers of this failure domain.
func (p *Peer) FetchObject(ctx context.Context, digest string) ([]byte, error) {
	for _, m := range p.fetchOrder() {
		client, err := p.conns.client(m.Address)
		if err != nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
		reply, err := client.FetchObject(call, &peerpb.FetchObjectRequest{Digest: digest})
		cancel()
		if err == nil && reply.GetFound() {
			return reply.GetBody(), nil
		}
	}
	return nil, &store.NotFoundError{Name: digest}
}

func (p *Peer) fetchOrder() []membership.Member {
	p.viewMu.Lock()
	if p.view == nil {
		p.viewMu.Unlock()
		return nil
	}
	list := p.view.Members(p.now())
	p.viewMu.Unlock()
	list = slices.DeleteFunc(list, func(m membership.Member) bool {
		return m.Router == p.identity.Router || m.Address == "" || m.State == membership.Gone
	})
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	domainOrder := func(m membership.Member) int {
		if m.Domain == p.identity.FailureDomain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(domainOrder(a), domainOrder(b)))
	})
	return list[:min(len(list), maxFetchPeers)]
}

// peerAttempts implements core.PeerAttemptClient. It is a separate type because
// its method has the same name as one of the gRPC service.
type peerAttempts struct{ p *Peer }

// AttemptState asks the router that made an attempt for its state. A router
// counts as gone if the VM list does not name it and it has not been heard from
// for GoneAfter.
func (a peerAttempts) AttemptState(ctx context.Context, router, attempt string) (string, error) {
	p := a.p
	if router == p.identity.Router {
		if p.deps.Attempts == nil {
			return "not_known", nil
		}
		return p.deps.Attempts.AttemptState(attempt), nil
	}
	m, ok := p.member(router)
	if !ok && p.now().Sub(p.started) < p.settings.GoneAfter {
		return "", fmt.Errorf("peer: router %s is not known yet; ask again later", router)
	}
	if !ok || m.State == membership.Gone && !m.Listed {
		return stateGone, nil
	}
	client, err := p.conns.client(m.Address)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
	defer cancel()
	reply, err := client.AttemptState(ctx, &peerpb.AttemptStateRequest{Attempt: attempt})
	if err != nil {
		return "", fmt.Errorf("peer: cannot get the state of an attempt from router %s: %w; ask again later", router, err)
	}
	return reply.GetState(), nil
}

// WorkerLoad implements core.WorkerHealthSink.
func (p *Peer) WorkerLoad(upstream, worker string, report core.LoadReport) {
	p.updateHealth(workerKey{upstream, worker}, func(l *slotLease) bool {
		changed := l.leaving != report.Leaving || l.reportedLimit != report.Limit || l.unresponsive()
		l.leaving, l.reportedLimit, l.missedReports = report.Leaving, report.Limit, 0
		return changed
	})
}

// WorkerUnanswered implements core.WorkerHealthSink. A worker whose address
// refuses connections is closed at once.
func (p *Peer) WorkerUnanswered(upstream, worker string, refused bool) {
	p.updateHealth(workerKey{upstream, worker}, func(l *slotLease) bool {
		before := l.unresponsive()
		l.missedReports++
		if refused {
			l.missedReports = max(l.missedReports, maxMissedReports)
		}
		if before || !l.unresponsive() {
			return false
		}
		p.log.Warn("worker does not respond and gets no new requests", "upstream", upstream, "worker", worker)
		p.scope.Counter("workers_silent").Inc(1)
		return true
	})
}

// WorkerEjected implements core.WorkerHealthSink.
func (p *Peer) WorkerEjected(upstream, worker string, ejected bool) {
	p.updateHealth(workerKey{upstream, worker}, func(l *slotLease) bool {
		changed := l.ejected != ejected
		l.ejected = ejected
		return changed
	})
}

// updateHealth applies a report and serves the queue if the report changes
// anything.
func (p *Peer) updateHealth(k workerKey, apply func(*slotLease) bool) {
	p.leaseMu.Lock()
	l := p.leases[k]
	changed := l != nil && apply(l)
	pl := p.pools[k.upstream]
	p.leaseMu.Unlock()
	if changed && pl != nil {
		pl.serveQueue()
	}
}

var (
	_ core.Membership        = (*Peer)(nil)
	_ core.SlotClient        = (*Peer)(nil)
	_ core.ObjectFetcher     = (*Peer)(nil)
	_ core.WorkerHealthSink  = (*Peer)(nil)
	_ core.PeerAttemptClient = peerAttempts{}
)
