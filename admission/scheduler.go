package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	defaultUseWithin        = 2 * time.Second
	defaultMaxReservedShare = 0.05
	defaultRemoteLoadMargin = 0.04
	// evictionInterval is the interval at which idle callers are evicted.
	evictionInterval = 10 * time.Second
)

// Scheduler grants the slots of one upstream's workers whose leases a router
// holds. It is not safe for concurrent use; the holder locks around it.
type Scheduler struct {
	cfg         Config
	ranks       []*rankQueue // most urgent first
	workers     []*worker
	byID        map[string]*worker
	entries     map[string]*entry // waiting and granted requests
	callers     map[string]*callerUsage
	freeEntries *entry // linked list of unused entries

	remoteWorkers  int
	remoteInFlight int

	queued          int
	slotsInUse      int       // on all workers, including unaccounted slots
	now             time.Time // latest time seen
	nextEviction    time.Time
	nextDeadline    time.Time // no waiting request expires before this time; zero for none
	nextExpiry      time.Time // no slot is reclaimed before this time; zero for none
	recheckServable bool      // workers were closed or removed since the last Advance
	withinShareRate float64   // arrivals per second from callers within their fair share
	totalWeight     float64   // sum of the weights of the callers with requests here
	meanSlotTime    float64   // mean seconds from grant to release, 0 if unknown
	refusals        []Refusal // delivered by the next Advance
	toRefuse        []*entry  // scratch list of requests to refuse
}

// worker is a Worker with its load.
type worker struct {
	Worker
	held        []*entry
	unaccounted []unaccountedSlots
	load        int // slots in use: held and unaccounted
}

// unaccountedSlots are slots that are in use by requests that are not known
// here.
type unaccountedSlots struct {
	count     int
	expiresAt time.Time
}

// entry is a waiting or granted request.
type entry struct {
	request   Request
	rank      *rankQueue
	leaf      *flow        // flow of the workspace; nil for a slot restored by RestoreGrant
	usage     *callerUsage // requests of the caller; nil if leaf is nil
	targets   []*worker    // the workers of request.Workers that are known
	previous  *entry       // in the queue of leaf
	next      *entry       // in the queue of leaf, or in freeEntries
	worker    *worker      // nil while waiting
	heldIndex int          // index in worker.held
	grant     Grant
	grantedAt time.Time
}

// New returns a scheduler without workers.
func New(cfg Config) *Scheduler {
	s := &Scheduler{byID: map[string]*worker{}, entries: map[string]*entry{}, callers: map[string]*callerUsage{}}
	s.Configure(time.Time{}, cfg)
	return s
}

// Configure replaces the configuration. Waiting requests of a rank that no
// longer exists are refused with ReasonClosed by the next Advance.
func (s *Scheduler) Configure(now time.Time, cfg Config) {
	s.advance(now)
	if cfg.UseWithin == 0 {
		cfg.UseWithin = defaultUseWithin
	}
	if cfg.MaxReservedShare == 0 {
		cfg.MaxReservedShare = defaultMaxReservedShare
	}
	if cfg.RemoteLoadMargin == 0 {
		cfg.RemoteLoadMargin = defaultRemoteLoadMargin
	}
	s.cfg = cfg
	ranks := make([]*rankQueue, 0, len(cfg.Ranks))
	for _, rc := range cfg.Ranks {
		r := s.rankByName(rc.Name)
		if r == nil || r.cfg.Name != rc.Name {
			r = &rankQueue{flows: map[flowKey]*flow{}}
		}
		r.cfg = rc
		ranks = append(ranks, r)
	}
	slices.SortStableFunc(ranks, func(a, b *rankQueue) int { return cmp.Compare(a.cfg.Priority, b.cfg.Priority) })
	for _, r := range s.ranks {
		if !slices.Contains(ranks, r) {
			s.refuseRank(r, ReasonClosed)
		}
	}
	s.ranks = ranks
}

// rankByName returns the rank with a name, nil if no ranks are configured. A
// name that is not configured gives the least urgent rank, since a router with
// a newer revision may name a rank that this holder learns of seconds later.
func (s *Scheduler) rankByName(name string) *rankQueue {
	for _, r := range s.ranks {
		if r.cfg.Name == name {
			return r
		}
	}
	if len(s.ranks) == 0 {
		return nil
	}
	return s.ranks[len(s.ranks)-1]
}

// SetWorker adds a worker, or changes its limit and whether it is open. Slots
// in use are kept.
func (s *Scheduler) SetWorker(now time.Time, w Worker) {
	s.advance(now)
	known := s.byID[w.ID]
	if known == nil {
		known = &worker{}
		s.byID[w.ID] = known
		s.workers = append(s.workers, known)
		known.Worker = w
		s.resolveTargets()
		return
	}
	s.recheckServable = s.recheckServable || known.Open && !w.Open
	known.Worker = w
}

// RemoveWorker removes a worker and its slots, for example after a handover.
// Requests that accept no other worker are refused by the next Advance.
func (s *Scheduler) RemoveWorker(now time.Time, id string) {
	s.advance(now)
	w := s.byID[id]
	if w == nil {
		return
	}
	for len(w.held) > 0 {
		s.freeSlot(w.held[len(w.held)-1], 0, false)
	}
	s.slotsInUse -= w.load
	delete(s.byID, id)
	s.workers = slices.DeleteFunc(s.workers, func(other *worker) bool { return other == w })
	s.resolveTargets()
	s.recheckServable = true
}

// SetRemoteLoad sets the number and the total load of the upstream's open
// workers in the failure domain whose leases other routers hold. Both enter the
// mean.
func (s *Scheduler) SetRemoteLoad(now time.Time, workers, inFlight int) {
	s.advance(now)
	s.remoteWorkers, s.remoteInFlight = workers, inFlight
}

// Enqueue adds a request to the queue. It returns nil if the request waits;
// Advance then grants or refuses it. A request that is already known is
// ignored. Enqueue returns a refusal if the queue is full, if no open worker is
// acceptable, or if the deadline cannot be met by any order of service.
func (s *Scheduler) Enqueue(now time.Time, request Request) *Refusal {
	s.advance(now)
	if s.entries[request.ID] != nil {
		return nil
	}
	r := s.rankByName(request.Rank)
	if r == nil {
		return &Refusal{RequestID: request.ID, Router: request.Router, Reason: ReasonClosed, RetryAfter: time.Second}
	}
	r.arrivalRate += 1 / rateTimeConstant.Seconds()
	e := s.newEntry(request, r)
	reason := s.refusalReason(e)
	if reason != "" {
		refusal := s.newRefusal(e, reason)
		s.recycle(e)
		return &refusal
	}
	e.leaf = r.workspaceFlow(request.Caller, request.Weight, request.Workspace)
	s.countRequest(e)
	if !s.aboveFairShare(e.leaf.parent, r) {
		s.withinShareRate += 1 / rateTimeConstant.Seconds()
	}
	e.leaf.push(e)
	e.leaf.addWaiting()
	e.leaf.parent.addWaiting()
	r.root.queued++
	s.queued++
	s.entries[request.ID] = e
	s.nextDeadline = earlier(s.nextDeadline, request.Deadline)
	return nil
}

// refusalReason returns the reason to refuse a new request, empty for none. It
// makes room in a full queue if the rules allow it.
func (s *Scheduler) refusalReason(e *entry) Reason {
	if !s.acceptable(e) {
		return ReasonNoWorker
	}
	if !s.deadlineReachable(e) {
		return ReasonExpired
	}
	if e.rank.root.queued >= e.rank.cfg.QueueLimit && !s.displaceNewest(e) {
		return ReasonQueueFull
	}
	return ""
}

// displaceNewest refuses the newest request of the longest queue in favour of e
// and reports whether it did. The longest queue belongs to the caller with the
// most waiting requests relative to its weight and, within the caller, to the
// workspace with the most waiting requests. It must be longer than the queue that
// e joins would be with e.
func (s *Scheduler) displaceNewest(e *entry) bool {
	root := &e.rank.root
	caller := root.longestQueue()
	if caller == nil {
		return false
	}
	own := e.rank.workspaceFlow(e.request.Caller, e.request.Weight, e.request.Workspace)
	defer e.rank.evictIfIdle(own)
	leaf := caller.longestQueue()
	if caller == own.parent && leaf.queued <= own.queued+1 {
		return false
	}
	if caller != own.parent && caller.queuedPerWeight() <= float64(own.parent.queued+1)/own.parent.weight {
		return false
	}
	victim := leaf.tail
	s.refusals = append(s.refusals, s.newRefusal(victim, ReasonQueueFull))
	s.dequeue(victim)
	s.discard(victim)
	return true
}

// Cancel withdraws a waiting request. It ignores requests that are unknown or
// already granted: a granted request ends with Release.
func (s *Scheduler) Cancel(now time.Time, requestID string) {
	s.advance(now)
	e := s.entries[requestID]
	if e == nil || e.worker != nil {
		return
	}
	s.dequeue(e)
	s.discard(e)
}

// RefuseQueued refuses every waiting request with ReasonClosed, for example
// when the slot lease is lost or the router shuts down. Slots in use are kept.
func (s *Scheduler) RefuseQueued(now time.Time, refuse func(Refusal)) {
	s.advance(now)
	for _, r := range s.ranks {
		s.refuseRank(r, ReasonClosed)
	}
	s.deliverRefusals(refuse)
}

// InFlight returns the number of slots in use, including those restored after a
// handover or counted after a takeover.
func (s *Scheduler) InFlight() int { return s.slotsInUse }

// Queued returns the number of waiting requests.
func (s *Scheduler) Queued() int { return s.queued }

// NextWake returns the time by which Advance must be called again even if
// nothing else happens; zero for none.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	if len(s.refusals) > 0 {
		return now
	}
	return earlier(s.nextDeadline, s.nextExpiry)
}

// acceptable reports whether some open worker may serve the request.
func (s *Scheduler) acceptable(e *entry) bool {
	for _, w := range e.targets {
		if w.Open {
			return true
		}
	}
	if !e.request.AnyWorker {
		return false
	}
	for _, w := range s.workers {
		if w.Open {
			return true
		}
	}
	return false
}

// resolveTargets looks up the workers of all waiting requests again.
func (s *Scheduler) resolveTargets() {
	for _, r := range s.ranks {
		for e := range r.waiting {
			s.setTargets(e)
		}
	}
}

func (s *Scheduler) setTargets(e *entry) {
	e.targets = e.targets[:0]
	for _, id := range e.request.Workers {
		if w := s.byID[id]; w != nil {
			e.targets = append(e.targets, w)
		}
	}
}

// waiting iterates over the waiting requests of a rank. They must not be
// changed during the iteration.
func (r *rankQueue) waiting(yield func(*entry) bool) {
	for _, caller := range r.root.backlogged {
		for _, leaf := range caller.backlogged {
			for e := leaf.head; e != nil; e = e.next {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// refuseRank refuses all waiting requests of a rank.
func (s *Scheduler) refuseRank(r *rankQueue, reason Reason) {
	for r.root.queued > 0 {
		s.refuseEntry(r.root.backlogged[0].backlogged[0].head, reason)
	}
}

func (s *Scheduler) refuseEntry(e *entry, reason Reason) {
	s.refusals = append(s.refusals, s.newRefusal(e, reason))
	s.dequeue(e)
	s.discard(e)
}

// dequeue removes a waiting request from its queue.
func (s *Scheduler) dequeue(e *entry) {
	e.leaf.unlink(e)
	e.leaf.removeWaiting()
	e.leaf.parent.removeWaiting()
	e.rank.root.queued--
	s.queued--
}

// discard removes a request that is in no queue.
func (s *Scheduler) discard(e *entry) {
	delete(s.entries, e.request.ID)
	if e.leaf != nil {
		e.rank.evictIfIdle(e.leaf)
		s.uncountRequest(e)
	}
	s.recycle(e)
}

func (s *Scheduler) newEntry(request Request, r *rankQueue) *entry {
	e := s.freeEntries
	if e == nil {
		e = &entry{}
	} else {
		s.freeEntries = e.next
	}
	*e = entry{request: request, rank: r, targets: e.targets}
	s.setTargets(e)
	return e
}

func (s *Scheduler) recycle(e *entry) {
	*e = entry{targets: e.targets[:0], next: s.freeEntries}
	s.freeEntries = e
}

// advance moves the clock forward and updates the time-based averages and
// deficits.
func (s *Scheduler) advance(now time.Time) {
	if !now.After(s.now) {
		return
	}
	elapsed := now.Sub(s.now).Seconds()
	if s.now.IsZero() {
		elapsed = 0
	}
	s.now = now
	decay := math.Exp(-elapsed / rateTimeConstant.Seconds())
	s.withinShareRate *= decay
	for _, r := range s.ranks {
		r.advance(elapsed, decay, s.slotsInUse)
	}
	if now.Before(s.nextEviction) {
		return
	}
	s.nextEviction = now.Add(evictionInterval)
	s.evictIdleCallers()
	for _, r := range s.ranks {
		r.evictIdle()
	}
}

// earlier returns the earlier of two times, where zero stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// Known reports whether a request is waiting or has a slot.
func (s *Scheduler) Known(requestID string) bool { return s.entries[requestID] != nil }
