package admission

import "math"

// account counts the requests of a caller in all ranks.
type account struct {
	requests int // waiting and granted
	weight   float64
}

// join counts a request of its caller.
func (s *Scheduler) join(e *entry) {
	a := s.callers[e.request.Caller]
	if a == nil {
		a = &account{}
		s.callers[e.request.Caller] = a
	}
	if a.requests == 0 {
		a.weight = e.leaf.parent.weight
		s.weights += a.weight
	}
	a.requests++
	e.account = a
}

// quit ends the counting of a request.
func (s *Scheduler) quit(e *entry) {
	if e.account == nil {
		return
	}
	e.account.requests--
	if e.account.requests == 0 {
		s.weights -= e.account.weight
	}
}

// over reports whether a caller already holds more than its fair share of the
// slots in use through requests of this or a more urgent rank. Its further
// requests of this rank are served after those of callers within their share,
// whatever their rank; otherwise one caller could take the slots of all others
// by sending urgent work. One slot above the rounded share is allowed, since
// with a few slots for each caller chance alone exceeds the share.
func (s *Scheduler) over(caller *flow, upTo *rank) bool {
	if s.weights <= 0 {
		return false
	}
	held := 0
	for _, r := range s.ranks {
		if f := r.flows[flowKey{caller: caller.key.caller}]; f != nil {
			held += f.inFlight
		}
		if r == upTo {
			break
		}
	}
	share := float64(s.used+1) * caller.weight / s.weights
	return float64(held) > math.Ceil(share)
}

// sweepAccounts forgets callers without requests.
func (s *Scheduler) sweepAccounts() {
	for name, a := range s.callers {
		if a.requests == 0 {
			delete(s.callers, name)
		}
	}
	if len(s.callers) == 0 {
		s.weights = 0 // drops what rounding has left
	}
}
