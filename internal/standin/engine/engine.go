package engine

import (
	"container/heap"
	"context"
	"slices"
	"sync"
	"time"
)

// Engine is a stand-in for a model engine.
type Engine struct {
	settings Settings
	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	mu           sync.Mutex // protects the fields below and those of the attempts; no lock is acquired while it is held
	attempts     map[string]*attempt
	running      int
	queue        waiters
	arrivals     uint64 // number of slot requests so far
	cache        *cache
	models       []string
	role         string
	fencingToken uint64
	orders       []Order
	behavior     Behavior
	leavingSince time.Time // zero if the engine is not leaving
	lastPurge    time.Time // time of the last removal of ended attempts
	stats        Stats
	chats        map[string]*ChatStats
}

// Stats is the response to GET /standin/stats.
type Stats struct {
	ID          string `json:"id"`
	Runs        int    `json:"runs"` // attempts that were started
	InFlight    int    `json:"in_flight"`
	MaxInFlight int    `json:"max_in_flight"` // running and queued
	MaxRunning  int    `json:"max_running"`
	MaxQueued   int    `json:"max_queued"`
	// New attempts that were received while the engine was leaving, and the time
	// from the moment it set leaving to the last of them.
	NewWhileLeaving       int                     `json:"new_while_leaving"`
	LastNewWhileLeavingMs int64                   `json:"last_new_while_leaving_ms"`
	Refused               int                     `json:"refused"`
	Cancelled             int                     `json:"cancelled"`
	Resumed               int                     `json:"resumed"`
	Attempts              map[string]AttemptStats `json:"attempts"`
	Chats                 map[string]ChatStats    `json:"chats"`
	Orders                []Order                 `json:"orders"`
}

// AttemptStats are the counts of one attempt.
type AttemptStats struct {
	Runs    int    `json:"runs"`
	Streams int    `json:"streams"` // connections that requested it
	Chat    string `json:"chat,omitempty"`
	Frames  int    `json:"frames"`
	State   string `json:"state"` // queued, running, done or cancelled
}

// ChatStats are the counts of one chat.
type ChatStats struct {
	Runs         int `json:"runs"`
	PromptTokens int `json:"prompt_tokens"`
	CachedTokens int `json:"cached_tokens"`
}

// New returns an engine, which must be closed to stop generating.
func New(s Settings) *Engine {
	s = s.withDefaults()
	e := &Engine{
		settings: s,
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

// Close cancels all attempts and waits until their generation has ended.
func (e *Engine) Close() {
	e.cancel()
	e.wg.Wait()
}

// Stats returns a copy of the current counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := e.stats
	st.InFlight = e.running + len(e.queue)
	st.Attempts = make(map[string]AttemptStats, len(e.attempts))
	for id, a := range e.attempts {
		st.Attempts[id] = AttemptStats{a.runs, a.connections, a.chatID, a.frameCount, a.state}
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
	ready    chan struct{} // closed when the slot is granted
	index    int           // in the heap, -1 once the slot is granted
}

// waiters is a heap ordered by priority, then by arrival.
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

// acquire waits for a slot. If it returns a refusal, which states the reason, no
// slot was acquired.
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
		e.releaseLocked() // the slot was granted at the same moment
	}
	return refusal
}

// enqueue grants a free slot immediately or adds the attempt to the queue. If the
// queue is full, it returns nil and the reason.
func (e *Engine) enqueue(priority int) (*waiter, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals++
	w := &waiter{priority: priority, arrival: e.arrivals, ready: make(chan struct{}), index: -1}
	switch {
	case e.running < e.settings.Slots:
		e.grantLocked(w)
	case len(e.queue) >= e.settings.QueueLimit:
		return nil, "the queue is full"
	default:
		heap.Push(&e.queue, w)
		e.stats.MaxQueued = max(e.stats.MaxQueued, len(e.queue))
	}
	e.stats.MaxInFlight = max(e.stats.MaxInFlight, e.running+len(e.queue))
	return w, ""
}

// grantLocked gives a free slot to a waiter.
func (e *Engine) grantLocked(w *waiter) {
	e.running++
	e.stats.MaxRunning = max(e.stats.MaxRunning, e.running)
	close(w.ready)
}

// releaseLocked frees a slot and grants it to the next waiter.
func (e *Engine) releaseLocked() {
	e.running--
	if len(e.queue) > 0 && e.running < e.settings.Slots {
		e.grantLocked(heap.Pop(&e.queue).(*waiter))
	}
}
