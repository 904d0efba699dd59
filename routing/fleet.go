package routing

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/placement"
	"github.com/auburnlead/auburnlead/retry"
)

// Config configures a Fleet.
type Config struct {
	Domain string // failure domain of this router
	// LoadBound is the multiple of the mean load of an upstream's workers that
	// no worker should exceed.
	LoadBound float64
	// RetryRatio is the share of the requests of an upstream that may be sent
	// once more, RetrySlack the number of repeats in 10 s that all routers
	// together may send beyond it.
	RetryRatio, RetrySlack float64
	// MinRouters is the least number of routers among which the slack is divided.
	MinRouters int
	// Random returns a number in [0, n); nil for one of math/rand.
	Random func(n int) int
}

// Fleet is what one router knows of the workers of all upstreams. It is safe
// for concurrent use.
type Fleet struct {
	cfg Config

	mu          sync.Mutex // level 60
	byID        map[string]*Worker
	pools       map[string]*pool
	leaving     []*Worker // departed or draining lately, oldest first
	version     int64
	read        time.Time // when the list was read
	homes       homes
	mostRouters int // ever seen alive at a time
	byHash      map[uint32]*Worker
}

// pool is one upstream.
type pool struct {
	workers []*Worker // that take new work, sorted by ID
	hashes  []uint64  // of the workers' IDs, in the same order
	ejector *retry.Ejector
	budget  *retry.Budget
	delay   delay
	routers int     // that send to the upstream, this one included
	recent  float64 // requests of this router over rateMemory, at counted
	counted time.Time
	held    time.Duration // average time of a request on a worker, 0 if not known
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

// New returns a fleet without workers.
func New(cfg Config) *Fleet {
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	return &Fleet{cfg: cfg, byID: map[string]*Worker{}, pools: map[string]*pool{}, homes: newHomes()}
}

// Change is a difference between two lists.
type Change struct {
	Kind             string // "joined", "draining" or "left"
	Worker, Upstream string // ID and name
}

// Apply takes over a list of workers.
func (f *Fleet) Apply(s *WorkerList) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []Change
	first := f.version == 0 && len(f.byID) == 0
	f.version, f.read = s.Version, s.At
	listed := map[string]*Worker{}
	for _, l := range s.Workers {
		w := f.byID[l.ID]
		if w == nil || w.StartedAtMs != l.StartedAtMs || w.Address != l.Address || w.Upstream != l.Upstream {
			changes = append(changes, Change{"joined", l.ID, l.Upstream})
			w = &Worker{hash: placement.Hash(l.ID)}
			if !first {
				w.joined = s.At
			}
		}
		if l.Draining && !w.Draining {
			changes = append(changes, Change{"draining", l.ID, l.Upstream})
			f.depart(w, s.At)
		}
		w.WorkerInfo = l
		listed[l.ID] = w
	}
	for id, w := range f.byID {
		if listed[id] == nil {
			changes = append(changes, Change{"left", id, w.Upstream})
			f.depart(w, s.At)
		}
	}
	f.byID = listed
	f.byHash = map[uint32]*Worker{}
	for id, w := range listed {
		f.byHash[gossip.WorkerHash(id)] = w
	}
	f.rebuild(s.At)
	return changes
}

func (f *Fleet) depart(w *Worker, now time.Time) {
	if w.left.IsZero() {
		w.left = now
		f.leaving = append(f.leaving, w)
	}
}

// rebuild makes the pools of the workers that take new work.
func (f *Fleet) rebuild(now time.Time) {
	f.leaving = slices.DeleteFunc(f.leaving, func(w *Worker) bool { return now.Sub(w.left) > departedMemory })
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
		slices.SortFunc(p.workers, func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) })
		for _, w := range p.workers {
			p.hashes = append(p.hashes, w.hash)
		}
		p.ejector.SetPoolSize(now, len(p.workers))
	}
}

// pool returns the pool of an upstream.
func (f *Fleet) pool(upstream string) *pool {
	p := f.pools[upstream]
	if p == nil {
		p = &pool{
			routers: 1,
			budget:  retry.NewBudget(f.cfg.RetryRatio, f.slackShare()),
			ejector: retry.NewEjector(retry.EjectorConfig{MaxEjectedShare: ejectShare, Threshold: ejectAfter, BasePeriod: ejectFirst, MaxPeriod: ejectLongest, ForgetAfter: ejectForgotten}),
		}
		f.pools[upstream] = p
	}
	return p
}

// slackShare is this router's share of the slack in repeats a second. The most
// routers ever seen count: in a cut each part sees fewer, and the parts
// together must not take more than all.
func (f *Fleet) slackShare() float64 {
	routers := max(f.cfg.MinRouters, f.mostRouters)
	return f.cfg.RetrySlack / float64(routers) / budgetWindow
}

// Configure takes over changed settings. What was sent before counts on in the
// retry budgets.
func (f *Fleet) Configure(cfg Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cfg.Random = f.cfg.Random
	f.cfg = cfg
	f.shareBudgets()
}

func (f *Fleet) shareBudgets() {
	for _, p := range f.pools {
		p.budget.Set(f.cfg.RetryRatio, f.slackShare())
	}
}

// RecordEnd records the end of an attempt and whether it gave an answer.
func (f *Fleet) RecordEnd(c Choice, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Worker.inFlight--
	c.answered()
	if ok {
		p := f.pool(c.Worker.Upstream)
		p.took(now.Sub(c.at))
		p.ejector.Success(now, c.Worker.ID)
	}
}

// RecordFirstByte records the time to the first byte of an answer.
func (f *Fleet) RecordFirstByte(c Choice, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool(c.Worker.Upstream).delay.took(took)
	c.answered()
}

// FirstByteTimeout is the time after which a worker without a first byte has stalled.
func (f *Fleet) FirstByteTimeout(w *Worker) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(w.Upstream).delay.patience()
}

// RecordFailure records a failure of a worker and reports whether it ejected it.
func (f *Fleet) RecordFailure(w *Worker, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.pool(w.Upstream).ejector
	before := e.Ejected(now, w.ID)
	e.Failure(now, w.ID)
	return !before && e.Ejected(now, w.ID)
}

// SetUnreachable records whether a worker can be reached, and reports a change.
func (f *Fleet) SetUnreachable(w *Worker, lost bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := w.lost != lost
	w.lost = lost
	return changed
}

// Worker returns a worker of the list, nil if there is none of this ID.
func (f *Fleet) Worker(id string) *Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byID[id]
}

// IsListed reports whether a worker is still on the list.
func (f *Fleet) IsListed(w *Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byID[w.ID] == w
}

// SameDomainWorkers returns the other workers of a worker's failure domain that are
// not lost.
func (f *Fleet) SameDomainWorkers(w *Worker) []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*Worker
	for _, other := range f.byID {
		if other != w && other.FailureDomain == w.FailureDomain && !other.lost {
			list = append(list, other)
		}
	}
	return list
}

// OtherDomainSamples returns one worker that is not lost of each failure domain that is
// neither the router's nor the worker's.
func (f *Fleet) OtherDomainSamples(w *Worker) []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := map[string]bool{f.cfg.Domain: true, w.FailureDomain: true}
	var list []*Worker
	for _, other := range f.byID {
		if !seen[other.FailureDomain] && !other.lost {
			seen[other.FailureDomain] = true
			list = append(list, other)
		}
	}
	return list
}

// RemoteReachability counts the workers of other failure domains and those of them that
// can be reached, and all workers.
func (f *Fleet) RemoteReachability() (listed, reached, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.byID {
		if w.FailureDomain == f.cfg.Domain {
			continue
		}
		listed++
		if !w.lost {
			reached++
		}
	}
	return listed, reached, len(f.byID)
}

// RecordLoad records the number of requests that a worker says it has.
func (f *Fleet) RecordLoad(w *Worker, busy int, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.load, w.loadAt = busy, now
}

// RecordSharedLoads records what workers told other routers of their load, and the
// number of routers, this one included.
func (f *Fleet) RecordSharedLoads(routers int, list []Load) {
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
		w := f.byHash[l.WorkerHash]
		if w != nil && l.At.After(w.loadAt) {
			w.load, w.loadAt = l.InFlight, l.At
		}
	}
}

// AllowRetry takes one repeat from the budget of an upstream.
func (f *Fleet) AllowRetry(upstream string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(upstream).budget.Allow(now)
}
