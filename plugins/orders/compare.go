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

// target is a worker to be compared in a round.
type target struct {
	key      workerKey
	part     *part
	wanted   []string
	draining bool
	checks   bool

	asked    time.Time
	report   core.LoadReport
	answered bool
}

// step is an order that a round sends.
type step struct {
	target
	order orders.Order
	token orders.RateToken // of the rate limit, for loads
}

// compareTurn compares some workers with the wanted state and sends the orders
// that follow. It returns when they have ended.
func (m *Manager) compareTurn(ctx context.Context) {
	done, ok := holdTurn(ctx, m.comparing)
	if !ok {
		return
	}
	defer done()
	targets := m.choose()
	inParallel(targets, func(t *target) { m.ask(ctx, t) })
	steps := m.decide(targets)
	if loads := countLoads(steps); loads > 0 {
		m.reserve(ctx, loads)
	}
	steps = m.begin(steps)
	inParallel(steps, func(s *step) { m.send(ctx, s) })
}

func inParallel[T any](all []T, do func(*T)) {
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() { do(&all[i]) })
	}
	wg.Wait()
}

// choose returns the next workers of the upstreams whose lease is held, in
// turn, so that a large pool costs no more reports a second than a small one.
func (m *Manager) choose() []target {
	revision := m.config.Current()
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision == nil || m.stopping {
		return nil
	}
	var all []target
	for name, p := range m.parts {
		u := revision.Set.Upstreams[name]
		if u == nil || !u.ManageModels || !p.lease.MayAct(m.now(), m.s.OrderTimeout) {
			continue
		}
		here := map[string]bool{}
		for _, w := range u.Workers {
			here[w.ID] = true
			all = append(all, target{key: workerKey{name, w.ID}, part: p, wanted: u.Models, draining: u.IsDraining(w.ID), checks: u.ChecksFencing})
		}
		p.plan.Retain(func(worker string) bool { return here[worker] })
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b target) int { return a.key.compare(b.key) })
	first, found := slices.BinarySearchFunc(all, m.cursor, func(t target, k workerKey) int { return t.key.compare(k) })
	if found {
		first++
	}
	all = slices.Concat(all[first:], all[:first])
	all = all[:min(len(all), m.s.Reports)]
	m.cursor = all[len(all)-1].key
	return all
}

// ask reads the load report of a worker.
func (m *Manager) ask(ctx context.Context, t *target) {
	t.asked = m.now()
	report, err := m.probe.Load(ctx, t.key.upstream, t.key.worker)
	if err != nil {
		m.scope.Counter("reports_failed").Inc(1)
		return
	}
	t.report, t.answered = report, true
}

// decide returns the orders that the reports call for.
func (m *Manager) decide(targets []target) []step {
	m.mu.Lock()
	defer m.mu.Unlock()
	var steps []step
	now := m.now()
	for _, t := range targets {
		if !t.answered {
			continue
		}
		if t.checks && t.report.FencingToken > t.part.plan.FencingToken() {
			m.superseded(&t)
		}
		r := orders.Report{Models: t.report.Models, FencingToken: t.report.FencingToken, Leaving: t.report.Leaving || t.draining, RequestedAt: t.asked}
		if !t.checks {
			r.FencingToken = 0 // such an engine's token carries no promise
		}
		if o, ok := t.part.plan.Next(now, t.key.worker, t.wanted, r); ok {
			steps = append(steps, step{target: t, order: o})
		}
	}
	return steps
}

// superseded counts a worker that has seen a newer fencing token, and logs the
// first one under each token. The caller holds mu.
func (m *Manager) superseded(t *target) {
	m.scope.Counter("superseded").Inc(1)
	if t.part.warned == t.part.plan.FencingToken() {
		return
	}
	t.part.warned = t.part.plan.FencingToken()
	m.log.Warn("worker has seen a newer fencing token and gets no orders; if this lasts, the row of the lease was lost: restart the worker",
		"upstream", t.key.upstream, "worker", t.key.worker, "fencing_token", t.report.FencingToken)
}

func countLoads(steps []step) int {
	n := 0
	for _, s := range steps {
		if s.order.Kind == orders.Load {
			n++
		}
	}
	return n
}

// reserve tries to have a rate-limit token for each load.
func (m *Manager) reserve(ctx context.Context, loads int) {
	ctx, cancel := context.WithTimeout(ctx, m.s.CallTimeout)
	defer cancel()
	if err := m.rate.Reserve(ctx, m.table, loads, m.s.OrderTimeout); err != nil {
		m.scope.Counter("reserves_failed").Inc(1)
		m.log.Debug("rate-limit tokens not reserved", "err", err)
	}
}

// begin marks the orders that may be sent now as in flight. A load without a
// rate-limit token waits for a later round.
func (m *Manager) begin(steps []step) []step {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	var begun []step
	for _, s := range steps {
		if !m.mayAct(s.part, s.order, now) {
			continue
		}
		if s.order.Kind == orders.Load {
			token, ok := m.rate.Take(now, m.s.OrderTimeout)
			if !ok {
				m.scope.Counter("loads_delayed").Inc(1)
				continue
			}
			s.token = token
		}
		s.part.plan.Begin(s.key.worker)
		begun = append(begun, s)
	}
	return begun
}

// mayAct reports whether an order of the plan may be sent now: the rest of the
// lease under which it was decided covers its timeout. The caller holds mu.
func (m *Manager) mayAct(p *part, o orders.Order, now time.Time) bool {
	return !m.stopping && p.lease.MayAct(now, m.s.OrderTimeout) && p.lease.Token() == o.FencingToken
}

// allowed is asked immediately before the bytes of an order go out.
func (m *Manager) allowed(s *step) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if s.order.Kind == orders.Load && !s.token.Usable(now, m.s.OrderTimeout) {
		return false
	}
	return m.mayAct(s.part, s.order, now)
}

// send sends one order. Its deadline is set before the lease is checked, so it
// ends before the lease does.
func (m *Manager) send(ctx context.Context, s *step) {
	ctx, cancel := context.WithTimeout(ctx, m.s.OrderTimeout)
	defer cancel()
	_, err := m.sender.SendOrder(ctx, core.Order{
		Upstream: s.key.upstream, Worker: s.key.worker, Order: string(s.order.Kind), Model: s.order.Model,
		FencingToken: s.order.FencingToken, Allowed: func() bool { return m.allowed(s) },
	})
	result, name := resultOf(err)
	m.scope.Tagged(map[string]string{"order": string(s.order.Kind), "outcome": name}).Counter("sent").Inc(1)
	if result == orders.Accepted {
		m.log.Info("order accepted", "order", s.order.Kind, "model", s.order.Model, "upstream", s.key.upstream, "worker", s.key.worker, "fencing_token", s.order.FencingToken)
	} else {
		m.log.Warn("order failed", "order", s.order.Kind, "model", s.order.Model, "upstream", s.key.upstream, "worker", s.key.worker, "outcome", name, "err", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s.part.plan.Finish(m.now(), s.key.worker, s.order, result)
}

// resultOf maps an error of SendOrder to a result and its name in metrics.
func resultOf(err error) (orders.Result, string) {
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
