package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/routing"
)

// routeWorker is a simulated worker.
type routeWorker struct {
	routing.WorkerInfo
	slowFactor    float64
	burstFactor   float64 // further factor while the machine is busy with other work, else 1
	unresponsive  bool
	running       int
	queue         []func(time.Duration)
	prefillFreeAt time.Duration // when the prefill of all earlier prompts ends
	partLastUsed  map[uint64]time.Duration
	partTokens    map[uint64]int
	cachedTokens  int
	cacheLimit    int            // tokens that the cache holds
	loadReports   []routing.Load // in order of time
}

// factor is how much longer work takes than usual.
func (w *routeWorker) factor() float64 { return w.slowFactor * w.burstFactor }

func (w *routeWorker) workPercent() int { return int(100 * w.burstFactor) }

func (w *routeWorker) load() int { return w.running + len(w.queue) }

func (w *routeWorker) hasPart(id uint64) bool { _, ok := w.partLastUsed[id]; return ok }

// storeParts caches prompt parts and evicts the least recently used ones.
func (w *routeWorker) storeParts(parts []routing.PromptPart, now time.Duration) {
	for _, p := range parts {
		if !w.hasPart(p.ID) {
			w.partTokens[p.ID] = p.Tokens
			w.cachedTokens += p.Tokens
		}
		w.partLastUsed[p.ID] = now
	}
	for w.cachedTokens > w.cacheLimit {
		oldest := uint64(0)
		for id, used := range w.partLastUsed {
			if oldest == 0 || used < w.partLastUsed[oldest] || used == w.partLastUsed[oldest] && id < oldest {
				oldest = id
			}
		}
		w.cachedTokens -= w.partTokens[oldest]
		delete(w.partLastUsed, oldest)
		delete(w.partTokens, oldest)
	}
}

// routeEvent is an action at a point of virtual time.
type routeEvent struct {
	at     time.Duration
	seq    int
	action func(now time.Duration)
}

type routeEventQueue []routeEvent

func (e routeEventQueue) Len() int { return len(e) }
func (e routeEventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e routeEventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *routeEventQueue) Push(x any)   { *e = append(*e, x.(routeEvent)) }
func (e *routeEventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// routeSim is one simulation run.
type routeSim struct {
	size           routeSize
	scenario       routeScenario
	strategy       routeStrategy
	rnd            *rand.Rand
	speedRnd       *rand.Rand // of the messages about speeds, so that they change nothing else
	events         routeEventQueue
	seq            int
	workers        []*routeWorker
	byID           map[string]*routeWorker
	byAddr         map[string]*routeWorker
	fleets         []*routing.Fleet
	workerList     *routing.WorkerList
	partLastUsed   map[uint64]time.Duration // when a part was last used on any worker
	prompts        [][]routing.PromptPart
	workersCreated int
	result         routeResult
}

// routeEpoch is the wall-clock time at which runs begin.
var routeEpoch = time.Unix(1_700_000_000, 0)

func (r *routeSim) schedule(t time.Duration, action func(time.Duration)) {
	r.seq++
	heap.Push(&r.events, routeEvent{t, r.seq, action})
}

// simulateRoutes runs a scenario.
func simulateRoutes(size routeSize, scenario routeScenario, strategy routeStrategy, seed uint64) *routeResult {
	r := &routeSim{size: size, scenario: scenario, strategy: strategy, rnd: rand.New(rand.NewPCG(seed, 7)), speedRnd: rand.New(rand.NewPCG(seed, 8)), byID: map[string]*routeWorker{}, byAddr: map[string]*routeWorker{}, partLastUsed: map[uint64]time.Duration{}}
	steps := int(scenario.length/(100*time.Millisecond)) + 1
	r.result.sent, r.result.overBound = make([]int, steps), make([]int, steps)
	for range size.workers {
		r.workers = append(r.workers, r.newWorker())
	}
	if scenario.slow {
		for _, w := range r.workers[:max(1, size.workers/5)] {
			w.slowFactor = 4
		}
	}
	r.makePrompts()
	r.startRouters(0)
	r.planScenario()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(routeEvent)
		if e.at > scenario.length {
			break
		}
		e.action(e.at)
	}
	return &r.result
}

func (r *routeSim) newWorker() *routeWorker {
	r.workersCreated++
	w := &routeWorker{slowFactor: 1, burstFactor: 1, cacheLimit: r.size.model.cacheTokens, partLastUsed: map[uint64]time.Duration{}, partTokens: map[uint64]int{}}
	w.WorkerInfo = routing.WorkerInfo{ID: fmt.Sprintf("w%d", r.workersCreated), Upstream: "u", Address: fmt.Sprintf("a%d", r.workersCreated), FailureDomain: "d", Slots: r.size.model.slots}
	r.byID[w.ID], r.byAddr[w.Address] = w, w
	return w
}

// makePrompts creates prompts from a root part that many prompts share and a
// second part of their own. The part that belongs to a single request is added
// later.
func (r *routeSim) makePrompts() {
	for i := range r.size.model.prompts {
		kind := r.size.model.kinds[i%len(r.size.model.kinds)]
		root := uint64(1 + i%routeRoots)
		r.prompts = append(r.prompts, []routing.PromptPart{{ID: root, Tokens: kind.shared / 5}, {ID: uint64(1000 + i), Tokens: kind.shared * 4 / 5}})
	}
}

// pickPrompt picks a kind by its fraction and then a prompt of the kind.
// Squaring the random number favours low indexes: a tenth of the prompts of a
// kind gets a third of its requests.
func (r *routeSim) pickPrompt() (prompt []routing.PromptPart, kind int) {
	kinds, u := r.size.model.kinds, r.rnd.Float64()
	for kind < len(kinds)-1 && u > kinds[kind].share {
		u -= kinds[kind].share
		kind++
	}
	each := r.size.model.prompts / len(kinds)
	v := r.rnd.Float64()
	return r.prompts[int(v*v*float64(each))*len(kinds)+kind], kind
}

func (r *routeSim) startRouters(now time.Duration) {
	r.fleets = nil
	for range r.size.routers {
		f := routing.New(routing.Config{Domain: "d", LoadBound: r.strategy.loadBound, RetryRatio: 0.2, RetrySlack: 54, MinRouters: r.size.routers, LearnSpeed: r.strategy.learnsSpeed, Random: r.rnd.IntN})
		r.fleets = append(r.fleets, f)
	}
	r.publishWorkers(now)
}

// publishWorkers gives the worker list to all routers.
func (r *routeSim) publishWorkers(now time.Duration) {
	r.workerList = &routing.WorkerList{Version: int64(now) + 1, At: routeEpoch.Add(now)}
	for _, w := range r.workers {
		r.workerList.Workers = append(r.workerList.Workers, w.WorkerInfo)
	}
	for _, f := range r.fleets {
		f.Apply(r.workerList)
	}
}

// planScenario schedules the events of the scenario.
func (r *routeSim) planScenario() {
	scenario := r.scenario
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		rate := r.size.perSecond
		surging := now >= scenario.surge[0] && now < scenario.surge[1]
		if surging {
			rate *= scenario.surgeFactor
		}
		r.newRequest(now, surging)
		r.schedule(now+time.Duration(r.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	r.schedule(0, arrive)
	if r.strategy.sharesLoads {
		for i := range r.size.routers {
			var share func(now time.Duration)
			share = func(now time.Duration) {
				r.shareLoads(i, now)
				r.shareSpeeds(i, now)
				r.schedule(now+loadShareInterval, share)
			}
			r.schedule(time.Duration(r.rnd.Int64N(int64(loadShareInterval))), share)
		}
	}
	r.planThirdSlow()
	if scenario.bursts {
		for _, w := range r.workers {
			r.scheduleBursts(w)
		}
	}
	if scenario.release > 0 {
		for i := range r.size.workers * 2 / 5 {
			at := scenario.release + time.Duration(i)*time.Second*10/time.Duration(r.size.workers)
			r.schedule(at, func(now time.Duration) {
				r.workers = append(r.workers, r.newWorker())
				r.publishWorkers(now)
			})
			r.schedule(at+500*time.Millisecond, func(now time.Duration) {
				r.workers = r.workers[1:]
				r.publishWorkers(now)
			})
		}
	}
	if scenario.crash > 0 {
		r.schedule(scenario.crash, func(now time.Duration) {
			crashed := r.workers[:max(1, len(r.workers)/5)]
			for _, w := range crashed {
				w.unresponsive = true
			}
			r.schedule(now+3*time.Second, func(now time.Duration) {
				r.workers = slices.DeleteFunc(slices.Clone(r.workers), func(w *routeWorker) bool { return w.unresponsive })
				for range crashed {
					r.workers = append(r.workers, r.newWorker())
				}
				r.publishWorkers(now)
			})
		})
	}
	if scenario.restart > 0 {
		r.schedule(scenario.restart, r.startRouters)
	}
}

// scheduleBursts lets a worker turn slow and usual by turns.
func (r *routeSim) scheduleBursts(w *routeWorker) {
	var toggle func(now time.Duration)
	toggle = func(now time.Duration) {
		mean := meanBurst
		if w.burstFactor = 1 + burstFactor - w.burstFactor; w.burstFactor == 1 {
			mean = meanBetweenBursts
		}
		r.schedule(now+time.Duration(r.rnd.ExpFloat64()*float64(mean)), toggle)
	}
	r.schedule(time.Duration(r.rnd.ExpFloat64()*float64(meanBetweenBursts)), toggle)
}

// shareLoads gives a router the newest loads that have had the time to reach
// it.
func (r *routeSim) shareLoads(router int, now time.Duration) {
	var loads []routing.Load
	age := minLoadDelay + time.Duration(r.rnd.Int64N(int64(maxLoadDelay-minLoadDelay)))
	for _, w := range r.workers {
		for i := len(w.loadReports) - 1; i >= 0; i-- {
			if !w.loadReports[i].At.After(routeEpoch.Add(now - age)) {
				loads = append(loads, w.loadReports[i])
				break
			}
		}
	}
	r.fleets[router].RecordSharedLoads(r.size.routers, loads, routeEpoch.Add(now))
}

// pushLoad gives the load of a worker that has reached the limit to nearly all routers
// within a few hops.
func (r *routeSim) pushLoad(load routing.Load, now time.Duration) {
	for _, f := range r.fleets {
		if r.rnd.Float64() > pushReach {
			continue
		}
		delay := minPushDelay + time.Duration(r.rnd.Int64N(int64(maxPushDelay-minPushDelay)))
		r.schedule(now+delay, func(now time.Duration) {
			f.RecordSharedLoads(r.size.routers, []routing.Load{load}, routeEpoch.Add(now))
		})
	}
}

// newRequest starts one request. During a surge a part of them use the hot
// prompts.
func (r *routeSim) newRequest(now time.Duration, surging bool) {
	kinds := r.size.model.kinds
	prompt, kind := r.pickPrompt()
	if surging && r.rnd.Float64() < r.scenario.hotShare {
		i := 1 + r.rnd.IntN(max(r.scenario.hotPrompts, 1))
		prompt, kind = r.prompts[i], i%len(kinds)
	}
	own := routing.PromptPart{ID: uint64(1_000_000 + r.seq), Tokens: kinds[kind].own}
	outputTokens := 1 + int(float64(kinds[kind].outputTokens)*(0.5+r.rnd.Float64()))
	router := r.rnd.IntN(r.size.routers)
	r.attempt(now, now, router, append(slices.Clone(prompt), own), kind, outputTokens, nil)
}

func (r *routeSim) attempt(now, arrivedAt time.Duration, router int, prompt []routing.PromptPart, kind, outputTokens int, tried []*routing.Worker) {
	f := r.fleets[router]
	q := routing.Request{Upstream: "u", Tried: tried, ExpectedOutput: outputTokens, Target: largestTarget}
	for _, p := range prompt {
		q.PromptTokens += p.Tokens
	}
	if r.strategy.byPrompt {
		q.SharedParts = routing.SharedParts(prompt)
	}
	c, ok := f.Choose(q, routeEpoch.Add(now))
	if !ok {
		r.result.refused++
		return
	}
	w, fetchFrom := r.byID[c.Worker.ID], r.byAddr[c.FetchFrom]
	if r.strategy.isOracle {
		w, fetchFrom = r.oracleChoice(prompt)
	}
	if w.unresponsive {
		r.schedule(now+unreachableTimeout, func(now time.Duration) {
			f.RecordEnd(c, false, routeEpoch.Add(now))
			f.SetUnreachable(c.Worker, true)
			r.attempt(now, arrivedAt, router, prompt, kind, outputTokens, append(tried, c.Worker))
		})
		return
	}
	r.recordRequest(w, now)
	r.recordSlow(w, now)
	if r.strategy.fetchesParts && fetchFrom != nil && fetchFrom != w && !fetchFrom.unresponsive {
		fetched := fetchFrom.cachedPrefix(prompt)
		for _, p := range fetched[min(len(w.cachedPrefix(prompt)), len(fetched)):] {
			r.result.movedTokens += p.Tokens
		}
		w.storeParts(fetched, now)
	}
	start := func(now time.Duration) { r.runRequest(w, now, arrivedAt, f, c, prompt, kind, outputTokens) }
	if w.running >= r.size.model.slots {
		w.queue = append(w.queue, start)
		return
	}
	w.running++
	start(now)
}

// recordRequest counts a request and whether its worker is above the load
// bound.
func (r *routeSim) recordRequest(w *routeWorker, now time.Duration) {
	sum := 0
	for _, other := range r.workers {
		sum += other.load()
	}
	step := int(now / (100 * time.Millisecond))
	r.result.sent[step]++
	if float64(w.load()) > routeLoadBound*float64(sum)/float64(len(r.workers))+3 {
		r.result.overBound[step]++
	}
}

// cachedPrefix returns the parts at the start of a prompt that the worker has
// cached.
func (w *routeWorker) cachedPrefix(prompt []routing.PromptPart) []routing.PromptPart {
	for i, p := range prompt {
		if !w.hasPart(p.ID) {
			return prompt[:i]
		}
	}
	return prompt
}

// oracleChoice returns the oracle's choice: among the workers within the load
// bound the one with most cached parts of the prompt, and a worker to fetch
// parts from.
func (r *routeSim) oracleChoice(prompt []routing.PromptPart) (chosen, fetchFrom *routeWorker) {
	sum := 0
	for _, w := range r.workers {
		sum += w.load()
	}
	limit := routeLoadBound*float64(sum)/float64(len(r.workers)) + 2
	for _, w := range r.workers {
		if w.unresponsive {
			continue
		}
		if fetchFrom == nil || len(w.cachedPrefix(prompt)) > len(fetchFrom.cachedPrefix(prompt)) {
			fetchFrom = w
		}
		if float64(w.load()) >= limit {
			continue
		}
		if chosen == nil || len(w.cachedPrefix(prompt)) > len(chosen.cachedPrefix(prompt)) || len(w.cachedPrefix(prompt)) == len(chosen.cachedPrefix(prompt)) && w.load() < chosen.load() {
			chosen = w
		}
	}
	return chosen, fetchFrom
}

// runRequest prefills the parts of the prompt that are not cached and generates
// the output.
func (r *routeSim) runRequest(w *routeWorker, now, arrivedAt time.Duration, f *routing.Fleet, c routing.Choice, prompt []routing.PromptPart, kind, outputTokens int) {
	cached := len(w.cachedPrefix(prompt))
	prefill := 0
	for i, p := range prompt {
		last, known := r.partLastUsed[p.ID]
		switch {
		case i < cached:
			r.result.cachedTokens += p.Tokens
		case known && now-last <= routeReuseWindow:
			r.result.prefilledAgain += p.Tokens
		}
		if i >= cached {
			prefill += p.Tokens
		}
		r.partLastUsed[p.ID] = now
	}
	w.prefillFreeAt = max(w.prefillFreeAt, now) + time.Duration(w.factor()*float64(prefill)/r.size.model.prefill*float64(time.Second))
	r.schedule(w.prefillFreeAt, func(now time.Duration) {
		w.storeParts(prompt, now)
		r.result.firstTokens = append(r.result.firstTokens, now-arrivedAt)
		f.RecordFirstByte(c, now-arrivedAt)
		r.recordLargest(kind, arrivedAt, now)
		report := routing.Load{WorkerHash: gossip.WorkerHash(w.ID), InFlight: w.load(), At: routeEpoch.Add(now)}
		w.loadReports = append(w.loadReports, report)
		if f.RecordLoad(c.Worker, w.load(), w.workPercent(), routeEpoch.Add(now)).ReachedLimit && r.strategy.sharesLoads {
			r.pushLoad(report, now)
		}
		step := time.Duration(w.factor() * float64(r.size.model.step+time.Duration(w.running)*r.size.model.stepEach))
		r.planPace(w, f, c, now, step, outputTokens)
		r.schedule(now+time.Duration(outputTokens)*step, func(now time.Duration) {
			f.RecordEnd(c, !w.unresponsive, routeEpoch.Add(now))
			w.running--
			if len(w.queue) > 0 {
				next := w.queue[0]
				w.queue = w.queue[1:]
				w.running++
				next(now)
			}
		})
	})
}
