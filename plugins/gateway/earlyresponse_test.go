package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startEarlyWorker starts a worker that reads a part of the body, writes the response and
// closes the connection.
func (h *harness) startEarlyWorker(address string, bodyBytes int64, response string) {
	l := &memoryListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	h.network.setListener(address, l)
	h.closers = append(h.closers, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			var head []byte
			for b := make([]byte, 1); !strings.HasSuffix(string(head), "\r\n\r\n"); head = append(head, b[0]) {
				if _, err := conn.Read(b); err != nil {
					break
				}
			}
			_, _ = io.CopyN(io.Discard, conn, bodyBytes)
			_, _ = io.WriteString(conn, response)
			_ = conn.Close()
		}
	}()
}

// Guards against a response without a length that reaches the caller as complete although
// the worker closed its connection before it had received the request.
func TestResponseBeforeTheBodyIsRead(t *testing.T) {
	const size = 64 << 10
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: s\r\n", testID, testSeal)
	const event = "id: 1\ndata: e1\n\n"
	for _, framing := range []struct {
		desc, response string
		framed         bool
	}{
		{"without a length", head + "\r\n" + event, false},
		{"with a length", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(event)) + event, true},
		{"in chunks", head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event), true},
	} {
		for _, read := range []int64{0, 1, size / 2, size - 1, size} {
			for _, path := range []string{"/book/x", "/chat/once/x"} {
				inBubble(t, fmt.Sprintf("A response %s of %s after %d bytes of the body", framing.desc, path, read), append(desks(1), engines(1)...), func(h *harness) {
					for address := range h.network.listeners {
						h.startEarlyWorker(address, read, framing.response)
					}
					resp, aborted := callWithBody(context.Background(), h.Gateway, "POST", path, strings.Repeat("x", size))
					complete := !aborted && resp.Code == http.StatusOK
					So(complete, ShouldEqual, framing.framed || read == size)
					if complete {
						So(resp.Body.String(), ShouldEqual, event)
					} else if path == "/book/x" {
						So(aborted, ShouldBeFalse)
						So(resp.Code, ShouldEqual, http.StatusBadGateway)
					}
				})
			}
		}
	}
}

// Guards against a status that HTTP does not have: below 100 it closed the caller's
// connection without a response, above 599 it was forwarded.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		for _, framing := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nab", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "\r\nab"} {
			for _, path := range []string{"/book/x", "/chat/once/x"} {
				inBubble(t, fmt.Sprintf("Status %s of %s with %q gets 502", status, path, framing), append(desks(2), engines(2)...), func(h *harness) {
					var workers []*rawWorker
					for address := range h.network.listeners {
						workers = append(workers, h.startRawWorker(address, func(conn net.Conn, _ string) bool {
							_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 %s Odd\r\n%s: id-1\r\n%s: s\r\n%s: 1\r\n%s", status, testID, testSeal, testNotRun, framing))
							return true
						}))
					}
					resp, aborted := h.call("POST", path)
					So(aborted, ShouldBeFalse)
					So(resp.Code, ShouldEqual, http.StatusBadGateway)
					sleep(time.Millisecond)
					runs := 0
					for _, w := range workers {
						runs += w.received()
						open, _ := w.connections()
						So(open, ShouldEqual, 0)
					}
					So(runs, ShouldEqual, 1)
				})
			}
		}
	}
}
