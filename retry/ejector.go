package retry

import (
	"sync"
	"time"
)

// EjectorConfig configures an Ejector. Zero values take the defaults.
type EjectorConfig struct {
	// PoolSize is the number of workers of the upstream in the failure domain.
	PoolSize int
	// MaxEjectedShare of the pool that may be ejected at a time, rounded down to
	// whole workers: a pool of three never has one ejected. Default 0.3.
	MaxEjectedShare float64
	// Threshold is the number of failures in a row that ejects a worker.
	// Default 3. After an ejection one failure is enough until a success.
	Threshold int
	// BasePeriod is the first period. Default 1 s.
	BasePeriod time.Duration
	// MaxPeriod bounds the period. Default 60 s.
	MaxPeriod time.Duration
	// ForgetAfter is the time without a failure after which a worker's next
	// period is Base again. Default 5 min, so that a worker which fails once
	// after each longest period still counts as flapping.
	ForgetAfter time.Duration
}

// Ejector keeps track of failing workers.
type Ejector struct {
	mu      sync.Mutex // level 90
	cfg     EjectorConfig
	now     time.Time // latest time seen
	workers map[string]*health
}

// health is what is known of a worker that has failed lately.
type health struct {
	failures    int // in a row
	ejections   int
	until       time.Time // end of the ejection; zero for none
	lastFailure time.Time
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
	return &Ejector{cfg: cfg, workers: map[string]*health{}}
}

// SetPoolSize changes the number of workers. When more are ejected than the new
// size allows, those whose period ends first return early.
func (e *Ejector) SetPoolSize(now time.Time, size int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	e.cfg.PoolSize = size
	for e.ejected() > e.limit() {
		e.firstToReturn().until = time.Time{}
	}
}

// Remove forgets a worker that has left the pool.
func (e *Ejector) Remove(worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.workers, worker)
}

// Failure records a failed attempt and ejects the worker when it has failed
// often enough and the pool allows it. Failures of attempts that started
// before the ejection do not prolong it.
func (e *Ejector) Failure(now time.Time, worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	h := e.workers[worker]
	if h == nil {
		h = &health{}
		e.workers[worker] = h
	}
	h.lastFailure = e.now
	if h.until.After(e.now) {
		return
	}
	h.failures++
	if h.failures < e.cfg.Threshold || e.ejected() >= e.limit() {
		return
	}
	h.until = e.now.Add(double(e.cfg.BasePeriod, e.cfg.MaxPeriod, h.ejections))
	h.ejections++
	// The first attempt after the period is a probe.
	h.failures = e.cfg.Threshold - 1
}

// Success records a successful attempt. It ends a row of failures, not an
// ejection.
func (e *Ejector) Success(now time.Time, worker string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	h := e.workers[worker]
	if h == nil || h.until.After(e.now) {
		return
	}
	h.failures = 0
	if e.now.Sub(h.lastFailure) >= e.cfg.ForgetAfter {
		delete(e.workers, worker)
	}
}

// Ejected reports whether the worker gets no requests now.
func (e *Ejector) Ejected(now time.Time, worker string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(now)
	h := e.workers[worker]
	return h != nil && h.until.After(e.now)
}

func (e *Ejector) advance(now time.Time) {
	if now.After(e.now) {
		e.now = now
	}
}

func (e *Ejector) limit() int {
	// The addition keeps 0.3*10 from rounding below 3.
	return int(e.cfg.MaxEjectedShare*float64(e.cfg.PoolSize) + 1e-9)
}

func (e *Ejector) ejected() int {
	count := 0
	for _, h := range e.workers {
		if h.until.After(e.now) {
			count++
		}
	}
	return count
}

func (e *Ejector) firstToReturn() *health {
	var first *health
	for _, h := range e.workers {
		if h.until.After(e.now) && (first == nil || h.until.Before(first.until)) {
			first = h
		}
	}
	return first
}
