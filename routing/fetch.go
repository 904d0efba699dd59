package routing

import (
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// When workers join, leave or are overloaded, a prompt goes to another worker than
// before. Copying the cached parts to it costs a fraction of another prefill.

// fetchSource returns the address of a worker that probably has more of the
// prompt cached than the chosen one, empty for none. It is the worker that served
// the last shared part before, according to this router's own placements or else
// to the order of preference. If there is none, it is a worker that served one of
// the earlier parts.
func (f *Fleet) fetchSource(parts []PromptPart, c Choice, candidates []*Worker, preferences []int, now time.Time) string {
	last := len(parts) - 1
	if previous := f.placements.get(parts[last].ID, now); previous != nil {
		if previous == c.Worker {
			return ""
		}
		if f.reachable(previous, now) {
			return previous.Address
		}
	} else if address := f.formerPreference(parts[last].ID, c, candidates, preferences, now); address != "" {
		return address
	}
	for i := last - 1; i >= 0; i-- {
		if previous := f.placements.get(parts[i].ID, now); previous != nil && previous != c.Worker && f.reachable(previous, now) {
			return previous.Address
		}
	}
	return ""
}

// formerPreference returns the address of the worker that probably served the key
// before, empty for none. If a later preference was chosen, it is the first
// preference. Otherwise it is the worker that was the first preference until the
// chosen one joined, or one that left recently.
func (f *Fleet) formerPreference(key uint64, c Choice, candidates []*Worker, preferences []int, now time.Time) string {
	if c.PreferenceIndex > 0 {
		return candidates[preferences[0]].Address
	}
	if c.Worker.joinedAt.IsZero() || now.Sub(c.Worker.joinedAt) > newWorkerAge {
		return f.departedSource(key, c.Worker, now)
	}
	if len(preferences) > 1 {
		return candidates[preferences[1]].Address
	}
	return ""
}

// reachable reports whether a worker probably still responds. Workers that left
// the list are assumed to respond for departedTTL.
func (f *Fleet) reachable(w *Worker, now time.Time) bool {
	if f.byID[w.ID] == w {
		return !w.unreachable
	}
	return !w.unreachable && !w.leftAt.IsZero() && now.Sub(w.leftAt) <= departedTTL
}

// departedSource returns the address of a worker that left recently and was the
// key's first preference until then, empty for none.
func (f *Fleet) departedSource(key uint64, chosen *Worker, now time.Time) string {
	topScore, address := placement.Score(key, chosen.hash), ""
	for _, w := range f.leaving {
		if w.Upstream != chosen.Upstream || now.Sub(w.leftAt) > departedTTL {
			continue
		}
		if score := placement.Score(key, w.hash); score > topScore {
			topScore, address = score, w.Address
		}
	}
	return address
}
