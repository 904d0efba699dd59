package bench

import (
	"fmt"

	"github.com/auburnlead/auburnlead/admission"
)

// requestSlot sends a slot request to the holder of the next candidate. After the
// last candidate, it asks the first holder for a slot of any of its workers.
func (s *sim) requestSlot(r *request) {
	q := admission.Request{
		Caller: fmt.Sprint("c", r.caller), Weight: 1, Workspace: r.workspace, Rank: rankClasses[r.rank].Name,
		CostTokens: r.prompt - r.reusable + r.output,
	}
	deadline := r.arrivedAt + rankClasses[r.rank].maxWait
	candidateIndex := r.candidateIndex
	if r.candidateIndex >= len(r.candidates) {
		candidateIndex = 0
		q.Workers, q.AnyWorker = r.candidates, true
	} else {
		q.Workers = r.candidates[r.candidateIndex : r.candidateIndex+1]
		wait := s.latency
		if r.candidateIndex == 0 {
			wait += rankClasses[r.rank].preferredWait()
		}
		deadline = min(deadline, s.now+wait)
	}
	q.Deadline = epoch.Add(deadline)
	r.slotRequests++
	r.id = fmt.Sprintf("%d.%d.%d", r.number, r.retries, r.slotRequests)
	q.ID = r.id
	r.holder = s.holderOf[r.candidates[candidateIndex]]
	s.pending[r.id] = r
	view := s.copyView(s.holders[r.router])
	s.schedule(s.latency, func() { s.deliverView(r.holder, view); s.enqueue(r.holder, r, q) })
}

// enqueue handles the arrival of a slot request at a holder.
func (s *sim) enqueue(h *holder, r *request, q admission.Request) {
	h.countWaiting(r, 1)
	if refusal := h.queue.Enqueue(s.wallTime(), q); refusal != nil {
		s.handleRefusal(h, *refusal)
	}
	s.advance(h)
}

// countWaiting counts the waiting requests that accept any worker. A request for a
// certain candidate does not count, because it would not accept another slot.
func (h *holder) countWaiting(r *request, delta int) {
	if r.candidateIndex >= len(r.candidates) {
		h.waiting[r.rank] += delta
	}
}

// advance lets a holder grant slots and schedules its next wake-up.
func (s *sim) advance(h *holder) {
	h.queue.Advance(s.wallTime(), func(g admission.Grant) { s.grant(h, g) }, func(r admission.Refusal) { s.handleRefusal(h, r) })
	next := h.queue.NextWake(s.wallTime())
	if next.IsZero() {
		return
	}
	at := next.Sub(epoch)
	if h.nextWake > s.now && h.nextWake <= at {
		return
	}
	h.nextWake = at
	s.schedule(at-s.now, func() { s.advance(h) })
}

// grant marks the slot as in use and starts the request once the grant has reached
// the router.
func (s *sim) grant(h *holder, g admission.Grant) {
	r := s.pending[g.RequestID]
	delete(s.pending, g.RequestID)
	h.countWaiting(r, -1)
	r.worker = s.engines[g.Worker]
	r.grantedAt = s.now
	s.occupySlot(r.worker)
	s.loadChanged(h)
	view := s.copyView(h)
	s.schedule(s.latency, func() { s.deliverView(s.holders[r.router], view); s.startRequest(r) })
}

// copyView returns a copy of a router's load view for a message, nil if messages do
// not carry load sums.
func (s *sim) copyView(h *holder) []poolLoad {
	if !s.pushSums {
		return nil
	}
	s.updateOwnLoad(h)
	return append([]poolLoad(nil), h.loadView...)
}

// updateOwnLoad updates a router's own load sum in its load view.
func (s *sim) updateOwnLoad(h *holder) {
	own := poolLoad{version: h.loadView[h.index].version + 1}
	for _, w := range h.workers {
		if w.open {
			own.workers++
			own.inFlight += w.running
		}
	}
	h.loadView[h.index] = own
}

// deliverView merges the load sums that came with a message.
func (s *sim) deliverView(h *holder, view []poolLoad) {
	if view != nil {
		s.mergeView(h, view)
	}
}

// handleRefusal makes the router of a refused slot request ask the next candidate,
// or refuse the request if there is none or the longest wait is over.
func (s *sim) handleRefusal(h *holder, refusal admission.Refusal) {
	r := s.pending[refusal.RequestID]
	delete(s.pending, refusal.RequestID)
	h.countWaiting(r, -1)
	view := s.copyView(h)
	s.schedule(s.latency, func() {
		s.deliverView(s.holders[r.router], view)
		r.candidateIndex++
		if r.candidateIndex <= len(r.candidates) && s.now < r.arrivedAt+rankClasses[r.rank].maxWait {
			s.requestSlot(r)
			return
		}
		s.refuseRequest(r, refusal.RetryAfter)
	})
}
