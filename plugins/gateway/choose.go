package gateway

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/placement"
)

// choice is a worker for an attempt, with what decided.
type choice struct {
	worker    *worker
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

const (
	// loadAllowed is the number of requests that a worker may carry beyond the
	// bound, so that prompts stay together while there is little load.
	loadAllowed = 3
	// boundMargin is the share of the bound that a router uses, since reports
	// of load are some hundred ms old.
	boundMargin = 0.9
	// manyRouters is the number of routers from which on the requests that
	// others send between two reports are allowed for.
	manyRouters = 16
	// unseenDeviations is the number of standard deviations allowed for.
	unseenDeviations = 1
	// rateMemory is the time over which the rate of requests is averaged.
	rateMemory = 2 * time.Second
)

// Reasons of choices.
const (
	choseHome     = "home"       // first choice of the prompt
	choseNext     = "next"       // a later choice, the ones before are busy
	choseIdle     = "least busy" // no prompt to place by
	choseLoaded   = "all busy"
	otherDomain   = 0.5 // requests by which a worker of another domain must be less busy
	preferences   = 4   // choices of a prompt that are looked at
	sharedAtLeast = 2   // parts of a prompt of which the last is the request's own
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

// loadLimit is the load above which a prompt goes to its next choice.
func (f *fleet) loadLimit(free []*worker, now time.Time) float64 {
	sum := 0
	for _, w := range free {
		sum += w.busy(now)
	}
	return boundMargin*f.settings.LoadBound*float64(sum)/float64(len(free)) + loadAllowed
}

// arrived counts a request of this router in the average rate.
func (p *pool) arrived(now time.Time) {
	p.recent = p.recentAt(now) + 1
	p.counted = now
}

func (p *pool) recentAt(now time.Time) float64 {
	return p.recent * math.Exp(-now.Sub(p.counted).Seconds()/rateMemory.Seconds())
}

// unseen is the number of requests by which a worker's load may have risen
// since it was reported. Requests of other routers begin and end at the same
// rate, so the load wanders by the square root of their number.
func (p *pool) unseen(w *worker, now time.Time) float64 {
	age := now.Sub(w.loadAt)
	if p.routers < manyRouters || age > loadMemory {
		return 0 // others are few, or the worker does not report
	}
	rate := p.recentAt(now) / rateMemory.Seconds() * float64(p.routers-1) / float64(len(p.workers))
	return unseenDeviations * math.Sqrt(2*rate*age.Seconds())
}

// fetchSource names a worker that probably keeps more of the prompt than the
// chosen one: the worker that had the last shared part before, by this router's
// memory or else by its rank, or one that has the parts before it.
func (f *fleet) fetchSource(parts []core.PromptPart, c choice, free []*worker, ranked []int, now time.Time) string {
	last := len(parts) - 1
	if home := f.homes.get(parts[last].ID, now); home != nil {
		if home == c.worker {
			return ""
		}
		if f.reachable(home, now) {
			return home.Address
		}
	} else if address := f.formerHome(parts[last].ID, c, free, ranked, now); address != "" {
		return address
	}
	for i := last - 1; i >= 0; i-- {
		if home := f.homes.get(parts[i].ID, now); home != nil && home != c.worker && f.reachable(home, now) {
			return home.Address
		}
	}
	return ""
}

// formerHome names the worker that was the first choice of a part before the
// chosen one, if the list of workers changed lately.
func (f *fleet) formerHome(key uint64, c choice, free []*worker, ranked []int, now time.Time) string {
	if c.rank > 0 {
		return free[ranked[0]].Address
	}
	if c.worker.joined.IsZero() || now.Sub(c.worker.joined) > youngWorker {
		return f.departed(key, c.worker, now)
	}
	if len(ranked) > 1 {
		return free[ranked[1]].Address
	}
	return ""
}

// reachable reports whether a worker may still answer.
func (f *fleet) reachable(w *worker, now time.Time) bool {
	if f.byID[w.ID] == w {
		return !w.lost
	}
	return !w.lost && !w.left.IsZero() && now.Sub(w.left) <= departedMemory
}

// departed returns the address of a worker that left lately and was the first
// choice of the key before.
func (f *fleet) departed(key uint64, chosen *worker, now time.Time) string {
	top, address := placement.Score(key, chosen.hash), ""
	for _, w := range f.leaving {
		if w.Upstream != chosen.Upstream || now.Sub(w.left) > departedMemory {
			continue
		}
		if score := placement.Score(key, w.hash); score > top {
			top, address = score, w.Address
		}
	}
	return address
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
