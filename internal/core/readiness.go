package core

import (
	"sort"
	"sync"
)

// readiness keeps the state of each required part.
type readiness struct {
	mu    sync.Mutex // level 90
	parts map[string]partState
}

type partState struct {
	ready  bool
	reason string
}

// NewReadiness returns a Readiness without parts, which is ready.
func NewReadiness() Readiness { return &readiness{parts: map[string]partState{}} }

func (r *readiness) Require(part string) { r.SetReady(part, false, "starting") }

func (r *readiness) SetReady(part string, ready bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.parts[part] = partState{ready, reason}
}

func (r *readiness) Ready() (bool, string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := make([]string, 0, len(r.parts))
	for name := range r.parts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if p := r.parts[name]; !p.ready {
			return false, name + ": " + p.reason
		}
	}
	return true, ""
}
