package routing

import (
	"math"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// A worker may name the requests per second that it takes from all routers together.
// Each router uses an equal part of it, without messages for each request: it gets
// permits at regular times, and a permit that no request has used for some time lapses.
// The routers' permits begin at random times, so all of them together arrive evenly,
// also where a router gets one only every few seconds.

const (
	// permitTTL is the time after which an unused permit lapses. The requests that all
	// routers may send at once are those of this time.
	permitTTL = 1500 * time.Millisecond
	// earlyPermit is how early a permit may be used when there is none for any worker.
	earlyPermit = 500 * time.Millisecond
	// demandTimeConstant is the time constant with which the count of requests that
	// prefer a worker decays.
	demandTimeConstant = 20 * time.Second
	// minRateLimit is the least rate at which a limited worker is tried, in requests
	// per second, since only its answers tell that the limit has ended.
	minRateLimit = 0.05
	// rateLimitCheckPeriod is the age from which a limit has to be confirmed.
	rateLimitCheckPeriod = time.Second
	// minPermitPeriod and maxPermitPeriod bound the time between two permits.
	minPermitPeriod = time.Microsecond
	maxPermitPeriod = time.Hour
)

// RateLimit is the rate that a worker named, as reported to some router.
type RateLimit struct {
	WorkerHash uint32    // gossip.WorkerHash of the worker's ID
	PerSecond  float64   // requests per second from all routers; NoRateLimit for no limit
	At         time.Time // time of the report
	ReportID   uint16    // distinguishes reports of the same worker
}

// NoRateLimit is the rate of a worker that names none.
const NoRateLimit = -1

// rateLimit is the limit of a worker. It is guarded by Fleet.mu.
type rateLimit struct {
	perSecond  float64
	reportedAt time.Time
	reportID   uint16
	nextPermit time.Time
	checkedAt  time.Time // when a request was last sent to confirm the limit
	// demand is the exponentially decayed count of the requests of this router that
	// preferred the worker, as of demandAt.
	demand   float64
	demandAt time.Time
}

// admit counts a request that prefers the worker and reports whether requests with its
// key stay there: as many keys as the permits cover, the same ones at all routers. If
// each key alternated between the worker and its next preference, its parts would be
// copied for each request.
func (l *rateLimit) admit(key, workerHash uint64, routers int, now time.Time) bool {
	l.demand = 1 + l.demand*math.Exp(-now.Sub(l.demandAt).Seconds()/demandTimeConstant.Seconds())
	l.demandAt = now
	if !l.isSet() {
		return true
	}
	share := demandTimeConstant.Seconds() / l.permitPeriod(routers).Seconds() / l.demand
	return float64(placement.Score(key, ^workerHash)) < share*math.MaxUint64
}

// isSet reports whether the worker names a limit.
func (l *rateLimit) isSet() bool { return !l.reportedAt.IsZero() && l.perSecond >= 0 }

// hasRateLimit reports whether a worker of the upstream names a limit.
func (p *pool) hasRateLimit() bool {
	return slices.ContainsFunc(p.workers, func(w *Worker) bool { return w.rateLimit.isSet() })
}

// isFull reports whether a worker has as many requests as slots. Where others name
// limits, requests beyond the slots would gather at the workers that name none.
func (p *pool) isFull(w *Worker, now time.Time) bool {
	return w.Slots > 0 && p.estimatedLoad(w, now) >= float64(w.Slots)
}

// startLimitCheck returns a worker with a permit whose limit no answer has confirmed for
// rateLimitCheckPeriod, nil if there is none. The caller sends it the next request.
func startLimitCheck(workers []*Worker, hasPermit func(*Worker) bool, now time.Time) *Worker {
	for _, w := range workers {
		if l := &w.rateLimit; l.isSet() && now.Sub(l.reportedAt) > rateLimitCheckPeriod && now.Sub(l.checkedAt) > rateLimitCheckPeriod && hasPermit(w) {
			l.checkedAt = now
			return w
		}
	}
	return nil
}

// withoutRateLimit returns the workers that name no limit.
func withoutRateLimit(workers []*Worker) []*Worker {
	var list []*Worker
	for _, w := range workers {
		if !w.rateLimit.isSet() {
			list = append(list, w)
		}
	}
	return list
}

// permitPeriod returns the time between two permits of one of several routers.
func (l *rateLimit) permitPeriod(routers int) time.Duration {
	seconds := float64(max(routers, 1)) / max(l.perSecond, minRateLimit)
	return max(time.Duration(min(seconds, maxPermitPeriod.Seconds())*float64(time.Second)), minPermitPeriod)
}

// permitAt returns when the next permit that has not lapsed begins.
func (l *rateLimit) permitAt(now time.Time, period time.Duration) time.Time {
	if lapsed := now.Sub(l.nextPermit) - permitTTL; lapsed > 0 {
		l.nextPermit = l.nextPermit.Add(time.Duration(math.Ceil(float64(lapsed)/float64(period))) * period)
	}
	return l.nextPermit
}

// RecordRateLimit records the rate that a worker names in an answer, NoRateLimit for
// none. It reports whether the limit began, ended or changed by a quarter.
func (f *Fleet) RecordRateLimit(w *Worker, perSecond float64, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if perSecond < 0 && !w.rateLimit.isSet() {
		return false
	}
	return f.setRateLimit(w, perSecond, now, uint16(f.cfg.Random(math.MaxUint16+1)), now)
}

func (f *Fleet) setRateLimit(w *Worker, perSecond float64, at time.Time, reportID uint16, now time.Time) bool {
	l := &w.rateLimit
	before, wasSet := l.perSecond, l.isSet()
	l.perSecond, l.reportedAt, l.reportID = perSecond, at, reportID
	if !l.isSet() {
		return wasSet
	}
	period := l.permitPeriod(f.maxRoutersSeen)
	switch latest := now.Add(period + earlyPermit); {
	case !wasSet:
		l.nextPermit = now.Add(time.Duration(f.cfg.Random(int(period))) - permitTTL)
	case l.nextPermit.After(latest): // the limit has risen
		l.nextPermit = latest
	}
	return !wasSet || math.Abs(perSecond-before) > before/4
}

// RecordSharedRateLimits records limits that other routers shared, and returns the
// workers whose limit changed, see RecordRateLimit.
func (f *Fleet) RecordSharedRateLimits(list []RateLimit, now time.Time) []*Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	var changed []*Worker
	for _, r := range list {
		w := f.byHash[r.WorkerHash]
		if w == nil || r.ReportID == w.rateLimit.reportID || !r.At.After(w.rateLimit.reportedAt) || r.PerSecond < 0 && !w.rateLimit.isSet() {
			continue
		}
		if f.setRateLimit(w, r.PerSecond, r.At, r.ReportID, now) {
			changed = append(changed, w)
		}
	}
	return changed
}

// endedLimitTTL is how long the end of a limit is shared.
const endedLimitTTL = 5 * time.Second

// RateLimits returns the limits of all workers, and those that ended recently.
func (f *Fleet) RateLimits(now time.Time) []RateLimit {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []RateLimit
	for hash, w := range f.byHash {
		l := &w.rateLimit
		if l.isSet() || !l.reportedAt.IsZero() && now.Sub(l.reportedAt) < endedLimitTTL {
			list = append(list, RateLimit{hash, l.perSecond, l.reportedAt, l.reportID})
		}
	}
	return list
}

// WorkerRateLimit returns the limit of a worker in requests per second, NoRateLimit if
// it names none.
func (f *Fleet) WorkerRateLimit(w *Worker) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.rateLimit.isSet() {
		return NoRateLimit
	}
	return w.rateLimit.perSecond
}

// hasPermit reports whether this router may send a request to a worker now, with a permit
// that begins at most early after now.
func (f *Fleet) hasPermit(w *Worker, now time.Time, early time.Duration) bool {
	l := &w.rateLimit
	return !l.isSet() || !l.permitAt(now, l.permitPeriod(f.maxRoutersSeen)).After(now.Add(early))
}

// takePermit counts a request that is sent to a worker.
func (f *Fleet) takePermit(w *Worker) {
	if l := &w.rateLimit; l.isSet() {
		l.nextPermit = l.nextPermit.Add(l.permitPeriod(f.maxRoutersSeen))
	}
}

// NextPermit returns the time until one of an upstream's limited workers may get a
// request of this router, and the number of limited workers.
func (f *Fleet) NextPermit(upstream string, now time.Time) (wait time.Duration, limited int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[upstream]
	if p == nil {
		return 0, 0
	}
	for _, w := range p.workers {
		l := &w.rateLimit
		if !l.isSet() || w.unreachable {
			continue
		}
		limited++
		if d := max(l.permitAt(now, l.permitPeriod(f.maxRoutersSeen)).Sub(now)-earlyPermit, 0); limited == 1 || d < wait {
			wait = d
		}
	}
	return wait, limited
}
