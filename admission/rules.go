package admission

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant with which the arrival rates decay.
	rateTimeConstant = 10 * time.Second
	// floorRepayTime is the time over which a rank's deficit below its floor is
	// repaid: half of the 10 s in which every rank must get its floor.
	floorRepayTime = 5 * time.Second
	// reserveMissRate is the fraction of urgent requests that may find no free
	// slot. It is slightly below the 1% of requests that lie beyond the p99
	// wait.
	reserveMissRate = 0.008
	// minArrivalRate is the average arrival rate, per second, below which no
	// slot is kept free. A minute after a single request the average has
	// decayed to this rate.
	minArrivalRate = 0.00025
	// Up to minReserve slots may be kept free when there are at least
	// minSlotsForReserve slots. With one reserved slot, every fifth urgent
	// request would find none when urgent requests make up a fifth of the
	// arrivals.
	minReserve         = 2
	minSlotsForReserve = 16
	// slotTimeWeight is the weight of one request in the mean slot time.
	slotTimeWeight = 1.0 / 16
	minRetryAfter  = 100 * time.Millisecond
	maxRetryAfter  = 30 * time.Second
)

// advance accounts for elapsed seconds: it adds the slot time by which a rank
// with waiting requests fell below its floor, and applies decay to the arrival
// rate.
func (r *rankQueue) advance(elapsed, decay float64, slotsInUse int) {
	r.arrivalRate *= decay
	if r.root.queued == 0 {
		r.floorDeficit = 0
		return
	}
	r.floorDeficit = max(0, r.floorDeficit+elapsed*(r.cfg.Floor*float64(slotsInUse)-float64(r.slotsHeld)))
}

// rankBelowFloor returns the index of the rank that has waiting requests, holds
// less than its floor and goes first, -1 if no rank is below its floor. tried
// is a bit set of ranks to skip. The slot that is about to be granted counts as
// in use. The comparison uses the slots held at the moment, not the slot time of a
// past window: requests run longer than the window, so slots granted to correct a
// past share come too late and overshoot (docs/decisions/0001-floors.md).
//
// The most urgent of these ranks goes first, unless another rank has a deficit
// of its whole floor for floorRepayTime: with only a few slots each rank's
// floor is less than one slot, and the most urgent rank would always be below
// its own.
func (s *Scheduler) rankBelowFloor(tried int) int {
	found := -1
	worstDeficit := 1.0
	for i, r := range s.ranks {
		if tried&(1<<i) != 0 || r.root.queued == 0 || r.cfg.Floor <= 0 {
			continue
		}
		floor := r.cfg.Floor * float64(s.slotsInUse+1)
		deficit := r.floorDeficit / floorRepayTime.Seconds()
		if float64(r.slotsHeld) >= floor+deficit {
			continue
		}
		if found < 0 || deficit/floor > worstDeficit {
			found = i
			worstDeficit = max(1, deficit/floor)
		}
	}
	return found
}

// countSlots returns the number of free slots and of all slots of the open
// workers, by the workers' own limits and without the load limit.
func (s *Scheduler) countSlots() (free, total int) {
	for _, w := range s.workers {
		if w.Open {
			free += max(0, w.MaxInFlight-w.load)
			total += w.MaxInFlight
		}
	}
	return free, total
}

// maxReservedSlots returns the largest number of slots that are kept free.
func (s *Scheduler) maxReservedSlots(total int) float64 {
	if s.cfg.MaxReservedShare <= 0 {
		return 0
	}
	reserved := math.Round(s.cfg.MaxReservedShare * float64(total))
	if total >= minSlotsForReserve {
		reserved = max(reserved, minReserve)
	}
	return reserved
}

// reservedSlots returns the number of slots, up to maxReserved, that are kept
// free for requests that arrive at the given rate. A slot taken from the
// reserve is replaced by the next one that is released, so k reserved slots are
// all in use with probability (arrival rate / release rate)^k.
func (s *Scheduler) reservedSlots(arrivalRate float64, total int, maxReserved float64) int {
	if arrivalRate < minArrivalRate || maxReserved == 0 {
		return 0
	}
	ratio := arrivalRate * s.meanSlotTime / float64(total)
	if s.meanSlotTime <= 0 || ratio >= 1 {
		return int(maxReserved)
	}
	return int(min(maxReserved, math.Ceil(math.Log(reserveMissRate)/math.Log(ratio))))
}

// recordSlotTime adds the time for which a slot was in use to the mean.
func (s *Scheduler) recordSlotTime(duration time.Duration) {
	if s.meanSlotTime == 0 {
		s.meanSlotTime = duration.Seconds()
		return
	}
	s.meanSlotTime += slotTimeWeight * (duration.Seconds() - s.meanSlotTime)
}

// deadlineReachable reports whether a new request can be granted by its
// deadline in the best case: only requests that are served before it under
// every rule count as ahead of it. A more pessimistic estimate would refuse
// requests that can be served.
func (s *Scheduler) deadlineReachable(e *entry) bool {
	deadline := e.request.Deadline
	if deadline.IsZero() {
		return true
	}
	if deadline.Before(s.now) {
		return false
	}
	if s.pickWorker(e, s.loadLimit()) != nil {
		return true
	}
	return s.estimateWait(e) <= deadline.Sub(s.now)
}

// estimateWait estimates the shortest time until a new request gets a slot.
func (s *Scheduler) estimateWait(e *entry) time.Duration {
	_, total := s.countSlots()
	if s.meanSlotTime <= 0 || total == 0 {
		return 0
	}
	perSecond := float64(total) / s.meanSlotTime
	leaf := e.rank.flows[flowKey{caller: e.request.Caller, workspace: e.request.Workspace, isWorkspace: true}]
	ownQueue := 1.0
	if leaf != nil {
		ownQueue += float64(leaf.queued)
	}
	ahead := ownQueue
	for _, r := range s.ranks {
		if r == e.rank {
			break
		}
		ahead += float64(r.root.queued)
	}
	seconds := ahead / perSecond
	if e.rank.cfg.Floor > 0 {
		seconds = min(seconds, ownQueue/(perSecond*e.rank.cfg.Floor))
	}
	// The slots in use are released at random times, so the first may be
	// released at any moment.
	return time.Duration((seconds - 1/perSecond) * float64(time.Second))
}

// newRefusal returns the refusal of a request, with the time after which a
// retry could succeed.
func (s *Scheduler) newRefusal(e *entry, reason Reason) Refusal {
	after := min(max(s.estimateWait(e), minRetryAfter), maxRetryAfter)
	return Refusal{RequestID: e.request.ID, Router: e.request.Router, Reason: reason, RetryAfter: after}
}
