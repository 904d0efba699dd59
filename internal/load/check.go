package load

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/standin/service"
)

// CheckResult is what the comparison of bookings with the services' journals found.
type CheckResult struct {
	Requests   int            `json:"requests"`
	Keys       int            `json:"keys"`
	Answered   int            `json:"answered"`  // 2xx
	NotRun     int            `json:"not_run"`   // told that it was not run
	Uncertain  int            `json:"uncertain"` // other problems and no answer
	Effects    int            `json:"effects"`
	Kinds      map[string]int `json:"kinds"`      // problems by kind
	Violations []string       `json:"violations"` // R3 and R4
}

// effect is one run in a journal.
type effect struct {
	worker string
	*service.Effect
}

// Check compares what callers were told with the journals, by worker ID:
//   - no key has more than one effect, and each effect has a request;
//   - a 2xx answer belongs to the one effect of its key and is the same for
//     all requests with the key;
//   - an effect is preceded by a request that was not answered not_run.
func Check(bookings []Booking, journals map[string]service.Journal) CheckResult {
	c := CheckResult{Requests: len(bookings), Kinds: map[string]int{}, Violations: []string{}}
	byKey := map[string][]Booking{}
	for _, b := range bookings {
		c.count(&b)
		byKey[b.Key] = append(byKey[b.Key], b)
	}
	c.Keys = len(byKey)
	effects := map[string][]effect{}
	for worker, j := range journals {
		for _, e := range j.Effects {
			c.Effects += e.Runs
			effects[e.Key] = append(effects[e.Key], effect{worker, e})
			if byKey[e.Key] == nil {
				c.fail("key %s ran on %s without a request", e.Key, worker)
			}
		}
	}
	for key, requests := range byKey {
		c.key(key, requests, effects[key])
	}
	slices.Sort(c.Violations)
	return c
}

func (c *CheckResult) fail(format string, args ...any) {
	c.Violations = append(c.Violations, fmt.Sprintf(format, args...))
}

func (c *CheckResult) count(b *Booking) {
	switch {
	case b.answered():
		c.Answered++
	case b.notRun():
		c.NotRun++
	default:
		c.Uncertain++
	}
	if b.Kind != "" {
		c.Kinds[b.Kind]++
	}
	if b.Status == 0 {
		c.Kinds["no_answer"]++
	}
}

func (c *CheckResult) key(key string, requests []Booking, effects []effect) {
	runs := 0
	for _, e := range effects {
		runs += e.Runs
		c.cause(key, requests, e)
	}
	if runs > 1 {
		c.fail("key %s ran %d times", key, runs)
	}
	answer := ""
	for _, b := range requests {
		if b.Outcome == core.OutcomeRan && runs == 0 {
			c.fail("key %s was said to have run and has no effect", key)
		}
		if !b.answered() {
			continue
		}
		if answer == "" {
			answer = b.Answer
		}
		if b.Answer != answer {
			c.fail("key %s was answered %q and %q", key, answer, b.Answer)
		}
		if !slices.ContainsFunc(effects, func(e effect) bool { return e.belongs(&b) }) {
			c.fail("key %s was answered %q without that effect", key, b.Answer)
		}
	}
}

// cause checks that each run of an effect came after the begin of a request
// whose caller was not told that it was not run.
func (c *CheckResult) cause(key string, requests []Booking, e effect) {
	for _, at := range e.TimesNS {
		if !slices.ContainsFunc(requests, func(b Booking) bool { return b.Begin <= at && !b.notRun() }) {
			c.fail("key %s ran on %s although each request before was answered not_run", key, e.worker)
		}
	}
}

// belongs reports whether a 2xx answer is that of the effect.
func (e effect) belongs(b *Booking) bool {
	var a service.Answer
	sum := sha256.Sum256([]byte(b.Body))
	return json.Unmarshal([]byte(b.Answer), &a) == nil && a.Worker == e.worker && a.ID == e.ID &&
		a.Key == b.Key && string(a.Body) == b.Body && e.Body == hex.EncodeToString(sum[:])
}
