package replica

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eraFleet is a fleet whose routers know what the others hold, and the store before
// them. It records the rules that a router breaks.
type eraFleet struct {
	store   *eraStore
	domains int

	mu          sync.Mutex
	routers     []*eraRouter
	statuses    map[int]*groupStatus
	written     map[string]string // what the operator and the workers have written
	unrepeated  map[string]bool   // rows that are not written again after a return
	disturbedAt time.Time
	faults      []string
}

// groupStatus is what the routers of a group know of the table.
type groupStatus struct {
	TableStatus
	peers []*eraRouter // those that have reached Position
	at    time.Time
}

// eraRouter is a router of an eraFleet. It implements Peers.
type eraRouter struct {
	*Follower
	fleet     *eraFleet
	id        int
	stop      context.CancelFunc
	startedAt time.Time

	// The fields below are guarded by the mutex of the fleet.
	dead      bool
	group     int  // only routers of the same group reach each other
	cutOff    bool // the store cannot be reached
	values    map[string]string
	first     map[string]string // the first value of each row that was in force
	withdrawn map[string]bool   // workers that were not ready any more
}

const (
	settleTime     = 1200 * time.Millisecond // a started router does not read the store before
	smallFleet     = 16                      // all routers of a smaller fleet read the store
	applyWithin    = 2 * time.Second
	contactTime    = 3 * time.Second
	convergeWithin = applyWithin + contactTime
)

// newEraFleet starts a fleet and waits until it has a desired state and a worker.
func newEraFleet(ctx context.Context, routers int) *eraFleet {
	f := &eraFleet{store: newEraStore(), domains: max(5, routers/22), statuses: map[int]*groupStatus{}, written: map[string]string{}, unrepeated: map[string]bool{}}
	f.write(desiredKey, "1")
	f.write("w", "ready")
	for range routers {
		f.start(ctx)
	}
	advanceTime(contactTime)
	return f
}

// start starts another router.
func (f *eraFleet) start(ctx context.Context) *eraRouter {
	ctx, stop := context.WithCancel(ctx)
	r := &eraRouter{fleet: f, id: len(f.routers), stop: stop, startedAt: time.Now(), values: map[string]string{}, first: map[string]string{}, withdrawn: map[string]bool{}}
	r.Follower = &Follower{
		Table: "t", Store: routerStore{r}, Peers: r, Copy: NewCopy(),
		Config: Config{PollWait: 3500 * time.Millisecond, Timeout: 800 * time.Millisecond, BatchDelay: time.Second, PollWaitForOthers: time.Second, BatchDelayForOthers: 200 * time.Millisecond, StaleAfter: 1800 * time.Millisecond},
		Events: Events{Changed: func(rows []Row, _ int64) { r.changed(rows) }, Restored: func(Restoration) {}, SourcesLost: func(error) {}, SourcesRecovered: func() {}, Warning: func(string, error) {}},
	}
	r.Copy.Carry = carryRow
	f.disturb(func() { f.routers = append(f.routers, r) })
	go r.Run(ctx)
	return r
}

// disturb changes the fleet or its connections.
func (f *eraFleet) disturb(fn func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fn()
	f.disturbedAt = time.Now()
}

func (f *eraFleet) kill(r *eraRouter) {
	f.disturb(func() { r.dead = true })
	r.stop()
}

func (f *eraFleet) silence(silent bool) {
	f.disturb(func() {})
	f.store.update(func() { f.store.silent = silent })
}

// restore lets the store be away for a while and return from the copy of a version.
func (f *eraFleet) restore(version int64, away time.Duration) {
	f.silence(true)
	advanceTime(away)
	f.store.restore(version)
	f.silence(false)
}

// writeAgain lets the operator and the workers write what the store lacks.
func (f *eraFleet) writeAgain() {
	stored := f.store.values()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(f.written)) {
		if value := f.written[key]; stored[key] != value && !f.unrepeated[key] {
			f.store.write(key, value)
		}
	}
}

// write lets the operator or a worker write a value; an empty one removes the row.
// A desired state has to be in force in time, unless the fleet is disturbed.
func (f *eraFleet) write(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.written[key] = value
	f.store.write(key, value)
	now := time.Now()
	if key != desiredKey || now.Sub(f.disturbedAt) < contactTime {
		return
	}
	time.AfterFunc(applyWithin, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.disturbedAt.After(now) {
			return
		}
		if late := f.count(func(r *eraRouter) bool { return revision(r.values[desiredKey]) < revision(value) }); late > 0 {
			f.faults = append(f.faults, fmt.Sprintf("%d routers lack revision %s %v after its confirmation", late, value, applyWithin))
		}
	})
}

// change lets the operator write the next revision.
func (f *eraFleet) change() {
	f.write(desiredKey, strconv.Itoa(revision(f.written[desiredKey])+1))
}

// count returns the live routers of the fleet for which a condition holds. The caller
// holds mu.
func (f *eraFleet) count(condition func(*eraRouter) bool) int {
	n := 0
	for _, r := range f.routers {
		if !r.dead && r.group == 0 && condition(r) {
			n++
		}
	}
	return n
}

// without counts the live routers that do not hold a value.
func (f *eraFleet) without(key, value string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count(func(r *eraRouter) bool { return r.values[key] != value })
}

// differing counts the live routers that do not hold what the store holds.
func (f *eraFleet) differing() int {
	stored := f.store.values()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count(func(r *eraRouter) bool { return !maps.Equal(r.values, stored) })
}

// broken returns the rules that were broken, shortened.
func (f *eraFleet) broken() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) > 3 {
		return strings.Join(f.faults[:3], "; ") + fmt.Sprintf("; %d in all", len(f.faults))
	}
	return strings.Join(f.faults, "; ")
}

// changed checks and records rows that are in force at a router.
func (r *eraRouter) changed(rows []Row) {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, row := range rows {
		old, value := r.values[row.Key], string(row.Value)
		if row.Removed {
			value = ""
		}
		fault := ""
		switch {
		case row.Key == desiredKey && revision(value) < revision(old):
			fault = "the desired state went back"
		case row.Key != desiredKey && value == "ready" && r.withdrawn[row.Key]:
			fault = "a withdrawn worker was taken back"
		case row.Removed && f.written[row.Key] == "ready" && old == "ready" && !f.unrepeated[row.Key]:
			fault = "a worker was dropped that registers again"
		}
		if fault != "" {
			f.faults = append(f.faults, fmt.Sprintf("router %d: %s (%s: %q after %q)", r.id, fault, row.Key, value, old))
		}
		if r.values[row.Key] = value; row.Removed {
			delete(r.values, row.Key)
		}
		if _, known := r.first[row.Key]; !known {
			r.first[row.Key] = value
		}
		r.withdrawn[row.Key] = row.Removed || value == "draining"
	}
}

// members returns the live routers of this router's group, with itself. The caller holds
// the fleet's mutex.
func (r *eraRouter) members() []*eraRouter {
	return slices.DeleteFunc(slices.Clone(r.fleet.routers), func(other *eraRouter) bool { return other.dead || other.group != r.group })
}

func (r *eraRouter) RouterCount() int {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	return len(r.members())
}

func (r *eraRouter) ReadsForOthers() bool           { return r.RouterCount() >= smallFleet }
func (r *eraRouter) StatusChanged() <-chan struct{} { return nil }
func (r *eraRouter) AnnounceChange()                {}

func (r *eraRouter) ReadsStore() bool {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	if r.dead || time.Since(r.startedAt) < settleTime {
		return false
	}
	members := r.members()
	leader := slices.IndexFunc(members, func(other *eraRouter) bool { return other.id%r.fleet.domains == r.id%r.fleet.domains })
	return len(members) < smallFleet || members[leader] == r
}

// TableStatus keeps the newest position that was ever known to the group, as gossip
// does.
func (r *eraRouter) TableStatus(string) TableStatus {
	f := r.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.statuses[r.group]
	if s == nil {
		s = &groupStatus{}
		f.statuses[r.group] = s
	}
	if time.Since(s.at) >= statusPeriod {
		s.at, s.Age, s.peers = time.Now(), time.Hour, nil
		for _, other := range r.members() {
			position := other.Copy.Position()
			if s.Position.Before(position) {
				s.Position, s.peers = position, nil
			}
			if position == s.Position {
				s.peers = append(s.peers, other)
			}
			if contact := other.Copy.LastContact(); !contact.IsZero() {
				s.Age = min(s.Age, time.Since(contact)+gossipDelay)
			}
		}
	}
	status := s.TableStatus
	status.Peer = peerRouter{r, &eraRouter{dead: true}}
	if len(s.peers) > 0 {
		status.Peer = peerRouter{r, s.peers[rand.IntN(len(s.peers))]}
	}
	return status
}

func (r *eraRouter) AnyPeer() Source {
	r.fleet.mu.Lock()
	defer r.fleet.mu.Unlock()
	others := slices.DeleteFunc(r.members(), func(other *eraRouter) bool { return other == r })
	if len(others) == 0 {
		return nil
	}
	return peerRouter{r, others[rand.IntN(len(others))]}
}
