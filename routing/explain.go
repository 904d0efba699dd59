package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// Explanation says which worker a request would get now, and why. Durations of 0 stand
// for none where nothing else is said.
type Explanation struct {
	Known    bool // the upstream has or had a worker
	Chosen   bool // a worker would be chosen; otherwise Choice is the zero value
	Choice   Choice
	ByChance bool // a random number takes part in the choice, or without one in NextPermit

	NoChoice // state of the upstream that says why there is no worker
	// Candidates are the upstream's listed workers: those that accept requests in the
	// order of preference of the request, then those that leave, that drain and that are
	// evacuated. The order is that of the prompt; without a prompt it is by the compared load:
	// equal loads take turns, and that of a slow worker is drawn for each choice.
	Candidates  []Candidate
	Routers     int           // number of routers that is assumed to send to the upstream
	ListVersion int64         // version of the worker list
	ListAge     time.Duration // time since the worker list was read
}

// NoChoice is the state of an upstream that says why no worker can be chosen, see
// Fleet.NextPermit, Fleet.ColdCount, Fleet.NextOpening and Fleet.AllEvacuated.
type NoChoice struct {
	NextPermit     time.Duration
	LimitedWorkers int
	ColdWorkers    int
	NextOpening    time.Duration
	PausedWorkers  int
	AllEvacuated   bool
}

// Candidate is a listed worker of an upstream as a choice sees it.
type Candidate struct {
	Worker          *Worker // slots and drain state are guarded, use the fields below
	Slots           int     // requests that it runs concurrently, 0 if unknown
	EstimatedLoad   int     // as in Choice
	Unanswered      int     // as in Choice
	LoadAge         time.Duration
	WorkPercent     int
	Chosen          bool
	Unreachable     bool
	Ejected         bool
	Draining        bool
	Leaving         bool
	Evacuated       bool
	JustReturned    bool          // its domain was evacuated until shortly before
	AboveShare      bool          // it resumed after a pause and has got its share of requests
	PausedFor       time.Duration // time left of a pause that it asked this router for
	PausedElsewhere time.Duration // time left of a pause that it asked another router for
	ColdFor         time.Duration // time left of its cold time
	Cold            bool          // it gets few requests since it is cold or was so shortly before
	Rising          bool          // its cold time is over, and its part of the requests is still below 1
	RisenPart       float64       // part of its requests that it gets after its cold time, 0 while it is cold, 1 if it gets all
	ExpectedWait    time.Duration // as in Choice, for this request
	Slowness        float64       // as in Choice
	RateLimit       float64       // requests per second that it takes from all routers, NoRateLimit for no limit
	Limited         bool          // it gets requests only with permits
	// NextPermit is the time until this router's next permit for it begins, negative if
	// a permit is in force. The first one is at a random time, which is drawn by the
	// first choice; until then PermitDrawn is false.
	NextPermit  time.Duration
	PermitDrawn bool

	order float64 // ascending in the order of preference
	score uint64  // descending among equal orders
}

// choiceState is what Fleet.decide and Fleet.permitAt change.
type choiceState struct {
	workers []*Worker
	limits  []rateLimit
	random  func(n int) int
	salt    uint64
}

// saveChoiceState saves the choiceState of the listed workers of an upstream.
func (f *Fleet) saveChoiceState(upstream string) choiceState {
	s := choiceState{random: f.cfg.Random, salt: f.salt, workers: make([]*Worker, 0, len(f.byID)), limits: make([]rateLimit, 0, len(f.byID))}
	for _, w := range f.byID {
		if w.Upstream == upstream {
			s.workers, s.limits = append(s.workers, w), append(s.limits, w.rateLimit)
		}
	}
	return s
}

func (f *Fleet) restoreChoiceState(s choiceState) {
	f.cfg.Random, f.salt = s.random, s.salt
	for i, w := range s.workers {
		w.rateLimit = s.limits[i]
	}
}

// Explain returns what Choose would return for a request now, with the state of the
// candidates, and changes nothing: it decides by the same code, counts nothing, takes no
// permit and restores what the decision changed. Random numbers are its own. It is for
// operators, a few times a minute: it allocates, and holds the lock for about 0.1 ms with
// 140 workers and 0.8 ms with 1,100.
func (f *Fleet) Explain(r Request, now time.Time) Explanation {
	e := f.explain(r, now)
	slices.SortFunc(e.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.group(), b.group()), cmp.Compare(a.order, b.order), cmp.Compare(b.score, a.score), cmp.Compare(a.Worker.ID, b.Worker.ID))
	})
	return e
}

func (f *Fleet) explain(r Request, now time.Time) Explanation {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[r.Upstream]
	if p == nil {
		return Explanation{ListVersion: f.listVersion, ListAge: now.Sub(f.listReadAt)}
	}
	e := Explanation{Known: true, Routers: p.routers, ListVersion: f.listVersion, ListAge: now.Sub(f.listReadAt)}
	before := f.saveChoiceState(r.Upstream)
	defer f.restoreChoiceState(before)
	f.cfg.Random = func(n int) int {
		e.ByChance = true
		return rand.IntN(n)
	}
	e.Choice, e.Chosen = f.decide(p, r, now)
	byChance := e.ByChance
	e.NextPermit, e.LimitedWorkers = f.nextPermit(p, now)
	if !e.Chosen {
		byChance = e.ByChance // of the next permit
	}
	e.ColdWorkers = f.coldCount(p, now)
	e.NextOpening, e.PausedWorkers = p.nextOpening(now)
	e.AllEvacuated = p.isEvacuated()
	e.Candidates = make([]Candidate, 0, len(before.workers))
	work := r.workClass()
	for i, w := range before.workers {
		c := f.candidate(p, w, work, now)
		c.Chosen, c.PermitDrawn = w == e.Choice.Worker, c.Limited && before.limits[i].period != 0
		// The part of a rising worker is drawn from the time for requests without a prompt.
		byChance = byChance || c.Rising && len(r.SharedParts) == 0
		c.order = f.comparedLoad(w, now)
		if parts := r.SharedParts; len(parts) > 0 {
			c.order, c.score = 0, placement.Score(parts[len(parts)-1].ID, w.hash)
		}
		e.Candidates = append(e.Candidates, c)
	}
	e.ByChance = byChance // without the permits that were drawn for the candidates
	return e
}

func (f *Fleet) candidate(p *pool, w *Worker, work uint8, now time.Time) Candidate {
	c := Candidate{
		Worker: w, Slots: w.Slots, EstimatedLoad: int(p.estimatedLoad(w, now)), Unanswered: w.unanswered, LoadAge: -1, WorkPercent: w.workPercent,
		Unreachable: w.unreachable, Ejected: p.ejector.Ejected(now, w.ID), Draining: w.Draining, Leaving: w.said.isLeaving(), Evacuated: f.isEvacuated(w.FailureDomain),
		JustReturned: w.hasJustReturned(now), AboveShare: !p.isWithinShare(w, now),
		PausedFor: max(w.said.pausedUntil.Sub(now), 0), PausedElsewhere: max(w.said.shared.Until.Sub(now), 0),
		ColdFor: max(w.cold.until.Sub(now), 0), Cold: f.isCold(w, now), RisenPart: w.risenPart(now), RateLimit: NoRateLimit,
		ExpectedWait: p.expectedWait(w, work, now), Slowness: w.slowness(now),
	}
	c.Rising = c.Cold && !now.Before(w.cold.riseFrom)
	if !w.reportedAt.IsZero() {
		c.LoadAge = now.Sub(w.reportedAt)
	}
	if w.rateLimit.isSet() {
		c.RateLimit = w.rateLimit.perSecond
	}
	if pc, limited := f.pace(w, now); limited {
		c.Limited, c.NextPermit = true, f.permitAt(w, pc, now).Sub(now)
	}
	return c
}

// group orders the candidates that get no requests after those that do.
func (c Candidate) group() int {
	switch {
	case c.Evacuated:
		return 3
	case c.Draining:
		return 2
	case c.Leaving:
		return 1
	}
	return 0
}
