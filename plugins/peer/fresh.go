package peer

import (
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/peerpb"
)

// freshSums are the loads that other routers attached to their calls. Between
// two exchanges of views the load of a small pool can change by half; a bound
// that follows the exchange alone then keeps requests waiting beside free
// slots.
type freshSums struct {
	mu   sync.Mutex // level 90
	sums map[freshKey]timedSums
}

type freshKey struct{ router, upstream string }

type timedSums struct {
	sums
	at time.Time
}

func (f *freshSums) init() { f.sums = map[freshKey]timedSums{} }

// set keeps the sums of a router's pool and reports whether they changed.
func (f *freshSums) set(now time.Time, router, upstream string, s sums) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := freshKey{router, upstream}
	changed := f.sums[k].sums != s
	f.sums[k] = timedSums{s, now}
	return changed
}

// of returns the attached sums of a router's pool if they are not older than
// the given age, else those of the view.
func (f *freshSums) of(now time.Time, router, upstream string, viewed sums, age time.Duration) sums {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.sums[freshKey{router, upstream}]
	if ok && now.Sub(s.at) <= age {
		return s.sums
	}
	return viewed
}

// prune forgets sums that no longer count.
func (f *freshSums) prune(now time.Time, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, s := range f.sums {
		if now.Sub(s.at) > age {
			delete(f.sums, k)
		}
	}
}

// ownSums is the load on the open workers of an upstream that this router
// holds, nil when it holds none.
func (p *Peer) ownSums(upstream string) *peerpb.PoolSums {
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

// observeSums takes the sums that a router of the own domain attached to a
// call, and serves the queue when they change the bound.
func (p *Peer) observeSums(router, upstream string, s *peerpb.PoolSums) {
	if s == nil || router == p.id.Router {
		return
	}
	m, ok := p.member(router)
	if !ok || m.Domain != p.id.FailureDomain {
		return
	}
	if !p.fresh.set(p.now(), router, upstream, sums{int(s.GetWorkers()), int(s.GetInFlight())}) {
		return
	}
	p.leaseMu.Lock()
	pl := p.pools[upstream]
	p.leaseMu.Unlock()
	if pl == nil {
		return
	}
	others := p.otherLoads()[upstream]
	pl.mu.Lock()
	pl.others = others
	waiting := len(pl.waiting) > 0
	pl.mu.Unlock()
	if waiting {
		pl.advance()
	}
}

// quietRouters are the routers that left a call without answer. They are not
// asked again for a while, so that only the first of the requests for a
// paused holder waits for it and the others go on to their next choice.
type quietRouters struct {
	mu    sync.Mutex // level 90
	since map[string]time.Time
}

func (q *quietRouters) init() { q.since = map[string]time.Time{} }

func (q *quietRouters) set(now time.Time, router string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.since[router] = now
}

// is reports whether the router left a call without answer within the time.
func (q *quietRouters) is(now time.Time, router string, within time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	since, ok := q.since[router]
	if ok && now.Sub(since) > within {
		delete(q.since, router)
		return false
	}
	return ok
}
