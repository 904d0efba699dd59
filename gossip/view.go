// Package gossip spreads what each router sees of the fleet: which routers are
// there, how loaded the workers are, and how new the copies of the store's
// tables are. Each router sends its view to a few others, several times a
// second; what a router knows reaches all n routers in about log n rounds.
//
// Load pattern: many routers that each see a sliver of the traffic. A report
// of a worker's load reaches one router with an answer; without gossip a
// router has a report of the same worker only every few seconds.
//
// Contract: of two statements about the same thing the younger one counts, so
// messages may be lost, repeated and overtake each other. Ages travel instead
// of times; an age errs by the time of the message on its way.
//
// Failure behaviour: a router that is not heard of for Config.Live counts as
// gone. A malformed message changes nothing.
//
// Concurrency: a View is not safe for concurrent use.
//
// Cost: a message has at most MessageBytes bytes; sending takes time
// proportional to the known routers and workers.
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

// MessageBytes bounds a message, so that it fits a datagram on usual networks.
const MessageBytes = 1200

// Numbers of other routers that a message tells of: those of the sender's
// failure domain, whose order matters to one another, and any.
const (
	nearSent = 14
	farSent  = 8
)

// Config configures a View.
type Config struct {
	Router string // ID of this router
	Domain string // its failure domain
	// Address at which this router gets messages.
	Address netip.AddrPort
	// Seeds are addresses to begin with; some may be out of date.
	Seeds []netip.AddrPort
	// Capacity orders the routers of a failure domain, most first, in a unit
	// that all share.
	Capacity int
	// TableCount is the number of tables whose versions are told.
	TableCount int
	// LivenessTimeout is the silence after which a router counts as gone.
	LivenessTimeout time.Duration
	// LoadTTL is the age after which a load is not told any more.
	LoadTTL time.Duration
	// Random returns a number in [0, n).
	Random func(n int) int
}

// View is what one router knows of the fleet.
type View struct {
	cfg     Config
	router  uint64
	domain  uint32
	leaving bool
	members map[netip.AddrPort]*member
	loads   map[uint32]load
	tables  []table
}

type member struct {
	address  netip.AddrPort
	router   uint64
	domain   uint32
	capacity uint16
	heard    time.Time
	have     []uint64 // versions of its tables, nil if not told by itself
}

type load struct {
	busy   int
	at     time.Time
	report uint16
}

type table struct {
	have    uint64 // this router's version
	newest  uint64
	holder  netip.AddrPort // a router that has newest
	contact time.Time      // of any router with the store
}

// New returns a view of this router alone.
func New(cfg Config) *View {
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	return &View{
		cfg: cfg, router: xxhash.Sum64String(cfg.Router), domain: uint32(xxhash.Sum64String(cfg.Domain)),
		members: map[netip.AddrPort]*member{}, loads: map[uint32]load{}, tables: make([]table, cfg.TableCount),
	}
}

// WorkerHash is the name of a worker in messages.
func WorkerHash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Leave has all further messages say that this router stops.
func (v *View) Leave() { v.leaving = true }

// SetTable records the version of this router's copy of a table and when the
// store last answered it; a zero time stands for never.
func (v *View) SetTable(i int, version uint64, contact time.Time) {
	t := &v.tables[i]
	t.have = max(t.have, version)
	if version > t.newest {
		t.newest, t.holder = version, v.cfg.Address
	}
	if contact.After(t.contact) {
		t.contact = contact
	}
}

// SetLoad records the requests on a worker at a time.
func (v *View) SetLoad(worker uint32, busy int, at time.Time) bool {
	if !at.After(v.loads[worker].at) {
		return false
	}
	v.loads[worker] = load{busy, at, uint16(v.cfg.Random(math.MaxUint16 + 1))}
	return true
}

// TableStatus is what is known of a table.
type TableStatus struct {
	Version uint64        // newest row known to any router
	Age     time.Duration // since any router was in contact with the store
	// Peer is the address of a router that has Version, invalid for none. One
	// that said so itself goes first, and then one of this router's failure
	// domain.
	Peer netip.AddrPort
}

// TableStatus returns what is known of a table.
func (v *View) TableStatus(now time.Time, i int) TableStatus {
	t := v.tables[i]
	n := TableStatus{Version: t.newest, Age: now.Sub(t.contact), Peer: t.holder}
	best := -1
	for _, m := range v.members {
		if len(m.have) <= i || m.have[i] < t.newest || !v.isLive(now, m) {
			continue
		}
		// Among equals the choice is random, so that one router does not
		// serve all others.
		preference := v.cfg.Random(1 << 16)
		if m.domain == v.domain {
			preference += 1 << 16
		}
		if preference > best {
			best, n.Peer = preference, m.address
		}
	}
	return n
}

func (v *View) isLive(now time.Time, m *member) bool { return now.Sub(m.heard) < v.cfg.LivenessTimeout }

// RouterCount counts the live routers, this one included.
func (v *View) RouterCount(now time.Time) int {
	n := 1
	for _, m := range v.members {
		if v.isLive(now, m) {
			n++
		}
	}
	return n
}

// IsDomainLeader reports whether this router is the first of its failure domain in an
// order that all routers share.
func (v *View) IsDomainLeader(now time.Time) bool {
	for _, m := range v.members {
		if m.domain != v.domain || !v.isLive(now, m) {
			continue
		}
		if m.capacity > v.capacity() || m.capacity == v.capacity() && m.router < v.router {
			return false
		}
	}
	return true
}

func (v *View) capacity() uint16 { return uint16(min(max(v.cfg.Capacity, 0), math.MaxUint16)) }

// Update is what a message brought.
type Update struct {
	TablesChanged bool   // some table has a newer version or a younger contact
	Loads         []Load // loads younger than those known
	// NeedsReply says that the sender was not known and should get a message: it
	// may know nobody else yet.
	NeedsReply bool
}

// Load is the load of a worker.
type Load struct {
	WorkerHash uint32
	InFlight   int
	At         time.Time
}

// Merge takes over a message. Errors: the message is malformed.
func (v *View) Merge(now time.Time, from netip.AddrPort, b []byte) (Update, error) {
	m, err := decode(b)
	if err != nil {
		return Update{}, err
	}
	var u Update
	if m.leaving {
		delete(v.members, from)
	} else {
		known := v.members[from]
		u.NeedsReply = known == nil || !v.isLive(now, known)
		sender := v.heard(memberStatus{address: from, router: m.router, domain: m.domain, capacity: m.capacity}, now)
		sender.have = nil
		for _, t := range m.tables {
			sender.have = append(sender.have, t.have)
		}
	}
	for _, p := range m.members {
		v.heard(p, now.Add(-time.Duration(p.age)*memberAgeUnit))
	}
	for i, t := range m.tables[:min(len(m.tables), len(v.tables))] {
		u.TablesChanged = v.mergeTable(now, &v.tables[i], t) || u.TablesChanged
	}
	for _, l := range m.loads {
		at := now.Add(-time.Duration(l.age) * loadAgeUnit)
		// A report seems younger by the time of each message on its way. If it
		// counted as a new one for that, it would go round forever.
		if known := v.loads[l.worker]; l.report != known.report && at.After(known.at) {
			v.loads[l.worker] = load{int(l.busy), at, l.report}
			u.Loads = append(u.Loads, Load{l.worker, int(l.busy), at})
		}
	}
	return u, nil
}

func (v *View) mergeTable(now time.Time, t *table, told tableStatus) bool {
	news := told.newest > t.newest
	if news {
		t.newest, t.holder = told.newest, told.holder
	}
	if contact := now.Add(-time.Duration(told.ageMs) * time.Millisecond); contact.After(t.contact) {
		t.contact = contact
	}
	return news
}

// heard records that a router was alive at a time.
func (v *View) heard(p memberStatus, at time.Time) *member {
	if p.address == v.cfg.Address {
		return &member{}
	}
	m := v.members[p.address]
	if m == nil {
		m = &member{address: p.address}
		v.members[p.address] = m
	}
	if at.After(m.heard) {
		if m.router != p.router {
			m.have = nil
		}
		m.router, m.domain, m.capacity, m.heard = p.router, p.domain, p.capacity, at
	}
	return m
}

// Targets returns the addresses for the next messages: near of this router's
// failure domain and far of any. Without live routers it returns the seeds.
func (v *View) Targets(now time.Time, near, far int) []netip.AddrPort {
	v.forget(now)
	domain, others := v.live(now)
	if len(domain)+len(others) == 0 {
		return v.seeds()
	}
	if len(others) == 0 {
		near += far
	}
	targets := addresses(domain, near)
	return append(targets, addresses(others, far)...)
}

// live returns the live routers of this router's failure domain and those of
// the others, each in random order.
func (v *View) live(now time.Time) (near, far []*member) {
	for _, m := range v.members {
		switch {
		case !v.isLive(now, m):
		case m.domain == v.domain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	v.shuffle(near)
	v.shuffle(far)
	return near, far
}

// PickSeed returns one of the seeds, so that parts of the fleet that do not know
// each other meet again.
func (v *View) PickSeed() (netip.AddrPort, bool) {
	seeds := v.seeds()
	if len(seeds) == 0 {
		return netip.AddrPort{}, false
	}
	return seeds[v.cfg.Random(len(seeds))], true
}

func (v *View) seeds() []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(v.cfg.Seeds), func(a netip.AddrPort) bool { return a == v.cfg.Address })
}

// forgetAfter times Live is the silence after which a router is forgotten.
const forgetAfter = 4

func (v *View) forget(now time.Time) {
	for address, m := range v.members {
		if now.Sub(m.heard) > forgetAfter*v.cfg.LivenessTimeout {
			delete(v.members, address)
		}
	}
	for worker, l := range v.loads {
		if now.Sub(l.at) > v.cfg.LoadTTL {
			delete(v.loads, worker)
		}
	}
}

// addresses returns the addresses of the first n routers of a list.
func addresses(list []*member, n int) []netip.AddrPort {
	var out []netip.AddrPort
	for _, m := range list[:min(len(list), n)] {
		out = append(out, m.address)
	}
	return out
}

func (v *View) shuffle(list []*member) {
	// Maps have no fixed order; sorting first makes the choice depend on the
	// random numbers alone.
	slices.SortFunc(list, func(a, b *member) int { return a.address.Compare(b.address) })
	for i := len(list) - 1; i > 0; i-- {
		j := v.cfg.Random(i + 1)
		list[i], list[j] = list[j], list[i]
	}
}

// Message returns the next message of this router.
func (v *View) Message(now time.Time) []byte {
	m := &message{leaving: v.leaving, router: v.router, domain: v.domain, capacity: v.capacity()}
	for _, t := range v.tables {
		m.tables = append(m.tables, tableStatus{newest: t.newest, holder: t.holder, ageMs: age(now, t.contact), have: t.have})
	}
	near, far := v.live(now)
	for _, p := range append(near[:min(len(near), nearSent)], far[:min(len(far), farSent)]...) {
		m.members = append(m.members, memberStatus{p.address, p.router, p.domain, p.capacity, uint64(now.Sub(p.heard) / memberAgeUnit)})
	}
	m.loads = v.loadsToTell(now, (MessageBytes-headBytes-len(m.tables)*tableBytes-len(m.members)*memberBytes)/loadBytes)
	return m.encode()
}

// age returns an age in ms; a time that never was is very old.
func age(now, at time.Time) uint64 {
	const never = uint64(time.Hour / time.Millisecond)
	if at.IsZero() {
		return never
	}
	return min(uint64(max(now.Sub(at), 0).Milliseconds()), never)
}

// loadsToTell returns the youngest loads and some others.
func (v *View) loadsToTell(now time.Time, most int) []loadStatus {
	var list []loadStatus
	for worker, l := range v.loads {
		units := now.Sub(l.at) / loadAgeUnit
		if units <= loadAgeMost && now.Sub(l.at) <= v.cfg.LoadTTL {
			list = append(list, loadStatus{worker: worker, report: l.report, busy: uint64(l.busy), age: uint8(units)})
		}
	}
	slices.SortFunc(list, func(a, b loadStatus) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.worker, b.worker))
	})
	most = min(len(list), most, 255)
	// Half the room is for any others, so that none is left out for long.
	for i := most / 2; i < most; i++ {
		j := i + v.cfg.Random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:most]
}
