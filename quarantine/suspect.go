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
}

// isOpen reports whether a crash under the part has not been followed by a success.
func (s *suspect) isOpen() bool {
	return len(s.crashes) > 0 && s.crashes[len(s.crashes)-1].at.After(s.lastSuccess)
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

// leastUseful returns the index of a crash that a success followed or that came too
// soon after another to count, or else of the oldest.
func (s *suspect) leastUseful(minGap time.Duration) int {
	for i, c := range s.crashes {
		if !c.at.After(s.lastSuccess) || i > 0 && c.at.Sub(s.crashes[i-1].at) < minGap {
			return i
		}
	}
	return 0
}

func (s *suspect) sort() {
	slices.SortFunc(s.crashes, func(a, b crash) int { return a.at.Compare(b.at) })
}
