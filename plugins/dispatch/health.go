package dispatch

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/retry"
)

// reinstatementInterval is the interval at which ends of ejections are reported.
const reinstatementInterval = 500 * time.Millisecond

// workerHealth ejects workers that fail repeatedly and reports the ejections to
// the workers' lease holders.
type workerHealth struct {
	sink     core.WorkerHealthSink // nil reports nothing
	ejectors atomic.Pointer[ejectorTable]

	mu       sync.Mutex             // lock level 50, see internal/core/lockorder.go
	reported map[[2]string]struct{} // upstream and worker of reported ejections
}

// ejectorTable has one ejector for each failure domain of each upstream. It
// limits the share of the domain's workers that are ejected at a time.
type ejectorTable struct {
	byDomain map[[2]string]*retry.Ejector // by upstream and failure domain
	domainOf map[[2]string]string         // by upstream and worker
}

func newWorkerHealth(sink core.WorkerHealthSink) *workerHealth {
	h := &workerHealth{sink: sink, reported: map[[2]string]struct{}{}}
	h.ejectors.Store(&ejectorTable{})
	return h
}

// apply switches to the workers of a configuration revision. Ejections of workers
// that remain in their failure domain continue.
func (h *workerHealth) apply(now time.Time, set *objects.Set) {
	old := h.ejectors.Load()
	e := &ejectorTable{byDomain: map[[2]string]*retry.Ejector{}, domainOf: map[[2]string]string{}}
	for name, u := range set.Upstreams {
		sizes := map[string]int{}
		for _, w := range u.Workers {
			e.domainOf[[2]string{name, w.ID}] = w.FailureDomain
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
	for worker, domain := range old.domainOf {
		ejector := old.byDomain[[2]string{worker[0], domain}]
		if e.domainOf[worker] != domain && ejector != nil {
			ejector.Remove(worker[1])
		}
	}
	h.ejectors.Store(e)
}

func (h *workerHealth) ejector(upstream, worker string) *retry.Ejector {
	e := h.ejectors.Load()
	return e.byDomain[[2]string{upstream, e.domainOf[[2]string{upstream, worker}]}]
}

func (h *workerHealth) ejected(now time.Time, upstream, worker string) bool {
	e := h.ejector(upstream, worker)
	return e != nil && e.Ejected(now, worker)
}

func (h *workerHealth) success(now time.Time, upstream, worker string) {
	if e := h.ejector(upstream, worker); e != nil {
		e.Success(now, worker)
	}
}

// failure counts a failed attempt and reports the worker immediately if that
// ejects it.
func (h *workerHealth) failure(now time.Time, upstream, worker string) {
	e := h.ejector(upstream, worker)
	if e == nil {
		return
	}
	e.Failure(now, worker)
	if !e.Ejected(now, worker) {
		return
	}
	key := [2]string{upstream, worker}
	h.mu.Lock()
	_, alreadyReported := h.reported[key]
	h.reported[key] = struct{}{}
	h.mu.Unlock()
	if !alreadyReported && h.sink != nil {
		h.sink.WorkerEjected(upstream, worker, true)
	}
}

// reportReinstated reports the workers whose ejection has ended.
func (h *workerHealth) reportReinstated(now time.Time) {
	h.mu.Lock()
	var reinstated [][2]string
	for key := range h.reported {
		if !h.ejected(now, key[0], key[1]) {
			reinstated = append(reinstated, key)
			delete(h.reported, key)
		}
	}
	h.mu.Unlock()
	for _, key := range reinstated {
		if h.sink != nil {
			h.sink.WorkerEjected(key[0], key[1], false)
		}
	}
}
