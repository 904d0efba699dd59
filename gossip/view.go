// Package gossip shares what each router observes of the fleet: which routers are
// live, how loaded the workers are, and how recent the copies of the store's
// tables are. Each router sends its view to a few others, several times a
// second; what one router knows reaches all n routers in about log n rounds.
//
// It serves fleets of many routers, each of which sees a small part of the
// traffic. A worker reports its load in each response, and thus to one router only.
// Without gossip, a router gets a report of the same worker only every few seconds.
//
// Contract: of two reports about the same thing the more recent one wins, so
// messages may be lost, duplicated and reordered. Messages carry ages instead of
// times. The receiver does not know how long a message was in transit, so each
// age is too small by that time.
//
// Failure behaviour: a router that is silent for Config.LivenessTimeout counts as
// not live. A malformed message changes nothing; an entry with an implausible
// figure or an unknown extension is left out alone.
//
// Concurrency: a View is not safe for concurrent use.
//
// Cost: a message has at most MessageBytes bytes; sending takes time
// proportional to the number of known routers and workers.
package gossip

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MessageBytes is the maximum size of a message, so that it fits into one
// datagram on common networks.
const MessageBytes = 1200

// Maximum numbers of other routers that a message lists. Routers of the same
// failure domain must know each other to agree on their domain leader.
const (
	maxSameDomainMembers  = 14
	maxOtherDomainMembers = 8
)

// Limits of what a view keeps, against memory exhaustion by forged messages.
// They are above the 400 routers and 1,100 workers of the largest planned fleet.
const (
	maxMembers = 4096
	maxLoads   = 16384
)

// startingMessages is the number of messages after which a router no longer asks for
// replies.
const startingMessages = 2

// Config configures a View.
type Config struct {
	Router string // ID of this router
	Domain string // its failure domain
	// Address is the address at which this router receives messages.
	Address netip.AddrPort
	// Seeds are the addresses of the first routers to contact; some may be out
	// of date.
	Seeds []netip.AddrPort
	// Capacity decides which router becomes the domain leader: the one with the
	// highest value. All routers must use the same unit.
	Capacity int
	// TableCount is the number of tables whose versions are exchanged.
	TableCount int
	// LivenessTimeout is the time of silence after which a router counts as not
	// live.
	LivenessTimeout time.Duration
	// LoadTTL is the age beyond which a load report is no longer sent.
	LoadTTL time.Duration
	// Random returns a number in [0, n).
	Random func(n int) int
}

// View is what one router knows of the fleet.
type View struct {
	cfg        Config
	routerHash uint64
	domainHash uint32
	leaving    bool
	received   int // messages merged, at most startingMessages
	members    map[netip.AddrPort]*member
	loads      map[uint32]loadReport
	tables     []tableState
}

type member struct {
	address    netip.AddrPort
	routerHash uint64
	domainHash uint32
	capacity   uint16
	lastHeard  time.Time
	positions  []Position // positions of its table copies, nil if it has not reported them itself
}

type loadReport struct {
	inFlight   int
	reportedAt time.Time
	reportID   uint16
}

// Position is a point in the history of the store's tables. A store that comes back
// from an older copy begins a new era, in which it gives out versions again.
type Position struct {
	Era, Version uint64
}

// Before reports whether p is before q.
func (p Position) Before(q Position) bool {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version)) < 0
}

type tableState struct {
	position    Position       // position of this router's copy
	newest      Position       // newest position known to any router
	peer        netip.AddrPort // a router that has the newest position
	returned    bool           // the store has come back from an older copy since the start
	lastContact time.Time      // when any router last had contact with the store
}

// New returns a view that knows only this router.
func New(cfg Config) *View {
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	return &View{
		cfg: cfg, routerHash: xxhash.Sum64String(cfg.Router), domainHash: uint32(xxhash.Sum64String(cfg.Domain)),
		members: map[netip.AddrPort]*member{}, loads: map[uint32]loadReport{}, tables: make([]tableState, cfg.TableCount),
	}
}

// WorkerHash returns the hash that identifies a worker in messages.
func WorkerHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Leave makes all further messages say that this router is leaving.
func (v *View) Leave() { v.leaving = true }

// SetTable records the position of this router's copy of a table and when the
// store last replied to this router; a zero time stands for never.
func (v *View) SetTable(i int, position Position, contact time.Time) {
	t := &v.tables[i]
	if t.position.Before(position) {
		t.position = position
	}
	if t.newest.Before(position) {
		t.advance(position, v.cfg.Address)
	}
	if contact.After(t.lastContact) {
		t.lastContact = contact
	}
}

// SetLoad records the requests on a worker at a time and reports whether this
// is more recent than the load known before.
func (v *View) SetLoad(worker uint32, inFlight int, at time.Time) bool {
	if !at.After(v.loads[worker].reportedAt) {
		return false
	}
	v.loads[worker] = loadReport{inFlight, at, uint16(v.cfg.Random(math.MaxUint16 + 1))}
	return true
}

// TableStatus is what the routers know of a table.
type TableStatus struct {
	Position Position      // newest position known to any router
	Age      time.Duration // time since any router had contact with the store
	// Peer is the address of a router that has Position, invalid for none.
	// Routers that reported the position themselves are preferred, and among
	// them those of this router's failure domain.
	Peer netip.AddrPort
}

// TableStatus returns what the routers know of the table with index i.
func (v *View) TableStatus(now time.Time, i int) TableStatus {
	t := v.tables[i]
	status := TableStatus{Position: t.newest, Age: now.Sub(t.lastContact), Peer: t.peer}
	bestPreference := -1
	for _, m := range v.members {
		if len(m.positions) <= i || m.positions[i].Before(t.newest) || !v.isLive(now, m) {
			continue
		}
		// Among equal routers the choice is random, so that no single router
		// serves all others.
		preference := v.cfg.Random(1 << 16)
		if m.domainHash == v.domainHash {
			preference += 1 << 16
		}
		if preference > bestPreference {
			bestPreference, status.Peer = preference, m.address
		}
	}
	return status
}

func (v *View) isLive(now time.Time, m *member) bool {
	return now.Sub(m.lastHeard) < v.cfg.LivenessTimeout
}

// AnyPeer returns the address of a random live router. It returns false if no other
// router is live.
func (v *View) AnyPeer(now time.Time) (netip.AddrPort, bool) {
	sameDomain, otherDomains := v.liveMembers(now)
	live := append(sameDomain, otherDomains...)
	if len(live) == 0 {
		return netip.AddrPort{}, false
	}
	return live[v.cfg.Random(len(live))].address, true
}

// RouterCount returns the number of live routers, this one included.
func (v *View) RouterCount(now time.Time) int {
	n := 1
	for _, m := range v.members {
		if v.isLive(now, m) {
			n++
		}
	}
	return n
}

// IsDomainLeader reports whether this router is the first live router of its
// failure domain: the one with the highest capacity, and among equals the one
// with the lowest hash. All routers use this order.
func (v *View) IsDomainLeader(now time.Time) bool {
	for _, m := range v.members {
		if m.domainHash != v.domainHash || !v.isLive(now, m) {
			continue
		}
		if m.capacity > v.capacity() || m.capacity == v.capacity() && m.routerHash < v.routerHash {
			return false
		}
	}
	return true
}

func (v *View) capacity() uint16 { return uint16(min(max(v.cfg.Capacity, 0), math.MaxUint16)) }

// Update describes what a message changed.
type Update struct {
	TablesChanged bool   // a table has a newer version
	Loads         []Load // loads more recent than those known before
	// NeedsReply says that the sender was not known or has just started, and should
	// get messages, since it may know no other router yet.
	NeedsReply bool
	// Extensions are those of the message, of all types. Their payloads share memory
	// with the message.
	Extensions []Extension
	// Unread says which entries of the message were left out because of
	// implausible figures, nil for none.
	Unread error
}

// Load is a load report of a worker.
type Load struct {
	WorkerHash uint32    // WorkerHash of the worker's ID
	InFlight   int       // requests on the worker
	At         time.Time // time of the report
}

// Merge merges a message received from a router into the view. Errors: the
// message is malformed; the view is then unchanged.
func (v *View) Merge(now time.Time, from netip.AddrPort, b []byte) (Update, error) {
	m, err := decode(b)
	if err != nil {
		return Update{}, err
	}
	v.received = min(v.received+1, startingMessages)
	u := Update{Unread: m.unread, Extensions: m.extensions}
	if m.leaving {
		delete(v.members, from)
	} else {
		existing := v.members[from]
		u.NeedsReply = existing == nil || !v.isLive(now, existing) || m.starting
		sender := v.recordMember(memberEntry{address: from, routerHash: m.routerHash, domainHash: m.domainHash, capacity: m.capacity}, now)
		sender.positions = nil
		for i, t := range m.tables[:min(len(m.tables), len(v.tables))] {
			sender.positions = append(sender.positions, v.inKnownEra(i, t.position))
		}
	}
	for _, entry := range m.members {
		v.recordMember(entry, now.Add(-time.Duration(entry.age)*memberAgeUnit))
	}
	for i, t := range m.tables[:min(len(m.tables), len(v.tables))] {
		t.newest = v.inKnownEra(i, t.newest)
		u.TablesChanged = v.mergeTable(now, &v.tables[i], t) || u.TablesChanged
	}
	for _, l := range m.loads {
		at := now.Add(-time.Duration(l.age) * loadAgeUnit)
		// At each hop a report seems more recent by the time that the message
		// was in transit. The ID keeps it from counting as a new report, since
		// otherwise it would circulate forever.
		existing, known := v.loads[l.workerHash]
		if !known && len(v.loads) >= maxLoads {
			continue
		}
		if l.reportID != existing.reportID && at.After(existing.reportedAt) {
			v.loads[l.workerHash] = loadReport{int(l.inFlight), at, l.reportID}
			u.Loads = append(u.Loads, Load{l.workerHash, int(l.inFlight), at})
		}
	}
	return u, nil
}

// advance records a newer position than those known before.
func (t *tableState) advance(p Position, peer netip.AddrPort) {
	t.returned = t.returned || t.newest.Era > 0 && p.Era > t.newest.Era
	t.newest, t.peer = p, peer
}

// inKnownEra completes the position of a router of an older release, which names no
// era, for the table with index i. Once the store has come back it may be a position that
// the store has lost, and counts as an earlier one.
func (v *View) inKnownEra(i int, p Position) Position {
	if p.Era == 0 && !v.tables[i].returned {
		p.Era = v.tables[i].newest.Era
	}
	return p
}

func (v *View) mergeTable(now time.Time, t *tableState, received tableEntry) bool {
	newer := t.newest.Before(received.newest)
	if newer {
		t.advance(received.newest, received.peer)
	}
	if contact := now.Add(-time.Duration(received.contactAgeMs) * time.Millisecond); contact.After(t.lastContact) {
		t.lastContact = contact
	}
	return newer
}

// recordMember records that a router was live at a time. An entry about this
// router itself, or about a new router beyond maxMembers, is ignored; the member
// returned for it is not in the view.
func (v *View) recordMember(entry memberEntry, at time.Time) *member {
	if entry.address == v.cfg.Address {
		return &member{}
	}
	m := v.members[entry.address]
	if m == nil {
		m = &member{address: entry.address}
		if len(v.members) >= maxMembers {
			return m
		}
		v.members[entry.address] = m
	}
	if at.After(m.lastHeard) {
		if m.routerHash != entry.routerHash {
			m.positions = nil
		}
		m.routerHash, m.domainHash, m.capacity, m.lastHeard = entry.routerHash, entry.domainHash, entry.capacity, at
	}
	return m
}

// Targets returns the addresses for the next messages: sameDomainCount routers
// of this router's failure domain and otherDomainCount of other domains, or of
// the same domain if there are no others. Without live routers it returns the
// seeds.
func (v *View) Targets(now time.Time, sameDomainCount, otherDomainCount int) []netip.AddrPort {
	v.evict(now)
	sameDomain, otherDomains := v.liveMembers(now)
	if len(sameDomain)+len(otherDomains) == 0 {
		return v.otherSeeds()
	}
	if len(otherDomains) == 0 {
		sameDomainCount += otherDomainCount
	}
	targets := firstAddresses(sameDomain, sameDomainCount)
	return append(targets, firstAddresses(otherDomains, otherDomainCount)...)
}

// liveMembers returns the live routers of this router's failure domain and
// those of the other domains, each in random order.
func (v *View) liveMembers(now time.Time) (sameDomain, otherDomains []*member) {
	for _, m := range v.members {
		switch {
		case !v.isLive(now, m):
		case m.domainHash == v.domainHash:
			sameDomain = append(sameDomain, m)
		default:
			otherDomains = append(otherDomains, m)
		}
	}
	v.shuffle(sameDomain)
	v.shuffle(otherDomains)
	return sameDomain, otherDomains
}

// PickSeed returns a random seed to contact, so that the sides of a partition
// find each other again. It returns false if there is no other seed.
func (v *View) PickSeed() (netip.AddrPort, bool) {
	seeds := v.otherSeeds()
	if len(seeds) == 0 {
		return netip.AddrPort{}, false
	}
	return seeds[v.cfg.Random(len(seeds))], true
}

// otherSeeds returns the seeds without this router's own address.
func (v *View) otherSeeds() []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(v.cfg.Seeds), func(a netip.AddrPort) bool { return a == v.cfg.Address })
}

// evictAfter is the multiple of LivenessTimeout after which a silent router is
// evicted.
const evictAfter = 4

// evict removes expired load reports and routers that have been silent for
// evictAfter times the liveness timeout.
func (v *View) evict(now time.Time) {
	for address, m := range v.members {
		if now.Sub(m.lastHeard) > evictAfter*v.cfg.LivenessTimeout {
			delete(v.members, address)
		}
	}
	for worker, l := range v.loads {
		if now.Sub(l.reportedAt) > v.cfg.LoadTTL {
			delete(v.loads, worker)
		}
	}
}

// firstAddresses returns the addresses of the first n routers of a list.
func firstAddresses(list []*member, n int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range list[:min(len(list), n)] {
		out = append(out, m.address)
	}
	return out
}

func (v *View) shuffle(list []*member) {
	// Maps have no fixed order; sorting first makes the result depend on the
	// random numbers alone.
	slices.SortFunc(list, func(a, b *member) int { return a.address.Compare(b.address) })
	for i := len(list) - 1; i > 0; i-- {
		j := v.cfg.Random(i + 1)
		list[i], list[j] = list[j], list[i]
	}
}
