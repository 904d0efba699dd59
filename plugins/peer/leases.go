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

// Timing of the lease loop that cannot be configured.
const (
	// createDelay is the wait after the start before a row is created, so that
	// routers that start together know each other. A wrong first holder would
	// cost a handover later.
	createDelay = 400 * time.Millisecond
	// minReadInterval is the shortest time between two reads of a row, for
	// example while the table does not reply or the holder is not known.
	minReadInterval = 500 * time.Millisecond
	// unclaimedReadInterval is the interval at which the row of a worker is
	// read while no live router advertises that it holds the worker.
	unclaimedReadInterval = 2 * time.Second
	// isolationTimeout is how long a holder hears nothing from its failure
	// domain before it counts as isolated. An isolated holder grants slots only
	// for one lease time after each read of its row.
	isolationTimeout = 30 * time.Second
)

// slotLease is the lease of one worker of this failure domain, with the state
// that the lease loop keeps for it. Guarded by Peer.leaseMu.
type slotLease struct {
	key   workerKey
	lease *lease.Lease
	// held reports whether the scheduler has the worker: this router became
	// holder and has not yet given the worker up.
	held       bool
	acquiredAt time.Time // when held became true
	created    bool      // this router created the row, so no slot can be in use
	slotsKnown bool      // the slots in use are known
	recovering bool      // the recovery of the slots in use was started
	// Reported by the worker, or by the routers that send requests to it.
	leaving, ejected bool
	reportedLimit    int // of the last load report, 0 if none
	// Number of unaccounted slots, which count as in use until the given time.
	unaccounted      int
	unaccountedUntil time.Time
	// missedReports counts consecutive load reports that did not arrive. A
	// request that ends on the worker resets it.
	missedReports int

	betterHolder   string    // another router that is the preferred holder, if any
	betterSince    time.Time // when betterHolder became the preferred holder
	lastRead       time.Time
	handoverTarget string // target of a pending handover
}

// ranking holds the live routers of this failure domain with their hashes.
type ranking struct {
	routers []string
	hashes  []uint64
	members map[string]membership.Member
	holders map[workerKey]string // as advertised in the view
}

// rankRouters returns the live routers of this failure domain. Routers that are
// leaving are not candidates, this router included.
func (p *Peer) rankRouters(now time.Time) ranking {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	if p.holderIndex == nil {
		p.holderIndex = p.indexHolders()
	}
	r := ranking{members: map[string]membership.Member{}, holders: p.holderIndex}
	for _, m := range p.view.Members(now) {
		if m.Domain != p.identity.FailureDomain {
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

// best returns the preferred holder for a worker, and the best candidate other
// than this router.
func (r ranking) best(k workerKey, self string) (best, other string) {
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

// bestExcept returns the best candidate other than the routers a and b.
func (r ranking) bestExcept(k workerKey, a, b string) string {
	var buf [3]int
	for _, i := range placement.Choose(buf[:], placement.Hash(k.upstream, k.worker), r.hashes) {
		if id := r.routers[i]; id != a && id != b {
			return id
		}
	}
	return ""
}

func (r ranking) isLive(router string) bool {
	m, ok := r.members[router]
	return ok && m.State == membership.Live
}

// applyRevision applies a newer configuration revision. It does not block.
func (p *Peer) applyRevision(revision *core.ConfigRevision) {
	p.leaseMu.Lock()
	p.revision = revision
	p.syncLeases()
	p.leaseMu.Unlock()
	p.viewMu.Lock()
	first := p.view.SetRevision(p.now(), revision.Revision, revision.Manifest)
	p.viewMu.Unlock()
	p.serveQueues()
	if first {
		p.broadcast(p.view.Announcement)
	}
	p.wakeLoop()
}

// syncLeases creates and removes leases and pools as the revision requires. The
// caller holds leaseMu.
func (p *Peer) syncLeases() {
	wanted := map[workerKey]bool{}
	for name, u := range p.revision.Set.Upstreams {
		if p.pools[name] == nil {
			p.pools[name] = newPool(p, name)
		}
		p.pools[name].configure(p.now(), schedulerConfig(p.revision.Set, u, p.settings.UseWithin))
		for _, w := range u.Workers {
			if w.FailureDomain != p.identity.FailureDomain {
				continue
			}
			k := workerKey{name, w.ID}
			wanted[k] = true
			if p.leases[k] == nil {
				p.leases[k] = &slotLease{key: k, lease: lease.New(p.leaseConfig(), p.identity.Router, p.identity.Incarnation)}
			}
		}
	}
	for k, l := range p.leases {
		if !wanted[k] {
			p.removeWorker(l)
			delete(p.leases, k)
		}
	}
}

// upstream returns the upstream's object, nil if it does not exist. The caller
// holds leaseMu.
func (p *Peer) upstream(name string) *objects.Upstream {
	if p.revision == nil {
		return nil
	}
	return p.revision.Set.Upstreams[name]
}

// isOpen reports whether the holder may grant slots of the worker now. The
// caller holds leaseMu.
func (p *Peer) isOpen(now time.Time, l *slotLease) bool {
	u := p.upstream(l.key.upstream)
	if u == nil || u.IsDraining(l.key.worker) {
		return false
	}
	return l.held && l.slotsKnown && !l.leaving && !l.ejected && !l.unresponsive() && l.lease.MayGrant(now)
}

// maxMissedReports is the number of consecutive missed load reports after which
// a worker is closed. A paused worker accepts connections, so requests sent to
// it would wait for their stall timeout.
const maxMissedReports = 3

// unresponsive reports whether the worker has missed too many load reports in a
// row. A worker on which requests end is responsive however late its reports
// are: a flood that delays the reports of a whole pool must not close its
// workers.
func (l *slotLease) unresponsive() bool { return l.missedReports >= maxMissedReports }

// maxInFlight returns the worker's limit of requests in flight: the configured
// one, or the reported one if it is lower. The caller holds leaseMu.
func (p *Peer) maxInFlight(l *slotLease) int {
	limit := 0
	if u := p.upstream(l.key.upstream); u != nil {
		limit = u.MaxInFlight
	}
	if l.reportedLimit > 0 {
		limit = min(limit, l.reportedLimit)
	}
	return limit
}

// roundPlan lists the rows that a round of the lease loop has to read and
// write.
type roundPlan struct {
	reads  []workerKey
	writes []rowWrite
}

type rowWrite struct {
	key   workerKey
	write lease.Write[lease.Record]
}

// planRound advances all leases and returns the reads and writes that are due.
func (p *Peer) planRound(now time.Time) roundPlan {
	r := p.rankRouters(now)
	contacts := p.domainContacts(now)
	var plan roundPlan
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
		l.lease.SetIsolated(contacts.isIsolated(l.lease))
		if p.needsRead(now, l, r) {
			l.lastRead = now
			plan.reads = append(plan.reads, k)
		}
		if w, ok := p.planWrite(now, l, r, contacts); ok {
			plan.writes = append(plan.writes, rowWrite{k, w})
		}
	}
	return plan
}

// needsRead reports whether the row has to be read now.
func (p *Peer) needsRead(now time.Time, l *slotLease, r ranking) bool {
	since := now.Sub(l.lastRead)
	if since < min(minReadInterval, p.settings.LeaseTime/4) {
		return false
	}
	if l.lease.NeedsRead(now) || l.lease.RowAbsent() {
		return true
	}
	if l.lease.Holds() {
		return false
	}
	record, _ := l.lease.Record()
	if r.isLive(record.Holder) && r.holders[l.key] == record.Holder {
		return false
	}
	return since >= min(unclaimedReadInterval, p.settings.LeaseTime/4)
}

// planWrite returns the write that the lease needs now, or false if none is due.
func (p *Peer) planWrite(now time.Time, l *slotLease, r ranking, contacts domainContacts) (lease.Write[lease.Record], bool) {
	if w, ok := l.lease.Retry(); ok {
		return w, true
	}
	best, other := r.best(l.key, p.identity.Router)
	leaving := p.leaving.Load()
	switch {
	case l.lease.WritePending():
		return lease.Write[lease.Record]{}, false
	case l.lease.Holds() && leaving:
		return p.handOver(now, l, r, other)
	case l.lease.Holds():
		if p.handoverDue(now, l, best) {
			return p.handOver(now, l, r, best)
		}
		return p.updateSuccessor(now, l, r, other)
	case leaving:
		return lease.Write[lease.Record]{}, false
	case l.lease.RowAbsent():
		if best == p.identity.Router && now.Sub(p.started) >= min(createDelay, p.settings.LeaseTime) {
			return l.lease.Create(now, other)
		}
	case l.lease.MayTakeOver(now):
		return l.lease.TakeOver(now, other)
	case best == p.identity.Router:
		return l.lease.Adopt(now, other, contacts.evidence(l.lease))
	}
	return lease.Write[lease.Record]{}, false
}

// handoverDue reports whether another router has been the preferred holder of
// the worker for HandoverDelay, and the lease can be handed over now.
func (p *Peer) handoverDue(now time.Time, l *slotLease, best string) bool {
	if best == "" || best == p.identity.Router {
		l.betterHolder = ""
		return false
	}
	if l.betterHolder != best {
		l.betterHolder, l.betterSince = best, now
	}
	known := l.slotsKnown && (l.unaccounted == 0 || now.After(l.unaccountedUntil))
	return now.Sub(l.betterSince) >= p.settings.HandoverDelay && known && l.lease.MayGrant(now)
}

// handOver returns the write that hands the lease over. This router becomes the
// successor, unless it is leaving.
func (p *Peer) handOver(now time.Time, l *slotLease, r ranking, to string) (lease.Write[lease.Record], bool) {
	if to == "" {
		return lease.Write[lease.Record]{}, false
	}
	successor := p.identity.Router
	if p.leaving.Load() {
		successor = ""
		for _, router := range r.routers {
			if router != to && router != p.identity.Router {
				successor = router
			}
		}
	}
	w, ok := l.lease.HandOver(now, to, r.members[to].Incarnation, successor)
	if ok {
		l.handoverTarget, l.betterHolder = to, ""
		p.log.Debug("handing over a lease", "upstream", l.key.upstream, "worker", l.key.worker, "to", to)
	}
	return w, ok
}

// updateSuccessor returns the write that replaces a successor that is not live or
// does not renew its promise, or that names one once the failure domain has a
// second router. If there is no other candidate, no successor is named, so that a
// lone router can keep granting.
func (p *Peer) updateSuccessor(now time.Time, l *slotLease, r ranking, other string) (lease.Write[lease.Record], bool) {
	record, _ := l.lease.Record()
	if record.Successor != other && (record.Successor == "" || !r.isLive(record.Successor)) {
		return l.lease.NameSuccessor(now, other)
	}
	if p.renewalFailing(now, l) {
		if third := r.bestExcept(l.key, p.identity.Router, record.Successor); third != "" {
			return l.lease.NameSuccessor(now, third)
		}
	}
	return l.lease.Reconfirm(now)
}

// renewalFailing reports whether the successor has not renewed its promise for
// half the lease time although it is live, for example because only these two
// routers cannot reach each other.
func (p *Peer) renewalFailing(now time.Time, l *slotLease) bool {
	return now.Sub(l.acquiredAt) > p.settings.LeaseTime/2 && l.lease.GrantUntil().Sub(now) < p.settings.LeaseTime/2
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
