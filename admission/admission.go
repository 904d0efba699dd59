// Package admission decides at the holder of some workers which waiting
// request gets the next slot: a hard bound on the load of each worker, a floor
// for each rank, strict priority above the floors and fair queueing by caller
// and workspace within a rank. It does no I/O; the time is passed in.
//
// Contract. A worker is granted a slot only while its load, the new request
// included, is at most min(MaxInFlight, max(floor(c*mean), ceil(mean'))), where
// mean is the mean load of the open workers of the upstream in the failure
// domain and mean' counts the new request. Within that bound slots go
//
//  1. to ranks with waiting work that hold less than their floor of the slots
//     in use, rounded up to whole slots, plus what they have been short of
//     since their work began to wait;
//  2. then by priority to callers within their fair share of the slots, where
//     a rank leaves a few slots free for the ranks above it, as many as their
//     arrivals in the last seconds need (Config.Reserve bounds them);
//  3. then by priority to callers that hold more than their share, which leave
//     up to twice as many slots free;
//  4. within a rank to the caller, and within the caller to the workspace, with
//     the lowest start tag (start-time fair queueing over tokens).
//
// The mean is only as exact as the sums given to SetRemoteLoad; Config.Margin allows
// for their age.
//
// Every request that Offer accepts ends in exactly one of: a Grant, a Refusal
// or Cancel. When the queue of a rank is full, a request of the caller with
// the longest queue for its weight is refused to make room, so one caller
// cannot keep the others out.
//
// Failure behaviour: there are no errors. Started work is never preempted. A
// grant counts as used until Release, or until Grant.Until when no release
// arrives. Loads that are only known in number (after a take-over) are counted
// through AddUnknownSlots.
//
// Concurrency: a Scheduler is not safe for concurrent use. The holder locks
// around it (level 40) and must not call it from the callbacks of Advance and
// RefuseQueued.
//
// Cost: with the first-choice worker free, an Offer, Advance and Release take
// constant time apart from a scan of the callers that wait. When workers are
// full for some requests but not for others, Advance scans the queue. Requests
// are kept in reused records, so nothing is allocated in steady state.
package admission

import "time"

// RankConfig is the part of a rank that admission uses.
type RankConfig struct {
	Name        string
	Priority    int     // lower is more urgent
	Floor       float64 // share of slot time kept while others flood, 0 to 1
	QueueLimit  int     // requests waiting
	MaxDuration time.Duration
}

// Config is the configuration of a scheduler. It may change at run time.
type Config struct {
	Ranks []RankConfig
	// LoadBound is the multiple of the mean load that no worker exceeds.
	LoadBound float64
	// RemoteLoadMargin is the share by which the load of other holders' workers is
	// taken to be lower than last told, in the multiple of the mean: their
	// sums arrive late, and a mean that is believed too high would let a
	// worker exceed the bound. Default 0.04; negative for none.
	RemoteLoadMargin float64
	// UseWithin is the time within which a grant must be used. Default 2 s.
	UseWithin time.Duration
	// MaxReservedShare is the largest share of the slots that less urgent ranks leave
	// free for more urgent ones, rounded to whole slots. Default 0.05;
	// negative for none.
	MaxReservedShare float64
}

// Worker is a worker whose slots the holder grants.
type Worker struct {
	ID          string
	MaxInFlight int
	// Open is false while the worker gets no new work: draining, held out or
	// not yet counted after a take-over.
	Open bool
}

// Request is a request that waits for a slot.
type Request struct {
	ID        string // unique; the attempt's ID
	Router    string // the router that will use the slot
	Caller    string
	Weight    float64 // the caller's weight, above 0
	Workspace string
	Rank      string
	// CostTokens is the expected cost in tokens.
	CostTokens int64
	// Deadline is the latest useful time of the grant; zero for none. A
	// deadline of now asks for a slot without waiting.
	Deadline time.Time
	// Workers are the acceptable workers, best first. When none of them has
	// room, another worker of the scheduler is used if AnyWorker is set. The
	// slice must not be modified afterwards.
	Workers   []string
	AnyWorker bool
}

// Grant gives a slot of a worker to a request.
type Grant struct {
	RequestID string
	Router    string
	Worker    string
	UseBy     time.Time // void when not used by then
	ExpiresAt time.Time // the request must have ended by then
}

// Reason says why a request was refused. A refused request has not run.
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
	RetryAfter time.Duration // estimate of when a retry could succeed
}
