package routing

import (
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// When workers join, leave or are overloaded, a prompt goes to another worker than
// before. Copying the cached parts to it costs a fraction of another prefill.

// fetchSource returns the address of a worker that probably has more of the
// prompt cached than the chosen one, empty for none. It is the worker that served
// the last shared part before, according to this router's own recent placements or
// else to the order of preference. If there is none, it is a worker that served one
// of the earlier parts.
func (f *Fleet) fetchSource(parts []PromptPart, c Choice, now time.Time) string {
	last := len(parts) - 1
	previous, placedAt := f.placements.get(parts[last].ID, now)
	if previous == c.Worker {
		return ""
	}
	usable := previous != nil && f.reachable(previous, now)
	if usable && now.Sub(placedAt) <= recentPlacement {
		return previous.Address
	}
	if owner := f.formerOwner(parts[last].ID, c, now); owner != nil {
		return owner.Address
	}
	if usable {
		return previous.Address
	}
	for i := last - 1; i >= 0; i-- {
		if previous, _ := f.placements.get(parts[i].ID, now); previous != nil && previous != c.Worker && f.reachable(previous, now) {
			return previous.Address
		}
	}
	return ""
}

// formerOwner returns the worker that probably served the key before, nil if that
// is the chosen one: the first preference among the workers that have been there for
// ownerAge, those that left recently and evacuated ones included. Workers that joined or
// returned since then have probably not served it yet, also if they now rank before that
// worker.
func (f *Fleet) formerOwner(key uint64, c Choice, now time.Time) *Worker {
	var owner *Worker
	var topScore uint64
	consider := func(w *Worker) {
		if since := w.servingSince(); w == c.Worker || !since.IsZero() && now.Sub(since) < ownerAge || !f.reachable(w, now) {
			return
		}
		if score := placement.Score(key, w.hash); owner == nil || score > topScore {
			owner, topScore = w, score
		}
	}
	p := f.pool(c.Worker.Upstream)
	since := c.Worker.servingSince()
	isOwner := c.PreferenceIndex == 0 && (since.IsZero() || now.Sub(since) > newWorkerAge)
	if !isOwner {
		for _, w := range p.workers {
			consider(w)
		}
	}
	for _, w := range p.evacuated {
		if f.servedBeforeEvacuation(w) && (!isOwner || placement.Score(key, w.hash) > placement.Score(key, c.Worker.hash)) {
			consider(w)
		}
	}
	for _, w := range f.leaving {
		// A worker that left is a source for a long-standing owner only if it was
		// the key's first preference until then.
		if w.Upstream == c.Worker.Upstream && (!isOwner || placement.Score(key, w.hash) > placement.Score(key, c.Worker.hash)) {
			consider(w)
		}
	}
	return owner
}

// reachable reports whether a worker probably still responds. Workers that left
// the list are assumed to respond for departedTTL.
func (f *Fleet) reachable(w *Worker, now time.Time) bool {
	if f.byID[w.ID] == w {
		return !w.unreachable
	}
	return !w.unreachable && !w.leftAt.IsZero() && now.Sub(w.leftAt) <= departedTTL
}
