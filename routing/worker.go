package routing

import (
	"slices"
	"time"
)

// WorkerInfo is what the list of workers says of one.
type WorkerInfo struct {
	ID            string
	Upstream      string
	Address       string // IP:port
	FailureDomain string
	Slots         int   // requests that it runs at a time
	StartedAtMs   int64 // start of the process in ms since the epoch, 0 if not said
	Draining      bool
}

// WorkerList is the list of workers at a moment. It is not modified after it has
// been published.
type WorkerList struct {
	Version int64
	At      time.Time // when it was read
	Workers []WorkerInfo
}

// Load is a worker's load as some router saw it.
type Load struct {
	WorkerHash uint32 // gossip.WorkerHash of its ID
	InFlight   int    // requests on it
	At         time.Time
}

// Worker is one process of an upstream. Fields after the blank line are
// guarded by Fleet.mu.
type Worker struct {
	WorkerInfo
	hash   uint64
	joined time.Time // when this router first saw it; zero if it was there at the start

	inFlight   int // requests of this router
	unanswered int // of these, without a first byte
	load       int // requests on the worker at loadAt
	loadAt     time.Time
	sent       []time.Time // of this router's requests in the last loadMemory
	left       time.Time   // when it began to leave
	lost       bool        // cannot be reached
}

// busy estimates the requests on a worker from its last report and this
// router's own requests.
func (w *Worker) busy(now time.Time) int {
	if now.Sub(w.loadAt) > loadMemory {
		return w.inFlight
	}
	return max(w.inFlight, w.load+w.sentSince(w.loadAt))
}

// sentSince counts this router's requests after a time.
func (w *Worker) sentSince(t time.Time) int {
	n := 0
	for n < len(w.sent) && w.sent[len(w.sent)-1-n].After(t) {
		n++
	}
	return n
}

// send counts a request.
func (w *Worker) send(now time.Time) {
	w.inFlight++
	w.unanswered++
	old := 0
	for old < len(w.sent) && now.Sub(w.sent[old]) > loadMemory {
		old++
	}
	w.sent = append(slices.Delete(w.sent, 0, old), now)
}
