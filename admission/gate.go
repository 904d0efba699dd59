package admission

import (
	"math"
	"sync"
	"time"
)

// Gate decides at one router which requests of an upstream are sent on while the
// upstream is full. It is made for short floods of small plain services: some
// hundred requests a second above the capacity, spread over so many routers that each
// has a fraction of a slot. Each router therefore admits a fraction of the requests of
// each rank and caller, computed from counts that the routers share.
//
// While workers reject almost nothing the Gate only counts. It starts when at least
// startShare of the recent attempts of all routers were rejected, and ends
// pressurePeriod after the last rejection or refusal for lack of room.
//
// A Gate is safe for concurrent use.
type Gate struct {
	mu        sync.Mutex // lock level 90, see internal/core/lockorder.go
	router    uint64
	routers   int
	sequence  uint64
	digestAt  time.Time // when the next digest is due
	changes   []Change  // not yet returned by Changes
	upstreams map[uint32]*room
}

// Upstream describes the places of an upstream.
type Upstream struct {
	Slots int // requests that its workers run concurrently, 0 if not known
	// OrdersWaiting says that the workers order waiting requests by priority. Their
	// queues are then left to fill; otherwise they are kept short.
	OrdersWaiting bool
}

// RoutedRequest is a request that a router is about to send to a worker.
type RoutedRequest struct {
	Upstream uint32 // hash of the upstream's name
	Rank     int    // 0 (most urgent) to maxRank
	Caller   uint32 // hash of the caller's name, 0 for none
	Weight   float64
	Target   time.Duration // latency target, 0 for none
	TimeLeft time.Duration
	Repeated bool // a worker has already rejected the request for lack of room
}

// Decision says what to do with a request.
type Decision struct {
	Refused    bool
	Repeated   bool          // it was refused because it has already been sent to a worker
	RetryAfter time.Duration // when room is expected, before the spread; 0 if not refused
	Changed    bool          // Changes has something to return
}

const (
	// flowPeriod is the time constant of the counts of requests that arrived, were sent
	// and have finished. stressPeriod is that of rejections and of requests in flight:
	// with a longer one the admitted rate is still lowered when the queues have
	// emptied. demandPeriod is that of the demand of callers, of which each router sees
	// a fraction of a request per second.
	flowPeriod   = 350 * time.Millisecond
	stressPeriod = 250 * time.Millisecond
	demandPeriod = 600 * time.Millisecond
	// pressurePeriod is how long the Gate stays active after the last sign of an
	// overload, and how long the digest of another router counts.
	pressurePeriod = 2 * time.Second
	// planPeriod limits how often the fractions are computed.
	planPeriod = 50 * time.Millisecond
	// planTTL is the age at which a decision computes the fractions itself. With
	// gossip they are computed when digests arrive.
	planTTL = 500 * time.Millisecond
	// maxRank is the least urgent priority of routes and callers.
	maxRank = 9
	// maxFlows bounds the callers that are counted one by one for each upstream.
	// Further ones are counted together.
	maxFlows = 512
	// minFlowDemand is the demand, in requests, below which a caller is forgotten.
	minFlowDemand = 0.02
)

// NewGate returns a Gate without upstreams. router is a hash that differs between
// routers.
func NewGate(router uint64) *Gate {
	return &Gate{router: router, routers: 1, upstreams: map[uint32]*room{}}
}

// room is the state of one upstream.
type room struct {
	hash      uint32
	cfg       Upstream
	arrived   decaying // requests that were not sent before
	sent      decaying
	rejected  decaying
	finished  decaying
	busy      decaying // time-weighted mean of the requests in flight
	inFlight  int
	target    time.Duration
	demand    [maxRank + 1]decaying
	flows     map[flowID]*routeFlow
	peers     []*digest // of the other routers, sorted by router
	evidence  time.Time // last rejection or refusal at any router
	startedAt time.Time // start of the overload, zero if there is none
	planAt    time.Time
	plan      plan
}

// flowID identifies the requests of a caller in a rank.
type flowID struct {
	rank   uint8
	caller uint32
}

// routeFlow counts the requests of a caller in a rank at this router.
type routeFlow struct {
	demand   decaying
	weight   float64
	credit   float64
	fraction float64 // admitted fraction
}

// decaying is an exponentially decaying count.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) get(now time.Time, period time.Duration) float64 {
	if now.After(d.at) {
		d.value *= math.Exp(-now.Sub(d.at).Seconds() / period.Seconds())
		d.at = now
	}
	return d.value
}

func (d *decaying) add(now time.Time, period time.Duration, n float64) {
	d.value = d.get(now, period) + n
}

// observe lets the mean of a level that has been constant since the last call
// follow it.
func (d *decaying) observe(now time.Time, period time.Duration, level float64) {
	before := d.at
	if d.get(now, period); now.After(before) && !before.IsZero() {
		d.value += level * (1 - math.Exp(-now.Sub(before).Seconds()/period.Seconds()))
	}
}

// SetUpstreams replaces the upstreams, by the hash of their names. The counts of
// those that stay are kept.
func (g *Gate) SetUpstreams(upstreams map[uint32]Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for hash, cfg := range upstreams {
		if g.upstreams[hash] == nil {
			g.upstreams[hash] = &room{hash: hash, flows: map[flowID]*routeFlow{}}
		}
		g.upstreams[hash].cfg = cfg
	}
	for hash := range g.upstreams {
		if _, ok := upstreams[hash]; !ok {
			delete(g.upstreams, hash)
		}
	}
}

// SetRouters sets the estimated number of routers, this one included.
func (g *Gate) SetRouters(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.routers = max(n, 1)
}

// Decide decides whether a request is sent to a worker now. It counts the demand of
// requests that were not sent before.
func (g *Gate) Decide(now time.Time, r RoutedRequest) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstreams[r.Upstream]
	if u == nil {
		return Decision{}
	}
	r.Rank = min(max(r.Rank, 0), maxRank)
	var f *routeFlow
	if !r.Repeated {
		f = u.countDemand(g, now, r)
	}
	if u.startedAt.IsZero() {
		return Decision{}
	}
	if now.Sub(u.planAt) > planTTL {
		u.update(g, now)
	}
	d := u.decide(now, r, f)
	d.Changed = len(g.changes) > 0
	return d
}

// decide applies the plan to a request. f is nil if it was sent before.
func (u *room) decide(now time.Time, r RoutedRequest, f *routeFlow) Decision {
	p := &u.plan
	switch {
	case r.Repeated && p.short:
		// The first attempt was admitted and rejected, so there was no room for it.
		// Its place in the admitted fraction has been used. While the demand is
		// admitted, one worker may be full beside others that have room.
		return u.refuse(now, r, nil)
	case !p.short:
		return Decision{}
	case r.TimeLeft > 0 && r.TimeLeft < p.latency:
		return u.refuse(now, r, f) // it would end too late
	}
	if f.credit += f.fraction; f.credit >= 1 {
		f.credit = min(f.credit-1, 1)
		return Decision{}
	}
	return u.refuse(now, r, f)
}

// countDemand counts a request of a caller and returns the caller's flow.
func (u *room) countDemand(g *Gate, now time.Time, r RoutedRequest) *routeFlow {
	if r.Target > 0 && (u.target == 0 || r.Target < u.target) {
		u.target = r.Target
	}
	u.arrived.add(now, flowPeriod, 1)
	u.demand[r.Rank].add(now, demandPeriod, 1)
	id := flowID{uint8(r.Rank), r.Caller}
	f := u.flows[id]
	if f == nil {
		if len(u.flows) >= maxFlows {
			id.caller = 0
			f = u.flows[id]
		}
		if f == nil {
			// Each router starts at another part of the first request. If all started
			// at 0, each would refuse its first request of each caller.
			f = &routeFlow{weight: 1, credit: phase(g.router, id), fraction: u.plan.fractionOf(id)}
			u.flows[id] = f
		}
	}
	if r.Weight > 0 {
		f.weight = r.Weight
	}
	f.demand.add(now, demandPeriod, 1)
	return f
}

// phase returns a number in [0, 1) that differs between routers and flows.
func phase(router uint64, id flowID) float64 {
	x := (router ^ uint64(id.caller)<<8 ^ uint64(id.rank)) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return float64((x^x>>32)>>11) / (1 << 53)
}

// Bounds of RetryAfter. Callers wait at most a third of the time they have left, so
// a longer time than maxRoomWait tells them nothing more.
const (
	minRoomWait = 100 * time.Millisecond
	maxRoomWait = 5 * time.Second
	// rankWait is the part by which each less urgent rank waits longer.
	rankWait = 0.15
	// maxExcess bounds how much longer callers above their share wait.
	maxExcess = 4
)

// refuse returns a refusal with the time until room is expected. An overload that
// has lasted for some time is expected to last about as long again; room for the
// refused part comes back sooner the smaller that part is.
func (u *room) refuse(now time.Time, r RoutedRequest, f *routeFlow) Decision {
	if u.plan.short {
		u.evidence = now
	}
	excess := 1.0
	if f != nil && f.fraction > 0 {
		excess = min(1/f.fraction, maxExcess)
	}
	age := max(now.Sub(u.startedAt), minRoomWait)
	seconds := age.Seconds() * u.plan.shortage * excess * (1 + rankWait*float64(r.Rank))
	wait := min(max(time.Duration(seconds*float64(time.Second)), minRoomWait), maxRoomWait)
	return Decision{Refused: true, Repeated: r.Repeated, RetryAfter: wait}
}

// RecordSent counts a request that is sent to a worker.
func (g *Gate) RecordSent(now time.Time, upstream uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if u := g.upstreams[upstream]; u != nil {
		u.sent.add(now, flowPeriod, 1)
		u.setInFlight(now, 1)
	}
}

// RecordEnd counts the end of an attempt. finished says that the worker ran the
// request.
func (g *Gate) RecordEnd(now time.Time, upstream uint32, finished bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstreams[upstream]
	if u == nil {
		return
	}
	u.setInFlight(now, -1)
	if finished {
		u.finished.add(now, flowPeriod, 1)
	}
}

// RecordRejected counts an attempt that a worker rejected for lack of room. It reports
// whether the other routers should be told at once.
func (g *Gate) RecordRejected(now time.Time, upstream uint32) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.upstreams[upstream]
	if u == nil {
		return false
	}
	u.rejected.add(now, stressPeriod, 1)
	u.evidence = now
	wasOff := u.startedAt.IsZero()
	u.update(g, now)
	return wasOff && g.digestDue(now)
}

func (u *room) setInFlight(now time.Time, change int) {
	u.busy.observe(now, stressPeriod, float64(u.inFlight))
	u.inFlight = max(u.inFlight+change, 0)
}
