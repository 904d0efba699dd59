package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/auburnlead/auburnlead/internal/adminapi"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
)

// Limits of a request to the admin API.
const (
	adminTimeout      = 90 * time.Second // of one attempt; longer than the default timeouts of the admin API's server
	maxResponseBytes  = 64 << 20
	maxSubmitAttempts = 4
)

// submitBackoff is the wait before the second attempt. It increases with each
// attempt. Tests shorten it.
var submitBackoff = time.Second

// adminFlags are the flags of the commands that call a router's admin API.
type adminFlags struct {
	Admin    string `help:"Base URL of a router's admin API." default:"http://127.0.0.1:8090" env:"AUBURNLEAD_ADMIN" placeholder:"URL"`
	AdminKey string `help:"Operators' key. Prefer the environment variable, because other users of the VM can see arguments." env:"AUBURNLEAD_ADMIN_KEY" placeholder:"KEY"`
}

// operatorCommands are the commands for operators, embedded in commands.
type operatorCommands struct {
	Apply  applyCmd  `cmd:"" help:"Publish an object set."`
	Diff   diffCmd   `cmd:"" help:"Compare an object set with the published one."`
	Get    getCmd    `cmd:"" help:"Print the published object set."`
	Status statusCmd `cmd:"" help:"Show readiness and the revision in force on every router."`
	Drain  drainCmd  `cmd:"" help:"Stop sending new requests to a worker, or resume."`
	Audit  auditCmd  `cmd:"" help:"List the published revisions with authors and changes."`

	Explain explainCmd `cmd:"" help:"Show where a gateway would send a request now, and why; nothing is sent."`

	Check checkCmd `cmd:"" help:"Check an object set or a router's settings locally; nothing is sent."`
}

// problemError is an error response of the admin API.
type problemError struct{ body adminapi.ProblemResponse }

func (e *problemError) Error() string {
	lines := []string{fmt.Sprintf("%s: %s; %s", e.body.Title, e.body.Detail, e.body.Remedy)}
	for _, p := range e.body.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// endpoint is an HTTP interface of a router, as error messages name it.
type endpoint struct{ flag, name string }

var adminEndpoint = endpoint{"--admin", "a router's admin API"}

// unreachableError reports that an endpoint did not respond.
type unreachableError struct {
	endpoint
	url string
	err error
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v; check %s and that the router is running", e.url, e.err, e.flag)
}

func (e *unreachableError) Unwrap() error { return e.err }

// call sends a request and decodes the body of the response into response.
func (f adminFlags) call(ctx context.Context, method, path string, request, response any) error {
	if f.AdminKey == "" {
		return &ExitError{ExitUsage, errors.New("no operators' key; set AUBURNLEAD_ADMIN_KEY or --admin-key")}
	}
	base, err := url.Parse(f.Admin)
	if err != nil || base.Host == "" {
		return &ExitError{ExitUsage, fmt.Errorf("--admin %q is not a URL; use for example http://10.0.0.5:8090", f.Admin)}
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return err
		}
		body = bytes.NewReader(encoded)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(f.Admin, "/")+"/admin/v1/"+path, body)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	httpRequest.Header.Set("Authorization", "Bearer "+f.AdminKey)
	return doRequest(httpRequest, adminEndpoint, response)
}

func doRequest(r *http.Request, to endpoint, result any) error {
	unreachable := func(err error) error {
		return &ExitError{ExitUnreachable, &unreachableError{to, r.URL.Host, err}}
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return unreachable(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return unreachable(err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response, to, body)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return unreachable(fmt.Errorf("the response is not from %s: %w", to.name, err))
	}
	return nil
}

// responseError returns the error of a response with its exit code.
func responseError(response *http.Response, to endpoint, body []byte) error {
	e := &problemError{}
	if json.Unmarshal(body, &e.body) != nil || e.body.Title == "" {
		e.body.Title, e.body.Detail, e.body.Remedy = response.Status, strings.TrimSpace(string(body)), fmt.Sprintf("check that %s is the URL of %s", to.flag, to.name)
		if response.StatusCode >= http.StatusInternalServerError {
			e.body.Outcome = core.OutcomeUnknown // an intermediary may have sent the response
		}
	}
	code := ExitFailed
	switch response.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		code = ExitUsage
	case http.StatusConflict:
		code = ExitConflict
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		code = ExitUnreachable
	}
	return &ExitError{code, e}
}

// submit sends a submission. While it is unknown whether the submission was
// published, it retries with the same token, up to maxSubmitAttempts in all.
func (f adminFlags) submit(ctx context.Context, path string, request any, response *adminapi.ApplyResponse) error {
	for attempt := 1; ; attempt++ {
		err := f.call(ctx, http.MethodPost, path, request, response)
		if err == nil || !outcomeUnknown(err) || attempt == maxSubmitAttempts {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(time.Duration(attempt) * submitBackoff):
		}
	}
}

// outcomeUnknown reports whether a submission may have been published.
func outcomeUnknown(err error) bool {
	var problem *problemError
	if errors.As(err, &problem) {
		return problem.body.Outcome == core.OutcomeUnknown
	}
	var unreachable *unreachableError
	return errors.As(err, &unreachable)
}

// newSubmitToken returns a unique submit token.
func newSubmitToken() string { return rand.Text() }

// print writes v as JSON, or calls text to write it as text.
func (s *Streams) print(v any, text func(io.Writer)) error {
	if s.Output == "json" {
		return json.NewEncoder(s.Out).Encode(v)
	}
	text(s.Out)
	return nil
}

// withUsageExit adds the usage exit code to the error of an invalid object set.
func withUsageExit(err error) error {
	var invalid *objects.ValidationError
	if errors.As(err, &invalid) {
		return &ExitError{ExitUsage, err}
	}
	return err
}
