package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
)

const (
	// maxPushTargets is the maximum number of routers to which a change of the
	// load is pushed. With two, the benchmark shows no grant above the load
	// bound (docs/decisions/0002-late-sums.md).
	maxPushTargets = 2
	// pushTimeout limits one push. A failed push is not repeated, because a
	// later one carries newer load totals.
	pushTimeout = 250 * time.Millisecond
	// pushDelay is the pause after a push, so that changes in quick succession
	// are combined into one push.
	pushDelay = 20 * time.Millisecond
)

// push sends the load on the workers that this router holds to other holders of
// workers of the same upstream, after grants and releases. Load totals from the
// exchange of membership views can be seconds old, and grants based on old
// totals can exceed the load bound, the configured factor of the mean load.
func (pl *pool) push(ctx context.Context) {
	p := pl.peer
	pl.mu.Lock()
	pl.lastPushed = pl.scheduler.InFlight()
	pl.mu.Unlock()
	update := &peerpb.SumsUpdate{Router: p.identity.Router, Upstream: pl.upstream, Sums: p.localLoad(pl.upstream)}
	if update.Sums != nil {
		var wg sync.WaitGroup
		for _, m := range p.pushTargets(pl.upstream) {
			wg.Go(func() { p.pushTo(ctx, m, update) })
		}
		wg.Wait()
	}
	time.AfterFunc(pushDelay, func() {
		pl.mu.Lock()
		again := pl.scheduler.InFlight() != pl.lastPushed && !pl.closed
		pl.pushing = again
		pl.mu.Unlock()
		if again {
			p.submit(pl.push)
		}
	})
}

// pushTargets returns random live routers of this failure domain that hold
// workers of the upstream.
func (p *Peer) pushTargets(upstream string) []membership.Member {
	now := p.now()
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	var list []membership.Member
	for _, m := range p.view.Members(now) {
		if m.Router == p.identity.Router || m.Domain != p.identity.FailureDomain || m.State != membership.Live || m.Address == "" {
			continue
		}
		for _, pl := range m.Pools {
			if pl.Upstream == upstream && !p.unresponsive.contains(now, m.Router, unresponsiveTimeouts*p.settings.CallTimeout) {
				list = append(list, m)
			}
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxPushTargets)]
}

// pushTo sends one update and stores the load totals in the reply.
func (p *Peer) pushTo(ctx context.Context, m membership.Member, update *peerpb.SumsUpdate) {
	client, err := p.conns.client(m.Address)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	p.scope.Counter("sums_pushed").Inc(1)
	reply, err := client.PushSums(ctx, update)
	if err == nil {
		p.recordLoad(m.Router, update.GetUpstream(), reply.GetSums())
	}
}
