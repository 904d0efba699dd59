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

// Reloader reads the settings file of a running role again. Plug-ins that can
// take over new settings subscribe; a file with problems changes nothing.
type Reloader struct {
	role      string
	path      string
	overrides []string

	mu     sync.Mutex // level 5; subscribers take their locks under it
	digest [sha256.Size]byte
	bound  map[string]any
	subs   map[string][]func(settings any)
}

// NewReloader returns a reloader for a role whose settings were read from path.
func NewReloader(role, path string, overrides []string) *Reloader {
	r := &Reloader{role: role, path: path, overrides: overrides, subs: map[string][]func(any){}}
	data, err := os.ReadFile(path)
	if err != nil {
		return r // the first reload reports the problem
	}
	r.digest = sha256.Sum256(data)
	if src, err := settings.Parse(path, data, overrides); err == nil {
		r.bound, _ = Bind(role, src) // problems are reported by whoever binds the settings to start
	}
	return r
}

// Subscribe calls fn with the settings of a plug-in each time they change. fn
// must not block.
func (r *Reloader) Subscribe(id string, fn func(settings any)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.subs[id] = append(r.subs[id], fn)
}

// Reload reads the file and hands changed settings to their plug-ins. It
// returns the IDs of the plug-ins whose settings changed. Errors: the file
// cannot be read or has problems; the settings before stay in force.
func (r *Reloader) Reload() (changed []string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	data, err := os.ReadFile(r.path)
	if err != nil {
		return nil, fmt.Errorf("kernel: settings not read again: %w", err)
	}
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
		if reflect.DeepEqual(s, r.bound[id]) {
			continue
		}
		changed = append(changed, id)
		for _, fn := range r.subs[id] {
			fn(s)
		}
	}
	r.bound = bound
	return changed, nil
}

// Watch reloads when the file's content changes, or when a signal arrives,
// until ctx ends. report gets the result of each reload.
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
			if r.differs() {
				report(r.Reload())
			}
		}
	}
}

// differs reports whether the file's content is not the one last read. A file
// that cannot be read is looked at again the next time.
func (r *Reloader) differs() bool {
	data, err := os.ReadFile(r.path)
	if err != nil || len(data) == 0 {
		return false
	}
	sum := sha256.Sum256(data)
	r.mu.Lock()
	defer r.mu.Unlock()
	return !bytes.Equal(sum[:], r.digest[:])
}
