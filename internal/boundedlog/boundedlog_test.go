package boundedlog

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a log that grows with what peers send, and against lines that are
// left out without a sign.
func TestLogger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Each kind has its own limit per second, and what was left out is said in the next second", t, func() {
			var lines strings.Builder
			l := New(log.New(&lines), 2)
			for range 5 {
				l.Log(log.InfoLevel, "a", "message of a")
			}
			l.Log(log.InfoLevel, "b", "message of b", "key", "value")
			So(strings.Count(lines.String(), "message of a"), ShouldEqual, 2)
			So(lines.String(), ShouldContainSubstring, "key=value")
			So(lines.String(), ShouldNotContainSubstring, "left out")
			<-time.After(time.Second)
			l.SetMaxLines(3)
			for range 5 {
				l.Log(log.InfoLevel, "a", "message of a")
			}
			So(strings.Count(lines.String(), "message of a"), ShouldEqual, 2+3)
			So(lines.String(), ShouldContainSubstring, "kind=a lines=3")
		})
	})
}
