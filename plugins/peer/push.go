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
	// pushTargets is the number of routers that a change of the load is pushed
	// to. With two, no grant exceeds the bound in the benchmark
	// (docs/decisions/0002-late-sums.md).
	pushTargets = 2
	// pushTimeout bounds one push. A later one carries newer sums.
	pushTimeout = 250 * time.Millisecond
	// pushPause joins the changes that follow each other closely.
	pushPause = 20 * time.Millisecond
)

// push tells other holders of the upstream's workers the load on the own ones,
// after grants and releases. The exchange of views alone is up to seconds late,
// and grants by late sums can exceed the load bound.
func (pl *pool) push(ctx context.Context) {
	p := pl.p
	pl.mu.Lock()
	pl.pushed = pl.s.InFlight()
	pl.mu.Unlock()
	update := &peerpb.SumsUpdate{Router: p.id.Router, Upstream: pl.name, Sums: p.ownSums(pl.name)}
	if update.Sums != nil {
		var wg sync.WaitGroup
		for _, m := range p.pushTargets(pl.name) {
			wg.Go(func() { p.pushTo(ctx, m, update) })
		}
		wg.Wait()
	}
	time.AfterFunc(pushPause, func() {
		pl.mu.Lock()
		again := pl.s.InFlight() != pl.pushed && !pl.closed
		pl.pushing = again
		pl.mu.Unlock()
		if again {
			p.submit(pl.push)
		}
	})
}

// pushTargets returns random live routers of the own domain that hold workers
// of the upstream.
func (p *Peer) pushTargets(upstream string) []membership.Member {
	now := p.now()
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	var list []membership.Member
	for _, m := range p.view.Members(now) {
		if m.Router == p.id.Router || m.Domain != p.id.FailureDomain || m.State != membership.Live || m.Address == "" {
			continue
		}
		for _, l := range m.Pools {
			if l.Upstream == upstream && !p.quiet.is(now, m.Router, quietTimes*p.s.CallTimeout) {
				list = append(list, m)
			}
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), pushTargets)]
}

// pushTo sends one update and takes the sums in the answer.
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
		p.observeSums(m.Router, update.GetUpstream(), reply.GetSums())
	}
}
