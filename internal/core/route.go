package core

import (
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/internal/unreadable"
	"github.com/auburnlead/auburnlead/routing"
)

// RequestHeader holds the values that a router reads from the header of a caller's
// request.
type RequestHeader struct {
	ID      string        // the caller's ID of this request, empty if not set
	Key     string        // the caller's API key, never logged
	Timeout time.Duration // how long the caller waits from now, 0 if not set
	// LastEventID is the number of the last event that the caller has received; the
	// stream is resumed after it. 0 for a stream from its start.
	LastEventID     uint64
	Prompt          []routing.PromptPart
	PromptTokens    int // 0 if not set
	MaxOutputTokens int // limit of generated tokens, 0 if not set
	LengthHint      int // the caller's estimate of the generated tokens, 0 if not set
	// Unread lists the values that are treated as not set because they are
	// malformed.
	Unread []unreadable.Input
}

// ExpectedOutput returns the caller's estimate of the generated tokens, at most their
// limit; the limit if there is no estimate; 0 if neither is set.
func (h *RequestHeader) ExpectedOutput() int {
	if h.LengthHint == 0 || h.MaxOutputTokens > 0 && h.MaxOutputTokens < h.LengthHint {
		return h.MaxOutputTokens
	}
	return h.LengthHint
}

// AttemptHeader holds the values that a router adds to the header of a request
// that it sends to a worker.
type AttemptHeader struct {
	Worker    string        // the only worker that may run the request
	Remaining time.Duration // time after which the worker must stop the request
	Caller    string        // name of the caller, empty on public routes
	Priority  int           // 0 (most urgent) to 9
	// FetchFrom is the address of a worker that may have cached parts of the
	// prompt that this one lacks. Empty for none.
	FetchFrom string
	// LastEventID is the event after which the worker resumes the stream. 0 keeps
	// the value of the caller's request.
	LastEventID uint64
}

// WorkerLoad is the load that a worker reports in the header of a response.
type WorkerLoad struct {
	Running, Waiting, Slots int
	// WorkPercent is how long work takes on the worker's machine at the moment of
	// the report, in percent of the usual time. 0 if not reported.
	WorkPercent int
}

// ExtensionGossip carries the messages of other components between routers.
// Implemented by plugins/gossip.
type ExtensionGossip interface {
	// Extend adds a component whose messages are sent with each round and received
	// from other routers.
	Extend(GossipExtension)
	// PushExtensions sends the messages of all components at once.
	PushExtensions()
}

// GossipExtension is a component that exchanges messages with the same component of
// other routers. Its methods must not block.
type GossipExtension interface {
	// Type is the type of the component's messages, see package gossip.
	Type() byte
	// Encode returns the next message in at most limit bytes, nil for none. starting
	// says that it is for a router that has just started.
	Encode(now time.Time, limit int, starting bool) []byte
	// Merge reads a message of another router. The payload is not valid after the
	// call. Errors: the message is malformed.
	Merge(now time.Time, payload []byte) error
}

// LoadGossip shares the loads of workers with the other routers. Implemented by
// plugins/gossip.
type LoadGossip interface {
	// ReportLoad shares the number of requests in flight that a worker reported.
	// worker is the hash of its ID. It does not block.
	ReportLoad(worker uint32, inFlight int, at time.Time)
	// PushLoads sends the known loads of workers to some routers soon, without
	// waiting for the next round. It does not block.
	PushLoads(workers []uint32)
	// RouterCount estimates the number of routers, including this one.
	RouterCount() int
	// SubscribeLoads calls fn with load reports of other routers that are newer than
	// those passed before. fn must not block.
	SubscribeLoads(fn func([]routing.Load))
}

// ResponseHeader holds the values that a router reads from the header of a worker's
// response.
type ResponseHeader struct {
	RequestID string      // ID of the request as the worker received it
	Sealed    bool        // the header contains the seal, a digest of the body
	NotRun    bool        // the worker states that it did not run the request
	Load      *WorkerLoad // nil if the worker reported none
	RateLimit *float64    // requests per second that the worker takes from all routers, nil if it names no limit
	Leaving   bool        // the worker says that it shuts down
	// ColdLeft is how much longer the worker stays cold, 0 if it is not cold or does not
	// say so.
	ColdLeft time.Duration
	// Pause is how long the worker wants no requests of this router, from the receipt
	// of a response that turned a request away. 0 for no pause.
	Pause time.Duration
	// Unread lists the values that are treated as not set because they are
	// malformed.
	Unread []unreadable.Input
}

// HeaderCodec reads and writes the headers that callers, routers and workers
// exchange.
type HeaderCodec interface {
	// DecodeRequest reads the header of a caller's request. It returns an error if a
	// value is malformed.
	DecodeRequest(h http.Header) (RequestHeader, error)
	// ParsePrompt reads the parts of a prompt as callers write them in a header. With an
	// error it returns the parts before the first one that cannot be read.
	ParsePrompt(text string) ([]routing.PromptPart, error)
	// EncodeAttempt changes the header of a caller's request into the header of
	// an attempt: it removes the fields that only a router may set and adds the
	// values of the attempt.
	EncodeAttempt(h http.Header, a AttemptHeader)
	// DecodeResponse reads the header of a worker's response.
	DecodeResponse(status int, h http.Header) ResponseHeader
}

// Evacuations provides the failure domains to whose workers nothing may be sent.
type Evacuations interface {
	// SubscribeEvacuations calls fn with the sorted names of the evacuated failure
	// domains, if the set is known, and then with each changed set. Calls do not
	// overlap. fn must not block or keep the slice.
	SubscribeEvacuations(fn func(domains []string))
}

// WorkerList provides the list of the workers of all upstreams.
type WorkerList interface {
	// Workers returns the newest list, nil before the first one.
	Workers() *routing.WorkerList
	// SubscribeWorkers calls fn with the current list, if there is one, and then
	// with each newer one. Calls do not overlap. fn must not block.
	SubscribeWorkers(fn func(*routing.WorkerList))
}
