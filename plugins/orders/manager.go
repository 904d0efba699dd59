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

// Manager takes part in the order leases of the managed upstreams and acts for
// those that it holds.
type Manager struct {
	s       *Settings
	id      core.Identity
	config  core.Config
	members core.Membership
	table   store.Table
	probe   core.LoadProbe
	sender  core.OrderClient
	rate    *orders.RateLimiter
	now     func() time.Time
	random  func() float64
	scope   tally.Scope
	log     *log.Logger

	// Each holds one value, taken for the length of a turn.
	leasing   chan struct{}
	comparing chan struct{}

	mu       sync.Mutex // level 55
	parts    map[string]*part
	stopping bool
	cursor   workerKey // the worker that was compared last
}

// part is this router's part in one upstream.
type part struct {
	upstream string
	wanted   bool // this router competes for the lease
	lease    *lease.FencedLease
	renewed  time.Time // when the last write was begun
	plan     *orders.Planner
	warned   uint64 // own token under which a newer one was logged
}

type workerKey struct{ upstream, worker string }

func (k workerKey) compare(o workerKey) int {
	return slices.Compare([]string{k.upstream, k.worker}, []string{o.upstream, o.worker})
}

func newManager(p Params, table store.Table, now func() time.Time, random func() float64) *Manager {
	m := &Manager{
		s: p.Settings, id: p.Identity, config: p.Config, members: p.Members, table: table,
		probe: p.Probe, sender: p.Orders, now: now, random: random,
		scope: p.Scope.SubScope("orders"), log: p.Logger.WithPrefix("orders"),
		leasing: make(chan struct{}, 1), comparing: make(chan struct{}, 1),
		parts: map[string]*part{},
	}
	m.rate = orders.NewRateLimiter(orders.RateLimiterConfig{
		Owner:     fmt.Sprintf("%s/%d", p.Identity.Router, p.Identity.Incarnation),
		PerWindow: p.Settings.WeightLoadsPerMinute,
		UseWithin: 5 * p.Settings.OrderTimeout,
		Now:       now,
	})
	return m
}

func (m *Manager) newPart(upstream string) *part {
	cfg := lease.Config{Duration: m.s.LeaseTime, Margin: m.s.LeaseMargin}
	return &part{
		upstream: upstream,
		lease:    lease.NewFenced(cfg, m.id.Router, m.id.Incarnation),
		plan: orders.NewPlanner(orders.PlannerConfig{
			EffectTimeout: m.s.LoadPatience,
			Backoff:       retry.Backoff{Base: m.s.BackoffBase, Max: m.s.BackoffMax},
			Random:        m.random,
		}),
	}
}

// sync brings the parts in line with the configuration in force.
func (m *Manager) sync() {
	var members []core.Member
	if m.members != nil {
		members = m.members.Members()
	}
	revision := m.config.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.parts {
		p.wanted = false
	}
	if revision != nil && !m.stopping {
		for _, u := range revision.Set.Upstreams {
			if u.ManageModels {
				m.join(u, m.competes(u, members, m.now()))
			}
		}
	}
	maps.DeleteFunc(m.parts, func(_ string, p *part) bool { return !p.wanted && p.idle(m.id.Router) })
}

// join has this router take part in an upstream when it is a candidate, and go
// on when it holds the lease already. The caller holds mu.
func (m *Manager) join(u *objects.Upstream, candidate bool) {
	p := m.parts[u.Name]
	if p == nil && !candidate {
		return
	}
	if p == nil {
		p = m.newPart(u.Name)
		m.parts[u.Name] = p
	}
	p.wanted = candidate || near(u, m.id.FailureDomain) && p.lease.MayAct(m.now(), 0)
}

// idle reports whether nothing is left to do for a part that is not wanted.
func (p *part) idle(router string) bool {
	r, known := p.lease.Record()
	return (!known || !p.lease.NeedsRead()) && r.Holder != router && p.plan.InFlight() == 0
}

// candidatePeriod is how long the same routers are candidates. Others take
// their turn then, in case none of the present ones reaches the platform. It
// leaves room for a contender to see a lease of the default time expire.
const candidatePeriod = time.Minute

// near reports whether a failure domain has a worker of the upstream.
func near(u *objects.Upstream, domain string) bool {
	return slices.ContainsFunc(u.Workers, func(w objects.Worker) bool { return w.FailureDomain == domain })
}

// competes reports whether this router is one of the candidates for the lease
// of an upstream: the best by rendezvous of the live routers that have one of
// its workers in their failure domain. The choice only saves reads of the row;
// a router with another view or clock does no harm.
func (m *Manager) competes(u *objects.Upstream, members []core.Member, now time.Time) bool {
	if !near(u, m.id.FailureDomain) {
		return false
	}
	period := now.UTC().Truncate(candidatePeriod).String()
	own := placement.Hash(u.Name, period, m.id.Router)
	better := 0
	for _, o := range members {
		if o.State == "live" && o.Router != m.id.Router && near(u, o.FailureDomain) && placement.Hash(u.Name, period, o.Router) > own {
			better++
		}
	}
	return better < m.s.Candidates
}

// stop ends the sending of orders and releases the leases, so that another
// router need not wait for their expiry.
func (m *Manager) stop(ctx context.Context) error {
	m.mu.Lock()
	m.stopping = true
	m.mu.Unlock()
	for range releaseTries {
		m.compareTurn(ctx) // waits for the orders in flight
		m.leaseTurn(ctx)
		m.mu.Lock()
		left := len(m.parts)
		m.mu.Unlock()
		if left == 0 || ctx.Err() != nil {
			break
		}
	}
	return nil // a lease that could not be released expires
}

// releaseTries bounds the rounds in which a stopping router releases leases:
// one may find a renewal pending, one writes, one reads back a lost reply.
const releaseTries = 4

// holdTurn waits for the right to run a turn; done ends it.
func holdTurn(ctx context.Context, turn chan struct{}) (done func(), ok bool) {
	select {
	case turn <- struct{}{}:
		return func() { <-turn }, true
	case <-ctx.Done():
		return nil, false
	}
}
