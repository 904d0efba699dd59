package gateway

import (
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// choose picks a worker that the request has not been sent to, and counts the
// attempt. It returns false when there is none.
func (g *Gateway) choose(x *exchange) (routing.Choice, bool) {
	r := routing.Request{Upstream: x.destination, Tried: x.tried}
	if x.route.Sticky {
		r.SharedParts = routing.SharedParts(x.in.Prompt)
	}
	c, ok := g.fleet.Choose(r, time.Now())
	if !ok {
		g.decisions.request("no worker to choose", "request", x.in.ID, "upstream", x.destination, "tried", len(x.tried))
		return c, false
	}
	x.tried = append(x.tried, c.Worker)
	g.decisions.count("choices", "reason", c.Reason)
	g.decisions.request("worker chosen", "request", x.in.ID, "upstream", x.destination, "worker", c.Worker.ID, "reason", c.Reason, "key", strconv.FormatUint(c.PlacementKey, 16), "shared_tokens", c.SharedTokens, "rank", c.PreferenceIndex, "busy", c.EstimatedLoad, "waiting", c.Unanswered, "limit", c.LoadLimit, "spread", c.SpreadSize, "fetch_from", c.FetchFrom, "load_age_ms", loadAge(c), "list", c.ListVersion, "list_age_ms", c.ListAge.Milliseconds(), "attempt", len(x.tried))
	return c, true
}

// loadAge is the age of the worker's load report in ms, -1 for none.
func loadAge(c routing.Choice) int64 {
	if c.LoadAge < 0 {
		return -1
	}
	return c.LoadAge.Milliseconds()
}

// loaded passes on what a worker says of its load.
func (g *Gateway) loaded(w *routing.Worker, l core.WorkerLoad) {
	now, busy := time.Now(), l.Running+l.Waiting
	g.fleet.RecordLoad(w, busy, now)
	if g.loads != nil {
		g.loads.ReportLoad(gossip.WorkerHash(w.ID), busy, now)
	}
}
