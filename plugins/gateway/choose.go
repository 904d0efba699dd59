package gateway

import (
	"math"
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/routing"
)

// chooseWorker picks a worker to which the request has not been sent yet and
// records it as tried. It returns false if there is none, or if the request must not
// be sent to a worker.
func (g *Gateway) chooseWorker(x *exchange) (routing.Choice, bool) {
	if g.checkQuarantine(x) {
		return routing.Choice{}, false
	}
	if !g.server.window.Load().accepts(x.deadline, time.Now()) {
		x.tooLate = true
		return routing.Choice{}, false
	}
	if g.room.refuses(x) {
		return routing.Choice{}, false
	}
	r := routing.Request{
		Upstream: x.upstream, Tried: x.tried, PromptTokens: x.header.PromptTokens, ExpectedOutput: x.header.ExpectedOutput(),
		Whole: x.route.Kind != objects.RouteStream, Target: x.route.Target, TimeLeft: time.Until(x.deadline),
	}
	if x.route.Sticky {
		r.SharedParts = routing.SharedParts(x.header.Prompt)
	}
	c, ok := g.fleet.Choose(r, time.Now())
	if !ok {
		x.nextPermit, x.limitedWorkers = g.fleet.NextPermit(x.upstream, time.Now())
		x.coldWorkers = g.fleet.ColdCount(x.upstream, time.Now())
		x.nextOpening, x.pausedWorkers = g.fleet.NextOpening(x.upstream, time.Now())
		x.evacuated = g.fleet.AllEvacuated(x.upstream)
		g.decisions.logRequest("no worker to choose", "request", x.header.ID, "upstream", x.upstream, "tried", len(x.tried), "limited", x.limitedWorkers, "cold", x.coldWorkers, "next_permit_ms", x.nextPermit.Milliseconds(), "paused", x.pausedWorkers, "next_opening_ms", x.nextOpening.Milliseconds(), "evacuated", x.evacuated)
		return c, false
	}
	x.tried = append(x.tried, c.Worker)
	g.room.recordSent(x)
	g.decisions.count("choices", "reason", c.Reason)
	g.decisions.logRequest("worker chosen", "request", x.header.ID, "upstream", x.upstream, "worker", c.Worker.ID, "reason", c.Reason, "key", strconv.FormatUint(c.PlacementKey, 16), "shared_tokens", c.SharedTokens, "rank", c.PreferenceIndex, "busy", c.EstimatedLoad, "waiting", c.Unanswered, "limit", c.LoadLimit, "spread", c.SpreadSize, "key_rate", math.Round(c.KeyRate*10)/10, "mean", math.Round(c.MeanLoad*10)/10, "fetch_from", c.FetchFrom, "load_age_ms", loadAgeMs(c), "work_percent", c.WorkPercent, "rate_limit", c.RateLimit, "expected_wait_ms", c.ExpectedWait.Milliseconds(), "slowness", math.Round(c.Slowness*100)/100, "list", c.ListVersion, "list_age_ms", c.ListAge.Milliseconds(), "attempt", len(x.tried))
	return c, true
}

// loadAgeMs returns the age of the worker's load report in milliseconds, -1 if
// there is no report.
func loadAgeMs(c routing.Choice) int64 {
	if c.LoadAge < 0 {
		return -1
	}
	return c.LoadAge.Milliseconds()
}

// recordLoad records the load that a worker reported and shares it with other
// routers, at once if they would send to the worker without knowing it.
func (g *Gateway) recordLoad(w *routing.Worker, l core.WorkerLoad) {
	now, busy := time.Now(), l.Running+l.Waiting
	effect := g.fleet.RecordLoad(w, busy, l.WorkPercent, now)
	g.decisions.count("load_reports", "upstream", w.Upstream)
	if effect.AboveBound {
		g.decisions.count("loads_above_bound", "upstream", w.Upstream)
	}
	if g.loads == nil {
		return
	}
	hash := gossip.WorkerHash(w.ID)
	g.loads.ReportLoad(hash, busy, now)
	if effect.ReachedLimit {
		g.loads.PushLoads([]uint32{hash})
	}
}

// recordSharedLoads records loads that other routers shared, and passes those on at
// once by which workers have reached the limit.
func (g *Gateway) recordSharedLoads(list []routing.Load) {
	if reached := g.fleet.RecordSharedLoads(g.loads.RouterCount(), list, time.Now()); len(reached) > 0 {
		g.loads.PushLoads(reached)
	}
}
