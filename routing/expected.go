package routing

import (
	"math"
	"math/bits"
	"time"
)

// The time to the first byte of a response depends on the work of the request and on
// the requests already on the worker. Both are learned for each upstream, so that what
// remains can be attributed to the worker (speed.go).

const (
	// workClasses is the number of classes of work: one for each power of two of tokens,
	// separately for streams and for whole responses, and one for the events of streams.
	workClasses = 2*wholeClass + 1
	wholeClass  = 24
	paceClass   = workClasses - 1
	loadClasses = 13 // one for each power of two of requests on a worker
	// outputWork is the work of generating a token, in prompt tokens read meanwhile: a
	// step of some 4 ms at an engine that reads 125 tokens in a ms.
	outputWork = 500
	// lowQuantile is the quantile of the times that are compared. A prompt that is not
	// cached, a queue and a machine that is busy for some 100 ms make single requests take
	// longer; on a slow worker the fastest requests take longer too.
	lowQuantile = 0.3
	// wideQuantile and lowQuantile tell how much the times of a class of work differ
	// between requests. Short spells in which machines are busy lie beyond it.
	wideQuantile = 0.8
	// wideFactor times that difference is what the fastest of some requests of a usual
	// worker rarely exceed.
	wideFactor = 1.2
	// workStep is the step of a quantile for a sample, as a logarithm, and maxDrift the
	// sum of the steps in a second. At some requests per second the usual times follow the
	// upstream within half a minute, and at any rate a worker is found to be slow before
	// its times become the usual ones.
	workStep = 0.06
	maxDrift = 0.6
	// loadStep is the step for the factors of the load. A slow worker has a load that the
	// others do not have, and its times must not become the usual ones of that load.
	loadStep = 0.02
	// calibratedAt is the number of samples of a class of work from which its times can
	// be compared.
	calibratedAt = 20
	// timeOffset is added to measured times before they are compared, so that the jitter
	// of a small router of some ms does not look like a slow worker.
	timeOffset = 3 * time.Millisecond
)

// logQuantile estimates a quantile of logarithms. A sample moves it by a step whose size
// does not depend on the sample, so outliers count like any other sample.
type logQuantile struct {
	value   float64
	samples int
	at      time.Time // of the last sample
}

func (m *logQuantile) record(deviation, quantile, step float64, now time.Time) {
	if m.samples++; m.samples < calibratedAt {
		step = 2 / float64(m.samples)
	} else {
		step = min(step, maxDrift*max(now.Sub(m.at), 0).Seconds())
	}
	m.move(deviation, quantile, step, now)
}

func (m *logQuantile) move(deviation, quantile, step float64, now time.Time) {
	m.at = now
	if deviation > 0 {
		m.value += min(step*quantile, deviation)
		return
	}
	m.value += max(-step*(1-quantile), deviation)
}

// expectedTimes holds an upstream's times to the first byte, as a product of a factor for
// the work of the request and one for the load of the worker. It is guarded by Fleet.mu.
type expectedTimes struct {
	byWork  [workClasses]logQuantile // lowQuantile
	byLoad  [loadClasses]logQuantile // lowQuantile
	medians [workClasses]logQuantile
	wide    [workClasses]logQuantile // wideQuantile
}

// workClass returns the class of a request's work: the prompt tokens that the worker has
// to read, and the output if the response is not streamed.
func (r *Request) workClass() uint8 {
	tokens, base := r.unreadTokens(), 0
	if r.Whole {
		tokens, base = tokens+outputWork*r.ExpectedOutput, wholeClass
	}
	return uint8(base + min(bits.Len(uint(tokens)), wholeClass-1))
}

func loadClass(load int) int { return min(bits.Len(uint(max(load, 0))), loadClasses-1) }

// expect returns the median time to the first byte, 0 if not known.
func (e *expectedTimes) expect(work uint8, load int) time.Duration {
	m := &e.byWork[work]
	if m.samples < calibratedAt {
		return 0
	}
	seconds := math.Exp(e.medians[work].value + e.byLoad[loadClass(load)].value)
	return max(time.Duration(seconds*float64(time.Second))-timeOffset, 0)
}

// deviation returns the logarithm of a measured time over the expected one, and false
// while there are too few samples of the class of work. Where the times of the class differ
// much between requests, it is reduced so that usual ones do not count as slow.
func (e *expectedTimes) deviation(work uint8, load int, took time.Duration) (float64, bool) {
	low := e.byWork[work]
	deviation := logTime(took) - low.value - e.byLoad[loadClass(load)].value
	if width, limit := wideFactor*(e.wide[work].value-low.value), math.Log(slowFrom); width > limit {
		deviation *= limit / width
	}
	return deviation, low.samples >= calibratedAt
}

// record records a measured time of a worker that is not slow.
func (e *expectedTimes) record(work uint8, load int, took time.Duration, now time.Time) {
	low, median, wide, byLoad := &e.byWork[work], &e.medians[work], &e.wide[work], &e.byLoad[loadClass(load)]
	figure := logTime(took) - byLoad.value
	if low.samples == 0 {
		low.value, median.value, wide.value = figure, figure, figure
	}
	deviation := figure - low.value
	low.record(deviation, lowQuantile, workStep, now)
	median.record(figure-median.value, 0.5, workStep, now)
	wide.record(figure-wide.value, wideQuantile, workStep, now)
	if low.samples >= calibratedAt {
		byLoad.move(deviation, lowQuantile, min(loadStep, maxDrift*max(now.Sub(byLoad.at), 0).Seconds()), now)
	}
}

func logTime(t time.Duration) float64 { return math.Log((max(t, 0) + timeOffset).Seconds()) }
