package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/auburnlead/auburnlead/internal/adminapi"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/settings"
)

type applyCmd struct {
	adminFlags
	File   string `arg:"" help:"File of the object set (INI)." type:"existingfile"`
	Base   int64  `help:"Revision that the set replaces. Default: the newest revision when the command starts." default:"-1" placeholder:"REVISION"`
	Author string `help:"Author of the submission, for the audit trail." env:"AUBURNLEAD_AUTHOR,USER" required:"" placeholder:"NAME"`
}

// Help returns the text shown below the usage of the command.
func (applyCmd) Help() string {
	return "Example:\n\n  auburnlead apply set.ini --base 41 --author asha --admin http://10.0.0.5:8090\n\nEither the whole set is published or nothing. Exit code 3: another revision was published on the same base; compare with diff and apply again."
}

// Run publishes the set.
func (c *applyCmd) Run(ctx context.Context, s *Streams) error {
	text, err := readSet(c.File)
	if err != nil {
		return err
	}
	base := uint64(max(c.Base, 0))
	if c.Base < 0 {
		if base, err = c.newestRevision(ctx); err != nil {
			return err
		}
	}
	request := adminapi.SetRequest{Set: text, Name: c.File, Base: base, Token: newSubmitToken(), Author: c.Author}
	var response adminapi.ApplyResponse
	if err := c.submit(ctx, "sets", request, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) { fmt.Fprintf(w, "published revision %d\n", response.Revision.Revision) })
}

// newestRevision returns the newest revision, 0 if nothing was published yet.
func (f adminFlags) newestRevision(ctx context.Context) (uint64, error) {
	var current adminapi.GetResponse
	err := f.call(ctx, http.MethodGet, "sets/current", nil, &current)
	var problem *problemError
	if errors.As(err, &problem) && problem.body.Status == http.StatusNotFound {
		return 0, nil
	}
	return current.Revision.Revision, err
}

// readSet reads a set and validates it locally, so that an invalid one is not sent.
func readSet(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &ExitError{ExitUsage, err}
	}
	if _, err := objects.Load(file, text); err != nil {
		return "", withUsageExit(err)
	}
	return string(text), nil
}

type diffCmd struct {
	adminFlags
	File string `arg:"" help:"File of the object set (INI)." type:"existingfile"`
}

// Help returns the text shown below the usage of the command.
func (diffCmd) Help() string {
	return "Example:\n\n  auburnlead diff set.ini --admin http://10.0.0.5:8090"
}

// Run prints the changes that applying the set would make.
func (c *diffCmd) Run(ctx context.Context, s *Streams) error {
	text, err := readSet(c.File)
	if err != nil {
		return err
	}
	var response adminapi.DiffResponse
	if err := c.call(ctx, http.MethodPost, "sets:diff", adminapi.SetRequest{Set: text, Name: c.File}, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) {
		for _, change := range response.Changes {
			fmt.Fprintln(w, change)
		}
		fmt.Fprintf(w, "%d changes against revision %d\n", len(response.Changes), response.Revision)
	})
}

type getCmd struct{ adminFlags }

// Help returns the text shown below the usage of the command.
func (getCmd) Help() string {
	return "Example:\n\n  auburnlead get --admin http://10.0.0.5:8090 > set.ini\n\nWhile the platform is unreachable, prints the set that is active on the router."
}

// Run prints the published set in the form that apply reads.
func (c *getCmd) Run(ctx context.Context, s *Streams) error {
	var response adminapi.GetResponse
	if err := c.call(ctx, http.MethodGet, "sets/current", nil, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) {
		fmt.Fprintf(w, "; revision %d, author %q, from %s\n%s", response.Revision.Revision, response.Author, response.Source, response.Set)
	})
}

type statusCmd struct{ adminFlags }

// Help returns the text shown below the usage of the command.
func (statusCmd) Help() string {
	return "Example:\n\n  auburnlead status --admin http://10.0.0.5:8090 --output json"
}

// Run prints what the router knows about itself and the other routers.
func (c *statusCmd) Run(ctx context.Context, s *Streams) error {
	var response adminapi.StatusResponse
	if err := c.call(ctx, http.MethodGet, "status", nil, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) {
		ready := "ready"
		if !response.Ready {
			ready = "not ready (" + response.Reason + ")"
		}
		fmt.Fprintf(w, "router %s in %s: %s, revision %d\n", response.Router, response.FailureDomain, ready, response.Revision)
		t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		fmt.Fprintln(t, "ROUTER\tFAILURE DOMAIN\tSTATE\tREVISION\tADDRESS")
		for _, m := range response.Members {
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", m.Router, m.FailureDomain, m.State, m.Revision, m.Address)
		}
		_ = t.Flush() // the output may be closed
	})
}

type drainCmd struct {
	adminFlags
	Upstream string `arg:"" help:"Name of the upstream."`
	Worker   string `arg:"" help:"ID of the worker."`
	Undo     bool   `help:"Send new requests to the worker again."`
	Author   string `help:"Author of the submission, for the audit trail." env:"AUBURNLEAD_AUTHOR,USER" required:"" placeholder:"NAME"`
}

// Help returns the text shown below the usage of the command.
func (drainCmd) Help() string {
	return "Example:\n\n  auburnlead drain auburnlead-pool e3 --author asha --admin http://10.0.0.5:8090\n\nPublishes a revision that lists the worker in draining. Requests in flight on it run to completion."
}

// Run publishes a revision in which the worker is draining or, with Undo, is not.
func (c *drainCmd) Run(ctx context.Context, s *Streams) error {
	request := adminapi.DrainRequest{Upstream: c.Upstream, Worker: c.Worker, Undo: c.Undo, Token: newSubmitToken(), Author: c.Author}
	var response adminapi.ApplyResponse
	if err := c.submit(ctx, "drain", request, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) {
		if response.Unchanged {
			fmt.Fprintf(w, "unchanged since revision %d\n", response.Revision.Revision)
			return
		}
		fmt.Fprintf(w, "published revision %d\n", response.Revision.Revision)
	})
}

type auditCmd struct {
	adminFlags
	Limit int `help:"Number of records, 1 to 500." default:"20"`
}

// Help returns the text shown below the usage of the command.
func (auditCmd) Help() string {
	return "Example:\n\n  auburnlead audit --limit 50 --admin http://10.0.0.5:8090"
}

// Run prints the newest audit records.
func (c *auditCmd) Run(ctx context.Context, s *Streams) error {
	var response adminapi.AuditResponse
	if err := c.call(ctx, http.MethodGet, "audit?limit="+strconv.Itoa(c.Limit), nil, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) {
		for _, r := range response.Records {
			fmt.Fprintf(w, "revision %d on %d by %s at %s\n", r.Revision.Revision, r.Base, r.Author, r.Time.Format(time.RFC3339))
			for _, change := range r.Changes {
				fmt.Fprintln(w, "  "+change.String())
			}
			if r.Omitted > 0 {
				fmt.Fprintf(w, "  and %d more changes\n", r.Omitted)
			}
		}
	})
}

type checkCmd struct {
	File     string   `arg:"" optional:"" help:"File of an object set (INI)." type:"existingfile"`
	Settings string   `help:"Settings file of a router (INI)." type:"existingfile" placeholder:"FILE"`
	Set      []string `help:"Override one setting; may be repeated." sep:"none" placeholder:"SECTION.KEY=VALUE"`
}

// Help returns the text shown below the usage of the command.
func (checkCmd) Help() string {
	return "Examples:\n\n  auburnlead check set.ini\n  auburnlead check --settings router.ini --set caller.listen=10.0.0.5:8080\n\nExit code 2: invalid; every problem is printed."
}

// Run checks the object set, the settings, or both.
func (c *checkCmd) Run(s *Streams) error {
	if c.File == "" && c.Settings == "" {
		return &ExitError{ExitUsage, errors.New("nothing to check; pass an object set or --settings FILE")}
	}
	var failures []error
	if c.Settings != "" {
		failures = append(failures, c.checkSettings())
	}
	if c.File != "" {
		_, err := readSet(c.File)
		failures = append(failures, err)
	}
	if err := errors.Join(failures...); err != nil {
		return &ExitError{ExitUsage, err}
	}
	return s.print(struct {
		Valid bool `json:"valid"`
	}{true}, func(w io.Writer) { fmt.Fprintln(w, "valid") })
}

func (c *checkCmd) checkSettings() error {
	src, err := settings.Open(c.Settings, c.Set)
	if err != nil {
		return err
	}
	_, err = kernel.Bind(routerRole, src)
	return err
}
