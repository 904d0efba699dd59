package lease

import "time"

// Times after which a router that is neither holder nor successor may adopt a
// lease. The platform's VM list lags by about 10 s, so a router that has been
// missing from it for a minute has certainly been removed. A router that is
// still listed may only be unreachable from this one, hence the longer wait.
const (
	OrphanTimeout       = 60 * time.Second
	ListedOrphanTimeout = 10 * time.Minute
)

// Evidence is what a router knows about the holder and the successor named in a
// row.
type Evidence struct {
	// HolderSilence and SuccessorSilence are the times since the last message;
	// for a row without a successor, SuccessorSilence equals HolderSilence.
	HolderSilence    time.Duration
	SuccessorSilence time.Duration
	// OthersSilence is the longest silence among the other routers that the VM
	// list names as live, 0 if there are none. If it is long, this router may be
	// cut off itself, and its observations are no evidence: the other routers may
	// still hear the holder.
	OthersSilence time.Duration
	// UnlistedFor is how long the platform's VM list has contained neither the
	// holder nor the successor.
	UnlistedFor time.Duration
}

// Orphaned reports whether the evidence permits a router that is not named in
// the row to adopt the lease.
func Orphaned(evidence Evidence) bool {
	if evidence.OthersSilence >= OrphanTimeout/2 {
		return false
	}
	silence := min(evidence.HolderSilence, evidence.SuccessorSilence)
	if silence >= ListedOrphanTimeout {
		return true
	}
	return silence >= OrphanTimeout && evidence.UnlistedFor >= OrphanTimeout
}
