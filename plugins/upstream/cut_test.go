package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
)

// startCutWorker starts a worker that answers each request with answer(), which may be
// cut off anywhere, and closes the connection.
func startCutWorker(answer func() string) (url string, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, answer())
			}()
		}
	}()
	return "http://" + l.Addr().String(), func() { _ = l.Close() }
}

// Guards against an answer whose head or body breaks off and that reaches the caller as
// a success, empty or short, or as one that was not run (incident 0015).
func TestAnswerCutAtEveryByte(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + headerAttempt + ": a1\r\nContent-Type: text/event-stream\r\n"
	for _, test := range []struct{ desc, answer string }{
		{"with a length", head + "Content-Length: 25\r\n\r\nid: a1/1\ndata: [DONE]\n\n.\n"},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n19\r\nid: a1/1\ndata: [DONE]\n\n.\n\r\n0\r\n\r\n"},
		{"a refusal", "HTTP/1.1 503 Service Unavailable\r\nX-Outcome: not_run\r\n" + headerAttempt + ": a1\r\nContent-Length: 0\r\n\r\n"},
	} {
		Convey("A call whose answer "+test.desc+" breaks off has an unknown outcome", t, func() {
			cut := 0
			url, stop := startCutWorker(func() string { return test.answer[:cut] })
			Reset(stop)
			client := newClient(url)
			for cut = range len(test.answer) {
				response, err := client.Call(context.Background(), newAttempt(), &core.ServiceRequest{Method: "POST", Path: "/x", Body: []byte("{}")})
				So(fmt.Sprint(cut, response != nil, outcomeOf(err)), ShouldEqual, fmt.Sprint(cut, false, core.OutcomeUnknown))
			}
		})
		Convey("The head of a stream "+test.desc+" that breaks off starts no stream", t, func() {
			cut := 0
			url, stop := startCutWorker(func() string { return test.answer[:cut] })
			Reset(stop)
			client := newClient(url)
			for cut = range len(head) {
				frames, err := client.Stream(context.Background(), newAttempt(), []byte("{}"))
				So(fmt.Sprint(cut, frames == nil, outcomeOf(err)), ShouldEqual, fmt.Sprint(cut, true, core.OutcomeUnknown))
			}
		})
	}
}
