package core

import (
	"maps"
	"sync"
)

// Addresses records the addresses at which the parts listen. They differ from
// the settings when a setting leaves the port to the system (port 0).
type Addresses struct {
	mu    sync.Mutex // level 90
	bound map[string]string
}

// NewAddresses returns an empty record.
func NewAddresses() *Addresses { return &Addresses{bound: map[string]string{}} }

// Set records the address of a part: caller, peer or admin.
func (a *Addresses) Set(part, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bound[part] = address
}

// Get returns the address of a part, empty when it does not listen yet.
func (a *Addresses) Get(part string) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bound[part]
}

// All returns a copy of the record.
func (a *Addresses) All() map[string]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.bound)
}
