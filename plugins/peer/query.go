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

// fetchPeers bounds the peers asked for one object.
const fetchPeers = 3

// stateGone is what AttemptState says of a router that no longer exists.
const stateGone = "gone"

// FetchObject implements core.ObjectFetcher. Routers with the newest revision
// are asked first, those of the own domain before others.
func (p *Peer) FetchObject(ctx context.Context, digest string) ([]byte, error) {
	for _, m := range p.fetchOrder() {
		client, err := p.conns.client(m.Address)
		if err != nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
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
		return m.Router == p.id.Router || m.Address == "" || m.State == membership.Gone
	})
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	home := func(m membership.Member) int {
		if m.Domain == p.id.FailureDomain {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(home(a), home(b)))
	})
	return list[:min(len(list), fetchPeers)]
}

// peerAttempts implements core.PeerAttemptClient, whose method has the name of one
// that other parts of the plug-in serve.
type peerAttempts struct{ p *Peer }

// AttemptState asks the router that made an attempt. A router counts as gone
// when neither a peer nor the platform's list has shown it for the gone time.
func (a peerAttempts) AttemptState(ctx context.Context, router, attempt string) (string, error) {
	p := a.p
	if router == p.id.Router {
		if p.links.Attempts == nil {
			return "not_known", nil
		}
		return p.links.Attempts.AttemptState(attempt), nil
	}
	m, ok := p.member(router)
	if !ok && p.now().Sub(p.started) < p.s.GoneAfter {
		return "", fmt.Errorf("peer: router %s is not known yet; ask again later", router)
	}
	if !ok || m.State == membership.Gone && !m.Listed {
		return stateGone, nil
	}
	client, err := p.conns.client(m.Address)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
	defer cancel()
	reply, err := client.AttemptState(ctx, &peerpb.AttemptStateRequest{Attempt: attempt})
	if err != nil {
		return "", fmt.Errorf("peer: router %s does not answer for its attempt: %w; ask again later", router, err)
	}
	return reply.GetState(), nil
}

// WorkerLoad implements core.WorkerHealthSink.
func (p *Peer) WorkerLoad(upstream, worker string, report core.LoadReport) {
	p.health(workerKey{upstream, worker}, func(l *slotLease) bool {
		changed := l.leaving != report.Leaving || l.limit != report.Limit || l.silent()
		l.leaving, l.limit, l.missed = report.Leaving, report.Limit, 0
		return changed
	})
}

// WorkerUnanswered implements core.WorkerHealthSink. A worker whose address
// refuses connections is closed at once.
func (p *Peer) WorkerUnanswered(upstream, worker string, refused bool) {
	p.health(workerKey{upstream, worker}, func(l *slotLease) bool {
		before := l.silent()
		l.missed++
		if refused {
			l.missed = max(l.missed, silentAfter)
		}
		if before || !l.silent() {
			return false
		}
		p.log.Warn("worker does not answer, no new work", "upstream", upstream, "worker", worker)
		p.scope.Counter("workers_silent").Inc(1)
		return true
	})
}

// WorkerEjected implements core.WorkerHealthSink.
func (p *Peer) WorkerEjected(upstream, worker string, ejected bool) {
	p.health(workerKey{upstream, worker}, func(l *slotLease) bool {
		changed := l.ejected != ejected
		l.ejected = ejected
		return changed
	})
}

// health applies a report and serves the queue if it changes anything.
func (p *Peer) health(k workerKey, apply func(*slotLease) bool) {
	p.leaseMu.Lock()
	l := p.leases[k]
	changed := l != nil && apply(l)
	pl := p.pools[k.upstream]
	p.leaseMu.Unlock()
	if changed && pl != nil {
		pl.advance()
	}
}

var (
	_ core.Membership        = (*Peer)(nil)
	_ core.SlotClient        = (*Peer)(nil)
	_ core.ObjectFetcher     = (*Peer)(nil)
	_ core.WorkerHealthSink  = (*Peer)(nil)
	_ core.PeerAttemptClient = peerAttempts{}
)
