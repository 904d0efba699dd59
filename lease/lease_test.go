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

// cluster is the routers of a failure domain that share the lease of one
// worker.
type cluster struct {
	*sim
	cfg             Config
	lossShare       float64
	pauses          bool
	routers         []*testRouter      // the current process of each router
	processes       []*testRouter      // including processes that have ended
	cut             map[[2]string]bool // pairs of routers that cannot communicate
	splitUntil      time.Duration      // until then two halves of the routers cannot communicate
	adopted         int
	holdersSeen     map[string]bool // processes that were holders at some time
	grantingSamples int             // samples at which some process may grant
	samples         int
}

func (c *cluster) start(i int) {
	m := &testRouter{cluster: c, process: process{
		sim: c.sim, id: fmt.Sprint("r", i), incarnation: uint64(len(c.processes) + 1),
		clockRate: 1 + (c.rand.Float64()*2-1)*0.024, clockOffset: c.between(0, time.Hour),
	}}
	m.lease = New(c.cfg, m.id, m.incarnation)
	m.heartbeats, m.startedAt = map[string]heartbeat{}, m.now()
	c.routers[i] = m
	c.processes = append(c.processes, m)
	m.every(200*time.Millisecond, m.step)
	m.every(time.Second, m.renew)
	m.every(time.Second, m.gossip)
}

// gossip sends the known heartbeats to a random router, as the membership
// exchange does.
func (m *testRouter) gossip() {
	m.heartbeats[m.id] = heartbeat{int(m.incarnation)*1_000_000 + int(m.cluster.now/time.Second), m.now()}
	to := m.cluster.routers[m.cluster.rand.IntN(len(m.cluster.routers))]
	beats := maps.Clone(m.heartbeats)
	m.cluster.send(m, to, func() {
		for id, b := range beats {
			if b.count > to.heartbeats[id].count {
				to.heartbeats[id] = heartbeat{b.count, to.now()}
			}
		}
	})
}

// silentFor returns how long a process has received no newer heartbeat of a
// router.
func (m *testRouter) silentFor(id string) time.Duration {
	if b, ok := m.heartbeats[id]; ok {
		return m.now().Sub(b.heardAt)
	}
	return m.now().Sub(m.startedAt)
}

// isolated applies the rule of plugins/peer, with all routers listed as live.
func (m *testRouter) isolated() bool {
	r, _ := m.lease.Record()
	for _, other := range m.cluster.routers {
		if other.id != m.id && other.id != r.Successor && m.silentFor(other.id) < OrphanTimeout/2 {
			return false
		}
	}
	return true
}

// restart ends a process, sometimes in the middle of a write, and starts the
// next one under the same ID at once or after a while.
func (c *cluster) restart(i int) {
	c.routers[i].dead = true
	c.after(c.between(0, 40*time.Second), func() { c.start(i) })
}

// injectFault pauses, restarts and cuts off routers at random.
func (c *cluster) injectFault() {
	c.after(c.between(time.Second, 15*time.Second), func() {
		m := c.routers[c.rand.IntN(len(c.routers))]
		o := c.routers[c.rand.IntN(len(c.routers))]
		switch {
		case m.dead:
		case c.chance(0.3):
			c.restart(int(m.id[1] - '0'))
		case c.chance(0.5) && c.pauses:
			m.pausedUntil = c.now + c.between(0, 30*time.Second)
		case c.chance(0.2) && c.pauses:
			// The holder and a successor are paused at the same time.
			r, _ := m.lease.Record()
			for _, id := range []string{r.Holder, r.Successor} {
				if o := c.byID(id); o != nil {
					o.pausedUntil = c.now + c.between(60*time.Second, 100*time.Second)
				}
			}
		case c.chance(0.15):
			c.splitUntil = c.now + c.between(30*time.Second, 150*time.Second)
		case c.chance(0.3):
			m.cutOffUntil = c.now + c.between(0, 30*time.Second)
		default:
			c.cut[[2]string{m.id, o.id}] = !c.cut[[2]string{m.id, o.id}]
		}
		c.injectFault()
	})
}

// send delivers a message between two processes, or loses it.
func (c *cluster) send(from, to *testRouter, fn func()) {
	if c.chance(c.lossShare) || c.cut[[2]string{from.id, to.id}] || c.cut[[2]string{to.id, from.id}] || c.now < c.splitUntil && (from.id < "r2") != (to.id < "r2") {
		return
	}
	to.deliver(c.delay(), fn)
}

func (c *cluster) byID(id string) *testRouter {
	for _, m := range c.routers {
		if m.id == id {
			return m
		}
	}
	return nil
}

// randomPeer returns a random other router, or none.
func (m *testRouter) randomPeer() string {
	o := m.cluster.routers[m.cluster.rand.IntN(len(m.cluster.routers))]
	if o.id == m.id || m.cluster.chance(0.1) {
		return ""
	}
	return o.id
}

func (m *testRouter) step() {
	now := m.now()
	m.lease.Tick(now)
	m.lease.SetIsolated(m.isolated())
	if m.busy {
		return
	}
	if w, ok := m.write(now); ok {
		m.commit(w)
		return
	}
	if m.lease.NeedsRead(now) || !m.lease.Holds() && m.cluster.chance(0.1) {
		m.readRow()
	}
}

func (m *testRouter) readRow() {
	m.read(rowKey, func(sent time.Time, row store.Row) {
		record, _ := DecodeRecord(row.Value)
		m.lease.HandleRead(sent, m.now(), record, row.Version)
	})
}

func (m *testRouter) write(now time.Time) (Write[Record], bool) {
	if w, ok := m.lease.Retry(); ok && m.cluster.chance(0.5) {
		return w, true
	}
	switch {
	case m.lease.WritePending():
		return Write[Record]{}, false
	case m.lease.RowAbsent():
		return m.lease.Create(now, m.randomPeer())
	case m.lease.Holds() && m.cluster.chance(0.02):
		to := m.cluster.routers[m.cluster.rand.IntN(len(m.cluster.routers))]
		return m.lease.HandOver(now, to.id, to.incarnation, m.randomPeer())
	case m.lease.Holds() && m.cluster.chance(0.05):
		return m.lease.NameSuccessor(now, m.randomPeer())
	case m.lease.MayTakeOver(now):
		return m.lease.TakeOver(now, m.randomPeer())
	}
	if w, ok := m.lease.Reconfirm(now); ok {
		return w, true
	}
	w, ok := m.lease.Adopt(now, m.randomPeer(), m.evidence())
	if ok {
		m.cluster.adopted++
	}
	return w, ok
}

// evidence returns what a process has heard, with a VM list that drops silent
// routers.
func (m *testRouter) evidence() Evidence {
	r, _ := m.lease.Record()
	e := Evidence{HolderSilence: m.silentFor(r.Holder), SuccessorSilence: m.silentFor(r.Holder)}
	if r.Successor != "" && r.Successor != m.id {
		e.SuccessorSilence = m.silentFor(r.Successor)
	}
	for _, other := range m.cluster.routers {
		if other.id != m.id && other.id != r.Holder && other.id != r.Successor {
			e.OthersSilence = max(e.OthersSilence, m.silentFor(other.id))
		}
	}
	e.UnlistedFor = min(e.HolderSilence, e.SuccessorSilence)
	return e
}

func (m *testRouter) commit(w Write[Record]) {
	m.busy = true
	m.process.commit(store.Op{Key: rowKey, IfVersion: w.IfVersion, Value: w.Value.Encode()}, func(outcome Outcome, version int64) {
		m.busy = false
		m.lease.HandleWrite(m.now(), w, outcome, version)
	})
}

func (m *testRouter) renew() {
	r, ok := m.lease.Renewal(m.now())
	to := m.cluster.byID(r.Successor)
	if !ok || to == nil || to.dead {
		return
	}
	m.cluster.send(m, to, func() {
		promised := to.lease.Promise(to.now(), m.id, m.incarnation, r.Epoch)
		if !promised && to.lease.IsStale(r.Epoch) {
			to.readRow()
		}
		m.cluster.send(to, m, func() { m.lease.HandleRenewReply(r, promised) })
	})
}

// mayGrant returns the processes that may grant now. A paused process counts,
// because it could be resumed at this moment.
func (c *cluster) mayGrant() (list []string) {
	for _, m := range c.processes {
		if !m.dead && m.lease.MayGrant(m.now()) {
			list = append(list, fmt.Sprint(m.id, "/", m.incarnation))
			if r, _ := m.lease.Record(); r.Incarnation != m.incarnation {
				list = append(list, "for an earlier process")
			}
		}
	}
	return list
}

// simulate runs a cluster and returns the first violation: a moment at which
// two processes may grant.
func simulate(seed uint64, cfg Config, duration time.Duration, faults storetest.Faults, lossShare float64, outages, pauses bool) (*cluster, string) {
	c := &cluster{sim: newSim(seed), cfg: cfg, lossShare: lossShare, pauses: pauses, routers: make([]*testRouter, 4),
		cut: map[[2]string]bool{}, holdersSeen: map[string]bool{}}
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
// and repeated writes, outages, and clocks whose rates differ by up to 4.9%.
func TestOneHolder(t *testing.T) {
	p := proof.Begin(t, proof.Claim{Guarantee: "R1", Kind: "simulation (rapid): one holder", Faults: "restarts, pauses, partitions, lost replies, late and duplicate writes, outages, clock rates"})
	samples, granting, holders, adopted := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64Range(1, 1<<32).Draw(t, "seed")
		share := rapid.SampledFrom([]float64{0, 0.05, 0.3})
		faults := storetest.Faults{
			LostReplies: share.Draw(t, "lost replies"), DroppedRequests: share.Draw(t, "dropped requests"),
			LateWrites: share.Draw(t, "late writes"), DuplicateWrites: share.Draw(t, "duplicates"), LateBy: 20 * time.Second,
		}
		c, violation := simulate(seed, DefaultConfig(), 10*time.Minute, faults, share.Draw(t, "loss"), rapid.Bool().Draw(t, "outages"), rapid.Bool().Draw(t, "pauses"))
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
		t.Errorf("the runs cover too little: a process may grant at %d of %d samples, %d holders", granting, samples, holders)
	}
}
