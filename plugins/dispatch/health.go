package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/retry"
)

// ejectionReport is the period at which ends of ejections are reported.
const ejectionReport = 500 * time.Millisecond

// health ejects workers that fail repeatedly and reports it to the holders.
type health struct {
	reports core.WorkerHealthSink // may be nil
	pools   atomic.Pointer[ejectors]

	mu  sync.Mutex             // level 50
	out map[[2]string]struct{} // ejections that have been reported
}

// ejectors has an ejector for each failure domain of each upstream.
type ejectors struct {
	byDomain map[[2]string]*retry.Ejector
	domains  map[[2]string]string // domain of each upstream's worker
}

func newHealth(reports core.WorkerHealthSink) *health {
	h := &health{reports: reports, out: map[[2]string]struct{}{}}
	h.pools.Store(&ejectors{})
	return h
}

// resize takes over the workers of a revision. Ejections stay.
func (h *health) resize(now time.Time, set *objects.Set) {
	old := h.pools.Load()
	e := &ejectors{byDomain: map[[2]string]*retry.Ejector{}, domains: map[[2]string]string{}}
	for name, u := range set.Upstreams {
		sizes := map[string]int{}
		for _, w := range u.Workers {
			e.domains[[2]string{name, w.ID}] = w.FailureDomain
			sizes[w.FailureDomain]++
		}
		for domain, size := range sizes {
			key := [2]string{name, domain}
			if e.byDomain[key] = old.byDomain[key]; e.byDomain[key] == nil {
				e.byDomain[key] = retry.NewEjector(retry.EjectorConfig{PoolSize: size})
			}
			e.byDomain[key].SetPoolSize(now, size)
		}
	}
	for worker, domain := range old.domains {
		ejector := old.byDomain[[2]string{worker[0], domain}]
		if e.domains[worker] != domain && ejector != nil {
			ejector.Remove(worker[1])
		}
	}
	h.pools.Store(e)
}

func (h *health) of(upstream, worker string) *retry.Ejector {
	e := h.pools.Load()
	return e.byDomain[[2]string{upstream, e.domains[[2]string{upstream, worker}]}]
}

func (h *health) ejected(now time.Time, upstream, worker string) bool {
	e := h.of(upstream, worker)
	return e != nil && e.Ejected(now, worker)
}

func (h *health) success(now time.Time, upstream, worker string) {
	if e := h.of(upstream, worker); e != nil {
		e.Success(now, worker)
	}
}

// failure counts a failed attempt and reports an ejection at once.
func (h *health) failure(now time.Time, upstream, worker string) {
	e := h.of(upstream, worker)
	if e == nil {
		return
	}
	e.Failure(now, worker)
	if !e.Ejected(now, worker) {
		return
	}
	key := [2]string{upstream, worker}
	h.mu.Lock()
	_, reported := h.out[key]
	h.out[key] = struct{}{}
	h.mu.Unlock()
	if !reported && h.reports != nil {
		h.reports.WorkerEjected(upstream, worker, true)
	}
}

// report tells the holders which ejections have ended.
func (h *health) report(now time.Time) {
	h.mu.Lock()
	var ended [][2]string
	for key := range h.out {
		if !h.ejected(now, key[0], key[1]) {
			ended = append(ended, key)
			delete(h.out, key)
		}
	}
	h.mu.Unlock()
	for _, key := range ended {
		if h.reports != nil {
			h.reports.WorkerEjected(key[0], key[1], false)
		}
	}
}
