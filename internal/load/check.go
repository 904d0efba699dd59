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

// CheckResult is the result of comparing bookings with the journals of the service
// stand-ins, in which these record what they ran.
type CheckResult struct {
	Requests   int            `json:"requests"`
	Keys       int            `json:"keys"`
	Answered   int            `json:"answered"`   // 2xx responses
	NotRun     int            `json:"not_run"`    // responses with the outcome not_run
	Uncertain  int            `json:"uncertain"`  // other responses, and requests without a response
	Effects    int            `json:"effects"`    // runs in the journals
	Kinds      map[string]int `json:"kinds"`      // number of problems by kind
	Violations []string       `json:"violations"` // violations of the guarantees R3 and R4
}

// effect is an effect in the journal of a worker.
type effect struct {
	worker string
	*service.Effect
}

// Check compares the responses that callers got with the journals, which are
// given by worker ID:
//   - no key ran more than once, and each key that ran was requested;
//   - a 2xx response is the response of an effect of its key and is the same for
//     all requests with the key;
//   - a key with a response whose outcome is ran has an effect;
//   - each run was preceded by a request whose response, if any, did not have the
//     outcome not_run.
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
				c.addViolation("key %s ran on %s without a request", e.Key, worker)
			}
		}
	}
	for key, requests := range byKey {
		c.checkKey(key, requests, effects[key])
	}
	slices.Sort(c.Violations)
	return c
}

func (c *CheckResult) addViolation(format string, args ...any) {
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

func (c *CheckResult) checkKey(key string, requests []Booking, effects []effect) {
	runs := 0
	for _, e := range effects {
		runs += e.Runs
		c.checkPrecedingRequest(key, requests, e)
	}
	if runs > 1 {
		c.addViolation("key %s ran %d times", key, runs)
	}
	answer := ""
	for _, b := range requests {
		if b.Outcome == core.OutcomeRan && runs == 0 {
			c.addViolation("key %s was said to have run and has no effect", key)
		}
		if !b.answered() {
			continue
		}
		if answer == "" {
			answer = b.Answer
		}
		if b.Answer != answer {
			c.addViolation("key %s was answered %q and %q", key, answer, b.Answer)
		}
		if !slices.ContainsFunc(effects, func(e effect) bool { return e.matches(&b) }) {
			c.addViolation("key %s was answered %q without that effect", key, b.Answer)
		}
	}
}

// checkPrecedingRequest checks that each run of an effect came after the start of a
// request whose response, if any, did not have the outcome not_run.
func (c *CheckResult) checkPrecedingRequest(key string, requests []Booking, e effect) {
	for _, at := range e.TimesNS {
		if !slices.ContainsFunc(requests, func(b Booking) bool { return b.Begin <= at && !b.notRun() }) {
			c.addViolation("key %s ran on %s although each request before was answered not_run", key, e.worker)
		}
	}
}

// matches reports whether a 2xx response is the response that the effect
// produced.
func (e effect) matches(b *Booking) bool {
	var a service.Answer
	sum := sha256.Sum256([]byte(b.Body))
	return json.Unmarshal([]byte(b.Answer), &a) == nil && a.Worker == e.worker && a.ID == e.ID &&
		a.Key == b.Key && string(a.Body) == b.Body && e.Body == hex.EncodeToString(sum[:])
}
