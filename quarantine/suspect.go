package quarantine

import (
	"slices"
	"time"
)

// suspect is a part under which a worker crashed.
type suspect struct {
	crashes     []crash // in the order of their times
	lastSuccess time.Time
	until       time.Time // end of the quarantine, zero for none
	trialAt     time.Time // earliest time of the next trial
}

type crash struct {
	worker uint32
	at     time.Time
	// explained says that a quarantined part was on the worker too.
	explained bool
}

// covers reports whether all workers that crashed under another part crashed under
// this one too.
func (s *suspect) covers(other *suspect) bool {
	for _, c := range other.crashes {
		if c.at.After(other.lastSuccess) && s.find(c.worker) == nil {
			return false
		}
	}
	return true
}

func (s *suspect) find(worker uint32) *crash {
	for i := range s.crashes {
		if s.crashes[i].worker == worker {
			return &s.crashes[i]
		}
	}
	return nil
}

// counts reports whether a crash may be due to the part: it came after the part's last
// success, and no other part explains it.
func (s *suspect) counts(c crash) bool {
	return !c.explained && c.at.After(s.lastSuccess)
}

// leastUseful returns the index of a crash that does not count, also because it came
// too soon after another, or else of the oldest.
func (s *suspect) leastUseful(minGap time.Duration) int {
	for i, c := range s.crashes {
		if !s.counts(c) || i > 0 && c.at.Sub(s.crashes[i-1].at) < minGap {
			return i
		}
	}
	return 0
}

func (s *suspect) sort() {
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}
