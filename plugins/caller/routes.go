package caller

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/framing"
	"github.com/auburnlead/auburnlead/objects"
)

// Header names of the caller API.
const (
	headerRequestID = "X-Request-Id"
	headerWorker    = "X-Worker"
	headerWorkspace = "X-Workspace"
	headerChatID    = "X-Chat-Id"
	headerRank      = "X-Rank"
	headerDeadline  = "X-Deadline-Ms"
)

const servicesPath = "/v1/services/"

// apiRequest is a request with its ID, caller, configuration and response.
type apiRequest struct {
	*http.Request
	id     string
	caller *objects.Caller // nil before authentication
	set    *objects.Set    // the active configuration when the request started
	w      *response
	body   *bytebudget.Body // nil before the request is admitted
	answer *bytebudget.Body // response of a worker; nil before the request is admitted
}

// handler handles a request or returns the problem to respond with.
type handler func(*apiRequest) *core.Problem

func (s *Server) routes() http.Handler {
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle("/v1/chat/completions", s.handle("chat", s.chat)).Methods(http.MethodPost)
	router.Handle("/v1/models", s.handle("models", s.models)).Methods(http.MethodGet)
	router.PathPrefix(servicesPath).Handler(s.handle("service", s.service))
	router.NotFoundHandler = s.handle("none", func(*apiRequest) *core.Problem {
		return core.NewProblem(core.KindNotFound, "there is no such path")
	})
	router.MethodNotAllowedHandler = s.handle("none", func(r *apiRequest) *core.Problem {
		return core.NewProblem(core.KindInvalidRequest, "the path does not support method %s", r.Method)
	})
	return router
}

// handle wraps a handler: it admits, authenticates, counts and logs requests and
// writes problems.
func (s *Server) handle(route string, h handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		startedAt := time.Now()
		r := &apiRequest{Request: hr, id: newRequestID(), w: newResponse(w, s.settings.WriteTimeout)}
		r.w.Header().Set(headerRequestID, r.id)
		connlimit.LimitUnreadBody(hr, r.w.controller)
		defer s.logPanic(r)
		defer r.release()
		problem := s.admit(r, h)
		if problem != nil && !r.w.started() {
			if problem.Kind == core.KindUnauthorized {
				r.w.Header().Set("WWW-Authenticate", "Bearer")
			}
			core.WriteProblem(r.w, problem, r.id)
		}
		s.recordRequest(route, r, problem, time.Since(startedAt))
	})
}

// logPanic logs a panic and closes the connection. net/http would log it too, but
// at level debug, since clients can flood the log of net/http.
func (s *Server) logPanic(r *apiRequest) {
	if v := recover(); v != nil {
		s.log.Error("request panicked; report this with the stack", "request", r.id, "panic", v, "stack", string(debug.Stack()))
		panic(http.ErrAbortHandler)
	}
}

// admit runs the handler unless the end of the request is ambiguous, the server is
// shutting down, has no configuration or cannot authenticate the caller.
func (s *Server) admit(r *apiRequest, h handler) *core.Problem {
	if err := framing.Check(r.Request); err != nil {
		r.w.Header().Set("Connection", "close")
		return core.NewProblem(core.KindInvalidRequest, "%v", err)
	}
	if !s.requests.start() {
		r.w.Header().Set("Connection", "close")
		return core.NewProblem(core.KindShuttingDown, "the router accepts no new requests")
	}
	defer s.requests.done()
	revision := s.config.Current()
	if revision == nil {
		p := core.NewProblem(core.KindNotReady, "no configuration is in force yet")
		p.RetryAfter = time.Second
		return p
	}
	caller, problem := s.authenticate(r.Request)
	if problem != nil {
		return problem
	}
	r.set, r.caller = revision.Set, caller
	if problem := s.admitMemory(r); problem != nil {
		return problem
	}
	return h(r)
}

// admitMemory counts the request's memory and keeps its connection from yielding to others.
func (s *Server) admitMemory(r *apiRequest) *core.Problem {
	headBytes, err := connlimit.Admit(r.Context(), r.caller.Name)
	if err != nil {
		s.metrics.requestRefusals.Inc(1)
		p := core.NewProblem(core.KindOverloaded, "the router has too many requests in flight")
		p.RetryAfter, p.Err = memoryRetryAfter, err
		return p
	}
	r.body = s.bytes.NewBody(r.caller.Name, func() { _ = r.w.controller.SetReadDeadline(time.Now()) })
	r.answer = s.bytes.NewBody(r.caller.Name, nil)
	if err := r.body.Admit(r.Context(), headBytes, time.Now); err != nil {
		return s.refuseMemory(r, err)
	}
	return nil
}

// refuseMemory returns the problem of a request that finds no memory or was given up for
// another one, and closes its connection without reading the rest of the body.
func (s *Server) refuseMemory(r *apiRequest, err error) *core.Problem {
	s.metrics.memoryRefusals.Inc(1)
	s.log.Warn("connection yields", "request", r.id, "caller", r.caller.Name, "remote", r.RemoteAddr, "body_bytes", r.body.Size(), "held_bytes", s.bytes.Used(), "error", err)
	r.release() // others wait for it
	_ = r.w.controller.SetReadDeadline(time.Now())
	r.w.Header().Set("Connection", "close")
	p := core.NewProblem(core.KindOverloaded, "the router has no memory for the body")
	p.RetryAfter, p.Err = memoryRetryAfter, err
	return p
}

// newRequestID returns a random ID, which needs no cryptographic randomness.
func newRequestID() string {
	var b [16]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}

// models lists the models that the caller may use.
func (s *Server) models(r *apiRequest) *core.Problem {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{"list", []model{}}
	for _, name := range slices.Sorted(slices.Values(r.caller.Models)) {
		if r.set.Models[name] != nil {
			list.Data = append(list.Data, model{name, "model", "auburnlead"})
		}
	}
	r.w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(r.w).Encode(list) // fails if the connection is closed
	return nil
}

// readBody reads the whole body of a request within the limits of size and time.
func (s *Server) readBody(r *apiRequest) ([]byte, *core.Problem) {
	limit := s.settings.BodyBytes
	if r.Body == http.NoBody {
		return nil, nil
	}
	if r.ContentLength > limit {
		r.w.Header().Set("Connection", "close")
		return nil, core.NewProblem(core.KindBodyTooLarge, "the body has more than %d bytes", limit)
	}
	controller := http.NewResponseController(r.w)
	_ = controller.SetReadDeadline(time.Now().Add(s.settings.BodyTimeout))
	var body []byte
	err := r.body.ReadRequest(r.Context(), http.MaxBytesReader(r.w, r.Body, limit), time.Now)
	if err == nil {
		body, err = r.body.Join(r.Context(), time.Now)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, bytebudget.ErrShort), errors.Is(err, bytebudget.ErrYielded):
		return nil, s.refuseMemory(r, err)
	case errors.As(err, &tooLarge):
		return nil, core.NewProblem(core.KindBodyTooLarge, "the body has more than %d bytes", limit)
	case err != nil:
		r.w.Header().Set("Connection", "close")
		// The read deadline stays, so that the server does not wait for the rest.
		p := core.NewProblem(core.KindInvalidRequest, "the body did not arrive whole within %s", s.settings.BodyTimeout)
		p.Err = err
		return nil, p
	}
	// If the read deadline stayed on the connection, it would later look as if the
	// caller had disconnected.
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// memoryRetryAfter is the time in which the bodies of usual requests arrive and are
// served.
const memoryRetryAfter = time.Second

// release gives back the memory of the request and its response.
func (r *apiRequest) release() {
	if r.body != nil {
		r.body.Release()
		r.answer.Release()
	}
}

// maxDeadline is the longest deadline that a caller can set.
const maxDeadline = time.Hour

// parseDeadline parses a deadline in milliseconds from now, or returns the zero
// time for empty text.
func parseDeadline(text string, now time.Time) (time.Time, *core.Problem) {
	if text == "" {
		return time.Time{}, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
		return time.Time{}, core.NewProblem(core.KindInvalidRequest, "the deadline is not a number of milliseconds between 1 and %d", maxDeadline.Milliseconds())
	}
	return now.Add(time.Duration(ms) * time.Millisecond), nil
}

// maxNameBytes is the maximum length of workspaces, chat IDs and idempotency keys.
const maxNameBytes = 255

// checkName refuses a name that is too long or contains control characters.
func checkName(kind, name string) *core.Problem {
	if len(name) > maxNameBytes {
		return core.NewProblem(core.KindInvalidRequest, "%s has more than %d bytes", kind, maxNameBytes)
	}
	for i := range len(name) {
		if name[i] < ' ' || name[i] == 0x7f {
			return core.NewProblem(core.KindInvalidRequest, "%s has a control character", kind)
		}
	}
	return nil
}
