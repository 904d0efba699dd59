package load

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/standin/service"
)

// Guards against a check that accepts a false response, which would make the
// verification with real processes worthless.
func TestCheck(t *testing.T) {
	const key = "k"
	body := bookingBody(key)
	sum := sha256.Sum256([]byte(body))
	ran := func(at ...int64) *service.Effect {
		return &service.Effect{Key: key, Body: hex.EncodeToString(sum[:]), Runs: len(at), TimesNS: at, ID: 1}
	}
	ok := Booking{Key: key, Body: body, Begin: 10, Status: 201, Answer: `{"worker":"s1","id":1,"key":"k","body":` + body + `}`}
	other := ok
	other.Answer = strings.Replace(ok.Answer, `"id":1`, `"id":2`, 1)
	notRun := Booking{Key: key, Body: body, Begin: 5, Status: 503, Outcome: core.OutcomeNotRun}
	reportedRan := Booking{Key: key, Body: body, Begin: 5, Status: 502, Outcome: core.OutcomeRan}
	unanswered := Booking{Key: key, Body: body, Begin: 5}
	cases := []struct {
		desc     string
		bookings []Booking
		effects  []*service.Effect
		expected string // part of the violation, empty if there is none
	}{
		{"answered twice, run once", []Booking{ok, ok}, []*service.Effect{ran(11)}, ""},
		{"not run, then answered", []Booking{notRun, ok}, []*service.Effect{ran(11)}, ""},
		{"not run", []Booking{notRun}, nil, ""},
		{"no answer, run", []Booking{unanswered, notRun}, []*service.Effect{ran(20)}, ""},
		{"run twice", []Booking{ok}, []*service.Effect{ran(11, 12)}, "ran 2 times"},
		{"outcome not_run, but run", []Booking{notRun}, []*service.Effect{ran(20)}, "answered not_run"},
		{"run before the only request that may have run", []Booking{notRun, ok}, []*service.Effect{ran(7)}, "answered not_run"},
		{"answered without effect", []Booking{ok}, nil, "without that effect"},
		{"two answers", []Booking{ok, other}, []*service.Effect{ran(11)}, "was answered"},
		{"outcome ran, but not run", []Booking{reportedRan}, nil, "said to have run"},
		{"run without a request", nil, []*service.Effect{ran(11)}, "without a request"},
	}
	Convey("Each response that contradicts the journal is a violation, and no other one is", t, func() {
		for _, c := range cases {
			checked := Check(c.bookings, map[string]service.Journal{"s1": {Effects: c.effects}})
			SoMsg(c.desc, len(checked.Violations) > 0, ShouldEqual, c.expected != "")
			SoMsg(c.desc, strings.Join(checked.Violations, "; "), ShouldContainSubstring, c.expected)
		}
	})
}
