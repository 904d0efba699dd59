package peer

import (
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/placement"
)

// Times of the holder loop that are not settings.
const (
	// settle is the wait after the start before a row is created, so that
	// routers that start together have met. A wrong first choice costs a
	// hand-over later.
	settle = 400 * time.Millisecond
	// readAgain is the least time between two reads of a row for the same
	// reason, while the table does not answer or a holder is looked for.
	readAgain = 500 * time.Millisecond
	// orphanRead is the interval at which the row of a worker that no router
	// claims is read.
	orphanRead = 2 * time.Second
	// isolation is the silence of the domain after which a holder reads its
	// rows again before each renewal.
	isolation = 30 * time.Second
)

// slotLease is the lease of one worker of the own domain with what the holder
// loop notes about it. Guarded by Peer.leaseMu.
type slotLease struct {
	key   workerKey
	lease *lease.Lease
	// held says that the scheduler has the worker: this router became holder
	// and has not yet given the worker up.
	held     bool
	acquired time.Time // when held became true
	created  bool      // the row was created by this router, so no grant exists
	counted  bool      // the slots in use are known (rule 6)
	counting bool
	// A report from the worker or its users.
	leaving, ejected bool
	limit            int // of the last load report, 0 when none
	// Slots in use that are known only in number, until the given time.
	unknown      int
	unknownUntil time.Time
	// missed counts the load reports in a row that did not come, without a
	// request that ended on the worker in between.
	missed int

	better      string // a better holder and since when it is known
	betterSince time.Time
	lastRead    time.Time
	handTo      string // target of a hand-over under way
}

// ranking is the live routers of the own domain with their hashes.
type ranking struct {
	routers []string
	hashes  []uint64
	members map[string]membership.Member
	claims  map[workerKey]string // holders by the held lists
}

// rank reads the live routers of the own domain. A router that leaves is no
// candidate, which includes this one.
func (p *Peer) rank(now time.Time) ranking {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	if p.holders == nil {
		p.holders = p.indexHolders()
	}
	r := ranking{members: map[string]membership.Member{}, claims: p.holders}
	for _, m := range p.view.Members(now) {
		if m.Domain != p.id.FailureDomain {
			continue
		}
		r.members[m.Router] = m
		if m.State == membership.Live {
			r.routers = append(r.routers, m.Router)
			r.hashes = append(r.hashes, placement.Hash(m.Router))
		}
	}
	return r
}

// order returns the two best candidates for a worker, and the best one that is
// not this router.
func (r ranking) order(k workerKey, self string) (best, other string) {
	var buf [2]int
	for _, i := range placement.Choose(buf[:], placement.Hash(k.upstream, k.worker), r.hashes) {
		if best == "" {
			best = r.routers[i]
		}
		if other == "" && r.routers[i] != self {
			other = r.routers[i]
		}
	}
	return best, other
}

// third returns the best candidate that is neither of two routers.
func (r ranking) third(k workerKey, a, b string) string {
	var buf [3]int
	for _, i := range placement.Choose(buf[:], placement.Hash(k.upstream, k.worker), r.hashes) {
		if id := r.routers[i]; id != a && id != b {
			return id
		}
	}
	return ""
}

func (r ranking) live(router string) bool {
	m, ok := r.members[router]
	return ok && m.State == membership.Live
}

// published takes a newer revision. It does not block.
func (p *Peer) published(set *core.ConfigRevision) {
	p.leaseMu.Lock()
	p.set = set
	p.applySet()
	p.leaseMu.Unlock()
	p.viewMu.Lock()
	first := p.view.SetRevision(p.now(), set.Revision, set.Manifest)
	p.viewMu.Unlock()
	p.advanceAll()
	if first {
		p.announce(p.view.Announcement)
	}
	p.kick()
}

// applySet creates and removes the leases and pools that the revision asks
// for. The caller holds leaseMu.
func (p *Peer) applySet() {
	wanted := map[workerKey]bool{}
	for name, u := range p.set.Set.Upstreams {
		if p.pools[name] == nil {
			p.pools[name] = newPool(p, name)
		}
		p.pools[name].configure(p.now(), schedulerConfig(p.set.Set, u, p.s.UseWithin))
		for _, w := range u.Workers {
			if w.FailureDomain != p.id.FailureDomain {
				continue
			}
			k := workerKey{name, w.ID}
			wanted[k] = true
			if p.leases[k] == nil {
				p.leases[k] = &slotLease{key: k, lease: lease.New(p.leaseConfig(), p.id.Router, p.id.Incarnation)}
			}
		}
	}
	for k, l := range p.leases {
		if !wanted[k] {
			p.drop(l)
			delete(p.leases, k)
		}
	}
}

// upstream returns the upstream's object, nil when it does not exist. The
// caller holds leaseMu.
func (p *Peer) upstream(name string) *objects.Upstream {
	if p.set == nil {
		return nil
	}
	return p.set.Set.Upstreams[name]
}

// open reports whether the holder may grant slots of the worker now. The
// caller holds leaseMu.
func (p *Peer) open(now time.Time, l *slotLease) bool {
	u := p.upstream(l.key.upstream)
	if u == nil || u.IsDraining(l.key.worker) {
		return false
	}
	return l.held && l.counted && !l.leaving && !l.ejected && !l.silent() && l.lease.MayGrant(now)
}

// silentAfter is the number of load reports in a row whose absence closes a
// worker. A paused worker accepts connections, so requests sent to it would
// wait for their stall time-out.
const silentAfter = 3

// silent reports whether the worker shows no sign of life. A worker on which
// requests end is alive however late its reports are: a flood that delays the
// reports of a whole pool must not close it.
func (l *slotLease) silent() bool { return l.missed >= silentAfter }

// maxInFlight is the worker's limit. The caller holds leaseMu.
func (p *Peer) maxInFlight(l *slotLease) int {
	limit := 0
	if u := p.upstream(l.key.upstream); u != nil {
		limit = u.MaxInFlight
	}
	if l.limit > 0 {
		limit = min(limit, l.limit)
	}
	return limit
}

// plan is what a turn of the holder loop has to do at the table.
type plan struct {
	reads  []workerKey
	writes []rowWrite
}

type rowWrite struct {
	key   workerKey
	write lease.Write[lease.Record]
}

// decide makes one turn of all leases.
func (p *Peer) decide(now time.Time) plan {
	r := p.rank(now)
	silences := p.silences(now)
	var todo plan
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	keys := make([]workerKey, 0, len(p.leases))
	for k := range p.leases {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	for _, k := range keys {
		l := p.leases[k]
		l.lease.Tick(now)
		l.lease.SetIsolated(silences.isolated(l.lease))
		if p.wantsRead(now, l, r) {
			l.lastRead = now
			todo.reads = append(todo.reads, k)
		}
		if w, ok := p.decideWrite(now, l, r, silences); ok {
			todo.writes = append(todo.writes, rowWrite{k, w})
		}
	}
	return todo
}

// wantsRead reports whether the row has to be read now.
func (p *Peer) wantsRead(now time.Time, l *slotLease, r ranking) bool {
	since := now.Sub(l.lastRead)
	if since < min(readAgain, p.s.LeaseTime/4) {
		return false
	}
	if l.lease.NeedsRead(now) || l.lease.RowAbsent() {
		return true
	}
	if l.lease.Holds() {
		return false
	}
	record, _ := l.lease.Record()
	if r.live(record.Holder) && r.claims[l.key] == record.Holder {
		return false
	}
	return since >= min(orphanRead, p.s.LeaseTime/4)
}

// decideWrite returns the write that the lease needs now.
func (p *Peer) decideWrite(now time.Time, l *slotLease, r ranking, s silences) (lease.Write[lease.Record], bool) {
	if w, ok := l.lease.Retry(); ok {
		return w, true
	}
	best, other := r.order(l.key, p.id.Router)
	leaving := p.leaving.Load()
	switch {
	case l.lease.WritePending():
		return lease.Write[lease.Record]{}, false
	case l.lease.Holds() && leaving:
		return p.handOver(now, l, r, other)
	case l.lease.Holds():
		if p.betterStable(now, l, best) {
			return p.handOver(now, l, r, best)
		}
		return p.nameSuccessor(now, l, r, other)
	case leaving:
		return lease.Write[lease.Record]{}, false
	case l.lease.RowAbsent():
		if best == p.id.Router && now.Sub(p.started) >= min(settle, p.s.LeaseTime) {
			return l.lease.Create(now, other)
		}
	case l.lease.MayTakeOver(now):
		return l.lease.TakeOver(now, other)
	case best == p.id.Router:
		return l.lease.Adopt(now, other, s.evidence(l.lease))
	}
	return lease.Write[lease.Record]{}, false
}

// betterStable reports whether another router has been the first choice for
// the worker for the time that a hand-over needs.
func (p *Peer) betterStable(now time.Time, l *slotLease, best string) bool {
	if best == "" || best == p.id.Router {
		l.better = ""
		return false
	}
	if l.better != best {
		l.better, l.betterSince = best, now
	}
	known := l.counted && (l.unknown == 0 || now.After(l.unknownUntil))
	return now.Sub(l.betterSince) >= p.s.HandoverDelay && known && l.lease.MayGrant(now)
}

// handOver passes the lease on. The old holder stays as successor unless it
// stops.
func (p *Peer) handOver(now time.Time, l *slotLease, r ranking, to string) (lease.Write[lease.Record], bool) {
	if to == "" {
		return lease.Write[lease.Record]{}, false
	}
	successor := p.id.Router
	if p.leaving.Load() {
		successor = ""
		for _, router := range r.routers {
			if router != to && router != p.id.Router {
				successor = router
			}
		}
	}
	w, ok := l.lease.HandOver(now, to, r.members[to].Incarnation, successor)
	if ok {
		l.handTo, l.better = to, ""
		p.log.Debug("handing over", "upstream", l.key.upstream, "worker", l.key.worker, "to", to)
	}
	return w, ok
}

// nameSuccessor replaces a successor that is gone or does not renew, and names
// one as soon as the domain has a second router. Without another candidate it
// names none, so that a lone router goes on granting.
func (p *Peer) nameSuccessor(now time.Time, l *slotLease, r ranking, other string) (lease.Write[lease.Record], bool) {
	record, _ := l.lease.Record()
	if record.Successor != other && (record.Successor == "" || !r.live(record.Successor)) {
		return l.lease.NameSuccessor(now, other)
	}
	if p.renewalFails(now, l) {
		if third := r.third(l.key, p.id.Router, record.Successor); third != "" {
			return l.lease.NameSuccessor(now, third)
		}
	}
	return l.lease.Reconfirm(now)
}

// renewalFails reports whether the successor has not promised for half a lease
// time although it is live, for example when only the two cannot reach each
// other.
func (p *Peer) renewalFails(now time.Time, l *slotLease) bool {
	return now.Sub(l.acquired) > p.s.LeaseTime/2 && l.lease.GrantUntil().Sub(now) < p.s.LeaseTime/2
}

func compareKeys(a, b workerKey) int {
	if a.upstream != b.upstream {
		if a.upstream < b.upstream {
			return -1
		}
		return 1
	}
	if a.worker < b.worker {
		return -1
	}
	if a.worker > b.worker {
		return 1
	}
	return 0
}
