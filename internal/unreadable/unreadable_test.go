package unreadable

import (
	"errors"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
)

// Guards against a process that ends because of one message, and against input
// that is dropped without a trace or floods the log.
func TestReporter(t *testing.T) {
	Convey("A panic while an input is read is reported and goes no further", t, func() {
		var lines strings.Builder
		scope := tally.NewTestScope("", nil)
		r := New(log.New(&lines), scope)
		r.Isolate("10.0.0.2:7000", RouterMessage, []byte("input"), func() { panic("index out of range") })
		So(lines.String(), ShouldContainSubstring, "sender=10.0.0.2:7000")
		So(lines.String(), ShouldContainSubstring, "index out of range")
		So(scope.Snapshot().Counters()["unreadable+kind=router message"].Value(), ShouldEqual, 1)
	})
	Convey("Every input is counted and few are logged, without their text", t, func() {
		var lines strings.Builder
		scope := tally.NewTestScope("", nil)
		r := New(log.New(&lines), scope)
		for range 1000 {
			r.Report("w1", Input{Kind: LoadReport, Text: "secret text", Reason: errors.New("two figures")})
		}
		So(scope.Snapshot().Counters()["unreadable+kind=load report"].Value(), ShouldEqual, 1000)
		// Two lines a second; the loop may cross a second or two.
		So(strings.Count(lines.String(), "input not read"), ShouldBeLessThan, 20)
		So(lines.String(), ShouldNotContainSubstring, "secret")
	})
}
