package engine

import (
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"
)

// Engine is the stand-in.
type Engine struct {
	s      Settings
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex // leaf lock, also protects the attempts' fields
	attempts map[string]*attempt
	running  int
	queue    waiters
	arrivals uint64
	cache    *cache
	models   []string
	role     string
	fencing  uint64
	orders   []Order
	behavior Behavior
	leaving  time.Time // start of leaving
	purged   time.Time // when ended attempts were last removed
	stats    Stats
	chats    map[string]*ChatStats
}

// Stats is the answer to GET /standin/stats.
type Stats struct {
	ID          string `json:"id"`
	Runs        int    `json:"runs"` // attempts that were started
	InFlight    int    `json:"in_flight"`
	MaxInFlight int    `json:"max_in_flight"` // running and queued
	MaxRunning  int    `json:"max_running"`
	MaxQueued   int    `json:"max_queued"`
	// New attempts that came while the engine was leaving, and the time from
	// the start of leaving to the last of them.
	NewWhileLeaving       int                     `json:"new_while_leaving"`
	LastNewWhileLeavingMs int64                   `json:"last_new_while_leaving_ms"`
	Refused               int                     `json:"refused"`
	Cancelled             int                     `json:"cancelled"`
	Resumed               int                     `json:"resumed"`
	Attempts              map[string]AttemptStats `json:"attempts"`
	Chats                 map[string]ChatStats    `json:"chats"`
	Orders                []Order                 `json:"orders"`
}

// AttemptStats is what the engine did for one attempt.
type AttemptStats struct {
	Runs    int    `json:"runs"`
	Streams int    `json:"streams"` // connections that asked for it
	Chat    string `json:"chat,omitempty"`
	Frames  int    `json:"frames"`
	State   string `json:"state"` // queued, running, done or cancelled
}

// ChatStats is what the engine did for one chat.
type ChatStats struct {
	Runs         int `json:"runs"`
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
}

// New returns an engine. Close it to end the generation of its attempts.
func New(s Settings) *Engine {
	s = s.withDefaults()
	e := &Engine{
		s:        s,
		attempts: map[string]*attempt{},
		cache:    newCache(s.CacheTokens),
		models:   slices.Clone(s.Models),
		role:     "serve",
		chats:    map[string]*ChatStats{},
		stats:    Stats{ID: s.ID},
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return e
}

// Close ends the generation of all attempts and waits for it.
func (e *Engine) Close() {
	e.cancel()
	e.wg.Wait()
}

// Stats returns a copy of the counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.stats
	st.InFlight = e.running + len(e.queue)
	st.Attempts = make(map[string]AttemptStats, len(e.attempts))
	for id, a := range e.attempts {
		st.Attempts[id] = AttemptStats{a.runs, a.streams, a.chat, a.frames, a.state}
	}
	st.Chats = make(map[string]ChatStats, len(e.chats))
	for id, c := range e.chats {
		st.Chats[id] = *c
	}
	st.Orders = slices.Clone(e.orders)
	return st
}

// waiter is an attempt that waits for a slot.
type waiter struct {
	priority int
	arrival  uint64
	ready    chan struct{} // closed when the slot is given
	index    int           // in the heap, -1 when the slot is given
}

// waiters is a heap: the most urgent first, then the earliest.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }
func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waiters) Pop() any {
	old := *q
	w := old[len(old)-1]
	w.index = -1
	*q = old[:len(old)-1]
	return w
}

// acquire waits for a slot. A refusal names its reason; the attempt has then
// not been started.
func (e *Engine) acquire(ctx context.Context, cancelled <-chan struct{}, priority int, deadline <-chan time.Time) (refusal string) {
	w, refusal := e.enqueue(priority)
	if w == nil {
		return refusal
	}
	select {
	case <-w.ready:
		return ""
	case <-ctx.Done():
		refusal = "the request was given up while it waited"
	case <-cancelled:
		refusal = "the request was cancelled while it waited"
	case <-deadline:
		refusal = "the deadline passed while the request waited"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&e.queue, w.index)
	} else {
		e.releaseLocked() // the slot was given at the same moment
	}
	return refusal
}

// enqueue gives a slot at once or a place in the queue; without either it
// returns nil and the reason.
func (e *Engine) enqueue(priority int) (*waiter, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	w := &waiter{priority: priority, arrival: e.arrivals, ready: make(chan struct{}), index: -1}
	switch {
	case e.running < e.s.Slots:
		e.startLocked(w)
	case len(e.queue) >= e.s.QueueLimit:
		return nil, "the queue is full"
	default:
		heap.Push(&e.queue, w)
		e.stats.MaxQueued = max(e.stats.MaxQueued, len(e.queue))
	}
	e.stats.MaxInFlight = max(e.stats.MaxInFlight, e.running+len(e.queue))
	return w, ""
}

func (e *Engine) startLocked(w *waiter) {
	e.running++
	e.stats.MaxRunning = max(e.stats.MaxRunning, e.running)
	close(w.ready)
}

func (e *Engine) releaseLocked() {
	e.running--
	if len(e.queue) > 0 && e.running < e.s.Slots {
		e.startLocked(heap.Pop(&e.queue).(*waiter))
	}
}
