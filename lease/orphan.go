package lease

import "time"

// Times after which a router that is neither holder nor successor may adopt a
// lease. The platform's list lags by about 10 s, so that a router that is
// missing from it for a minute has certainly been removed; a router that is
// still listed may be cut off from us only, hence the longer wait.
const (
	OrphanSilence       = 60 * time.Second
	OrphanSilenceListed = 10 * time.Minute
)

// Evidence is what a router knows of the holder and the successor in a row.
type Evidence struct {
	// HolderSilent and SuccessorSilent are the times without an answer; a row
	// without a successor has SuccessorSilent = HolderSilent.
	HolderSilent    time.Duration
	SuccessorSilent time.Duration
	// OthersSilent is the longest time without news among the other routers
	// that the list names as live, 0 when there are none. A router that is
	// cut off itself proves nothing: the others may still hear the holder.
	OthersSilent time.Duration
	// Unlisted is how long the platform's VM list has named neither of them.
	Unlisted time.Duration
}

// Orphaned reports whether the evidence permits a router that is not named in
// the row to take over.
func Orphaned(e Evidence) bool {
	if e.OthersSilent >= OrphanSilence/2 {
		return false
	}
	silent := min(e.HolderSilent, e.SuccessorSilent)
	if silent >= OrphanSilenceListed {
		return true
	}
	return silent >= OrphanSilence && e.Unlisted >= OrphanSilence
}
