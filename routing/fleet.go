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
	// RetryRatio is the fraction of an upstream's requests that may be retried.
	// RetrySlack is the number of retries per 10 s that all routers together
	// may send beyond it.
	RetryRatio, RetrySlack float64
	// MinRouters is the minimum number of routers that the slack is divided
	// among.
	MinRouters int
	// LeavingGrace is how long a worker that says in its responses that it leaves
	// still gets requests that no other worker takes.
	LeavingGrace time.Duration
	// MaxPause limits the time for which a worker gets no requests because it said
	// so.
	MaxPause time.Duration
	// ColdOver and ColdSlack bound the requests of all routers to a cold worker in any
	// second: ColdOver times UpstreamConfig.ColdRate, plus ColdSlack.
	ColdOver, ColdSlack float64
	// MaxRouters is the number of routers that is assumed for cold workers while the
	// number is not known.
	MaxRouters int
	// LearnSpeed makes workers that take longer than the others get fewer requests.
	LearnSpeed bool
	// Random returns a number in [0, n); nil for math/rand/v2.
	Random func(n int) int
}

// Fleet is one router's view of the workers of all upstreams. It is safe for
// concurrent use.
type Fleet struct {
	cfg Config

	mu             sync.Mutex // lock level 60, see internal/core/lockorder.go
	byID           map[string]*Worker
	pools          map[string]*pool
	leaving        []*Worker          // workers that left or began to drain recently, oldest first
	departed       map[string]*Worker // unlisted workers by ID whose statements still count
	listVersion    int64
	listReadAt     time.Time // when the worker list was read
	placements     placements
	maxRoutersSeen int                // largest number of live routers seen at one time
	speedChanges   []SpeedChange      // since the last call of SpeedChanges
	byHash         map[uint32]*Worker // by gossip.WorkerHash of the ID, see Load
	firstListAt    time.Time          // when the first worker list was read
	upstreams      map[string]UpstreamConfig
	coldWorkers    []*Worker // workers that are cold or were so at the last call of ColdState
	size           fleetSize
	salt           uint64 // differs between routers, 0 until it is needed

	evacuated          map[string]time.Time // evacuated failure domains, with the time at which this router learned of it
	evacuationsInForce map[string]bool      // those of which a worker was listed
}

// pool holds the workers and the retry state of one upstream.
type pool struct {
	workers         []*Worker // workers that accept new requests, sorted by ID
	hashes          []uint64  // hashes of the workers' IDs, in the same order
	leaving         []*Worker // listed workers that say that they leave, sorted by ID
	evacuated       []*Worker // listed workers of evacuated failure domains
	returnEnds      time.Time // until then it may have workers that have just returned, see returnPeriod
	ejector         *retry.Ejector
	budget          *retry.Budget
	firstByte       firstByteTimes
	routers         int           // estimated number of routers, this one included; each is assumed to send to the upstream
	meanDuration    time.Duration // mean time of a request on a worker, 0 if not known
	expected        expectedTimes
	speeds          []float64 // buffer of updateMedian
	candidateBuffer []*Worker // buffers of candidates
	hashBuffer      []uint64
	medianSpeed     float64 // median of the workers' speed.estimate, as of medianAt
	medianAt        time.Time
	config          UpstreamConfig
	meanTokens      float64 // mean of Request.endTokens, 0 if not known
	meanUnread      float64 // mean of Request.unreadTokens, 0 if not known
}

// Times after which recorded state is no longer used, and the window of the retry
// budget.
const (
	// departedTTL is how long cached prompt parts may still be fetched from a
	// worker that left: workers keep running for some seconds after they are
	// removed from the list.
	departedTTL = 8 * time.Second
	// newWorkerAge is the age up to which a worker is assumed not to have
	// prefilled the prompts for which it is the first preference.
	newWorkerAge = 20 * time.Second
	// ownerAge is the age from which a worker is assumed to have served the
	// prompts for which it is the first preference: prompts recur within seconds.
	ownerAge = 4 * time.Second
	// recentPlacement is the age up to which a router's own placement of a prompt
	// tells more about its cached parts than the order of preference.
	recentPlacement = 20 * time.Second
	// loadTTL is the age after which a load report is ignored.
	loadTTL = 3 * time.Second
	// budgetWindowSeconds is the window of retry.Budget.
	budgetWindowSeconds = 10
)

// Ejection of workers that fail.
const (
	maxEjectedShare  = 0.34 // fraction of an upstream's workers: one of three
	ejectThreshold   = 3    // consecutive failures
	ejectBasePeriod  = time.Second
	ejectMaxPeriod   = 8 * time.Second
	ejectForgetAfter = 30 * time.Second
)

// New returns a fleet without workers.
func New(cfg Config) *Fleet {
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	return &Fleet{cfg: cfg, byID: map[string]*Worker{}, departed: map[string]*Worker{}, pools: map[string]*pool{}, placements: newPlacements(), evacuationsInForce: map[string]bool{}}
}

// Change is a difference between two worker lists or two sets of evacuated failure
// domains.
type Change struct {
	Kind             string // "joined", "draining" or "left" of a worker, ChangeEvacuated or ChangeTakenBack of a domain
	Worker, Upstream string // worker ID and upstream name; empty for a domain
	Domain           string // failure domain; empty for a worker
	Workers          int    // number of listed workers of the domain
}

// Apply replaces the worker list and returns what changed.
func (f *Fleet) Apply(list *WorkerList) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changes []Change
	var unlisted []*Worker
	firstList := f.listVersion == 0 && len(f.byID) == 0
	f.listVersion, f.listReadAt = list.Version, list.At
	if firstList {
		f.firstListAt = list.At
	}
	listed := map[string]*Worker{}
	for _, info := range list.Workers {
		w := f.byID[info.ID]
		if w == nil || !w.isSameProcess(info) {
			changes = append(changes, Change{Kind: "joined", Worker: info.ID, Upstream: info.Upstream})
			w = &Worker{WorkerInfo: info, hash: placement.Hash(info.ID)}
			w.Draining = false
			isKnown := f.restoreStatements(w, list.At)
			if !firstList {
				w.joinedAt = list.At
			}
			f.listCold(w, info, !firstList && !isKnown, list.At)
		} else {
			f.listCold(w, info, false, list.At)
		}
		if info.Draining && !w.Draining {
			changes = append(changes, Change{Kind: "draining", Worker: info.ID, Upstream: info.Upstream})
			f.markLeaving(w, list.At)
		}
		w.Slots, w.Draining = info.Slots, info.Draining
		listed[info.ID] = w
	}
	for id, w := range f.byID {
		if listed[id] == nil {
			changes = append(changes, Change{Kind: "left", Worker: id, Upstream: w.Upstream})
			f.markLeaving(w, list.At)
			unlisted = append(unlisted, w)
		}
	}
	f.byID = listed
	for _, w := range unlisted {
		f.keepIfUnlisted(w, list.At)
	}
	f.byHash = map[uint32]*Worker{}
	for id, w := range listed {
		f.byHash[gossip.WorkerHash(id)] = w
	}
	changes = append(changes, f.enforceEvacuations()...)
	f.rebuildPools(list.At)
	return changes
}

func (f *Fleet) markLeaving(w *Worker, now time.Time) {
	if w.leftAt.IsZero() {
		w.leftAt = now
		f.leaving = append(f.leaving, w)
	}
}

// rebuildPools assigns the workers that accept new requests to the pools of
// their upstreams.
func (f *Fleet) rebuildPools(now time.Time) {
	f.leaving = slices.DeleteFunc(f.leaving, func(w *Worker) bool { return now.Sub(w.leftAt) > departedTTL })
	for _, p := range f.pools {
		p.workers, p.hashes, p.leaving, p.evacuated = nil, nil, nil, nil
	}
	for _, w := range f.byID {
		p := f.pool(w.Upstream)
		switch {
		case f.isEvacuated(w.FailureDomain):
			p.evacuated = append(p.evacuated, w)
		case w.Draining:
		case w.said.isLeaving():
			p.leaving = append(p.leaving, w)
		default:
			p.workers = append(p.workers, w)
		}
	}
	for _, p := range f.pools {
		byID := func(a, b *Worker) int { return strings.Compare(a.ID, b.ID) }
		slices.SortFunc(p.workers, byID)
		slices.SortFunc(p.leaving, byID)
		for _, w := range p.workers {
			p.hashes = append(p.hashes, w.hash)
		}
		p.ejector.SetPoolSize(now, len(p.workers))
	}
}

// pool returns the pool of an upstream and creates it if needed.
func (f *Fleet) pool(upstream string) *pool {
	p := f.pools[upstream]
	if p == nil {
		p = &pool{
			routers: 1,
			config:  f.upstreams[upstream],
			budget:  retry.NewBudget(f.cfg.RetryRatio, f.slackShare()),
			ejector: retry.NewEjector(retry.EjectorConfig{MaxEjectedShare: maxEjectedShare, Threshold: ejectThreshold, BasePeriod: ejectBasePeriod, MaxPeriod: ejectMaxPeriod, ForgetAfter: ejectForgetAfter}),
		}
		f.pools[upstream] = p
	}
	return p
}

// slackShare returns this router's share of the retry slack, in retries per
// second. It divides by the largest number of routers ever seen: in a network
// partition each side sees fewer routers, and the sides together must not
// exceed the slack.
func (f *Fleet) slackShare() float64 {
	routers := max(f.cfg.MinRouters, f.maxRoutersSeen)
	return f.cfg.RetrySlack / float64(routers) / budgetWindowSeconds
}

// Configure applies changed settings. The retry budgets keep their counts.
func (f *Fleet) Configure(cfg Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	cfg.Random = f.cfg.Random
	f.cfg = cfg
	if !cfg.LearnSpeed {
		f.forgetSpeeds()
	}
	f.updateBudgets()
	f.updateColdRates()
}

func (f *Fleet) updateBudgets() {
	for _, p := range f.pools {
		p.budget.Set(f.cfg.RetryRatio, f.slackShare())
	}
}

// UsableSlots returns the slots of the workers that get requests now, by upstream; 0 for
// an upstream with such a worker that states none.
func (f *Fleet) UsableSlots() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	slots := make(map[string]int, len(f.pools))
	for name, p := range f.pools {
		total, unknown := 0, false
		for _, w := range p.workers {
			if !w.unreachable {
				total += w.Slots
				unknown = unknown || w.Slots == 0
			}
		}
		if unknown {
			total = 0
		}
		slots[name] = total
	}
	return slots
}

// RecordEnd records the end of an attempt and whether it succeeded. A failure
// counts towards the ejection of the worker only through RecordFailure.
func (f *Fleet) RecordEnd(c Choice, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.Worker.inFlight--
	c.Worker.tokens -= c.attempt.tokens
	c.markFirstByte()
	if !ok {
		f.setBackCold(c.Worker, now)
	}
	if ok {
		p := f.pool(c.Worker.Upstream)
		p.recordDuration(now.Sub(c.sentAt))
		f.recordUnpaced(p, c, now)
		p.ejector.Success(now, c.Worker.ID)
	}
}

// RecordFirstByte records the time to the first byte of a response.
func (f *Fleet) RecordFirstByte(c Choice, elapsed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(c.Worker.Upstream)
	times := &p.firstByte
	if times.isSlow(elapsed) {
		f.setBackCold(c.Worker, c.sentAt.Add(elapsed))
	}
	times.record(elapsed)
	f.recordFirst(p, c, elapsed)
	c.markFirstByte()
}

// RecordErrorResponse records the time of a response that is no success. It says nothing
// about the worker's speed.
func (f *Fleet) RecordErrorResponse(c Choice, elapsed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pool(c.Worker.Upstream).firstByte.record(elapsed)
	c.markFirstByte()
}

// FirstByteTimeout returns the time without a first byte after which a request
// on the worker counts as stalled.
func (f *Fleet) FirstByteTimeout(w *Worker) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(w.Upstream).firstByte.timeout()
}

// RecordFailure records a failed attempt on a worker and reports whether the
// worker was ejected because of it.
func (f *Fleet) RecordFailure(w *Worker, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ejector := f.pool(w.Upstream).ejector
	wasEjected := ejector.Ejected(now, w.ID)
	ejector.Failure(now, w.ID)
	return !wasEjected && ejector.Ejected(now, w.ID)
}

// Worker returns the listed worker with an ID, nil if there is none.
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

// AcceptsRequests reports whether a worker is on the list and neither draining, leaving
// nor evacuated.
func (f *Fleet) AcceptsRequests(w *Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byID[w.ID] == w && !w.Draining && !w.said.isLeaving() && !f.isEvacuated(w.FailureDomain)
}

// LoadEffect says what a load report of a worker changed.
type LoadEffect struct {
	AboveBound bool // the worker is above the load bound
	// ReachedLimit says that by this report the worker has reached the load at which
	// prompts go elsewhere. Other routers send to it until they know.
	ReachedLimit bool
}

// RecordLoad records the number of requests that a worker reports, and how long
// work takes there now, in percent of the usual time; 0 if unknown.
func (f *Fleet) RecordLoad(w *Worker, inFlight, workPercent int, now time.Time) LoadEffect {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(w.Upstream)
	return LoadEffect{
		ReachedLimit: f.recordLoad(p, w, inFlight, workPercent, now, now),
		AboveBound:   float64(inFlight) > f.cfg.LoadBound*p.meanLoad(now)+loadAllowance,
	}
}

// recordLoad records a load report and reports whether the worker has reached the
// limit by it.
func (f *Fleet) recordLoad(p *pool, w *Worker, inFlight, workPercent int, at, now time.Time) bool {
	before := w.currentLoad(now)
	w.reportedLoad, w.reportedAt, w.workPercent = inFlight, at, workPercent
	after := w.currentLoad(now)
	if after <= max(before, loadAllowance) || len(p.workers) == 0 {
		return false
	}
	limit := f.loadLimit(p.workers, now)
	return float64(before) < limit && float64(after) >= limit
}

// RecordSharedLoads records load reports that other routers shared, and the
// number of routers, this one included. It returns the hashes of the workers that have
// reached the limit by them.
func (f *Fleet) RecordSharedLoads(routers int, list []Load, now time.Time) []uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setRouters(routers)
	f.size.count(routers, now)
	var reached []uint32
	for _, l := range list {
		w := f.byHash[l.WorkerHash]
		if w != nil && l.At.After(w.reportedAt) && f.recordLoad(f.pool(w.Upstream), w, l.InFlight, 0, l.At, now) {
			reached = append(reached, l.WorkerHash)
		}
	}
	return reached
}

// AllowRetry reports whether the retry budget of an upstream allows a retry
// now, and counts it if so.
func (f *Fleet) AllowRetry(upstream string, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pool(upstream).budget.Allow(now)
}
