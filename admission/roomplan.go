package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// startShare is the share of attempts that workers have to reject for lack of
	// room before anything is refused. It is the share of rejections that callers
	// accept in an overload; a crash of a few engines causes less.
	startShare = 0.05
	// minRejections is the least number of recent rejections, at the routers heard
	// of, for a start: a single request that is tried at each of three workers says
	// nothing of the upstream's room.
	minRejections = 3
	// lowShare is the share of rejections above which less is admitted than workers
	// accepted. It leaves some of startShare for the delay of the counts.
	lowShare = 0.02
	// probe is the part by which the estimate of an upstream without known slots
	// rises above what its workers accepted.
	probe = 0.05
	// fullSlots times the slots is the number of requests at which almost no slot is
	// idle. Requests go to workers at random, so some wait while other slots are idle:
	// with few slots per worker the square root of the requests, as a part of this
	// number, is within a tenth of the part of the slots that is in use.
	fullSlots = 1.5
	// freeSlots is the part of the slots below which nothing is refused: the half below
	// which a refusal is wrong, and half of that again for the error of the estimate.
	freeSlots = 0.75
	// freeProbe is that part while no rejections are known. With it the rate rises
	// from the least probe to the whole demand within 6 s.
	freeProbe = 0.3
	// minObserved is the decayed count of rejections that counts as none.
	minObserved = 0.1
	// maxCut bounds how far the admitted rate is below what workers accepted.
	maxCut = 0.3
	// recency is the time constant with which the weight of another router's digest
	// falls. A shorter one leaves the counts of too few routers.
	recency = 300 * time.Millisecond
	// queueShare is the part of the target that requests may wait at workers which
	// serve in order of arrival.
	queueShare = 0.25
	// settleTime is the time over which the number of requests at the workers is
	// brought to its goal. Counts are 0.5 to 1 s late; a shorter time lets the number
	// oscillate.
	settleTime = 2 * time.Second
	// maxCorrection bounds that correction, as a part of the capacity.
	maxCorrection = 0.2
	// rankFloor is the share of the capacity that each rank with demand gets. With it
	// one of 20 requests succeeds, so a rank never stops entirely.
	rankFloor = 0.05
	// minShortage is the part of the demand that has to lack room before anything is
	// refused. Estimates of less are within their error.
	minShortage = 0.05
	// minFraction is the admitted fraction from which all requests are admitted.
	minFraction = 0.99
)

// plan is the admitted part of the demand on an upstream.
type plan struct {
	short    bool          // some demand is not admitted
	full     bool          // workers reject requests
	rate     float64       // requests per second that all routers admit
	shortage float64       // part of the demand that is not admitted
	latency  time.Duration // expected time of a request at the workers
	fraction map[flowID]float64
	perRank  [maxRank + 1]float64
}

// fractionOf returns the admitted fraction of a caller's requests. Callers that no
// router listed are the smallest ones.
func (p *plan) fractionOf(id flowID) float64 {
	if f, ok := p.fraction[id]; ok {
		return f
	}
	return p.perRank[id.rank]
}

// Change is a start or an end of admission control, with the figures that decided it.
// Rates are requests per second of all routers; those of an end are 0.
type Change struct {
	Upstream                     uint32
	On                           bool
	Sent, Rejected, Room, Demand float64
	InFlight                     float64
	Slots, Heard, Routers        int           // Heard counts the routers whose counts were used
	Age                          time.Duration // of an end: duration of the overload
}

// totals are the sums over the routers that were heard of recently, scaled to all
// routers, per second.
type totals struct {
	sent, rejected, finished, inFlight, demand float64
	weight                                     float64 // sum of the weights of the routers
	observed                                   float64 // rejections before scaling
	heard                                      int
	active                                     bool // admission control is on at one of the routers
	ranks                                      [maxRank + 1]float64
	callers                                    map[flowID]callerDemand
}

type callerDemand struct {
	id     flowID
	demand float64
	weight float64
}

// Update computes the admitted fractions of all upstreams under pressure. It is to be
// called with each round of messages.
func (g *Gate) Update(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.upstreams {
		u.update(g, now)
	}
}

// Changes returns the starts and ends of admission control since the last call.
func (g *Gate) Changes() []Change {
	g.mu.Lock()
	defer g.mu.Unlock()
	changes := g.changes
	g.changes = nil
	return changes
}

// Room returns the requests per second that all routers together admit to an upstream,
// infinite if all are admitted.
func (g *Gate) Room(upstream uint32) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.upstreams[upstream]; u != nil && !u.startedAt.IsZero() {
		return u.plan.rate
	}
	return math.Inf(1)
}

// update starts or ends admission control and computes the fractions, at most once in
// planPeriod.
func (u *room) update(g *Gate, now time.Time) {
	if now.Sub(u.planAt) < planPeriod {
		return
	}
	u.planAt = now
	u.forgetIdle(now)
	if now.Sub(u.evidence) > pressurePeriod {
		if !u.startedAt.IsZero() {
			g.changes = append(g.changes, Change{Upstream: u.hash, Slots: u.cfg.Slots, Routers: g.routers, Age: now.Sub(u.startedAt)})
			u.startedAt, u.plan = time.Time{}, plan{}
		}
		return
	}
	t := u.sum(g, now)
	rate := u.admittedRate(t)
	if u.startedAt.IsZero() {
		if !t.active && (t.observed < minRejections || t.rejected < startShare*t.sent) || u.hasFreePlaces(t) {
			return
		}
		u.startedAt = now
		g.changes = append(g.changes, Change{Upstream: u.hash, On: true, Sent: t.sent, Rejected: t.rejected, Room: rate, Demand: t.demand, InFlight: t.inFlight, Slots: u.cfg.Slots, Heard: t.heard, Routers: g.routers})
	}
	u.setPlan(t, rate)
}

// hasFreePlaces reports whether slots are probably free. Workers without a queue reject
// requests while some slots of others are free; without rejections nothing waits as
// long as there are fewer requests than slots.
func (u *room) hasFreePlaces(t *totals) bool {
	part := 1.0
	if t.rejected > lowShare*t.sent {
		part = freeSlots
	}
	return t.inFlight < part*float64(u.cfg.Slots)
}

// sum adds up the counts of this router and the recent digests of the others.
func (u *room) sum(g *Gate, now time.Time) *totals {
	t := &totals{callers: map[flowID]callerDemand{}}
	own := u.digest(now, maxFlows)
	t.add(own, 1)
	u.peers = slices.DeleteFunc(u.peers, func(d *digest) bool { return now.Sub(d.receivedAt) > pressurePeriod })
	for _, d := range u.peers {
		t.add(d, math.Exp(-now.Sub(d.receivedAt).Seconds()/recency.Seconds()))
	}
	scale := float64(max(g.routers, t.heard)) / t.weight
	perSecond := scale / flowPeriod.Seconds()
	t.sent *= perSecond
	t.rejected *= scale / stressPeriod.Seconds()
	t.finished *= perSecond
	t.demand *= perSecond
	t.inFlight *= scale
	// The mix of ranks and callers changes less than the rate, so it is taken from
	// more requests: those of the longer period, of all routers alike.
	listed := 0.0
	for _, demand := range t.ranks {
		listed += demand
	}
	toRate := t.demand / max(listed, 1e-9)
	for rank := range t.ranks {
		t.ranks[rank] *= toRate
	}
	for id, c := range t.callers {
		c.demand *= toRate
		t.callers[id] = c
	}
	return t
}

func (t *totals) add(d *digest, weight float64) {
	t.heard++
	t.active = t.active || d.active
	t.weight += weight
	t.sent += weight * d.sent
	t.rejected += weight * d.rejected
	t.finished += weight * d.finished
	t.demand += weight * d.demand
	t.inFlight += weight * d.inFlight
	t.observed += d.rejected
	for rank, demand := range d.ranks {
		t.ranks[rank] += demand
	}
	for _, c := range d.callers {
		sum := t.callers[c.id]
		sum.id = c.id
		sum.demand += c.demand
		sum.weight = max(sum.weight, c.weight)
		t.callers[c.id] = sum
	}
}

// admittedRate returns the requests per second that all routers together admit.
//
// For workers that serve in order of arrival it is the rate at which busy slots
// finish requests, corrected so that the requests at the workers approach a number
// with which they wait queueShare of their target. The correction raises the rate by
// itself when the workers have become faster or the demand has fallen. Where nothing
// is known of the slots, or where the workers order their queues, it is what the
// workers accepted, raised slowly without rejections.
func (u *room) admittedRate(t *totals) float64 {
	if u.hasFreePlaces(t) {
		return math.Inf(1)
	}
	accepted := max(t.sent-t.rejected, 0)
	share := t.rejected / max(t.sent, 1)
	limit := accepted * (1 - min(share, maxCut))
	slots := float64(u.cfg.Slots)
	if slots == 0 || u.cfg.OrdersWaiting {
		rate := accepted * (1 + probe)
		switch {
		case share > lowShare:
			rate = limit
		case t.observed < minObserved:
			rate = accepted * (1 + freeProbe)
		}
		return max(rate, probe*t.demand) // without any request the rate could not rise
	}
	capacity := t.finished / min(1, math.Sqrt(t.inFlight/(fullSlots*slots)))
	goal := slots + capacity*queueShare*u.target.Seconds()
	correction := (goal - t.inFlight) / settleTime.Seconds()
	rate := capacity + min(max(correction, -maxCorrection*capacity), maxCorrection*capacity)
	if share > lowShare {
		rate = min(rate, limit) // the queues are shorter than the goal
	}
	return rate
}

// setPlan divides a rate among ranks and callers: each rank with demand gets its
// floor, the rest goes to the ranks in order, and within a rank callers get max-min
// fair shares by weight.
func (u *room) setPlan(t *totals, rate float64) {
	p := plan{rate: rate, fraction: map[flowID]float64{}, full: t.rejected > lowShare*t.sent}
	if t.finished > 0 && !u.cfg.OrdersWaiting {
		// The estimate may be far too high for a moment, so it is bounded by the target.
		p.latency = min(time.Duration(t.inFlight/t.finished*float64(time.Second)), u.target)
	}
	admitted := rankShares(t.ranks, rate)
	total := 0.0
	for rank, share := range admitted {
		total += share
		p.perRank[rank] = 1
		if share < minFraction*t.ranks[rank] {
			p.perRank[rank] = fillRank(t, uint8(rank), share, p.fraction)
		}
	}
	if t.demand > 0 {
		p.shortage = max(1-total/t.demand, 0)
	}
	p.short = p.shortage > minShortage
	u.plan = p
	for id, f := range u.flows {
		f.fraction = p.fractionOf(id)
	}
}

// rankShares divides a rate among ranks by their demand.
func rankShares(demand [maxRank + 1]float64, rate float64) [maxRank + 1]float64 {
	var share [maxRank + 1]float64
	rest := rate
	for rank, d := range demand {
		share[rank] = min(d, rankFloor*rate)
		rest -= share[rank]
	}
	for rank, d := range demand {
		more := min(d-share[rank], max(rest, 0))
		share[rank] += more
		rest -= more
	}
	return share
}

// fillRank sets the fractions of a rank's callers and returns the fraction of the
// callers that are not listed.
func fillRank(t *totals, rank uint8, share float64, fraction map[flowID]float64) float64 {
	var callers []callerDemand
	unlisted := t.ranks[rank]
	for id, c := range t.callers {
		if id.rank == rank && c.demand > 0 {
			callers = append(callers, c)
		}
	}
	slices.SortFunc(callers, func(a, b callerDemand) int {
		return cmp.Or(cmp.Compare(a.demand/a.weight, b.demand/b.weight), cmp.Compare(a.id.caller, b.id.caller))
	})
	weight := 0.0
	for _, c := range callers {
		unlisted -= c.demand
		weight += c.weight
	}
	// Unlisted callers are the smallest, so they come first, but up to half of the
	// share only if others are listed.
	unlistedFraction, limit := 1.0, share
	if len(callers) > 0 {
		limit = share / 2
	}
	if unlisted = max(unlisted, 0); unlisted > limit {
		unlistedFraction = limit / unlisted
		unlisted = limit
	}
	rest := share - unlisted
	for _, c := range callers {
		got := min(c.demand, rest*c.weight/weight)
		rest -= got
		weight -= c.weight
		fraction[c.id] = got / c.demand
	}
	return unlistedFraction
}

// forgetIdle removes callers without recent requests.
func (u *room) forgetIdle(now time.Time) {
	for id, f := range u.flows {
		if f.demand.get(now, demandPeriod) < minFlowDemand {
			delete(u.flows, id)
		}
	}
}
