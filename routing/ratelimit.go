package routing

import (
	"math"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// A worker may name the requests per second that it takes from all routers together, and
// a cold one takes few (coldstart.go). The lower rate counts. Each router uses an equal
// part of it, without messages for each request: it gets permits at regular times, and a
// permit that no request has used for some time lapses. The routers' permits begin at
// random times, so all of them together arrive evenly, also where a router gets one only
// every few seconds.

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
	permits              // for the named rate and for that of a cold worker
	checkedAt  time.Time // when a request was last sent to confirm the limit
	// demand is the exponentially decayed count of the requests of this router that
	// preferred the worker, as of demandAt.
	demand   float64
	demandAt time.Time
}

// permits are the times at which this router may send a request to a worker.
type permits struct {
	nextPermit time.Time     // when the oldest unused permit begins
	period     time.Duration // time between two permits that nextPermit is based on, 0 before the first use
}

// pace says how often a router gets a permit and how long it may use it.
type pace struct {
	period time.Duration // time between two permits
	ttl    time.Duration // time after which an unused permit lapses
	early  time.Duration // how early a permit may be used when there is none for any worker
}

// pace returns the pace of a worker's permits, and false if it needs none.
func (f *Fleet) pace(w *Worker, now time.Time) (pace, bool) {
	cold, limited := f.coldPace(w, now)
	if !w.rateLimit.isSet() {
		return cold, limited
	}
	named := pace{period: w.rateLimit.permitPeriod(f.maxRoutersSeen), ttl: permitTTL, early: earlyPermit}
	if !limited {
		return named, true
	}
	return pace{period: max(named.period, cold.period), ttl: min(named.ttl, cold.ttl), early: min(named.early, cold.early)}, true
}

// permitAt returns when the next permit that has not lapsed begins. When the pace
// changes, the time until the next permit changes in proportion: a fixed time until it
// would let all routers that learn of the change at the same time send together.
func (f *Fleet) permitAt(w *Worker, pc pace, now time.Time) time.Time {
	l := &w.rateLimit.permits
	if l.period == 0 {
		l.nextPermit, l.period = now.Add(time.Duration(f.cfg.Random(int(pc.period)))), pc.period
	}
	if remaining := l.nextPermit.Sub(now); l.period != pc.period && remaining > 0 {
		scaled := float64(remaining) * float64(pc.period) / float64(l.period)
		l.nextPermit = now.Add(time.Duration(min(scaled, float64(pc.period+pc.early))))
	}
	l.period = pc.period
	if lapsed := now.Sub(l.nextPermit) - pc.ttl; lapsed > 0 {
		l.nextPermit = l.nextPermit.Add(time.Duration(math.Ceil(float64(lapsed)/float64(pc.period))) * pc.period)
	}
	return l.nextPermit
}

// admit counts a request that prefers the worker and reports whether requests with its
// key stay there: as many keys as the permits cover, the same ones at all routers. If
// each key alternated between the worker and its next preference, its parts would be
// copied for each request.
func (f *Fleet) admit(w *Worker, key uint64, now time.Time) bool {
	l := &w.rateLimit
	l.demand = 1 + l.demand*math.Exp(-now.Sub(l.demandAt).Seconds()/demandTimeConstant.Seconds())
	l.demandAt = now
	pc, limited := f.pace(w, now)
	if !limited {
		return true
	}
	share := demandTimeConstant.Seconds() / pc.period.Seconds() / l.demand
	return float64(placement.Score(key, ^w.hash)) < share*math.MaxUint64
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

// permitPeriod returns the time between two permits of one of several routers for the
// named rate.
func (l *rateLimit) permitPeriod(routers int) time.Duration {
	return permitPeriod(max(l.perSecond, minRateLimit), float64(routers))
}

// permitPeriod returns the time between two permits of one of several routers that
// together send a number of requests per second.
func permitPeriod(perSecond, routers float64) time.Duration {
	seconds := max(routers, 1) / perSecond
	return max(time.Duration(min(seconds, maxPermitPeriod.Seconds())*float64(time.Second)), minPermitPeriod)
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
	if _, cold := f.coldPace(w, now); !wasSet && !cold {
		l.period = l.permitPeriod(f.maxRoutersSeen)
		l.nextPermit = now.Add(time.Duration(f.cfg.Random(int(l.period))) - permitTTL)
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
// that begins at most early after now, or less where the worker's pace says so.
func (f *Fleet) hasPermit(w *Worker, now time.Time, early time.Duration) bool {
	pc, limited := f.pace(w, now)
	return !limited || !f.permitAt(w, pc, now).After(now.Add(min(early, pc.early)))
}

// takePermit counts a request that is sent to a worker.
func (f *Fleet) takePermit(w *Worker, now time.Time) {
	if pc, limited := f.pace(w, now); limited {
		w.rateLimit.nextPermit = f.permitAt(w, pc, now).Add(pc.period)
	}
}

// NextPermit returns the time until one of an upstream's limited or cold workers may get
// a request of this router, and the number of these workers.
func (f *Fleet) NextPermit(upstream string, now time.Time) (wait time.Duration, limited int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[upstream]; p != nil {
		return f.nextPermit(p, now)
	}
	return 0, 0
}

func (f *Fleet) nextPermit(p *pool, now time.Time) (wait time.Duration, limited int) {
	for _, w := range p.workers {
		pc, isLimited := f.pace(w, now)
		if !isLimited || w.unreachable {
			continue
		}
		limited++
		d := max(f.permitAt(w, pc, now).Sub(now)-pc.early, 0)
		if !w.rateLimit.isSet() { // it needs no permit after its cold time
			d = min(d, w.cold.riseFrom.Sub(now))
		}
		if limited == 1 || d < wait {
			wait = d
		}
	}
	return wait, limited
}
