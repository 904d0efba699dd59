package routing

import (
	"math"
	"slices"
	"time"
)

// A worker that has just started during traffic serves few requests at first and crashes
// above a rate that the configuration states. It is empty, so it looks like the least
// loaded worker to all routers at once. Each router therefore sends it requests only with
// permits (ratelimit.go), and the permits of all routers together stay below the bound in
// every second. After the cold time the rate doubles at regular times until the permits
// no longer limit the worker.

const (
	// coldDeviations is the number of standard deviations that are kept between the mean
	// number of permits in a second and the bound, with half of the routers known only.
	// The routers have no common clock, so the permits of a second are Poisson
	// distributed.
	coldDeviations = 5
	// coldSizeError is the factor by which the number of routers may be too low. It is
	// that of a partition in two sides that know nothing of each other.
	coldSizeError = 2
	// coldPermitTTL is the time after which an unused permit for a cold worker lapses. A
	// router of a large fleet gets a request every 100 to 200 ms.
	coldPermitTTL = 250 * time.Millisecond
	// coldDoubling is the time in which the permitted rate doubles after the cold time,
	// and minColdDoublings the least number of doublings: a rate 32 times that of a cold
	// worker is several times that of a usual worker.
	coldDoubling     = time.Second
	minColdDoublings = 5
	// coldSetback is how much later the rate rises after a failed or slow response.
	coldSetback = time.Second
	// maxColdRise limits the time after the cold time in which a worker needs permits,
	// so that callers that leave cannot keep a worker from its share.
	maxColdRise = 30 * time.Second
	// minColdNews is how much later than known the end of a cold time has to be to count.
	// Routers tell each other the time left, which is too high by the time in transit.
	minColdNews = 500 * time.Millisecond
	// staleColdAge is the time since the start of a process, beyond the stated cold time,
	// from which a registration that was there before this router is taken to be of the
	// start. The clocks of workers and routers may differ by seconds.
	staleColdAge = 10 * time.Second
	// maxColdLeft limits the cold time that a worker or router may state.
	maxColdLeft = time.Hour
)

// coldStart is the cold time of a worker. It is guarded by Fleet.mu.
type coldStart struct {
	startedAt time.Time // zero if the worker is not cold and needs no permits
	rate      float64   // see Fleet.coldRate
	until     time.Time // end of the cold time
	riseFrom  time.Time // from then the permitted rate rises
	warmAt    time.Time // end of the last rise, zero for none
	announced bool      // ColdChanges has returned its begin
}

func (f *Fleet) updateColdRates() {
	for _, w := range f.coldWorkers {
		w.cold.rate = f.coldRate(w.Upstream)
	}
}

// coldRate returns the requests per second that all routers together send to a cold
// worker of an upstream, 0 for no limit. With m the mean number of permits that are in
// force in a second, coldSizeError*m + coldDeviations*sqrt(coldSizeError*m) is the bound.
func (f *Fleet) coldRate(upstream string) float64 {
	u := f.upstreams[upstream]
	if u.ColdRate <= 0 {
		return 0
	}
	bound := u.ColdRate*f.cfg.ColdOver + f.cfg.ColdSlack
	root := (math.Sqrt(coldDeviations*coldDeviations+4*bound) - coldDeviations) / 2
	return root * root / coldSizeError / (time.Second + coldPermitTTL).Seconds()
}

// coldPace returns the pace of the permits of a cold worker, and false if the worker
// needs none.
func (f *Fleet) coldPace(w *Worker, now time.Time) (pace, bool) {
	c := &w.cold
	if c.startedAt.IsZero() {
		return pace{}, false
	}
	rate := c.rate
	if rate <= 0 {
		return pace{}, false
	}
	routers := f.coldRouters(now)
	rise := now.Sub(c.riseFrom)
	if rise <= 0 {
		return pace{period: permitPeriod(rate, routers), ttl: coldPermitTTL}, true
	}
	if rise >= coldRise(rate, routers) || now.Sub(c.until) >= maxColdRise {
		return pace{}, false
	}
	growth := math.Exp2(rise.Seconds() / coldDoubling.Seconds())
	ttl := time.Duration(min(growth*float64(coldPermitTTL), float64(permitTTL)))
	return pace{period: permitPeriod(rate*growth, routers), ttl: ttl, gradual: true}, true
}

// coldRise returns the time in which the permitted rate rises. In its last doubling each
// router has a permit at any time, so its end is no step.
func coldRise(rate, routers float64) time.Duration {
	doublings := max(minColdDoublings, 1+math.Log2(max(routers, 1)/rate/permitTTL.Seconds()))
	return time.Duration(doublings * float64(coldDoubling))
}

// coldWait returns the time until a permit of a cold worker that is a wait away at the
// present rate, with regard to the rise of the rate after the cold time.
func (f *Fleet) coldWait(w *Worker, wait time.Duration, now time.Time) time.Duration {
	left := max(w.cold.riseFrom.Sub(now), 0)
	if wait <= left {
		return wait
	}
	later := coldDoubling.Seconds() * math.Log2(1+(wait-left).Seconds()*math.Ln2/coldDoubling.Seconds())
	return left + min(time.Duration(later*float64(time.Second)), coldRise(w.cold.rate, f.coldRouters(now)))
}

// isCold reports whether a worker gets requests only with permits because it is cold or
// was so shortly before.
func (f *Fleet) isCold(w *Worker, now time.Time) bool {
	_, cold := f.coldPace(w, now)
	return cold
}

// sparesCold reports whether cold workers are left to other routers: this one does not
// know the number of routers yet, and one of the candidates is not cold.
func (f *Fleet) sparesCold(candidates []*Worker, now time.Time) bool {
	return len(f.coldWorkers) > 0 && !f.size.isKnown(now) && slices.ContainsFunc(candidates, func(w *Worker) bool { return !f.isCold(w, now) })
}

// setCold records that a worker is cold until a time, and reports whether this is news. A
// known later end stays: the worker may have become cold again.
func (f *Fleet) setCold(w *Worker, until, now time.Time) bool {
	if latest := now.Add(maxColdLeft); until.After(latest) {
		until = latest
	}
	c := &w.cold
	if !until.After(now) || !until.After(c.until) {
		return false
	}
	if !now.Before(c.until) { // it was not cold
		w.rateLimit.permits = permits{}
		*c = coldStart{startedAt: now, rate: f.coldRate(w.Upstream), warmAt: c.warmAt}
		if !slices.Contains(f.coldWorkers, w) {
			f.coldWorkers = append(f.coldWorkers, w)
		}
	}
	c.until, c.riseFrom = until, until
	return true
}

// listCold records the cold time of a worker by the worker list. A registration states the
// time left as of its write, which may be long ago where a router finds it at its start.
// Most such workers are warm; if one has become cold again, the permits of the other
// routers leave room for the requests of this one until the worker's next response.
func (f *Fleet) listCold(w *Worker, info WorkerInfo, isNew bool, now time.Time) {
	since := info.RegisteredAt
	if since.IsZero() {
		since = now
	}
	born := time.UnixMilli(info.StartedAtMs)
	isStale := info.StartedAtMs != 0 && !since.After(f.firstListAt) && since.Sub(born) > info.ColdLeft+staleColdAge
	if !isStale {
		f.setCold(w, since.Add(min(info.ColdLeft, maxColdLeft)), now)
	}
	if isNew {
		f.setCold(w, now.Add(f.upstreams[info.Upstream].ColdStart), now)
	}
}

// RecordCold records that a worker said in a response that it stays cold for a time, and
// reports whether the worker was not known to be so.
func (f *Fleet) RecordCold(w *Worker, left time.Duration, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recordCold(f.newestEntry(w), now.Add(min(left, maxColdLeft)), now)
}

// recordCold records a cold time that a response or a router told, unless it ends about
// when the known one does.
func (f *Fleet) recordCold(w *Worker, until, now time.Time) bool {
	if f.coldRate(w.Upstream) <= 0 || until.Sub(w.cold.until) < minColdNews {
		return false
	}
	return f.setCold(w, until, now)
}

// setBackCold delays the rise of a worker's rate after a response that failed or was slow.
func (f *Fleet) setBackCold(w *Worker, now time.Time) {
	c := &w.cold
	if now.After(c.riseFrom) && f.isCold(w, now) {
		c.riseFrom = c.riseFrom.Add(min(coldSetback, now.Sub(c.riseFrom)))
	}
}

// Cold is a cold worker, as told to other routers.
type Cold struct {
	WorkerHash uint32 // gossip.WorkerHash of the worker's ID
	Until      time.Time
}

// ColdWorkers returns the workers that are cold.
func (f *Fleet) ColdWorkers(now time.Time) []Cold {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Cold
	if len(f.coldWorkers) == 0 {
		return nil
	}
	for hash, w := range f.byHash {
		if w.cold.until.After(now) && w.cold.rate > 0 {
			list = append(list, Cold{hash, w.cold.until})
		}
	}
	return list
}

// RecordSharedCold records cold workers of which another router told, and returns the
// number of those that were not known.
func (f *Fleet) RecordSharedCold(list []Cold, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := 0
	for _, c := range list {
		if w := f.byHash[c.WorkerHash]; w != nil && f.recordCold(w, c.Until, now) {
			news++
		}
	}
	return news
}

// ColdCount returns the number of reachable workers of an upstream that get requests only
// with permits because they are cold.
func (f *Fleet) ColdCount(upstream string, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	if p := f.pools[upstream]; p != nil && len(f.coldWorkers) > 0 {
		for _, w := range p.workers {
			if !w.unreachable && f.isCold(w, now) {
				n++
			}
		}
	}
	return n
}

// ColdChange is the begin of a worker's cold time, or the end of the rise after it.
type ColdChange struct {
	Worker, Upstream string
	Cold             bool
	Left             time.Duration // of the cold time, where it begins
	Took             time.Duration // since its begin, where the rise ends
}

// ColdState returns the changes since the last call, the number of workers that get
// requests only with permits because they are cold, and the time until the next one may
// need none, 0 if there is no such worker.
func (f *Fleet) ColdState(now time.Time) (changes []ColdChange, cold int, next time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.coldWorkers = slices.DeleteFunc(f.coldWorkers, func(w *Worker) bool {
		c := &w.cold
		if f.isCold(w, now) {
			if !c.announced {
				c.announced = true
				changes = append(changes, ColdChange{Worker: w.ID, Upstream: w.Upstream, Cold: true, Left: c.until.Sub(now)})
			}
			cold++
			if end := max(c.riseFrom.Add(coldRise(c.rate, f.coldRouters(now))).Sub(now), time.Millisecond); cold == 1 || end < next {
				next = end
			}
			return f.byID[w.ID] != w
		}
		if c.until.After(now) { // its upstream states no figure yet
			return f.byID[w.ID] != w
		}
		if c.announced && f.byID[w.ID] == w {
			changes = append(changes, ColdChange{Worker: w.ID, Upstream: w.Upstream, Took: now.Sub(c.startedAt)})
		}
		ended := coldStart{until: c.until, warmAt: c.warmAt}
		if c.announced {
			ended.warmAt = now
		}
		w.cold = ended
		return true
	})
	return changes, cold, next
}
