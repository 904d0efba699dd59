package core

import (
	"maps"
	"sync"
)

// Addresses records the addresses at which components listen. An address differs
// from its setting if the operating system chose the port (port 0).
type Addresses struct {
	mu          sync.Mutex // lock level 90, see lockorder.go
	byComponent map[string]string
}

// NewAddresses returns an Addresses without entries.
func NewAddresses() *Addresses { return &Addresses{byComponent: map[string]string{}} }

// Set records the address of a component: caller, peer or admin.
func (a *Addresses) Set(component, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byComponent[component] = address
}

// Get returns the address of a component, or "" if it does not listen yet.
func (a *Addresses) Get(component string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.byComponent[component]
}

// All returns a copy of all addresses by component.
func (a *Addresses) All() map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.byComponent)
}
