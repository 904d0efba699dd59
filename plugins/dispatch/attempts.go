package dispatch

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/auburnlead/auburnlead/internal/core"
)

// States of an attempt as told to other routers. plugins/peer adds gone.
const (
	stateActive   = "active"    // may still be sent, runs, or is being recorded
	stateNotSent  = "not_sent"  // has ended and was never sent
	stateEnded    = "ended"     // has ended and may have run
	stateNotKnown = "not_known" // no attempt of this router, or forgotten
	stateGone     = "gone"      // the router or its incarnation is gone
)

// keptEnds is the number of ended attempts whose state is kept for routers
// that ask. A router asks while a claim in the ledger is open, which is short
// unless the platform is down.
const keptEnds = 8192

// AttemptRegistry records this router's attempts.
type AttemptRegistry struct {
	prefix string
	next   atomic.Uint64

	mu     sync.Mutex // level 50
	active map[string]core.Slot
	ended  map[string]string
	order  []string // ring of the keys of ended
	at     int
}

// NewAttemptRegistry returns an empty record. The router's ID and incarnation make
// the attempts' IDs unique in the fleet.
func NewAttemptRegistry(router string, incarnation uint64) *AttemptRegistry {
	safe := strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' {
			return r
		}
		return '_'
	}, router)
	return &AttemptRegistry{
		prefix: safe + "." + strconv.FormatUint(incarnation, 36) + ".",
		active: map[string]core.Slot{},
		ended:  map[string]string{},
		order:  make([]string, keptEnds),
	}
}

// begin returns the ID of a new attempt, which is active until end.
func (a *AttemptRegistry) begin() string {
	id := a.prefix + strconv.FormatUint(a.next.Add(1), 36)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active[id] = core.Slot{}
	return id
}

// use records the slot that an active attempt uses.
func (a *AttemptRegistry) use(s core.Slot) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active[s.Attempt] = s
}

// forget ends an attempt that no other router asks about.
func (a *AttemptRegistry) forget(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, id)
}

// end ends an attempt and keeps its state.
func (a *AttemptRegistry) end(id, state string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.active, id)
	delete(a.ended, a.order[a.at])
	a.order[a.at] = id
	a.at = (a.at + 1) % keptEnds
	a.ended[id] = state
}

// AttemptState returns active, not_sent, ended or not_known. not_sent is final:
// the attempt has ended, so that another router may run the request.
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
