package routing

import (
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// PromptPart is one part of a prompt. Requests share parts; a cached part can
// serve another request only if all parts before it are equal.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request holds the properties of a request that decide which worker gets it.
type Request struct {
	Upstream    string
	SharedParts []PromptPart // prompt parts that other requests share, see function SharedParts
	Tried       []*Worker    // workers that the request was already sent to
	// PromptTokens and ExpectedOutput are the tokens of the whole prompt and of the
	// response, 0 if not known.
	PromptTokens, ExpectedOutput int
	Whole                        bool // the response is not a stream: its first byte comes with its end
	// Target is the time within which the first byte is useful, TimeLeft the time until
	// the caller's deadline; 0 if not known.
	Target, TimeLeft time.Duration
}

// Choice is the worker chosen for an attempt, with the values that decided it.
type Choice struct {
	Worker          *Worker
	FetchFrom       string // address of a worker that probably has the prompt's parts cached, empty for none
	Reason          string
	PlacementKey    uint64        // ID of the prompt part that decided, 0 for none
	SharedTokens    int           // tokens of the prompt up to and including that part
	PreferenceIndex int           // index of the worker in the prompt's order of preference, from 0
	EstimatedLoad   int           // estimated requests on the worker, including those that other routers may have sent
	Unanswered      int           // requests of this router on the worker without a first byte
	SpreadSize      int           // number of workers that the prompt's request rate needs, 0 for no prompt
	KeyRate         float64       // estimated requests per second of all routers with the same prompt
	MeanLoad        float64       // estimated mean load of the upstream's workers
	LoadLimit       int           // load at which the prompt goes to another worker, 0 for none
	LoadAge         time.Duration // age of the worker's load report, negative for none
	WorkPercent     int           // how long work took on the worker at that report, in percent of the usual time; 0 if unknown
	RateLimit       float64       // requests per second that the worker takes from all routers, NoRateLimit for no limit
	ExpectedWait    time.Duration // expected time to the first byte, 0 if not known
	Slowness        float64       // how much longer work takes than on the median worker; 1 if it is not slow
	ListVersion     int64         // version of the worker list
	ListAge         time.Duration // time since the worker list was read

	byPrompt  bool // the prompt's parts will be cached on the worker
	sentAt    time.Time
	workClass uint8
	whole     bool
	attempt   *attempt
}

// attempt is the state of a request on a worker. It is guarded by Fleet.mu.
type attempt struct {
	gotFirstByte bool
	// first is the time to the first byte of a stream until it has shown its pace.
	first  time.Duration
	tokens int // of Worker.tokens
	unread int // of Worker.unread
}

// Values of Choice.Reason.
const (
	ReasonFirstPreference = "home"       // the prompt's first preference
	ReasonLaterPreference = "next"       // a later preference; those before it are above the limit
	ReasonLeastLoaded     = "least busy" // the request has no prompt to place by
	ReasonAllAboveLimit   = "all busy"   // every preference tried is above the limit
	ReasonLeaving         = "leaving"    // only workers that leave can be chosen
	ReasonLimitCheck      = "limit"      // the answer will tell whether the worker's rate limit is still in force
)

const (
	// preferenceCount is the number of preferences of a prompt that are tried
	// first. widePreferenceCount is the number tried when all of those are above
	// the limit: a prompt that gets a large part of the traffic of a large fleet
	// needs more than a few workers.
	preferenceCount     = 4
	widePreferenceCount = 64
	// minPartsForUniqueLast is the minimum number of prompt parts at which the last
	// part is treated as unique to the request.
	minPartsForUniqueLast = 2
	// otherDomainPenalty is the number of requests added to the load of a
	// worker in another failure domain when the least loaded worker is chosen.
	otherDomainPenalty = 0.5
)

func (c Choice) markFirstByte() {
	if !c.attempt.gotFirstByte {
		c.attempt.gotFirstByte = true
		c.Worker.unanswered--
		if c.attempt.unread > 0 {
			c.Worker.unread -= c.attempt.unread
			c.Worker.unreadCount--
		}
	}
}

// Choose picks a worker that the request has not been sent to, and counts the
// attempt on it until RecordEnd. It returns false if there is none, see NextPermit.
func (f *Fleet) Choose(r Request, now time.Time) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[r.Upstream]
	if p == nil {
		return Choice{}, false
	}
	if len(r.Tried) == 0 {
		p.budget.Success(now) // this budget is a fraction of the requests, not of the successes
	}
	c, ok := f.decide(p, r, now)
	if !ok {
		return Choice{}, false
	}
	c.sentAt, c.attempt = now, &attempt{}
	if c.byPrompt {
		for _, part := range r.SharedParts {
			f.placements.put(part.ID, c.Worker, now)
		}
	}
	c.Worker.recordSent(now)
	p.recordTokens(&c, &r)
	f.takePermit(c.Worker, now)
	return c, true
}

// decide picks a worker and returns it with the values that decided it. Nothing is
// counted; what it changes is saved by saveChoiceState.
func (f *Fleet) decide(p *pool, r Request, now time.Time) (Choice, bool) {
	c, ok := f.pickWorker(p, r, now)
	if !ok {
		return Choice{}, false
	}
	c.EstimatedLoad = int(p.estimatedLoad(c.Worker, now))
	c.Unanswered = c.Worker.unanswered
	c.MeanLoad = p.meanLoad(now)
	c.LoadAge = -1
	if !c.Worker.reportedAt.IsZero() {
		c.LoadAge = now.Sub(c.Worker.reportedAt)
	}
	c.WorkPercent, c.RateLimit = c.Worker.workPercent, NoRateLimit
	if c.Worker.rateLimit.isSet() {
		c.RateLimit = c.Worker.rateLimit.perSecond
	}
	c.workClass, c.whole, c.Slowness = r.workClass(), r.Whole, c.Worker.slowness(now)
	c.ExpectedWait = p.expectedWait(c.Worker, c.workClass, now)
	c.ListVersion, c.ListAge = f.listVersion, now.Sub(f.listReadAt)
	return c, true
}

func (f *Fleet) pickWorker(p *pool, r Request, now time.Time) (Choice, bool) {
	reachable := func(w *Worker) bool { return !w.unreachable && !w.said.isPaused(now) }
	admitsReturned := f.admitsReturned(p, r, now)
	healthy := func(w *Worker) bool {
		return reachable(w) && !p.ejector.Ejected(now, w.ID) && p.isWithinShare(w, now) && (admitsReturned || !w.hasJustReturned(now))
	}
	preferred := func(w *Worker) bool { return healthy(w) && !w.said.isPausedElsewhere(now) }
	limited, key := p.hasRateLimit(), r.placementKey()
	for _, try := range []struct {
		accept func(*Worker) bool
		early  time.Duration
	}{{preferred, 0}, {preferred, earlyPermit}, {healthy, earlyPermit}, {reachable, earlyPermit}} {
		candidates, hashes := p.candidates(r.Tried, try.accept)
		mayGet := func(w *Worker) bool {
			return f.hasPermit(w, now, try.early) && !(limited && p.isFull(w, now))
		}
		hasPermit := mayGet
		if len(f.coldWorkers) > 0 {
			notLeft := func(w *Worker) bool { return mayGet(w) && !f.leavesToOthers(w, key, now) }
			if slices.ContainsFunc(candidates, notLeft) {
				hasPermit = notLeft
			}
		}
		if !slices.ContainsFunc(candidates, hasPermit) {
			continue
		}
		if w := startLimitCheck(candidates, hasPermit, now); w != nil {
			c := Choice{Worker: w, Reason: ReasonLimitCheck, PreferenceIndex: len(candidates)}
			if len(r.SharedParts) > 0 {
				c.FetchFrom = f.fetchSource(r.SharedParts, c, now)
			}
			return c, true
		}
		if len(r.SharedParts) > 0 {
			return f.pickByPrompt(&r, candidates, hashes, hasPermit, now), true
		}
		hasRoom := func(w *Worker) bool { return hasPermit(w) && p.hasMemory(w, &r, now) }
		if !slices.ContainsFunc(candidates, hasRoom) {
			hasRoom = hasPermit
		}
		return f.pickLeastLoaded(candidates, hasRoom, now), true
	}
	return f.pickLeaving(p, r.Tried, now)
}

// candidates returns the workers that the request has not been sent to and for
// which accept returns true, with their hashes. The slices are valid until the next call.
func (p *pool) candidates(tried []*Worker, accept func(*Worker) bool) ([]*Worker, []uint64) {
	workers, hashes := p.candidateBuffer[:0], p.hashBuffer[:0]
	for i, w := range p.workers {
		if !slices.Contains(tried, w) && accept(w) {
			workers = append(workers, w)
			hashes = append(hashes, p.hashes[i])
		}
	}
	p.candidateBuffer, p.hashBuffer = workers, hashes
	return workers, hashes
}

// SharedParts returns the parts of a prompt that other requests share. The last
// of them selects the worker, so the parts before it are cached there too.
func SharedParts(prompt []PromptPart) []PromptPart {
	if len(prompt) >= minPartsForUniqueLast {
		return prompt[:len(prompt)-1]
	}
	return prompt
}

// placementKey returns the ID of the last shared part of the prompt, 0 for none.
func (r *Request) placementKey() uint64 {
	if len(r.SharedParts) == 0 {
		return 0
	}
	return r.SharedParts[len(r.SharedParts)-1].ID
}

// pickByPrompt picks the first preference of the last shared part whose load is
// within the limit. Workers without a permit are passed over, one candidate has one, and
// so are slow workers for a part of the prompts, and workers without memory for the request
// as long as another one is within the limit.
func (f *Fleet) pickByPrompt(r *Request, candidates []*Worker, hashes []uint64, hasPermit func(*Worker) bool, now time.Time) Choice {
	parts := r.SharedParts
	key := r.placementKey()
	var indexes [widePreferenceCount]int
	p := f.pool(candidates[0].Upstream)
	limit := f.loadLimit(candidates, now)
	spread := f.spreadSize(p, key, limit, now)
	preferences := placement.Choose(indexes[:max(preferenceCount, min(spread, widePreferenceCount))], key, hashes)
	work := r.workClass()
	admit := func(w *Worker) bool {
		return f.admit(w, key, now) && hasPermit(w) && p.hasMemory(w, r, now) && w.keeps(key, now) && p.meetsTarget(w, r, work, now)
	}
	best, withinLimit := f.pickWithinLimit(candidates, preferences, spread, limit, now, admit)
	if !withinLimit {
		if len(candidates) > len(preferences) {
			preferences = placement.Choose(indexes[:], key, hashes)
		}
		hasRoom := func(w *Worker) bool { return hasPermit(w) && p.hasMemory(w, r, now) }
		if best, withinLimit = f.pickWithinLimit(candidates, preferences, spread, limit, now, hasRoom); !withinLimit {
			best, _ = f.pickWithinLimit(candidates, preferences, spread, limit, now, hasPermit)
		}
	}
	if best.Worker == nil { // all of widePreferenceCount workers are without a permit
		best = f.pickLeastLoaded(candidates, hasPermit, now)
		best.PreferenceIndex = len(preferences)
	}
	best.PlacementKey, best.LoadLimit, best.SpreadSize = key, int(limit), spread
	best.KeyRate = f.keyRate(p, key, 0, now)
	best.FetchFrom = f.fetchSource(parts, best, now)
	for _, part := range parts {
		best.SharedTokens += part.Tokens
	}
	best.byPrompt = true
	return best
}

// pickWithinLimit picks one of the first spread preferences within the limit; spread is
// the number of workers that the prompt's request rate needs. If it is 1, or if none of
// them is within the limit, it picks the first preference within the limit. If there is
// none, it picks the least loaded preference and returns false. Workers that accept
// rejects are passed over; the choice has no worker if it rejects all.
func (f *Fleet) pickWithinLimit(candidates []*Worker, preferences []int, spread int, limit float64, now time.Time, accept func(*Worker) bool) (Choice, bool) {
	p := f.pool(candidates[0].Upstream)
	if spread > 1 {
		if c, ok := f.pickFromSpread(candidates, preferences, spread, limit, now, accept); ok {
			return c, true
		}
	}
	best := Choice{Reason: ReasonAllAboveLimit}
	for preference, i := range preferences {
		w := candidates[i]
		if !accept(w) {
			continue
		}
		if p.estimatedLoad(w, now) < limit {
			return choiceAt(w, preference), true
		}
		if best.Worker == nil || p.estimatedLoad(w, now) < p.estimatedLoad(best.Worker, now) {
			best = Choice{Worker: w, Reason: ReasonAllAboveLimit, PreferenceIndex: preference}
		}
	}
	return best, false
}

// pickFromSpread picks the one with less work of two random workers among the first spread
// preferences within the limit, and takes twice as many preferences while none is. The
// first one in order would be the same for all routers, which would send to it together
// until they learn its load.
func (f *Fleet) pickFromSpread(candidates []*Worker, preferences []int, spread int, limit float64, now time.Time, accept func(*Worker) bool) (Choice, bool) {
	p := f.pool(candidates[0].Upstream)
	var within []int // indexes in preferences
	for seen := 0; seen < len(preferences); spread *= 2 {
		for ; seen < min(spread, len(preferences)); seen++ {
			if w := candidates[preferences[seen]]; accept(w) && p.estimatedLoad(w, now) < limit {
				within = append(within, seen)
			}
		}
		if len(within) == 0 {
			continue
		}
		one, other := within[f.cfg.Random(len(within))], within[f.cfg.Random(len(within))]
		if p.work(candidates[preferences[other]], now) < p.work(candidates[preferences[one]], now) {
			one = other
		}
		return choiceAt(candidates[preferences[one]], one), true
	}
	return Choice{}, false
}

func choiceAt(w *Worker, preference int) Choice {
	if preference == 0 {
		return Choice{Worker: w, Reason: ReasonFirstPreference}
	}
	return Choice{Worker: w, Reason: ReasonLaterPreference, PreferenceIndex: preference}
}

// pickLeastLoaded picks the worker with a permit and the least load, see comparedLoad.
func (f *Fleet) pickLeastLoaded(candidates []*Worker, hasPermit func(*Worker) bool, now time.Time) Choice {
	var best *Worker
	least := 0.0
	offset := int(now.UnixNano() % int64(len(candidates))) // rotates the choice among equal loads
	for i := range candidates {
		w := candidates[(i+offset)%len(candidates)]
		if !hasPermit(w) {
			continue
		}
		load := f.comparedLoad(w, now)
		if best == nil || load < least {
			best, least = w, load
		}
	}
	return Choice{Worker: best, Reason: ReasonLeastLoaded}
}
