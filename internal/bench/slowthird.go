package bench

import (
	"time"

	"github.com/auburnlead/auburnlead/routing"
)

// A third of the workers takes three times as long for some time, while all of them turn
// slow and usual by turns.
const (
	thirdSlowFactor = 3
	// largestTarget is the time within which the first token of the largest requests is
	// useful.
	largestTarget = 400 * time.Millisecond
	// Routers send the samples of workers' speeds to speedTargets others; a message takes
	// up to maxPushDelay.
	speedTargets = 3
)

// planThirdSlow schedules the slow time of scenario.thirdSlow.
func (r *routeSim) planThirdSlow() {
	if r.scenario.thirdSlow[1] == 0 {
		return
	}
	if r.strategy.learnsSpeed {
		r.schedule(r.scenario.thirdSlow[0], r.watchSlow)
	}
	for i, factor := range []float64{thirdSlowFactor, 1} {
		r.schedule(r.scenario.thirdSlow[i], func(time.Duration) {
			for _, w := range r.workers[:len(r.workers)/3] {
				w.slowFactor = factor
			}
		})
	}
}

// watchSlow records when the routers on the mean know of foundShare of the slow workers.
// Workers that are wrongly taken for slow count too, some in a hundred.
func (r *routeSim) watchSlow(now time.Duration) {
	known := 0
	for _, f := range r.fleets {
		known += f.SlowWorkers()
	}
	if float64(known) >= foundShare*float64(len(r.fleets)*(len(r.workers)/3)) {
		r.result.foundAfter = now - r.scenario.thirdSlow[0]
		return
	}
	r.schedule(now+100*time.Millisecond, r.watchSlow)
}

func (r *routeSim) inSlowTime(at time.Duration) bool {
	return at >= r.scenario.thirdSlow[0] && at < r.scenario.thirdSlow[1]
}

func (r *routeSim) recordSlow(w *routeWorker, now time.Duration) {
	if r.inSlowTime(now) {
		r.result.sentInSlowTime++
		if w.slowFactor > 1 {
			r.result.slowSent++
		}
	}
}

// recordLargest counts requests of the first kind and those on time.
func (r *routeSim) recordLargest(kind int, arrivedAt, now time.Duration) {
	if kind == 0 && r.inSlowTime(arrivedAt) {
		r.result.largest++
		if now-arrivedAt <= largestTarget {
			r.result.largestOnTime++
		}
	}
}

// planPace schedules the records of the pace of a stream whose first token has come.
func (r *routeSim) planPace(w *routeWorker, f *routing.Fleet, c routing.Choice, now, step time.Duration, tokens int) {
	if !r.strategy.learnsSpeed {
		return
	}
	for n := routing.PaceEvents; n <= tokens; n += routing.PaceEvents {
		r.schedule(now+time.Duration(n)*step, func(now time.Duration) {
			step := w.factor() * float64(r.size.model.step+time.Duration(w.running)*r.size.model.stepEach)
			f.RecordPace(c, time.Duration(routing.PaceEvents*step), routeEpoch.Add(now))
		})
	}
}

// shareSpeeds sends the samples of a router to some others.
func (r *routeSim) shareSpeeds(router int, now time.Duration) {
	list := r.fleets[router].SharedSpeeds(routeEpoch.Add(now))
	if len(list) == 0 {
		return
	}
	if len(list) > speedMessageWorkers {
		list = list[:speedMessageWorkers]
	}
	for range speedTargets {
		f := r.fleets[r.speedRnd.IntN(len(r.fleets))]
		delay := minPushDelay + time.Duration(r.speedRnd.Int64N(int64(maxPushDelay-minPushDelay)))
		r.schedule(now+delay, func(now time.Duration) { f.RecordSharedSpeeds(list, routeEpoch.Add(now)) })
	}
}

// speedMessageWorkers is the number of workers whose samples fit into a message.
const speedMessageWorkers = 40

// slowThirdSizes returns a deployment of 60 engines with 48 slots that read 125 prompt
// tokens in a ms, less a fifth for the tokens generated between the chunks of a prompt.
func slowThirdSizes() []routeSize {
	return []routeSize{{"large prompts", 118, 60, 529, routeModel{
		slots: 48, cacheTokens: 481_469, prefill: 100_000, step: 3270 * time.Microsecond, stepEach: 80 * time.Microsecond, prompts: 6000,
		kinds: []routeKind{{0.2325, 10_500, 1_300, 400}, {0.3043, 700, 130, 300}, {0.4632, 2_000, 400, 20}},
	}}}
}

// foundShare is the share of the slow workers that the routers are to know of within
// maxFoundAfter seconds.
const (
	foundShare    = 0.9
	maxFoundAfter = 2
)

// minLargestOnTime is the share of the largest requests on time that callers need while a
// third of the engines is slow.
const minLargestOnTime = 0.95

// slowThird compares routers that learn the speeds of workers with those that do not,
// while a third of the workers is slow and while none is.
func (b bencher) slowThird(size routeSize) {
	learning := routeStrategies()[0]
	plain := learning
	plain.name, plain.learnsSpeed = "speeds not learned", false
	for _, scenario := range []routeScenario{
		{name: "slow by turns", length: 40 * time.Second, bursts: true},
		{name: "a third slow", length: 60 * time.Second, bursts: true, thirdSlow: [2]time.Duration{30 * time.Second, 60 * time.Second}},
	} {
		for _, strategy := range []routeStrategy{learning, plain} {
			r := simulateRoutes(size, scenario, strategy, b.seed)
			b.report.info(size.name, "moved / found kept, "+scenario.name, strategy.name, r.movedRatio())
			again := "read again / found kept, " + scenario.name
			if strategy.learnsSpeed {
				b.report.atMost(size.name, again, r.prefillAgainRatio(), maxPrefillAgainRatio)
			} else {
				b.report.info(size.name, again, strategy.name, r.prefillAgainRatio())
			}
			b.report.info(size.name, "first token p99 (s), "+scenario.name, strategy.name, r.firstTokenQuantile(0.99))
			if r.largest == 0 {
				continue
			}
			onTime := "largest on time, " + scenario.name
			if strategy.learnsSpeed {
				b.report.atLeast(size.name, onTime, float64(r.largestOnTime)/float64(r.largest), minLargestOnTime)
				b.report.atMost(size.name, "seconds until slow workers are known, "+scenario.name, r.foundAfter.Seconds(), maxFoundAfter)
			} else {
				b.report.info(size.name, onTime, strategy.name, float64(r.largestOnTime)/float64(r.largest))
			}
			b.report.info(size.name, "share of the slow third, "+scenario.name, strategy.name, float64(r.slowSent)/float64(r.sentInSlowTime))
		}
	}
}
