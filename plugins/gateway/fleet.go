package gateway

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/placement"
	"github.com/auburnlead/auburnlead/retry"
)

// fleet is what this router knows of the workers of all upstreams.
type fleet struct {
	domain   string
	settings *Settings

	mu          sync.Mutex // level 60
	byID        map[string]*worker
	pools       map[string]*pool
	leaving     []*worker // departed or draining lately, oldest first
	version     int64
	read        time.Time // when the list was read
	homes       homes
	share       core.LoadShare // nil for none
	mostRouters int            // ever seen alive at a time
	byHash      map[uint32]*worker
}

// pool is one upstream.
type pool struct {
	workers []*worker // that take new work, sorted by ID
	hashes  []uint64  // of the workers' IDs, in the same order
	ejector *retry.Ejector
	budget  *retry.Budget
	delay   delay
	routers int     // that send to the upstream, this one included
	recent  float64 // requests of this router over rateMemory, at counted
	counted time.Time
	held    time.Duration // average time of a request on a worker, 0 if not known
}

// worker is one process of an upstream. Fields after the blank line are
// guarded by fleet.mu.
type worker struct {
	core.ListedWorker
	hash   uint64
	joined time.Time // when this router first saw it; zero if it was there at the start

	inFlight int // requests of this router
	load     int // requests on the worker at loadAt
	loadAt   time.Time
	added    int       // requests of this router since then
	left     time.Time // when it began to leave
	lost     bool      // cannot be reached
}

// Times and sizes of the fleet's memory.
const (
	// departedMemory is the time for which a worker that left may still be
	// asked for parts of prompts. Workers go on for some seconds after they
	// are taken from the list.
	departedMemory = 8 * time.Second
	// youngWorker is the age below which a worker is not expected to have
	// read the prompts that it is now the first choice for.
	youngWorker = 20 * time.Second
	// loadMemory is the age after which a worker's load says nothing more.
	loadMemory = 3 * time.Second
	// budgetWindow is the window of retry.Budget in seconds.
	budgetWindow = 10
)

// Ejection of workers that fail.
const (
	ejectShare     = 0.34 // of an upstream: one of three
	ejectAfter     = 3    // failures in a row
	ejectFirst     = time.Second
	ejectLongest   = 8 * time.Second
	ejectForgotten = 30 * time.Second
)

func newFleet(domain string, s *Settings) *fleet {
	return &fleet{domain: domain, settings: s, byID: map[string]*worker{}, pools: map[string]*pool{}, homes: newHomes()}
}

// workerChange is a difference between two lists.
type workerChange struct{ what, worker, upstream string }

// apply takes over a list of workers.
func (f *fleet) apply(s *core.WorkerSnapshot) []workerChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []workerChange
	first := f.version == 0 && len(f.byID) == 0
	f.version, f.read = s.Version, s.At
	listed := map[string]*worker{}
	for _, l := range s.Workers {
		w := f.byID[l.ID]
		if w == nil || w.Born != l.Born || w.Address != l.Address || w.Upstream != l.Upstream {
			changes = append(changes, workerChange{"joined", l.ID, l.Upstream})
			w = &worker{hash: placement.Hash(l.ID)}
			if !first {
				w.joined = s.At
			}
		}
		if l.Draining && !w.Draining {
			changes = append(changes, workerChange{"draining", l.ID, l.Upstream})
			f.depart(w, s.At)
		}
		w.ListedWorker = l
		listed[l.ID] = w
	}
	for id, w := range f.byID {
		if listed[id] == nil {
			changes = append(changes, workerChange{"left", id, w.Upstream})
			f.depart(w, s.At)
		}
	}
	f.byID = listed
	f.byHash = map[uint32]*worker{}
	for id, w := range listed {
		f.byHash[gossip.WorkerHash(id)] = w
	}
	f.rebuild(s.At)
	return changes
}

func (f *fleet) depart(w *worker, now time.Time) {
	if w.left.IsZero() {
		w.left = now
		f.leaving = append(f.leaving, w)
	}
}

// rebuild makes the pools of the workers that take new work.
func (f *fleet) rebuild(now time.Time) {
	f.leaving = slices.DeleteFunc(f.leaving, func(w *worker) bool { return now.Sub(w.left) > departedMemory })
	for _, p := range f.pools {
		p.workers, p.hashes = nil, nil
	}
	for _, w := range f.byID {
		if !w.Draining {
			p := f.pool(w.Upstream)
			p.workers = append(p.workers, w)
		}
	}
	for _, p := range f.pools {
		slices.SortFunc(p.workers, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
		for _, w := range p.workers {
			p.hashes = append(p.hashes, w.hash)
		}
		p.ejector.SetPool(now, len(p.workers))
	}
}

// pool returns the pool of an upstream.
func (f *fleet) pool(upstream string) *pool {
	p := f.pools[upstream]
	if p == nil {
		p = &pool{
			routers: 1,
			budget:  retry.NewBudget(f.settings.RetryRatio, f.slackShare()),
			ejector: retry.NewEjector(retry.EjectorConfig{MaxShare: ejectShare, Threshold: ejectAfter, Base: ejectFirst, Max: ejectLongest, ForgetAfter: ejectForgotten}),
		}
		f.pools[upstream] = p
	}
	return p
}

// slackShare is this router's share of the slack in repeats a second. The most
// routers ever seen count: in a cut each part sees fewer, and the parts
// together must not take more than all.
func (f *fleet) slackShare() float64 {
	routers := max(f.settings.Routers, f.mostRouters)
	return f.settings.RetrySlack / float64(routers) / budgetWindow
}

// setBudget changes the retry budgets where the settings differ. What was sent
// before counts on.
func (f *fleet) setBudget(s *Settings) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settings = s
	f.shareBudgets()
}

func (f *fleet) shareBudgets() {
	for _, p := range f.pools {
		p.budget.Set(f.settings.RetryRatio, f.slackShare())
	}
}

// ended records the end of an attempt.
func (f *fleet) ended(c choice, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	c.worker.inFlight--
	if ok {
		p := f.pool(c.worker.Upstream)
		p.took(now.Sub(c.at))
		p.ejector.Success(now, c.worker.ID)
	}
}

// answered records the time to the first byte of an answer.
func (f *fleet) answered(w *worker, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool(w.Upstream).delay.took(took)
}

// patience is the time after which a worker without a first byte has stalled.
func (f *fleet) patience(w *worker) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(w.Upstream).delay.patience()
}

// failed records a failure of a worker and reports whether it ejected it.
func (f *fleet) failed(w *worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.pool(w.Upstream).ejector
	now := time.Now()
	before := e.Ejected(now, w.ID)
	e.Failure(now, w.ID)
	return !before && e.Ejected(now, w.ID)
}

// setLost records whether a worker can be reached, and reports a change.
func (f *fleet) setLost(w *worker, lost bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := w.lost != lost
	w.lost = lost
	return changed
}

// lists reports whether a worker is still on the list.
func (f *fleet) lists(w *worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byID[w.ID] == w
}

// neighbours returns the other workers of a worker's failure domain that are
// not lost.
func (f *fleet) neighbours(w *worker) []*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*worker
	for _, other := range f.byID {
		if other != w && other.FailureDomain == w.FailureDomain && !other.lost {
			list = append(list, other)
		}
	}
	return list
}

// samples returns one worker that is not lost of each failure domain that is
// neither the router's nor the worker's.
func (f *fleet) samples(w *worker) []*worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{f.domain: true, w.FailureDomain: true}
	var list []*worker
	for _, other := range f.byID {
		if !seen[other.FailureDomain] && !other.lost {
			seen[other.FailureDomain] = true
			list = append(list, other)
		}
	}
	return list
}

// loaded records what a worker says of its load.
func (f *fleet) loaded(w *worker, l core.WorkerLoad) {
	now := time.Now()
	f.mu.Lock()
	w.load, w.loadAt, w.added = l.Running+l.Waiting, now, 0
	f.mu.Unlock()
	if f.share != nil {
		f.share.ReportLoad(gossip.WorkerHash(w.ID), l.Running+l.Waiting, now)
	}
}

// sharedLoads records what workers told other routers of their load.
func (f *fleet) sharedLoads(list []core.SharedLoad) {
	routers := f.share.Routers()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.pools {
		p.routers = routers
	}
	if routers > f.mostRouters {
		f.mostRouters = routers
		f.shareBudgets()
	}
	for _, l := range list {
		w := f.byHash[l.Worker]
		if w != nil && l.At.After(w.loadAt) {
			w.load, w.loadAt, w.added = l.Busy, l.At, 0
		}
	}
}

// allowRepeat takes one repeat from the budget of an upstream.
func (f *fleet) allowRepeat(upstream string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(upstream).budget.Allow(time.Now())
}

// busy estimates the requests on a worker from its last report and this
// router's own requests.
func (w *worker) busy(now time.Time) int {
	if now.Sub(w.loadAt) > loadMemory {
		return w.inFlight
	}
	return max(w.inFlight, w.load+w.added)
}
