package kernel

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"os"
	"reflect"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/settings"
)

// Reloader reloads the settings file of a running role. Plug-ins that can apply
// new settings at run time subscribe to it. A file with problems changes
// nothing.
type Reloader struct {
	role      string
	path      string
	overrides []string

	mu          sync.Mutex // lock level 5, see internal/core/lockorder.go; subscribers acquire their locks while it is held
	digest      [sha256.Size]byte
	current     map[string]any
	subscribers map[string][]func(settings any)
}

// NewReloader returns a reloader for a role whose settings were read from path.
func NewReloader(role, path string, overrides []string) *Reloader {
	r := &Reloader{role: role, path: path, overrides: overrides, subscribers: map[string][]func(any){}}
	data, err := os.ReadFile(path)
	if err != nil {
		return r // the first reload reports the problem
	}
	r.digest = sha256.Sum256(data)
	if src, err := settings.Parse(path, data, overrides); err == nil {
		r.current, _ = Bind(role, src) // the code that binds the settings at startup reports the problems
	}
	return r
}

// Subscribe calls fn with the settings of a plug-in whenever they change. fn
// must not block.
func (r *Reloader) Subscribe(id string, fn func(settings any)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subscribers[id] = append(r.subscribers[id], fn)
}

// Reload reads the file and passes changed settings to their plug-ins. It
// returns the IDs of the plug-ins whose settings changed. It returns an error
// if the file cannot be read or has problems; the previous settings stay active
// then.
func (r *Reloader) Reload() (changed []string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := os.ReadFile(r.path)
	if err != nil {
		return nil, fmt.Errorf("kernel: reload settings: %w", err)
	}
	// Kept even if the file has problems, so that Watch reports them only once.
	r.digest = sha256.Sum256(data)
	src, err := settings.Parse(r.path, data, r.overrides)
	if err != nil {
		return nil, err
	}
	bound, err := Bind(r.role, src)
	if err != nil {
		return nil, err
	}
	for id, s := range bound {
		if reflect.DeepEqual(s, r.current[id]) {
			continue
		}
		changed = append(changed, id)
		for _, fn := range r.subscribers[id] {
			fn(s)
		}
	}
	r.current = bound
	return changed, nil
}

// Watch reloads the file when its content changes or a signal arrives, until
// ctx ends. signals must be registered for SIGHUP with os/signal, because a SIGHUP
// that nothing handles ends the process. report receives the result of each
// reload.
func (r *Reloader) Watch(ctx context.Context, period time.Duration, signals <-chan os.Signal, report func(changed []string, err error)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			report(r.Reload())
		case <-ticker.C:
			if r.fileChanged() {
				report(r.Reload())
			}
		}
	}
}

// fileChanged reports whether the file's content differs from the one read
// last. A file that cannot be read or is empty counts as unchanged and is
// checked again at the next tick.
func (r *Reloader) fileChanged() bool {
	data, err := os.ReadFile(r.path)
	if err != nil || len(data) == 0 {
		return false
	}
	sum := sha256.Sum256(data)
	r.mu.Lock()
	defer r.mu.Unlock()
	return !bytes.Equal(sum[:], r.digest[:])
}
