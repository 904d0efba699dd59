// Package retry decides whether a failed attempt may be repeated, how long to
// wait before it, and which workers get no requests for a while.
//
// Contract: a Budget keeps retries to a share of recent successes, so that an
// outage is not multiplied by its own retries. A Backoff spreads retries over
// time. An Ejector takes workers that fail repeatedly out of use for a period
// that doubles, and never takes out more than a set share of the pool.
//
// Failure behaviour: there are no errors. A clock that goes backwards is read
// as the latest time seen.
//
// Concurrency: Budget and Ejector are safe for concurrent use; each holds one
// leaf mutex (level 90) for a few operations. Backoff is a value.
//
// Cost: Budget takes constant time and allocates nothing. Ejector allocates
// once for each worker that has failed; the entry is dropped after the worker
// has been healthy for EjectorConfig.ForgetAfter, or by Remove.
package retry

import (
	"sync"
	"time"
)

// budgetWindow is the time that counts as recent. Ten seconds smooth bursts
// while retries still stop soon after successes do.
const budgetWindow = 10

// Budget allows retries up to a share of the successes of the last 10 s plus a
// minimum rate.
type Budget struct {
	ratio   float64
	minimum float64 // retries in a window without any success

	mu        sync.Mutex // level 90
	second    int64      // latest second seen, since the epoch
	successes [budgetWindow]int64
	retries   [budgetWindow]int64
}

// NewBudget returns a budget of ratio retries for each success, plus
// minPerSecond retries a second. Both count over a window of 10 s.
func NewBudget(ratio, minPerSecond float64) *Budget {
	return &Budget{ratio: ratio, minimum: minPerSecond * budgetWindow}
}

// Set changes ratio and minPerSecond, see NewBudget. What was counted stays.
func (b *Budget) Set(ratio, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.minimum = ratio, minPerSecond*budgetWindow
}

// Success records that an attempt succeeded.
func (b *Budget) Success(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.successes[b.slot(now)]++
}

// Allow reports whether a retry may be sent now, and counts it if so.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.slot(now)
	var successes, retries int64
	for i := range budgetWindow {
		successes += b.successes[i]
		retries += b.retries[i]
	}
	if float64(retries+1) > b.ratio*float64(successes)+b.minimum {
		return false
	}
	b.retries[at]++
	return true
}

// slot returns the index of the current second, after clearing the seconds
// that have left the window.
func (b *Budget) slot(now time.Time) int {
	second := max(now.Unix(), b.second)
	for range min(second-b.second, budgetWindow) {
		b.second++
		at := b.second % budgetWindow
		b.successes[at], b.retries[at] = 0, 0
	}
	if second > b.second {
		// More than a window has passed, so every slot was cleared above.
		b.second = second
	}
	return int(b.second % budgetWindow)
}

// Backoff gives the delay before a retry.
type Backoff struct {
	Base time.Duration // longest delay before the first retry
	Max  time.Duration // longest delay before any retry
}

// Delay returns the delay before retry number attempt, counted from 0. The
// upper end doubles with each attempt up to Max; r in [0, 1) picks a point in
// the upper half of the range, which separates callers that failed together
// and keeps a minimum distance from the failure.
func (b Backoff) Delay(attempt int, r float64) time.Duration {
	delay := double(b.Base, b.Max, attempt)
	half := delay / 2
	return half + time.Duration(r*float64(delay-half))
}

// double returns base*2^times, at most limit.
func double(base, limit time.Duration, times int) time.Duration {
	delay := base
	for range times {
		if delay >= limit/2 {
			return limit
		}
		delay *= 2
	}
	return min(delay, limit)
}
