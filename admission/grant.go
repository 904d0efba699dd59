package admission

import (
	"math"
	"time"
)

// Advance refuses requests that can no longer be served, reclaims slots whose
// time is over and grants free slots. It is called after every change and by
// the time of NextWake. The callbacks must not call the scheduler.
func (s *Scheduler) Advance(now time.Time, grant func(Grant), refuse func(Refusal)) {
	s.advance(now)
	s.reclaim()
	s.refuseUnservable()
	s.expire(false)
	for s.queued > 0 {
		bound := s.bound()
		if !s.anyRoom(bound) {
			break
		}
		e, w := s.pick(bound)
		if e == nil {
			break
		}
		s.take(e, w)
		grant(e.grant)
	}
	s.expire(true)
	s.deliver(refuse)
}

func (s *Scheduler) deliver(refuse func(Refusal)) {
	for _, refusal := range s.refusals {
		refuse(refusal)
	}
	s.refusals = s.refusals[:0]
}

// bound returns the largest load that an admission may leave on any worker,
// apart from the worker's own limit. Closed workers do not count: otherwise the
// load that they cannot take would hold the others below their share.
func (s *Scheduler) bound() int {
	workers, load := s.othersWorkers, s.othersInFlight
	for _, w := range s.workers {
		if w.Open {
			workers++
			load += w.load
		}
	}
	if workers == 0 {
		return 0
	}
	sure := float64(load) - max(0, s.cfg.RemoteLoadMargin)*float64(s.othersInFlight)
	scaled := math.Floor(s.cfg.LoadBound * sure / float64(workers))
	// The mean with one more, rounded up. A margin here could hold all workers
	// below their capacity for good when every one carries the same load.
	least := (load + workers) / workers
	return max(int(scaled), least)
}

func (w *worker) room(bound int) bool {
	return w.Open && w.load < bound && w.load < w.MaxInFlight
}

func (s *Scheduler) anyRoom(bound int) bool {
	for _, w := range s.workers {
		if w.room(bound) {
			return true
		}
	}
	return false
}

// pick returns the next request to serve and its worker, nil for none.
func (s *Scheduler) pick(bound int) (*entry, *worker) {
	tried := 0 // bit set of ranks
	for {
		r := s.belowFloor(tried)
		if r < 0 {
			break
		}
		e, w := s.pickFrom(s.ranks[r], bound, allCallers)
		if e != nil {
			return e, w
		}
		tried |= 1 << r
	}
	free, total := s.slots()
	most := s.mostFree(total)
	urgent := 0.0 // arrivals of the more urgent ranks
	for i, r := range s.ranks {
		if tried&(1<<i) == 0 && r.root.queued > 0 && free > s.reserve(urgent, total, most) {
			e, w := s.pickFrom(r, bound, withinShare)
			if e != nil {
				return e, w
			}
		}
		urgent += r.arrivals
	}
	return s.pickOver(bound, free, total)
}

// pickOver returns the next request of a caller above its share. These leave
// slots free for the others and for more urgent ranks, twice as many as ranks
// leave: callers within their share make up more of the arrivals than the
// urgent ones do.
func (s *Scheduler) pickOver(bound, free, total int) (*entry, *worker) {
	most := 2 * s.mostFree(total)
	urgent := 0.0
	for _, r := range s.ranks {
		if r.root.queued > 0 && free > s.reserve(max(urgent, s.modest), total, most) {
			e, w := s.pickFrom(r, bound, aboveShare)
			if e != nil {
				return e, w
			}
		}
		urgent += r.arrivals
	}
	return nil, nil
}

// callerSet selects callers by their share of the slots.
type callerSet int

const (
	allCallers callerSet = iota
	withinShare
	aboveShare
)

// pickFrom returns the first request of a rank, in fair order, that some worker
// has room for.
func (s *Scheduler) pickFrom(r *rank, bound int, from callerSet) (*entry, *worker) {
	var best *entry
	var at *worker
	for _, caller := range r.root.backlog {
		if best != nil && !caller.before(best.leaf.parent) {
			continue
		}
		if from != allCallers && s.over(caller, r) != (from == aboveShare) {
			continue
		}
		e, w := s.pickCaller(caller, bound)
		if e != nil {
			best, at = e, w
		}
	}
	return best, at
}

func (s *Scheduler) pickCaller(caller *flow, bound int) (*entry, *worker) {
	var best *entry
	var at *worker
	for _, leaf := range caller.backlog {
		if best != nil && !leaf.before(best.leaf) {
			continue
		}
		for e := leaf.first; e != nil; e = e.next {
			w := s.place(e, bound)
			if w != nil {
				best, at = e, w
				break
			}
		}
	}
	return best, at
}

// place returns the worker for a request: the first acceptable one with room,
// then the least loaded other one if the request allows it.
func (s *Scheduler) place(e *entry, bound int) *worker {
	for _, w := range e.targets {
		if w.room(bound) {
			return w
		}
	}
	if !e.request.AnyWorker {
		return nil
	}
	var least *worker
	for _, w := range s.workers {
		if w.room(bound) && (least == nil || w.load < least.load) {
			least = w
		}
	}
	return least
}

// take books a grant.
func (s *Scheduler) take(e *entry, w *worker) {
	cost := float64(e.request.CostTokens)
	e.leaf.parent.charge(cost)
	e.leaf.charge(cost)
	s.dequeue(e)
	e.granted = s.clock
	e.grant = Grant{
		RequestID: e.request.ID,
		Router:    e.request.Router,
		Worker:    w.ID,
		UseBy:     s.clock.Add(s.cfg.UseWithin),
		ExpiresAt: s.clock.Add(e.rank.cfg.MaxDuration),
	}
	s.hold(e, w)
}

// hold counts a request's slot on a worker.
func (s *Scheduler) hold(e *entry, w *worker) {
	e.worker = w
	e.at = len(w.held)
	w.held = append(w.held, e)
	w.load++
	s.used++
	if e.leaf != nil {
		e.rank.held++
	}
	s.until = earlier(s.until, e.grant.ExpiresAt)
}

// Release gives a slot back. costTokens is the actual cost, which replaces the
// expected one; below zero it is not known and the expected cost stands. It
// reports whether the slot was in use; repeating it is harmless.
func (s *Scheduler) Release(now time.Time, requestID string, costTokens int64) bool {
	s.advance(now)
	e := s.entries[requestID]
	if e == nil || e.worker == nil {
		return false
	}
	if e.leaf != nil {
		s.observe(s.clock.Sub(e.granted))
	}
	s.free(e, costTokens, costTokens >= 0)
	return true
}

// free takes a granted request off its worker.
func (s *Scheduler) free(e *entry, costTokens int64, costKnown bool) {
	w := e.worker
	last := w.held[len(w.held)-1]
	w.held[e.at] = last
	last.at = e.at
	w.held[len(w.held)-1] = nil
	w.held = w.held[:len(w.held)-1]
	w.load--
	s.used--
	if e.leaf != nil {
		difference := 0.0
		if costKnown {
			difference = float64(costTokens - e.request.CostTokens)
		}
		e.leaf.correct(difference)
		e.leaf.parent.correct(difference)
		e.rank.held--
	}
	s.discard(e)
}

// RestoreGrant restores a granted slot after a hand-over. A request that is already
// known and an unknown worker are ignored. The slot belongs to no rank, since
// the hand-over does not name one.
func (s *Scheduler) RestoreGrant(now time.Time, g Grant) {
	s.advance(now)
	w := s.byID[g.Worker]
	if w == nil || s.entries[g.RequestID] != nil {
		return
	}
	e := s.newEntry(Request{ID: g.RequestID, Router: g.Router}, nil)
	e.grant = g
	s.entries[g.RequestID] = e
	s.hold(e, w)
}

// AddUnknownSlots counts n slots of a worker as used until the given time, after
// a take-over from a holder that did not hand over.
func (s *Scheduler) AddUnknownSlots(now time.Time, workerID string, n int, until time.Time) {
	s.advance(now)
	w := s.byID[workerID]
	if w == nil || n <= 0 || !until.After(now) {
		return
	}
	w.unknown = append(w.unknown, unknownSlots{n, until})
	w.load += n
	s.used += n
	s.until = earlier(s.until, until)
}

// HeldGrants lists the slots in use on a worker, without the unknown ones.
func (s *Scheduler) HeldGrants(workerID string) []Grant {
	w := s.byID[workerID]
	if w == nil {
		return nil
	}
	grants := make([]Grant, len(w.held))
	for i, e := range w.held {
		grants[i] = e.grant
	}
	return grants
}

// reclaim frees slots whose time is over.
func (s *Scheduler) reclaim() {
	if s.until.IsZero() || s.clock.Before(s.until) {
		return
	}
	s.until = time.Time{}
	for _, w := range s.workers {
		for i := len(w.held) - 1; i >= 0; i-- {
			if !s.clock.Before(w.held[i].grant.ExpiresAt) {
				s.free(w.held[i], 0, false)
			}
		}
		for _, e := range w.held {
			s.until = earlier(s.until, e.grant.ExpiresAt)
		}
		rest := w.unknown[:0]
		for _, u := range w.unknown {
			if s.clock.Before(u.until) {
				rest = append(rest, u)
				s.until = earlier(s.until, u.until)
				continue
			}
			w.load -= u.count
			s.used -= u.count
		}
		w.unknown = rest
	}
}

// expire refuses waiting requests whose deadline is past, and also those whose
// deadline is now if inclusive. A deadline of now is served before it expires.
func (s *Scheduler) expire(inclusive bool) {
	if s.deadline.IsZero() || s.clock.Before(s.deadline) {
		return
	}
	s.deadline = time.Time{}
	for _, r := range s.ranks {
		for e := range r.waiting {
			deadline := e.request.Deadline
			if deadline.IsZero() || deadline.After(s.clock) || !inclusive && deadline.Equal(s.clock) {
				s.deadline = earlier(s.deadline, deadline)
				continue
			}
			s.batch = append(s.batch, e)
		}
	}
	s.refuseBatch(ReasonExpired)
}

// refuseUnservable refuses requests that have lost their last open worker, so
// that their routers ask elsewhere in time.
func (s *Scheduler) refuseUnservable() {
	if !s.recheck {
		return
	}
	s.recheck = false
	for _, r := range s.ranks {
		for e := range r.waiting {
			if !s.acceptable(e) {
				s.batch = append(s.batch, e)
			}
		}
	}
	s.refuseBatch(ReasonNoWorker)
}

// refuseBatch refuses the requests collected in s.batch.
func (s *Scheduler) refuseBatch(reason Reason) {
	for i, e := range s.batch {
		s.refuseEntry(e, reason)
		s.batch[i] = nil
	}
	s.batch = s.batch[:0]
}
