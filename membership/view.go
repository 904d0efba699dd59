package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// State is what a view says of a router.
type State string

// States of a router.
const (
	Live    State = "live"
	Suspect State = "suspect" // gets no new role
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Config has the limits of a view.
type Config struct {
	// SuspectAfter and Gone are the silences after which a router of the own
	// domain is suspect or gone. Default 5 s and 30 s.
	SuspectAfter, GoneAfter time.Duration
	// RemoteSuspectAfter and RemoteGoneAfter apply to other domains. Their entries
	// arrive in turn, so the times are multiplied by the number of other
	// domains. Default 8 s and 40 s.
	RemoteSuspectAfter, RemoteGoneAfter time.Duration
	// ForgetAfter is the silence after which an unlisted router is dropped.
	// Default 1 h.
	ForgetAfter time.Duration
	// Budget bounds the bytes a second sent for the own domain's exchange.
	// Default 1500.
	Budget int
	// Size returns the encoded size of an entry within a message, in bytes.
	Size func(Entry) int
	// Rand chooses targets and the order of equally urgent entries.
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

// ListedVM is a VM of the platform's list.
type ListedVM struct {
	Router  string
	Domain  string
	Address string
	Leaving bool
}

// Member is a router as the view sees it.
type Member struct {
	Entry
	State State
	// LastHeard is when news of the router last arrived; zero when it is
	// only known from the platform's list.
	LastHeard time.Time
	// Listed says that the platform's last list names the router.
	Listed bool
	// ListChanged is when Listed last changed.
	ListChanged time.Time
}

// member is the view's record of a router.
type member struct {
	entry       Entry
	heard       time.Time
	direct      time.Time // last message received from the router itself
	listed      bool
	listLeaving bool
	listChanged time.Time
	listAddress string
	listDomain  string
	statusSent  int // messages since the last news of that part
	contentSent int
	order       uint32 // breaks ties between equally urgent entries
}

func (m *member) address() string { return cmp.Or(m.entry.Address, m.listAddress) }
func (m *member) domain() string  { return cmp.Or(m.entry.Domain, m.listDomain) }

// View is the merged view of one router.
type View struct {
	cfg     Config
	self    *member
	members map[string]*member
	keys    map[uint64]*member // by KeyOf the present incarnation
	remote  map[string]bool    // other domains known
	created time.Time
	bucket  bucket
}

// New returns the view of the router in self, which has its ID, incarnation,
// domain and address.
func New(cfg Config, self Entry, now time.Time) *View {
	cfg.setDefaults()
	self.Heartbeat, self.ContentVersion, self.LoadsVersion = 1, 1, 1
	v := &View{cfg: cfg, members: map[string]*member{}, keys: map[uint64]*member{}, remote: map[string]bool{}, created: now, bucket: newBucket(cfg.Budget, now)}
	v.self = &member{entry: self, heard: now}
	v.members[self.Router] = v.self
	v.keys[KeyOf(self.Router, self.Incarnation)] = v.self
	return v
}

// Self returns the router's own entry.
func (v *View) Self() Entry { return v.self.entry }

// IncrementHeartbeat raises the own heartbeat; it is called once for each exchange.
func (v *View) IncrementHeartbeat(now time.Time) {
	v.self.entry.Heartbeat++
	v.self.heard = now
	v.self.statusSent = 0
}

// SetPools replaces the own pools. A change of loads alone is part of the
// status, other changes make a new content.
func (v *View) SetPools(now time.Time, pools []Pool) {
	v.IncrementHeartbeat(now)
	e := &v.self.entry
	if !slices.EqualFunc(pools, e.Pools, samePool) {
		e.Pools, e.ContentVersion, e.LoadsVersion = pools, e.Heartbeat, e.Heartbeat
		v.self.contentSent = 0
	}
	e.Loads = make([]uint32, len(pools))
	for i, p := range pools {
		e.Loads[i] = p.InFlight
	}
}

// samePool compares all but the load.
func samePool(a, b Pool) bool {
	a.InFlight, b.InFlight = 0, 0
	return comparePool(a, b) == 0
}

// SetRevision records the configuration in force and reports whether no router
// of the own domain was known to have it yet.
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

// Leave marks this router as leaving, finally.
func (v *View) Leave(now time.Time) {
	v.IncrementHeartbeat(now)
	v.self.entry.Leaving = true
}

// Merge takes the entries of a message from a router, empty for one that is
// not known. It returns the entries whose revision is news.
func (v *View) Merge(now time.Time, from string, entries []Entry) []Entry {
	var announced []Entry
	for _, e := range entries {
		if !v.identify(&e) || e.Router == v.self.entry.Router {
			continue
		}
		if !e.Full() {
			e.ContentVersion = 0
		}
		if v.mergeOne(now, e) {
			announced = append(announced, e)
		}
	}
	if m := v.members[from]; m != nil {
		m.direct = now
	}
	return announced
}

// identify fills in the router of a status. A status whose key is not known is
// of no use before the full entry has arrived.
func (v *View) identify(e *Entry) bool {
	if e.Router != "" {
		return true
	}
	m := v.keys[e.Key]
	if m == nil {
		return false
	}
	e.Router, e.Incarnation = m.entry.Router, m.entry.Incarnation
	return true
}

func (v *View) mergeOne(now time.Time, e Entry) (revisionNews bool) {
	m := v.members[e.Router]
	if m == nil {
		m = &member{}
		v.members[e.Router] = m
	}
	status, content := newer(e, m.entry)
	if !status && !content {
		return false
	}
	before := m.entry
	m.entry = Merge(m.entry, e)
	m.entry.Key = 0
	if before.Incarnation != m.entry.Incarnation || before.Router == "" {
		delete(v.keys, KeyOf(before.Router, before.Incarnation))
		v.keys[KeyOf(m.entry.Router, m.entry.Incarnation)] = m
	}
	v.noteDomain(m)
	m.heard = now
	m.order = v.cfg.Rand.Uint32()
	if status {
		m.statusSent = 0
	}
	if content && compareNews(before, m.entry) {
		m.contentSent = 0
	}
	return e.Revision > before.Revision || e.Revision == before.Revision && e.Manifest != "" && before.Manifest == ""
}

// compareNews reports whether the content differs in more than its number.
func compareNews(a, b Entry) bool {
	a.ContentVersion, b.ContentVersion = 0, 0
	return a.Incarnation != b.Incarnation || compareContent(a, b) != 0
}

// RecordContact records that a router answered a message of this one.
func (v *View) RecordContact(now time.Time, router string) {
	if m := v.members[router]; m != nil {
		m.heard, m.direct = now, now
	}
}

// SetVMList takes the platform's VM list.
func (v *View) SetVMList(now time.Time, list []ListedVM) {
	named := make(map[string]bool, len(list))
	for _, vm := range list {
		named[vm.Router] = true
		m := v.members[vm.Router]
		if m == nil {
			m = &member{entry: Entry{Router: vm.Router}}
			v.members[vm.Router] = m
		}
		m.setListed(now, true)
		m.listLeaving, m.listAddress, m.listDomain = vm.Leaving, vm.Address, vm.Domain
		v.noteDomain(m)
	}
	for id, m := range v.members {
		if !named[id] {
			m.setListed(now, false)
		}
		if m != v.self && !m.listed && now.Sub(later(m.heard, m.listChanged)) > v.cfg.ForgetAfter {
			delete(v.keys, KeyOf(id, m.entry.Incarnation))
			delete(v.members, id)
		}
	}
}

// noteDomain counts the other domains.
func (v *View) noteDomain(m *member) {
	if d := m.domain(); d != "" && d != v.self.entry.Domain {
		v.remote[d] = true
	}
}

func (m *member) setListed(now time.Time, listed bool) {
	if m.listed != listed || m.listChanged.IsZero() {
		m.listed, m.listChanged = listed, now
	}
}

// State returns the state of a router; unknown routers are gone.
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
		others := time.Duration(max(1, len(v.remote)))
		suspect, gone = others*v.cfg.RemoteSuspectAfter, others*v.cfg.RemoteGoneAfter
	}
	silent := now.Sub(m.heard)
	if m == v.self {
		silent = 0
	}
	if m.heard.IsZero() {
		// Known from the list only: contacted, but given no role yet.
		silent = max(suspect, now.Sub(m.listChanged))
	}
	switch {
	case silent >= gone:
		return Gone
	case m.entry.Leaving || m.listLeaving:
		return Leaving
	case silent >= suspect:
		return Suspect
	}
	return Live
}

// Members returns all routers, this one included, sorted by ID.
func (v *View) Members(now time.Time) []Member {
	list := make([]Member, 0, len(v.members))
	for _, m := range v.members {
		list = append(list, v.export(now, m))
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
	return v.export(now, m), true
}

func (v *View) export(now time.Time, m *member) Member {
	e := m.entry
	e.Address, e.Domain, e.Pools = m.address(), m.domain(), e.loaded()
	return Member{Entry: e, State: v.state(now, m), LastHeard: m.heard, Listed: m.listed, ListChanged: m.listChanged}
}

// SilentFor returns how long nothing has been heard of a router; of one that was
// never heard, since this view exists.
func (v *View) SilentFor(now time.Time, router string) time.Duration {
	m := v.members[router]
	if m == nil || m.heard.IsZero() {
		return now.Sub(v.created)
	}
	return now.Sub(m.heard)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
