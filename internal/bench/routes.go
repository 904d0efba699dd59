package bench

import (
	"math"
	"slices"
	"time"
)

// Routers that choose workers by package routing, each with what it sees
// itself and what the others tell it some hundred ms later. A worker reads
// prompts one after another and runs requests side by side, each the slower the
// more there are.

// routeSize is a deployment of routers in front of one upstream.
type routeSize struct {
	name             string
	routers, workers int
	perSecond        float64 // requests
}

// routeSizes are the two sites and a grown one.
func routeSizes() []routeSize {
	return []routeSize{{"kup-seva", 9, 9, 60}, {"board", 7, 9, 46}, {"grown", 86, 60, 420}}
}

// Figures of the workers and of the load.
const (
	routeSlots       = 64
	routeCache       = 433_000                 // tokens that a worker keeps
	routePrefill     = 48_000                  // prompt tokens that a worker reads in a second
	routeStep        = 2600 * time.Microsecond // one token, and for each other request
	routeStepEach    = 120 * time.Microsecond
	routeTellLeast   = 150 * time.Millisecond // until another router knows a load
	routeTellMost    = 600 * time.Millisecond
	routeTell        = 250 * time.Millisecond // period of messages between routers
	routeGone        = 300 * time.Millisecond // until a silent worker is found lost
	routeCapFactor   = 2.0
	routeWindow      = 5 * time.Second
	routeChains      = 600 // different shared prompts
	routeRoots       = 12
	routeReuseWindow = 10 * time.Second // a part unused for longer is new
)

// routeDay is what happens in a run.
type routeDay struct {
	name    string
	length  time.Duration
	surge   [2]time.Duration // one prompt gets most of surgeBy times the requests
	surgeBy float64
	release time.Duration // 40% of the workers are replaced, one a second
	crash   time.Duration // a fifth of the workers falls silent
	restart time.Duration // all routers lose what they know
	slow    bool          // a fifth of the workers takes four times as long
}

// routeWay is a way of choosing.
type routeWay struct {
	name    string
	prompts bool    // requests go where their prompt is
	told    bool    // routers tell one another of loads
	bound   float64 // of the mean load, math.MaxFloat64 for none
	copies  bool    // parts are copied from other workers
	knows   bool    // an oracle: knows what each worker has and its load
}

func routeWays() []routeWay {
	return []routeWay{
		{"auburnlead", true, true, routeCapFactor, true, false},
		{"oracle", true, true, routeCapFactor, true, true},
		{"least busy", false, true, routeCapFactor, false, false},
		{"hash without bound", true, true, math.MaxFloat32, false, false},
		{"own loads only", true, false, routeCapFactor, true, false},
	}
}

// routeResult is what a run showed.
type routeResult struct {
	again, kept int   // shared tokens read again within routeReuseWindow, and found kept
	sent, over  []int // by 100 ms: requests sent, and those to workers above the bound
	firstTokens []time.Duration
	refused     int // requests without a worker to go to
}

// reread is the share of shared tokens read again, of those found kept.
func (r *routeResult) reread() float64 { return float64(r.again) / float64(r.kept) }

// worstOver is the largest share of requests above the bound in any window
// with 20 such requests.
func (r *routeResult) worstOver() float64 {
	worst, n := 0.0, int(routeWindow/(100*time.Millisecond))
	for i := 0; i+n <= len(r.sent); i++ {
		sent, over := 0, 0
		for k := i; k < i+n; k++ {
			sent += r.sent[k]
			over += r.over[k]
		}
		if over >= 20 {
			worst = max(worst, float64(over)/float64(sent))
		}
	}
	return worst
}

// latest is a quantile of the times to the first token, in seconds.
func (r *routeResult) latest(q float64) float64 {
	slices.Sort(r.firstTokens)
	return r.firstTokens[int(q*float64(len(r.firstTokens)-1))].Seconds()
}
