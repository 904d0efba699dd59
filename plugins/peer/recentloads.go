package peer

import (
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/peerpb"
)

// recentLoads holds the load totals that other routers attached to their calls.
// The load of a small pool can change by half between two exchanges of
// membership views. A load bound computed from the views alone would keep
// requests waiting although slots are free.
type recentLoads struct {
	mu    sync.Mutex // lock level 90
	loads map[loadKey]timedLoad
}

type loadKey struct{ router, upstream string }

type timedLoad struct {
	loadTotals
	receivedAt time.Time
}

func (r *recentLoads) init() { r.loads = map[loadKey]timedLoad{} }

// set stores the load totals of a router's pool and reports whether they
// changed.
func (r *recentLoads) set(now time.Time, router, upstream string, totals loadTotals) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := loadKey{router, upstream}
	changed := r.loads[k].loadTotals != totals
	r.loads[k] = timedLoad{totals, now}
	return changed
}

// get returns the attached load totals of a router's pool if they are not older
// than the given age, otherwise those of the membership view.
func (r *recentLoads) get(now time.Time, router, upstream string, fromView loadTotals, age time.Duration) loadTotals {
	r.mu.Lock()
	defer r.mu.Unlock()
	load, ok := r.loads[loadKey{router, upstream}]
	if ok && now.Sub(load.receivedAt) <= age {
		return load.loadTotals
	}
	return fromView
}

// prune removes load totals that have expired.
func (r *recentLoads) prune(now time.Time, age time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, load := range r.loads {
		if now.Sub(load.receivedAt) > age {
			delete(r.loads, k)
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
func (p *Peer) recordLoad(router, upstream string, totals *peerpb.PoolSums) {
	if totals == nil || router == p.identity.Router {
		return
	}
	m, ok := p.member(router)
	if !ok || m.Domain != p.identity.FailureDomain {
		return
	}
	if !p.recentLoads.set(p.now(), router, upstream, loadTotals{int(totals.GetWorkers()), int(totals.GetInFlight())}) {
		return
	}
	p.leaseMu.Lock()
	pl := p.pools[upstream]
	p.leaseMu.Unlock()
	if pl == nil {
		return
	}
	remoteLoads := p.remoteLoads()[upstream]
	pl.mu.Lock()
	pl.remoteLoad = remoteLoads
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

func (u *unresponsiveRouters) init() { u.since = map[string]time.Time{} }

func (u *unresponsiveRouters) mark(now time.Time, router string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.since[router] = now
}

// contains reports whether a call to the router got no reply within the given
// time before now.
func (u *unresponsiveRouters) contains(now time.Time, router string, within time.Duration) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	since, ok := u.since[router]
	if ok && now.Sub(since) > within {
		delete(u.since, router)
		return false
	}
	return ok
}
