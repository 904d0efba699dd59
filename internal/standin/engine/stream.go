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

// purgeEvery is the least time between two removals of ended attempts.
const purgeEvery = time.Second

// chat starts an attempt or attaches to one that exists. The answer's header
// is sent when the attempt has a slot, so that a refusal can be stated.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var req Request
	if !standin.ReadJSON(w, r, &req) {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		id = rand.Text()
	}
	after, err := resumePoint(id, r.Header.Get("Last-Event-ID"))
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
		http.Error(w, "no such attempt to resume; send the request under a new attempt", http.StatusNotFound)
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

// resumePoint returns the sequence of the last frame that the client has, -1
// for a request that does not resume.
func resumePoint(attempt, lastEvent string) (int, error) {
	if lastEvent == "" {
		return -1, nil
	}
	i := strings.LastIndexByte(lastEvent, '/')
	if i < 0 || lastEvent[:i] != attempt {
		return 0, fmt.Errorf("Last-Event-ID %q is not of attempt %q", lastEvent, attempt)
	}
	seq, err := strconv.Atoi(lastEvent[i+1:])
	if err != nil || seq < 0 {
		return 0, fmt.Errorf("Last-Event-ID %q has no sequence number", lastEvent)
	}
	return seq, nil
}

// attach finds the attempt or registers a new one, and counts the connection
// as a reader. A request without Last-Event-ID for an attempt that exists
// reads it from the start; it is not run a second time.
func (e *Engine) attach(id string, req Request, r *http.Request, resume bool) (a *attempt, isNew bool, refusal string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.purgeLocked()
	a = e.attempts[id]
	if a != nil {
		e.stats.Resumed++
		a.readers++
		a.streams++
		if a.idle != nil {
			a.idle.Stop()
			a.idle = nil
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
	a = &attempt{id: id, chat: chatOf(req, r), state: stateQueued, readers: 1, streams: 1, changed: make(chan struct{})}
	a.ctx, a.cancel = context.WithCancel(e.ctx)
	e.attempts[id] = a
	return a, true, ""
}

func (e *Engine) refusalLocked(req Request) string {
	if !e.leaving.IsZero() {
		e.stats.NewWhileLeaving++
		e.stats.LastNewWhileLeavingMs = time.Since(e.leaving).Milliseconds()
	}
	switch {
	case e.behavior.Refuse:
		return "the engine takes no requests now"
	case !slices.Contains(e.models, req.Model):
		return fmt.Sprintf("model %q is not loaded", req.Model)
	}
	return ""
}

func chatOf(req Request, r *http.Request) string {
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

// start waits for a slot and starts the generation.
func (e *Engine) start(r *http.Request, a *attempt, req Request) (refusal string) {
	priority, _ := strconv.Atoi(r.Header.Get("X-Priority")) // 0 without the header
	refusal = e.acquire(r.Context(), a.ctx.Done(), priority, deadlineOf(r))
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

// deadlineOf fires after the request's X-Deadline-Ms, never without.
func deadlineOf(r *http.Request) <-chan time.Time {
	ms, err := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	if err != nil {
		return nil
	}
	return time.After(time.Duration(ms) * time.Millisecond)
}

// detach counts the connection off. Without a reader the attempt is cancelled
// after the grace time.
func (e *Engine) detach(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.readers--
	if a.readers == 0 && a.state == stateRunning {
		a.idle = time.AfterFunc(e.s.ResumeGrace, a.cancel)
	}
}

func (e *Engine) purgeLocked() {
	now := time.Now()
	if now.Sub(e.purged) < purgeEvery {
		return
	}
	e.purged = now
	for id, a := range e.attempts {
		if a.readers == 0 && !a.ended.IsZero() && now.Sub(a.ended) > e.s.Retain {
			delete(e.attempts, id)
		}
	}
}

// stream sends the frames after a sequence number until the explicit end. It
// closes the connection without the end when the attempt was cancelled.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a *attempt, after int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Attempt-Id", a.id)
	w.WriteHeader(http.StatusOK)
	out := &frameWriter{w: w, flush: http.NewResponseController(w), done: r.Context().Done(), attempt: a.id, b: e.takeBehavior()}
	if out.flush.Flush() != nil {
		return
	}
	for seq := after; ; {
		frames, state, changed := e.progress(a)
		if seq < frames {
			for seq < frames {
				seq++
				if !out.frame(seq, a.frame(seq)) {
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

func (e *Engine) progress(a *attempt) (frames int, state string, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return a.frames, a.state, a.changed
}
