// Package core has the interfaces and data types that the router's plug-ins
// share. Plug-ins provide and consume these types through fx and do not import
// one another.
package core

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/objects"
)

// Identity identifies this process to the other routers.
type Identity struct {
	Router        string // ID of the router; stable for the VM
	FailureDomain string
	PeerAddress   string // IP:port of the gRPC server
	Incarnation   uint64 // start time, ns since the epoch
	MemoryMB      int    // memory that the process may use, MB of 2^20 bytes
}

// ConfigRevision is an active revision of the configuration. It is not modified
// after it has been passed to subscribers.
type ConfigRevision struct {
	Revision  uint64
	Manifest  string // digest of the manifest
	Set       *objects.Set
	AppliedAt time.Time
}

// Config provides the active configuration. Implemented by plugins/config.
type Config interface {
	// Current returns the active revision, nil before the first one.
	Current() *ConfigRevision
	// Subscribe calls fn with the current revision, if there is one, and then
	// with each newer one. Calls do not overlap. fn must not block.
	Subscribe(fn func(*ConfigRevision))
}

// RevisionSink receives revisions that peers announce. Implemented by
// plugins/config, called by plugins/peer.
type RevisionSink interface {
	// RevisionAnnounced reports that a router has a revision. manifest is the
	// digest of the revision's manifest.
	RevisionAnnounced(router string, revision uint64, manifest string)
}

// ObjectFetcher fetches configuration objects from peers by digest.
// Implemented by plugins/peer.
type ObjectFetcher interface {
	// FetchObject queries up to three peers. Errors: *store.NotFoundError.
	FetchObject(ctx context.Context, digest string) ([]byte, error)
}

// ObjectSource provides the configuration objects that this router has.
// Implemented by plugins/config, called by plugins/peer.
type ObjectSource interface {
	// Object returns the content with a digest and whether this router has it.
	Object(digest string) ([]byte, bool)
}

// Member is a router in this router's membership view.
type Member struct {
	Router        string    `json:"router"`
	FailureDomain string    `json:"failure_domain"`
	Address       string    `json:"address"`
	State         string    `json:"state"` // live, suspect, leaving or gone
	Revision      uint64    `json:"revision"`
	LastHeard     time.Time `json:"last_heard"`
}

// Membership provides this router's view of all routers. Implemented by
// plugins/peer.
type Membership interface {
	Members() []Member
}

// SlotRequest is a request for a slot of one of the workers of an upstream.
type SlotRequest struct {
	Attempt    string // unique for each attempt
	Upstream   string
	Workers    []string // acceptable workers in order of preference
	AnyWorker  bool     // the holder may also grant a slot of another of its workers
	Caller     string
	Weight     float64 // relative share among callers
	Workspace  string
	Rank       string
	CostTokens int64         // estimated cost of the request
	Wait       time.Duration // longest wait in the holder's queue
}

// Slot is the right to run one request on one worker.
type Slot struct {
	Attempt   string
	Upstream  string
	Worker    string
	UseBy     time.Time // the attempt must be sent before this time
	ExpiresAt time.Time // the request must end or be cancelled before this time
}

// SlotClient acquires slots from the routers that hold the workers' leases, which
// may be this router. Implemented by plugins/peer.
type SlotClient interface {
	// Acquire waits for a slot. Errors: *SlotError; the request has not run.
	Acquire(ctx context.Context, r SlotRequest) (Slot, error)
	// Release returns the slot and reports the actual cost. It does not block:
	// it is retried in the background until the holder has confirmed it or
	// Slot.ExpiresAt has passed.
	Release(s Slot, costTokens int64)
}

// SlotReason is the reason why no slot was granted.
type SlotReason string

// Reasons of a SlotError.
const (
	SlotQueueFull  SlotReason = "queue_full"
	SlotExpired    SlotReason = "expired" // the wait in the queue has ended
	SlotNoWorker   SlotReason = "no_worker"
	SlotNoHolder   SlotReason = "no_holder"  // no router holds the worker's lease now
	SlotClosed     SlotReason = "closed"     // the holder no longer grants slots of the workers, or its grant came too late
	SlotUnanswered SlotReason = "unanswered" // the holder did not respond
)

// SlotError is returned when no slot was granted; the request has not run.
type SlotError struct {
	Reason     SlotReason
	RetryAfter time.Duration
}

func (e *SlotError) Error() string {
	return "slots: no slot granted (" + string(e.Reason) + "); try another worker or retry later"
}

// WorkerHealthSink receives observations of workers from plugins/upstream and
// plugins/dispatch. Implemented by plugins/peer, for the workers whose lease this
// router holds.
type WorkerHealthSink interface {
	// WorkerLoad receives a worker's load report.
	WorkerLoad(upstream, worker string, l LoadReport)
	// WorkerUnanswered reports that a worker's load report could not be read.
	// refused is set if the connection was refused: nothing listens at the
	// worker's address.
	WorkerUnanswered(upstream, worker string, refused bool)
	// WorkerEjected reports that a worker was ejected, so that it gets no new
	// requests, or reinstated.
	WorkerEjected(upstream, worker string, ejected bool)
}

// LoadFilter is implemented by a WorkerHealthSink that needs the load of some
// workers only, so that each worker is polled by the holder of its lease and not
// by every router of the failure domain.
type LoadFilter interface {
	// WantsLoad reports whether this router has to poll the worker.
	WantsLoad(upstream, worker string) bool
}

// LoadReport is a worker's response to GET /v1/load.
type LoadReport struct {
	Running      int      `json:"running"` // requests that are running
	Queued       int      `json:"queued"`  // requests that wait on the worker
	Limit        int      `json:"limit"`   // maximum number of requests that run concurrently
	Leaving      bool     `json:"leaving"` // the worker is shutting down
	Models       []string `json:"models"`
	Role         string   `json:"role"`
	FencingToken uint64   `json:"fencing_token"`
}

// LoadProbe reads a worker's load report on demand. Implemented by
// plugins/upstream.
type LoadProbe interface {
	Load(ctx context.Context, upstream, worker string) (LoadReport, error)
}

// Order is a command to an engine to load or unload a model.
type Order struct {
	Upstream     string
	Worker       string
	Order        string // load or unload
	Model        string
	FencingToken uint64
	// Allowed is called immediately before the order is sent. If it returns
	// false, the order is not sent. It must not block.
	Allowed func() bool
}

// OrderClient sends orders to engines. Implemented by plugins/upstream.
type OrderClient interface {
	// SendOrder sends an order once and returns the load report in the engine's
	// response. Errors: *AttemptError, with status 409 if the engine refused the
	// fencing token as outdated.
	SendOrder(ctx context.Context, o Order) (LoadReport, error)
}

// AttemptRegistry provides the state of this router's own attempts. Implemented
// by plugins/dispatch, called by plugins/peer.
type AttemptRegistry interface {
	// AttemptState returns active, not_sent, ended or not_known.
	AttemptState(attempt string) string
	// HeldSlots lists the slots that this router uses on a worker.
	HeldSlots(upstream, worker string) []Slot
}

// PeerAttemptClient queries the state of an attempt from the router that made it.
// Implemented by plugins/peer.
type PeerAttemptClient interface {
	// AttemptState returns the state, gone if the router or its incarnation no
	// longer exists, or an error if the router does not respond.
	AttemptState(ctx context.Context, router, attempt string) (string, error)
}

// ChatRequest is an authenticated and validated chat completion request.
type ChatRequest struct {
	RequestID string
	Caller    *objects.Caller
	Rank      *objects.Rank
	Workspace string
	ChatID    string // if empty, the first messages determine the placement
	Model     string
	Deadline  time.Time // zero for none
	Body      []byte    // the caller's JSON
	// PromptTokens is an estimate; MaxTokens is the caller's limit or a default.
	PromptTokens int64
	MaxTokens    int64
}

// ChatSink receives the chunks of a response in order, each once. The data of a
// chunk is valid only during the call. An error from the sink cancels the
// request.
type ChatSink interface {
	// Start is called once before the first chunk.
	Start(worker string) error
	// Chunk receives the JSON of one chat.completion.chunk.
	Chunk(data []byte) error
}

// ChatRestarter is implemented by a ChatSink that buffers the response. A
// truncated response can then be restarted on another worker.
type ChatRestarter interface {
	// Restart discards the chunks received so far; Start is called again.
	Restart()
}

// ServiceRequest is one call to a plain service.
type ServiceRequest struct {
	RequestID      string
	Caller         *objects.Caller
	Rank           *objects.Rank
	Workspace      string
	Service        string
	Method         string
	Path           string // below /v1/services/{name}, with query
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	Deadline       time.Time // zero for none
	// Memory counts the response, also after the call. nil counts nothing.
	Memory *bytebudget.Body
}

// ServiceResponse is the buffered response of a plain service.
type ServiceResponse struct {
	Status   int
	Header   http.Header
	Body     []byte
	Worker   string
	Replayed bool // stored response of an earlier request with the same key
}

// Dispatcher runs requests. Implemented by plugins/dispatch.
type Dispatcher interface {
	// Chat sends the response to sink and returns nil after its end marker.
	// Errors: *Problem.
	Chat(ctx context.Context, r *ChatRequest, sink ChatSink) error
	// Service returns the buffered response. Errors: *Problem.
	Service(ctx context.Context, r *ServiceRequest) (*ServiceResponse, error)
	// InFlight returns the number of requests in flight.
	InFlight() int
}

// Attempt is one send of a request to a worker.
type Attempt struct {
	ID          string
	Upstream    string
	Worker      string
	Priority    int
	Deadline    time.Time // zero for none
	LastEventID string    // resume after this frame; empty to start
	// SendBy is the time after which the attempt must not be sent any more,
	// since its slot has expired by then. Zero for no limit.
	SendBy time.Time
}

// Frame is one server-sent event of an engine's stream. Both slices are valid
// until the next read; they are not strings, so that a frame needs no
// allocation.
type Frame struct {
	ID   []byte // "<attempt>/<sequence>"
	Data []byte
}

// FrameReader reads an engine's stream. Next returns io.EOF or another error when
// the connection has ended, with or without an end marker, and *answer.LimitError
// when the stream exceeds a limit and must not be resumed.
type FrameReader interface {
	Next() (Frame, error)
	io.Closer
}

// EngineClient sends chat attempts to workers. Implemented by plugins/upstream.
type EngineClient interface {
	// Stream starts or resumes an attempt. Errors: *AttemptError.
	Stream(ctx context.Context, a Attempt, body []byte) (FrameReader, error)
	// Cancel asks the worker to end an attempt. It does not block. It calls
	// ended once: when the worker has confirmed that the attempt has ended, or
	// when no confirmation can be obtained.
	Cancel(a Attempt, ended func())
}

// ServiceClient sends calls to workers of plain services. Implemented by
// plugins/upstream.
type ServiceClient interface {
	// Call returns the buffered response. Errors: *AttemptError.
	Call(ctx context.Context, a Attempt, r *ServiceRequest) (*ServiceResponse, error)
}

// Outcome states whether a request has run.
type Outcome string

// Outcomes of a request or an attempt.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
)

// AttemptError says why an attempt failed and whether the request may have run.
type AttemptError struct {
	Outcome    Outcome
	Status     int // HTTP status of an error response, 0 otherwise
	RetryAfter time.Duration
	Err        error
}

func (e *AttemptError) Error() string {
	return "upstream: attempt failed (" + string(e.Outcome) + "): " + e.Err.Error()
}

func (e *AttemptError) Unwrap() error { return e.Err }

// Readiness tracks the components that must be ready before the router accepts
// requests. plugins/admin reports it.
type Readiness interface {
	// SetReady records whether a component is ready, and the reason if not.
	SetReady(component string, ready bool, reason string)
	// Ready reports whether every component is ready, and otherwise which one is
	// not and why.
	Ready() (bool, string)
	// Require registers a component as not ready until it calls SetReady.
	Require(component string)
}
