package bench

import (
	"fmt"

	"github.com/auburnlead/auburnlead/admission"
)

// ask sends a request to the holder of its next candidate.
func (s *sim) ask(r *request) {
	q := admission.Request{
		Caller: fmt.Sprint("c", r.caller), Weight: 1, Workspace: r.workspace, Rank: rankClasses[r.rank].Name,
		CostTokens: r.prompt - r.reusable + r.output,
	}
	deadline := r.asked + rankClasses[r.rank].patient
	at := r.hop
	if r.hop >= len(r.choices) {
		at = 0
		q.Workers, q.AnyWorker = r.choices, true
	} else {
		q.Workers = r.choices[r.hop : r.hop+1]
		wait := s.latency
		if r.hop == 0 {
			wait += rankClasses[r.rank].homeWait()
		}
		deadline = min(deadline, s.now+wait)
	}
	q.Deadline = epoch.Add(deadline)
	r.try++
	r.id = fmt.Sprintf("%d.%d.%d", r.number, r.retry, r.try)
	q.ID = r.id
	r.holder = s.holder[r.choices[at]]
	s.pending[r.id] = r
	view := s.viewOf(s.holders[r.router])
	s.after(s.latency, func() { s.carry(r.holder, view); s.offer(r.holder, r, q) })
}

// offer is the arrival of a request at a holder.
func (s *sim) offer(h *holder, r *request, q admission.Request) {
	h.note(r, 1)
	if refusal := h.queue.Enqueue(s.wall(), q); refusal != nil {
		s.turnedAway(h, *refusal)
	}
	s.advance(h)
}

// note counts waiting work. A request that still waits for the one worker with
// its cache does not count: it would not take another slot.
func (h *holder) note(r *request, change int) {
	if r.hop >= len(r.choices) {
		h.waiting[r.rank] += change
	}
}

// advance lets a holder decide and schedules its next wake-up.
func (s *sim) advance(h *holder) {
	h.queue.Advance(s.wall(), func(g admission.Grant) { s.grant(h, g) }, func(r admission.Refusal) { s.turnedAway(h, r) })
	next := h.queue.NextWake(s.wall())
	if next.IsZero() {
		return
	}
	at := next.Sub(epoch)
	if h.wake > s.now && h.wake <= at {
		return
	}
	h.wake = at
	s.after(at-s.now, func() { s.advance(h) })
}

func (s *sim) grant(h *holder, g admission.Grant) {
	r := s.pending[g.RequestID]
	delete(s.pending, g.RequestID)
	h.note(r, -1)
	r.worker = s.engines[g.Worker]
	r.granted = s.now
	s.occupied(r.worker)
	s.changed(h)
	view := s.viewOf(h)
	s.after(s.latency, func() { s.carry(s.holders[r.router], view); s.start(r) })
}

// viewOf returns a copy of what a router knows of all loads, nil when messages
// do not carry it.
func (s *sim) viewOf(h *holder) []poolView {
	if !s.sums {
		return nil
	}
	s.refresh(h)
	return append([]poolView(nil), h.view...)
}

// refresh brings a router's own entry of its view up to date.
func (s *sim) refresh(h *holder) {
	own := poolView{version: h.view[h.index].version + 1}
	for _, w := range h.workers {
		if w.open {
			own.workers++
			own.inFlight += w.running
		}
	}
	h.view[h.index] = own
}

// carry delivers the loads that came with a message.
func (s *sim) carry(h *holder, view []poolView) {
	if view != nil {
		s.learn(h, view)
	}
}

// turnedAway sends the router of a refused request to the next candidate.
func (s *sim) turnedAway(h *holder, refusal admission.Refusal) {
	r := s.pending[refusal.RequestID]
	delete(s.pending, refusal.RequestID)
	h.note(r, -1)
	view := s.viewOf(h)
	s.after(s.latency, func() {
		s.carry(s.holders[r.router], view)
		r.hop++
		if r.hop <= len(r.choices) && s.now < r.asked+rankClasses[r.rank].patient {
			s.ask(r)
			return
		}
		s.refuse(r, refusal.RetryAfter)
	})
}
