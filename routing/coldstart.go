package routing

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// A worker that has just started during traffic serves few requests at first and crashes
// above a rate that the configuration states. It is empty, so it looks like the least
// loaded worker to all routers at once. Each router therefore sends it requests only with
// permits (ratelimit.go), and the permits of all routers together stay below the bound in
// every second. With so few permits a prompt would alternate between the worker and its
// next preference, so prompts go to the latter meanwhile. After the cold time the worker's
// part of the requests rises to all of them: each router lets each prompt return at a
// moment of its own.

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
	// coldRise is the time in which a worker's part of the requests rises after the cold
	// time. Load reports reach all routers within it (loadTTL).
	coldRise = 3 * time.Second
	// coldSetback is how much later the part rises after a failed or slow response.
	coldSetback = time.Second
	// maxColdRise limits the time after the cold time in which the part rises, so that
	// callers that leave cannot keep a worker from its requests.
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
	startedAt time.Time // zero if the worker is neither cold nor rising
	rate      float64   // see Fleet.coldRate
	until     time.Time // end of the cold time
	riseFrom  time.Time // from then the part of the requests rises
	warmAt    time.Time // end of the last rise, zero for none
	announced bool      // ColdState has returned its begin
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
	if c.startedAt.IsZero() || c.rate <= 0 || !now.Before(c.riseFrom) {
		return pace{}, false
	}
	return pace{period: permitPeriod(c.rate, f.coldRouters(now)), ttl: coldPermitTTL}, true
}

// risenPart returns the part of its requests that a worker gets after its cold time, from 0
// to 1.
func (w *Worker) risenPart(now time.Time) float64 {
	c := &w.cold
	if c.startedAt.IsZero() || c.rate <= 0 || now.Sub(c.until) >= maxColdRise {
		return 1
	}
	return min(max(now.Sub(c.riseFrom).Seconds()/coldRise.Seconds(), 0), 1)
}

// isCold reports whether a worker gets few requests because it is cold or was so shortly
// before.
func (f *Fleet) isCold(w *Worker, now time.Time) bool { return w.risenPart(now) < 1 }

// leavesToOthers reports whether a request should go to another worker, if there is one,
// because this one is cold or its part of the requests has not risen to it. key is that of
// the prompt, 0 for a request without one, which cold workers get with permits once the
// number of routers is known.
func (f *Fleet) leavesToOthers(w *Worker, key uint64, now time.Time) bool {
	part := w.risenPart(now)
	if part >= 1 {
		return false
	}
	if part == 0 && key == 0 {
		return !f.size.isKnown(now)
	}
	if key == 0 {
		// It looks like the least loaded worker to all requests that it may get, so the
		// part of them rises from that of one of all workers.
		key = uint64(now.UnixNano())
		part *= math.Pow(float64(max(len(f.pool(w.Upstream).workers), 1)), part-1)
	}
	if f.salt == 0 {
		f.salt = 1 + uint64(f.cfg.Random(math.MaxInt))
	}
	return float64(placement.Score(key^f.salt, bits.RotateLeft64(w.hash, 16))) >= part*math.MaxUint64
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

// setBackCold delays the rise of a worker's part after a response that failed or was slow.
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

// ColdCount returns the number of reachable workers of an upstream that get few requests
// because they are cold or were so shortly before.
func (f *Fleet) ColdCount(upstream string, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[upstream]; p != nil {
		return f.coldCount(p, now)
	}
	return 0
}

func (f *Fleet) coldCount(p *pool, now time.Time) int {
	n := 0
	if len(f.coldWorkers) > 0 {
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

// ColdState returns the changes since the last call, the number of workers that are cold or
// whose part of the requests rises, and the time until the next one may get all of them, 0
// if there is no such worker.
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
			if end := max(c.riseFrom.Add(coldRise).Sub(now), time.Millisecond); cold == 1 || end < next {
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
