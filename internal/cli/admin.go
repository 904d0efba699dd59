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
	adminTimeout = 90 * time.Second // of one attempt; above the server's own
	maxAnswer    = 64 << 20         // bytes
	submitTries  = 4
)

// submitBackoff is the wait before the second try; it grows with each try.
// Tests shorten it.
var submitBackoff = time.Second

// adminFlags are the flags of the commands that talk to a router.
type adminFlags struct {
	Admin    string `help:"Base URL of a router's admin API." default:"http://127.0.0.1:8090" env:"AUBURNLEAD_ADMIN" placeholder:"URL"`
	AdminKey string `help:"Operators' key. Prefer the environment variable: other users of a VM can see arguments." env:"AUBURNLEAD_ADMIN_KEY" placeholder:"KEY"`
}

// operatorVerbs are the operators' commands, part of the whole command line.
type operatorVerbs struct {
	Apply  applyCmd  `cmd:"" help:"Publish an object set."`
	Diff   diffCmd   `cmd:"" help:"Compare an object set with the published one."`
	Get    getCmd    `cmd:"" help:"Print the published object set."`
	Status statusCmd `cmd:"" help:"Show readiness and the revision in force on every router."`
	Drain  drainCmd  `cmd:"" help:"Take a worker out of use, or back into use."`
	Audit  auditCmd  `cmd:"" help:"List who published what."`
	Check  checkCmd  `cmd:"" help:"Check an object set or a router's settings; nothing is sent."`
}

// problemError is an error answer of the admin API.
type problemError struct{ body adminapi.ProblemResponse }

func (e *problemError) Error() string {
	lines := []string{fmt.Sprintf("%s: %s; %s", e.body.Title, e.body.Detail, e.body.Remedy)}
	for _, p := range e.body.Problems {
		lines = append(lines, "  "+p.String())
	}
	return strings.Join(lines, "\n")
}

// unreachableError says that the admin API gave no answer.
type unreachableError struct {
	url string
	err error
}

func (e *unreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v; check --admin and that the router runs", e.url, e.err)
}

func (e *unreachableError) Unwrap() error { return e.err }

// call sends a request and decodes the answer into rep.
func (f adminFlags) call(ctx context.Context, method, path string, req, rep any) error {
	if f.AdminKey == "" {
		return &ExitError{ExitUsage, errors.New("no operators' key; set AUBURNLEAD_ADMIN_KEY or --admin-key")}
	}
	base, err := url.Parse(f.Admin)
	if err != nil || base.Host == "" {
		return &ExitError{ExitUsage, fmt.Errorf("--admin %q is not a URL; write for example http://10.0.0.5:8090", f.Admin)}
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	var body io.Reader
	if req != nil {
		text, err := json.Marshal(req)
		if err != nil {
			return err
		}
		body = bytes.NewReader(text)
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(f.Admin, "/")+"/admin/v1/"+path, body)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	r.Header.Set("Authorization", "Bearer "+f.AdminKey)
	return exchange(r, rep)
}

func exchange(r *http.Request, rep any) error {
	unreachable := func(err error) error {
		return &ExitError{ExitUnreachable, &unreachableError{r.URL.Host, err}}
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return unreachable(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return unreachable(err)
	}
	if answer.StatusCode != http.StatusOK {
		return answerError(answer, text)
	}
	if err := json.Unmarshal(text, rep); err != nil {
		return unreachable(fmt.Errorf("the answer is not from an admin API: %w", err))
	}
	return nil
}

// answerError returns the error of an answer with its exit code.
func answerError(answer *http.Response, text []byte) error {
	e := &problemError{}
	if json.Unmarshal(text, &e.body) != nil || e.body.Title == "" {
		e.body.Title, e.body.Detail, e.body.Remedy = answer.Status, strings.TrimSpace(string(text)), "check --admin"
		if answer.StatusCode >= http.StatusInternalServerError {
			e.body.Outcome = core.OutcomeUnknown // an intermediary may have answered
		}
	}
	code := ExitFailed
	switch answer.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		code = ExitUsage
	case http.StatusConflict:
		code = ExitConflict
	case http.StatusServiceUnavailable, http.StatusBadGateway, http.StatusGatewayTimeout:
		code = ExitUnreachable
	}
	return &ExitError{code, e}
}

// submit sends a submission, and sends it again with the same token while it
// is not known whether it was published.
func (f adminFlags) submit(ctx context.Context, path string, req any, rep *adminapi.ApplyResponse) error {
	for try := 1; ; try++ {
		err := f.call(ctx, http.MethodPost, path, req, rep)
		if err == nil || !uncertain(err) || try == submitTries {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(time.Duration(try) * submitBackoff):
		}
	}
}

// uncertain reports whether a submission may have been published.
func uncertain(err error) bool {
	var problem *problemError
	if errors.As(err, &problem) {
		return problem.body.Outcome == core.OutcomeUnknown
	}
	var unreachable *unreachableError
	return errors.As(err, &unreachable)
}

// newToken returns a submit token that no other submission has.
func newToken() string { return rand.Text() }

// print writes v as JSON, or as text by the function.
func (s *Streams) print(v any, text func(io.Writer)) error {
	if s.Output == "json" {
		return json.NewEncoder(s.Out).Encode(v)
	}
	text(s.Out)
	return nil
}

// invalidSet gives an invalid object set its exit code.
func invalidSet(err error) error {
	var invalid *objects.ValidationError
	if errors.As(err, &invalid) {
		return &ExitError{ExitUsage, err}
	}
	return err
}
