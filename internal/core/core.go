// Package core holds the interfaces and messages through which the router's
// plug-ins meet. Plug-ins provide and consume these types through fx and do
// not import one another.
package core

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/objects"
)

// Identity is this process as the other routers see it.
type Identity struct {
	Router        string // stable for the VM
	FailureDomain string
	PeerAddress   string // IP:port of the gRPC server
	Incarnation   uint64 // start time, ns since the epoch
}

// ConfigRevision is a revision of the configuration that is in force. It is not
// modified after it has been published.
type ConfigRevision struct {
	Revision  uint64
	Manifest  string // digest of the manifest
	Set       *objects.Set
	AppliedAt time.Time
}

// Config gives the configuration in force. Implemented by plugins/config.
type Config interface {
	// Current returns the revision in force, nil before the first one.
	Current() *ConfigRevision
	// Subscribe calls fn with each newer revision, one call at a time, and
	// once at once if there is a revision. fn must not block.
	Subscribe(fn func(*ConfigRevision))
}

// RevisionSink receives revisions that peers announce. Implemented by
// plugins/config, called by plugins/peer.
type RevisionSink interface {
	RevisionAnnounced(router string, revision uint64, manifest string)
}

// ObjectFetcher fetches configuration objects from peers by digest.
// Implemented by plugins/peer.
type ObjectFetcher interface {
	// FetchObject asks up to three peers. Errors: *platform.NotFoundError.
	FetchObject(ctx context.Context, digest string) ([]byte, error)
}

// ObjectSource serves configuration objects that this router has.
// Implemented by plugins/config, called by plugins/peer.
type ObjectSource interface {
	Object(digest string) ([]byte, bool)
}

// Member is a router as this one sees it.
type Member struct {
	Router        string    `json:"router"`
	FailureDomain string    `json:"failure_domain"`
	Address       string    `json:"address"`
	State         string    `json:"state"` // live, suspect, leaving or gone
	Revision      uint64    `json:"revision"`
	LastHeard     time.Time `json:"last_heard"`
}

// Membership is this router's view of all routers. Implemented by plugins/peer.
type Membership interface {
	Members() []Member
}

// SlotRequest asks for a slot of one of the workers of an upstream.
type SlotRequest struct {
	Attempt    string // unique for each attempt
	Upstream   string
	Workers    []string // acceptable workers, best first
	AnyWorker  bool     // another worker with the same holder will do
	Caller     string
	Weight     float64
	Workspace  string
	Rank       string
	CostTokens int64
	Wait       time.Duration // longest wait in the holder's queue
}

// Slot is the right to run one request on one worker.
type Slot struct {
	Attempt  string
	Upstream string
	Worker   string
	UseBy    time.Time // the attempt must have been sent by then
	Until    time.Time // the request must have ended or been cancelled by then
}

// SlotClient acquires slots from the workers' holders, local or remote.
// Implemented by plugins/peer.
type SlotClient interface {
	// Acquire waits for a slot. Errors: *SlotError; the request has not run.
	Acquire(ctx context.Context, r SlotRequest) (Slot, error)
	// Release gives the slot back with the actual cost. It does not block; it
	// is retried in the background until the holder has it or Until is past.
	Release(s Slot, costTokens int64)
}

// SlotReason says why no slot was granted.
type SlotReason string

// Reasons of a SlotError.
const (
	SlotQueueFull  SlotReason = "queue_full"
	SlotExpired    SlotReason = "expired"
	SlotNoWorker   SlotReason = "no_worker"
	SlotNoHolder   SlotReason = "no_holder" // no router holds the worker now
	SlotClosed     SlotReason = "closed"
	SlotUnanswered SlotReason = "unanswered" // the holder did not answer
)

// SlotError says that no slot was granted; the request has not run.
type SlotError struct {
	Reason     SlotReason
	RetryAfter time.Duration
}

func (e *SlotError) Error() string {
	return "slots: no slot granted (" + string(e.Reason) + "); try another worker or retry later"
}

// WorkerHealthSink lets plugins/upstream and plugins/dispatch tell the holder
// loop what they learn about workers. Implemented by plugins/peer.
type WorkerHealthSink interface {
	// WorkerLoad passes on a worker's load report.
	WorkerLoad(upstream, worker string, l LoadReport)
	// WorkerUnanswered says that a worker did not answer when asked for its
	// load report. refused says that nothing listens at its address.
	WorkerUnanswered(upstream, worker string, refused bool)
	// WorkerEjected opens or closes a worker for new work.
	WorkerEjected(upstream, worker string, ejected bool)
}

// LoadFilter is implemented by a WorkerHealthSink that wants the load of some
// workers only, so that each worker is polled by its holder and not by every
// router of the domain.
type LoadFilter interface {
	// WantsLoad reports whether this router has to poll the worker.
	WantsLoad(upstream, worker string) bool
}

// LoadReport is a worker's answer to GET /v1/load.
type LoadReport struct {
	Running      int      `json:"running"`
	Queued       int      `json:"queued"`
	Limit        int      `json:"limit"`
	Leaving      bool     `json:"leaving"`
	Models       []string `json:"models"`
	Role         string   `json:"role"`
	FencingToken uint64   `json:"fencing_token"`
}

// LoadProbe reads a worker's load report on demand. Implemented by
// plugins/upstream.
type LoadProbe interface {
	Load(ctx context.Context, upstream, worker string) (LoadReport, error)
}

// Order is a control command to an engine.
type Order struct {
	Upstream     string
	Worker       string
	Order        string // load or unload
	Model        string
	FencingToken uint64
	// Allowed is asked immediately before the bytes go out. The order is not
	// sent when it returns false. It must not block.
	Allowed func() bool
}

// OrderClient sends orders to engines. Implemented by plugins/upstream.
type OrderClient interface {
	// SendOrder sends an order once and returns the load report that the
	// engine answers with. Errors: *AttemptError, with status 409 when the
	// engine refuses an old fencing token.
	SendOrder(ctx context.Context, o Order) (LoadReport, error)
}

// AttemptRegistry tells what this router knows of its own attempts. Implemented
// by plugins/dispatch, called by plugins/peer.
type AttemptRegistry interface {
	// AttemptState returns active, not_sent, ended or not_known.
	AttemptState(attempt string) string
	// HeldSlots lists the slots that this router uses on a worker.
	HeldSlots(upstream, worker string) []Slot
}

// PeerAttemptClient asks the router that made an attempt about it. Implemented by
// plugins/peer.
type PeerAttemptClient interface {
	// AttemptState returns the state, or gone when the router or its
	// incarnation no longer exists, or an error when it does not answer.
	AttemptState(ctx context.Context, router, attempt string) (string, error)
}

// ChatRequest is one chat completion after authentication and checks.
type ChatRequest struct {
	RequestID string
	Caller    *objects.Caller
	Rank      *objects.Rank
	Workspace string
	ChatID    string // empty: the first message's digest places the chat
	Model     string
	Deadline  time.Time // zero for none
	Body      []byte    // the caller's JSON
	// PromptTokens is an estimate, MaxTokens the caller's limit or a default.
	PromptTokens int64
	MaxTokens    int64
}

// ChatSink receives the chunks of an answer in order, each once. Chunk data is
// valid during the call only. An error from the sink cancels the request.
type ChatSink interface {
	// Start is called once before the first chunk.
	Start(worker string) error
	// Chunk passes the JSON of one chat.completion.chunk.
	Chunk(data []byte) error
}

// ChatRestarter is implemented by a ChatSink that passes nothing on before the
// end. An answer that is cut can then be started anew on another worker.
type ChatRestarter interface {
	// Restart drops the chunks so far; Start is called again.
	Restart()
}

// ServiceRequest is one call of a plain service.
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
	Deadline       time.Time
}

// ServiceResponse is a whole answer of a plain service.
type ServiceResponse struct {
	Status   int
	Header   http.Header
	Body     []byte
	Worker   string
	Replayed bool // the stored answer of an earlier request with the same key
}

// Dispatcher runs requests. Implemented by plugins/dispatch.
type Dispatcher interface {
	// Chat returns nil after the explicit end of the answer. Errors: *Problem.
	Chat(ctx context.Context, r *ChatRequest, sink ChatSink) error
	// Service returns the whole answer. Errors: *Problem.
	Service(ctx context.Context, r *ServiceRequest) (*ServiceResponse, error)
	// InFlight counts the requests that have started and not ended.
	InFlight() int
}

// Attempt is one try of a request on a worker.
type Attempt struct {
	ID          string
	Upstream    string
	Worker      string
	Priority    int
	Deadline    time.Time
	LastEventID string // resume after this frame; empty at first
	// SendBy is the time after which the attempt must not be sent any more,
	// since its slot is void then. Zero for no bound.
	SendBy time.Time
}

// Frame is one event of an engine's stream. Both slices are valid until the
// next read; they are slices so that a frame costs no allocation.
type Frame struct {
	ID   []byte // "<attempt>/<sequence>"
	Data []byte
}

// FrameReader reads an engine's stream. Next returns io.EOF or another error
// of the connection when it ended, with or without the explicit end, and
// *answer.LimitError when the stream is not worth reading again.
type FrameReader interface {
	Next() (Frame, error)
	io.Closer
}

// EngineClient sends chat attempts to workers. Implemented by plugins/upstream.
type EngineClient interface {
	// Stream starts or resumes an attempt. Errors: *AttemptError.
	Stream(ctx context.Context, a Attempt, body []byte) (FrameReader, error)
	// Cancel asks the worker to end an attempt. It does not block. It calls
	// ended once, when the worker has confirmed that the attempt runs no more
	// or when a confirmation is not to be had.
	Cancel(a Attempt, ended func())
}

// ServiceClient sends calls to workers of plain services. Implemented by
// plugins/upstream.
type ServiceClient interface {
	// Call returns the whole answer. Errors: *AttemptError.
	Call(ctx context.Context, a Attempt, r *ServiceRequest) (*ServiceResponse, error)
}

// Outcome says whether a request has run.
type Outcome string

// Outcomes of a request or an attempt.
const (
	OutcomeNotRun  Outcome = "not_run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
)

// AttemptError says why an attempt failed and whether it may have run.
type AttemptError struct {
	Outcome    Outcome
	Status     int // HTTP status of a stated refusal, 0 otherwise
	RetryAfter time.Duration
	Err        error
}

func (e *AttemptError) Error() string {
	return "upstream: attempt failed (" + string(e.Outcome) + "): " + e.Err.Error()
}

func (e *AttemptError) Unwrap() error { return e.Err }

// Readiness is told by parts that must be ready before the router takes
// requests, and asked by plugins/admin.
type Readiness interface {
	// SetReady records that a part is or is not ready, with the reason.
	SetReady(part string, ready bool, reason string)
	// Ready reports whether every part is ready, and why not.
	Ready() (bool, string)
	// Require names a part before it first calls SetReady.
	Require(part string)
}
