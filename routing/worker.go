package routing

import (
	"slices"
	"time"
)

// WorkerInfo is a worker's entry in the worker list.
type WorkerInfo struct {
	ID            string
	Upstream      string
	Address       string // IP:port
	FailureDomain string
	Slots         int   // requests that it runs concurrently
	StartedAtMs   int64 // start time of the process in ms since the epoch, 0 if unknown
	Draining      bool
	// ColdLeft is how much longer the worker stays cold as of RegisteredAt, 0 if it is
	// not cold. RegisteredAt is when its registration arrived, zero for WorkerList.At.
	ColdLeft     time.Duration
	RegisteredAt time.Time
}

// WorkerList is the worker list at a point in time. It is not modified after it
// has been published.
type WorkerList struct {
	Version int64
	At      time.Time // when the list was read
	Workers []WorkerInfo
}

// Load is a worker's load as reported to some router.
type Load struct {
	WorkerHash uint32    // gossip.WorkerHash of the worker's ID
	InFlight   int       // requests on the worker
	At         time.Time // time of the report
}

// Worker is one process of an upstream. Slots, Draining and the fields after the
// blank line are guarded by Fleet.mu; the other fields of WorkerInfo do not change.
type Worker struct {
	WorkerInfo
	hash     uint64
	joinedAt time.Time // when this router first saw the worker; zero if it was in the first list

	inFlight     int // requests of this router
	unanswered   int // requests of this router without a first byte
	reportedLoad int // requests on the worker at reportedAt, by its last report
	reportedAt   time.Time
	workPercent  int         // how long work took at reportedAt, in percent of the usual time; 0 if unknown
	sentTimes    []time.Time // send times of this router's requests in the last loadTTL
	leftAt       time.Time   // when it began to drain or left the list
	returnedAt   time.Time   // when the last evacuation of its domain ended, zero for none
	unreachable  bool        // connections to it fail
	anonymousAt  time.Time   // when it last refused a request without naming it
	rateLimit    rateLimit
	cold         coldStart
	said         statements
	speed        speed
	tokens       int // that this router's requests hold at their end
	// unread are the prompt tokens that it has to read for unreadCount requests of this
	// router that have no first byte yet.
	unread, unreadCount int
}

// isSameProcess reports whether an entry of the worker list is about this process.
func (w *Worker) isSameProcess(info WorkerInfo) bool {
	return w.ID == info.ID && w.StartedAtMs == info.StartedAtMs && w.Address == info.Address && w.Upstream == info.Upstream && w.FailureDomain == info.FailureDomain
}

// currentLoad estimates the requests on a worker from its last report and the
// requests that this router sent since.
func (w *Worker) currentLoad(now time.Time) int {
	if now.Sub(w.reportedAt) > loadTTL {
		return w.inFlight
	}
	return max(w.inFlight, w.reportedLoad+w.sentSince(w.reportedAt))
}

// averageLoad estimates the load of a worker for a mean of several. A worker reports
// when a request starts and counts that request, so its reports are too high by one on
// average.
func (w *Worker) averageLoad(now time.Time) int {
	load := w.currentLoad(now)
	if now.Sub(w.reportedAt) > loadTTL {
		return load
	}
	return max(load-1, 0)
}

// sentSince counts the requests that this router sent after a time.
func (w *Worker) sentSince(t time.Time) int {
	n := 0
	for n < len(w.sentTimes) && w.sentTimes[len(w.sentTimes)-1-n].After(t) {
		n++
	}
	return n
}

// recordSent counts a request sent to the worker.
func (w *Worker) recordSent(now time.Time) {
	w.inFlight++
	w.unanswered++
	expired := 0
	for expired < len(w.sentTimes) && now.Sub(w.sentTimes[expired]) > loadTTL {
		expired++
	}
	w.sentTimes = append(slices.Delete(w.sentTimes, 0, expired), now)
}
