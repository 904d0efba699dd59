// Package admission decides at the holder of some workers which waiting
// request gets the next slot: a hard bound on the load of each worker, a floor
// for each rank, strict priority above the floors and fair queueing by caller
// and workspace within a rank. It does no I/O; the time is passed in.
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
	// UseBy is the time within which a grant must be used. Default 2 s.
	UseBy time.Duration
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
	// Deadline is the latest useful time of the grant.
	Deadline time.Time
	// Workers are the acceptable workers, best first. When none of them has
	// room, another worker of the scheduler is used if AnyWorker is set.
	Workers   []string
	AnyWorker bool
}

// Grant gives a slot of a worker to a request.
type Grant struct {
	RequestID string
	Router    string
	Worker    string
	UseBy     time.Time // void when not used by then
	Until     time.Time // the request must have ended by then
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
