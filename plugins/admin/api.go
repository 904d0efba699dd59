package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gorilla/mux"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/adminapi"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/publish"
	"github.com/auburnlead/auburnlead/store"
)

// maxBodyBytes is the maximum size of a request body. It allows for a set of the
// maximum size in which JSON escapes every byte with a backslash, plus 64 KB for
// the other fields.
const maxBodyBytes = 2*objects.MaxBytes + 64<<10

// Default and maximum number of records in an audit listing.
const (
	defaultAuditLimit = 20
	maxAuditLimit     = 500
)

// API handles the requests of operators.
type API struct {
	params    Params
	publisher *publish.Publisher
	now       func() time.Time
}

// Params are the dependencies of the API.
type Params struct {
	fx.In
	Settings     *Settings
	Identity     core.Identity
	Client       store.Client
	Config       core.Config
	Objects      core.ObjectSource
	RevisionSink core.RevisionSink
	Readiness    core.Readiness
	Addresses    *core.Addresses
	Scope        tally.Scope
	Log          *log.Logger
	Membership   core.Membership `optional:"true"`
}

// NewAPI returns an API that logs with the prefix admin.
func NewAPI(p Params) *API {
	p.Log = p.Log.WithPrefix("admin")
	return &API{
		params:    p,
		publisher: &publish.Publisher{Table: p.Client, Objects: p.Client.Objects(), Cache: activeObjects{p.Objects}},
		now:       time.Now,
	}
}

// activeObjects is a publish.Source of the objects of this router's active
// revision.
type activeObjects struct{ objects core.ObjectSource }

// Get implements publish.Source.
func (o activeObjects) Get(_ context.Context, digest string) ([]byte, error) {
	if body, ok := o.objects.Object(digest); ok {
		return body, nil
	}
	return nil, &store.NotFoundError{Name: digest}
}

// routes returns the handler of all paths. Paths below /admin/v1 require the key.
func (a *API) routes(key string) http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", a.healthz).Methods(http.MethodGet)
	r.HandleFunc("/readyz", a.readyz).Methods(http.MethodGet)
	r.HandleFunc("/metrics", a.metrics).Methods(http.MethodGet)
	v1 := r.PathPrefix("/admin/v1").Subrouter()
	v1.Use(requireKey(key))
	v1.HandleFunc("/sets", handle(a.apply)).Methods(http.MethodPost)
	v1.HandleFunc("/sets:check", handle(a.check)).Methods(http.MethodPost)
	v1.HandleFunc("/sets:diff", handle(a.diff)).Methods(http.MethodPost)
	v1.HandleFunc("/sets/current", handle(a.current)).Methods(http.MethodGet)
	v1.HandleFunc("/status", handle(a.status)).Methods(http.MethodGet)
	v1.HandleFunc("/audit", handle(a.audit)).Methods(http.MethodGet)
	v1.HandleFunc("/drain", handle(a.drain)).Methods(http.MethodPost)
	return http.TimeoutHandler(r, a.params.Settings.RequestTimeout, timeoutBody(a.params.Settings.RequestTimeout))
}

// timeoutBody returns the response body of a request that timed out. Its outcome
// is unknown, since the request may have published a revision by then.
func timeoutBody(limit time.Duration) string {
	p := core.NewProblem(core.KindPlatformUnavailable, "the request took more than %s", limit)
	p.Outcome = core.OutcomeUnknown
	text, err := json.Marshal(adminapi.ProblemResponse{ProblemJSON: p.JSON("")})
	if err != nil {
		return p.Error()
	}
	return string(text)
}

// noBody is the request type of handlers without a request body.
type noBody struct{}

// handle returns a handler that decodes the JSON body of a POST request, calls fn
// and sends its result as JSON.
func handle[Req, Resp any](fn func(context.Context, *http.Request, Req) (Resp, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req Req
		if r.Method == http.MethodPost {
			d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
			d.DisallowUnknownFields()
			if err := d.Decode(&req); err != nil {
				writeError(w, bodyProblem(err))
				return
			}
		}
		response, err := fn(r.Context(), r, req)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, "application/json", response)
	}
}

func bodyProblem(err error) *core.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return core.NewProblem(core.KindBodyTooLarge, "the body has more than %d bytes", tooLarge.Limit)
	}
	return core.NewProblem(core.KindInvalidRequest, "the body is not the expected JSON: %v", err)
}

func writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the connection is closed
}

// writeError sends an error as a problem (application/problem+json).
func writeError(w http.ResponseWriter, err error) {
	body := adminapi.ProblemResponse{}
	p := problemOf(err, &body)
	body.ProblemJSON = p.JSON("")
	if p.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(p.RetryAfter.Seconds())))
	}
	writeJSON(w, p.Status(), "application/problem+json", body)
}

// retryAfter is the Retry-After of responses while the platform is unavailable.
const retryAfter = 3 * time.Second

// problemOf converts an error to a problem and adds its details to body. Errors of
// unknown type count as failures of the platform.
func problemOf(err error, body *adminapi.ProblemResponse) *core.Problem {
	var (
		problem   *core.Problem
		invalid   *objects.ValidationError
		conflict  *publish.ConflictError
		uncertain *publish.UncertainError
	)
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &invalid):
		body.Problems = invalid.Problems
		return core.NewProblem(core.KindInvalidRequest, "the set has %d problems", len(invalid.Problems))
	case errors.As(err, &conflict):
		body.Newest = &conflict.Newest
		return core.NewProblem(core.KindRevisionConflict, "base revision %d is not the newest: revision %d by %s is", conflict.Base, conflict.Newest.Revision, conflict.Newest.Author)
	case errors.As(err, &uncertain):
		p := core.NewProblem(core.KindPlatformUnavailable, "%v", err)
		p.Outcome, p.RetryAfter = core.OutcomeUnknown, retryAfter
		return p
	}
	p := core.NewProblem(core.KindPlatformUnavailable, "%v", err)
	p.RetryAfter = retryAfter
	return p
}
