package admission

import (
	"maps"
	"slices"
	"time"
)

// Explanation says what Gate.Decide would decide for a request now, and why.
type Explanation struct {
	Known    bool // the Gate controls the upstream
	Decision Decision
	On       bool          // admission control is on
	Age      time.Duration // since its start, 0 if it is off
	Room     float64       // requests per second that all routers admit, infinite for all
	Shortage float64       // part of the demand that is not admitted
	Full     bool          // workers reject requests
	Latency  time.Duration // expected time of a request at the workers, 0 if not known
	Fraction float64       // admitted part of the requests of the rank and caller, 1 for all
	// RankFraction is the admitted part of the rank's requests of callers that are not
	// counted one by one, 1 for all.
	RankFraction float64
	PlanAge      time.Duration // since the fractions were computed, negative if they were not
	Slots        int           // slots of the workers that get requests, 0 if not known
	Heard        int           // routers whose counts were heard recently, this one included
	Routers      int           // estimated number of routers
}

// Explain returns what Decide would decide for a request and changes nothing. It lets
// Decide run on a copy of the upstream's state, so a request that comes before the next
// one with the same rank and caller may use the share that Explain has seen.
func (g *Gate) Explain(now time.Time, r RoutedRequest) Explanation {
	trial, planAt := g.copyFor(r.Upstream)
	e := Explanation{Room: trial.Room(r.Upstream), Fraction: 1, RankFraction: 1, PlanAge: -1, Routers: trial.routers}
	u := trial.upstreams[r.Upstream]
	if u == nil {
		return e
	}
	e.Known = true
	e.Decision = trial.Decide(now, r)
	e.Decision.Changed = false
	e.Room, e.Slots, e.Heard = trial.Room(r.Upstream), u.cfg.Slots, 1
	for _, d := range u.peers {
		if now.Sub(d.receivedAt) <= pressurePeriod {
			e.Heard++
		}
	}
	if u.startedAt.IsZero() {
		return e
	}
	e.On, e.Age = true, now.Sub(u.startedAt)
	e.Shortage, e.Full, e.Latency = u.plan.shortage, u.plan.full, u.plan.latency
	if !planAt.IsZero() {
		e.PlanAge = now.Sub(planAt)
	}
	if u.plan.short {
		rank := min(max(r.Rank, 0), maxRank)
		e.Fraction, e.RankFraction = u.plan.fractionOf(flowID{uint8(rank), r.Caller}), u.plan.perRank[rank]
	}
	return e
}

// copyFor returns a Gate with a copy of the state of one upstream, and when the
// upstream's fractions were computed.
func (g *Gate) copyFor(upstream uint32) (trial *Gate, planAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	trial = &Gate{router: g.router, routers: g.routers, upstreams: map[uint32]*room{}}
	u := g.upstreams[upstream]
	if u == nil {
		return trial, time.Time{}
	}
	c := *u
	c.flows = maps.Clone(u.flows)
	for id, f := range c.flows {
		flow := *f
		c.flows[id] = &flow
	}
	c.peers = slices.Clone(u.peers) // a digest is not changed after it was received
	trial.upstreams[upstream] = &c
	return trial, u.planAt
}
