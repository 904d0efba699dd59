package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
)

// earlyWorker reads a part of the body, writes the response and closes the connection.
func earlyWorker(bodyBytes int64, response string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			var head []byte
			for b := make([]byte, 1); !strings.HasSuffix(string(head), "\r\n\r\n"); head = append(head, b[0]) {
				if _, err := far.Read(b); err != nil {
					return
				}
			}
			_, _ = io.CopyN(io.Discard, far, bodyBytes)
			_, _ = io.WriteString(far, response)
		}()
		return &countedConn{Conn: near}, nil
	}
}

// Guards against a response without a length that counts as complete although the worker
// closed its connection before it had received the request.
func TestResponseBeforeTheBodyIsRead(t *testing.T) {
	const size = 64 << 10
	const head = "HTTP/1.1 200 OK\r\n" + headerAttempt + ": a1\r\nContent-Type: text/event-stream\r\n"
	const event = "id: a1/1\ndata: x\n\n"
	body := []byte(strings.Repeat("x", size))
	call := func(c *Client) (string, error) {
		response, err := c.Call(context.Background(), newAttempt(), &core.ServiceRequest{Method: "POST", Path: "/x", Body: body})
		if err != nil {
			return "", err
		}
		return string(response.Body), nil
	}
	stream := func(c *Client) (string, error) {
		frames, err := c.Stream(context.Background(), newAttempt(), body)
		if err != nil {
			return "", err
		}
		defer frames.Close()
		f, err := frames.Next()
		if err != nil {
			return "", err
		}
		if _, err = frames.Next(); err == io.EOF {
			return "id: " + string(f.ID) + "\ndata: " + string(f.Data) + "\n\n", nil
		}
		return "", err
	}
	for _, framing := range []struct {
		desc, response string
		framed         bool
	}{
		{"without a length", head + "\r\n" + event, false},
		{"with a length", head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(event)) + event, true},
		{"in chunks", head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(event), event), true},
	} {
		for _, read := range []int64{0, 1, size / 2, size - 1, size} {
			for desc, send := range map[string]func(*Client) (string, error){"call": call, "stream": stream} {
				Convey(fmt.Sprintf("A response %s to a %s after %d bytes of the body", framing.desc, desc, read), t, func() {
					c := newClient("http://worker:1")
					c.transport.DialContext = earlyWorker(read, framing.response)
					got, err := send(c)
					So(err == nil, ShouldEqual, framing.framed || read == size)
					if err == nil {
						So(got, ShouldEqual, event)
					}
				})
			}
		}
	}
}

// Guards against a status that HTTP does not have and that counts as a response to a call,
// or keeps its connection.
func TestStatusThatIsNone(t *testing.T) {
	for _, status := range []int{0, 1, 99, 600, 999} {
		w := &pipeWorker{serve: func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(conn, strings.Replace(httpResponse(status, headerAttempt+": a1\r\n"+headerOutcome+": not_run\r\n", ""), fmt.Sprint(" ", status, " "), fmt.Sprintf(" %03d ", status), 1))
		}}
		withPipeWorker(t, fmt.Sprintf("Status %03d has an unknown outcome and ends its connection", status), w, func(c *Client) {
			for range 2 {
				_, err := c.Call(context.Background(), newAttempt(), &core.ServiceRequest{Method: "POST", Path: "/x", Body: []byte("{}")})
				So(outcomeOf(err), ShouldEqual, core.OutcomeUnknown)
				_, err = c.Stream(context.Background(), newAttempt(), []byte("{}"))
				So(outcomeOf(err), ShouldEqual, core.OutcomeUnknown)
				_, err = c.Load(context.Background(), "pool", "w1")
				So(outcomeOf(err), ShouldEqual, core.OutcomeUnknown)
			}
			So(w.requests, ShouldEqual, 6)
			So(w.conns, ShouldHaveLength, 6)
		})
	}
}
