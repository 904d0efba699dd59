package gateway

import (
	"slices"
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/placement"
)

// choice is a worker for an attempt, with what decided.
type choice struct {
	worker    *worker
	at        time.Time
	fetchFrom string // address of a worker that may keep the prompt's parts
	reason    string
	key       uint64        // part of the prompt that decided, 0 for none
	shared    int           // tokens of the prompt up to that part
	rank      int           // position in the preference of the prompt, 0 is first
	busy      int           // estimated requests on the worker
	limit     int           // load at which a prompt leaves the worker, 0 for none
	age       time.Duration // of the worker's load report
	list      int64         // version of the list of workers
	listAge   time.Duration
}

// Reasons of choices.
const (
	choseHome   = "home"       // first choice of the prompt
	choseNext   = "next"       // a later choice, the ones before are busy
	choseIdle   = "least busy" // no prompt to place by
	choseLoaded = "all busy"
)

const (
	// preferences is the number of choices of a prompt that are looked at.
	preferences = 4
	// sharedAtLeast is the number of parts of a prompt from which on the last
	// one is the request's own.
	sharedAtLeast = 2
	// otherDomain is the number of requests by which a worker of another
	// failure domain must be less busy.
	otherDomain = 0.5
)

// loadAge is the age of the worker's load report in ms, -1 for none.
func (c choice) loadAge() int64 {
	if c.worker.loadAt.IsZero() {
		return -1
	}
	return c.age.Milliseconds()
}

// choose picks a worker that the request has not been sent to, and counts the
// attempt. It returns false when there is none.
func (g *Gateway) choose(x *exchange) (choice, bool) {
	now := time.Now()
	c, ok := g.fleet.choose(x, now)
	if !ok {
		g.decisions.request("no worker to choose", "request", x.in.ID, "upstream", x.destination, "tried", len(x.tried))
		return choice{}, false
	}
	g.decisions.count("choices", "reason", c.reason)
	g.decisions.request("worker chosen", "request", x.in.ID, "upstream", x.destination, "worker", c.worker.ID, "reason", c.reason, "key", strconv.FormatUint(c.key, 16), "shared_tokens", c.shared, "rank", c.rank, "busy", c.busy, "limit", c.limit, "fetch_from", c.fetchFrom, "load_age_ms", c.loadAge(), "list", c.list, "list_age_ms", c.listAge.Milliseconds(), "attempt", len(x.tried))
	return c, true
}

func (f *fleet) choose(x *exchange, now time.Time) (choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[x.destination]
	if p == nil {
		return choice{}, false
	}
	p.arrived(now)
	if len(x.tried) == 0 {
		p.budget.Success(now)
	}
	c, ok := f.pick(p, x, now)
	if !ok {
		return choice{}, false
	}
	c.at = now
	c.busy = c.worker.busy(now)
	c.age = now.Sub(c.worker.loadAt)
	c.list, c.listAge = f.version, now.Sub(f.read)
	c.worker.inFlight++
	c.worker.added++
	x.tried = append(x.tried, c.worker)
	return c, true
}

func (f *fleet) pick(p *pool, x *exchange, now time.Time) (choice, bool) {
	free, hashes := p.candidates(x.tried, func(w *worker) bool { return !w.lost && !p.ejector.Ejected(now, w.ID) })
	if len(free) == 0 {
		free, hashes = p.candidates(x.tried, func(w *worker) bool { return !w.lost })
	}
	if len(free) == 0 {
		return choice{}, false
	}
	var c choice
	if parts := sharedParts(x); len(parts) > 0 {
		c = f.byPrompt(parts, free, hashes, now)
	} else {
		c = f.leastBusy(free, now)
	}
	return c, true
}

// candidates returns the workers that the request has not been sent to and
// that admit lets through.
func (p *pool) candidates(tried []*worker, admit func(*worker) bool) ([]*worker, []uint64) {
	var workers []*worker
	var hashes []uint64
	for i, w := range p.workers {
		if !slices.Contains(tried, w) && admit(w) {
			workers = append(workers, w)
			hashes = append(hashes, p.hashes[i])
		}
	}
	return workers, hashes
}

// sharedParts returns the parts of the prompt that other requests share. The
// last of them decides where the request goes; the parts before it follow.
func sharedParts(x *exchange) []core.PromptPart {
	parts := x.in.Prompt
	if !x.route.Sticky || len(parts) == 0 {
		return nil
	}
	if len(parts) >= sharedAtLeast {
		return parts[:len(parts)-1]
	}
	return parts
}

// byPrompt takes the first choice of the last shared part that is not too busy.
func (f *fleet) byPrompt(parts []core.PromptPart, free []*worker, hashes []uint64, now time.Time) choice {
	key := parts[len(parts)-1].ID
	var order [preferences]int
	ranked := placement.Choose(order[:], key, hashes)
	limit := f.loadLimit(free, now)
	p := f.pool(free[0].Upstream)
	best := choice{worker: free[ranked[0]], reason: choseLoaded}
	for rank, i := range ranked {
		w := free[i]
		if float64(w.busy(now))+p.unseen(w, now) < limit {
			best = choice{worker: w, reason: choseHome, rank: rank}
			break
		}
		if w.busy(now) < best.worker.busy(now) {
			best = choice{worker: w, reason: choseLoaded, rank: rank}
		}
	}
	if best.rank > 0 && best.reason == choseHome {
		best.reason = choseNext
	}
	best.key, best.limit = key, int(limit)
	best.fetchFrom = f.fetchSource(parts, best, free, ranked, now)
	for _, p := range parts {
		best.shared += p.Tokens
		f.homes.put(p.ID, best.worker, now)
	}
	return best
}

// leastBusy takes the least busy worker, preferring the router's own failure
// domain by a margin.
func (f *fleet) leastBusy(free []*worker, now time.Time) choice {
	var best *worker
	least := 0.0
	offset := int(now.UnixNano() % int64(len(free))) // equals are taken in turn
	for i := range free {
		w := free[(i+offset)%len(free)]
		busy := float64(w.busy(now))
		if w.FailureDomain != f.domain {
			busy += otherDomain
		}
		if best == nil || busy < least {
			best, least = w, busy
		}
	}
	return choice{worker: best, reason: choseIdle}
}
