package orders

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/orders"
)

// target is a worker that is reconciled in a round. The last three fields are set
// by fetchReport.
type target struct {
	id            workerID
	state         *upstreamState
	desired       []string
	draining      bool
	checksFencing bool

	requestedAt time.Time
	report      core.LoadReport
	hasReport   bool
}

// plannedOrder is an order to be sent in a round.
type plannedOrder struct {
	target
	order     orders.Order
	rateToken orders.RateToken // for load orders only
}

// reconcileRound compares the models of some workers with the desired ones and
// sends the orders that make up the difference. It returns when the orders have
// ended.
func (m *Manager) reconcileRound(ctx context.Context) {
	done, ok := beginRound(ctx, m.reconcileRoundSem)
	if !ok {
		return
	}
	defer done()
	targets := m.nextTargets()
	inParallel(targets, func(t *target) { m.fetchReport(ctx, t) })
	planned := m.planOrders(targets)
	if loads := countLoads(planned); loads > 0 {
		m.reserveRateTokens(ctx, loads)
	}
	planned = m.startOrders(planned)
	inParallel(planned, func(p *plannedOrder) { m.sendOrder(ctx, p) })
}

func inParallel[T any](all []T, do func(*T)) {
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() { do(&all[i]) })
	}
	wg.Wait()
}

// nextTargets returns the next workers of the upstreams whose lease this router
// holds, in a round-robin over all their workers. Settings.Reports limits their
// number, so that a large upstream causes no more requests for load reports per
// second than a small one.
func (m *Manager) nextTargets() []target {
	revision := m.config.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision == nil || m.stopping {
		return nil
	}
	var all []target
	for name, state := range m.upstreams {
		u := revision.Set.Upstreams[name]
		if u == nil || !u.ManageModels || !state.lease.MayAct(m.now(), m.settings.OrderTimeout) {
			continue
		}
		configured := map[string]bool{}
		for _, w := range u.Workers {
			configured[w.ID] = true
			all = append(all, target{id: workerID{name, w.ID}, state: state, desired: u.Models, draining: u.IsDraining(w.ID), checksFencing: u.ChecksFencing})
		}
		state.planner.Retain(func(worker string) bool { return configured[worker] })
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b target) int { return a.id.compare(b.id) })
	first, found := slices.BinarySearchFunc(all, m.cursor, func(t target, id workerID) int { return t.id.compare(id) })
	if found {
		first++
	}
	all = slices.Concat(all[first:], all[:first])
	all = all[:min(len(all), m.settings.Reports)]
	m.cursor = all[len(all)-1].id
	return all
}

// fetchReport requests the load report of a worker.
func (m *Manager) fetchReport(ctx context.Context, t *target) {
	t.requestedAt = m.now()
	report, err := m.probe.Load(ctx, t.id.upstream, t.id.worker)
	if err != nil {
		m.scope.Counter("reports_failed").Inc(1)
		return
	}
	t.report, t.hasReport = report, true
}

// planOrders returns the orders that the workers need according to their
// reports.
func (m *Manager) planOrders(targets []target) []plannedOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	var planned []plannedOrder
	now := m.now()
	for _, t := range targets {
		if !t.hasReport {
			continue
		}
		if t.checksFencing && t.report.FencingToken > t.state.planner.FencingToken() {
			m.recordNewerFencingToken(&t)
		}
		r := orders.Report{Models: t.report.Models, FencingToken: t.report.FencingToken, Leaving: t.report.Leaving || t.draining, RequestedAt: t.requestedAt}
		if !t.checksFencing {
			r.FencingToken = 0 // an engine that does not check fencing tokens may report any
		}
		if o, ok := t.state.planner.Next(now, t.id.worker, t.desired, r); ok {
			planned = append(planned, plannedOrder{target: t, order: o})
		}
	}
	return planned
}

// recordNewerFencingToken counts a worker that has seen a newer fencing token
// than this router's. It logs the first such worker for each fencing token of
// this router. The caller holds mu.
func (m *Manager) recordNewerFencingToken(t *target) {
	m.scope.Counter("superseded").Inc(1)
	if t.state.warnedFencingToken == t.state.planner.FencingToken() {
		return
	}
	t.state.warnedFencingToken = t.state.planner.FencingToken()
	m.log.Warn("worker has seen a newer fencing token and gets no orders; if this lasts, the row of the lease was lost: restart the worker",
		"upstream", t.id.upstream, "worker", t.id.worker, "fencing_token", t.report.FencingToken)
}

func countLoads(planned []plannedOrder) int {
	n := 0
	for _, p := range planned {
		if p.order.Kind == orders.Load {
			n++
		}
	}
	return n
}

// reserveRateTokens tries to reserve a rate token for each load order.
func (m *Manager) reserveRateTokens(ctx context.Context, loads int) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.CallTimeout)
	defer cancel()
	if err := m.rateLimiter.Reserve(ctx, m.table, loads, m.settings.OrderTimeout); err != nil {
		m.scope.Counter("reserves_failed").Inc(1)
		m.log.Debug("rate tokens not reserved", "err", err)
	}
}

// startOrders marks the orders that may be sent now as in flight and returns
// them. A load order without a rate token waits for a later round.
func (m *Manager) startOrders(planned []plannedOrder) []plannedOrder {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var started []plannedOrder
	for _, p := range planned {
		if !m.leaseCoversOrder(p.state, p.order, now) {
			continue
		}
		if p.order.Kind == orders.Load {
			token, ok := m.rateLimiter.Take(now, m.settings.OrderTimeout)
			if !ok {
				m.scope.Counter("loads_delayed").Inc(1)
				continue
			}
			p.rateToken = token
		}
		p.state.planner.Begin(p.id.worker)
		started = append(started, p)
	}
	return started
}

// leaseCoversOrder reports whether an order may be sent now: the lease under
// which it was decided is still held and does not end before the order's timeout.
// The caller holds mu.
func (m *Manager) leaseCoversOrder(state *upstreamState, o orders.Order, now time.Time) bool {
	return !m.stopping && state.lease.MayAct(now, m.settings.OrderTimeout) && state.lease.Token() == o.FencingToken
}

// maySend is called immediately before the first byte of an order is sent and
// checks again whether the order may be sent.
func (m *Manager) maySend(p *plannedOrder) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if p.order.Kind == orders.Load && !p.rateToken.Usable(now, m.settings.OrderTimeout) {
		return false
	}
	return m.leaseCoversOrder(p.state, p.order, now)
}

// sendOrder sends one order. The order's deadline is set before the lease is
// checked, so the order ends before the lease does.
func (m *Manager) sendOrder(ctx context.Context, p *plannedOrder) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.OrderTimeout)
	defer cancel()
	_, err := m.client.SendOrder(ctx, core.Order{
		Upstream: p.id.upstream, Worker: p.id.worker, Order: string(p.order.Kind), Model: p.order.Model,
		FencingToken: p.order.FencingToken, Allowed: func() bool { return m.maySend(p) },
	})
	result, name := orderResult(err)
	m.scope.Tagged(map[string]string{"order": string(p.order.Kind), "outcome": name}).Counter("sent").Inc(1)
	if result == orders.Accepted {
		m.log.Info("order accepted", "order", p.order.Kind, "model", p.order.Model, "upstream", p.id.upstream, "worker", p.id.worker, "fencing_token", p.order.FencingToken)
	} else {
		m.log.Warn("order failed", "order", p.order.Kind, "model", p.order.Model, "upstream", p.id.upstream, "worker", p.id.worker, "outcome", name, "err", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p.state.planner.Finish(m.now(), p.id.worker, p.order, result)
}

// orderResult maps the error of SendOrder to a result and its name in metrics.
func orderResult(err error) (orders.Result, string) {
	var e *core.AttemptError
	switch {
	case err == nil:
		return orders.Accepted, "accepted"
	case errors.As(err, &e) && e.Status == http.StatusConflict:
		return orders.Failed, "old_token"
	case errors.As(err, &e) && e.Outcome == core.OutcomeNotRun && e.Status == 0:
		return orders.NotSent, "not_sent"
	}
	return orders.Failed, "failed"
}
