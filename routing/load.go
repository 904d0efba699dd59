package routing

import (
	"math"
	"time"
)

// A prompt stays with the worker that has its parts while that one is within
// the bound. Load pattern: many routers that each see a sliver of the traffic
// and learn of a worker's load some hundred ms late.

const (
	// loadAllowed is the number of requests that a worker may carry beyond the
	// bound, so that prompts stay together while there is little load.
	loadAllowed = 3
	// boundMargin is the share of the bound that a router uses, since reports
	// of load are some hundred ms old.
	boundMargin = 0.9
	// manyRouters is the number of routers from which on the requests that
	// others send between two reports are allowed for.
	manyRouters = 16
	// unseenDeviations is the number of standard deviations allowed for.
	unseenDeviations = 1
	// rateMemory is the time over which the rate of requests is averaged.
	rateMemory = 2 * time.Second
	// unansweredUsual is the number of requests of this router that wait for
	// the first byte of a worker which is not behind.
	unansweredUsual = 1
	// heldShare is the part of the average, one of so many, that a new time on
	// a worker makes up: lengths of answers differ widely.
	heldShare = 16
)

// loadLimit is the load above which a prompt goes to its next choice. Nobody
// sends to workers above it, so nothing reports how their load falls: the
// limit is taken again with what can be left of it.
func (f *Fleet) loadLimit(free []*Worker, now time.Time) float64 {
	sum := 0
	for _, w := range free {
		sum += w.busy(now)
	}
	limit := f.limitAt(sum, len(free))
	for _, w := range free {
		if busy := w.busy(now); float64(busy) > limit {
			sum += f.pool(w.Upstream).left(w, now) - busy
		}
	}
	return f.limitAt(sum, len(free))
}

func (f *Fleet) limitAt(sum, workers int) float64 {
	return boundMargin*f.cfg.LoadBound*float64(sum)/float64(workers) + loadAllowed
}

// expected estimates the requests on a worker now. A worker that is slow to
// begin answers is slow to report, and what all routers send it meanwhile waits
// there: this router's own unanswered requests tell of the others'.
func (p *pool) expected(w *Worker, now time.Time) float64 {
	busy := float64(w.busy(now))
	if w.unanswered <= unansweredUsual {
		return busy
	}
	return busy + float64((p.routers-1)*(w.unanswered-unansweredUsual))
}

// spread is the number of workers that carry the requests of all routers for a
// key, beside the mean load. Loads are reported too late to keep the others
// from sending to the same worker at the same time.
func (f *Fleet) spread(p *pool, key uint64, limit float64, now time.Time) int {
	rate := f.homes.recent(key, now) / keyMemory.Seconds() * float64(p.routers)
	mean := (limit - loadAllowed) / (boundMargin * f.cfg.LoadBound)
	return 1 + int(rate*p.held.Seconds()/(limit-mean))
}

// left estimates the requests on a worker that gets no new ones.
func (p *pool) left(w *Worker, now time.Time) int {
	busy := w.busy(now)
	age := now.Sub(w.loadAt)
	if p.held == 0 || age > loadMemory {
		return busy
	}
	return max(w.inFlight, int(float64(busy)*math.Exp(-age.Seconds()/p.held.Seconds())))
}

// took takes the time that a request spent on a worker into the average.
func (p *pool) took(t time.Duration) {
	if p.held == 0 {
		p.held = t
	}
	p.held += (t - p.held) / heldShare
}

// arrived counts a request of this router in the average rate.
func (p *pool) arrived(now time.Time) {
	p.recent = p.recentAt(now) + 1
	p.counted = now
}

func (p *pool) recentAt(now time.Time) float64 {
	return p.recent * math.Exp(-now.Sub(p.counted).Seconds()/rateMemory.Seconds())
}

// unseen is the number of requests by which a worker's load may have risen
// since it was reported. Requests of other routers begin and end at the same
// rate, so the load wanders by the square root of their number.
func (p *pool) unseen(w *Worker, now time.Time) float64 {
	age := now.Sub(w.loadAt)
	if p.routers < manyRouters || age > loadMemory {
		return 0 // others are few, or the worker does not report
	}
	rate := p.recentAt(now) / rateMemory.Seconds() * float64(p.routers-1) / float64(len(p.workers))
	return unseenDeviations * math.Sqrt(2*rate*age.Seconds())
}
