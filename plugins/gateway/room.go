package gateway

import (
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/placement"
	"github.com/auburnlead/auburnlead/routing"
)

// roomControl keeps requests from upstreams that are known to be full, see
// admission.Gate, and shares the counts that it needs with the other routers. It
// implements core.GossipExtension.
type roomControl struct {
	g      *Gateway
	gate   *admission.Gate
	gossip core.ExtensionGossip // nil if routers do not tell each other

	mu    sync.Mutex         // lock level 55, see internal/core/lockorder.go
	names map[uint32]string  // names of the upstreams by gossip.WorkerHash
	shown map[uint32]float64 // values of the gauge admission_room
}

func newRoomControl(g *Gateway, extensions core.ExtensionGossip) *roomControl {
	c := &roomControl{g: g, gate: admission.NewGate(placement.Hash(g.identity.Router)), gossip: extensions, shown: map[uint32]float64{}}
	if extensions != nil && g.settings.AdmissionControl {
		extensions.Extend(c)
	}
	return c
}

// setUpstreams passes the slots of each upstream to the gate: those of the workers that
// get requests now. Evacuated and unreachable ones hold no places, so with them an
// upstream that lost a failure domain would seem to have free places when it is full.
func (c *roomControl) setUpstreams() {
	if !c.g.settings.AdmissionControl {
		return
	}
	upstreams, names := map[uint32]admission.Upstream{}, map[uint32]string{}
	for name, slots := range c.g.fleet.UsableSlots() {
		hash := gossip.WorkerHash(name)
		upstreams[hash] = admission.Upstream{Slots: slots, OrdersWaiting: c.ordersWaiting(name)}
		names[hash] = name
	}
	c.mu.Lock()
	c.names = names
	c.mu.Unlock()
	c.gate.SetUpstreams(upstreams)
}

// ordersWaiting reports whether the workers of an upstream order waiting requests by
// their priority. Engines do, plain services serve in order of arrival.
func (c *roomControl) ordersWaiting(upstream string) bool {
	table := c.g.routes.table.Load()
	if table == nil {
		return false
	}
	u := table.set.Upstreams[upstream]
	return u != nil && u.Kind == objects.UpstreamEngine
}

// refuses reports whether the request has to be refused for lack of room. A stream of
// which the caller has received a part is always resumed.
func (c *roomControl) refuses(x *exchange) bool {
	if x.firstByte > 0 {
		return false
	}
	now := time.Now()
	r := x.routedRequest(now)
	d := c.gate.Decide(now, r)
	if d.Changed {
		c.logChanges()
	}
	if !d.Refused {
		return false
	}
	x.room = d
	decision := "refuse"
	if d.Repeated {
		decision = "no repeat"
	}
	c.g.decisions.count("admission_decisions", "decision", decision)
	c.g.decisions.logRequest("admission decision", "request", x.header.ID, "upstream", x.upstream, "decision", decision, "rank", r.Rank, "caller", x.callerName(), "left_ms", r.TimeLeft.Milliseconds(), "tried", len(x.tried), "retry_after_ms", d.RetryAfter.Milliseconds())
	return true
}

// heldPlace is the place of an attempt among the requests in flight.
type heldPlace struct{ freed atomic.Bool }

// routedRequest returns the request as package admission sees it.
func (x *exchange) routedRequest(now time.Time) admission.RoutedRequest {
	r := admission.RoutedRequest{Upstream: gossip.WorkerHash(x.upstream), Rank: x.priority(), Target: x.route.Target, TimeLeft: x.deadline.Sub(now), Repeated: x.rejected}
	if x.caller != nil {
		r.Caller, r.Weight = gossip.WorkerHash(x.caller.Name), x.caller.Weight
	}
	return r
}

// recordSent counts an attempt.
func (c *roomControl) recordSent(x *exchange) {
	x.place = &heldPlace{}
	c.g.decisions.count("admission_decisions", "decision", "send")
	c.gate.RecordSent(time.Now(), gossip.WorkerHash(x.upstream))
}

// free counts the end of an attempt, once. An attempt that stalls ends before its request
// does: a worker that does not respond, as beyond a partition, takes no place of those
// that do.
func (c *roomControl) free(upstream string, p *heldPlace, finished bool) {
	if p.freed.CompareAndSwap(false, true) {
		c.gate.RecordEnd(time.Now(), gossip.WorkerHash(upstream), finished)
	}
}

// recordEnd records the end of an attempt with the fleet and the gate. ok says that
// the worker served it.
func (g *Gateway) recordEnd(x *exchange, c routing.Choice, ok bool) {
	g.fleet.RecordEnd(c, ok, time.Now())
	g.room.free(x.upstream, x.place, ok)
}

// recordRejected counts an attempt that a worker rejected for lack of room.
func (c *roomControl) recordRejected(x *exchange) {
	x.rejected = true
	c.recordRouters()
	urgent := c.gate.RecordRejected(time.Now(), gossip.WorkerHash(x.upstream))
	c.logChanges()
	if urgent && c.gossip != nil {
		c.gossip.PushExtensions()
	}
}

// recordRouters tells the gate how many routers share the upstreams.
func (c *roomControl) recordRouters() {
	if c.g.loads != nil {
		c.gate.SetRouters(c.g.loads.RouterCount())
	}
}

// isFull reports whether a response says that the worker has no room. A worker that
// leaves, pauses or names a limit rejects requests for another reason, which package
// routing takes into account.
func isFull(status int, h core.ResponseHeader) bool {
	return status == http.StatusServiceUnavailable && h.NotRun && !h.Leaving && h.Pause <= 0 && h.RateLimit == nil
}

// logChanges logs the starts and ends of admission control.
func (c *roomControl) logChanges() {
	for _, change := range c.gate.Changes() {
		c.mu.Lock()
		upstream := c.names[change.Upstream]
		c.mu.Unlock()
		if !change.On {
			c.g.decisions.logChange("admission control off", "upstream", upstream, "lasted_ms", change.Age.Milliseconds())
			continue
		}
		c.g.decisions.logChange("admission control on", "upstream", upstream, "sent", int(change.Sent), "rejected", int(change.Rejected), "demand", int(change.Demand), "room", int(change.Room), "in_flight", int(change.InFlight), "slots", change.Slots, "heard", change.Heard, "routers", change.Routers)
	}
}

// Type implements core.GossipExtension.
func (c *roomControl) Type() byte { return gossip.ExtensionDemand }

// Encode implements core.GossipExtension. A router that has just started gets the same
// counts as the others.
func (c *roomControl) Encode(now time.Time, limit int, _ bool) []byte {
	c.setUpstreams()
	c.gate.Update(now)
	c.logChanges()
	c.mu.Lock()
	defer c.mu.Unlock()
	for hash, name := range c.names {
		room := c.gate.Room(hash)
		if math.IsInf(room, 1) {
			room = 0
		}
		if room != c.shown[hash] {
			c.g.scope.SubScope(componentName).Tagged(map[string]string{"upstream": name}).Gauge("admission_room").Update(room)
			c.shown[hash] = room
		}
	}
	return c.gate.Digest(now, limit)
}

// Merge implements core.GossipExtension.
func (c *roomControl) Merge(now time.Time, payload []byte) error {
	c.recordRouters()
	urgent, err := c.gate.Merge(now, payload)
	c.logChanges()
	if urgent {
		c.gossip.PushExtensions()
	}
	return err
}

// reasonNoRoom is the reason of requests that are refused since the upstream is full.
const reasonNoRoom = "no room"

// roomRefusal is that of a request whose upstream is full. The wait is spread, so that
// callers that were refused together do not return together.
func roomRefusal(x *exchange) routerRefusal {
	return routerRefusal{reason: reasonNoRoom, least: x.room.RetryAfter * 3 / 4, spread: x.room.RetryAfter / 2}
}

var _ core.GossipExtension = (*roomControl)(nil)
