package routing

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// Load pattern: some workers take three to four times as long for many seconds, while
// all share their machines and take 2.5 times as long for some 0.6 s now and then. A
// router sees a request of each worker every few seconds, so the routers share samples of
// the workers that differ. A low quantile of the samples of two seconds tells the one
// pattern from the other.

const (
	// speedSlot is the time in which one sample of a worker is kept. The one with the
	// lowest ID is kept, a random one that is the same at all routers, so that messages
	// may arrive repeatedly and in any order.
	speedSlot  = 125 * time.Millisecond
	speedSlots = 32
	// speedWindow is the age up to which samples count; if there are fewer than
	// minSpeedSamples, older ones up to speedSlots count too. A worker that is passed
	// over gets few requests.
	speedWindow     = 1750 * time.Millisecond
	minSpeedSamples = 6
	// maxSharedSamples is the number of samples of a worker in a message.
	maxSharedSamples = 6
	// maxSpeedSample bounds a sample: eight times faster or slower.
	maxSpeedSample = 8
	// slowFrom and slowUntil are the times over the median of the upstream's workers from
	// and until which a worker is slow. They lie apart, and slownessStep is the least
	// change of its figure, so that prompts do not move to and fro.
	slowFrom     = 2.2
	slowUntil    = 1.4
	slownessStep = 1.2
	// shareFrom is the figure of a sample from which the worker's samples are shared.
	shareFrom = 1.6
	// slowHold is the time without samples after which the figure of a slow worker
	// decays, with the time constant slowDecay.
	slowHold  = 2 * time.Second
	slowDecay = 3 * time.Second
	// keepExponent makes the part of its prompts that a slow worker keeps smaller than
	// its part of the speed: their first tokens are to be on time too.
	keepExponent = 1.5
	// medianPeriod is the time after which the median of the workers is computed again.
	medianPeriod = 250 * time.Millisecond
	// maxSpeedChanges limits the changes kept for SpeedChanges.
	maxSpeedChanges = 256
)

// SpeedSample is the time of some work on a worker over the expected one.
type SpeedSample struct {
	ID    uint16    // distinguishes the samples of a worker
	Times float64   // 1 is as expected, 2 takes twice as long
	At    time.Time // end of the work
}

// SpeedSamples are recent samples of a worker.
type SpeedSamples struct {
	WorkerHash uint32 // gossip.WorkerHash of the worker's ID
	Samples    []SpeedSample
}

// SpeedChange says that a worker has become slow or is no longer slow.
type SpeedChange struct {
	Worker   *Worker
	Slowness float64 // times longer than the median worker, 1 if it is not slow
	Samples  int     // samples of the last seconds
}

// speed holds what is known of the speed of a worker. It is guarded by Fleet.mu.
type speed struct {
	slots [speedSlots]struct {
		atMs   int64 // 0 for no sample
		id     uint16
		figure float32 // logarithm of SpeedSample.Times
	}
	estimate    float64 // logarithm of the lowQuantile of the samples; 0 if not known
	estimatedAt time.Time
	level       float64 // logarithm of the figure in use, over the median worker; 0 if it is not slow
}

// add adds a sample and reports whether it was not known.
func (s *speed) add(id uint16, figure float32, atMs int64) bool {
	number := atMs / speedSlot.Milliseconds()
	for _, n := range [...]int64{number - 1, number, number + 1} {
		// The age of a shared sample is inexact, so it may fall into the next slot.
		if at := &s.slots[n%speedSlots]; at.atMs/speedSlot.Milliseconds() == n && at.id == id {
			return false
		}
	}
	at := &s.slots[number%speedSlots]
	if kept := at.atMs / speedSlot.Milliseconds(); kept > number || kept == number && at.id < id {
		return false
	}
	at.atMs, at.id, at.figure = atMs, id, figure
	return true
}

// recent returns the lowQuantile of the recent samples and their number.
func (s *speed) recent(now time.Time) (figure float64, n int) {
	var figures [speedSlots]float32
	newest := now.UnixMilli() / speedSlot.Milliseconds()
	for age := range int64(speedSlots) {
		if n >= minSpeedSamples && time.Duration(age)*speedSlot > speedWindow {
			break
		}
		if at := &s.slots[(newest-age)%speedSlots]; at.atMs/speedSlot.Milliseconds() == newest-age {
			figures[n] = at.figure
			n++
		}
	}
	if n == 0 {
		return 0, 0
	}
	slices.Sort(figures[:n])
	return float64(figures[int(lowQuantile*float64(n-1)+0.5)]), n
}

// slowness returns how much longer work takes on a worker than on the median worker of
// the upstream, 1 if it is not slow.
func (w *Worker) slowness(now time.Time) float64 {
	s := &w.speed
	if s.level == 0 {
		return 1
	}
	age := max(now.Sub(s.estimatedAt)-slowHold, 0)
	return math.Exp(s.level * math.Exp(-age.Seconds()/slowDecay.Seconds()))
}

// keptShare returns the part of its requests that a worker keeps.
func keptShare(slowness float64) float64 {
	if slowness <= 1 {
		return 1
	}
	return math.Pow(slowness, -keepExponent)
}

// keeps reports whether requests with a key stay with a worker that prefers them: all of
// a worker that is not slow, and otherwise a part of the keys, the same ones at all
// routers. Fewer keys are a subset of more, so few prompts move when the figure changes.
func (w *Worker) keeps(key uint64, now time.Time) bool {
	if w.speed.level == 0 {
		return true
	}
	return float64(placement.Score(key, bits.RotateLeft64(w.hash, 32))) < keptShare(w.slowness(now))*math.MaxUint64
}

// targetPart is the part of a request's target that the expected wait may take: the
// figures are medians.
const targetPart = 0.7

// expectedWait returns the expected time to the first byte on a worker, 0 if not known.
func (p *pool) expectedWait(w *Worker, work uint8, now time.Time) time.Duration {
	wait := p.expected.expect(work, int(p.estimatedLoad(w, now)))
	return time.Duration(float64(wait) * w.slowness(now))
}

// meetsTarget reports whether a worker is expected to start the response in time. It is
// true for workers that are not slow: the load bound already limits their wait.
func (p *pool) meetsTarget(w *Worker, r *Request, work uint8, now time.Time) bool {
	if w.speed.level == 0 {
		return true
	}
	target := r.Target
	if r.TimeLeft > 0 && (target == 0 || r.TimeLeft < target) {
		target = r.TimeLeft
	}
	return target == 0 || float64(p.expectedWait(w, work, now)) <= targetPart*float64(target)
}

// comparedLoad returns the load by which the least loaded worker is chosen. A worker of
// another failure domain wins only by a margin of otherDomainPenalty. A slow worker is
// compared by the time that its requests take, except for the part of the requests that
// it keeps: their times show when it is fast again.
func (f *Fleet) comparedLoad(w *Worker, now time.Time) float64 {
	load := float64(w.currentLoad(now))
	if w.FailureDomain != f.cfg.Domain {
		load += otherDomainPenalty
	}
	if w.speed.level == 0 {
		return load
	}
	const steps = 1 << 16
	slowness := w.slowness(now)
	if float64(f.cfg.Random(steps)) < keptShare(slowness)*steps {
		return load
	}
	return (load+1)*slowness - 1
}

// recordFirst records the time to first byte of a request. A whole response shows the
// worker's speed by it. A stream does so by its pace: its first byte also depends on what
// the worker has cached, which is not known for certain.
func (f *Fleet) recordFirst(p *pool, c Choice, took time.Duration) {
	if c.whole {
		f.recordSpeed(p, c.Worker, c.workClass, c.EstimatedLoad, took, c.sentAt.Add(took))
		return
	}
	c.attempt.first = took
	if f.cfg.LearnSpeed && c.Worker.speed.level == 0 {
		p.expected.record(c.workClass, c.EstimatedLoad, took, c.sentAt.Add(took))
	}
}

// recordUnpaced uses the time to first byte of a stream that was too short to show its
// pace.
func (f *Fleet) recordUnpaced(p *pool, c Choice, now time.Time) {
	if c.attempt.first > 0 && !c.whole {
		f.addSample(p, c.Worker, c.workClass, c.EstimatedLoad, c.attempt.first, now)
	}
}

// PaceEvents is the number of events of a stream whose time is a sample of the worker's
// speed: some 60 ms of an engine that keeps up.
const PaceEvents = 16

// RecordPace records the time that a worker took for PaceEvents events of a stream after
// the first one, without the time that the caller took to read them.
func (f *Fleet) RecordPace(c Choice, took time.Duration, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.attempt.first = 0
	p := f.pool(c.Worker.Upstream)
	f.recordSpeed(p, c.Worker, paceClass, int(p.estimatedLoad(c.Worker, now)), took, now)
}

// recordSpeed records the time of some work on a worker. The times of a slow worker are
// not learned as usual ones: they would hide what it differs from.
func (f *Fleet) recordSpeed(p *pool, w *Worker, work uint8, load int, took time.Duration, now time.Time) {
	f.addSample(p, w, work, load, took, now)
	if f.cfg.LearnSpeed && w.speed.level == 0 {
		p.expected.record(work, load, took, now)
	}
}

func (f *Fleet) addSample(p *pool, w *Worker, work uint8, load int, took time.Duration, now time.Time) {
	if !f.cfg.LearnSpeed {
		return
	}
	figure, ok := p.expected.deviation(work, load, took)
	id := uint16(placement.Score(uint64(now.UnixNano()), w.hash))
	if ok && w.speed.add(id, clampFigure(figure), now.UnixMilli()) {
		f.estimateSpeed(p, w, now)
	}
}

func clampFigure(figure float64) float32 {
	limit := math.Log(maxSpeedSample)
	return float32(min(max(figure, -limit), limit))
}

// estimateSpeed updates the figure in use after a new sample.
func (f *Fleet) estimateSpeed(p *pool, w *Worker, now time.Time) {
	f.updateMedian(p, now)
	s := &w.speed
	figure, n := s.recent(now)
	if n < minSpeedSamples {
		return
	}
	s.estimate, s.estimatedAt = figure, now
	level, before := figure-p.medianSpeed, s.level
	switch {
	case before == 0 && level < math.Log(slowFrom), before > 0 && level < math.Log(slowUntil):
		s.level = 0
	case before == 0 || math.Abs(level-before) > math.Log(slownessStep):
		s.level = level
	}
	if (before == 0) != (s.level == 0) {
		f.noteSpeedChange(w, now)
	}
}

// updateMedian computes the median of the workers' speeds, and ends the state of slow
// workers without recent samples.
func (f *Fleet) updateMedian(p *pool, now time.Time) {
	if now.Sub(p.medianAt) < medianPeriod {
		return
	}
	p.medianAt, p.speeds = now, p.speeds[:0]
	for _, w := range p.workers {
		s := &w.speed
		if s.level > 0 && w.slowness(now) < slowUntil {
			s.level = 0
			f.noteSpeedChange(w, now)
		}
		if now.Sub(s.estimatedAt) > slowHold+slowDecay {
			s.estimate = 0
		}
		p.speeds = append(p.speeds, s.estimate)
	}
	if len(p.speeds) > 0 {
		slices.Sort(p.speeds)
		p.medianSpeed = p.speeds[(len(p.speeds)-1)/2]
	}
}

func (f *Fleet) noteSpeedChange(w *Worker, now time.Time) {
	if len(f.speedChanges) < maxSpeedChanges {
		_, n := w.speed.recent(now)
		f.speedChanges = append(f.speedChanges, SpeedChange{w, w.slowness(now), n})
	}
}

// SpeedChanges returns the changes since the last call, at most maxSpeedChanges.
func (f *Fleet) SpeedChanges() []SpeedChange {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.speedChanges
	f.speedChanges = nil
	return list
}

// SlowWorkers returns the number of workers that are slow.
func (f *Fleet) SlowWorkers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.byID {
		if w.speed.level > 0 {
			n++
		}
	}
	return n
}

// SharedSpeeds returns the newest samples of the workers that differ, in no order: those
// that are slow and those with a sample that would make them slow.
func (f *Fleet) SharedSpeeds(now time.Time) []SpeedSamples {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []SpeedSamples
	for hash, w := range f.byHash {
		if samples := w.speed.toShare(now); samples != nil {
			list = append(list, SpeedSamples{hash, samples})
		}
	}
	return list
}

func (s *speed) toShare(now time.Time) []SpeedSample {
	var list []SpeedSample
	differs := s.level > 0
	newest := now.UnixMilli() / speedSlot.Milliseconds()
	for age := range int64(speedWindow / speedSlot) {
		at := &s.slots[(newest-age)%speedSlots]
		if at.atMs/speedSlot.Milliseconds() != newest-age {
			continue
		}
		differs = differs || float64(at.figure) > math.Log(shareFrom)
		if len(list) < maxSharedSamples {
			list = append(list, SpeedSample{at.id, math.Exp(float64(at.figure)), time.UnixMilli(at.atMs)})
		}
	}
	if !differs {
		return nil
	}
	return list
}

// RecordSharedSpeeds records samples that other routers shared. Those of unknown workers,
// of the future, or that are no positive number are ignored.
func (f *Fleet) RecordSharedSpeeds(list []SpeedSamples, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cfg.LearnSpeed {
		return
	}
	for _, l := range list {
		w, added := f.byHash[l.WorkerHash], false
		if w == nil {
			continue
		}
		for _, sample := range l.Samples {
			if !(sample.Times > 0) || sample.At.After(now) || now.Sub(sample.At) > speedSlots*speedSlot {
				continue
			}
			added = w.speed.add(sample.ID, clampFigure(math.Log(sample.Times)), sample.At.UnixMilli()) || added
		}
		if added {
			f.estimateSpeed(f.pool(w.Upstream), w, now)
		}
	}
}

// forgetSpeeds removes what was learned of the workers' speeds.
func (f *Fleet) forgetSpeeds() {
	for _, w := range f.byID {
		w.speed = speed{}
	}
}
