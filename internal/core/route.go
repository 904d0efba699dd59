package core

import (
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/routing"
)

// RequestHeader is what a request on a route says of itself.
type RequestHeader struct {
	ID      string        // names this try of the caller, empty if it has none
	Key     string        // the caller's key, never logged
	Timeout time.Duration // how long the caller waits from now, 0 if not said
	// LastEventID is the number of the last event that the caller has of a
	// stream that it resumes, 0 for a stream from its start.
	LastEventID     uint64
	Prompt          []routing.PromptPart
	PromptTokens    int // 0 if not said
	MaxOutputTokens int // the most that may be generated, 0 if not said
}

// AttemptHeader is what a router adds to a request that it sends to a worker.
type AttemptHeader struct {
	Worker    string        // the only worker that may run the request
	Remaining time.Duration // time until the worker has to stop
	Caller    string        // name of the caller, empty on public routes
	Priority  int           // 0 to 9, 0 is the most urgent
	// FetchFrom is the address of a worker that may keep parts of the prompt
	// which this one lacks. Empty for none.
	FetchFrom string
	// LastEventID resumes a stream after this event. 0 leaves what the caller
	// sent.
	LastEventID uint64
}

// WorkerLoad is what a worker says of its load with an answer.
type WorkerLoad struct {
	Running, Waiting, Slots int
}

// LoadGossip tells the other routers of workers' loads. Implemented by
// plugins/gossip.
type LoadGossip interface {
	// ReportLoad passes on what a worker said of its load. It does not block.
	ReportLoad(worker uint32, busy int, at time.Time)
	// RouterCount estimates the number of routers, this one included.
	RouterCount() int
	// SubscribeLoads calls fn with loads younger than those before. fn must
	// not block.
	SubscribeLoads(fn func([]routing.Load))
}

// ResponseHeader is what the header of a worker's answer says.
type ResponseHeader struct {
	RequestID string // the request's ID as the worker read it
	Sealed    bool   // the worker has sealed the body with its digest
	NotRun    bool   // the worker states that it did not run the request
	Load      *WorkerLoad
}

// HeaderCodec translates the headers that callers, routers and workers exchange.
type HeaderCodec interface {
	// DecodeRequest reads a caller's request. Errors: a malformed value.
	DecodeRequest(h http.Header) (RequestHeader, error)
	// EncodeAttempt turns the header of a caller's request into that of an attempt:
	// it drops what only a router may set and adds the attempt's own values.
	EncodeAttempt(h http.Header, a AttemptHeader)
	// DecodeResponse reads the header of a worker's answer.
	DecodeResponse(status int, h http.Header) ResponseHeader
}

// WorkerList follows the workers of all upstreams.
type WorkerList interface {
	// Workers returns the newest list, nil before the first one.
	Workers() *routing.WorkerList
	// SubscribeWorkers calls fn with each newer list, one call at a time, and
	// once at once if there is one. fn must not block.
	SubscribeWorkers(fn func(*routing.WorkerList))
}
