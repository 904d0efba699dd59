package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
)

// metrics are counted for each attempt, never for each frame.
type metrics struct {
	attempts   map[core.Outcome]tally.Counter
	frames     [4]tally.Counter // dropped, by answer.Cause
	retries    tally.Counter
	resumes    tally.Counter
	slotWait   tally.Histogram
	firstToken tally.Histogram
}

// latencyBuckets run from 0.1 ms to about 13 s, each twice the one before.
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
	for _, c := range answer.DropReasons() {
		m.frames[c] = s.Tagged(map[string]string{"cause": c.String()}).Counter("frames_dropped")
	}
	return m
}

func (m *metrics) ended(o core.Outcome) { m.attempts[o].Inc(1) }

func (m *metrics) dropped(d answer.Drops) {
	for cause, n := range d {
		if n > 0 {
			m.frames[cause].Inc(int64(n))
		}
	}
}
