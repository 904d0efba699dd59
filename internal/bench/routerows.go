package bench

import (
	"math/rand/v2"
	"time"

	"github.com/auburnlead/auburnlead/routing"
)

// Targets of routes. A reread of at most 0.03 is a third of the 0.09 that
// placement without knowledge of caches reaches at the users' sites; the share
// above the bound is what the users' rules allow in 5 s.
const (
	rereadMost    = 0.03
	overMost      = 0.03
	slackSeconds  = 10
	routeRatio    = 0.2
	routeSlack    = 54
	leastWorkers  = 0.66 // of an upstream in use when all its workers fail
	routeMaxShare = 1.0
)

// routes measures the choice of workers on routes, the retry budgets and the
// ejection of workers.
func (b bencher) routes(size routeSize) {
	days := []routeDay{
		{name: "release and crash", length: 60 * time.Second, release: 15 * time.Second, crash: 35 * time.Second},
		{name: "hot prompt in a flood", length: 40 * time.Second, surge: [2]time.Duration{10 * time.Second, 18 * time.Second}, surgeBy: 3},
		{name: "slow workers", length: 40 * time.Second, slow: true},
		{name: "all routers restart", length: 40 * time.Second, restart: 20 * time.Second},
	}
	for _, day := range days {
		for i, way := range routeWays() {
			if i > 0 && b.short {
				break
			}
			result := simulateRoutes(size, day, way, b.seed)
			reread, over := "read again / found kept, "+day.name, "most above the load bound, "+day.name
			if i == 0 {
				b.report.atMost(size.name, reread, result.reread(), rereadMost)
				b.report.atMost(size.name, over, result.worstOver(), overMost)
				b.report.atMost(size.name, "refused for want of a worker, "+day.name, float64(result.refused), 0)
			} else {
				b.report.info(size.name, reread, way.name, result.reread())
				b.report.info(size.name, over, way.name, result.worstOver())
			}
			b.report.info(size.name, "first token p95 (s), "+day.name, way.name, result.latest(0.95))
		}
	}
	b.routeRetries(size)
	b.routeEjection(size)
}

// routeRetries has all requests of all routers fail, with routers that get
// very different shares of them, and counts the repeats in any 10 s.
func (b bencher) routeRetries(size routeSize) {
	const measure = "repeats / allowed in the worst 10 s, all fail"
	for _, way := range []struct {
		name  string
		least int // routers among which the slack is divided
	}{{"auburnlead", size.routers}, {"slack for each router", 1}} {
		rnd := rand.New(rand.NewPCG(b.seed, 11))
		var fleets []*routing.Fleet
		for range size.routers {
			f := routing.New(routing.Config{Domain: "d", LoadBound: 2, RetryRatio: routeRatio, RetrySlack: routeSlack, MinRouters: way.least})
			f.Apply(&routing.WorkerList{Version: 1, At: routeStart, Workers: []routing.WorkerInfo{{ID: "w", Upstream: "u"}}})
			fleets = append(fleets, f)
		}
		const seconds = 60
		var sent, repeats [seconds]float64
		for s := range seconds {
			for i := range int(size.perSecond) {
				u := rnd.Float64()
				f := fleets[int(u*u*float64(size.routers))]
				now := routeStart.Add(time.Duration(s)*time.Second + time.Duration(float64(i)/size.perSecond*float64(time.Second)))
				c, _ := f.Choose(routing.Request{Upstream: "u"}, now)
				f.RecordEnd(c, false, now)
				sent[s]++
				if f.AllowRetry("u", now) {
					repeats[s]++
				}
			}
		}
		worst := 0.0
		for s := slackSeconds; s <= seconds; s++ {
			r, n := 0.0, 0.0
			for k := s - slackSeconds; k < s; k++ {
				r += repeats[k]
				n += sent[k]
			}
			worst = max(worst, r/(routeRatio*n+routeSlack))
		}
		if way.name == "auburnlead" {
			b.report.atMost(size.name, measure, worst, routeMaxShare)
		} else {
			b.report.info(size.name, measure, way.name, worst)
		}
	}
}

// routeEjection has a third of the workers fail most requests, then all of
// them, and counts where requests go.
func (b bencher) routeEjection(size routeSize) {
	met, used := b.failing(size, true)
	b.report.atLeast(size.name, "workers in use when all fail / all", used, leastWorkers)
	b.report.info(size.name, "failed requests, a third of the workers faulty", "auburnlead", met)
	met, _ = b.failing(size, false)
	b.report.info(size.name, "failed requests, a third of the workers faulty", "no ejection", met)
}

// failing returns the share of the requests that meet a faulty worker, and of
// the workers that are used while all are faulty.
func (b bencher) failing(size routeSize, eject bool) (met, used float64) {
	rnd := rand.New(rand.NewPCG(b.seed, 13))
	f := routing.New(routing.Config{Domain: "d", LoadBound: 2, RetryRatio: routeRatio, RetrySlack: routeSlack, MinRouters: 1})
	list := &routing.WorkerList{Version: 1, At: routeStart}
	faulty := map[string]bool{}
	for i := range size.workers {
		l := routing.WorkerInfo{ID: string(rune('A'+i%26)) + string(rune('a'+i/26)), Upstream: "u", FailureDomain: "d"}
		faulty[l.ID] = i < size.workers/3
		list.Workers = append(list.Workers, l)
	}
	f.Apply(list)
	const requests = 6000
	inUse := map[string]bool{}
	for i := range requests {
		now := routeStart.Add(time.Duration(i) * 10 * time.Millisecond)
		c, _ := f.Choose(routing.Request{Upstream: "u", SharedParts: []routing.PromptPart{{ID: rnd.Uint64N(300) + 1, Tokens: 1}}}, now)
		all := i >= requests/2
		ok := !all && (!faulty[c.Worker.ID] || rnd.Float64() < 0.1)
		f.RecordEnd(c, ok, now)
		if !ok && eject {
			f.RecordFailure(c.Worker, now)
		}
		if !all && !ok {
			met++
		}
		if i >= requests-500 {
			inUse[c.Worker.ID] = true
		}
	}
	return met / (requests / 2), float64(len(inUse)) / float64(size.workers)
}
