package routing

import (
	"math"
	"time"
)

// Requests with the same prompt stay with the worker that has it cached while
// that worker is within the load bound. In a large fleet each router sees a small
// part of the traffic and learns of a worker's load some hundred ms late.

const (
	// loadAllowance is the number of requests that a worker may carry beyond
	// the bound, so that requests with the same prompt stay together at low
	// load.
	loadAllowance = 3
	// boundFraction is the fraction of the bound that a router uses, since load
	// reports are some hundred milliseconds old.
	boundFraction = 0.9
	// spreadRoom is the part of the room between the mean load and the limit that the
	// requests for a key may fill. The rest is for the requests that are sent before
	// the load they cause is known.
	spreadRoom = 0.5
	// rateDeviations is the number of standard deviations that are added to the count
	// of a key's requests. A router of a large fleet sees few of them, and an estimate
	// that is too low sends the requests of all routers to too few workers.
	rateDeviations = 2
	// usualUnanswered is the number of this router's unanswered requests on a
	// worker that keeps up.
	usualUnanswered = 1
	// durationDivisor is the inverse weight of a new sample in the mean request
	// duration. The weight is low since response lengths differ widely.
	durationDivisor = 16
)

// loadLimit returns the load above which a prompt goes to its next preference.
// Workers above the limit get no requests, so no report shows their load
// falling: the limit is computed a second time with the load that they are
// estimated to have left. Workers with a rate limit carry little, and the others carry
// what they cannot, so these are compared among themselves.
func (f *Fleet) loadLimit(candidates []*Worker, now time.Time) float64 {
	if f.pool(candidates[0].Upstream).hasRateLimit() {
		if unlimited := withoutRateLimit(candidates); len(unlimited) > 0 {
			candidates = unlimited
		}
	}
	totalLoad := 0
	for _, w := range candidates {
		totalLoad += w.averageLoad(now)
	}
	limit := f.limitFor(totalLoad, len(candidates))
	for _, w := range candidates {
		if load := w.currentLoad(now); float64(load) > limit {
			totalLoad += f.pool(w.Upstream).remainingLoad(w, now) - load
		}
	}
	return f.limitFor(totalLoad, len(candidates))
}

// meanLoad estimates the mean load of the workers of an upstream, 0 if it has none.
func (p *pool) meanLoad(now time.Time) float64 {
	total := 0
	for _, w := range p.workers {
		total += w.averageLoad(now)
	}
	return float64(total) / float64(max(len(p.workers), 1))
}

func (f *Fleet) limitFor(totalLoad, workers int) float64 {
	return boundFraction*f.cfg.LoadBound*float64(totalLoad)/float64(workers) + loadAllowance
}

// estimatedLoad estimates the current number of requests on a worker. A worker
// that is slow to start responses also reports late, and the requests that all
// routers send it meanwhile queue there. Every other router is assumed to have as
// many unanswered requests on the worker as this one, beyond usualUnanswered.
func (p *pool) estimatedLoad(w *Worker, now time.Time) float64 {
	load := float64(w.currentLoad(now))
	if w.unanswered <= usualUnanswered {
		return load
	}
	return load + float64((p.routers-1)*(w.unanswered-usualUnanswered))
}

// spreadSize returns the number of workers needed to carry the requests of all
// routers for a key, the ID of a prompt part, on top of the mean load. Load reports
// arrive too late to keep several routers from sending to the same worker at the
// same time.
func (f *Fleet) spreadSize(p *pool, key uint64, limit float64, now time.Time) int {
	rate := f.keyRate(p, key, rateDeviations, now)
	mean := (limit - loadAllowance) / (boundFraction * f.cfg.LoadBound)
	return 1 + int(rate*p.meanDuration.Seconds()/(spreadRoom*(limit-mean)))
}

// keyRate estimates the rate of the requests of all routers for a key, per second. The
// standard deviations of this router's count of requests are added to it.
func (f *Fleet) keyRate(p *pool, key uint64, deviations float64, now time.Time) float64 {
	count := f.placements.recentRequests(key, now)
	count += deviations * math.Sqrt(count)
	return count / keyRateTimeConstant.Seconds() * float64(p.routers)
}

// remainingLoad estimates the requests left on a worker that gets no new ones.
func (p *pool) remainingLoad(w *Worker, now time.Time) int {
	load := w.currentLoad(now)
	age := now.Sub(w.reportedAt)
	if p.meanDuration == 0 || age > loadTTL {
		return load
	}
	return max(w.inFlight, int(float64(load)*math.Exp(-age.Seconds()/p.meanDuration.Seconds())))
}

// recordDuration adds the time that a request spent on a worker to the mean.
func (p *pool) recordDuration(t time.Duration) {
	if p.meanDuration == 0 {
		p.meanDuration = t
	}
	p.meanDuration += (t - p.meanDuration) / durationDivisor
}
