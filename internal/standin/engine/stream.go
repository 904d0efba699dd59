package engine

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/auburnlead/auburnlead/internal/standin"
)

// purgeInterval is the minimum time between two removals of ended attempts.
const purgeInterval = time.Second

// handleChat starts an attempt or attaches to an existing one. The response header
// is sent only when the attempt has a slot, so that until then the attempt can be
// refused with an error status.
func (e *Engine) handleChat(w http.ResponseWriter, r *http.Request) {
	var req Request
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		id = rand.Text()
	}
	w.Header().Set("X-Attempt-Id", id)
	after, err := resumeSequence(id, r.Header.Get("Last-Event-ID"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, isNew, refusal := e.attach(id, req, r, after >= 0)
	switch {
	case refusal != "":
		standin.Refuse(w, http.StatusServiceUnavailable, refusal)
		return
	case a == nil:
		http.Error(w, "no such attempt to resume; send the request with a new attempt ID", http.StatusNotFound)
		return
	}
	defer e.detach(a)
	if isNew {
		if refusal := e.start(r, a, req); refusal != "" {
			standin.Refuse(w, http.StatusTooManyRequests, refusal)
			return
		}
	}
	e.stream(w, r, a, max(after, 0))
}

// resumeSequence returns the sequence number of the last frame that the client has
// received, or -1 for a request that does not resume.
func resumeSequence(attempt, lastEvent string) (int, error) {
	if lastEvent == "" {
		return -1, nil
	}
	i := strings.LastIndexByte(lastEvent, '/')
	if i < 0 || lastEvent[:i] != attempt {
		return 0, fmt.Errorf("Last-Event-ID %q does not belong to attempt %q", lastEvent, attempt)
	}
	seq, err := strconv.Atoi(lastEvent[i+1:])
	if err != nil || seq < 0 {
		return 0, fmt.Errorf("Last-Event-ID %q has no sequence number", lastEvent)
	}
	return seq, nil
}

// attach finds the attempt or registers a new one, and counts the connection as a
// reader. A request without Last-Event-ID for an existing attempt reads it from
// the start; the attempt is not run again. The result is nil if there is no
// attempt to resume, or if a new attempt is refused with the returned reason.
func (e *Engine) attach(id string, req Request, r *http.Request, resume bool) (a *attempt, isNew bool, refusal string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.purgeLocked()
	a = e.attempts[id]
	if a != nil {
		e.stats.Resumed++
		a.readers++
		a.connections++
		if a.cancelTimer != nil {
			a.cancelTimer.Stop()
			a.cancelTimer = nil
		}
		return a, false, ""
	}
	if resume {
		return nil, false, ""
	}
	if refusal := e.refusalLocked(req); refusal != "" {
		e.stats.Refused++
		return nil, false, refusal
	}
	a = &attempt{id: id, chatID: chatIDOf(req, r), state: stateQueued, readers: 1, connections: 1, changed: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancel(e.ctx)
	e.attempts[id] = a
	return a, true, ""
}

// refusalLocked returns the reason to refuse a new attempt, or "".
func (e *Engine) refusalLocked(req Request) string {
	if !e.leavingSince.IsZero() {
		e.stats.NewWhileLeaving++
		e.stats.LastNewWhileLeavingMs = time.Since(e.leavingSince).Milliseconds()
	}
	switch {
	case e.behavior.Refuse:
		return "the engine accepts no requests now"
	case !slices.Contains(e.models, req.Model):
		return fmt.Sprintf("model %q is not loaded", req.Model)
	}
	return ""
}

// chatIDOf returns the chat ID of a request, or one derived from the first message.
func chatIDOf(req Request, r *http.Request) string {
	if req.ChatID != "" {
		return req.ChatID
	}
	if id := r.Header.Get("X-Chat-Id"); id != "" {
		return id
	}
	if len(req.Messages) > 0 {
		return "first:" + prefixes(req.Model, req.Messages[:1])[0].ID
	}
	return ""
}

// start waits for a slot and starts generating. If no slot is granted, it returns
// the reason.
func (e *Engine) start(r *http.Request, a *attempt, req Request) (refusal string) {
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority")) // 0 without the header
	refusal = e.acquire(r.Context(), a.ctx.Done(), priority, deadlineTimer(r))
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal != "" {
		e.stats.Refused++
		a.cancel()
		a.state = stateCancelled
		delete(e.attempts, a.id)
		a.notifyLocked()
		return refusal
	}
	a.state = stateRunning
	a.runs++
	e.stats.Runs++
	e.wg.Add(1)
	go e.generate(a, req)
	return ""
}

// deadlineTimer returns a channel that fires after the request's X-Deadline-Ms, or
// nil if that is not set.
func deadlineTimer(r *http.Request) <-chan time.Time {
	ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil {
		return nil
	}
	return time.After(time.Duration(ms) * time.Millisecond)
}

// detach records that a connection no longer reads the attempt. A running attempt
// without readers is cancelled after ResumeGrace.
func (e *Engine) detach(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.readers--
	if a.readers == 0 && a.state == stateRunning {
		a.cancelTimer = time.AfterFunc(e.settings.ResumeGrace, a.cancel)
	}
}

// purgeLocked removes attempts that ended more than Retain ago and have no reader,
// at most once per purgeInterval.
func (e *Engine) purgeLocked() {
	now := time.Now()
	if now.Sub(e.lastPurge) < purgeInterval {
		return
	}
	e.lastPurge = now
	for id, a := range e.attempts {
		if a.readers == 0 && !a.ended.IsZero() && now.Sub(a.ended) > e.settings.Retain {
			delete(e.attempts, id)
		}
	}
}

// stream sends the frames after a sequence number up to the end marker. If the
// attempt is cancelled, it closes the connection without an end marker.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Attempt-Id", a.id)
	w.WriteHeader(http.StatusOK)
	out := &frameWriter{w: w, flush: http.NewResponseController(w), clientGone: r.Context().Done(), attempt: a.id, behavior: e.takeBehavior()}
	if out.flush.Flush() != nil {
		return
	}
	for seq := after; ; {
		frames, state, changed := e.progress(a)
		if seq < frames {
			for seq < frames {
				seq++
				if !out.writeFrame(seq, a.frame(seq)) {
					return
				}
			}
			if out.flush.Flush() != nil {
				return
			}
			continue
		}
		if state == stateCancelled {
			standin.Drop()
		}
		if state == stateDone {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// progress returns the number of frames produced so far, the state, and a channel
// that is closed when one of them changes.
func (e *Engine) progress(a *attempt) (frames int, state string, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return a.frameCount, a.state, a.changed
}
