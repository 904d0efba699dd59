package orders

import (
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/retry"
)

// Kind is the action of an order.
type Kind string

// Kinds of orders.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Order tells a worker to load or unload a model.
type Order struct {
	Kind         Kind
	Model        string
	FencingToken uint64 // fencing token of the order lease under which the order was decided
}

// Report is the state that a worker reports.
type Report struct {
	Models       []string
	FencingToken uint64    // highest fencing token that the worker has seen
	Leaving      bool      // the worker is shutting down and gets no orders
	RequestedAt  time.Time // when the request for the report was sent
}

// Result is the result of an order from the sender's point of view.
type Result int

// Results of an order.
const (
	// Accepted: the worker accepted the order. A load may still be running.
	Accepted Result = iota
	// Failed: the worker rejected the order, or its outcome is unknown.
	Failed
	// NotSent: no byte of the order was sent.
	NotSent
)

// PlannerConfig configures a Planner. Zero durations take the defaults.
type PlannerConfig struct {
	// EffectTimeout is how long after its acceptance an order may take until
	// the worker's report shows its effect. After that it counts as failed.
	// Default 2 min.
	EffectTimeout time.Duration
	// Backoff is the delay after a failed order. Default 2 s to 1 min.
	Backoff retry.Backoff
	// Random returns numbers in [0, 1). Required.
	Random func() float64
}

// Planner decides the orders for the workers of one upstream. Only the router that
// holds the upstream's order lease may send orders, so a planner needs the fencing
// token of that lease.
type Planner struct {
	cfg        PlannerConfig
	token      uint64 // 0 while this router does not hold the order lease
	tokenSince time.Time
	workers    map[string]*workerState
}

// workerState is the planner's state of one worker.
type workerState struct {
	inFlight  bool
	lastEnded time.Time // when the last order ended
	pending   map[orderKey]*pendingOrder
}

type orderKey struct {
	kind  Kind
	model string
}

// pendingOrder is the state of an order whose effect no report has shown yet.
type pendingOrder struct {
	failures  int
	accepted  bool      // the order was accepted and has not timed out
	notBefore time.Time // the order is not sent again before this time
}

// NewPlanner returns a planner that decides no orders until SetFencingToken is
// called.
func NewPlanner(cfg PlannerConfig) *Planner {
	if cfg.EffectTimeout == 0 {
		cfg.EffectTimeout = 2 * time.Minute
	}
	if cfg.Backoff.Base == 0 {
		cfg.Backoff = retry.Backoff{Base: 2 * time.Second, Max: time.Minute}
	}
	return &Planner{cfg: cfg, workers: map[string]*workerState{}}
}

// SetFencingToken sets the fencing token under which orders are decided; 0 stops
// decisions. If the token changes, the planner discards everything that it knows
// about workers except which orders are in flight, since the workers may have
// executed orders of another router in the meantime.
func (p *Planner) SetFencingToken(now time.Time, token uint64) {
	if token == p.token {
		return
	}
	p.token, p.tokenSince = token, now
	for id, w := range p.workers {
		w.pending = map[orderKey]*pendingOrder{}
		if !w.inFlight {
			delete(p.workers, id)
		}
	}
}

// FencingToken returns the current fencing token, 0 while no orders are decided.
func (p *Planner) FencingToken() uint64 { return p.token }

// InFlight returns the number of orders in flight.
func (p *Planner) InFlight() int {
	n := 0
	for _, w := range p.workers {
		if w.inFlight {
			n++
		}
	}
	return n
}

// Retain removes the workers for which keep returns false, except those with an
// order in flight.
func (p *Planner) Retain(keep func(worker string) bool) {
	for id, w := range p.workers {
		if !w.inFlight && !keep(id) {
			delete(p.workers, id)
		}
	}
}

// Next returns the order that the worker needs now, if any. Missing models are
// loaded in the sequence of desired. Other models are unloaded once no desired
// model is missing, or after a failed load, since a lack of memory may have
// caused the failure.
func (p *Planner) Next(now time.Time, worker string, desired []string, r Report) (Order, bool) {
	state := p.workerState(worker)
	if p.token == 0 || state.inFlight || r.Leaving || r.FencingToken > p.token {
		return Order{}, false
	}
	if r.RequestedAt.Before(p.tokenSince) || r.RequestedAt.Before(state.lastEnded) {
		return Order{}, false
	}
	state.dropCompleted(desired, r.Models)
	missing, loadFailed := false, false
	for _, model := range desired {
		if slices.Contains(r.Models, model) {
			continue
		}
		missing = true
		due, failures := p.mayTry(now, state, orderKey{Load, model})
		if due {
			return Order{Load, model, p.token}, true
		}
		loadFailed = loadFailed || failures > 0
	}
	if missing && !loadFailed {
		return Order{}, false
	}
	for _, model := range r.Models {
		if slices.Contains(desired, model) {
			continue
		}
		if due, _ := p.mayTry(now, state, orderKey{Unload, model}); due {
			return Order{Unload, model, p.token}, true
		}
	}
	return Order{}, false
}

func (p *Planner) workerState(id string) *workerState {
	w := p.workers[id]
	if w == nil {
		w = &workerState{pending: map[orderKey]*pendingOrder{}}
		p.workers[id] = w
	}
	return w
}

// dropCompleted removes the orders whose effect the report shows or that are no
// longer needed.
func (w *workerState) dropCompleted(desired, reported []string) {
	for key := range w.pending {
		needed := slices.Contains(desired, key.model) != slices.Contains(reported, key.model)
		if !needed || (key.kind == Load) != slices.Contains(desired, key.model) {
			delete(w.pending, key)
		}
	}
}

// mayTry reports whether an order may be sent now, and how often it has failed.
// An accepted order whose effect no report shows after EffectTimeout counts as
// failed.
func (p *Planner) mayTry(now time.Time, w *workerState, key orderKey) (bool, int) {
	pending := w.pending[key]
	if pending == nil {
		return true, 0
	}
	if now.Before(pending.notBefore) {
		return false, pending.failures
	}
	if pending.accepted {
		p.fail(now, pending)
		return false, pending.failures
	}
	return true, pending.failures
}

func (p *Planner) fail(now time.Time, pending *pendingOrder) {
	pending.accepted = false
	pending.notBefore = now.Add(p.cfg.Backoff.Delay(pending.failures, p.cfg.Random()))
	pending.failures++
}

// Begin records that an order is about to be sent to the worker. Finish must be
// called when it has ended.
func (p *Planner) Begin(worker string) { p.workerState(worker).inFlight = true }

// Finish records the result of an order. Reports requested before now are
// ignored afterwards.
func (p *Planner) Finish(now time.Time, worker string, o Order, result Result) {
	w := p.workerState(worker)
	w.inFlight, w.lastEnded = false, now
	if result == NotSent || o.FencingToken != p.token {
		return
	}
	key := orderKey{o.Kind, o.Model}
	pending := w.pending[key]
	if pending == nil {
		pending = &pendingOrder{}
		w.pending[key] = pending
	}
	if result == Accepted {
		pending.accepted, pending.notBefore = true, now.Add(p.cfg.EffectTimeout)
		return
	}
	p.fail(now, pending)
}
