package bench

import (
	"math"
	"slices"
	"time"
)

// Simulation of routers that choose workers with package routing. Each router
// knows its own observations at once, and loads reported by other routers after a
// few hundred ms. A worker prefills prompts one after another and runs requests
// concurrently; the more requests run, the slower each of them is.

// routeSize is a deployment of routers in front of one upstream.
type routeSize struct {
	name             string
	routers, workers int
	perSecond        float64 // requests per second
	model            routeModel
}

// routeModel describes the workers and the requests of a deployment.
type routeModel struct {
	slots, cacheTokens int
	prefill            float64       // prompt tokens that a worker prefills per second
	step, stepEach     time.Duration // time per token, and what is added for each running request
	kinds              []routeKind
	prompts            int // number of different shared prompts
}

// routeKind is a kind of requests.
type routeKind struct {
	share        float64 // fraction of the requests
	shared, own  int     // tokens of the prompt's shared parts, and of the part of the request alone
	outputTokens int
}

// usualModel is the model of the sizes of routeSizes: reports on long prompts, questions,
// and short classification requests.
var usualModel = routeModel{
	slots: routeSlots, cacheTokens: routeCacheTokens, prefill: routePrefill, step: routeStep, stepEach: routeStepEach, prompts: routePrompts,
	kinds: []routeKind{{0.23, 10_000, 200, 400}, {0.41, 700, 200, 300}, {0.36, 2_000, 200, 20}},
}

// routeSizes returns the sizes of the two sites and a larger one.
func routeSizes() []routeSize {
	return []routeSize{{"kup-seva", 9, 9, 60, usualModel}, {"board", 7, 9, 46, usualModel}, {"grown", 86, 60, 420, usualModel}, {"large", 95, 58, 320, usualModel}}
}

// Parameters of the workers and of the load.
const (
	routeSlots         = 64                      // slots of a worker
	routeCacheTokens   = 433_000                 // capacity of a worker's prefix cache
	routePrefill       = 48_000                  // prompt tokens that a worker prefills per second
	routeStep          = 2600 * time.Microsecond // time per token; routeStepEach is added for each running request
	routeStepEach      = 120 * time.Microsecond
	minLoadDelay       = 150 * time.Millisecond  // shortest delay until another router knows a load
	maxLoadDelay       = 600 * time.Millisecond  // longest such delay
	minPushDelay       = 10 * time.Millisecond   // shortest delay until another router knows a load that is pushed
	maxPushDelay       = 100 * time.Millisecond  // longest such delay
	pushReach          = 0.94                    // share of the routers that a push reaches
	loadShareInterval  = 250 * time.Millisecond  // period of load messages between routers
	unreachableTimeout = 300 * time.Millisecond  // until an unresponsive worker counts as unreachable
	routeLoadBound     = 2.0                     // multiple of the mean load
	routeWindow        = 5 * time.Second         // window of maxOverBoundShare
	routePrompts       = 600                     // number of different shared prompts
	burstFactor        = 2.5                     // how much longer work takes in a burst
	meanBurst          = 500 * time.Millisecond  // mean length of a burst
	meanBetweenBursts  = 2800 * time.Millisecond // mean time between two bursts of a worker
	routeRoots         = 12                      // number of different first parts of shared prompts
	routeReuseWindow   = 10 * time.Second        // a part unused for longer counts as new
)

// routeScenario describes the events of a run. Times count from its start; 0 means
// that the event does not occur, and hotPrompts that there is one.
type routeScenario struct {
	name        string
	length      time.Duration
	surge       [2]time.Duration // start and end of a surge: the request rate is multiplied by surgeFactor, and hotShare of the requests use the hot prompts
	surgeFactor float64
	hotShare    float64
	hotPrompts  int
	release     time.Duration    // 40% of the workers are replaced, spread over 4 s
	crash       time.Duration    // a fifth of the workers stops responding
	restart     time.Duration    // all routers lose their state
	bursts      bool             // each worker turns slow and usual by turns, since others use its machine
	slow        bool             // a fifth of the workers takes four times as long
	thirdSlow   [2]time.Duration // start and end of a time in which a third of the workers takes three times as long
}

// routeStrategy is a strategy for choosing workers.
type routeStrategy struct {
	name         string
	byPrompt     bool    // requests go to a worker that has their prompt cached
	sharesLoads  bool    // routers share the loads that they know
	loadBound    float64 // multiple of the mean load; math.MaxFloat32 for none
	fetchesParts bool    // workers fetch cached parts from each other
	isOracle     bool    // knows the cache and the load of each worker
	learnsSpeed  bool    // routers learn which workers are slow
}

func routeStrategies() []routeStrategy {
	return []routeStrategy{
		{"auburnlead", true, true, routeLoadBound, true, false, true},
		{"oracle", true, true, routeLoadBound, true, true, false},
		{"least busy", false, true, routeLoadBound, false, false, false},
		{"hash without bound", true, true, math.MaxFloat32, false, false, false},
		{"own loads only", true, false, routeLoadBound, true, false, false},
	}
}

// routeResult has the measurements of a run.
type routeResult struct {
	prefilledAgain, cachedTokens int   // shared tokens prefilled again within routeReuseWindow, and shared tokens found in the cache
	movedTokens                  int   // shared tokens that workers fetched from each other
	sent, overBound              []int // by 100 ms: requests sent, and requests sent to workers above the load bound
	firstTokens                  []time.Duration
	largest, largestOnTime       int           // requests of the first kind from the start of scenario.thirdSlow to its end, and those whose first token came within largestTarget
	foundAfter                   time.Duration // from the start of scenario.thirdSlow, see routeSim.watchSlow
	sentInSlowTime, slowSent     int           // requests of all kinds in that time, and those sent to slow workers
	refused                      int           // requests for which no worker was available
}

// prefillAgainRatio returns the shared tokens prefilled again relative to those
// found in the cache.
func (r *routeResult) prefillAgainRatio() float64 {
	return float64(r.prefilledAgain) / float64(r.cachedTokens)
}

// movedRatio returns the shared tokens that workers fetched from each other
// relative to those found in the cache.
func (r *routeResult) movedRatio() float64 { return float64(r.movedTokens) / float64(r.cachedTokens) }

// maxOverBoundShare returns the largest share of requests above the load bound in
// any window of routeWindow with at least 20 such requests.
func (r *routeResult) maxOverBoundShare() float64 {
	worst, n := 0.0, int(routeWindow/(100*time.Millisecond))
	for i := 0; i+n <= len(r.sent); i++ {
		sent, over := 0, 0
		for k := i; k < i+n; k++ {
			sent += r.sent[k]
			over += r.overBound[k]
		}
		if over >= 20 {
			worst = max(worst, float64(over)/float64(sent))
		}
	}
	return worst
}

// firstTokenQuantile returns a quantile of the times to the first token, in
// seconds.
func (r *routeResult) firstTokenQuantile(q float64) float64 {
	slices.Sort(r.firstTokens)
	return r.firstTokens[int(q*float64(len(r.firstTokens)-1))].Seconds()
}
