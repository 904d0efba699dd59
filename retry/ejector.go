package retry

import (
	"sync"
	"time"
)

// EjectorConfig configures an Ejector. Zero values select the defaults.
type EjectorConfig struct {
	// PoolSize is the number of workers of the upstream in the failure domain.
	PoolSize int
	// MaxEjectedShare is the fraction of the pool that may be ejected at a
	// time, rounded down to whole workers: a pool of three never has one
	// ejected. Default 0.3.
	MaxEjectedShare float64
	// Threshold is the number of consecutive failures that eject a worker.
	// Default 3. After an ejection a single failure is enough, until the next
	// success.
	Threshold int
	// BasePeriod is the first ejection period. Default 1 s.
	BasePeriod time.Duration
	// MaxPeriod limits the ejection period. Default 60 s.
	MaxPeriod time.Duration
	// ForgetAfter is the time without a failure after which a success resets a
	// worker's ejection period to BasePeriod. Default 5 min, which is longer than
	// MaxPeriod, so that a worker that fails again after each ejection keeps its
	// long period.
	ForgetAfter time.Duration
}

// Ejector tracks failing workers and decides which are ejected.
type Ejector struct {
	mu      sync.Mutex // lock level 90, see internal/core/lockorder.go
	cfg     EjectorConfig
	latest  time.Time // latest time seen; used if the clock goes backwards
	workers map[string]*workerHealth
}

// workerHealth is the state of a worker that failed recently.
type workerHealth struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time // zero if not ejected
	lastFailure         time.Time
}

// NewEjector returns an ejector for one pool.
func NewEjector(cfg EjectorConfig) *Ejector {
	if cfg.MaxEjectedShare == 0 {
		cfg.MaxEjectedShare = 0.3
	}
	if cfg.Threshold == 0 {
		cfg.Threshold = 3
	}
	if cfg.BasePeriod == 0 {
		cfg.BasePeriod = time.Second
	}
	if cfg.MaxPeriod == 0 {
		cfg.MaxPeriod = time.Minute
	}
	if cfg.ForgetAfter == 0 {
		cfg.ForgetAfter = 5 * time.Minute
	}
	return &Ejector{cfg: cfg, workers: map[string]*workerHealth{}}
}

// SetPoolSize changes the number of workers. If more workers are ejected than
// the new size allows, those whose period ends first return early.
func (e *Ejector) SetPoolSize(now time.Time, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	e.cfg.PoolSize = size
	for e.ejectedCount() > e.maxEjected() {
		e.earliestReturn().ejectedUntil = time.Time{}
	}
}

// Remove drops the state of a worker that has left the pool.
func (e *Ejector) Remove(worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.workers, worker)
}

// Failure records a failed attempt. It ejects the worker if it has failed often
// enough and the pool allows it. Failures of attempts that started before the
// ejection do not prolong it.
func (e *Ejector) Failure(now time.Time, worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	h := e.workers[worker]
	if h == nil {
		h = &workerHealth{}
		e.workers[worker] = h
	}
	h.lastFailure = e.latest
	if h.ejectedUntil.After(e.latest) {
		return
	}
	h.consecutiveFailures++
	if h.consecutiveFailures < e.cfg.Threshold || e.ejectedCount() >= e.maxEjected() {
		return
	}
	h.ejectedUntil = e.latest.Add(exponential(e.cfg.BasePeriod, e.cfg.MaxPeriod, h.ejections))
	h.ejections++
	// The first attempt after the period is a probe: one failure ejects again.
	h.consecutiveFailures = e.cfg.Threshold - 1
}

// Success records a successful attempt. It resets the count of consecutive
// failures but does not end an ejection. The state of a worker without a failure
// for EjectorConfig.ForgetAfter is dropped.
func (e *Ejector) Success(now time.Time, worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	h := e.workers[worker]
	if h == nil || h.ejectedUntil.After(e.latest) {
		return
	}
	h.consecutiveFailures = 0
	if e.latest.Sub(h.lastFailure) >= e.cfg.ForgetAfter {
		delete(e.workers, worker)
	}
}

// Ejected reports whether the worker is ejected now.
func (e *Ejector) Ejected(now time.Time, worker string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	h := e.workers[worker]
	return h != nil && h.ejectedUntil.After(e.latest)
}

// advance updates the latest time seen.
func (e *Ejector) advance(now time.Time) {
	if now.After(e.latest) {
		e.latest = now
	}
}

func (e *Ejector) maxEjected() int {
	// The addition keeps 0.3*10 from rounding below 3.
	return int(e.cfg.MaxEjectedShare*float64(e.cfg.PoolSize) + 1e-9)
}

func (e *Ejector) ejectedCount() int {
	count := 0
	for _, h := range e.workers {
		if h.ejectedUntil.After(e.latest) {
			count++
		}
	}
	return count
}

func (e *Ejector) earliestReturn() *workerHealth {
	var first *workerHealth
	for _, h := range e.workers {
		if h.ejectedUntil.After(e.latest) && (first == nil || h.ejectedUntil.Before(first.ejectedUntil)) {
			first = h
		}
	}
	return first
}
