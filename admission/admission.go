// Package admission decides, at the router that holds the slot leases of some
// workers (the holder), which waiting request gets the next slot. It enforces a
// hard bound on the load of each worker, a floor for each rank, strict priority
// above the floors, and fair queueing by caller and workspace within a rank. It
// does no I/O; the time is passed in.
//
// On routes, where no router holds slots, a Gate decides which requests are sent on
// while an upstream is full, see docs/design/admission-on-routes.md.
//
// Contract. A worker is granted a slot only while its load, the new request
// included, is at most min(MaxInFlight, max(floor(c*mean), ceil(mean'))), where
// c is Config.LoadBound, mean is the mean load of the open workers of the
// upstream in the failure domain, and mean' counts the new request. Within that
// bound slots go
//
//  1. to ranks with waiting requests that hold less than their floor of the slots
//     in use, rounded up to whole slots, plus the deficit that they accumulated
//     while requests waited;
//  2. then by priority to callers within their fair share of the slots. A rank
//     leaves as many slots free for the more urgent ranks as their recent arrival
//     rate requires, up to Config.MaxReservedShare;
//  3. then by priority to callers that hold more than their share, which leave
//     up to twice as many slots free;
//  4. within a rank to the caller, and within the caller to the workspace, with
//     the lowest start tag (start-time fair queueing over tokens).
//
// The mean is only as accurate as the sums passed to SetRemoteLoad;
// Config.RemoteLoadMargin allows for their age.
//
// Every request that Enqueue accepts ends in exactly one of: a Grant, a Refusal
// or Cancel. When the queue of a rank is full, a request of the caller with
// the longest queue relative to its weight is refused to make room, so one caller
// cannot keep the others out.
//
// Failure behaviour: there are no errors. Requests with a slot are never
// preempted. A grant occupies its slot until Release, or until Grant.ExpiresAt if
// it is not released. After a takeover only the number of some slots in use may be
// known; they are counted through AddUnaccountedSlots.
//
// Concurrency: a Scheduler is not safe for concurrent use. The holder locks
// around it (lock level 40, see internal/core/lockorder.go) and must not call it
// from the callbacks of Advance and RefuseQueued.
//
// Cost: if the first preferred worker has a free slot, an Enqueue, Advance and
// Release take constant time apart from a scan of the callers that wait. If
// workers are full for some requests but not for others, Advance scans the queue.
// Requests are kept in reused records, so nothing is allocated in steady state.
package admission

import "time"

// RankConfig holds the settings of a rank that admission uses.
type RankConfig struct {
	Name        string
	Priority    int     // lower is more urgent
	Floor       float64 // share of slot time guaranteed while other ranks flood, 0 to 1
	QueueLimit  int     // maximum number of waiting requests
	MaxDuration time.Duration
}

// Config configures a Scheduler. It may change at run time.
type Config struct {
	Ranks []RankConfig
	// LoadBound is the multiple of the mean load that no worker may exceed.
	LoadBound float64
	// RemoteLoadMargin is the fraction by which the reported load of other
	// holders' workers is discounted when the mean is multiplied by LoadBound:
	// reports arrive late, and overestimating the mean would let a worker
	// exceed the bound. Default 0.04; negative for none.
	RemoteLoadMargin float64
	// UseWithin is the time within which a grant must be used. Default 2 s.
	UseWithin time.Duration
	// MaxReservedShare is the largest fraction of the slots that less urgent
	// ranks leave free for more urgent ones, rounded to whole slots. Default
	// 0.05; negative for none.
	MaxReservedShare float64
}

// Worker is a worker whose slots the holder grants.
type Worker struct {
	ID          string
	MaxInFlight int
	// Open is false while the worker gets no new requests: while it is
	// draining, while it is excluded, and after a takeover until its slots in
	// use have been counted.
	Open bool
}

// Request is a request for a slot.
type Request struct {
	ID        string // unique ID of the attempt
	Router    string // router that will use the slot
	Caller    string
	Weight    float64 // the caller's weight, above 0
	Workspace string
	Rank      string
	// CostTokens is the expected cost in tokens.
	CostTokens int64
	// Deadline is the latest time at which the grant is useful; zero for none.
	// A deadline of now asks for a slot without waiting.
	Deadline time.Time
	// Workers are the acceptable workers, in order of preference. If none of
	// them has room and AnyWorker is set, another worker of the scheduler is
	// used. The slice must not be modified afterwards.
	Workers   []string
	AnyWorker bool
}

// Grant gives a slot of a worker to a request.
type Grant struct {
	RequestID string
	Router    string
	Worker    string
	UseBy     time.Time // the grant is void if it is not used by then
	ExpiresAt time.Time // the request must have ended by then
}

// Reason says why a request was refused. A refused request was not executed.
type Reason string

// Reasons for a refusal.
const (
	ReasonQueueFull Reason = "queue_full"
	ReasonExpired   Reason = "expired"
	ReasonNoWorker  Reason = "no_worker"
	ReasonClosed    Reason = "closed"
)

// Refusal ends the wait of a request without a slot.
type Refusal struct {
	RequestID  string
	Router     string
	Reason     Reason
	RetryAfter time.Duration // estimated time after which a retry could succeed
}
