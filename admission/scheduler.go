package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	defaultUseBy   = 2 * time.Second
	defaultReserve = 0.05
	defaultMargin  = 0.04
	// sweepEvery is the interval at which idle callers are forgotten.
	sweepEvery = 10 * time.Second
)

// Scheduler grants the slots of the workers of one upstream that a router
// holds. It is not safe for concurrent use; the holder locks around it.
type Scheduler struct {
	cfg     Config
	ranks   []*rank // most urgent first
	workers []*worker
	byID    map[string]*worker
	entries map[string]*entry // waiting and granted requests
	callers map[string]*account
	spare   *entry // list of unused records

	othersWorkers  int
	othersInFlight int

	queued    int
	used      int       // slots in use on all workers, unknown ones included
	clock     time.Time // latest time seen
	nextSweep time.Time
	deadline  time.Time // no waiting request expires before; zero for none
	until     time.Time // no slot is reclaimed before; zero for none
	recheck   bool      // workers were closed or removed since the last Advance
	modest    float64   // requests per second of callers within their share
	weights   float64   // sum over the callers with requests here
	slotTime  float64   // mean seconds from grant to release, 0 when unknown
	refusals  []Refusal // to be delivered by the next Advance
	batch     []*entry  // scratch list of requests to refuse
}

// worker is a worker with its load.
type worker struct {
	Worker
	held    []*entry
	unknown []unknownSlots
	load    int // slots in use: held and unknown
}

// unknownSlots are slots that are in use by requests not known here.
type unknownSlots struct {
	count int
	until time.Time
}

// entry is a waiting or granted request.
type entry struct {
	request  Request
	rank     *rank
	leaf     *flow     // nil for a slot restored by Occupy
	account  *account  // nil like leaf
	targets  []*worker // the known ones of request.Workers
	previous *entry    // in the leaf's queue
	next     *entry    // in the leaf's queue, or in the list of spare records
	worker   *worker   // nil while waiting
	at       int       // index in worker.held
	grant    Grant
	granted  time.Time
}

// New returns a scheduler without workers.
func New(cfg Config) *Scheduler {
	s := &Scheduler{byID: map[string]*worker{}, entries: map[string]*entry{}, callers: map[string]*account{}}
	s.Configure(time.Time{}, cfg)
	return s
}

// Configure replaces the configuration. Waiting requests of a rank that no
// longer exists are refused by the next Advance with ReasonClosed.
func (s *Scheduler) Configure(now time.Time, cfg Config) {
	s.advance(now)
	if cfg.UseWithin == 0 {
		cfg.UseWithin = defaultUseBy
	}
	if cfg.MaxReservedShare == 0 {
		cfg.MaxReservedShare = defaultReserve
	}
	if cfg.RemoteLoadMargin == 0 {
		cfg.RemoteLoadMargin = defaultMargin
	}
	s.cfg = cfg
	ranks := make([]*rank, 0, len(cfg.Ranks))
	for _, rc := range cfg.Ranks {
		r := s.rank(rc.Name)
		if r == nil || r.cfg.Name != rc.Name {
			r = &rank{flows: map[flowKey]*flow{}}
		}
		r.cfg = rc
		ranks = append(ranks, r)
	}
	slices.SortStableFunc(ranks, func(a, b *rank) int { return cmp.Compare(a.cfg.Priority, b.cfg.Priority) })
	for _, r := range s.ranks {
		if !slices.Contains(ranks, r) {
			s.refuseRank(r, ReasonClosed)
		}
	}
	s.ranks = ranks
}

// rank returns the rank of a name. A name that is not configured gives the
// least urgent rank, since a router with a newer revision may name a rank that
// this holder learns of seconds later. It is nil without ranks.
func (s *Scheduler) rank(name string) *rank {
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

// SetWorker adds a worker or changes its limit and whether it is open. Slots
// in use are kept.
func (s *Scheduler) SetWorker(now time.Time, w Worker) {
	s.advance(now)
	known := s.byID[w.ID]
	if known == nil {
		known = &worker{}
		s.byID[w.ID] = known
		s.workers = append(s.workers, known)
		known.Worker = w
		s.resolve()
		return
	}
	s.recheck = s.recheck || known.Open && !w.Open
	known.Worker = w
}

// RemoveWorker forgets a worker and its slots, for example after a hand-over.
// Requests that accept no other worker are refused by the next Advance.
func (s *Scheduler) RemoveWorker(now time.Time, id string) {
	s.advance(now)
	w := s.byID[id]
	if w == nil {
		return
	}
	for len(w.held) > 0 {
		s.free(w.held[len(w.held)-1], 0, false)
	}
	s.used -= w.load
	delete(s.byID, id)
	s.workers = slices.DeleteFunc(s.workers, func(other *worker) bool { return other == w })
	s.resolve()
	s.recheck = true
}

// SetRemoteLoad tells the load of the open workers of the same upstream and
// failure domain that other routers hold. It enters the mean.
func (s *Scheduler) SetRemoteLoad(now time.Time, workers, inFlight int) {
	s.advance(now)
	s.othersWorkers, s.othersInFlight = workers, inFlight
}

// Enqueue adds a request to the queue. It returns nil when the request waits; it
// is then granted or refused by Advance. A request that is already known is
// ignored. A refusal is returned when the queue is full, when no open worker is
// acceptable, or when the deadline cannot be met by any order of service.
func (s *Scheduler) Enqueue(now time.Time, q Request) *Refusal {
	s.advance(now)
	if s.entries[q.ID] != nil {
		return nil
	}
	r := s.rank(q.Rank)
	if r == nil {
		return &Refusal{RequestID: q.ID, Router: q.Router, Reason: ReasonClosed, RetryAfter: time.Second}
	}
	r.arrivals += 1 / rateWindow.Seconds()
	e := s.newEntry(q, r)
	reason := s.check(e)
	if reason != "" {
		refusal := s.refusal(e, reason)
		s.recycle(e)
		return &refusal
	}
	e.leaf = r.leaf(q.Caller, q.Weight, q.Workspace)
	s.join(e)
	if !s.over(e.leaf.parent, r) {
		s.modest += 1 / rateWindow.Seconds()
	}
	e.leaf.push(e)
	e.leaf.join()
	e.leaf.parent.join()
	r.root.queued++
	s.queued++
	s.entries[q.ID] = e
	s.deadline = earlier(s.deadline, q.Deadline)
	return nil
}

// check returns the reason to refuse a new request, empty for none. It makes
// room in a full queue if the rules allow it.
func (s *Scheduler) check(e *entry) Reason {
	if !s.acceptable(e) {
		return ReasonNoWorker
	}
	if !s.reachable(e) {
		return ReasonExpired
	}
	if e.rank.root.queued >= e.rank.cfg.QueueLimit && !s.displace(e) {
		return ReasonQueueFull
	}
	return ""
}

// displace refuses the newest request of the longest queue in favour of e and
// reports whether it did. The longest queue by caller's weight, and within the
// caller by workspace, must stay longer than the one e joins.
func (s *Scheduler) displace(e *entry) bool {
	root := &e.rank.root
	caller := root.longest()
	if caller == nil {
		return false
	}
	mine := e.rank.leaf(e.request.Caller, e.request.Weight, e.request.Workspace)
	defer e.rank.forget(mine)
	leaf := caller.longest()
	if caller == mine.parent && leaf.queued <= mine.queued+1 {
		return false
	}
	if caller != mine.parent && caller.share() <= float64(mine.parent.queued+1)/mine.parent.weight {
		return false
	}
	victim := leaf.last
	s.refusals = append(s.refusals, s.refusal(victim, ReasonQueueFull))
	s.dequeue(victim)
	s.discard(victim)
	return true
}

// Cancel withdraws a waiting request. A request that is unknown or already
// granted is left alone: the user of a slot ends it with Release.
func (s *Scheduler) Cancel(now time.Time, requestID string) {
	s.advance(now)
	e := s.entries[requestID]
	if e == nil || e.worker != nil {
		return
	}
	s.dequeue(e)
	s.discard(e)
}

// RefuseQueued refuses every waiting request with ReasonClosed, for example when
// the slot lease is lost or the router stops. Slots in use are kept.
func (s *Scheduler) RefuseQueued(now time.Time, refuse func(Refusal)) {
	s.advance(now)
	for _, r := range s.ranks {
		s.refuseRank(r, ReasonClosed)
	}
	s.deliver(refuse)
}

// InFlight returns the number of slots in use, including those restored or
// counted after a take-over.
func (s *Scheduler) InFlight() int { return s.used }

// Queued returns the number of waiting requests.
func (s *Scheduler) Queued() int { return s.queued }

// NextWake returns the time by which Advance must be called again even when
// nothing else happens; zero for none.
func (s *Scheduler) NextWake(now time.Time) time.Time {
	if len(s.refusals) > 0 {
		return now
	}
	return earlier(s.deadline, s.until)
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

// resolve looks up the workers of all waiting requests again.
func (s *Scheduler) resolve() {
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

// waiting yields the waiting requests of a rank. They must not be changed
// meanwhile.
func (r *rank) waiting(yield func(*entry) bool) {
	for _, caller := range r.root.backlog {
		for _, leaf := range caller.backlog {
			for e := leaf.first; e != nil; e = e.next {
				if !yield(e) {
					return
				}
			}
		}
	}
}

// refuseRank refuses all waiting requests of a rank.
func (s *Scheduler) refuseRank(r *rank, reason Reason) {
	for r.root.queued > 0 {
		s.refuseEntry(r.root.backlog[0].backlog[0].first, reason)
	}
}

func (s *Scheduler) refuseEntry(e *entry, reason Reason) {
	s.refusals = append(s.refusals, s.refusal(e, reason))
	s.dequeue(e)
	s.discard(e)
}

// dequeue takes a waiting request out of its queue.
func (s *Scheduler) dequeue(e *entry) {
	e.leaf.unlink(e)
	e.leaf.leave()
	e.leaf.parent.leave()
	e.rank.root.queued--
	s.queued--
}

// discard forgets a request that is in no queue.
func (s *Scheduler) discard(e *entry) {
	delete(s.entries, e.request.ID)
	if e.leaf != nil {
		e.rank.forget(e.leaf)
		s.quit(e)
	}
	s.recycle(e)
}

func (s *Scheduler) newEntry(q Request, r *rank) *entry {
	e := s.spare
	if e == nil {
		e = &entry{}
	} else {
		s.spare = e.next
	}
	*e = entry{request: q, rank: r, targets: e.targets}
	s.setTargets(e)
	return e
}

func (s *Scheduler) recycle(e *entry) {
	*e = entry{targets: e.targets[:0], next: s.spare}
	s.spare = e
}

// advance moves the clock and books the time that has passed.
func (s *Scheduler) advance(now time.Time) {
	if !now.After(s.clock) {
		return
	}
	elapsed := now.Sub(s.clock).Seconds()
	if s.clock.IsZero() {
		elapsed = 0
	}
	s.clock = now
	decay := math.Exp(-elapsed / rateWindow.Seconds())
	s.modest *= decay
	for _, r := range s.ranks {
		r.account(elapsed, decay, s.used)
	}
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(sweepEvery)
	s.sweepAccounts()
	for _, r := range s.ranks {
		r.sweep()
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
