package bench

import (
	"math/rand/v2"
	"time"

	"github.com/auburnlead/auburnlead/routing"
)

// Targets of routes, and the retry budget under test. The limit of 0.03 for prompt
// tokens that are prefilled again is a third of the 0.09 that placement without
// knowledge of caches reaches at the users' sites. The limit for the share of
// requests above the load bound is set by the users' rules, for a window of 5 s.
const (
	maxPrefillAgainRatio = 0.03
	maxOverBoundShare    = 0.03
	budgetSeconds        = 10   // window of the retry budget
	routeRatio           = 0.2  // retries allowed per request
	routeSlack           = 54   // further retries allowed per window
	minWorkersInUse      = 0.66 // share of an upstream's workers in use when all of them fail
	maxBudgetUse         = 1.0  // retries / allowed retries
)

// routes measures the choice of workers on routes, the retry budgets and the
// ejection of workers.
func (b bencher) routes(size routeSize) {
	scenarios := []routeScenario{
		{name: "steady", length: 40 * time.Second},
		{name: "release and crash", length: 60 * time.Second, release: 15 * time.Second, crash: 35 * time.Second},
		{name: "hot prompt in a flood", length: 40 * time.Second, surge: [2]time.Duration{10 * time.Second, 18 * time.Second}, surgeFactor: 3, hotShare: 0.5},
		{name: "slow workers", length: 40 * time.Second, slow: true},
		{name: "workers slow by turns", length: 40 * time.Second, bursts: true},
		{name: "all routers restart", length: 40 * time.Second, restart: 20 * time.Second},
	}
	for _, scenario := range scenarios {
		for i, strategy := range routeStrategies() {
			if i > 0 && b.short {
				break
			}
			result := simulateRoutes(size, scenario, strategy, b.seed)
			prefillMeasure, overMeasure := "read again / found kept, "+scenario.name, "most above the load bound, "+scenario.name
			if i == 0 {
				b.report.atMost(size.name, prefillMeasure, result.prefillAgainRatio(), maxPrefillAgainRatio)
				b.report.atMost(size.name, overMeasure, result.maxOverBoundShare(), maxOverBoundShare)
				b.report.atMost(size.name, "refused for want of a worker, "+scenario.name, float64(result.refused), 0)
			} else {
				b.report.info(size.name, prefillMeasure, strategy.name, result.prefillAgainRatio())
				b.report.info(size.name, overMeasure, strategy.name, result.maxOverBoundShare())
			}
			b.report.info(size.name, "moved / found kept, "+scenario.name, strategy.name, result.movedRatio())
			b.report.info(size.name, "first token p95 (s), "+scenario.name, strategy.name, result.firstTokenQuantile(0.95))
		}
	}
	b.routeRetries(size)
	b.routeEjection(size)
	b.routePauses(size)
}

// routeRetries lets all requests of all routers fail, with very different shares
// of requests per router, and reports the largest ratio of retries to allowed
// retries in any 10 s.
func (b bencher) routeRetries(size routeSize) {
	const measure = "repeats / allowed in the worst 10 s, all fail"
	for _, strategy := range []struct {
		name  string
		least int // minimum number of routers among which the slack is divided
	}{{"auburnlead", size.routers}, {"slack for each router", 1}} {
		rnd := rand.New(rand.NewPCG(b.seed, 11))
		var fleets []*routing.Fleet
		for range size.routers {
			f := routing.New(routing.Config{Domain: "d", LoadBound: 2, RetryRatio: routeRatio, RetrySlack: routeSlack, MinRouters: strategy.least})
			f.Apply(&routing.WorkerList{Version: 1, At: routeEpoch, Workers: []routing.WorkerInfo{{ID: "w", Upstream: "u"}}})
			fleets = append(fleets, f)
		}
		const seconds = 60
		var sent, retries [seconds]float64
		for s := range seconds {
			for i := range int(size.perSecond) {
				u := rnd.Float64()
				f := fleets[int(u*u*float64(size.routers))]
				now := routeEpoch.Add(time.Duration(s)*time.Second + time.Duration(float64(i)/size.perSecond*float64(time.Second)))
				c, _ := f.Choose(routing.Request{Upstream: "u"}, now)
				f.RecordEnd(c, false, now)
				sent[s]++
				if f.AllowRetry("u", now) {
					retries[s]++
				}
			}
		}
		worst := 0.0
		for s := budgetSeconds; s <= seconds; s++ {
			r, n := 0.0, 0.0
			for k := s - budgetSeconds; k < s; k++ {
				r += retries[k]
				n += sent[k]
			}
			worst = max(worst, r/(routeRatio*n+routeSlack))
		}
		if strategy.name == "auburnlead" {
			b.report.atMost(size.name, measure, worst, maxBudgetUse)
		} else {
			b.report.info(size.name, measure, strategy.name, worst)
		}
	}
}

// routeEjection lets a third of the workers fail most requests, then all workers
// fail all requests. It reports the share of failed requests and the share of
// workers that still get requests.
func (b bencher) routeEjection(size routeSize) {
	failedShare, usedShare := b.measureFaulty(size, true)
	b.report.atLeast(size.name, "workers in use when all fail / all", usedShare, minWorkersInUse)
	b.report.info(size.name, "failed requests, a third of the workers faulty", "auburnlead", failedShare)
	failedShare, _ = b.measureFaulty(size, false)
	b.report.info(size.name, "failed requests, a third of the workers faulty", "no ejection", failedShare)
}

// measureFaulty returns the share of the requests that fail while a third of the
// workers is faulty, and the share of the workers that are used while all are.
func (b bencher) measureFaulty(size routeSize, eject bool) (failedShare, usedShare float64) {
	rnd := rand.New(rand.NewPCG(b.seed, 13))
	f := routing.New(routing.Config{Domain: "d", LoadBound: 2, RetryRatio: routeRatio, RetrySlack: routeSlack, MinRouters: 1})
	list := &routing.WorkerList{Version: 1, At: routeEpoch}
	faulty := map[string]bool{}
	for i := range size.workers {
		worker := routing.WorkerInfo{ID: string(rune('A'+i%26)) + string(rune('a'+i/26)), Upstream: "u", FailureDomain: "d"}
		faulty[worker.ID] = i < size.workers/3
		list.Workers = append(list.Workers, worker)
	}
	f.Apply(list)
	const requests = 6000
	inUse := map[string]bool{}
	for i := range requests {
		now := routeEpoch.Add(time.Duration(i) * 10 * time.Millisecond)
		c, _ := f.Choose(routing.Request{Upstream: "u", SharedParts: []routing.PromptPart{{ID: rnd.Uint64N(300) + 1, Tokens: 1}}}, now)
		allFaulty := i >= requests/2
		ok := !allFaulty && (!faulty[c.Worker.ID] || rnd.Float64() < 0.1)
		f.RecordEnd(c, ok, now)
		if !ok && eject {
			f.RecordFailure(c.Worker, now)
		}
		if !allFaulty && !ok {
			failedShare++
		}
		if i >= requests-500 {
			inUse[c.Worker.ID] = true
		}
	}
	return failedShare / (requests / 2), float64(len(inUse)) / float64(size.workers)
}
