package admission

import (
	"math"
	"time"
)

const (
	// rateWindow is the time over which arrivals are averaged.
	rateWindow = 10 * time.Second
	// repayTime spreads what a rank has been short of: half the 10 s in which
	// every rank must have its floor.
	repayTime = 5 * time.Second
	// reserveMiss is the share of urgent requests that may find no free slot,
	// a little below the 1% beyond the p99 wait.
	reserveMiss = 0.008
	// rarest is the average rate of arrivals, per second, below which no slot
	// is kept free: one request has this average a minute later.
	rarest = 0.00025
	// leastReserve slots may be kept free on leastShared slots and more: with
	// one, every fifth urgent request finds none when urgent work makes up a
	// fifth of the arrivals.
	leastReserve = 2
	leastShared  = 16
	// slotTimeWeight is the weight of one request in the mean slot time.
	slotTimeWeight = 1.0 / 16
	shortestRetry  = 100 * time.Millisecond
	longestRetry   = 30 * time.Second
)

// account books elapsed seconds: the slot time that a waiting rank has been
// short of, and the decay of its arrival rate.
func (r *rank) account(elapsed, decay float64, used int) {
	r.arrivals *= decay
	if r.root.queued == 0 {
		r.short = 0
		return
	}
	r.short = max(0, r.short+elapsed*(r.cfg.Floor*float64(used)-float64(r.held)))
}

// belowFloor returns the index of the rank that has waiting work, holds less
// than its floor and goes first, -1 when all have theirs. tried is a bit set of
// ranks to leave out. The slot about to be given counts as in use. Held slots
// decide, not the slot time of a past window: requests run longer than the
// window, so slots given to correct a past share arrive too late and overshoot
// (docs/decisions/0001-floors.md).
//
// The most urgent of these ranks goes first, unless another has been short of
// its whole floor for repayTime: with only a few slots each rank's floor is
// less than one slot, and the most urgent one would always be below its own.
func (s *Scheduler) belowFloor(tried int) int {
	found := -1
	longest := 1.0
	for i, r := range s.ranks {
		if tried&(1<<i) != 0 || r.root.queued == 0 || r.cfg.Floor <= 0 {
			continue
		}
		floor := r.cfg.Floor * float64(s.used+1)
		missed := r.short / repayTime.Seconds()
		if float64(r.held) >= floor+missed {
			continue
		}
		if found < 0 || missed/floor > longest {
			found = i
			longest = max(1, missed/floor)
		}
	}
	return found
}

// slots returns the free and all slots of the open workers by their own limit,
// without the load bound.
func (s *Scheduler) slots() (free, total int) {
	for _, w := range s.workers {
		if w.Open {
			free += max(0, w.MaxInFlight-w.load)
			total += w.MaxInFlight
		}
	}
	return free, total
}

// mostFree is the largest number of slots that are kept free.
func (s *Scheduler) mostFree(total int) float64 {
	if s.cfg.MaxReservedShare <= 0 {
		return 0
	}
	most := math.Round(s.cfg.MaxReservedShare * float64(total))
	if total >= leastShared {
		most = max(most, leastReserve)
	}
	return most
}

// reserve returns the number of slots, up to most, that are kept free for
// requests that arrive at the given rate. A slot taken from the reserve is
// replaced by the next one that ends, so k reserved slots are all in use with
// probability (arrivals/endings)^k.
func (s *Scheduler) reserve(arrivals float64, total int, most float64) int {
	if arrivals < rarest || most == 0 {
		return 0
	}
	ratio := arrivals * s.slotTime / float64(total)
	if s.slotTime <= 0 || ratio >= 1 {
		return int(most)
	}
	return int(min(most, math.Ceil(math.Log(reserveMiss)/math.Log(ratio))))
}

// observe takes the time for which a slot was in use into the mean.
func (s *Scheduler) observe(used time.Duration) {
	if s.slotTime == 0 {
		s.slotTime = used.Seconds()
		return
	}
	s.slotTime += slotTimeWeight * (used.Seconds() - s.slotTime)
}

// reachable reports whether a new request can be granted by its deadline in
// the best case: only requests that are served before it under every rule
// count as ahead. A worse estimate would refuse requests that can be served.
func (s *Scheduler) reachable(e *entry) bool {
	deadline := e.request.Deadline
	if deadline.IsZero() {
		return true
	}
	if deadline.Before(s.clock) {
		return false
	}
	if s.place(e, s.bound()) != nil {
		return true
	}
	return s.wait(e) <= deadline.Sub(s.clock)
}

// wait estimates the shortest time until a slot for a new request.
func (s *Scheduler) wait(e *entry) time.Duration {
	_, total := s.slots()
	if s.slotTime <= 0 || total == 0 {
		return 0
	}
	perSecond := float64(total) / s.slotTime
	leaf := e.rank.flows[flowKey{caller: e.request.Caller, workspace: e.request.Workspace, leaf: true}]
	mine := 1.0
	if leaf != nil {
		mine += float64(leaf.queued)
	}
	ahead := mine
	for _, r := range s.ranks {
		if r == e.rank {
			break
		}
		ahead += float64(r.root.queued)
	}
	seconds := ahead / perSecond
	if e.rank.cfg.Floor > 0 {
		seconds = min(seconds, mine/(perSecond*e.rank.cfg.Floor))
	}
	// The slots in use end at random, so the first may end at any time.
	return time.Duration((seconds - 1/perSecond) * float64(time.Second))
}

// refusal describes the refusal of a request.
func (s *Scheduler) refusal(e *entry, reason Reason) Refusal {
	after := min(max(s.wait(e), shortestRetry), longestRetry)
	return Refusal{RequestID: e.request.ID, Router: e.request.Router, Reason: reason, RetryAfter: after}
}
