package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/settings"
)

type staticConfig struct{ revision *core.ConfigRevision }

func (c staticConfig) Current() *core.ConfigRevision           { return c.revision }
func (c staticConfig) Subscribe(fn func(*core.ConfigRevision)) { fn(c.revision) }

// testRevision returns a revision with two upstreams, of which only pool reports
// its load.
func testRevision(url string) *core.ConfigRevision {
	workers := []objects.Worker{{ID: "w1", FailureDomain: "a", URL: url}, {ID: "w2", FailureDomain: "b", URL: url}}
	return &core.ConfigRevision{Set: &objects.Set{Upstreams: map[string]*objects.Upstream{
		"pool":  {Name: "pool", ReportsLoad: true, Workers: workers},
		"quiet": {Name: "quiet", Workers: workers},
	}}}
}

func newClient(url string) *Client {
	s := &Settings{}
	src, err := settings.Open("", nil)
	if err == nil {
		err = src.Bind(map[string]any{"upstream": s})
	}
	if err != nil {
		panic(err)
	}
	s.AnswerBytes = 1024
	return New(s, staticConfig{testRevision(url)}, log.New(io.Discard))
}

// closeAfter at the end of a raw response makes the server close the connection
// after it.
const closeAfter = "(cut)"

// rawServer starts a server that responds to each request with the next of the raw
// responses and counts the requests.
func rawServer(responses ...string) (url string, requests *atomic.Int64, stop func()) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	requests = &atomic.Int64{}
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			n := int(requests.Add(1))
			if n > len(responses) {
				return
			}
			text, closes := strings.CutSuffix(responses[n-1], closeAfter)
			_, _ = io.WriteString(conn, text)
			if closes {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return "http://" + l.Addr().String(), requests, func() { _ = l.Close() }
}

func httpResponse(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

func outcomeOf(err error) core.Outcome {
	var failed *core.AttemptError
	if errors.As(err, &failed) {
		return failed.Outcome
	}
	return core.OutcomeRan
}

// bookingCall has a query and an idempotency key.
var bookingCall = &core.ServiceRequest{Method: "POST", Path: "/turns?well=3", Body: []byte(`{}`), IdempotencyKey: "k", Header: http.Header{}}

func newAttempt() core.Attempt { return core.Attempt{ID: "a1", Upstream: "pool", Worker: "w1"} }

// Guards against a worker that counts as faulty because the router has no memory for its
// response, and against a response that is passed on in part.
func TestResponseWithoutMemory(t *testing.T) {
	Convey("A response without memory has run, and its worker has answered", t, func() {
		url, _, stop := rawServer(httpResponse(200, "", strings.Repeat("x", 1000)))
		Reset(stop)
		budget := bytebudget.New(1000)
		call := *bookingCall
		call.Memory = budget.NewBody("clerks", nil)
		_, err := newClient(url).Call(context.Background(), newAttempt(), &call)
		var failed *core.AttemptError
		So(errors.As(err, &failed), ShouldBeTrue)
		So(errors.Is(err, bytebudget.ErrShort), ShouldBeTrue)
		So(failed.Outcome, ShouldEqual, core.OutcomeUnknown)
		So(failed.Status, ShouldEqual, 200)
		call.Memory.Release()
		So(budget.Used(), ShouldEqual, 0)
	})
}

// Guards against reporting not_run for a request that may have run (guarantee R3),
// and against sending a request twice (guarantee R4).
func TestOutcomes(t *testing.T) {
	Convey("The error of a call states whether the call may have run", t, func() {
		ok := httpResponse(200, "", "fine")
		for _, c := range []struct {
			desc      string
			responses []string
			calls     int
			outcome   core.Outcome // of the last call
			requests  int
		}{
			{"response", []string{ok}, 1, core.OutcomeRan, 1},
			{"response with status 500", []string{httpResponse(500, "", "x")}, 1, core.OutcomeRan, 1},
			{"refusal with outcome not_run", []string{httpResponse(503, "X-Outcome: not_run\r\n", "")}, 1, core.OutcomeNotRun, 1},
			{"success with outcome not_run", []string{httpResponse(200, "X-Outcome: not_run\r\n", "")}, 1, core.OutcomeRan, 1},
			{"closed without a response", []string{closeAfter}, 1, core.OutcomeUnknown, 1},
			{"closed without a response on a reused connection", []string{ok, closeAfter, ok}, 2, core.OutcomeUnknown, 2},
			{"response that names the attempt", []string{httpResponse(200, "X-Attempt-Id: a1\r\n", "")}, 1, core.OutcomeRan, 1},
			{"response to another attempt", []string{httpResponse(200, "X-Attempt-Id: b2\r\n", "")}, 1, core.OutcomeUnknown, 1},
			{"refusal of another attempt with outcome not_run", []string{httpResponse(503, "X-Attempt-Id: b2\r\nX-Outcome: not_run\r\n", "")}, 1, core.OutcomeUnknown, 1},
			{"refusal with outcome not_run that names the attempt, on a reused connection", []string{ok, httpResponse(503, "X-Attempt-Id: a1\r\nX-Outcome: not_run\r\n", "")}, 2, core.OutcomeNotRun, 2},
			{"refusal with outcome not_run that names no attempt, on a reused connection", []string{ok, httpResponse(503, "X-Outcome: not_run\r\n", "")}, 2, core.OutcomeUnknown, 2},
			{"truncated response", []string{"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nshort" + closeAfter}, 1, core.OutcomeUnknown, 1},
			{"oversized response", []string{httpResponse(200, "", strings.Repeat("x", 1025))}, 1, core.OutcomeUnknown, 1},
			{"oversized header", []string{httpResponse(200, "X: "+strings.Repeat("x", 70000)+"\r\n", "")}, 1, core.OutcomeUnknown, 1},
			{"not HTTP", []string{"hello\r\n\r\n"}, 1, core.OutcomeUnknown, 1},
		} {
			for _, body := range []string{"{}", "", "counted"} {
				Convey(c.desc+" with body "+body, func() {
					url, requests, stop := rawServer(c.responses...)
					Reset(stop)
					client := newClient(url)
					call := *bookingCall
					call.Body = []byte(body)
					if body == "counted" {
						call.Memory = bytebudget.New(1<<20).NewBody("clerks", nil)
					}
					var err error
					for range c.calls {
						_, err = client.Call(context.Background(), newAttempt(), &call)
					}
					So(outcomeOf(err), ShouldEqual, c.outcome)
					So(requests.Load(), ShouldEqual, c.requests)
				})
			}
		}
	})
	Convey("A request of which no byte can have been sent is reported as not run", t, func() {
		url, requests, stop := rawServer()
		Reset(stop)
		client := newClient(url)
		valid, expired, unknown := newAttempt(), newAttempt(), newAttempt()
		expired.SendBy = time.Now().Add(-time.Second)
		unknown.Worker = "w9"
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		for _, c := range []struct {
			desc   string
			ctx    context.Context
			a      core.Attempt
			closed bool // the server is not listening
		}{
			{"when its slot has expired", context.Background(), expired, false},
			{"when the connection is refused", context.Background(), valid, true},
			{"when it was cancelled before", cancelled, valid, false},
			{"when the worker is not in the configuration", context.Background(), unknown, false},
		} {
			Convey(c.desc, func() {
				if c.closed {
					stop()
				}
				_, err := client.Call(c.ctx, c.a, bookingCall)
				So(outcomeOf(err), ShouldEqual, core.OutcomeNotRun)
				_, err = client.Stream(c.ctx, c.a, []byte("{}"))
				So(outcomeOf(err), ShouldEqual, core.OutcomeNotRun)
				So(requests.Load(), ShouldEqual, 0)
			})
		}
	})
	Convey("After stopWrites a connection refuses writes, and stopWrites reports whether more than the given number of bytes was written", t, func() {
		a, b := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, b) }()
		c := &countedConn{Conn: a}
		_, err := c.Write([]byte("12"))
		So(err, ShouldBeNil)
		So(c.stopWrites(2), ShouldBeFalse)
		So(c.stopWrites(1), ShouldBeTrue)
		_, err = c.Write([]byte("3"))
		So(err, ShouldEqual, errWritesStopped)
		So(c.bytesWritten(), ShouldEqual, 2)
	})
}

// manualTimer is a stallTimer that never fires by itself.
type manualTimer struct{}

func (manualTimer) Reset(time.Duration) bool { return true }
func (manualTimer) Stop() bool               { return true }

// manualStall replaces the client's stall timers by manual ones and returns a
// function that fires the newest of them. With a short real timeout, the result
// would depend on whether the request was sent before the timeout.
func manualStall(c *Client) func() {
	var fire func()
	c.newTimer = func(_ time.Duration, fn func()) stallTimer { fire = fn; return manualTimer{} }
	return func() { fire() }
}

// Guards against wrong headers in requests to engines, and against accepting a
// response that is not an event stream.
func TestStream(t *testing.T) {
	Convey("With an engine", t, func() {
		var got http.Header
		respond := func(w http.ResponseWriter) { _, _ = io.WriteString(w, "id: a1/1\ndata: x\n\n") }
		cancelled := make(chan string, 1) // paths of DELETE requests
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodDelete {
				cancelled <- r.URL.Path
				return
			}
			got = r.Header
			w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
			respond(w)
		}))
		Reset(server.Close)
		client := newClient(server.URL)
		a := newAttempt()
		a.Priority, a.Deadline, a.LastEventID = 3, time.Now().Add(time.Minute), "a1/7"
		Convey("an attempt is sent with its ID, priority, deadline and the frame to resume after", func() {
			frames, err := client.Stream(context.Background(), a, []byte("{}"))
			So(err, ShouldBeNil)
			f, err := frames.Next()
			So(err, ShouldBeNil)
			So(string(f.ID)+string(f.Data), ShouldEqual, "a1/1x")
			_, err = frames.Next()
			So(err, ShouldEqual, io.EOF)
			So(frames.Close(), ShouldBeNil)
			So([]string{got.Get("X-Attempt-Id"), got.Get("X-Priority"), got.Get("Last-Event-ID")}, ShouldResemble, []string{"a1", "3", "a1/7"})
			So(got.Get("X-Deadline-Ms"), ShouldNotBeEmpty)
		})
		Convey("an event above the size limit ends the stream", func() {
			client.settings.EventBytes = 4
			respond = func(w http.ResponseWriter) { _, _ = io.WriteString(w, "data: 12345\n\n") }
			frames, err := client.Stream(context.Background(), a, nil)
			So(err, ShouldBeNil)
			_, err = frames.Next()
			var limit *answer.LimitError
			So(errors.As(err, &limit), ShouldBeTrue)
			_ = frames.Close()
		})
		Convey("a response that is not an event stream has an unknown outcome", func() {
			respond = func(w http.ResponseWriter) { w.Header().Set("Content-Type", "text/html") }
			_, err := client.Stream(context.Background(), a, nil)
			So(outcomeOf(err), ShouldEqual, core.OutcomeUnknown)
		})
		Convey("a refusal without an outcome header has an unknown outcome and keeps its status", func() {
			respond = func(w http.ResponseWriter) { w.Header().Set("Retry-After", "7"); w.WriteHeader(429) }
			_, err := client.Stream(context.Background(), a, nil)
			var failed *core.AttemptError
			So(errors.As(err, &failed), ShouldBeTrue)
			So([]any{failed.Outcome, failed.Status, failed.RetryAfter}, ShouldResemble, []any{core.OutcomeUnknown, 429, 7 * time.Second})
		})
		Convey("a stream that stalls is ended with an error", func() {
			stall := manualStall(client)
			respond = func(w http.ResponseWriter) {
				_ = http.NewResponseController(w).Flush()
				<-cancelled
			}
			frames, err := client.Stream(context.Background(), a, nil)
			So(err, ShouldBeNil)
			stall()
			_, err = frames.Next()
			So(err, ShouldNotBeNil)
			So(err, ShouldNotEqual, io.EOF)
			_ = frames.Close()
			cancelled <- "" // lets the handler return
		})
		Convey("a request to a worker that does not respond is ended after the stall timeout", func() {
			stall := manualStall(client)
			respond = func(http.ResponseWriter) { stall(); <-cancelled }
			_, err := client.Stream(context.Background(), a, nil)
			So(outcomeOf(err), ShouldEqual, core.OutcomeUnknown)
			cancelled <- "" // lets the handler return
		})
		Convey("an attempt is cancelled by its ID", func() {
			ended := make(chan struct{})
			client.Cancel(a, func() { close(ended) })
			So(<-cancelled, ShouldEqual, "/v1/attempts/a1")
			<-ended
			client.submit = func(func(context.Context)) bool { return false }
			ended = make(chan struct{})
			client.Cancel(a, func() { close(ended) })
			<-ended // no request was sent
		})
	})
}

// fakeHealthSink records the results of polls.
type fakeHealthSink struct {
	core.WorkerHealthSink
	events chan string
	wanted string // worker that fakeLoadFilter selects
}

func (s *fakeHealthSink) WorkerLoad(upstream, worker string, r core.LoadReport) {
	s.events <- fmt.Sprintf("%s/%s %d %d %v", upstream, worker, r.Running, r.Limit, r.Leaving)
}

func (s *fakeHealthSink) WorkerUnanswered(upstream, worker string, refused bool) {
	s.events <- fmt.Sprintf("%s/%s unanswered %v", upstream, worker, refused)
}

// fakeLoadFilter is a fakeHealthSink that selects one worker.
type fakeLoadFilter struct{ *fakeHealthSink }

func (f fakeLoadFilter) WantsLoad(_, worker string) bool { return worker == f.wanted }

// Guards against polling workers that another router polls, which would multiply
// control traffic, and against unreachable workers that are not reported and stay
// open for requests.
func TestPolls(t *testing.T) {
	Convey("Workers are polled", t, func() {
		refuse := false
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if refuse {
				w.WriteHeader(500)
				return
			}
			_, _ = io.WriteString(w, `{"running":3,"limit":9}`)
		}))
		Reset(server.Close)
		sink := &fakeHealthSink{events: make(chan string, 9), wanted: "w2"}
		workerPoller := &poller{client: newClient(server.URL), health: sink, domain: "a"}
		poll := func() (got []string) {
			workerPoller.poll(context.Background(), testRevision(server.URL))
			for len(sink.events) > 0 {
				got = append(got, <-sink.events)
			}
			slices.Sort(got)
			return got
		}
		Convey("if the load filter selects them", func() {
			workerPoller.health = fakeLoadFilter{sink}
			So(poll(), ShouldResemble, []string{"pool/w2 3 9 false", "quiet/w2 0 0 false"})
		})
		Convey("if they are in the local failure domain, and a refused connection is reported as such", func() {
			So(poll(), ShouldResemble, []string{"pool/w1 3 9 false", "quiet/w1 0 0 false"})
			server.Close()
			So(poll(), ShouldResemble, []string{"pool/w1 unanswered true", "quiet/w1 unanswered true"})
		})
		Convey("and an error response is reported as unanswered", func() {
			refuse = true
			So(poll(), ShouldResemble, []string{"pool/w1 unanswered false", "quiet/w1 0 0 false"})
			refuse = false
			So(poll(), ShouldResemble, []string{"pool/w1 3 9 false", "quiet/w1 0 0 false"})
		})
	})
}
