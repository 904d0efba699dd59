package routing

import (
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// PromptPart is one part of a prompt. Requests share parts; a part is cached for
// another request only if all parts before it are the same.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what decides where a request goes.
type Request struct {
	Upstream    string
	SharedParts []PromptPart // parts of the prompt that other requests share, see SharedParts
	Tried       []*Worker    // that it was given to before
}

// Choice is a worker for an attempt, with what decided.
type Choice struct {
	Worker          *Worker
	FetchFrom       string // address of a worker that may keep the prompt's parts, empty for none
	Reason          string
	PlacementKey    uint64        // part of the prompt that decided, 0 for none
	SharedTokens    int           // tokens of the prompt up to that part
	PreferenceIndex int           // position in the preference of the prompt, 0 is first
	EstimatedLoad   int           // estimated requests on the worker, with those that the other routers may have sent
	Unanswered      int           // requests of this router there without a first byte
	SpreadSize      int           // workers that the prompt's rate needs, 0 for no prompt
	LoadLimit       int           // load at which a prompt leaves the worker, 0 for none
	LoadAge         time.Duration // of the worker's load report, negative for none
	ListVersion     int64         // version of the list of workers
	ListAge         time.Duration

	at      time.Time
	attempt *attempt
}

// attempt is what is known of a request on a worker. It is guarded by Fleet.mu.
type attempt struct{ answered bool }

// Reasons of choices.
const (
	ReasonFirstPreference = "home"       // first choice of the prompt
	ReasonLaterPreference = "next"       // a later choice, the ones before are busy
	ReasonLeastLoaded     = "least busy" // no prompt to place by
	ReasonAllAboveLimit   = "all busy"
)

const (
	// preferences is the number of choices of a prompt that are looked at
	// first, widePreferences the number if these are busy: a prompt that gets
	// much of the traffic of a large fleet needs more than a few workers.
	preferences     = 4
	widePreferences = 64
	// sharedAtLeast is the number of parts of a prompt from which on the last
	// one is the request's own.
	sharedAtLeast = 2
	// otherDomain is the number of requests by which a worker of another
	// failure domain must be less busy.
	otherDomain = 0.5
)

func (c Choice) answered() {
	if !c.attempt.answered {
		c.attempt.answered = true
		c.Worker.unanswered--
	}
}

// Choose picks a worker that the request has not been given to, and counts the
// attempt until Ended. It returns false when there is none.
func (f *Fleet) Choose(r Request, now time.Time) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[r.Upstream]
	if p == nil {
		return Choice{}, false
	}
	p.arrived(now)
	if len(r.Tried) == 0 {
		p.budget.Success(now)
	}
	c, ok := f.pick(p, r, now)
	if !ok {
		return Choice{}, false
	}
	c.at, c.attempt = now, &attempt{}
	c.EstimatedLoad = int(p.expected(c.Worker, now) + p.unseen(c.Worker, now))
	c.Unanswered = c.Worker.unanswered
	c.LoadAge = -1
	if !c.Worker.loadAt.IsZero() {
		c.LoadAge = now.Sub(c.Worker.loadAt)
	}
	c.ListVersion, c.ListAge = f.version, now.Sub(f.read)
	c.Worker.send(now)
	return c, true
}

func (f *Fleet) pick(p *pool, r Request, now time.Time) (Choice, bool) {
	free, hashes := p.candidates(r.Tried, func(w *Worker) bool { return !w.lost && !p.ejector.Ejected(now, w.ID) })
	if len(free) == 0 {
		free, hashes = p.candidates(r.Tried, func(w *Worker) bool { return !w.lost })
	}
	if len(free) == 0 {
		return Choice{}, false
	}
	if len(r.SharedParts) > 0 {
		return f.byPrompt(r.SharedParts, free, hashes, now), true
	}
	return f.leastBusy(free, now), true
}

// candidates returns the workers that the request has not been sent to and
// that admit lets through.
func (p *pool) candidates(tried []*Worker, admit func(*Worker) bool) ([]*Worker, []uint64) {
	var workers []*Worker
	var hashes []uint64
	for i, w := range p.workers {
		if !slices.Contains(tried, w) && admit(w) {
			workers = append(workers, w)
			hashes = append(hashes, p.hashes[i])
		}
	}
	return workers, hashes
}

// SharedParts returns the parts of a prompt that other requests share. The
// last of them decides where the request goes; the parts before it follow.
func SharedParts(prompt []PromptPart) []PromptPart {
	if len(prompt) >= sharedAtLeast {
		return prompt[:len(prompt)-1]
	}
	return prompt
}

// byPrompt takes the first choice of the last shared part that is not too busy.
func (f *Fleet) byPrompt(parts []PromptPart, free []*Worker, hashes []uint64, now time.Time) Choice {
	key := parts[len(parts)-1].ID
	var order [widePreferences]int
	limit := f.loadLimit(free, now)
	spread := f.spread(f.pool(free[0].Upstream), key, limit, now)
	ranked := placement.Choose(order[:max(preferences, min(spread, widePreferences))], key, hashes)
	best, within := f.withinLimit(free, ranked, spread, limit, now)
	if !within && len(free) > len(ranked) {
		ranked = placement.Choose(order[:], key, hashes)
		best, _ = f.withinLimit(free, ranked, spread, limit, now)
	}
	best.PlacementKey, best.LoadLimit, best.SpreadSize = key, int(limit), spread
	best.FetchFrom = f.fetchSource(parts, best, free, ranked, now)
	for _, p := range parts {
		best.SharedTokens += p.Tokens
		f.homes.put(p.ID, best.Worker, now)
	}
	return best
}

// withinLimit takes one of the first spread choices at random, or else the
// first one, whose load is within the limit. If there is none it takes the least
// busy one and returns false.
func (f *Fleet) withinLimit(free []*Worker, ranked []int, spread int, limit float64, now time.Time) (Choice, bool) {
	p := f.pool(free[0].Upstream)
	best := Choice{Worker: free[ranked[0]], Reason: ReasonAllAboveLimit}
	if spread > 1 {
		rank := f.cfg.Random(min(spread, len(ranked)))
		if w := free[ranked[rank]]; p.expected(w, now)+p.unseen(w, now) < limit {
			return byRank(w, rank), true
		}
	}
	for rank, i := range ranked {
		w := free[i]
		if p.expected(w, now)+p.unseen(w, now) < limit {
			return byRank(w, rank), true
		}
		if p.expected(w, now) < p.expected(best.Worker, now) {
			best = Choice{Worker: w, Reason: ReasonAllAboveLimit, PreferenceIndex: rank}
		}
	}
	return best, false
}

func byRank(w *Worker, rank int) Choice {
	if rank == 0 {
		return Choice{Worker: w, Reason: ReasonFirstPreference}
	}
	return Choice{Worker: w, Reason: ReasonLaterPreference, PreferenceIndex: rank}
}

// leastBusy takes the least busy worker, preferring the router's own failure
// domain by a margin.
func (f *Fleet) leastBusy(free []*Worker, now time.Time) Choice {
	var best *Worker
	least := 0.0
	offset := int(now.UnixNano() % int64(len(free))) // equals are taken in turn
	for i := range free {
		w := free[(i+offset)%len(free)]
		busy := float64(w.busy(now))
		if w.FailureDomain != f.cfg.Domain {
			busy += otherDomain
		}
		if best == nil || busy < least {
			best, least = w, busy
		}
	}
	return Choice{Worker: best, Reason: ReasonLeastLoaded}
}
