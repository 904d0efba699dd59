// Package retry decides whether a failed attempt may be retried, how long to
// wait before the retry, and which workers are ejected, which means that they get
// no requests for a while.
//
// Contract: a Budget limits retries to a fraction of recent successes, so that
// retries do not multiply an outage. A Backoff spreads retries over time. An
// Ejector ejects workers that fail repeatedly for a period that doubles each
// time, and never ejects more than a set fraction of the pool.
//
// Failure behaviour: there are no errors. If the clock goes backwards, the latest
// time seen is used.
//
// Concurrency: Budget and Ejector are safe for concurrent use; each holds one
// leaf mutex (lock level 90, see internal/core/lockorder.go) for a few
// operations. Backoff is a value.
//
// Cost: Budget takes constant time and allocates nothing. Ejector allocates
// once for each worker that has failed; the entry is dropped when the worker
// has been healthy for EjectorConfig.ForgetAfter, or by Remove.
package retry

import (
	"sync"
	"time"
)

// budgetWindowSeconds is the length of the sliding window. Ten seconds smooth
// bursts, while retries still stop soon after successes do.
const budgetWindowSeconds = 10

// Budget allows retries up to a fraction of the successes of the last 10 s,
// plus a minimum rate.
type Budget struct {
	ratio      float64
	minRetries float64 // retries allowed in a window without any success

	mu           sync.Mutex // lock level 90, see internal/core/lockorder.go
	latestSecond int64      // latest second seen, since the epoch
	successes    [budgetWindowSeconds]int64
	retries      [budgetWindowSeconds]int64
}

// NewBudget returns a budget of ratio retries for each success, plus
// minPerSecond retries per second. Both are counted over a sliding window of
// 10 s.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{ratio: ratio, minRetries: minPerSecond * budgetWindowSeconds}
}

// Set changes ratio and minPerSecond, see NewBudget. The successes and retries
// counted so far are kept.
func (b *Budget) Set(ratio, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.minRetries = ratio, minPerSecond*budgetWindowSeconds
}

// Success records a successful attempt.
func (b *Budget) Success(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.successes[b.currentSlot(now)]++
}

// Allow reports whether a retry may be sent now, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.currentSlot(now)
	var successes, retries int64
	for i := range budgetWindowSeconds {
		successes += b.successes[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > b.ratio*float64(successes)+b.minRetries {
		return false
	}
	b.retries[slot]++
	return true
}

// currentSlot returns the index of the counters of the current second. It first
// clears the counters of the seconds that have left the window.
func (b *Budget) currentSlot(now time.Time) int {
	second := max(now.Unix(), b.latestSecond)
	for range min(second-b.latestSecond, budgetWindowSeconds) {
		b.latestSecond++
		slot := b.latestSecond % budgetWindowSeconds
		b.successes[slot], b.retries[slot] = 0, 0
	}
	if second > b.latestSecond {
		// More than a window has passed, so every slot was cleared above.
		b.latestSecond = second
	}
	return int(b.latestSecond % budgetWindowSeconds)
}

// Backoff computes the delay before a retry by exponential backoff with jitter.
type Backoff struct {
	Base time.Duration // upper bound of the delay before the first retry
	Max  time.Duration // upper bound of the delay before any retry
}

// Delay returns the delay before retry number attempt, counted from 0. The
// upper bound doubles with each attempt up to Max; random in [0, 1) picks a point
// in the upper half of the range. This spreads the retries of callers that
// failed together and keeps a minimum delay after the failure.
func (b Backoff) Delay(attempt int, random float64) time.Duration {
	delay := exponential(b.Base, b.Max, attempt)
	half := delay / 2
	return half + time.Duration(random*float64(delay-half))
}

// exponential returns base*2^doublings, at most maxDelay.
func exponential(base, maxDelay time.Duration, doublings int) time.Duration {
	delay := base
	for range doublings {
		if delay >= maxDelay/2 {
			return maxDelay
		}
		delay *= 2
	}
	return min(delay, maxDelay)
}
