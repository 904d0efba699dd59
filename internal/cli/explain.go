package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/auburnlead/auburnlead/internal/explainapi"
)

// explainTimeout limits the request: a gateway explains within a few milliseconds.
const explainTimeout = 10 * time.Second

var explainEndpoint = endpoint{"--gateway", "a gateway's metrics listener (setting [gateway] metrics)"}

type explainCmd struct {
	Gateway         string        `help:"Base URL of a gateway's metrics listener." env:"AUBURNLEAD_GATEWAY" required:"" placeholder:"URL"`
	Host            string        `help:"Host name of the request." required:""`
	Path            string        `help:"Path of the request." required:""`
	Method          string        `help:"Method of the request; routes do not depend on it." default:"GET"`
	Caller          string        `help:"Name of the caller, not its key." placeholder:"NAME"`
	Prompt          string        `help:"Parts of the prompt as in the header of a request." placeholder:"ID:TOKENS,..."`
	PromptTokens    int           `help:"Tokens of the whole prompt; the expected wait depends on them." default:"0"`
	MaxOutputTokens int           `help:"Limit of the tokens of the response." default:"0"`
	Timeout         time.Duration `help:"Timeout that the caller names; the route's if it is shorter or none is given." default:"0s"`
	Candidates      int           `help:"Largest number of workers to list for each upstream." default:"10"`
}

// Help returns the text shown below the usage of the command.
func (explainCmd) Help() string {
	return "Asks one gateway, which decides for itself: another one may decide otherwise. Nothing is sent to a worker and nothing is counted.\n\nExample:\n\n  auburnlead explain --gateway http://10.1.0.40:7355 --host desk.example --path /chat/a --caller clerks --prompt 3fa1:800,77c0:120"
}

// Run prints where a request would go.
func (c *explainCmd) Run(ctx context.Context, s *Streams) error {
	r, err := c.request(ctx)
	if err != nil {
		return &ExitError{ExitUsage, err}
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	var response explainapi.Response
	if err := doRequest(r.WithContext(ctx), explainEndpoint, &response); err != nil {
		return err
	}
	return s.print(response, func(w io.Writer) { printExplanation(w, &response) })
}

func (c *explainCmd) request(ctx context.Context) (*http.Request, error) {
	base, err := url.Parse(c.Gateway)
	if err != nil || base.Host == "" {
		return nil, errors.New("--gateway is not a URL; use for example http://10.1.0.40:7355")
	}
	query := url.Values{}
	set := func(name, value string) {
		if value != "" {
			query.Set(name, value)
		}
	}
	set(explainapi.ParamHost, c.Host)
	set(explainapi.ParamPath, c.Path)
	set(explainapi.ParamMethod, c.Method)
	set(explainapi.ParamCaller, c.Caller)
	set(explainapi.ParamPrompt, c.Prompt)
	if c.PromptTokens != 0 {
		set(explainapi.ParamPromptTokens, strconv.Itoa(c.PromptTokens))
	}
	if c.MaxOutputTokens != 0 {
		set(explainapi.ParamOutputTokens, strconv.Itoa(c.MaxOutputTokens))
	}
	if c.Timeout != 0 {
		set(explainapi.ParamTimeout, strconv.FormatInt(c.Timeout.Milliseconds(), 10))
	}
	set(explainapi.ParamCandidates, strconv.Itoa(c.Candidates))
	base.Path = strings.TrimSuffix(base.Path, "/") + explainapi.Path
	base.RawQuery = query.Encode()
	return http.NewRequestWithContext(ctx, http.MethodGet, base.String(), nil)
}

func printExplanation(w io.Writer, r *explainapi.Response) {
	fmt.Fprintf(w, "router %s in %s, revision %d in force for %s\n", r.Router, r.FailureDomain, r.Revision, msText(r.RevisionAgeMs))
	if r.Route != nil {
		fmt.Fprintf(w, "route %s (%s): %s%s, timeout %s, target %s\n", r.Route.Name, r.Route.Kind, r.Route.Host, r.Route.Prefix, msText(r.Route.TimeoutMs), msText(r.Route.TargetMs))
		fmt.Fprintf(w, "rank %d, of the %s", r.Rank, r.RankOf)
		if r.Caller != "" {
			fmt.Fprintf(w, "; caller %s", r.Caller)
		}
		fmt.Fprintln(w)
	}
	printAnswer(w, "", r.Answer)
	for _, u := range r.Upstreams {
		printUpstream(w, u)
	}
}

func printAnswer(w io.Writer, indent string, a *explainapi.Answer) {
	if a == nil {
		return
	}
	fmt.Fprintf(w, "%sanswered %d: %s", indent, a.Status, a.Reason)
	if a.Status == http.StatusServiceUnavailable {
		fmt.Fprintf(w, "; not run, Retry-After %s to %s", msText(a.RetryAfterMs), msText(a.RetryAfterMaxMs))
	}
	fmt.Fprintln(w)
}

func printUpstream(w io.Writer, u explainapi.Upstream) {
	fmt.Fprintf(w, "upstream %s: weight %d (%.0f%%), %d workers, list %d read %s ago, %d routers\n", u.Name, u.Weight, u.Share*100, u.Workers, u.ListVersion, msText(u.ListAgeMs), u.Routers)
	fmt.Fprintf(w, "  admission control %s\n", admissionText(u.Admission))
	printAnswer(w, "  ", u.Answer)
	if c := u.Choice; c != nil {
		would := "worker"
		if u.Answer != nil {
			would = "if it were not refused: worker"
		}
		fmt.Fprintf(w, "  %s %s, reason %q", would, c.Worker, c.Reason)
		if c.SharedTokens > 0 {
			fmt.Fprintf(w, ", %d tokens shared, preference %d of the prompt, load limit %d", c.SharedTokens, c.Preference, c.Limit)
		}
		if c.ExpectedWaitMs > 0 {
			fmt.Fprintf(w, ", first byte expected in %s", msText(c.ExpectedWaitMs))
		}
		if c.Slowness > 1 {
			fmt.Fprintf(w, ", slow, %.1f times", c.Slowness)
		}
		if c.FetchFrom != "" {
			fmt.Fprintf(w, ", parts from %s", strings.TrimSpace(c.FetchWorker+" "+c.FetchFrom))
		}
		fmt.Fprintln(w)
	}
	if u.ByChance {
		fmt.Fprintln(w, "  a random number takes part: the next request may go to another worker or get another Retry-After")
	}
	if len(u.Candidates) == 0 {
		return
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "  \tWORKER\tFAILURE DOMAIN\tLOAD\tLIMIT\tSLOTS\tUNANSWERED\tLOAD AGE\tWAIT\tSTATE")
	for _, c := range u.Candidates {
		mark := ""
		if c.Chosen {
			mark = "*"
		}
		limit, age, wait := "-", "-", "-"
		if c.Limit > 0 {
			limit = strconv.Itoa(c.Limit)
		}
		if c.LoadAgeMs >= 0 {
			age = msText(c.LoadAgeMs)
		}
		if c.ExpectedWaitMs > 0 {
			wait = msText(c.ExpectedWaitMs)
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\t%d\t%s\t%d\t%d\t%s\t%s\t%s\n", mark, c.Worker, c.FailureDomain, c.Busy, limit, c.Slots, c.Waiting, age, wait, stateText(c))
	}
	_ = t.Flush() // the output may be closed
	if more := u.Workers - len(u.Candidates); more > 0 {
		fmt.Fprintf(w, "  and %d more\n", more)
	}
}

func admissionText(a explainapi.Admission) string {
	if !a.Enabled {
		return "does not apply"
	}
	if !a.On {
		return "off"
	}
	room := "no limit"
	if a.Room != nil {
		room = fmt.Sprintf("%.1f requests/s", *a.Room)
	}
	plan := "not computed yet"
	if a.PlanAgeMs >= 0 {
		plan = "computed " + msText(a.PlanAgeMs) + " ago"
	}
	return fmt.Sprintf("on for %s: room %s, admitted %.0f%% of this rank and caller, %s, %d of %d routers heard", msText(a.AgeMs), room, a.Fraction*100, plan, a.Heard, a.Routers)
}

// stateText names what keeps requests from a worker, "ok" for nothing.
func stateText(c explainapi.Candidate) string {
	var parts []string
	add := func(is bool, text string) {
		if is {
			parts = append(parts, text)
		}
	}
	add(c.Evacuated, "evacuated")
	add(c.Draining, "draining")
	add(c.Leaving, "leaving")
	add(c.Unreachable, "unreachable")
	add(c.Ejected, "ejected")
	add(c.PausedMs > 0, "paused for "+msText(c.PausedMs))
	add(c.PausedElsewhereMs > 0, "paused at another router for "+msText(c.PausedElsewhereMs))
	add(c.Cold && c.ColdLeftMs > 0, "cold for "+msText(c.ColdLeftMs))
	add(c.Cold && c.ColdLeftMs <= 0 && !c.Rising, "warming up")
	add(c.Rising, fmt.Sprintf("gets %.0f%% after its cold time, rising", c.RisenPart*100))
	add(c.Slowness > 1, fmt.Sprintf("slow, %.1f times", c.Slowness))
	add(c.RateLimit >= 0, fmt.Sprintf("limit %g requests/s", c.RateLimit))
	if c.NextPermitMs != nil {
		add(*c.NextPermitMs > 0, "next permit in "+msText(*c.NextPermitMs))
		add(*c.NextPermitMs <= 0, "permit in force")
	}
	add(c.Returned, "back from an evacuation")
	add(c.AboveShare, "has its share after a pause")
	if len(parts) == 0 {
		return "ok"
	}
	return strings.Join(parts, ", ")
}

func msText(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
