package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
)

// Guards against a log that cannot tell a response to a request from one to an earlier
// request with the same ID on the connection.
func TestLogOfRepeatedID(t *testing.T) {
	workers := desks(2)
	workers[1].Address = workers[0].Address
	inBubble(t, "The log and a counter show that a request came again on its connection", workers, func(h *harness) {
		var lines strings.Builder
		h.decisions.lines = boundedlog.New(log.New(&lines), 100)
		requests := 0
		h.startRawWorker(workers[0].Address, func(conn net.Conn, id string) bool {
			response := answerTo(id, "answer")
			if requests++; requests == 2 {
				response = refusal(http.StatusServiceUnavailable, id)
			}
			_, _ = io.WriteString(conn, response)
			return true
		})
		for _, id := range []string{"id-1", "id-2", "id-3"} {
			resp, _ := h.call("POST", "/book/x", testID, id)
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
		So(lines.String(), ShouldContainSubstring, `reason="worker refused" outcome=not_run used_connection=true connection=1 carried=1 carried_id=false answer_id=id-2`)
		So(strings.Count(lines.String(), "connection has carried the request ID"), ShouldEqual, 1)
		So(lines.String(), ShouldContainSubstring, "attempt=2 connection=1 carried=2")
		So(counterValue(h.Gateway, "repeated_ids"), ShouldEqual, 1)
	})
}
