package admission

import "math"

// callerUsage counts the requests of a caller in all ranks.
type callerUsage struct {
	requests int // waiting and granted
	weight   float64
}

// countRequest adds a request to its caller's count.
func (s *Scheduler) countRequest(e *entry) {
	usage := s.callers[e.request.Caller]
	if usage == nil {
		usage = &callerUsage{}
		s.callers[e.request.Caller] = usage
	}
	if usage.requests == 0 {
		usage.weight = e.leaf.parent.weight
		s.totalWeight += usage.weight
	}
	usage.requests++
	e.usage = usage
}

// uncountRequest removes a request from its caller's count.
func (s *Scheduler) uncountRequest(e *entry) {
	if e.usage == nil {
		return
	}
	e.usage.requests--
	if e.usage.requests == 0 {
		s.totalWeight -= e.usage.weight
	}
}

// aboveFairShare reports whether a caller already holds more than its fair
// share of the slots in use through requests of the given or a more urgent rank.
// Its further requests of the rank are then served after all requests of callers
// within their share, even less urgent ones; otherwise one caller could take the
// slots of all others by sending urgent requests. One slot above the rounded-up
// share is allowed, since with only a few slots per caller a random burst already
// exceeds the share.
func (s *Scheduler) aboveFairShare(caller *flow, rank *rankQueue) bool {
	if s.totalWeight <= 0 {
		return false
	}
	held := 0
	for _, r := range s.ranks {
		if f := r.flows[flowKey{caller: caller.key.caller}]; f != nil {
			held += f.inFlight
		}
		if r == rank {
			break
		}
	}
	share := float64(s.slotsInUse+1) * caller.weight / s.totalWeight
	return float64(held) > math.Ceil(share)
}

// evictIdleCallers removes callers without requests.
func (s *Scheduler) evictIdleCallers() {
	for name, usage := range s.callers {
		if usage.requests == 0 {
			delete(s.callers, name)
		}
	}
	if len(s.callers) == 0 {
		s.totalWeight = 0 // removes accumulated rounding errors
	}
}
