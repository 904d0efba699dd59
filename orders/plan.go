package orders

import (
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/retry"
)

// Kind is what an order tells a worker to do.
type Kind string

// Kinds of orders.
const (
	Load   Kind = "load"
	Unload Kind = "unload"
)

// Order is one order to one worker.
type Order struct {
	Kind         Kind
	Model        string
	FencingToken uint64 // fencing token under which it was decided
}

// Report is what a worker reports of itself.
type Report struct {
	Models       []string
	FencingToken uint64    // highest fencing token that it has seen
	Leaving      bool      // it takes no new work, so no orders either
	RequestedAt  time.Time // when the report was asked for
}

// Result is how an order ended for its sender.
type Result int

// Results of an order.
const (
	// Accepted: the worker took the order. A load may still be running.
	Accepted Result = iota
	// Failed: the order was refused or its fate is not known.
	Failed
	// NotSent: no byte of the order left.
	NotSent
)

// PlannerConfig has the times of a Plan.
type PlannerConfig struct {
	// EffectTimeout is how long an accepted order may take to show in the report
	// before it counts as failed. Default 2 min.
	EffectTimeout time.Duration
	// Backoff is the delay after a failed order. Default 2 s to 1 min.
	Backoff retry.Backoff
	// Random returns numbers in [0, 1). Required.
	Random func() float64
}

// Planner decides the orders for the workers of one upstream.
type Planner struct {
	cfg     PlannerConfig
	token   uint64 // 0 while this router is not the holder
	since   time.Time
	workers map[string]*work
}

// work is what the plan remembers of one worker.
type work struct {
	busy  bool
	ended time.Time // when the last order ended
	tries map[try]*trial
}

type try struct {
	kind  Kind
	model string
}

// trial is an order that has not shown in the report so far.
type trial struct {
	failures int
	running  bool      // accepted, and not yet past until
	until    time.Time // nothing is sent again before
}

// NewPlanner returns a plan that decides nothing until Lead.
func NewPlanner(cfg PlannerConfig) *Planner {
	if cfg.EffectTimeout == 0 {
		cfg.EffectTimeout = 2 * time.Minute
	}
	if cfg.Backoff.Base == 0 {
		cfg.Backoff = retry.Backoff{Base: 2 * time.Second, Max: time.Minute}
	}
	return &Planner{cfg: cfg, workers: map[string]*work{}}
}

// SetFencingToken sets the fencing token under which orders are decided, 0 for none. With
// another token, everything learnt before is void except that an order is in
// flight: the workers may have obeyed somebody else in the meantime.
func (p *Planner) SetFencingToken(now time.Time, token uint64) {
	if token == p.token {
		return
	}
	p.token, p.since = token, now
	for id, w := range p.workers {
		w.tries = map[try]*trial{}
		if !w.busy {
			delete(p.workers, id)
		}
	}
}

// FencingToken returns the fencing token, 0 while nothing is decided.
func (p *Planner) FencingToken() uint64 { return p.token }

// InFlight counts the orders that have begun and not ended.
func (p *Planner) InFlight() int {
	n := 0
	for _, w := range p.workers {
		if w.busy {
			n++
		}
	}
	return n
}

// Retain forgets the workers for which keep returns false, unless an order to
// them is in flight.
func (p *Planner) Retain(keep func(worker string) bool) {
	for id, w := range p.workers {
		if !w.busy && !keep(id) {
			delete(p.workers, id)
		}
	}
}

// Next returns the order that the worker needs now. Missing models are loaded
// in the order of wanted. Others are unloaded once nothing is missing, or when
// a load has failed, which a lack of memory may have caused.
func (p *Planner) Next(now time.Time, worker string, wanted []string, r Report) (Order, bool) {
	w := p.worker(worker)
	if p.token == 0 || w.busy || r.Leaving || r.FencingToken > p.token {
		return Order{}, false
	}
	if r.RequestedAt.Before(p.since) || r.RequestedAt.Before(w.ended) {
		return Order{}, false
	}
	w.settle(wanted, r.Models)
	missing, failed := false, false
	for _, model := range wanted {
		if slices.Contains(r.Models, model) {
			continue
		}
		missing = true
		due, failures := p.due(now, w, try{Load, model})
		if due {
			return Order{Load, model, p.token}, true
		}
		failed = failed || failures > 0
	}
	if missing && !failed {
		return Order{}, false
	}
	for _, model := range r.Models {
		if slices.Contains(wanted, model) {
			continue
		}
		if due, _ := p.due(now, w, try{Unload, model}); due {
			return Order{Unload, model, p.token}, true
		}
	}
	return Order{}, false
}

func (p *Planner) worker(id string) *work {
	w := p.workers[id]
	if w == nil {
		w = &work{tries: map[try]*trial{}}
		p.workers[id] = w
	}
	return w
}

// settle forgets the trials that the report shows to be done or that are no
// longer wanted.
func (w *work) settle(wanted, reported []string) {
	for t := range w.tries {
		needed := slices.Contains(wanted, t.model) != slices.Contains(reported, t.model)
		if !needed || (t.kind == Load) != slices.Contains(wanted, t.model) {
			delete(w.tries, t)
		}
	}
}

// due reports whether an order may be sent now, and how often it has failed.
// An accepted order that still does not show after Patience counts as failed.
func (p *Planner) due(now time.Time, w *work, t try) (bool, int) {
	tr := w.tries[t]
	if tr == nil {
		return true, 0
	}
	if now.Before(tr.until) {
		return false, tr.failures
	}
	if tr.running {
		p.fail(now, tr)
		return false, tr.failures
	}
	return true, tr.failures
}

func (p *Planner) fail(now time.Time, tr *trial) {
	tr.running = false
	tr.until = now.Add(p.cfg.Backoff.Delay(tr.failures, p.cfg.Random()))
	tr.failures++
}

// Begin records that an order is about to be sent. Ended must follow.
func (p *Planner) Begin(worker string) { p.worker(worker).busy = true }

// Finish records the end of an order. Reports asked for earlier no longer count.
func (p *Planner) Finish(now time.Time, worker string, o Order, result Result) {
	w := p.worker(worker)
	w.busy, w.ended = false, now
	if result == NotSent || o.FencingToken != p.token {
		return
	}
	t := try{o.Kind, o.Model}
	tr := w.tries[t]
	if tr == nil {
		tr = &trial{}
		w.tries[t] = tr
	}
	if result == Accepted {
		tr.running, tr.until = true, now.Add(p.cfg.EffectTimeout)
		return
	}
	p.fail(now, tr)
}
