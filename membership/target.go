package membership

import (
	"cmp"
	"slices"
	"time"
)

// goneProbability is the probability with which a router that is gone is contacted
// in place of another one, so that the sides of a network partition find each other
// again.
const goneProbability = 0.2

// Target is a router to send to.
type Target struct {
	Router  string
	Address string
}

// Targets returns up to n random routers of this router's failure domain.
func (v *View) Targets(now time.Time, n int) []Target {
	present, gone := v.candidates(now, func(domain string) bool { return domain == v.self.entry.Domain })
	targets := v.pickRandom(present, n)
	if len(gone) > 0 && (len(targets) < n || v.cfg.Rand.Float64() < goneProbability) {
		if len(targets) == n {
			targets = targets[:n-1]
		}
		targets = append(targets, v.pickRandom(gone, 1)...)
	}
	return targets
}

// RemoteTarget returns a random router of a random other failure domain, if one
// is known.
func (v *View) RemoteTarget(now time.Time) (Target, bool) {
	domains := map[string]bool{}
	for _, m := range v.members {
		if d := m.domain(); d != "" && d != v.self.entry.Domain && m.address() != "" {
			domains[d] = true
		}
	}
	if len(domains) == 0 {
		return Target{}, false
	}
	names := make([]string, 0, len(domains))
	for d := range domains {
		names = append(names, d)
	}
	slices.Sort(names)
	name := names[v.cfg.Rand.IntN(len(names))]
	present, gone := v.candidates(now, func(domain string) bool { return domain == name })
	if len(present) == 0 || len(gone) > 0 && v.cfg.Rand.Float64() < goneProbability {
		present = gone
	}
	return v.pickRandom(present, 1)[0], true
}

// DomainPeers returns all routers of this router's failure domain that are not
// gone.
func (v *View) DomainPeers(now time.Time) []Target {
	present, _ := v.candidates(now, func(domain string) bool { return domain == v.self.entry.Domain })
	return v.pickRandom(present, len(present))
}

// candidates returns the other routers of the matching failure domains that have
// an address, sorted by ID.
func (v *View) candidates(now time.Time, inDomain func(domain string) bool) (present, gone []*member) {
	for _, m := range v.members {
		if m == v.self || m.address() == "" || !inDomain(m.domain()) {
			continue
		}
		if v.state(now, m) == Gone {
			gone = append(gone, m)
		} else {
			present = append(present, m)
		}
	}
	byID := func(a, b *member) int { return cmp.Compare(a.entry.Router, b.entry.Router) }
	slices.SortFunc(present, byID)
	slices.SortFunc(gone, byID)
	return present, gone
}

// pickRandom picks up to n members at random. The list must be sorted, so that a
// seeded source gives the same choice in each run.
func (v *View) pickRandom(list []*member, n int) []Target {
	var targets []Target
	for _, i := range v.cfg.Rand.Perm(len(list)) {
		if len(targets) == n {
			break
		}
		targets = append(targets, Target{Router: list[i].entry.Router, Address: list[i].address()})
	}
	return targets
}

// IsIsolated reports whether all routers of this failure domain except the given
// one have been silent for the given time, although the VM list has some that are
// not leaving.
func (v *View) IsIsolated(now time.Time, except string, silence time.Duration) bool {
	others := false
	for id, m := range v.members {
		if m == v.self || id == except || m.domain() != v.self.entry.Domain {
			continue
		}
		if !m.lastHeard.IsZero() && now.Sub(m.lastHeard) < silence {
			return false
		}
		others = others || m.listed && !m.listedLeaving
	}
	return others && now.Sub(v.created) >= silence
}
