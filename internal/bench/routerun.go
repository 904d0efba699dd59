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

// routeWorker is a worker of a run.
type routeWorker struct {
	routing.WorkerInfo
	slow     float64
	silent   bool
	running  int
	waiting  []func(time.Duration)
	reads    time.Duration // until its prompt reader is free
	parts    map[uint64]time.Duration
	tokens   map[uint64]int
	keeps    int
	reported []routing.Load // by time
}

func (w *routeWorker) busy() int { return w.running + len(w.waiting) }

func (w *routeWorker) has(id uint64) bool { _, ok := w.parts[id]; return ok }

// keep takes parts into the cache; the least recently used yield.
func (w *routeWorker) keep(parts []routing.PromptPart, now time.Duration) {
	for _, p := range parts {
		if !w.has(p.ID) {
			w.tokens[p.ID] = p.Tokens
			w.keeps += p.Tokens
		}
		w.parts[p.ID] = now
	}
	for w.keeps > routeCache {
		oldest := uint64(0)
		for id, used := range w.parts {
			if oldest == 0 || used < w.parts[oldest] || used == w.parts[oldest] && id < oldest {
				oldest = id
			}
		}
		w.keeps -= w.tokens[oldest]
		delete(w.parts, oldest)
		delete(w.tokens, oldest)
	}
}

// routeEvent is something that happens at a time.
type routeEvent struct {
	at    time.Duration
	order int
	do    func(now time.Duration)
}

type routeEvents []routeEvent

func (e routeEvents) Len() int { return len(e) }
func (e routeEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e routeEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *routeEvents) Push(x any)   { *e = append(*e, x.(routeEvent)) }
func (e *routeEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// routeRun is one run.
type routeRun struct {
	size    routeSize
	day     routeDay
	way     routeWay
	rnd     *rand.Rand
	events  routeEvents
	order   int
	workers []*routeWorker
	byID    map[string]*routeWorker
	byAddr  map[string]*routeWorker
	fleets  []*routing.Fleet
	list    *routing.WorkerList
	used    map[uint64]time.Duration // when a part was last used anywhere
	chains  [][]routing.PromptPart
	made    int
	result  routeResult
}

// routeStart is the time of day at which runs begin.
var routeStart = time.Unix(1_700_000_000, 0)

func (r *routeRun) at(t time.Duration, do func(time.Duration)) {
	r.order++
	heap.Push(&r.events, routeEvent{t, r.order, do})
}

// simulateRoutes runs a day.
func simulateRoutes(size routeSize, day routeDay, way routeWay, seed uint64) *routeResult {
	r := &routeRun{size: size, day: day, way: way, rnd: rand.New(rand.NewPCG(seed, 7)), byID: map[string]*routeWorker{}, byAddr: map[string]*routeWorker{}, used: map[uint64]time.Duration{}}
	steps := int(day.length/(100*time.Millisecond)) + 1
	r.result.sent, r.result.over = make([]int, steps), make([]int, steps)
	for range size.workers {
		r.workers = append(r.workers, r.newWorker())
	}
	if day.slow {
		for _, w := range r.workers[:max(1, size.workers/5)] {
			w.slow = 4
		}
	}
	r.makeChains()
	r.startRouters(0)
	r.plan()
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(routeEvent)
		if e.at > day.length {
			break
		}
		e.do(e.at)
	}
	return &r.result
}

func (r *routeRun) newWorker() *routeWorker {
	r.made++
	w := &routeWorker{slow: 1, parts: map[uint64]time.Duration{}, tokens: map[uint64]int{}}
	w.WorkerInfo = routing.WorkerInfo{ID: fmt.Sprintf("w%d", r.made), Upstream: "u", Address: fmt.Sprintf("a%d", r.made), FailureDomain: "d", Slots: routeSlots}
	r.byID[w.ID], r.byAddr[w.Address] = w, w
	return w
}

// routeKinds are kinds of requests: reports on long prompts, questions and
// short tags.
var routeKinds = []struct {
	share         float64 // of the requests
	shared, tells int     // tokens of the prompt that others share, and of the answer
}{{0.23, 10_000, 400}, {0.41, 700, 300}, {0.36, 2_000, 20}}

// makeChains makes prompts of a root that many share, a part of their own and
// the request's own part, which is added later.
func (r *routeRun) makeChains() {
	for i := range routeChains {
		kind := routeKinds[i%len(routeKinds)]
		root := uint64(1 + i%routeRoots)
		r.chains = append(r.chains, []routing.PromptPart{{ID: root, Tokens: kind.shared / 5}, {ID: uint64(1000 + i), Tokens: kind.shared * 4 / 5}})
	}
}

// pick takes a prompt of a kind by its share. Squaring favours low numbers: a
// tenth of the prompts of a kind gets a third of its requests.
func (r *routeRun) pick() (chain []routing.PromptPart, tells int) {
	kind, u := 0, r.rnd.Float64()
	for kind < len(routeKinds)-1 && u > routeKinds[kind].share {
		u -= routeKinds[kind].share
		kind++
	}
	each := routeChains / len(routeKinds)
	v := r.rnd.Float64()
	return r.chains[int(v*v*float64(each))*len(routeKinds)+kind], routeKinds[kind].tells
}

func (r *routeRun) startRouters(now time.Duration) {
	r.fleets = nil
	for range r.size.routers {
		f := routing.New(routing.Config{Domain: "d", LoadBound: r.way.bound, RetryRatio: 0.2, RetrySlack: 54, MinRouters: r.size.routers, Random: r.rnd.IntN})
		r.fleets = append(r.fleets, f)
	}
	r.publish(now)
}

// publish gives the list of workers to all routers.
func (r *routeRun) publish(now time.Duration) {
	r.list = &routing.WorkerList{Version: int64(now) + 1, At: routeStart.Add(now)}
	for _, w := range r.workers {
		r.list.Workers = append(r.list.Workers, w.WorkerInfo)
	}
	for _, f := range r.fleets {
		f.Apply(r.list)
	}
}

// plan sets up the day.
func (r *routeRun) plan() {
	d := r.day
	var arrive func(now time.Duration)
	arrive = func(now time.Duration) {
		rate := r.size.perSecond
		surging := now >= d.surge[0] && now < d.surge[1]
		if surging {
			rate *= d.surgeBy
		}
		r.request(now, surging)
		r.at(now+time.Duration(r.rnd.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	r.at(0, arrive)
	if r.way.told {
		for i := range r.size.routers {
			var tell func(now time.Duration)
			tell = func(now time.Duration) {
				r.tell(i, now)
				r.at(now+routeTell, tell)
			}
			r.at(time.Duration(r.rnd.Int64N(int64(routeTell))), tell)
		}
	}
	if d.release > 0 {
		for i := range r.size.workers * 2 / 5 {
			at := d.release + time.Duration(i)*time.Second*10/time.Duration(r.size.workers)
			r.at(at, func(now time.Duration) {
				r.workers = append(r.workers, r.newWorker())
				r.publish(now)
			})
			r.at(at+500*time.Millisecond, func(now time.Duration) {
				r.workers = r.workers[1:]
				r.publish(now)
			})
		}
	}
	if d.crash > 0 {
		r.at(d.crash, func(now time.Duration) {
			gone := r.workers[:max(1, len(r.workers)/5)]
			for _, w := range gone {
				w.silent = true
			}
			r.at(now+3*time.Second, func(now time.Duration) {
				r.workers = slices.DeleteFunc(slices.Clone(r.workers), func(w *routeWorker) bool { return w.silent })
				for range gone {
					r.workers = append(r.workers, r.newWorker())
				}
				r.publish(now)
			})
		})
	}
	if d.restart > 0 {
		r.at(d.restart, r.startRouters)
	}
}

// tell gives a router the newest loads that have had the time to reach it.
func (r *routeRun) tell(router int, now time.Duration) {
	var loads []routing.Load
	age := routeTellLeast + time.Duration(r.rnd.Int64N(int64(routeTellMost-routeTellLeast)))
	for _, w := range r.workers {
		for i := len(w.reported) - 1; i >= 0; i-- {
			if !w.reported[i].At.After(routeStart.Add(now - age)) {
				loads = append(loads, w.reported[i])
				break
			}
		}
	}
	r.fleets[router].RecordSharedLoads(r.size.routers, loads)
}

// request makes one request. In a surge most are about one prompt.
func (r *routeRun) request(now time.Duration, surging bool) {
	chain, tells := r.pick()
	if surging && r.rnd.Float64() < 0.5 {
		chain, tells = r.chains[1], routeKinds[1].tells
	}
	own := routing.PromptPart{ID: uint64(1_000_000 + r.order), Tokens: 200}
	out := 1 + int(float64(tells)*(0.5+r.rnd.Float64()))
	router := r.rnd.IntN(r.size.routers)
	r.attempt(now, now, router, append(slices.Clone(chain), own), out, nil)
}

func (r *routeRun) attempt(now, asked time.Duration, router int, prompt []routing.PromptPart, out int, tried []*routing.Worker) {
	f := r.fleets[router]
	q := routing.Request{Upstream: "u", Tried: tried}
	if r.way.prompts {
		q.SharedParts = routing.SharedParts(prompt)
	}
	c, ok := f.Choose(q, routeStart.Add(now))
	if !ok {
		r.result.refused++
		return
	}
	w, from := r.byID[c.Worker.ID], r.byAddr[c.FetchFrom]
	if r.way.knows {
		w, from = r.best(prompt)
	}
	if w.silent {
		r.at(now+routeGone, func(now time.Duration) {
			f.RecordEnd(c, false, routeStart.Add(now))
			f.SetUnreachable(c.Worker, true)
			r.attempt(now, asked, router, prompt, out, append(tried, c.Worker))
		})
		return
	}
	r.count(w, now)
	if r.way.copies && from != nil && from != w && !from.silent {
		w.keep(from.prefix(prompt), now)
	}
	start := func(now time.Duration) { r.run(w, now, asked, f, c, prompt, out) }
	if w.running >= routeSlots {
		w.waiting = append(w.waiting, start)
		return
	}
	w.running++
	start(now)
}

// count notes a request and whether its worker is above the bound.
func (r *routeRun) count(w *routeWorker, now time.Duration) {
	sum := 0
	for _, other := range r.workers {
		sum += other.busy()
	}
	step := int(now / (100 * time.Millisecond))
	r.result.sent[step]++
	if float64(w.busy()) > routeCapFactor*float64(sum)/float64(len(r.workers))+3 {
		r.result.over[step]++
	}
}

// prefix is what a worker keeps of a prompt, from its start.
func (w *routeWorker) prefix(prompt []routing.PromptPart) []routing.PromptPart {
	for i, p := range prompt {
		if !w.has(p.ID) {
			return prompt[:i]
		}
	}
	return prompt
}

// best is the oracle's choice: of the workers within the bound the one that
// keeps most of the prompt, and one to copy from.
func (r *routeRun) best(prompt []routing.PromptPart) (chosen, from *routeWorker) {
	sum := 0
	for _, w := range r.workers {
		sum += w.busy()
	}
	limit := routeCapFactor*float64(sum)/float64(len(r.workers)) + 2
	for _, w := range r.workers {
		if w.silent {
			continue
		}
		if from == nil || len(w.prefix(prompt)) > len(from.prefix(prompt)) {
			from = w
		}
		if float64(w.busy()) >= limit {
			continue
		}
		if chosen == nil || len(w.prefix(prompt)) > len(chosen.prefix(prompt)) || len(w.prefix(prompt)) == len(chosen.prefix(prompt)) && w.busy() < chosen.busy() {
			chosen = w
		}
	}
	return chosen, from
}

// run reads what the worker lacks of the prompt and answers.
func (r *routeRun) run(w *routeWorker, now, asked time.Duration, f *routing.Fleet, c routing.Choice, prompt []routing.PromptPart, out int) {
	kept := len(w.prefix(prompt))
	read := 0
	for i, p := range prompt {
		last, known := r.used[p.ID]
		switch {
		case i < kept:
			r.result.kept += p.Tokens
		case known && now-last <= routeReuseWindow:
			r.result.again += p.Tokens
		}
		if i >= kept {
			read += p.Tokens
		}
		r.used[p.ID] = now
	}
	w.reads = max(w.reads, now) + time.Duration(w.slow*float64(read)/routePrefill*float64(time.Second))
	r.at(w.reads, func(now time.Duration) {
		w.keep(prompt, now)
		r.result.firstTokens = append(r.result.firstTokens, now-asked)
		f.RecordFirstByte(c, now-asked)
		f.RecordLoad(c.Worker, w.busy(), routeStart.Add(now))
		w.reported = append(w.reported, routing.Load{WorkerHash: gossip.WorkerHash(w.ID), InFlight: w.busy(), At: routeStart.Add(now)})
		step := time.Duration(w.slow * float64(routeStep+time.Duration(w.running)*routeStepEach))
		r.at(now+time.Duration(out)*step, func(now time.Duration) {
			f.RecordEnd(c, !w.silent, routeStart.Add(now))
			w.running--
			if len(w.waiting) > 0 {
				next := w.waiting[0]
				w.waiting = w.waiting[1:]
				w.running++
				next(now)
			}
		})
	})
}
