package dispatch

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/auburnlead/auburnlead/internal/core"
)

// States of an attempt as reported to other routers. gone is reported by
// plugins/peer only.
const (
	stateActive   = "active"    // may still be sent, is running, or is being recorded
	stateNotSent  = "not_sent"  // has ended and was never sent
	stateEnded    = "ended"     // has ended and may have run
	stateNotKnown = "not_known" // not an attempt of this router, or no longer kept
	stateGone     = "gone"      // the router or its incarnation no longer exists
)

// maxEndedAttempts is the number of ended attempts whose state is kept for
// queries from other routers. A router queries an attempt while its claim in the
// ledger is open, which is a short time unless the platform is down.
const maxEndedAttempts = 8192

// AttemptRegistry tracks this router's active attempts and the final state of
// the most recent ended ones.
type AttemptRegistry struct {
	prefix     string
	lastNumber atomic.Uint64

	mu        sync.Mutex // lock level 50, see internal/core/lockorder.go
	active    map[string]core.Slot
	ended     map[string]string // final states
	endedRing []string          // ring buffer of the keys of ended, oldest at ringNext
	ringNext  int
}

// NewAttemptRegistry returns an empty registry. The router's ID and incarnation
// make the attempts' IDs unique in the fleet.
func NewAttemptRegistry(router string, incarnation uint64) *AttemptRegistry {
	sanitized := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' {
			return r
		}
		return '_'
	}, router)
	return &AttemptRegistry{
		prefix:    sanitized + "." + strconv.FormatUint(incarnation, 36) + ".",
		active:    map[string]core.Slot{},
		ended:     map[string]string{},
		endedRing: make([]string, maxEndedAttempts),
	}
}

// begin returns the ID of a new attempt, which is active until discard or finish
// is called.
func (a *AttemptRegistry) begin() string {
	id := a.prefix + strconv.FormatUint(a.lastNumber.Add(1), 36)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active[id] = core.Slot{}
	return id
}

// setSlot records the slot of an active attempt.
func (a *AttemptRegistry) setSlot(s core.Slot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active[s.Attempt] = s
}

// discard removes an attempt whose state no other router queries.
func (a *AttemptRegistry) discard(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, id)
}

// finish ends an attempt and keeps its final state for queries.
func (a *AttemptRegistry) finish(id, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, id)
	delete(a.ended, a.endedRing[a.ringNext])
	a.endedRing[a.ringNext] = id
	a.ringNext = (a.ringNext + 1) % maxEndedAttempts
	a.ended[id] = state
}

// AttemptState returns active, not_sent, ended or not_known. not_sent is final:
// the attempt will not be sent any more, so another router may run the request.
func (a *AttemptRegistry) AttemptState(id string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.active[id]; ok {
		return stateActive
	}
	if state, ok := a.ended[id]; ok {
		return state
	}
	return stateNotKnown
}

// HeldSlots lists the slots that this router uses on a worker.
func (a *AttemptRegistry) HeldSlots(upstream, worker string) []core.Slot {
	a.mu.Lock()
	defer a.mu.Unlock()
	var held []core.Slot
	for _, s := range a.active {
		if s.Upstream == upstream && s.Worker == worker {
			held = append(held, s)
		}
	}
	return held
}

var _ core.AttemptRegistry = (*AttemptRegistry)(nil)
