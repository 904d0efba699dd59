package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
)

// pipeWorker is a worker on in-memory connections.
type pipeWorker struct {
	mu       sync.Mutex
	conns    []net.Conn
	requests int
	served   sync.WaitGroup
	// serve writes the responses to the nth request, counted from 1.
	serve func(conn net.Conn, r *http.Request, n int)
}

func (w *pipeWorker) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	w.mu.Lock()
	w.conns = append(w.conns, far)
	w.mu.Unlock()
	w.served.Go(func() {
		defer far.Close()
		in := bufio.NewReader(far)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			w.mu.Lock()
			w.requests++
			n := w.requests
			w.mu.Unlock()
			w.serve(far, r, n)
		}
	})
	return &countedConn{Conn: near}, nil
}

// close closes the connections and waits until their requests have ended.
func (w *pipeWorker) close() {
	for _, conn := range w.conns {
		_ = conn.Close()
	}
	w.served.Wait()
}

// withPipeWorker runs a test with a client of the worker in virtual time.
func withPipeWorker(t *testing.T, name string, w *pipeWorker, body func(c *Client)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			c := newClient("http://worker:1")
			c.transport.DialContext, c.unshared.DialContext = w.dial, w.dial
			defer w.close()
			body(c)
		})
	})
}

// Guards against a connection that is used on after a response to another attempt: the
// next attempts got the responses that were still due, and failed too.
func TestForeignAnswerEndsItsConnection(t *testing.T) {
	call := func(c *Client, a core.Attempt) error {
		response, err := c.Call(context.Background(), a, &core.ServiceRequest{Method: "POST", Path: "/x", Body: []byte("{}")})
		if err == nil {
			So(response.Status, ShouldEqual, http.StatusOK)
		}
		return err
	}
	callWithoutBody := func(c *Client, a core.Attempt) error {
		_, err := c.Call(context.Background(), a, &core.ServiceRequest{Method: "GET", Path: "/x"})
		return err
	}
	stream := func(c *Client, a core.Attempt) error {
		frames, err := c.Stream(context.Background(), a, []byte("{}"))
		if err != nil {
			return err
		}
		defer frames.Close()
		if f, err := frames.Next(); err != nil || string(f.ID) != a.ID+"/1" {
			return unknownOutcomeError(fmt.Errorf("frame %q: %w", f.ID, err))
		}
		_, err = frames.Next()
		So(err, ShouldEqual, io.EOF)
		return nil
	}
	const other = headerAttempt + ": other\r\n"
	refusal := func(header string) string {
		return httpResponse(http.StatusServiceUnavailable, headerOutcome+": not_run\r\n"+header, "")
	}
	empty := func(string) string { return "" }
	frame := func(id string) string { return "id: " + id + "/1\ndata: x\n\n" }
	for _, test := range []struct {
		desc       string
		additional string
		send       func(*Client, core.Attempt) error
		body       func(id string) string
	}{
		{"refusal with an ID, among responses with a body", refusal(other), call, frame},
		{"refusal with an ID, among responses without a body", refusal(other), call, empty},
		{"refusal without an ID, among responses with a body", refusal(""), call, frame},
		{"refusal without an ID, among responses without a body", refusal(""), call, empty},
		{"refusal with an ID, among requests and responses without a body", refusal(other), callWithoutBody, empty},
		{"success with an ID, among responses without a body", httpResponse(http.StatusOK, other, ""), call, empty},
		{"refusal with an ID, among streams", refusal(other), stream, frame},
		{"refusal without an ID, among streams", refusal(""), stream, frame},
		{"failure with an ID, among streams", httpResponse(http.StatusInternalServerError, other, "failed"), stream, frame},
		{"stream with an ID and without a frame, among streams", httpResponse(http.StatusOK, "Content-Type: text/event-stream\r\n"+other, ""), stream, frame},
	} {
		w := &pipeWorker{serve: func(conn net.Conn, r *http.Request, n int) {
			if n == 3 {
				_, _ = io.WriteString(conn, test.additional)
			}
			<-time.After(time.Millisecond) // virtual time
			id := r.Header.Get(headerAttempt)
			_, _ = io.WriteString(conn, httpResponse(http.StatusOK, headerAttempt+": "+id+"\r\nContent-Type: text/event-stream\r\n", test.body(id)))
		}}
		t.Run(test.desc, func(t *testing.T) {
			withPipeWorker(t, "An additional "+test.desc+", fails one attempt", w, func(c *Client) {
				outcomes := map[core.Outcome]int{}
				for i := range 40 {
					a := newAttempt()
					a.ID = "a" + strconv.Itoa(i)
					outcomes[outcomeOf(test.send(c, a))]++
				}
				So(outcomes, ShouldResemble, map[core.Outcome]int{core.OutcomeRan: 39, core.OutcomeUnknown: 1})
				So(w.requests, ShouldEqual, 40)
			})
		})
	}
}

// Guards against a request that waits forever, or whose outcome is unknown, when only a
// retired connection is left and no other can be opened.
func TestRetiredConnectionOfUnreachableWorker(t *testing.T) {
	w := &pipeWorker{serve: func(conn net.Conn, r *http.Request, _ int) {
		_, _ = io.WriteString(conn, httpResponse(http.StatusOK, headerAttempt+": other\r\n", ""))
	}}
	withPipeWorker(t, "An attempt that is sent on no connection has not run", w, func(c *Client) {
		for _, want := range []core.Outcome{core.OutcomeUnknown, core.OutcomeNotRun} {
			_, err := c.Call(context.Background(), newAttempt(), &core.ServiceRequest{Method: "POST", Path: "/x", Body: []byte("{}")})
			So(outcomeOf(err), ShouldEqual, want)
			c.transport.DialContext = func(context.Context, string, string) (net.Conn, error) { return nil, io.ErrUnexpectedEOF }
		}
		So(w.requests, ShouldEqual, 1)
	})
}

// Guards against calls without an attempt ID on the connections of others: an additional
// response was taken as the report of a worker or the reply to an order, and a reply
// without an ID as the response to an attempt.
func TestCallsWithoutAttemptHaveOwnConnections(t *testing.T) {
	call := func(c *Client, id string) (string, error) {
		a := newAttempt()
		a.ID = id
		response, err := c.Call(context.Background(), a, &core.ServiceRequest{Method: "POST", Path: "/x", Body: []byte("{}")})
		if err != nil {
			return "", err
		}
		return string(response.Body), nil
	}
	load := func(c *Client, _ string) (string, error) {
		report, err := c.Load(context.Background(), "pool", "w1")
		return reportText(report), err
	}
	order := func(c *Client, _ string) (string, error) {
		report, err := c.SendOrder(context.Background(), core.Order{Upstream: "pool", Worker: "w1", Order: "load", Model: "m"})
		return reportText(report), err
	}
	cancel := func(c *Client, id string) (string, error) {
		a := newAttempt()
		a.ID = id
		ended := make(chan struct{})
		c.Cancel(a, func() { close(ended) })
		<-ended
		return "", nil
	}
	type send = func(c *Client, id string) (string, error)
	for _, test := range []struct {
		desc          string
		before, after send
	}{
		{"an attempt, before an order", call, order},
		{"an attempt, before a load report", call, load},
		{"a load report, before an order", load, order},
		{"a load report, before a load report", load, load},
		{"a load report, before an attempt", load, call},
		{"an order, before a load report", order, load},
		{"an order, before an order", order, order},
		{"an order, before an attempt", order, call},
		{"a cancelled attempt, before an order", cancel, order},
		{"a cancelled attempt, before an attempt", cancel, call},
	} {
		t.Run(test.desc, func(t *testing.T) {
			// The first response is written again as soon as the next request has arrived.
			var first string
			w := &pipeWorker{}
			w.serve = func(conn net.Conn, r *http.Request, n int) {
				header := ""
				if id := r.Header.Get(headerAttempt); id != "" {
					header = headerAttempt + ": " + id + "\r\n"
				}
				response := httpResponse(http.StatusOK, header, fmt.Sprintf(`{"running":%d,"limit":9}`, n))
				if n == 1 {
					first = response
				} else if conn == w.conns[0] {
					_, _ = io.WriteString(conn, first)
				}
				_, _ = io.WriteString(conn, response)
			}
			withPipeWorker(t, "A second copy of the response to "+test.desc+", is not taken as the response to it", w, func(c *Client) {
				_, err := test.before(c, "a1")
				So(err, ShouldBeNil)
				<-time.After(time.Millisecond) // virtual time
				got, err := test.after(c, "a2")
				So(err, ShouldBeNil)
				So(got, ShouldEqual, `{"running":2,"limit":9}`)
				So(w.requests, ShouldEqual, 2)
			})
		})
	}
}

func reportText(r core.LoadReport) string {
	return fmt.Sprintf(`{"running":%d,"limit":%d}`, r.Running, r.Limit)
}
