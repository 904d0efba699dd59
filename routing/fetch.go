package routing

import (
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// Load pattern: prompts whose first choice changes because workers join, leave
// or are busy. Copying cached parts costs a fraction of reading them again.

// fetchSource names a worker that probably keeps more of the prompt than the
// chosen one: the worker that had the last shared part before, by this router's
// memory or else by its rank, or one that has the parts before it.
func (f *Fleet) fetchSource(parts []PromptPart, c Choice, free []*Worker, ranked []int, now time.Time) string {
	last := len(parts) - 1
	if home := f.homes.get(parts[last].ID, now); home != nil {
		if home == c.Worker {
			return ""
		}
		if f.reachable(home, now) {
			return home.Address
		}
	} else if address := f.formerHome(parts[last].ID, c, free, ranked, now); address != "" {
		return address
	}
	for i := last - 1; i >= 0; i-- {
		if home := f.homes.get(parts[i].ID, now); home != nil && home != c.Worker && f.reachable(home, now) {
			return home.Address
		}
	}
	return ""
}

// formerHome names the worker that was the first choice of a part before the
// chosen one, if the list of workers changed lately.
func (f *Fleet) formerHome(key uint64, c Choice, free []*Worker, ranked []int, now time.Time) string {
	if c.PreferenceIndex > 0 {
		return free[ranked[0]].Address
	}
	if c.Worker.joined.IsZero() || now.Sub(c.Worker.joined) > youngWorker {
		return f.departed(key, c.Worker, now)
	}
	if len(ranked) > 1 {
		return free[ranked[1]].Address
	}
	return ""
}

// reachable reports whether a worker may still answer.
func (f *Fleet) reachable(w *Worker, now time.Time) bool {
	if f.byID[w.ID] == w {
		return !w.lost
	}
	return !w.lost && !w.left.IsZero() && now.Sub(w.left) <= departedMemory
}

// departed returns the address of a worker that left lately and was the first
// choice of the key before.
func (f *Fleet) departed(key uint64, chosen *Worker, now time.Time) string {
	top, address := placement.Score(key, chosen.hash), ""
	for _, w := range f.leaving {
		if w.Upstream != chosen.Upstream || now.Sub(w.left) > departedMemory {
			continue
		}
		if score := placement.Score(key, w.hash); score > top {
			top, address = score, w.Address
		}
	}
	return address
}
