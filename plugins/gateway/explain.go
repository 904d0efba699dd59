package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/explainapi"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/routing"
)

// explainer answers GET /explain on the metrics listener: where a request would go now,
// and why. Nothing is sent or counted, and nothing of the request is logged.
type explainer struct {
	g    *Gateway
	busy atomic.Bool // one explanation at a time, since each holds the lock of the fleet
}

// explainParams are the parameters of a request for an explanation.
type explainParams struct {
	host, path, method, caller string
	prompt                     []routing.PromptPart
	timeout                    time.Duration // 0 for the route's
	promptTokens, outputTokens int           // 0 if not known
	candidates                 int
}

// ServeHTTP implements http.Handler.
func (e *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	params, err := e.g.readExplainParams(r.URL.RawQuery)
	if err != nil {
		core.WriteProblem(w, core.NewProblem(core.KindInvalidRequest, "%v", err), "")
		return
	}
	if !e.busy.CompareAndSwap(false, true) {
		p := core.NewProblem(core.KindOverloaded, "another explanation is being made")
		p.RetryAfter = time.Second
		core.WriteProblem(w, p, "")
		return
	}
	response, problem := e.g.explain(params, time.Now())
	e.busy.Store(false)
	if problem != nil {
		core.WriteProblem(w, problem, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // fails if the connection is closed
}

// readExplainParams reads a query. Errors name the parameter but no value: an operator may
// have given a key by mistake.
func (g *Gateway) readExplainParams(query string) (p explainParams, err error) {
	if len(query) > explainapi.MaxQueryBytes {
		return p, fmt.Errorf("the query has more than %d bytes; give fewer prompt parts", explainapi.MaxQueryBytes)
	}
	values, err := url.ParseQuery(query)
	if err != nil {
		return p, errors.New("the query is not URL encoded")
	}
	p.method, p.candidates = http.MethodGet, explainapi.DefaultCandidates
	for name, list := range values {
		v := list[0]
		if len(list) > 1 {
			return p, errors.New("a parameter is given twice; give each once")
		}
		switch name {
		case explainapi.ParamHost:
			p.host = v
		case explainapi.ParamPath:
			p.path, err = escapedPath(v)
		case explainapi.ParamMethod:
			p.method = v
		case explainapi.ParamCaller:
			p.caller = v
		case explainapi.ParamPrompt:
			if p.prompt, err = g.wire.ParsePrompt(v); err != nil { // it may quote the value
				err = fmt.Errorf("part %d cannot be read; give the parts as in the header of a request", len(p.prompt)+1)
			}
		case explainapi.ParamTimeout:
			p.timeout, err = parseTimeoutMs(v)
		case explainapi.ParamPromptTokens:
			p.promptTokens, err = parseTokens(v)
		case explainapi.ParamOutputTokens:
			p.outputTokens, err = parseTokens(v)
		case explainapi.ParamCandidates:
			p.candidates, err = strconv.Atoi(v)
			if err != nil || p.candidates < 0 || p.candidates > explainapi.MaxCandidates {
				err = fmt.Errorf("not a whole number from 0 to %d", explainapi.MaxCandidates)
			}
		default:
			return p, errors.New("unknown parameter; known are host, path, method, caller (a name, not a key), prompt, prompt_tokens, max_output_tokens, timeout_ms and candidates")
		}
		if err != nil {
			return p, fmt.Errorf("parameter %s: %w", name, err)
		}
	}
	if p.host == "" || p.path == "" {
		return p, errors.New("host and path are required")
	}
	return p, nil
}

// escapedPath returns the path of a request target as routes are matched with it.
func escapedPath(target string) (string, error) {
	u, err := url.ParseRequestURI(target)
	if err != nil || u.Path == "" || u.Path[0] != '/' {
		return "", errors.New("not the path of a request, such as /v1/chat")
	}
	return u.EscapedPath(), nil
}

// maxExplainTimeout limits the timeout that may be given.
const maxExplainTimeout = 24 * time.Hour

func parseTimeoutMs(v string) (time.Duration, error) {
	ms, err := strconv.ParseInt(v, 10, 64)
	if err != nil || ms <= 0 || ms > maxExplainTimeout.Milliseconds() {
		return 0, fmt.Errorf("not a number of milliseconds from 1 to %d", maxExplainTimeout.Milliseconds())
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// maxExplainTokens limits the tokens that may be given.
const maxExplainTokens = 1 << 24

func parseTokens(v string) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > maxExplainTokens {
		return 0, fmt.Errorf("not a whole number from 0 to %d", maxExplainTokens)
	}
	return n, nil
}

// explain returns what would be done with a request now. It follows prepare and
// chooseWorker without their effects.
func (g *Gateway) explain(p explainParams, now time.Time) (*explainapi.Response, *core.Problem) {
	res := &explainapi.Response{Router: g.identity.Router, FailureDomain: g.identity.FailureDomain, At: now, Host: p.host, Path: p.path, Method: p.method}
	x := &exchange{start: now, header: core.RequestHeader{Timeout: p.timeout, Prompt: p.prompt, PromptTokens: p.promptTokens, MaxOutputTokens: p.outputTokens}}
	table := g.routes.table.Load()
	if table == nil {
		res.Answer = newAnswer(newRefusal(reasonNoConfig, g.retryAfterWithoutConfig(x)))
		return res, nil
	}
	res.Revision, res.RevisionAgeMs = table.revision, now.Sub(table.appliedAt).Milliseconds()
	if p.caller != "" {
		if x.caller = table.set.Callers[p.caller]; x.caller == nil {
			return nil, core.NewProblem(core.KindNotFound, "no caller of this name in revision %d; give the name of a caller object, not a key", table.revision)
		}
	}
	if x.route = table.match(p.host, p.path); x.route == nil {
		res.Answer = &explainapi.Answer{Status: http.StatusNotFound, Reason: reasonNoRoute}
		return res, nil
	}
	if x.route.Public {
		x.caller = nil // keys are not looked at there
	}
	x.setDeadline()
	res.Caller, res.Rank, res.RankOf = x.callerName(), x.priority(), explainapi.RankOfRoute
	if x.caller != nil && x.caller.Priority != nil {
		res.RankOf = explainapi.RankOfCaller
	}
	r := x.route
	res.Route = &explainapi.Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: string(r.Kind), Sticky: r.Sticky, Public: r.Public, TimeoutMs: x.timeout.Milliseconds(), TargetMs: r.Target.Milliseconds()}
	if !r.Public && x.caller == nil {
		res.Answer = &explainapi.Answer{Status: http.StatusUnauthorized, Reason: reasonUnknownKey}
	}
	total := 0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	for _, d := range r.Destinations {
		u := g.explainUpstream(*x, d, p.candidates, now)
		u.Share = float64(d.Weight) / float64(max(total, 1))
		res.Upstreams = append(res.Upstreams, u)
	}
	return res, nil
}

// explainUpstream returns what would be done with a request whose upstream was picked.
func (g *Gateway) explainUpstream(x exchange, d objects.Destination, candidates int, now time.Time) explainapi.Upstream {
	x.upstream = d.Upstream
	a := g.room.gate.Explain(now, x.routedRequest(now))
	e := g.fleet.Explain(x.routingRequest(now), now)
	u := explainapi.Upstream{Name: d.Upstream, Weight: d.Weight, Admission: newAdmission(a), ByChance: e.ByChance, Routers: e.Routers, ListVersion: e.ListVersion, ListAgeMs: e.ListAge.Milliseconds(), Workers: len(e.Candidates)}
	if e.ListVersion == 0 {
		u.ListAgeMs = 0 // no list yet
	}
	isQuarantined := func(x *exchange) bool {
		found, ok := g.crashes.tracker.Peek(now, x.sharedPartIDs())
		if ok {
			x.quarantined = found.Until.Sub(now)
		}
		return ok
	}
	hasNoRoom := func(x *exchange) bool {
		x.room = a.Decision
		return a.Decision.Refused
	}
	barred := g.isBarred(&x, isQuarantined, hasNoRoom)
	if !barred && !e.Chosen {
		x.nextPermit, x.limitedWorkers, x.coldWorkers = e.NextPermit, e.LimitedWorkers, e.ColdWorkers
		x.nextOpening, x.pausedWorkers, x.evacuated = e.NextOpening, e.PausedWorkers, e.AllEvacuated
	}
	if barred || !e.Chosen {
		u.Answer = newAnswer(g.refusalOf(&x, nil))
	}
	if e.Chosen {
		u.Choice = newChoice(e)
	}
	for _, c := range e.Candidates[:min(candidates, len(e.Candidates))] {
		u.Candidates = append(u.Candidates, newCandidate(c, e.Choice.LoadLimit))
	}
	return u
}

func newAnswer(r routerRefusal) *explainapi.Answer {
	return &explainapi.Answer{Status: http.StatusServiceUnavailable, Reason: r.reason, RetryAfterMs: r.least.Milliseconds(), RetryAfterMaxMs: (r.least + r.spread).Milliseconds()}
}

func newAdmission(a admission.Explanation) explainapi.Admission {
	out := explainapi.Admission{
		Enabled: a.Known, On: a.On, Refused: a.Decision.Refused, AgeMs: a.Age.Milliseconds(), Fraction: a.Fraction, RankFraction: a.RankFraction, Shortage: a.Shortage, Full: a.Full,
		LatencyMs: a.Latency.Milliseconds(), PlanAgeMs: -1, Slots: a.Slots, Heard: a.Heard, Routers: a.Routers,
	}
	if a.PlanAge >= 0 {
		out.PlanAgeMs = a.PlanAge.Milliseconds()
	}
	if !math.IsInf(a.Room, 1) {
		out.Room = &a.Room
	}
	return out
}

func newChoice(e routing.Explanation) *explainapi.Choice {
	c := e.Choice
	out := &explainapi.Choice{
		Worker: c.Worker.ID, Address: c.Worker.Address, Reason: c.Reason, Key: strconv.FormatUint(c.PlacementKey, 16), SharedTokens: c.SharedTokens, Preference: c.PreferenceIndex,
		Busy: c.EstimatedLoad, Waiting: c.Unanswered, Limit: c.LoadLimit, Spread: c.SpreadSize, KeyRate: round10(c.KeyRate), Mean: round10(c.MeanLoad), FetchFrom: c.FetchFrom,
		LoadAgeMs: loadAgeMs(c.LoadAge), WorkPercent: c.WorkPercent, RateLimit: c.RateLimit, ExpectedWaitMs: c.ExpectedWait.Milliseconds(), Slowness: round100(c.Slowness),
	}
	if i := slices.IndexFunc(e.Candidates, func(o routing.Candidate) bool { return o.Worker.Address == c.FetchFrom }); i >= 0 {
		out.FetchWorker = e.Candidates[i].Worker.ID
	}
	return out
}

func newCandidate(c routing.Candidate, limit int) explainapi.Candidate {
	out := explainapi.Candidate{
		Worker: c.Worker.ID, FailureDomain: c.Worker.FailureDomain, Chosen: c.Chosen, Busy: c.EstimatedLoad, Limit: limit, Slots: c.Slots, Waiting: c.Unanswered,
		LoadAgeMs: loadAgeMs(c.LoadAge), WorkPercent: c.WorkPercent, Unreachable: c.Unreachable, Ejected: c.Ejected, Draining: c.Draining, Leaving: c.Leaving, Evacuated: c.Evacuated,
		Returned: c.JustReturned, AboveShare: c.AboveShare, PausedMs: c.PausedFor.Milliseconds(), PausedElsewhereMs: c.PausedElsewhere.Milliseconds(),
		Cold: c.Cold, ColdLeftMs: c.ColdFor.Milliseconds(), Rising: c.Rising, RisenPart: round100(c.RisenPart), RateLimit: c.RateLimit,
		ExpectedWaitMs: c.ExpectedWait.Milliseconds(), Slowness: round100(c.Slowness),
	}
	if c.PermitDrawn {
		ms := c.NextPermit.Milliseconds()
		out.NextPermitMs = &ms
	}
	return out
}
