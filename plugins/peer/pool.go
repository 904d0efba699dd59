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

// pool holds the scheduler for the workers of one upstream that this router
// holds.
type pool struct {
	peer     *Peer
	upstream string

	mu         sync.Mutex // lock level 40
	scheduler  *admission.Scheduler
	waiting    map[string]*waiter // by request ID
	timer      *time.Timer
	remoteLoad loadTotals
	closed     bool
	lastPushed int  // requests in flight at the last push of the load totals
	pushing    bool // a push is queued or runs
}

// loadTotals is the load on a set of open workers.
type loadTotals struct{ workers, inFlight int }

// waiter receives the decision on a request in the queue.
type waiter struct{ done chan decision }

// decision ends the wait of a request.
type decision struct {
	grant   admission.Grant
	sendBy  time.Time // end of the holder's lease; a grant sent later is not valid
	refusal *admission.Refusal
}

func newPool(peer *Peer, upstream string) *pool {
	return &pool{peer: peer, upstream: upstream, scheduler: admission.New(admission.Config{}), waiting: map[string]*waiter{}}
}

// schedulerConfig returns the part of a revision that a scheduler uses.
func schedulerConfig(set *objects.Set, u *objects.Upstream, useWithin time.Duration) admission.Config {
	cfg := admission.Config{LoadBound: u.LoadBound, UseWithin: useWithin}
	for _, r := range set.Ranks {
		cfg.Ranks = append(cfg.Ranks, admission.RankConfig{Name: r.Name, Priority: r.Priority, Floor: r.Floor, QueueLimit: r.QueueLimit, MaxDuration: r.MaxDuration})
	}
	return cfg
}

func (pl *pool) configure(now time.Time, cfg admission.Config) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.scheduler.Configure(now, cfg)
}

// serveQueue grants queued requests on the workers that are open now. It holds
// leaseMu and mu together, so that no grant is made after a handover has listed
// the slots in use.
func (pl *pool) serveQueue() {
	pl.update(func(time.Time) {})
}

// update runs fn with both locks held and then serves the queue.
func (pl *pool) update(fn func(now time.Time)) {
	pl.peer.leaseMu.Lock()
	defer pl.peer.leaseMu.Unlock()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	now := pl.peer.now()
	sendBy := map[string]time.Time{}
	for k, l := range pl.peer.leases {
		if k.upstream == pl.upstream && l.held {
			pl.scheduler.SetWorker(now, admission.Worker{ID: k.worker, MaxInFlight: pl.peer.maxInFlight(l), Open: pl.peer.isOpen(now, l)})
			sendBy[k.worker] = l.lease.GrantUntil()
		}
	}
	pl.scheduler.SetRemoteLoad(now, pl.remoteLoad.workers, pl.remoteLoad.inFlight)
	fn(now)
	pl.scheduler.Advance(now,
		func(g admission.Grant) { pl.resolve(g.RequestID, decision{grant: g, sendBy: sendBy[g.Worker]}) },
		func(r admission.Refusal) { pl.resolve(r.RequestID, decision{refusal: &r}) })
	pl.scheduleWake(now)
	if pl.scheduler.InFlight() != pl.lastPushed && !pl.pushing && !pl.closed {
		pl.pushing = true
		pl.peer.submit(pl.push)
	}
}

// resolve passes the decision to the waiter of a request. The caller holds mu.
func (pl *pool) resolve(id string, d decision) {
	if w := pl.waiting[id]; w != nil {
		delete(pl.waiting, id)
		w.done <- d
	}
}

// scheduleWake sets the timer for the scheduler's next deadline. The caller
// holds mu.
func (pl *pool) scheduleWake(now time.Time) {
	wake := pl.scheduler.NextWake(now)
	if pl.closed || wake.IsZero() {
		return
	}
	wait := max(wake.Sub(now), time.Millisecond)
	if pl.timer == nil {
		pl.timer = time.AfterFunc(wait, pl.serveQueue)
		return
	}
	pl.timer.Reset(wait)
}

// acquire waits in the queue until the request is decided or ctx ends. A grant
// is revoked if the holder's lease has ended before the grant can be sent.
func (pl *pool) acquire(ctx context.Context, request admission.Request, wait time.Duration) (admission.Grant, *admission.Refusal) {
	w := &waiter{done: make(chan decision, 1)}
	refusal := &admission.Refusal{RequestID: request.ID, Router: request.Router, Reason: admission.ReasonClosed}
	pl.update(func(now time.Time) {
		// The scheduler would not decide a known request a second time, so a
		// second waiter would wait forever.
		if pl.closed || pl.scheduler.Known(request.ID) {
			return
		}
		request.Deadline = now.Add(wait)
		if refusal = pl.scheduler.Enqueue(now, request); refusal == nil {
			pl.waiting[request.ID] = w
		}
	})
	if refusal != nil {
		return admission.Grant{}, refusal
	}
	var d decision
	select {
	case d = <-w.done:
	case <-ctx.Done():
		if d = pl.cancelWait(request.ID, w); d.refusal == nil {
			pl.release(request.ID, -1)
			d = decision{refusal: &admission.Refusal{RequestID: request.ID, Router: request.Router, Reason: admission.ReasonExpired}}
		}
	}
	if d.refusal == nil && pl.peer.now().After(d.sendBy) {
		pl.release(request.ID, -1)
		pl.peer.scope.Counter("grants_too_late").Inc(1)
		d.refusal = &admission.Refusal{RequestID: request.ID, Router: request.Router, Reason: admission.ReasonClosed}
	}
	return d.grant, d.refusal
}

// cancelWait withdraws a waiting request. If a decision was made in the
// meantime, it returns that decision.
func (pl *pool) cancelWait(id string, w *waiter) decision {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.waiting[id] != w {
		return <-w.done
	}
	delete(pl.waiting, id)
	pl.scheduler.Cancel(pl.peer.now(), id)
	return decision{refusal: &admission.Refusal{RequestID: id, Reason: admission.ReasonExpired}}
}

// release returns a slot and serves the queue. A negative costTokens means that
// the cost is not known.
func (pl *pool) release(id string, costTokens int64) bool {
	released := false
	pl.update(func(now time.Time) { released = pl.scheduler.Release(now, id, costTokens) })
	return released
}

// load returns the pool's load for the membership exchange. The caller holds
// leaseMu.
func (pl *pool) load(now time.Time) membership.Pool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	out := membership.Pool{Upstream: pl.upstream}
	inFlight := pl.scheduler.InFlight()
	for k, l := range pl.peer.leases {
		if k.upstream != pl.upstream || !l.held {
			continue
		}
		out.HeldWorkers = append(out.HeldWorkers, k.worker)
		if pl.peer.isOpen(now, l) {
			out.Workers++
		} else {
			inFlight -= len(pl.scheduler.HeldGrants(k.worker))
		}
	}
	slices.Sort(out.HeldWorkers)
	out.InFlight = uint32(max(0, inFlight))
	return out
}

// close refuses all waiting requests. None of them has run.
func (pl *pool) close() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.closed = true
	if pl.timer != nil {
		pl.timer.Stop()
	}
	pl.scheduler.RefuseQueued(pl.peer.now(), func(r admission.Refusal) { pl.resolve(r.RequestID, decision{refusal: &r}) })
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

// serveQueues serves all queues after a change of leases or of the view.
func (p *Peer) serveQueues() {
	remoteLoads := p.remoteLoads()
	for _, pl := range p.allPools() {
		pl.mu.Lock()
		pl.remoteLoad = remoteLoads[pl.upstream]
		pl.mu.Unlock()
		pl.serveQueue()
	}
}

func (p *Peer) closePools() {
	for _, pl := range p.allPools() {
		pl.close()
	}
}

// remoteLoads returns the load totals of the workers that other routers of the
// failure domain hold. Totals that came with a call are used while they are
// fresher than the exchange of views. The workers of a suspect router count as
// closed: it may be paused and grant nothing, and its old totals would keep the
// load bound of the other routers too low.
func (p *Peer) remoteLoads() map[string]loadTotals {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	now := p.now()
	out := map[string]loadTotals{}
	for _, m := range p.view.Members(now) {
		if m.Router == p.identity.Router || m.Domain != p.identity.FailureDomain || m.State == membership.Gone || m.State == membership.Suspect {
			continue
		}
		for _, pl := range m.Pools {
			sum := out[pl.Upstream]
			load := p.recentLoads.get(now, m.Router, pl.Upstream, loadTotals{int(pl.Workers), int(pl.InFlight)}, p.settings.ExchangeInterval)
			out[pl.Upstream] = loadTotals{sum.workers + load.workers, sum.inFlight + load.inFlight}
		}
	}
	return out
}

// poolLoads returns this router's pools for the membership exchange.
func (p *Peer) poolLoads() []membership.Pool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	now := p.now()
	var list []membership.Pool
	for _, pl := range p.pools {
		if load := pl.load(now); len(load.HeldWorkers) > 0 {
			list = append(list, load)
		}
	}
	slices.SortFunc(list, func(a, b membership.Pool) int {
		return compareKeys(workerKey{a.Upstream, ""}, workerKey{b.Upstream, ""})
	})
	return list
}
