package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/routing"
)

// refuseFor returns a handler that turns requests away and asks for a pause.
func refuseFor(pause string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNotRun, "1")
		w.Header().Set(testPause, pause)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Guards against requests to a worker whose responses say that it leaves while its
// registration does not.
func TestWorkerSaysThatItLeaves(t *testing.T) {
	leave := func(handle http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testLeaving, "1")
			handle(w, r)
		}
	}
	for _, test := range []struct {
		desc, path string
		workers    []routing.WorkerInfo
		handle     http.HandlerFunc
	}{
		{"a success", "/read/x", desks(2), serveSuccess},
		{"a refusal", "/book/x", desks(2), refuseFor("")},
		{"a failure", "/book/x", desks(2), func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }},
		{"a stream", "/chat/x", engines(2), func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testSeal, "s")
			events(w, 1, 2)
		}},
	} {
		inBubble(t, "After "+test.desc+" that says so the worker gets no more requests", test.workers, func(h *harness) {
			first := h.workers[test.workers[0].ID]
			other := serveSuccess
			if test.path == "/chat/x" {
				other = test.handle
			}
			h.setHandlers(other)
			first.handle = leave(test.handle)
			for range 40 {
				h.call("POST", test.path)
				sleep(100 * time.Millisecond)
			}
			So(len(first.received()), ShouldEqual, 1)
		})
	}
	inBubble(t, "The head of a stream says so while the stream goes on to its end", engines(2), func(h *harness) {
		stream := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testSeal, "s")
			events(w, 1, 1)
			sleep(700 * time.Millisecond)
			events(w, 2, 2)
		}
		h.setHandlers(stream)
		h.workers["engine-0"].handle = leave(stream)
		bodies := make(chan string, 20)
		for range 20 {
			go func() {
				resp, _ := h.call("POST", "/chat/x")
				bodies <- resp.Body.String()
			}()
			sleep(50 * time.Millisecond)
		}
		for range 20 {
			So(<-bodies, ShouldEqual, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
		}
		So(len(h.workers["engine-0"].received()), ShouldBeLessThanOrEqualTo, 1)
	})
	inBubble(t, "The last worker of an upstream gets requests for the grace, then they are refused at once", desks(1), func(h *harness) {
		h.setHandlers(leave(serveSuccess))
		for range 19 {
			resp, _ := h.call("POST", "/book/x")
			So(resp.Code, ShouldEqual, http.StatusOK)
			sleep(100 * time.Millisecond)
		}
		sleep(100 * time.Millisecond)
		start := time.Now()
		resp, _ := h.call("POST", "/book/x")
		So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Header().Get("Retry-After"), ShouldNotBeEmpty)
		So(time.Since(start), ShouldEqual, 0)
		So(h.requestCount(), ShouldEqual, 19)
	})
}

// Guards against requests to a worker that has turned one away for a while, and
// against a pause that counts as a fault or that another response sets.
func TestWorkerPauses(t *testing.T) {
	inBubble(t, "A worker that pauses gets no request before the end, is not ejected and gets its share then", desks(3), func(h *harness) {
		paused := h.workers["desk-0"]
		paused.handle = refuseFor("2.5s")
		for range 3 {
			before := len(paused.received())
			start := time.Now()
			for len(paused.received()) == before {
				resp, _ := h.call("POST", "/book/x")
				So(resp.Code, ShouldEqual, http.StatusOK)
				So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
				sleep(20 * time.Millisecond)
			}
			end := time.Now().Add(2400 * time.Millisecond)
			for time.Now().Before(end) {
				resp, _ := h.call("POST", "/book/x")
				So(resp.Code, ShouldEqual, http.StatusOK)
				sleep(20 * time.Millisecond)
			}
			So(len(paused.received()), ShouldEqual, before+1)
			sleep(100 * time.Millisecond)
		}
	})
	inBubble(t, "If all workers pause, requests are refused at once until the earliest end, and callers return one by one", desks(2), func(h *harness) {
		h.workers["desk-0"].handle = refuseFor("8s")
		h.workers["desk-1"].handle = refuseFor("4s")
		h.call("POST", "/book/x")
		times := map[string]bool{}
		for range 20 {
			start := time.Now()
			resp, _ := h.call("POST", "/book/x")
			So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(time.Since(start), ShouldEqual, 0)
			wait, err := strconv.ParseFloat(resp.Header().Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			So(wait, ShouldBeBetweenOrEqual, 4, 5.6) // the earliest end, a quarter of it and retryAfterOverloaded
			times[resp.Header().Get("Retry-After")] = true
		}
		So(len(times), ShouldBeGreaterThan, 10)
		So(h.requestCount(), ShouldEqual, 2)
		h.setHandlers(serveSuccess)
		sleep(4 * time.Second)
		resp, _ := h.call("POST", "/book/x")
		So(resp.Code, ShouldEqual, http.StatusOK)
		So(len(h.workers["desk-0"].received()), ShouldEqual, 1)
	})
	for _, test := range []struct{ desc, response string }{
		{"a response to another request", "HTTP/1.1 503 Service Unavailable\r\n" + testID + ": other\r\n" + testNotRun + ": 1\r\n" + testPause + ": 1m\r\n" + testLeaving + ": 1\r\nContent-Length: 0\r\n\r\n"},
		{"another worker at its address", "HTTP/1.1 421 Misdirected Request\r\n" + testNotRun + ": 1\r\n" + testPause + ": 1m\r\n" + testLeaving + ": 1\r\nContent-Length: 0\r\n\r\n"},
	} {
		inBubble(t, "What "+test.desc+" says is no statement of the worker", desks(1), func(h *harness) {
			asked := 0
			h.startRawWorker("desk-0:1", func(conn net.Conn, id string) bool {
				if asked++; asked == 1 {
					_, _ = io.WriteString(conn, test.response)
					return false
				}
				_, _ = io.WriteString(conn, answerTo(id, "answer"))
				return true
			})
			h.call("POST", "/book/x")
			sleep(5 * time.Second)
			resp, _ := h.call("POST", "/book/x")
			So(resp.Code, ShouldEqual, http.StatusOK)
			So(asked, ShouldEqual, 2)
		})
	}
}
