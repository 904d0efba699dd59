package lease

import "time"

// Times after which a router that is neither holder nor successor may adopt a
// lease. The platform's list lags by about 10 s, so that a router that is
// missing from it for a minute has certainly been removed; a router that is
// still listed may be cut off from us only, hence the longer wait.
const (
	OrphanTimeout       = 60 * time.Second
	ListedOrphanTimeout = 10 * time.Minute
)

// Evidence is what a router knows of the holder and the successor in a row.
type Evidence struct {
	// HolderSilence and SuccessorSilence are the times without an answer; a row
	// without a successor has SuccessorSilence = HolderSilence.
	HolderSilence    time.Duration
	SuccessorSilence time.Duration
	// OthersSilence is the longest time without news among the other routers
	// that the list names as live, 0 when there are none. A router that is
	// cut off itself proves nothing: the others may still hear the holder.
	OthersSilence time.Duration
	// UnlistedFor is how long the platform's VM list has named neither of them.
	UnlistedFor time.Duration
}

// Orphaned reports whether the evidence permits a router that is not named in
// the row to take over.
func Orphaned(e Evidence) bool {
	if e.OthersSilence >= OrphanTimeout/2 {
		return false
	}
	silent := min(e.HolderSilence, e.SuccessorSilence)
	if silent >= ListedOrphanTimeout {
		return true
	}
	return silent >= OrphanTimeout && e.UnlistedFor >= OrphanTimeout
}
