package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a connection that is used on after a response to another request: the
// next requests got the answers that were still due, and failed too.
func TestForeignAnswerEndsItsConnection(t *testing.T) {
	for _, test := range []struct{ desc, header, body string }{
		{"with an ID, before an answer with a body", testID + ": id-0\r\n", "answer"},
		{"without an ID, before an answer with a body", "", "answer"},
		{"with an ID, among answers without a body", testID + ": id-0\r\n", ""},
	} {
		inBubble(t, "An additional refusal "+test.desc+", fails one request", desks(1), func(h *harness) {
			var mu sync.Mutex
			requests := 0
			h.startRawWorker("desk-0:1", func(conn net.Conn, id string) bool {
				mu.Lock()
				requests++
				third := requests == 3
				mu.Unlock()
				if third {
					_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+test.header+testNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
				}
				sleep(time.Millisecond)
				_, _ = io.WriteString(conn, answerTo(id, test.body))
				return true
			})
			failed := 0
			for i := range 40 {
				if resp, _ := h.call("POST", "/book/x", testID, "id-"+strconv.Itoa(i)); resp.Code != http.StatusOK {
					failed++
				}
			}
			So(failed, ShouldEqual, 1)
			So(requests, ShouldEqual, 40)
		})
	}
}
