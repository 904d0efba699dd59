package routing

import "time"

// Listing is what the list of workers says of one.
type Listing struct {
	ID            string
	Upstream      string
	Address       string // IP:port
	FailureDomain string
	Slots         int   // requests that it runs at a time
	Born          int64 // start of the process in ms since the epoch, 0 if not said
	Draining      bool
}

// List is the list of workers at a moment. It is not modified after it has
// been published.
type List struct {
	Version int64
	At      time.Time // when it was read
	Workers []Listing
}

// Load is a worker's load as some router saw it.
type Load struct {
	Worker uint32 // gossip.WorkerHash of its ID
	Busy   int    // requests on it
	At     time.Time
}

// Worker is one process of an upstream. Fields after the blank line are
// guarded by Fleet.mu.
type Worker struct {
	Listing
	hash   uint64
	joined time.Time // when this router first saw it; zero if it was there at the start

	inFlight int // requests of this router
	load     int // requests on the worker at loadAt
	loadAt   time.Time
	added    int       // requests of this router since then
	left     time.Time // when it began to leave
	lost     bool      // cannot be reached
}

// busy estimates the requests on a worker from its last report and this
// router's own requests.
func (w *Worker) busy(now time.Time) int {
	if now.Sub(w.loadAt) > loadMemory {
		return w.inFlight
	}
	return max(w.inFlight, w.load+w.added)
}
