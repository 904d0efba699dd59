package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a stream that broke off and is continued with something else than
// its next events: the caller found the next worker's error, or its whole head, in
// the middle of the stream, or the stream ended as if it were complete.
func TestResumeMeetsAnError(t *testing.T) {
	head := func(status, more string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s: id-1\r\n%s: s\r\n%s\r\n", status, testID, testSeal, more)
	}
	const begin = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	for _, broken := range []struct{ desc, text string }{
		{"between two events", begin},
		{"within an event", begin + "id: 3\nda"},
		{"and goes on with a failure's head", begin + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror\n\n"},
		{"within an event and goes on with a failure's head", begin + "id: 3\nHTTP/1.1 500 Internal Server Error\r\n\r\nerror"},
	} {
		for _, next := range []struct {
			desc, text string
			complete   bool
		}{
			{"a failure", head("500 Internal Server Error", "Content-Length: 5\r\n") + "error", false},
			{"a failure without a length", head("502 Bad Gateway", "") + "error", false},
			{"a failure above the buffer", head("500 Internal Server Error", "") + strings.Repeat("error", 1<<15), false},
			{"a rejection", head("400 Bad Request", "Content-Length: 5\r\n") + "error", false},
			{"a rejection above the buffer", head("404 Not Found", "") + strings.Repeat("error", 1<<15), false},
			{"a redirect", head("307 Temporary Redirect", "Location: /x\r\nContent-Length: 5\r\n") + "error", false},
			{"a success that is no stream", head("200 OK", "Content-Length: 5\r\n") + "error", false},
			{"a success that is no stream and ends with a blank line", head("200 OK", "Content-Length: 7\r\n") + "error\n\n", false},
			{"a stream from the begin", head("200 OK", "Content-Length: 32\r\n") + begin, false},
			{"a stream that ends with its connection before the first event", head("200 OK", ""), false},
			{"a head without a body", "HTTP/1.1 200 OK\r\n", false},
			{"the rest", head("200 OK", "Content-Length: 16\r\n") + "id: 3\ndata: e3\n\n", true},
			{"an empty rest", head("200 OK", "Content-Length: 0\r\n"), true},
		} {
			inBubble(t, "A stream that breaks off "+broken.desc+" and meets "+next.desc, engines(2), func(h *harness) {
				var mu sync.Mutex
				requests := 0
				for _, w := range h.workers {
					h.startRawWorker(w.Address, func(conn net.Conn, _ string) bool {
						mu.Lock()
						requests++
						first := requests == 1
						mu.Unlock()
						text := next.text
						if first {
							text = head("200 OK", "Content-Length: 100000\r\n") + broken.text
						}
						_, _ = io.WriteString(conn, text)
						return false
					})
				}
				resp, aborted := h.call("POST", "/chat/x")
				So(resp.Code, ShouldEqual, http.StatusOK)
				So(resp.Body.String(), ShouldBeIn, []string{begin, begin + "id: 3\ndata: e3\n\n"})
				So(aborted, ShouldEqual, !next.complete)
				sleep(time.Second)
			})
		}
	}
	inBubble(t, "A long rejection of a stream in progress is closed at once when the next worker goes on", engines(3), func(h *harness) {
		h.routes.table.Load().match("desk.example", "/chat/x").MaxAttempts = 3
		var mu sync.Mutex
		requests := 0
		var rejecting []*rawWorker
		for _, w := range h.workers {
			rejecting = append(rejecting, h.startRawWorker(w.Address, func(conn net.Conn, _ string) bool {
				mu.Lock()
				requests++
				n := requests
				mu.Unlock()
				switch n {
				case 1:
					_, _ = io.WriteString(conn, head("200 OK", "Content-Length: 100000\r\n")+begin)
				case 2:
					_, _ = io.WriteString(conn, head("404 Not Found", ""))
					return writeForever(conn, strings.Repeat("x", 8192), 0)
				default:
					sleep(1500 * time.Millisecond)
					_, _ = io.WriteString(conn, head("200 OK", "Content-Length: 16\r\n")+"id: 3\ndata: e3\n\n")
				}
				return false
			}))
		}
		resp, aborted := h.call("POST", "/chat/x")
		So(aborted, ShouldBeFalse)
		So(resp.Body.String(), ShouldEqual, begin+"id: 3\ndata: e3\n\n")
		sleep(time.Millisecond) // the workers' connections end
		soon := 0
		for _, w := range rejecting {
			if _, longest := w.connections(); longest < 500*time.Millisecond {
				soon++
			}
		}
		So(soon, ShouldEqual, 2)
	})
	inBubble(t, "A stream that the caller resumes and whose worker crashes before the first event is not complete", engines(1), func(h *harness) {
		h.startRawWorker("engine-0:1", func(conn net.Conn, _ string) bool {
			_, _ = io.WriteString(conn, head("200 OK", ""))
			return false
		})
		resp, aborted := h.call("POST", "/chat/x", testLastEventID, "7")
		So(aborted || resp.Code >= 500, ShouldBeTrue)
		So(resp.Body.String(), ShouldNotContainSubstring, "data:")
	})
}
