// Package bench runs the decision packages (placement, admission, retry,
// routing) on seeded traces in virtual time and compares them with targets and
// with simpler baselines on the same trace. Routers, holders and engines are
// simulated in one process. The simulation models what a decision depends on:
// message delay, prefix caches with limited memory, and service time by tokens. One
// failure domain is simulated at a time, because placement and the load bound
// act within a domain; overflow between domains is not simulated.
//
// Runs are deterministic for a seed, except for the printed decision times,
// which have no pass criterion.
package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/admission"
)

// Domain is one failure domain of a deployment.
type Domain struct {
	Routers int
	Workers int
}

// Size describes a deployment by its failure domains.
type Size struct {
	Name    string
	Domains []Domain
	// Latency is the delay of one message between two VMs of a domain.
	Latency time.Duration
}

// Sizes returns the three deployments for which the system is designed: the two
// sites and the two-year size, of whose 18 equal domains one is simulated.
func Sizes() []Size {
	return []Size{
		{"kup-seva", []Domain{{3, 4}, {3, 3}, {2, 3}}, 250 * time.Microsecond},
		{"board", []Domain{{3, 3}, {2, 3}, {2, 2}, {2, 2}}, 750 * time.Microsecond},
		{"two-year", []Domain{{22, 61}}, 500 * time.Microsecond},
	}
}

// Workload parameters. The mean request has about 440 output tokens, as in
// docs/design.md; at 27 ms per token it keeps a slot for about 12 s.
const (
	tokenTime      = 27 * time.Millisecond // time to generate one output token
	prefillPerSec  = 8000                  // prompt tokens that an engine prefills per second
	slotsPerWorker = 16
	loadBound      = 1.25              // multiple of the mean load
	meanInFlight   = 10.4              // per worker at the usual load: 950 requests/s for 12 s on 1,100 workers
	meanTurns      = 5                 // requests per chat
	contextTokens  = 8192              // a chat ends when it is longer
	cacheTokens    = 400_000           // capacity of one engine's prefix cache
	callers        = 10                // number of callers
	warmup         = 300 * time.Second // time before the measurements begin
)

// rankClass is a rank, its share of the requests, and how its requests get a slot:
// they wait for the preferred worker for preferredWait, then ask the holders of the
// later preferences without waiting, then wait in the first holder's queue.
type rankClass struct {
	admission.RankConfig
	share         float64
	output        float64       // mean output tokens
	target        time.Duration // target wait
	maxWait       time.Duration // longest wait for a slot
	maxCandidates int           // workers that are asked, including the first
}

// preferredWait is how long a request waits for the worker that has its prefix
// cached. It is most of the target wait, because a cache hit saves the engine
// the prefill of the whole prompt.
func (c rankClass) preferredWait() time.Duration { return c.target * 9 / 10 }

var rankClasses = []rankClass{
	{
		RankConfig: admission.RankConfig{Name: "urgent", Priority: 0, Floor: 0.3, QueueLimit: 200, MaxDuration: 120 * time.Second},
		share:      0.3, output: 150, target: 500 * time.Millisecond, maxWait: 5 * time.Second, maxCandidates: 5,
	},
	{
		RankConfig: admission.RankConfig{Name: "normal", Priority: 1, Floor: 0.2, QueueLimit: 200, MaxDuration: 120 * time.Second},
		share:      0.4, output: 400, target: 2 * time.Second, maxWait: 10 * time.Second, maxCandidates: 4,
	},
	{
		RankConfig: admission.RankConfig{Name: "overnight", Priority: 2, Floor: 0.1, QueueLimit: 200, MaxDuration: 180 * time.Second},
		share:      0.3, output: 780, target: 30 * time.Second, maxWait: 45 * time.Second, maxCandidates: 2,
	},
}

// arrival is one request of a trace.
type arrival struct {
	at        time.Duration
	chat      string
	turn      int
	rank      int
	caller    int
	router    int
	prompt    int64
	output    int64
	reusable  int64 // prompt tokens of earlier turns
	surplus   bool  // added by a surge
	workspace string
}

// surge adds requests to a trace, such as a flood of one rank or of one caller.
// Each of them is the only request of its chat.
type surge struct {
	rank     int     // -1 for the usual mixture
	caller   int     // -1 for all callers
	factor   float64 // multiple of the usual load, or of the rank's usual load if rank is set
	from, to time.Duration
}

// traceConfig describes a trace of one domain.
type traceConfig struct {
	domain   Domain
	seed     uint64
	length   time.Duration
	load     float64 // multiple of the usual load
	onlyRank int     // rank of all requests, -1 for the usual mixture
	surges   []surge
}

// serviceTime returns the time for which a request keeps its slot, without the
// prefill of its prompt.
func serviceTime(output int64) time.Duration { return time.Duration(output) * tokenTime }

// usualRate returns the number of requests per second at the usual load.
func usualRate(d Domain) float64 {
	perRequest := 0.0
	for _, c := range rankClasses {
		perRequest += c.share * c.output
	}
	return meanInFlight * float64(d.Workers) / (perRequest * tokenTime.Seconds())
}

// generator creates a trace.
type generator struct {
	cfg      traceConfig
	rng      *rand.Rand
	chats    int
	arrivals []arrival
}

// generate returns the arrivals of a trace in order of time.
func generate(cfg traceConfig) []arrival {
	g := &generator{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 0xA0B1))}
	rate := usualRate(cfg.domain) * cfg.load
	// Chats that began before the run are included, so that the requests have the
	// usual mixture of turns from the start.
	const before = 1500 * time.Second
	for at := -before; at < cfg.length; at += g.interval(meanTurns / rate) {
		g.addChat(at)
	}
	for _, s := range cfg.surges {
		extra := usualRate(cfg.domain) * (s.factor - 1)
		if s.rank >= 0 {
			extra *= rankClasses[s.rank].share
		}
		for at := s.from + g.interval(1/extra); at < s.to; at += g.interval(1 / extra) {
			g.addSingle(at, s)
		}
	}
	slices.SortStableFunc(g.arrivals, func(a, b arrival) int { return int(a.at - b.at) })
	return g.arrivals
}

// interval returns a random, exponentially distributed time with the given mean.
func (g *generator) interval(meanSeconds float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() * meanSeconds * float64(time.Second))
}

// pickRank returns a random rank by the shares of the ranks.
func (g *generator) pickRank() int {
	if g.cfg.onlyRank >= 0 {
		return g.cfg.onlyRank
	}
	x := g.rng.Float64()
	for i, c := range rankClasses {
		x -= c.share
		if x < 0 {
			return i
		}
	}
	return len(rankClasses) - 1
}

// tokens returns a random number of tokens.
func (g *generator) tokens(mean float64) int64 {
	// The number is log-normally distributed around the mean with a spread of 0.5,
	// as the lengths of responses are.
	const spread = 0.5
	return max(8, int64(mean*math.Exp(g.rng.NormFloat64()*spread-spread*spread/2)))
}

func (g *generator) newArrival(at time.Duration, rank int) arrival {
	g.chats++
	caller := g.rng.IntN(callers)
	return arrival{
		at: at, rank: rank, caller: caller,
		chat:      fmt.Sprintf("chat-%d", g.chats),
		workspace: fmt.Sprintf("w%d-%d", caller, g.rng.IntN(40)),
		router:    g.rng.IntN(g.cfg.domain.Routers),
		prompt:    g.tokens(800),
		output:    g.tokens(rankClasses[rank].output),
	}
}

// addChat adds the turns of one chat. Most turns follow within minutes, some
// later.
func (g *generator) addChat(at time.Duration) {
	a := g.newArrival(at, g.pickRank())
	for a.turn = 1; a.at < g.cfg.length; a.turn++ {
		if a.at >= 0 {
			g.arrivals = append(g.arrivals, a)
		}
		if g.rng.Float64() < 1.0/meanTurns || a.prompt+a.output > contextTokens {
			return
		}
		meanPause := 80.0 // seconds
		if g.rng.Float64() < 0.1 {
			meanPause = 1800
		}
		a.at += serviceTime(a.output) + g.interval(meanPause)
		a.reusable = a.prompt + a.output
		a.prompt = a.reusable + g.tokens(150)
		a.output = g.tokens(rankClasses[a.rank].output)
		a.router = g.rng.IntN(g.cfg.domain.Routers)
	}
}

// addSingle adds one request of a surge.
func (g *generator) addSingle(at time.Duration, s surge) {
	rank := s.rank
	if rank < 0 {
		rank = g.pickRank()
	}
	a := g.newArrival(at, rank)
	a.surplus = true
	a.turn = 1
	if s.caller >= 0 {
		a.caller = s.caller
	}
	g.arrivals = append(g.arrivals, a)
}
