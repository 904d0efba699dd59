package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
)

// metrics are updated once per attempt, never per frame.
type metrics struct {
	attempts      map[core.Outcome]tally.Counter
	framesDropped [4]tally.Counter // by answer.DropReason
	retries       tally.Counter
	resumes       tally.Counter
	slotWait      tally.Histogram
	firstToken    tally.Histogram
}

// latencyBuckets double from 0.1 ms to about 13 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 18)

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{
		attempts:   map[core.Outcome]tally.Counter{},
		retries:    s.Counter("retries"),
		resumes:    s.Counter("resumes"),
		slotWait:   s.Histogram("slot_wait", latencyBuckets),
		firstToken: s.Histogram("first_token", latencyBuckets),
	}
	for _, o := range []core.Outcome{core.OutcomeRan, core.OutcomeNotRun, core.OutcomeUnknown} {
		m.attempts[o] = s.Tagged(map[string]string{"outcome": string(o)}).Counter("attempts")
	}
	for _, r := range answer.DropReasons() {
		m.framesDropped[r] = s.Tagged(map[string]string{"cause": r.String()}).Counter("frames_dropped")
	}
	return m
}

func (m *metrics) attemptEnded(o core.Outcome) { m.attempts[o].Inc(1) }

func (m *metrics) addDropped(d answer.Drops) {
	for reason, n := range d {
		if n > 0 {
			m.framesDropped[reason].Inc(int64(n))
		}
	}
}
