package caller

import (
	"net/http"
	"net/textproto"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
)

// hopByHopHeaders apply to one connection (RFC 9110, 7.6.1) and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// routerOnlyHeaders are addressed to the router or set by it. Authorization
// contains the caller's key, which must not be sent to an upstream.
var routerOnlyHeaders = []string{
	"Authorization", headerRank, headerDeadline, headerChatID, headerRequestID, headerWorker,
	"X-Attempt-Id", "X-Priority", "X-Outcome", "Last-Event-Id", "Content-Length", "Expect",
}

// service handles calls below /v1/services/{name}/.
func (s *Server) service(r *apiRequest) *core.Problem {
	name, path, problem := servicePath(r.URL)
	if problem != nil {
		return problem
	}
	u := r.set.Upstreams[name]
	if u == nil || u.Kind != objects.UpstreamService || !slices.Contains(r.caller.Services, name) {
		return notAvailable("service", name)
	}
	call, problem := serviceRequest(r, name, path)
	if problem != nil {
		return problem
	}
	if call.Body, problem = s.readBody(r); problem != nil {
		return problem
	}
	result, err := s.dispatcher.Service(r.Context(), call)
	if err != nil {
		return asProblem(err)
	}
	if result.Replayed { // from the ledger, so no attempt has counted it
		if err := r.answer.Reserve(r.Context(), int64(len(result.Body)), time.Now); err != nil {
			return &core.Problem{Kind: core.KindOverloaded, Outcome: core.OutcomeRan, RetryAfter: memoryRetryAfter, Detail: "the request has run before, but the router has no memory for its stored response", Err: err}
		}
	}
	r.respondService(result)
	return nil
}

func serviceRequest(r *apiRequest, name, path string) (*core.ServiceRequest, *core.Problem) {
	rank, problem := selectRank(r.set, r.caller, r.Header.Get(headerRank))
	if problem != nil {
		return nil, problem
	}
	deadline, problem := parseDeadline(r.Header.Get(headerDeadline), time.Now())
	if problem != nil {
		return nil, problem
	}
	key := r.Header.Get("Idempotency-Key")
	if p := checkName("the Idempotency-Key", key); p != nil {
		return nil, p
	}
	workspace := r.Header.Get(headerWorkspace)
	if p := checkName("the workspace", workspace); p != nil {
		return nil, p
	}
	return &core.ServiceRequest{
		RequestID: r.id, Caller: r.caller, Rank: rank, Workspace: workspace, Service: name, Method: r.Method, Path: path,
		Header: forwardableHeader(r.Header), IdempotencyKey: key, Deadline: deadline, Memory: r.answer,
	}, nil
}

// servicePath splits a path into the name of the service and the path at the
// service, with the query and escape sequences unchanged.
func servicePath(u *url.URL) (name, path string, problem *core.Problem) {
	rest := strings.TrimPrefix(u.EscapedPath(), servicesPath)
	name, path, _ = strings.Cut(rest, "/")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return "", "", core.NewProblem(core.KindInvalidRequest, "the path is malformed")
	}
	// A dot segment could refer to a path outside the base URL of the worker.
	for segment := range strings.SplitSeq(decoded, "/") {
		if segment == "." || segment == ".." {
			return "", "", core.NewProblem(core.KindInvalidRequest, "the path has a dot segment")
		}
	}
	path = "/" + path
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return name, path, nil
}

// forwardableHeader returns a copy of a header without the hop-by-hop headers and
// routerOnlyHeaders.
func forwardableHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	for _, name := range routerOnlyHeaders {
		out.Del(name)
	}
	return out
}

// writePart is the size of the parts in which a response is written, so that a caller that
// reads slowly shows progress.
const writePart = 64 << 10

// writeAnswer writes the body of a buffered response.
func (r *apiRequest) writeAnswer(body []byte) {
	defer r.answer.EndWriting()
	for part := range slices.Chunk(body, writePart) {
		r.answer.StartWriting("", r.w.interruptWrite, time.Now())
		if _, err := r.w.Write(part); err != nil {
			return // the connection is closed
		}
	}
}

// headerReplayed marks a replayed response, which was stored for an earlier
// request with the same key.
const headerReplayed = "Idempotent-Replayed"

// respondService sends the response of a service.
func (r *apiRequest) respondService(response *core.ServiceResponse) {
	h := r.w.Header()
	for name, values := range forwardableHeader(response.Header) {
		h[name] = values
	}
	r.setWorkerHeader(response.Worker)
	if response.Replayed {
		h.Set(headerReplayed, "true")
	}
	if response.Status != http.StatusNoContent && response.Status != http.StatusNotModified && r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	r.w.WriteHeader(response.Status)
	if len(response.Body) > 0 {
		r.writeAnswer(response.Body)
	}
}
