package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// State is the state of a router in a view.
type State string

// States of a router.
const (
	Live    State = "live"
	Suspect State = "suspect" // should get no new leases
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Config configures a view.
type Config struct {
	// SuspectAfter and GoneAfter are the durations of silence after which a router
	// of the same failure domain is suspect or gone. Default 5 s and 30 s.
	SuspectAfter, GoneAfter time.Duration
	// RemoteSuspectAfter and RemoteGoneAfter apply to other failure domains.
	// Entries arrive from one domain at a time, so the times are multiplied by the
	// number of other failure domains. Default 8 s and 40 s.
	RemoteSuspectAfter, RemoteGoneAfter time.Duration
	// ForgetAfter is the duration of silence after which a router that is not on
	// the VM list is removed from the view. Default 1 h.
	ForgetAfter time.Duration
	// Budget limits the exchange within the failure domain, in bytes per
	// second. Default 1500.
	Budget int
	// Size returns the encoded size of an entry within a message, in bytes.
	Size func(Entry) int
	// Rand chooses targets and the order of entries that were sent equally often.
	Rand *rand.Rand
}

func (c *Config) setDefaults() {
	c.SuspectAfter = cmp.Or(c.SuspectAfter, 5*time.Second)
	c.GoneAfter = cmp.Or(c.GoneAfter, 30*time.Second)
	c.RemoteSuspectAfter = cmp.Or(c.RemoteSuspectAfter, 8*time.Second)
	c.RemoteGoneAfter = cmp.Or(c.RemoteGoneAfter, 40*time.Second)
	c.ForgetAfter = cmp.Or(c.ForgetAfter, time.Hour)
	c.Budget = cmp.Or(c.Budget, 1500)
}

// ListedVM is a VM of the platform's VM list.
type ListedVM struct {
	Router  string
	Domain  string
	Address string
	Leaving bool
}

// Member is a router in the view.
type Member struct {
	Entry
	State State
	// LastHeard is when an update of the router last arrived. It is zero if the
	// router is known only from the platform's VM list.
	LastHeard time.Time
	// Listed reports whether the platform's last VM list names the router.
	Listed bool
	// ListChanged is when Listed last changed.
	ListChanged time.Time
}

// member is the view's record of a router.
type member struct {
	entry         Entry
	lastHeard     time.Time
	lastDirect    time.Time // last message received from the router itself
	listed        bool
	listedLeaving bool
	listChanged   time.Time
	listedAddress string
	listedDomain  string
	statusSends   int    // messages with the status since it last changed
	contentSends  int    // messages with the content since it last changed
	tieBreak      uint32 // random order of entries sent equally often
}

func (m *member) address() string { return cmp.Or(m.entry.Address, m.listedAddress) }
func (m *member) domain() string  { return cmp.Or(m.entry.Domain, m.listedDomain) }

// View is the merged view of one router.
type View struct {
	cfg           Config
	self          *member
	members       map[string]*member
	byKey         map[uint64]*member // by the key of the current incarnation, see KeyOf
	remoteDomains map[string]bool    // other known failure domains
	created       time.Time
	bucket        tokenBucket
}

// New returns the view of the router that self describes. The ID, incarnation,
// failure domain and address of self must be set.
func New(cfg Config, self Entry, now time.Time) *View {
	cfg.setDefaults()
	self.Heartbeat, self.ContentVersion, self.LoadsVersion = 1, 1, 1
	v := &View{cfg: cfg, members: map[string]*member{}, byKey: map[uint64]*member{}, remoteDomains: map[string]bool{}, created: now, bucket: newTokenBucket(cfg.Budget, now)}
	v.self = &member{entry: self, lastHeard: now}
	v.members[self.Router] = v.self
	v.byKey[KeyOf(self.Router, self.Incarnation)] = v.self
	return v
}

// Self returns this router's own entry.
func (v *View) Self() Entry { return v.self.entry }

// IncrementHeartbeat increments this router's own heartbeat. It must be called
// once for each exchange.
func (v *View) IncrementHeartbeat(now time.Time) {
	v.self.entry.Heartbeat++
	v.self.lastHeard = now
	v.self.statusSends = 0
}

// SetPools replaces this router's own pools and increments its heartbeat. A
// change of only the loads is part of the status; other changes create a new
// content version.
func (v *View) SetPools(now time.Time, pools []Pool) {
	v.IncrementHeartbeat(now)
	e := &v.self.entry
	if !slices.EqualFunc(pools, e.Pools, equalExceptLoad) {
		e.Pools, e.ContentVersion, e.LoadsVersion = pools, e.Heartbeat, e.Heartbeat
		v.self.contentSends = 0
	}
	e.Loads = make([]uint32, len(pools))
	for i, p := range pools {
		e.Loads[i] = p.InFlight
	}
}

// equalExceptLoad compares everything except the load.
func equalExceptLoad(a, b Pool) bool {
	a.InFlight, b.InFlight = 0, 0
	return comparePool(a, b) == 0
}

// SetRevision records the active configuration revision. It reports whether
// this is the first router of the failure domain known to have it.
func (v *View) SetRevision(now time.Time, revision uint64, manifest string) bool {
	first := true
	for _, m := range v.members {
		if m != v.self && m.domain() == v.self.entry.Domain && m.entry.Revision >= revision {
			first = false
		}
	}
	v.IncrementHeartbeat(now)
	v.self.entry.Revision, v.self.entry.Manifest = revision, manifest
	return first
}

// Leave marks this router as leaving. This cannot be undone.
func (v *View) Leave(now time.Time) {
	v.IncrementHeartbeat(now)
	v.self.entry.Leaving = true
}

// Merge merges the entries of a message from a router; from is empty if the
// sender is not known. It returns the entries that announce a newer revision, or
// the manifest of a revision whose manifest was not known.
func (v *View) Merge(now time.Time, from string, entries []Entry) []Entry {
	var announced []Entry
	for _, e := range entries {
		if !v.resolveKey(&e) || e.Router == v.self.entry.Router {
			continue
		}
		if !e.Full() {
			e.ContentVersion = 0
		}
		if v.mergeEntry(now, e) {
			announced = append(announced, e)
		}
	}
	if m := v.members[from]; m != nil {
		m.lastDirect = now
	}
	return announced
}

// resolveKey sets the router and incarnation of a status from its key. It
// returns false if the key is unknown: the status cannot be used before the full
// entry has arrived.
func (v *View) resolveKey(e *Entry) bool {
	if e.Router != "" {
		return true
	}
	m := v.byKey[e.Key]
	if m == nil {
		return false
	}
	e.Router, e.Incarnation = m.entry.Router, m.entry.Incarnation
	return true
}

func (v *View) mergeEntry(now time.Time, e Entry) (newRevision bool) {
	m := v.members[e.Router]
	if m == nil {
		m = &member{}
		v.members[e.Router] = m
	}
	status, content := newerParts(e, m.entry)
	if !status && !content {
		return false
	}
	before := m.entry
	m.entry = Merge(m.entry, e)
	m.entry.Key = 0
	if before.Incarnation != m.entry.Incarnation || before.Router == "" {
		delete(v.byKey, KeyOf(before.Router, before.Incarnation))
		v.byKey[KeyOf(m.entry.Router, m.entry.Incarnation)] = m
	}
	v.recordDomain(m)
	m.lastHeard = now
	m.tieBreak = v.cfg.Rand.Uint32()
	if status {
		m.statusSends = 0
	}
	if content && contentChanged(before, m.entry) {
		m.contentSends = 0
	}
	return e.Revision > before.Revision || e.Revision == before.Revision && e.Manifest != "" && before.Manifest == ""
}

// contentChanged reports whether the content differs in more than its version.
func contentChanged(a, b Entry) bool {
	a.ContentVersion, b.ContentVersion = 0, 0
	return a.Incarnation != b.Incarnation || compareContent(a, b) != 0
}

// RecordContact records that a router has replied to a message of this router.
func (v *View) RecordContact(now time.Time, router string) {
	if m := v.members[router]; m != nil {
		m.lastHeard, m.lastDirect = now, now
	}
}

// SetVMList updates the view from the platform's VM list.
func (v *View) SetVMList(now time.Time, list []ListedVM) {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		listed[vm.Router] = true
		m := v.members[vm.Router]
		if m == nil {
			m = &member{entry: Entry{Router: vm.Router}}
			v.members[vm.Router] = m
		}
		m.setListed(now, true)
		m.listedLeaving, m.listedAddress, m.listedDomain = vm.Leaving, vm.Address, vm.Domain
		v.recordDomain(m)
	}
	for id, m := range v.members {
		if !listed[id] {
			m.setListed(now, false)
		}
		if m != v.self && !m.listed && now.Sub(latest(m.lastHeard, m.listChanged)) > v.cfg.ForgetAfter {
			delete(v.byKey, KeyOf(id, m.entry.Incarnation))
			delete(v.members, id)
		}
	}
}

// recordDomain adds the member's failure domain to remoteDomains unless it is
// this router's own.
func (v *View) recordDomain(m *member) {
	if d := m.domain(); d != "" && d != v.self.entry.Domain {
		v.remoteDomains[d] = true
	}
}

func (m *member) setListed(now time.Time, listed bool) {
	if m.listed != listed || m.listChanged.IsZero() {
		m.listed, m.listChanged = listed, now
	}
}

// State returns the state of a router. Unknown routers are gone.
func (v *View) State(now time.Time, router string) State {
	m := v.members[router]
	if m == nil {
		return Gone
	}
	return v.state(now, m)
}

func (v *View) state(now time.Time, m *member) State {
	suspect, gone := v.cfg.SuspectAfter, v.cfg.GoneAfter
	if m.domain() != v.self.entry.Domain {
		others := time.Duration(max(1, len(v.remoteDomains)))
		suspect, gone = others*v.cfg.RemoteSuspectAfter, others*v.cfg.RemoteGoneAfter
	}
	silent := now.Sub(m.lastHeard)
	if m == v.self {
		silent = 0
	}
	if m.lastHeard.IsZero() {
		// The router is known only from the VM list. It is contacted, but is at
		// least suspect until it has been heard from.
		silent = max(suspect, now.Sub(m.listChanged))
	}
	switch {
	case silent >= gone:
		return Gone
	case m.entry.Leaving || m.listedLeaving:
		return Leaving
	case silent >= suspect:
		return Suspect
	}
	return Live
}

// Members returns all routers, including this one, sorted by ID.
func (v *View) Members(now time.Time) []Member {
	list := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, v.toMember(now, m))
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Router, b.Router) })
	return list
}

// Member returns one router.
func (v *View) Member(now time.Time, router string) (Member, bool) {
	m := v.members[router]
	if m == nil {
		return Member{}, false
	}
	return v.toMember(now, m), true
}

func (v *View) toMember(now time.Time, m *member) Member {
	e := m.entry
	e.Address, e.Domain, e.Pools = m.address(), m.domain(), e.poolsWithLoads()
	return Member{Entry: e, State: v.state(now, m), LastHeard: m.lastHeard, Listed: m.listed, ListChanged: m.listChanged}
}

// SilentFor returns the time since the last update about a router or direct
// contact with it. For a router without any, it is the time since this view was
// created.
func (v *View) SilentFor(now time.Time, router string) time.Duration {
	m := v.members[router]
	if m == nil || m.lastHeard.IsZero() {
		return now.Sub(v.created)
	}
	return now.Sub(m.lastHeard)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
