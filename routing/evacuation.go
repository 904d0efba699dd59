package routing

import (
	"maps"
	"slices"
	"time"
)

// The operator evacuates a failure domain before work on it: from then on its workers
// get no requests, and all of its load comes to the other domains at once. Its workers
// stay listed, so that their requests end and prompt parts are fetched from their
// caches. At the end all of them are idle and would be the least loaded ones for all
// routers at once.

// returnPeriod is the time after an evacuation in which the workers that are taken back
// get at most the mean share of the requests without a prompt. Loads are reported in
// responses and reach all routers by gossip within it (loadTTL).
const returnPeriod = 3 * time.Second

// Kinds of Change that name a failure domain.
const (
	ChangeEvacuated = "evacuated"
	ChangeTakenBack = "taken back"
)

// SetEvacuated replaces the set of evacuated failure domains and returns those of which
// workers are listed and for which an evacuation has begun or ended. An evacuation of
// another domain comes into force when a worker of it is listed, see Apply.
func (f *Fleet) SetEvacuated(domains []string, now time.Time) []Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := map[string]time.Time{}
	for _, d := range domains {
		since[d] = now
		if known, ok := f.evacuated[d]; ok {
			since[d] = known
		}
	}
	f.evacuated = since
	var changes []Change
	for _, d := range slices.Sorted(maps.Keys(f.evacuationsInForce)) {
		if !f.isEvacuated(d) {
			delete(f.evacuationsInForce, d)
			changes = append(changes, Change{Kind: ChangeTakenBack, Domain: d, Workers: f.takeBack(d, now)})
		}
	}
	changes = append(changes, f.enforceEvacuations()...)
	f.rebuildPools(now)
	return changes
}

// enforceEvacuations returns the evacuations that come into force because workers of
// their domains are listed. The caller holds mu.
func (f *Fleet) enforceEvacuations() []Change {
	if len(f.evacuated) == 0 {
		return nil
	}
	workers := map[string]int{}
	for _, w := range f.byID {
		workers[w.FailureDomain]++
	}
	var changes []Change
	for _, d := range slices.Sorted(maps.Keys(f.evacuated)) {
		if workers[d] > 0 && !f.evacuationsInForce[d] {
			f.evacuationsInForce[d] = true
			changes = append(changes, Change{Kind: ChangeEvacuated, Domain: d, Workers: workers[d]})
		}
	}
	return changes
}

// takeBack marks the workers of a domain as returned and returns their number. The
// caller holds mu.
func (f *Fleet) takeBack(domain string, now time.Time) int {
	n := 0
	for _, w := range f.byID {
		if w.FailureDomain == domain {
			w.returnedAt = now
			f.pool(w.Upstream).returnEnds = now.Add(returnPeriod)
			n++
		}
	}
	return n
}

// isEvacuated reports whether a failure domain is evacuated. The caller holds mu.
func (f *Fleet) isEvacuated(domain string) bool {
	_, ok := f.evacuated[domain]
	return ok
}

// IsEvacuated reports whether nothing may be sent to a worker because its failure domain
// is evacuated.
func (f *Fleet) IsEvacuated(w *Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isEvacuated(w.FailureDomain)
}

// AllEvacuated reports whether an upstream has no worker to choose because all that
// could get requests are in evacuated failure domains.
func (f *Fleet) AllEvacuated(upstream string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[upstream]
	return p != nil && p.isEvacuated()
}

func (p *pool) isEvacuated() bool { return len(p.evacuated) > 0 && len(p.workers) == 0 }

// hasJustReturned reports whether the worker's domain was evacuated until less than
// returnPeriod ago.
func (w *Worker) hasJustReturned(now time.Time) bool {
	return !w.returnedAt.IsZero() && now.Sub(w.returnedAt) < returnPeriod
}

// admitsReturned decides whether a request may go to workers that have just returned.
// Of the requests without a prompt as large a part may as these workers are of all, by
// chance: a router of a large fleet sends too few requests to compare counts, and its
// first one would go to an idle worker at every router. Prompts keep to their order of
// preference, by which each worker is the first for its share. The caller holds mu.
func (f *Fleet) admitsReturned(p *pool, r Request, now time.Time) bool {
	if !now.Before(p.returnEnds) || len(r.SharedParts) > 0 {
		return true
	}
	returned := 0
	for _, w := range p.workers {
		if w.hasJustReturned(now) {
			returned++
		}
	}
	return returned == 0 || f.cfg.Random(len(p.workers)) < returned
}

// servingSince returns the time from which the worker has got its part of the requests,
// zero if it did before this router started. While a worker is cold, and for some time
// after, most of its prompts are at their next preference.
func (w *Worker) servingSince() time.Time {
	since := w.joinedAt
	for _, at := range []time.Time{w.returnedAt, w.cold.warmAt} {
		if at.After(since) {
			since = at
		}
	}
	if w.cold.rate > 0 && w.cold.riseFrom.After(since) {
		since = w.cold.riseFrom
	}
	return since
}

// servedBeforeEvacuation reports whether an evacuated worker had got requests for
// ownerAge when its domain was evacuated, so that parts of prompts are probably cached
// there. The caller holds mu.
func (f *Fleet) servedBeforeEvacuation(w *Worker) bool {
	return f.evacuated[w.FailureDomain].Sub(w.servingSince()) >= ownerAge
}
