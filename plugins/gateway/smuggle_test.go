package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// connectCaller serves the gateway's callers on one connection in memory.
func (h *harness) connectCaller() net.Conn {
	l := &memoryListener{address: "caller", conns: make(chan net.Conn), done: make(chan struct{})}
	h.closers = append(h.closers, func() { _ = h.server.callers.Close() })
	go func() { _ = h.server.serveCallers(l) }() // ends with the test
	ours, theirs := net.Pipe()
	l.conns <- theirs
	return ours
}

// answers reads responses until the connection ends or is silent, and returns their
// status.
func answers(conn net.Conn) (statuses []int, closed bool) {
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return statuses, err == io.ErrUnexpectedEOF || err == io.EOF
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		statuses = append(statuses, resp.StatusCode)
	}
}

// Guards against a request that is hidden in the body of another one, whose fields
// name two ends of the body: the hidden request was sent to a worker and answered.
func TestRequestInsideRequest(t *testing.T) {
	request := func(id, fields, body string) string {
		return fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: secret\r\n%s\r\n%s", testID, id, testKey, fields, body)
	}
	hidden := "0\r\n\r\n" + request("hidden", "Content-Length: 0\r\n", "")
	length := fmt.Sprintf("Content-Length: %d\r\n", len(hidden))
	const chunked, body = "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"
	sound := request("sound", chunked, body)
	for _, test := range []struct {
		desc     string
		bytes    string
		statuses []int
		ran      []string
		closed   bool
	}{
		{"length and chunks", request("outer", length+chunked, hidden), []int{400}, nil, true},
		{"chunks and length", request("outer", chunked+length, hidden), []int{400}, nil, true},
		{"both after a sound request on the connection", sound + request("outer", length+chunked, hidden), []int{200, 400}, []string{"sound"}, true},
		{"length alone", request("outer", length, hidden), []int{200}, []string{"outer"}, false},
		{"chunks alone, pipelined", sound + sound + request("last", length, hidden), []int{200, 200, 200}, []string{"sound", "sound", "last"}, false},
	} {
		inBubble(t, "A request with "+test.desc+" runs at most itself", desks(1), func(h *harness) {
			conn := h.connectCaller()
			go func() { _, _ = io.WriteString(conn, test.bytes) }() // the gateway may close the connection first
			statuses, closed := answers(conn)
			_ = conn.Close()
			var ran []string
			for _, r := range h.workers["desk-0"].received() {
				ran = append(ran, r.Header.Get(testID))
			}
			So(ran, ShouldResemble, test.ran)
			So(statuses, ShouldResemble, test.statuses)
			So(closed, ShouldEqual, test.closed)
		})
	}
}
