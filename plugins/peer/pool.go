package peer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/objects"
)

// pool has the scheduler of one upstream's workers that this router holds.
type pool struct {
	p    *Peer
	name string

	mu      sync.Mutex // level 40
	s       *admission.Scheduler
	waiting map[string]*waiter // by request ID
	timer   *time.Timer
	others  sums
	closed  bool
	pushed  int  // requests in flight when the sums were last pushed
	pushing bool // a push is queued or runs
}

// sums is the load on the open workers that other routers hold.
type sums struct{ workers, inFlight int }

// waiter is a request in the queue.
type waiter struct{ done chan decision }

// decision ends the wait of a request.
type decision struct {
	grant   admission.Grant
	sendBy  time.Time // the holder's lease ends then
	refusal *admission.Refusal
}

func newPool(p *Peer, name string) *pool {
	return &pool{p: p, name: name, s: admission.New(admission.Config{}), waiting: map[string]*waiter{}}
}

// schedulerConfig is the part of a revision that a scheduler uses.
func schedulerConfig(set *objects.Set, u *objects.Upstream, useBy time.Duration) admission.Config {
	cfg := admission.Config{LoadBound: u.LoadBound, UseWithin: useBy}
	for _, r := range set.Ranks {
		cfg.Ranks = append(cfg.Ranks, admission.RankConfig{Name: r.Name, Priority: r.Priority, Floor: r.Floor, QueueLimit: r.QueueLimit, MaxDuration: r.MaxDuration})
	}
	return cfg
}

func (pl *pool) configure(now time.Time, cfg admission.Config) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.s.Configure(now, cfg)
}

// advance serves the queue with the workers that may be granted now. It holds
// leaseMu and mu together, so that no grant is given after a hand-over has
// listed the slots.
func (pl *pool) advance() {
	pl.locked(func(time.Time) {})
}

// locked runs fn on the scheduler and then serves the queue.
func (pl *pool) locked(fn func(now time.Time)) {
	pl.p.leaseMu.Lock()
	defer pl.p.leaseMu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	now := pl.p.now()
	sendBy := map[string]time.Time{}
	for k, l := range pl.p.leases {
		if k.upstream == pl.name && l.held {
			pl.s.SetWorker(now, admission.Worker{ID: k.worker, MaxInFlight: pl.p.maxInFlight(l), Open: pl.p.open(now, l)})
			sendBy[k.worker] = l.lease.GrantUntil()
		}
	}
	pl.s.SetRemoteLoad(now, pl.others.workers, pl.others.inFlight)
	fn(now)
	pl.s.Advance(now,
		func(g admission.Grant) { pl.decide(g.RequestID, decision{grant: g, sendBy: sendBy[g.Worker]}) },
		func(r admission.Refusal) { pl.decide(r.RequestID, decision{refusal: &r}) })
	pl.schedule(now)
	if pl.s.InFlight() != pl.pushed && !pl.pushing && !pl.closed {
		pl.pushing = true
		pl.p.submit(pl.push)
	}
}

// decide wakes a waiter. The caller holds mu.
func (pl *pool) decide(id string, d decision) {
	if w := pl.waiting[id]; w != nil {
		delete(pl.waiting, id)
		w.done <- d
	}
}

// schedule sets the timer for the scheduler's next deadline. The caller holds mu.
func (pl *pool) schedule(now time.Time) {
	wake := pl.s.NextWake(now)
	if pl.closed || wake.IsZero() {
		return
	}
	wait := max(wake.Sub(now), time.Millisecond)
	if pl.timer == nil {
		pl.timer = time.AfterFunc(wait, pl.advance)
		return
	}
	pl.timer.Reset(wait)
}

// acquire waits in the queue until the request is decided or ctx ends. A grant
// that comes too late to be sent under the holder's lease is taken back.
func (pl *pool) acquire(ctx context.Context, q admission.Request, wait time.Duration) (admission.Grant, *admission.Refusal) {
	w := &waiter{done: make(chan decision, 1)}
	refusal := &admission.Refusal{RequestID: q.ID, Router: q.Router, Reason: admission.ReasonClosed}
	pl.locked(func(now time.Time) {
		// A request that is known would not be decided again, so its second
		// waiter would wait without end.
		if pl.closed || pl.s.Known(q.ID) {
			return
		}
		q.Deadline = now.Add(wait)
		if refusal = pl.s.Enqueue(now, q); refusal == nil {
			pl.waiting[q.ID] = w
		}
	})
	if refusal != nil {
		return admission.Grant{}, refusal
	}
	var d decision
	select {
	case d = <-w.done:
	case <-ctx.Done():
		if d = pl.giveUp(q.ID, w); d.refusal == nil {
			pl.release(q.ID, -1)
			d = decision{refusal: &admission.Refusal{RequestID: q.ID, Router: q.Router, Reason: admission.ReasonExpired}}
		}
	}
	if d.refusal == nil && pl.p.now().After(d.sendBy) {
		pl.release(q.ID, -1)
		pl.p.scope.Counter("grants_too_late").Inc(1)
		d.refusal = &admission.Refusal{RequestID: q.ID, Router: q.Router, Reason: admission.ReasonClosed}
	}
	return d.grant, d.refusal
}

// giveUp withdraws a waiting request. A decision that was made meanwhile is
// returned as it is.
func (pl *pool) giveUp(id string, w *waiter) decision {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.waiting[id] != w {
		return <-w.done
	}
	delete(pl.waiting, id)
	pl.s.Cancel(pl.p.now(), id)
	return decision{refusal: &admission.Refusal{RequestID: id, Reason: admission.ReasonExpired}}
}

// release gives a slot back and serves the queue.
func (pl *pool) release(id string, costTokens int64) bool {
	released := false
	pl.locked(func(now time.Time) { released = pl.s.Release(now, id, costTokens) })
	return released
}

// load sums up the pool for the membership exchange. The caller holds leaseMu.
func (pl *pool) load(now time.Time) membership.Pool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	out := membership.Pool{Upstream: pl.name}
	inFlight := pl.s.InFlight()
	for k, l := range pl.p.leases {
		if k.upstream != pl.name || !l.held {
			continue
		}
		out.HeldWorkers = append(out.HeldWorkers, k.worker)
		if pl.p.open(now, l) {
			out.Workers++
		} else {
			inFlight -= len(pl.s.HeldGrants(k.worker))
		}
	}
	slices.Sort(out.HeldWorkers)
	out.InFlight = uint32(max(0, inFlight))
	return out
}

// close refuses all waiting requests; they have not run.
func (pl *pool) close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closed = true
	if pl.timer != nil {
		pl.timer.Stop()
	}
	pl.s.RefuseQueued(pl.p.now(), func(r admission.Refusal) { pl.decide(r.RequestID, decision{refusal: &r}) })
}

func (p *Peer) allPools() []*pool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	list := make([]*pool, 0, len(p.pools))
	for _, pl := range p.pools {
		list = append(list, pl)
	}
	return list
}

// advanceAll serves all queues after a change of leases or of the view.
func (p *Peer) advanceAll() {
	others := p.otherLoads()
	for _, pl := range p.allPools() {
		pl.mu.Lock()
		pl.others = others[pl.name]
		pl.mu.Unlock()
		pl.advance()
	}
}

func (p *Peer) closePools() {
	for _, pl := range p.allPools() {
		pl.close()
	}
}

// otherLoads sums up what the other routers of the domain hold. Sums that came
// with a call count while they are fresher than the exchange of views. The
// workers of a suspect router count as closed: it may be paused and grant
// nothing, and its old sums would hold the bound of the others down.
func (p *Peer) otherLoads() map[string]sums {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	now := p.now()
	out := map[string]sums{}
	for _, m := range p.view.Members(now) {
		if m.Router == p.id.Router || m.Domain != p.id.FailureDomain || m.State == membership.Gone || m.State == membership.Suspect {
			continue
		}
		for _, l := range m.Pools {
			s := out[l.Upstream]
			load := p.fresh.of(now, m.Router, l.Upstream, sums{int(l.Workers), int(l.InFlight)}, p.s.ExchangeInterval)
			out[l.Upstream] = sums{s.workers + load.workers, s.inFlight + load.inFlight}
		}
	}
	return out
}

// loads are the own pools for the membership exchange.
func (p *Peer) loads() []membership.Pool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	now := p.now()
	var list []membership.Pool
	for _, pl := range p.pools {
		if l := pl.load(now); len(l.HeldWorkers) > 0 {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b membership.Pool) int {
		return compareKeys(workerKey{a.Upstream, ""}, workerKey{b.Upstream, ""})
	})
	return list
}
