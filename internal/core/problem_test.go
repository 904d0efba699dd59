package core

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a status that callers read as "not run" for a request that ran or may
// have run (incident 0015).
func TestStatusOfUnknownOutcome(t *testing.T) {
	Convey("Only problems of requests that were not run have a status that promises it", t, func() {
		for kind, info := range kindInfos {
			for _, outcome := range []Outcome{OutcomeNotRun, OutcomeUnknown, OutcomeRan} {
				p := &Problem{Kind: kind, Outcome: outcome, RetryAfter: time.Second}
				response := httptest.NewRecorder()
				WriteProblem(response, p, "id")
				So(response.Code, ShouldEqual, p.JSON("id").Status)
				if outcome == OutcomeNotRun {
					So(response.Code, ShouldEqual, info.status)
					So(p.Remedy(), ShouldEqual, info.remedy)
					continue
				}
				So(PromisesNotRun(response.Code), ShouldBeFalse)
				if PromisesNotRun(info.status) {
					So(response.Code, ShouldEqual, http.StatusBadGateway)
					So(p.Remedy(), ShouldContainSubstring, "if it may be repeated")
				}
			}
		}
	})
}
