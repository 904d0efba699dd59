package peer

import (
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/peerpb"
)

// recentLoads holds the load totals that other routers attached to their calls.
// The load of a small pool can change by half between two exchanges of views. A
// load bound that follows the exchange alone would keep requests waiting
// although slots are free.
type recentLoads struct {
	mu    sync.Mutex // lock level 90
	loads map[loadKey]timedLoad
}

type loadKey struct{ router, upstream string }

type timedLoad struct {
	loadTotals
	receivedAt time.Time
}

func (f *recentLoads) init() { f.loads = map[loadKey]timedLoad{} }

// set stores the load totals of a router's pool and reports whether they
// changed.
func (f *recentLoads) set(now time.Time, router, upstream string, s loadTotals) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := loadKey{router, upstream}
	changed := f.loads[k].loadTotals != s
	f.loads[k] = timedLoad{s, now}
	return changed
}

// get returns the attached load totals of a router's pool if they are not older
// than the given age, otherwise those of the view.
func (f *recentLoads) get(now time.Time, router, upstream string, fromView loadTotals, age time.Duration) loadTotals {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.loads[loadKey{router, upstream}]
	if ok && now.Sub(s.receivedAt) <= age {
		return s.loadTotals
	}
	return fromView
}

// prune removes load totals that have expired.
func (f *recentLoads) prune(now time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, s := range f.loads {
		if now.Sub(s.receivedAt) > age {
			delete(f.loads, k)
		}
	}
}

// localLoad returns the load on the open workers of an upstream that this
// router holds, nil if it holds none.
func (p *Peer) localLoad(upstream string) *peerpb.PoolSums {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	pl := p.pools[upstream]
	if pl == nil {
		return nil
	}
	l := pl.load(p.now())
	if len(l.HeldWorkers) == 0 {
		return nil
	}
	return &peerpb.PoolSums{Workers: l.Workers, InFlight: l.InFlight}
}

// recordLoad stores the load totals that a router of this failure domain
// attached to a call, and serves the queue if they change the load bound.
func (p *Peer) recordLoad(router, upstream string, s *peerpb.PoolSums) {
	if s == nil || router == p.identity.Router {
		return
	}
	m, ok := p.member(router)
	if !ok || m.Domain != p.identity.FailureDomain {
		return
	}
	if !p.recentLoads.set(p.now(), router, upstream, loadTotals{int(s.GetWorkers()), int(s.GetInFlight())}) {
		return
	}
	p.leaseMu.Lock()
	pl := p.pools[upstream]
	p.leaseMu.Unlock()
	if pl == nil {
		return
	}
	others := p.remoteLoads()[upstream]
	pl.mu.Lock()
	pl.remoteLoad = others
	waiting := len(pl.waiting) > 0
	pl.mu.Unlock()
	if waiting {
		pl.serveQueue()
	}
}

// unresponsiveRouters holds the routers that did not reply to a call. They are
// skipped for a while, so that only the first request for a paused holder waits
// for it and the others go on to their next preference.
type unresponsiveRouters struct {
	mu    sync.Mutex // lock level 90
	since map[string]time.Time
}

func (q *unresponsiveRouters) init() { q.since = map[string]time.Time{} }

func (q *unresponsiveRouters) mark(now time.Time, router string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.since[router] = now
}

// contains reports whether a call to the router got no reply within the given
// time before now.
func (q *unresponsiveRouters) contains(now time.Time, router string, within time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	since, ok := q.since[router]
	if ok && now.Sub(since) > within {
		delete(q.since, router)
		return false
	}
	return ok
}
