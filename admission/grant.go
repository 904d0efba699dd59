package admission

import (
	"math"
	"time"
)

// Advance refuses requests that can no longer be served, reclaims expired slots
// and grants free slots. It must be called after every change, and by the time
// that NextWake returns. The callbacks must not call the scheduler.
func (s *Scheduler) Advance(now time.Time, grant func(Grant), refuse func(Refusal)) {
	s.advance(now)
	s.reclaimExpired()
	s.refuseUnservable()
	s.refuseExpired(false)
	for s.queued > 0 {
		limit := s.loadLimit()
		if !s.anyWorkerHasRoom(limit) {
			break
		}
		e, w := s.pickNext(limit)
		if e == nil {
			break
		}
		s.grantSlot(e, w)
		grant(e.grant)
	}
	s.refuseExpired(true)
	s.deliverRefusals(refuse)
}

func (s *Scheduler) deliverRefusals(refuse func(Refusal)) {
	for _, refusal := range s.refusals {
		refuse(refusal)
	}
	s.refusals = s.refusals[:0]
}

// loadLimit returns the largest load that a worker may have after a grant, as
// derived from the mean load. The worker's own MaxInFlight applies in addition.
// Closed workers do not count: they cannot take load, and counting them would
// hold the other workers below their share.
func (s *Scheduler) loadLimit() int {
	workers, load := s.remoteWorkers, s.remoteInFlight
	for _, w := range s.workers {
		if w.Open {
			workers++
			load += w.load
		}
	}
	if workers == 0 {
		return 0
	}
	discounted := float64(load) - max(0, s.cfg.RemoteLoadMargin)*float64(s.remoteInFlight)
	scaled := math.Floor(s.cfg.LoadBound * discounted / float64(workers))
	// The mean load with one more request, rounded up. Applying RemoteLoadMargin
	// here as well could keep all workers below their capacity permanently when
	// their loads are equal.
	minLimit := (load + workers) / workers
	return max(int(scaled), minLimit)
}

func (w *worker) hasRoom(limit int) bool {
	return w.Open && w.load < limit && w.load < w.MaxInFlight
}

func (s *Scheduler) anyWorkerHasRoom(limit int) bool {
	for _, w := range s.workers {
		if w.hasRoom(limit) {
			return true
		}
	}
	return false
}

// pickNext returns the next request to serve and its worker, nil for none. Ranks
// below their floor come first, then callers within their fair share by priority,
// then callers above it.
func (s *Scheduler) pickNext(limit int) (*entry, *worker) {
	tried := 0 // bit set of rank indexes
	for {
		r := s.rankBelowFloor(tried)
		if r < 0 {
			break
		}
		e, w := s.pickFromRank(s.ranks[r], limit, allCallers)
		if e != nil {
			return e, w
		}
		tried |= 1 << r
	}
	free, total := s.countSlots()
	maxReserved := s.maxReservedSlots(total)
	urgentRate := 0.0 // arrival rate of the more urgent ranks
	for i, r := range s.ranks {
		if tried&(1<<i) == 0 && r.root.queued > 0 && free > s.reservedSlots(urgentRate, total, maxReserved) {
			e, w := s.pickFromRank(r, limit, withinShare)
			if e != nil {
				return e, w
			}
		}
		urgentRate += r.arrivalRate
	}
	return s.pickAboveShare(limit, free, total)
}

// pickAboveShare returns the next request of a caller above its fair share.
// Such callers leave slots free for callers within their share and for more
// urgent ranks. They leave up to twice as many as a rank leaves for more urgent
// ranks, since more requests arrive from callers within their share than in urgent
// ranks.
func (s *Scheduler) pickAboveShare(limit, free, total int) (*entry, *worker) {
	maxReserved := 2 * s.maxReservedSlots(total)
	urgentRate := 0.0
	for _, r := range s.ranks {
		if r.root.queued > 0 && free > s.reservedSlots(max(urgentRate, s.withinShareRate), total, maxReserved) {
			e, w := s.pickFromRank(r, limit, aboveShare)
			if e != nil {
				return e, w
			}
		}
		urgentRate += r.arrivalRate
	}
	return nil, nil
}

// callerSet selects callers by their fair share of the slots.
type callerSet int

const (
	allCallers callerSet = iota
	withinShare
	aboveShare
)

// pickFromRank returns the first request of a rank, in fair order, that some
// worker has room for, and that worker.
func (s *Scheduler) pickFromRank(r *rankQueue, limit int, callers callerSet) (*entry, *worker) {
	var best *entry
	var target *worker
	for _, caller := range r.root.backlogged {
		if best != nil && !caller.servedBefore(best.leaf.parent) {
			continue
		}
		if callers != allCallers && s.aboveFairShare(caller, r) != (callers == aboveShare) {
			continue
		}
		e, w := s.pickFromCaller(caller, limit)
		if e != nil {
			best, target = e, w
		}
	}
	return best, target
}

func (s *Scheduler) pickFromCaller(caller *flow, limit int) (*entry, *worker) {
	var best *entry
	var target *worker
	for _, leaf := range caller.backlogged {
		if best != nil && !leaf.servedBefore(best.leaf) {
			continue
		}
		for e := leaf.head; e != nil; e = e.next {
			w := s.pickWorker(e, limit)
			if w != nil {
				best, target = e, w
				break
			}
		}
	}
	return best, target
}

// pickWorker returns the worker for a request: the first acceptable one with
// room, or else the least loaded other one if the request allows it.
func (s *Scheduler) pickWorker(e *entry, limit int) *worker {
	for _, w := range e.targets {
		if w.hasRoom(limit) {
			return w
		}
	}
	if !e.request.AnyWorker {
		return nil
	}
	var leastLoaded *worker
	for _, w := range s.workers {
		if w.hasRoom(limit) && (leastLoaded == nil || w.load < leastLoaded.load) {
			leastLoaded = w
		}
	}
	return leastLoaded
}

// grantSlot moves a waiting request to a slot of a worker and charges its cost.
func (s *Scheduler) grantSlot(e *entry, w *worker) {
	cost := float64(e.request.CostTokens)
	e.leaf.parent.charge(cost)
	e.leaf.charge(cost)
	s.dequeue(e)
	e.grantedAt = s.now
	e.grant = Grant{
		RequestID: e.request.ID,
		Router:    e.request.Router,
		Worker:    w.ID,
		UseBy:     s.now.Add(s.cfg.UseWithin),
		ExpiresAt: s.now.Add(e.rank.cfg.MaxDuration),
	}
	s.occupySlot(e, w)
}

// occupySlot counts a request's slot on a worker.
func (s *Scheduler) occupySlot(e *entry, w *worker) {
	e.worker = w
	e.heldIndex = len(w.held)
	w.held = append(w.held, e)
	w.load++
	s.slotsInUse++
	if e.leaf != nil {
		e.rank.slotsHeld++
	}
	s.nextExpiry = earlier(s.nextExpiry, e.grant.ExpiresAt)
}

// Release frees a slot. costTokens is the actual cost, which replaces the
// expected one; if it is negative, the actual cost is unknown and the expected
// cost stands. Release reports whether the slot was in use; calling it again is
// harmless.
func (s *Scheduler) Release(now time.Time, requestID string, costTokens int64) bool {
	s.advance(now)
	e := s.entries[requestID]
	if e == nil || e.worker == nil {
		return false
	}
	if e.leaf != nil {
		s.recordSlotTime(s.now.Sub(e.grantedAt))
	}
	s.freeSlot(e, costTokens, costTokens >= 0)
	return true
}

// freeSlot frees the slot of a granted request and corrects its cost if the
// actual cost is known.
func (s *Scheduler) freeSlot(e *entry, costTokens int64, costKnown bool) {
	w := e.worker
	last := w.held[len(w.held)-1]
	w.held[e.heldIndex] = last
	last.heldIndex = e.heldIndex
	w.held[len(w.held)-1] = nil
	w.held = w.held[:len(w.held)-1]
	w.load--
	s.slotsInUse--
	if e.leaf != nil {
		difference := 0.0
		if costKnown {
			difference = float64(costTokens - e.request.CostTokens)
		}
		e.leaf.correctCost(difference)
		e.leaf.parent.correctCost(difference)
		e.rank.slotsHeld--
	}
	s.discard(e)
}

// RestoreGrant restores a granted slot after a handover. Requests that are
// already known and unknown workers are ignored. The slot counts for no rank and
// no caller, since a handover names neither.
func (s *Scheduler) RestoreGrant(now time.Time, g Grant) {
	s.advance(now)
	w := s.byID[g.Worker]
	if w == nil || s.entries[g.RequestID] != nil {
		return
	}
	e := s.newEntry(Request{ID: g.RequestID, Router: g.Router}, nil)
	e.grant = g
	s.entries[g.RequestID] = e
	s.occupySlot(e, w)
}

// AddUnaccountedSlots counts n slots of a worker as in use until the given time,
// after a takeover from a holder that did not hand over.
func (s *Scheduler) AddUnaccountedSlots(now time.Time, workerID string, n int, until time.Time) {
	s.advance(now)
	w := s.byID[workerID]
	if w == nil || n <= 0 || !until.After(now) {
		return
	}
	w.unaccounted = append(w.unaccounted, unaccountedSlots{n, until})
	w.load += n
	s.slotsInUse += n
	s.nextExpiry = earlier(s.nextExpiry, until)
}

// HeldGrants lists the grants of the slots in use on a worker, without the
// unaccounted slots.
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

// reclaimExpired frees slots whose grant has expired.
func (s *Scheduler) reclaimExpired() {
	if s.nextExpiry.IsZero() || s.now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = time.Time{}
	for _, w := range s.workers {
		for i := len(w.held) - 1; i >= 0; i-- {
			if !s.now.Before(w.held[i].grant.ExpiresAt) {
				s.freeSlot(w.held[i], 0, false)
			}
		}
		for _, e := range w.held {
			s.nextExpiry = earlier(s.nextExpiry, e.grant.ExpiresAt)
		}
		remaining := w.unaccounted[:0]
		for _, u := range w.unaccounted {
			if s.now.Before(u.expiresAt) {
				remaining = append(remaining, u)
				s.nextExpiry = earlier(s.nextExpiry, u.expiresAt)
				continue
			}
			w.load -= u.count
			s.slotsInUse -= u.count
		}
		w.unaccounted = remaining
	}
}

// refuseExpired refuses waiting requests whose deadline has passed and, if
// inclusive, those whose deadline is now. Requests with a deadline of now are
// first offered a slot.
func (s *Scheduler) refuseExpired(inclusive bool) {
	if s.nextDeadline.IsZero() || s.now.Before(s.nextDeadline) {
		return
	}
	s.nextDeadline = time.Time{}
	for _, r := range s.ranks {
		for e := range r.waiting {
			deadline := e.request.Deadline
			if deadline.IsZero() || deadline.After(s.now) || !inclusive && deadline.Equal(s.now) {
				s.nextDeadline = earlier(s.nextDeadline, deadline)
				continue
			}
			s.toRefuse = append(s.toRefuse, e)
		}
	}
	s.refuseCollected(ReasonExpired)
}

// refuseUnservable refuses requests whose last open worker was closed or removed,
// so that their routers can ask another holder in time.
func (s *Scheduler) refuseUnservable() {
	if !s.recheckServable {
		return
	}
	s.recheckServable = false
	for _, r := range s.ranks {
		for e := range r.waiting {
			if !s.acceptable(e) {
				s.toRefuse = append(s.toRefuse, e)
			}
		}
	}
	s.refuseCollected(ReasonNoWorker)
}

// refuseCollected refuses the requests collected in s.toRefuse.
func (s *Scheduler) refuseCollected(reason Reason) {
	for i, e := range s.toRefuse {
		s.refuseEntry(e, reason)
		s.toRefuse[i] = nil
	}
	s.toRefuse = s.toRefuse[:0]
}
