package routing

import (
	"maps"
	"slices"
	"time"
)

// Workers say in their responses that they leave or that they want no requests for a
// while. A router is bound by what it was told itself: every router that sends to a
// worker is told by the worker's next response. It learns from other routers of pauses
// that they were asked for, and prefers other workers meanwhile.

// statements is what a worker process has said about the requests that it takes. A
// new process of the same ID starts without any.
type statements struct {
	leavingSince time.Time // when it first said that it leaves; zero if it did not
	pausedUntil  time.Time // until then it wants no requests of this router; zero if it never said so
	pausedAt     time.Time // when it first said so, of the current pause
	shared       Pause     // of another router, the zero value for none
}

func (s statements) isLeaving() bool            { return !s.leavingSince.IsZero() }
func (s statements) isPaused(at time.Time) bool { return at.Before(s.pausedUntil) }

// isPausedElsewhere reports whether the worker has asked another router for a pause.
func (s statements) isPausedElsewhere(at time.Time) bool { return at.Before(s.shared.Until) }

// toShare returns the pause of which other routers are to be told, and false if there is
// none.
func (s statements) toShare(now time.Time) (Pause, bool) {
	own := Pause{Until: s.pausedAt.Add(maxSharedPause), Hops: maxPauseHops}
	if s.pausedUntil.Before(own.Until) {
		own.Until = s.pausedUntil
	}
	if own.Until.After(now) {
		return own, true
	}
	return s.shared, s.shared.Hops > 0 && s.isPausedElsewhere(now)
}

const (
	// maxSharedPause is the part of a pause of which other routers are told, from its
	// begin. A worker that names a long one to one router only stays in use at the
	// others.
	maxSharedPause = 10 * time.Second
	// maxPauseHops is how often a pause is passed on. Its end is later by the time in
	// transit each time, so without a limit routers could keep it alive among each
	// other. Of two, the one with more hops left is the more exact. Three messages a round and router reach 400 routers in six hops.
	maxPauseHops = 6
	// statementTTL is how long the statements of a worker that is no longer listed
	// are kept. Registrations expire while the store does not reply, and the same
	// process is listed again later.
	statementTTL = 10 * time.Minute
	// maxDeparted limits the unlisted workers whose statements are kept.
	maxDeparted = 4096
	// resumePeriod is the time after a pause in which a worker gets no more requests
	// than the others, so that it is not the least loaded one for all at once. Each
	// worker's requests of the last resumeWindow are compared.
	resumePeriod = 2 * time.Second
	resumeWindow = time.Second
)

// RecordLeaving records that a worker said that it leaves, and reports whether this
// is the first time. It gets no more requests while its upstream has another worker
// to choose, and none after Config.LeavingGrace.
func (f *Fleet) RecordLeaving(w *Worker, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	w = f.newestEntry(w)
	if w.said.isLeaving() {
		return false
	}
	w.said.leavingSince = now
	f.markLeaving(w, now)
	f.keepIfUnlisted(w, now)
	f.rebuildPools(now)
	return true
}

// RecordPause records that a worker wants no requests of this router for a duration,
// at most Config.MaxPause. Of several pauses the latest end counts. It returns the
// end, and whether the worker was not paused before.
func (f *Fleet) RecordPause(w *Worker, d time.Duration, now time.Time) (until time.Time, started bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w = f.newestEntry(w)
	if started = !w.said.isPaused(now); started {
		w.said.pausedAt = now
	}
	if end := now.Add(min(d, f.cfg.MaxPause)); end.After(w.said.pausedUntil) {
		w.said.pausedUntil = end
		f.keepIfUnlisted(w, now)
	}
	return w.said.pausedUntil, started && w.said.isPaused(now)
}

// Pause is a pause of a worker that a router was asked for.
type Pause struct {
	WorkerHash uint32 // gossip.WorkerHash of the worker's ID
	Until      time.Time
	Hops       int // how often it may still be passed on
}

// Pauses returns the pauses of which other routers are to be told, in no order.
func (f *Fleet) Pauses(now time.Time) []Pause {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Pause
	for hash, w := range f.byHash {
		if p, ok := w.said.toShare(now); ok {
			p.WorkerHash = hash
			list = append(list, p)
		}
	}
	return list
}

// RecordSharedPauses records pauses that other routers were asked for, and returns the
// number of those that were not known. The workers get requests that no other worker
// takes.
func (f *Fleet) RecordSharedPauses(list []Pause, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	news := 0
	for _, p := range list {
		w := f.byHash[p.WorkerHash]
		if w == nil || p.Hops <= 0 {
			continue
		}
		p.Hops = min(p.Hops, maxPauseHops) - 1
		if latest := now.Add(maxSharedPause); p.Until.After(latest) {
			p.Until = latest
		}
		known, isKnown := w.said.shared, w.said.isPausedElsewhere(now)
		if !p.Until.After(now) || isKnown && (p.Hops < known.Hops || p.Hops == known.Hops && !p.Until.After(known.Until)) {
			continue
		}
		if !isKnown && !w.said.isPaused(now) {
			news++
		}
		w.said.shared = p
	}
	return news
}

// NextOpening returns the time until the first paused worker of an upstream takes
// requests again, and the number of paused workers. The number is 0 if another worker
// takes requests. Unreachable workers and those that leave do not count.
func (f *Fleet) NextOpening(upstream string, now time.Time) (wait time.Duration, paused int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p := f.pools[upstream]; p != nil {
		return p.nextOpening(now)
	}
	return 0, 0
}

func (p *pool) nextOpening(now time.Time) (wait time.Duration, paused int) {
	for _, w := range p.workers {
		if w.unreachable {
			continue
		}
		if !w.said.isPaused(now) {
			return 0, 0
		}
		paused++
		if d := w.said.pausedUntil.Sub(now); paused == 1 || d < wait {
			wait = d
		}
	}
	return wait, paused
}

// isWithinShare reports whether a worker that has resumed after a pause got no more
// of this router's requests than the mean worker. It is true for all other workers.
func (p *pool) isWithinShare(w *Worker, now time.Time) bool {
	if now.Sub(w.said.pausedUntil) >= resumePeriod {
		return true
	}
	since, sent := now.Add(-resumeWindow), 0
	for _, other := range p.workers {
		sent += other.sentSince(since)
	}
	return w.sentSince(since)*len(p.workers) <= sent
}

// pickLeaving picks a worker that leaves, for requests that no other worker takes.
func (f *Fleet) pickLeaving(p *pool, tried []*Worker, now time.Time) (Choice, bool) {
	var candidates []*Worker
	for _, w := range p.leaving {
		if now.Sub(w.said.leavingSince) < f.cfg.LeavingGrace && !w.unreachable && !w.said.isPaused(now) && !slices.Contains(tried, w) {
			candidates = append(candidates, w)
		}
	}
	hasPermit := func(w *Worker) bool { return f.hasPermit(w, now, 0) }
	if !slices.ContainsFunc(candidates, hasPermit) {
		return Choice{}, false
	}
	c := f.pickLeastLoaded(candidates, hasPermit, now)
	c.Reason = ReasonLeaving
	return c, true
}

// anonymousPeriod is how long a worker counts as one that refuses without a request
// ID: an overload usually lasts no longer.
const anonymousPeriod = time.Minute

// RecordAnonymousRefusal records that a worker refused a request without a request
// ID, and reports whether this is the first time within anonymousPeriod.
func (f *Fleet) RecordAnonymousRefusal(w *Worker, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := now.Sub(w.anonymousAt) >= anonymousPeriod
	w.anonymousAt = now
	return first
}

// RefusesAnonymously reports whether a worker has refused a request without a
// request ID within anonymousPeriod.
func (f *Fleet) RefusesAnonymously(w *Worker, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(w.anonymousAt) < anonymousPeriod
}

// newestEntry returns the entry of the same process that is listed now, if the worker
// was unlisted for a while since the request was sent to it, and otherwise the worker.
func (f *Fleet) newestEntry(w *Worker) *Worker {
	if listed := f.byID[w.ID]; listed != nil && listed.isSameProcess(w.WorkerInfo) {
		return listed
	}
	return w
}

// keepIfUnlisted keeps the statements of a worker that is not listed. A process whose
// start is known is kept in any case, since it is not cold when it is listed again.
func (f *Fleet) keepIfUnlisted(w *Worker, now time.Time) {
	if f.byID[w.ID] == w {
		return
	}
	if w.said.isLeaving() || w.said.isPaused(now) || w.StartedAtMs != 0 {
		f.departed[w.ID] = w
	}
	if len(f.departed) > maxDeparted {
		maps.DeleteFunc(f.departed, func(_ string, w *Worker) bool { return now.Sub(w.leftAt) >= statementTTL })
	}
	if len(f.departed) > maxDeparted {
		clear(f.departed)
	}
}

// restoreStatements gives a worker that is listed again what the same process said
// before, and reports whether it is the same process. Where the start of the process is
// not known, it counts as a new one.
func (f *Fleet) restoreStatements(w *Worker, now time.Time) bool {
	before := f.departed[w.ID]
	delete(f.departed, w.ID)
	if before == nil || w.StartedAtMs == 0 || !before.isSameProcess(w.WorkerInfo) || now.Sub(before.leftAt) >= statementTTL {
		return false
	}
	w.said = before.said
	if !before.cold.startedAt.IsZero() {
		w.cold, w.rateLimit.permits = before.cold, before.rateLimit.permits
		w.cold.rate = f.coldRate(w.Upstream)
		f.coldWorkers = append(f.coldWorkers, w)
	}
	return true
}
