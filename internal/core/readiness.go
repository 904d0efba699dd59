package core

import (
	"sort"
	"sync"
)

// readiness tracks the state of each required component.
type readiness struct {
	mu         sync.Mutex // lock level 90, see lockorder.go
	components map[string]componentState
}

type componentState struct {
	ready  bool
	reason string
}

// NewReadiness returns a Readiness that is ready until a component is required.
func NewReadiness() Readiness { return &readiness{components: map[string]componentState{}} }

func (r *readiness) Require(component string) { r.SetReady(component, false, "starting") }

func (r *readiness) SetReady(component string, ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.components[component] = componentState{ready, reason}
}

func (r *readiness) Ready() (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.components))
	for name := range r.components {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if state := r.components[name]; !state.ready {
			return false, name + ": " + state.reason
		}
	}
	return true, ""
}
