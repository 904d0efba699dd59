package orders

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/orders"
	"github.com/auburnlead/auburnlead/placement"
	"github.com/auburnlead/auburnlead/retry"
	"github.com/auburnlead/auburnlead/store"
)

// Manager competes for the order leases of the managed upstreams and sends
// orders to the workers of those upstreams whose lease it holds.
type Manager struct {
	settings    *Settings
	id          core.Identity
	config      core.Config
	members     core.Membership
	table       store.Table
	probe       core.LoadProbe
	client      core.OrderClient
	rateLimiter *orders.RateLimiter
	now         func() time.Time
	random      func() float64
	scope       tally.Scope
	log         *log.Logger

	// Semaphores that let one round of each kind run at a time.
	leaseRoundSem     chan struct{}
	reconcileRoundSem chan struct{}

	mu        sync.Mutex // lock level 55, see internal/core/lockorder.go
	upstreams map[string]*upstreamState
	stopping  bool
	cursor    workerID // the worker that was reconciled last
}

// upstreamState is the state of one managed upstream in this router.
type upstreamState struct {
	name               string
	wantLease          bool // this router competes for the lease or keeps it
	lease              *lease.FencedLease
	lastWrite          time.Time // start of the last acquisition or renewal
	planner            *orders.Planner
	warnedFencingToken uint64 // this router's fencing token when a newer one was last logged
}

type workerID struct{ upstream, worker string }

func (id workerID) compare(other workerID) int {
	return slices.Compare([]string{id.upstream, id.worker}, []string{other.upstream, other.worker})
}

func newManager(p Params, table store.Table, now func() time.Time, random func() float64) *Manager {
	m := &Manager{
		settings: p.Settings, id: p.Identity, config: p.Config, members: p.Members, table: table,
		probe: p.Probe, client: p.Orders, now: now, random: random,
		scope: p.Scope.SubScope("orders"), log: p.Logger.WithPrefix("orders"),
		leaseRoundSem: make(chan struct{}, 1), reconcileRoundSem: make(chan struct{}, 1),
		upstreams: map[string]*upstreamState{},
	}
	m.rateLimiter = orders.NewRateLimiter(orders.RateLimiterConfig{
		Owner:     fmt.Sprintf("%s/%d", p.Identity.Router, p.Identity.Incarnation),
		PerWindow: p.Settings.WeightLoadsPerMinute,
		UseWithin: 5 * p.Settings.OrderTimeout,
		Now:       now,
	})
	return m
}

func (m *Manager) newUpstreamState(upstream string) *upstreamState {
	cfg := lease.Config{Duration: m.settings.LeaseTime, Margin: m.settings.LeaseMargin}
	return &upstreamState{
		name:  upstream,
		lease: lease.NewFenced(cfg, m.id.Router, m.id.Incarnation),
		planner: orders.NewPlanner(orders.PlannerConfig{
			EffectTimeout: m.settings.LoadPatience,
			Backoff:       retry.Backoff{Base: m.settings.BackoffBase, Max: m.settings.BackoffMax},
			Random:        m.random,
		}),
	}
}

// syncUpstreams updates the upstream states from the active configuration and
// removes those that are no longer needed.
func (m *Manager) syncUpstreams() {
	var members []core.Member
	if m.members != nil {
		members = m.members.Members()
	}
	revision := m.config.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, state := range m.upstreams {
		state.wantLease = false
	}
	if revision != nil && !m.stopping {
		for _, u := range revision.Set.Upstreams {
			if u.ManageModels {
				m.updateCandidacy(u, m.isCandidate(u, members, m.now()))
			}
		}
	}
	maps.DeleteFunc(m.upstreams, func(_ string, state *upstreamState) bool { return !state.wantLease && state.removable(m.id.Router) })
}

// updateCandidacy makes this router compete for the lease of an upstream if it
// is a candidate, and keep the lease if it holds it already. The caller holds
// mu.
func (m *Manager) updateCandidacy(u *objects.Upstream, candidate bool) {
	state := m.upstreams[u.Name]
	if state == nil && !candidate {
		return
	}
	if state == nil {
		state = m.newUpstreamState(u.Name)
		m.upstreams[u.Name] = state
	}
	state.wantLease = candidate || hasWorkerIn(u, m.id.FailureDomain) && state.lease.MayAct(m.now(), 0)
}

// removable reports whether nothing is left to do for an upstream whose lease
// this router does not want: it does not hold the lease and no order is in
// flight.
func (s *upstreamState) removable(router string) bool {
	r, known := s.lease.Record()
	return (!known || !s.lease.NeedsRead()) && r.Holder != router && s.planner.InFlight() == 0
}

// candidatePeriod is how long the same routers are candidates. Then others are
// chosen, because it is possible that none of the current ones reaches the
// platform. The period is long enough for a candidate to see a lease of the
// default duration expire.
const candidatePeriod = time.Minute

// hasWorkerIn reports whether a failure domain has a worker of the upstream.
func hasWorkerIn(u *objects.Upstream, domain string) bool {
	return slices.ContainsFunc(u.Workers, func(w objects.Worker) bool { return w.FailureDomain == domain })
}

// isCandidate reports whether this router is a candidate for the lease of an
// upstream. The candidates are chosen by rendezvous hashing among the live
// routers that have a worker of the upstream in their failure domain. Choosing
// candidates only saves reads of the row; a router with a different view of the
// members or a different clock does not cause errors.
func (m *Manager) isCandidate(u *objects.Upstream, members []core.Member, now time.Time) bool {
	if !hasWorkerIn(u, m.id.FailureDomain) {
		return false
	}
	period := now.UTC().Truncate(candidatePeriod).String()
	own := placement.Hash(u.Name, period, m.id.Router)
	higher := 0
	for _, o := range members {
		if o.State == "live" && o.Router != m.id.Router && hasWorkerIn(u, o.FailureDomain) && placement.Hash(u.Name, period, o.Router) > own {
			higher++
		}
	}
	return higher < m.settings.Candidates
}

// stop stops sending orders and releases the leases, so that another router does
// not have to wait until they expire.
func (m *Manager) stop(ctx context.Context) error {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	for range maxReleaseRounds {
		m.reconcileRound(ctx) // waits for the orders in flight
		m.leaseRound(ctx)
		m.mu.Lock()
		left := len(m.upstreams)
		m.mu.Unlock()
		if left == 0 || ctx.Err() != nil {
			break
		}
	}
	return nil // a lease that was not released will expire
}

// maxReleaseRounds limits the rounds in which a router that is shutting down
// releases leases. One round may be needed to finish a pending renewal, one to
// write the release and one to read the row if the reply was lost.
const maxReleaseRounds = 4

// beginRound acquires the semaphore of a round; done releases it.
func beginRound(ctx context.Context, sem chan struct{}) (done func(), ok bool) {
	select {
	case sem <- struct{}{}:
		return func() { <-sem }, true
	case <-ctx.Done():
		return nil, false
	}
}
