package lease

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnlead/auburnlead/internal/proof"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// testRouter is a process that takes part in one slot lease. Apart from the
// rules of Lease itself it decides at random, so that safety does not depend on
// a sensible policy.
type testRouter struct {
	process
	cluster    *cluster
	lease      *Lease
	busy       bool // a write is in flight
	heartbeats map[string]heartbeat
	startedAt  time.Time
}

// heartbeat is the newest heartbeat of a router that has reached a process.
type heartbeat struct {
	count   int
	heardAt time.Time
}

// cluster simulates the routers of a failure domain, which share the lease of one
// worker.
type cluster struct {
	*sim
	cfg             Config
	lossProbability float64
	pauses          bool
	routers         []*testRouter      // the current process of each router
	processes       []*testRouter      // including processes that have ended
	blockedPairs    map[[2]string]bool // pairs of routers that cannot communicate
	splitUntil      time.Duration      // until then two halves of the routers cannot communicate
	adopted         int
	holdersSeen     map[string]bool // processes that were holders at some time
	grantingSamples int             // samples at which some process may grant
	samples         int             // checks, one after each event
}

func (c *cluster) start(i int) {
	r := &testRouter{cluster: c, process: process{
		sim: c.sim, id: fmt.Sprint("r", i), incarnation: uint64(len(c.processes) + 1),
		clockRate: 1 + (c.rand.Float64()*2-1)*0.024, clockOffset: c.between(0, time.Hour),
	}}
	r.lease = New(c.cfg, r.id, r.incarnation)
	r.heartbeats, r.startedAt = map[string]heartbeat{}, r.now()
	c.routers[i] = r
	c.processes = append(c.processes, r)
	r.every(200*time.Millisecond, r.step)
	r.every(time.Second, r.renew)
	r.every(time.Second, r.gossip)
}

// gossip sends the known heartbeats to a random router, like the membership
// protocol of the routers.
func (r *testRouter) gossip() {
	r.heartbeats[r.id] = heartbeat{int(r.incarnation)*1_000_000 + int(r.cluster.now/time.Second), r.now()}
	to := r.cluster.routers[r.cluster.rand.IntN(len(r.cluster.routers))]
	heartbeats := maps.Clone(r.heartbeats)
	r.cluster.send(r, to, func() {
		for id, b := range heartbeats {
			if b.count > to.heartbeats[id].count {
				to.heartbeats[id] = heartbeat{b.count, to.now()}
			}
		}
	})
}

// silentFor returns how long a process has received no newer heartbeat of a
// router.
func (r *testRouter) silentFor(id string) time.Duration {
	if b, ok := r.heartbeats[id]; ok {
		return r.now().Sub(b.heardAt)
	}
	return r.now().Sub(r.startedAt)
}

// isolated reports whether this router has heard from no router except its
// successor for half of OrphanTimeout: the rule by which plugins/peer calls
// SetIsolated, with all routers listed as live.
func (r *testRouter) isolated() bool {
	record, _ := r.lease.Record()
	for _, other := range r.cluster.routers {
		if other.id != r.id && other.id != record.Successor && r.silentFor(other.id) < OrphanTimeout/2 {
			return false
		}
	}
	return true
}

// restart ends a process, sometimes during a write, and starts the next one under
// the same ID after up to 40 s.
func (c *cluster) restart(i int) {
	c.routers[i].dead = true
	c.after(c.between(0, 40*time.Second), func() { c.start(i) })
}

// injectFault pauses, restarts and cuts off routers at random.
func (c *cluster) injectFault() {
	c.after(c.between(time.Second, 15*time.Second), func() {
		target := c.routers[c.rand.IntN(len(c.routers))]
		other := c.routers[c.rand.IntN(len(c.routers))]
		switch {
		case target.dead:
		case c.chance(0.3):
			c.restart(int(target.id[1] - '0'))
		case c.chance(0.5) && c.pauses:
			target.pausedUntil = c.now + c.between(0, 30*time.Second)
		case c.chance(0.2) && c.pauses:
			// The holder and a successor are paused at the same time.
			r, _ := target.lease.Record()
			for _, id := range []string{r.Holder, r.Successor} {
				if o := c.routerByID(id); o != nil {
					o.pausedUntil = c.now + c.between(60*time.Second, 100*time.Second)
				}
			}
		case c.chance(0.15):
			c.splitUntil = c.now + c.between(30*time.Second, 150*time.Second)
		case c.chance(0.3):
			target.cutOffUntil = c.now + c.between(0, 30*time.Second)
		default:
			c.blockedPairs[[2]string{target.id, other.id}] = !c.blockedPairs[[2]string{target.id, other.id}]
		}
		c.injectFault()
	})
}

// send delivers a message between two processes, or loses it.
func (c *cluster) send(from, to *testRouter, fn func()) {
	if c.chance(c.lossProbability) || c.blockedPairs[[2]string{from.id, to.id}] || c.blockedPairs[[2]string{to.id, from.id}] || c.now < c.splitUntil && (from.id < "r2") != (to.id < "r2") {
		return
	}
	to.deliver(c.delay(), fn)
}

func (c *cluster) routerByID(id string) *testRouter {
	for _, r := range c.routers {
		if r.id == id {
			return r
		}
	}
	return nil
}

// randomPeer returns a random other router, or none.
func (r *testRouter) randomPeer() string {
	other := r.cluster.routers[r.cluster.rand.IntN(len(r.cluster.routers))]
	if other.id == r.id || r.cluster.chance(0.1) {
		return ""
	}
	return other.id
}

func (r *testRouter) step() {
	now := r.now()
	r.lease.Tick(now)
	r.lease.SetIsolated(r.isolated())
	if r.busy {
		return
	}
	if w, ok := r.write(now); ok {
		r.commit(w)
		return
	}
	if r.lease.NeedsRead(now) || !r.lease.Holds() && r.cluster.chance(0.1) {
		r.readRow()
	}
}

func (r *testRouter) readRow() {
	r.read(rowKey, func(sent time.Time, row store.Row) {
		record, _ := DecodeRecord(row.Value)
		r.lease.HandleRead(sent, r.now(), record, row.Version)
	})
}

func (r *testRouter) write(now time.Time) (Write[Record], bool) {
	if w, ok := r.lease.Retry(); ok && r.cluster.chance(0.5) {
		return w, true
	}
	switch {
	case r.lease.WritePending():
		return Write[Record]{}, false
	case r.lease.RowAbsent():
		return r.lease.Create(now, r.randomPeer())
	case r.lease.Holds() && r.cluster.chance(0.02):
		to := r.cluster.routers[r.cluster.rand.IntN(len(r.cluster.routers))]
		return r.lease.HandOver(now, to.id, to.incarnation, r.randomPeer())
	case r.lease.Holds() && r.cluster.chance(0.05):
		return r.lease.NameSuccessor(now, r.randomPeer())
	case r.lease.MayTakeOver(now):
		return r.lease.TakeOver(now, r.randomPeer())
	}
	if w, ok := r.lease.Reconfirm(now); ok {
		return w, true
	}
	w, ok := r.lease.Adopt(now, r.randomPeer(), r.evidence())
	if ok {
		r.cluster.adopted++
	}
	return w, ok
}

// evidence returns the evidence of a process. A router counts as removed from the
// VM list as soon as it is silent.
func (r *testRouter) evidence() Evidence {
	record, _ := r.lease.Record()
	e := Evidence{HolderSilence: r.silentFor(record.Holder), SuccessorSilence: r.silentFor(record.Holder)}
	if record.Successor != "" && record.Successor != r.id {
		e.SuccessorSilence = r.silentFor(record.Successor)
	}
	for _, other := range r.cluster.routers {
		if other.id != r.id && other.id != record.Holder && other.id != record.Successor {
			e.OthersSilence = max(e.OthersSilence, r.silentFor(other.id))
		}
	}
	e.UnlistedFor = min(e.HolderSilence, e.SuccessorSilence)
	return e
}

func (r *testRouter) commit(w Write[Record]) {
	r.busy = true
	r.process.commit(store.Op{Key: rowKey, IfVersion: w.IfVersion, Value: w.Value.Encode()}, func(outcome Outcome, version int64) {
		r.busy = false
		r.lease.HandleWrite(r.now(), w, outcome, version)
	})
}

func (r *testRouter) renew() {
	renewal, ok := r.lease.Renewal(r.now())
	to := r.cluster.routerByID(renewal.Successor)
	if !ok || to == nil || to.dead {
		return
	}
	r.cluster.send(r, to, func() {
		promised := to.lease.Promise(to.now(), r.id, r.incarnation, renewal.Epoch)
		if !promised && to.lease.IsStale(renewal.Epoch) {
			to.readRow()
		}
		r.cluster.send(to, r, func() { r.lease.HandleRenewReply(renewal, promised) })
	})
}

// mayGrant returns the processes that may grant now. A paused process counts,
// because it could be resumed at this moment. A process that may grant on the row
// of an earlier process adds a second entry, so that simulate reports it as a
// violation.
func (c *cluster) mayGrant() (list []string) {
	for _, router := range c.processes {
		if !router.dead && router.lease.MayGrant(router.now()) {
			list = append(list, fmt.Sprint(router.id, "/", router.incarnation))
			if r, _ := router.lease.Record(); r.Incarnation != router.incarnation {
				list = append(list, "on the row of an earlier process")
			}
		}
	}
	return list
}

// simulate runs a cluster and returns the first violation: a moment at which
// two processes may grant.
func simulate(seed uint64, cfg Config, duration time.Duration, faults storetest.Faults, lossProbability float64, outages, pauses bool) (*cluster, string) {
	c := &cluster{sim: newSim(seed), cfg: cfg, lossProbability: lossProbability, pauses: pauses, routers: make([]*testRouter, 4),
		blockedPairs: map[[2]string]bool{}, holdersSeen: map[string]bool{}}
	for i := range c.routers {
		c.start(i)
	}
	c.table.SetFaults(faults)
	c.changeFaults(faults, outages)
	c.injectFault()
	violation := ""
	c.check = func() {
		list := c.mayGrant()
		c.samples++
		if len(list) > 0 {
			c.grantingSamples++
			c.holdersSeen[list[0]] = true
		}
		if len(list) > 1 && violation == "" {
			violation = fmt.Sprintf("seed %d, after %v: %v may grant", seed, c.now, list)
		}
	}
	c.run(duration)
	return c, violation
}

// Guards against two routers that may grant the slots of one worker at the same
// moment, under restarts, pauses, lost and late messages, lost replies, late
// and duplicate writes, outages, and clocks whose rates differ by up to 4.9%.
func TestOneHolder(t *testing.T) {
	p := proof.Begin(t, proof.Claim{Guarantee: "R1", Kind: "simulation (rapid): one holder", Faults: "restarts, pauses, partitions, lost replies, late and duplicate writes, outages, clock rates"})
	samples, granting, holders, adopted := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<32).Draw(t, "seed")
		probability := rapid.SampledFrom([]float64{0, 0.05, 0.3})
		faults := storetest.Faults{
			LostReplies: probability.Draw(t, "lost replies"), DroppedRequests: probability.Draw(t, "dropped requests"),
			LateWrites: probability.Draw(t, "late writes"), DuplicateWrites: probability.Draw(t, "duplicates"), LateBy: 20 * time.Second,
		}
		c, violation := simulate(seed, DefaultConfig(), 10*time.Minute, faults, probability.Draw(t, "loss"), rapid.Bool().Draw(t, "outages"), rapid.Bool().Draw(t, "pauses"))
		if violation != "" {
			t.Fatal(violation)
		}
		p.History(c.samples)
		samples += c.samples
		granting += c.grantingSamples
		holders += len(c.holdersSeen)
		adopted += c.adopted
	})
	t.Logf("a process may grant at %.1f%% of %d samples, %d holders, %d adoptions", 100*float64(granting)/float64(samples), samples, holders, adopted)
	if p.Histories >= 100 && (granting*3 < samples || holders < 200 || adopted < 20) {
		t.Errorf("the runs cover too few grants, holders or adoptions: a process may grant at %d of %d samples, %d holders", granting, samples, holders)
	}
}
