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

// member is a process that takes part in one slot lease. Apart from the rules
// of Lease itself it decides at random, so that safety does not depend on a
// sensible policy.
type member struct {
	process
	c     *cluster
	lease *Lease
	busy  bool // a write is under way
	beats map[string]beat
	born  time.Time
}

// beat is the newest heartbeat of a router that has reached a process.
type beat struct {
	count int
	heard time.Time
}

// cluster is the routers of a domain around one worker.
type cluster struct {
	*sim
	cfg       Config
	lossShare float64
	pauses    bool
	members   []*member          // the present process of each router
	everyone  []*member          // ended ones included
	cut       map[[2]string]bool // pairs of routers that cannot talk
	halves    time.Duration      // until: two pairs of routers are cut off
	adopted   int
	holders   map[string]bool // processes that held at some time
	granting  int             // samples with somebody granting
	samples   int
}

func (c *cluster) start(i int) {
	m := &member{c: c, process: process{
		s: c.sim, id: fmt.Sprint("r", i), inc: uint64(len(c.everyone) + 1),
		rate: 1 + (c.rand.Float64()*2-1)*0.024, offset: c.between(0, time.Hour),
	}}
	m.lease = New(c.cfg, m.id, m.inc)
	m.beats, m.born = map[string]beat{}, m.now()
	c.members[i] = m
	c.everyone = append(c.everyone, m)
	m.every(200*time.Millisecond, m.turn)
	m.every(time.Second, m.renew)
	m.every(time.Second, m.hello)
}

// hello passes on heartbeats to a random router, as the membership does.
func (m *member) hello() {
	m.beats[m.id] = beat{int(m.inc)*1_000_000 + int(m.c.now/time.Second), m.now()}
	to := m.c.members[m.c.rand.IntN(len(m.c.members))]
	beats := maps.Clone(m.beats)
	m.c.send(m, to, func() {
		for id, b := range beats {
			if b.count > to.beats[id].count {
				to.beats[id] = beat{b.count, to.now()}
			}
		}
	})
}

// silent is how long a process has heard nothing of a router.
func (m *member) silent(id string) time.Duration {
	if b, ok := m.beats[id]; ok {
		return m.now().Sub(b.heard)
	}
	return m.now().Sub(m.born)
}

// isolated is the rule of plugins/peer, with all routers listed as live.
func (m *member) isolated() bool {
	r, _ := m.lease.Record()
	for _, o := range m.c.members {
		if o.id != m.id && o.id != r.Successor && m.silent(o.id) < OrphanTimeout/2 {
			return false
		}
	}
	return true
}

// restart ends a process, sometimes in the middle of a write, and starts the
// next one under the same ID at once or a while later.
func (c *cluster) restart(i int) {
	c.members[i].dead = true
	c.after(c.between(0, 40*time.Second), func() { c.start(i) })
}

// upset pauses, restarts and cuts off routers at random.
func (c *cluster) upset() {
	c.after(c.between(time.Second, 15*time.Second), func() {
		m := c.members[c.rand.IntN(len(c.members))]
		o := c.members[c.rand.IntN(len(c.members))]
		switch {
		case m.dead:
		case c.chance(0.3):
			c.restart(int(m.id[1] - '0'))
		case c.chance(0.5) && c.pauses:
			m.paused = c.now + c.between(0, 30*time.Second)
		case c.chance(0.2) && c.pauses:
			// The holder and a successor stand still together.
			r, _ := m.lease.Record()
			for _, id := range []string{r.Holder, r.Successor} {
				if o := c.byID(id); o != nil {
					o.paused = c.now + c.between(60*time.Second, 100*time.Second)
				}
			}
		case c.chance(0.15):
			c.halves = c.now + c.between(30*time.Second, 150*time.Second)
		case c.chance(0.3):
			m.cutOff = c.now + c.between(0, 30*time.Second)
		default:
			c.cut[[2]string{m.id, o.id}] = !c.cut[[2]string{m.id, o.id}]
		}
		c.upset()
	})
}

// send passes a message between two processes, or loses it.
func (c *cluster) send(from, to *member, fn func()) {
	if c.chance(c.lossShare) || c.cut[[2]string{from.id, to.id}] || c.cut[[2]string{to.id, from.id}] || c.now < c.halves && (from.id < "r2") != (to.id < "r2") {
		return
	}
	to.deliver(c.delay(), fn)
}

func (c *cluster) byID(id string) *member {
	for _, m := range c.members {
		if m.id == id {
			return m
		}
	}
	return nil
}

// other is a random other router, or none.
func (m *member) other() string {
	o := m.c.members[m.c.rand.IntN(len(m.c.members))]
	if o.id == m.id || m.c.chance(0.1) {
		return ""
	}
	return o.id
}

func (m *member) turn() {
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
	if m.lease.NeedsRead(now) || !m.lease.Holds() && m.c.chance(0.1) {
		m.readRow()
	}
}

func (m *member) readRow() {
	m.read(rowKey, func(sent time.Time, row store.Row) {
		record, _ := DecodeRecord(row.Value)
		m.lease.HandleRead(sent, m.now(), record, row.Version)
	})
}

func (m *member) write(now time.Time) (Write[Record], bool) {
	if w, ok := m.lease.Retry(); ok && m.c.chance(0.5) {
		return w, true
	}
	switch {
	case m.lease.WritePending():
		return Write[Record]{}, false
	case m.lease.RowAbsent():
		return m.lease.Create(now, m.other())
	case m.lease.Holds() && m.c.chance(0.02):
		to := m.c.members[m.c.rand.IntN(len(m.c.members))]
		return m.lease.HandOver(now, to.id, to.inc, m.other())
	case m.lease.Holds() && m.c.chance(0.05):
		return m.lease.NameSuccessor(now, m.other())
	case m.lease.MayTakeOver(now):
		return m.lease.TakeOver(now, m.other())
	}
	if w, ok := m.lease.Reconfirm(now); ok {
		return w, true
	}
	w, ok := m.lease.Adopt(now, m.other(), m.evidence())
	if ok {
		m.c.adopted++
	}
	return w, ok
}

// evidence is what a process has heard, and a list that drops silent routers.
func (m *member) evidence() Evidence {
	r, _ := m.lease.Record()
	e := Evidence{HolderSilence: m.silent(r.Holder), SuccessorSilence: m.silent(r.Holder)}
	if r.Successor != "" && r.Successor != m.id {
		e.SuccessorSilence = m.silent(r.Successor)
	}
	for _, o := range m.c.members {
		if o.id != m.id && o.id != r.Holder && o.id != r.Successor {
			e.OthersSilence = max(e.OthersSilence, m.silent(o.id))
		}
	}
	e.UnlistedFor = min(e.HolderSilence, e.SuccessorSilence)
	return e
}

func (m *member) commit(w Write[Record]) {
	m.busy = true
	m.process.commit(store.Op{Key: rowKey, IfVersion: w.IfVersion, Value: w.Value.Encode()}, func(outcome Outcome, version int64) {
		m.busy = false
		m.lease.HandleWrite(m.now(), w, outcome, version)
	})
}

func (m *member) renew() {
	r, ok := m.lease.Renewal(m.now())
	to := m.c.byID(r.Successor)
	if !ok || to == nil || to.dead {
		return
	}
	m.c.send(m, to, func() {
		promised := to.lease.Promise(to.now(), m.id, m.inc, r.Epoch)
		if !promised && to.lease.IsStale(r.Epoch) {
			to.readRow()
		}
		m.c.send(to, m, func() { m.lease.HandleRenewReply(r, promised) })
	})
}

// mayGrant lists the processes that may grant now. A paused process counts: it
// could be resumed at this moment.
func (c *cluster) mayGrant() (list []string) {
	for _, m := range c.everyone {
		if !m.dead && m.lease.MayGrant(m.now()) {
			list = append(list, fmt.Sprint(m.id, "/", m.inc))
			if r, _ := m.lease.Record(); r.Incarnation != m.inc {
				list = append(list, "for its predecessor")
			}
		}
	}
	return list
}

// simulate runs a cluster and returns the first moment with two holders.
func simulate(seed uint64, cfg Config, d time.Duration, faults storetest.Faults, loss float64, outages, pauses bool) (*cluster, string) {
	c := &cluster{sim: newSim(seed), cfg: cfg, lossShare: loss, pauses: pauses, members: make([]*member, 4),
		cut: map[[2]string]bool{}, holders: map[string]bool{}}
	for i := range c.members {
		c.start(i)
	}
	c.table.SetFaults(faults)
	c.disturb(faults, outages)
	c.upset()
	violation := ""
	c.check = func() {
		list := c.mayGrant()
		c.samples++
		if len(list) > 0 {
			c.granting++
			c.holders[list[0]] = true
		}
		if len(list) > 1 && violation == "" {
			violation = fmt.Sprintf("seed %d, after %v: %v may grant", seed, c.now, list)
		}
	}
	c.run(d)
	return c, violation
}

// Guards against two routers that may grant the slots of one worker at one
// moment, under restarts, pauses, lost and late messages, lost replies, late
// and repeated writes, outages, and clocks whose rates differ by up to 4.9%.
func TestOneHolder(t *testing.T) {
	p := proof.Begin(t, proof.Claim{Guarantee: "R1", Kind: "simulation (rapid): one holder", Faults: "restarts, pauses, partitions, lost replies, late and doubled writes, outages, clock rates"})
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
		granting += c.granting
		holders += len(c.holders)
		adopted += c.adopted
	})
	t.Logf("somebody may grant at %.1f%% of %d moments, %d holders, %d adoptions", 100*float64(granting)/float64(samples), samples, holders, adopted)
	if p.Histories >= 100 && (granting*3 < samples || holders < 200 || adopted < 20) {
		t.Errorf("the runs prove little: somebody may grant at %d of %d moments, %d holders", granting, samples, holders)
	}
}
