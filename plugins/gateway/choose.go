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
	if g.isBarred(x, g.checkQuarantine, g.room.refuses) {
		return routing.Choice{}, false
	}
	now := time.Now()
	c, ok := g.fleet.Choose(x.routingRequest(now), now)
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
	g.decisions.logRequest("worker chosen", "request", x.header.ID, "upstream", x.upstream, "worker", c.Worker.ID, "reason", c.Reason, "key", strconv.FormatUint(c.PlacementKey, 16), "shared_tokens", c.SharedTokens, "rank", c.PreferenceIndex, "busy", c.EstimatedLoad, "waiting", c.Unanswered, "limit", c.LoadLimit, "spread", c.SpreadSize, "key_rate", round10(c.KeyRate), "mean", round10(c.MeanLoad), "fetch_from", c.FetchFrom, "load_age_ms", loadAgeMs(c.LoadAge), "work_percent", c.WorkPercent, "rate_limit", c.RateLimit, "expected_wait_ms", c.ExpectedWait.Milliseconds(), "slowness", round100(c.Slowness), "list", c.ListVersion, "list_age_ms", c.ListAge.Milliseconds(), "attempt", len(x.tried))
	return c, true
}

// isBarred reports whether the request must not be sent to any worker of its upstream
// now, and records why.
func (g *Gateway) isBarred(x *exchange, isQuarantined, hasNoRoom func(*exchange) bool) bool {
	if isQuarantined(x) {
		return true
	}
	if !g.server.window.Load().accepts(x.deadline, time.Now()) {
		x.tooLate = true
		return true
	}
	return hasNoRoom(x)
}

// routingRequest returns the request as package routing sees it.
func (x *exchange) routingRequest(now time.Time) routing.Request {
	r := routing.Request{
		Upstream: x.upstream, Tried: x.tried, PromptTokens: x.header.PromptTokens, ExpectedOutput: x.header.ExpectedOutput(),
		Whole: x.route.Kind != objects.RouteStream, Target: x.route.Target, TimeLeft: x.deadline.Sub(now),
	}
	if x.route.Sticky {
		r.SharedParts = routing.SharedParts(x.header.Prompt)
	}
	return r
}

// loadAgeMs returns the age of a worker's load report in milliseconds, -1 if it is
// negative because there is no report.
func loadAgeMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

// round10 rounds to tenths.
func round10(v float64) float64 { return math.Round(v*10) / 10 }

// round100 rounds to hundredths.
func round100(v float64) float64 { return math.Round(v*100) / 100 }

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
