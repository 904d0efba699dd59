package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/unreadable"
	"github.com/auburnlead/auburnlead/routing"
)

// Guards against requests that wait for several workers of an unreachable failure
// domain in turn although one connect timeout has shown that the domain is
// unreachable.
func TestLostDomain(t *testing.T) {
	workers := newWorkers(testDesk, 9, func(i int) string { return string(rune('a' + i%3)) })
	inBubble(t, "After one connect timeout the workers of unreachable domains get no requests", workers, func(h *harness) {
		for _, worker := range h.workers {
			if worker.FailureDomain != "a" {
				h.network.setUnresponsive(worker.Address, true)
			}
		}
		for i := range 60 {
			start := time.Now()
			resp, _ := h.call("GET", "/read/x")
			So(resp.Code, ShouldEqual, http.StatusOK)
			// Only early requests may wait for a connection setup, at most once for
			// each unreachable domain.
			if i >= 8 {
				So(time.Since(start), ShouldBeLessThan, dialTimeout)
			}
			sleep(100 * time.Millisecond)
		}
		for _, worker := range h.workers {
			h.network.setUnresponsive(worker.Address, false)
		}
		sleep(2 * maxProbeDelay)
		listed, reachable, _ := h.fleet.RemoteReachability()
		So(listed, ShouldBeGreaterThan, 0)
		So(reachable, ShouldEqual, listed)
	})
	inBubble(t, "A request is refused at once if all workers are unreachable", desks(3), func(h *harness) {
		for _, worker := range h.workers {
			h.network.setUnresponsive(worker.Address, true)
		}
		h.call("GET", "/read/x")
		start := time.Now()
		resp, _ := h.call("GET", "/read/x")
		So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Header().Get("Retry-After"), ShouldNotBeEmpty)
		So(time.Since(start), ShouldEqual, 0)
		h.network.setUnresponsive("desk-1:1", false)
		sleep(maxProbeDelay)
		resp, _ = h.call("GET", "/read/x")
		So(resp.Code, ShouldEqual, http.StatusOK)
	})
}

// Guards against retries that the route does not allow, and against refusals
// that claim not_run although the outcome is unknown.
func TestRepeats(t *testing.T) {
	failed := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testSeal, "s")
		w.WriteHeader(http.StatusInternalServerError)
	}
	refused := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	wrongRequest := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testID, "another")
		serveSuccess(w, nil)
	}
	unsealed := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }
	for _, test := range []struct {
		desc     string
		path     string
		handle   http.HandlerFunc
		status   int
		requests int
	}{
		{"An idempotent request that failed is retried on a second worker", "/read/x", failed, 500, 2},
		{"An at-most-once request is not retried after a failure", "/book/x", failed, 500, 1},
		{"An at-most-once request is not retried after a broken connection, whose outcome is unknown", "/book/x", broken, 502, 1},
		{"A response to another request is not forwarded", "/book/x", wrongRequest, 502, 1},
		{"A success without the worker's seal is not forwarded", "/book/x", unsealed, 502, 1},
		{"An idempotent request is retried after a response to another request", "/read/x", wrongRequest, 502, 2},
		{"A request that every worker refuses is tried on three workers and refused as not run", "/book/x", refused, 503, 3},
	} {
		inBubble(t, test.desc, desks(3), func(h *harness) {
			h.setHandlers(test.handle)
			resp, aborted := h.call("POST", test.path)
			So(aborted, ShouldBeFalse)
			So(resp.Code, ShouldEqual, test.status)
			So(h.requestCount(), ShouldEqual, test.requests)
			So(strings.Contains(resp.Body.String(), "answer to"), ShouldBeFalse)
		})
	}
	inBubble(t, "Retries stay within the retry budget", desks(3), func(h *harness) {
		h.setHandlers(failed)
		for range 200 {
			h.call("GET", "/read/x")
		}
		// A fifth of the requests plus this router's share of the slack, 10.
		So(h.requestCount()-200, ShouldBeLessThanOrEqualTo, 200/5+10)
	})
}

// Guards against requests that wait until their deadline for a worker that
// accepted them and does not respond, and against retries of all requests when
// an upstream is slow.
func TestStall(t *testing.T) {
	unresponsive := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body is read
		<-r.Context().Done()
	}
	warmUp := func(h *harness, path string) {
		for range 20 {
			h.call("GET", path)
		}
	}
	inBubble(t, "A retryable request goes to another worker", desks(2), func(h *harness) {
		warmUp(h, "/read/x")
		before := h.requestCount()
		h.workers["desk-0"].handle = unresponsive
		for range 4 {
			start := time.Now()
			resp, _ := h.call("GET", "/read/x")
			So(resp.Code, ShouldEqual, 200)
			So(time.Since(start), ShouldBeLessThanOrEqualTo, 500*time.Millisecond)
		}
		So(h.requestCount()-before, ShouldBeBetween, 4, 9)
	})
	inBubble(t, "A request that is not retryable is not sent to another worker", desks(1), func(h *harness) {
		warmUp(h, "/book/x")
		h.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			sleep(1500 * time.Millisecond)
			serveSuccess(rw, r)
		})
		resp, _ := h.call("POST", "/book/x")
		So(resp.Code, ShouldEqual, 200)
	})
	inBubble(t, "The first-byte timeout grows with the response times of the upstream", desks(2), func(h *harness) {
		warmUp(h, "/read/x")
		h.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			sleep(700 * time.Millisecond)
			serveSuccess(rw, r)
		})
		before := h.requestCount()
		for range 40 {
			resp, _ := h.call("GET", "/read/x")
			So(resp.Code, ShouldEqual, 200)
		}
		So(h.requestCount()-before-40, ShouldBeLessThanOrEqualTo, 4)
	})
}

// Guards against headers and bodies that the gateway changes, and against callers
// that set headers reserved for routers.
func TestForwarding(t *testing.T) {
	inBubble(t, "Method, path, query, body and ID arrive unchanged", desks(1), func(h *harness) {
		var body string
		h.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			b := make([]byte, 64)
			n, _ := r.Body.Read(b)
			body = string(b[:n])
			rw.Header().Set("X-Extra", "kept")
			serveSuccess(rw, r)
		})
		resp, _ := h.call("PUT", "/book/a%2Fb//c?q=%20&", testDeadline, "1500ms", testCaller, "forged", "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
		So(resp.Code, ShouldEqual, http.StatusOK)
		So(resp.Body.String(), ShouldEqual, "answer")
		So(resp.Header().Get("X-Extra"), ShouldEqual, "kept")
		r := h.workers["desk-0"].received()[0]
		So(r.Method, ShouldEqual, "PUT")
		So(r.RequestURI, ShouldEqual, "/book/a%2Fb//c?q=%20&")
		So(body, ShouldEqual, "body of the request")
		So(r.Host, ShouldEqual, "desk.example")
		So(r.Header.Get(testID), ShouldEqual, "id-1")
		So(r.Header.Get("X-Other"), ShouldEqual, "kept")
		So(r.Header.Get("X-Hop"), ShouldBeEmpty)
		So(r.Header.Get(testKey), ShouldBeEmpty)
		So(r.Header.Get(testCaller), ShouldEqual, "clerks")
		So(r.Header.Get(testWorker), ShouldEqual, "desk-0")
		So(r.Header.Get(testPriority), ShouldEqual, "1")
		So(r.Header.Get(testRemaining), ShouldEqual, "1.5s")
	})
	inBubble(t, "Requests that the configuration does not allow reach no worker", desks(1), func(h *harness) {
		for _, test := range []struct {
			path, key string
			status    int
		}{{"/nowhere/", "secret", 404}, {"/read", "secret", 404}, {"/read/x", "other", 401}, {"/read/x", "", 401}} {
			resp, _ := h.call("GET", test.path, testKey, test.key)
			So(resp.Code, ShouldEqual, test.status)
		}
		So(h.requestCount(), ShouldEqual, 0)
		resp, _ := h.call("GET", "/open/x", testKey, "")
		So(resp.Code, ShouldEqual, 200)
	})
	inBubble(t, "A request fails at the route's timeout if there is no response", desks(1), func(h *harness) {
		h.setHandlers(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body is read
			<-r.Context().Done()
		})
		start := time.Now()
		resp, _ := h.call("POST", "/book/x")
		So(resp.Code, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(start), ShouldEqual, 2*time.Second)
	})
}

// Guards against refusals of requests that arrive while a router starts.
func TestStart(t *testing.T) {
	inBubble(t, "A request waits at most startupWait for the first configuration", desks(1), func(h *harness) {
		table := h.routes.table.Swap(nil)
		h.routes.loaded = make(chan struct{})
		start := time.Now()
		resp, _ := h.call("GET", "/read/x")
		So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(start), ShouldEqual, startupWait)
		time.AfterFunc(30*time.Millisecond, func() {
			h.routes.table.Store(table)
			close(h.routes.loaded)
		})
		resp, _ = h.call("GET", "/read/x")
		So(resp.Code, ShouldEqual, http.StatusOK)
	})
	inBubble(t, "Without a configuration, Retry-After is short at the start and a fraction of the caller's timeout later", nil, func(h *harness) {
		h.routes.table.Store(nil)
		h.routes.loaded = make(chan struct{})
		retryAfter := func() float64 {
			resp, _ := h.call("GET", "/read/x", testDeadline, "12s")
			So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(resp.Header().Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			return seconds
		}
		h.started = time.Now()
		So(retryAfter(), ShouldBeBetweenOrEqual, 0.5, 1)
		sleep(time.Second)
		for range 20 {
			So(retryAfter(), ShouldBeBetweenOrEqual, 2, 4)
		}
	})
	inBubble(t, "A request waits at most startupWait for the first worker list", nil, func(h *harness) {
		l := desks(1)
		h.startWorker(l[0])
		h.workersListed, h.workersListedOnce = make(chan struct{}), sync.Once{}
		start := time.Now()
		resp, _ := h.call("GET", "/read/x")
		So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(start), ShouldEqual, startupWait)
		time.AfterFunc(3*time.Millisecond, func() {
			h.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: l})
		})
		resp, _ = h.call("GET", "/read/x")
		So(resp.Code, ShouldEqual, http.StatusOK)
	})
}

// Guards against streams with missing, duplicate or mixed events, and against
// truncated streams that look complete.
func TestStreams(t *testing.T) {
	const fullStream = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
	// The first worker that gets a request calls fail after two events.
	failOnce := func(h *harness, fail func(rw http.ResponseWriter)) {
		first := true
		h.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(testSeal, r.Header.Get(testWorker))
			from := 1
			if r.Header.Get(testLastEventID) == "2" {
				from = 3
			}
			if !first {
				events(rw, from, 4)
				return
			}
			first = false
			events(rw, 1, 2)
			fail(rw)
		})
	}
	truncate := func(rw http.ResponseWriter) {
		fmt.Fprint(rw, "id: 3\nda")
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	for _, test := range []struct {
		desc string
		fail func(rw http.ResponseWriter)
	}{
		{"A stream truncated within an event is resumed on another worker", truncate},
		{"A stream with a gap is resumed on another worker", func(rw http.ResponseWriter) { events(rw, 4, 5) }},
		{"A stream with a duplicate event is resumed on another worker", func(rw http.ResponseWriter) { events(rw, 2, 3) }},
		{"A stream that ends within an event is resumed on another worker", func(rw http.ResponseWriter) { fmt.Fprint(rw, "id: 3\n") }},
		{"A stream that pauses for too long is resumed on another worker", func(http.ResponseWriter) { sleep(3 * time.Second) }},
	} {
		inBubble(t, test.desc, engines(3), func(h *harness) {
			failOnce(h, test.fail)
			resp, aborted := h.call("POST", "/chat/x", testPrompt, "1 2 3")
			So(aborted, ShouldBeFalse)
			So(resp.Body.String(), ShouldEqual, fullStream)
			So(h.requestCount(), ShouldEqual, 2)
			So(resp.Header()[testSeal], ShouldHaveLength, 1)
		})
	}
	inBubble(t, "A truncated stream that may not be resumed is aborted, not completed", engines(3), func(h *harness) {
		failOnce(h, truncate)
		resp, aborted := h.call("POST", "/chat/once/x", testPrompt, "1 2 3")
		So(aborted, ShouldBeTrue)
		So(resp.Body.String(), ShouldEqual, fullStream[:len(fullStream)/2])
		So(h.requestCount(), ShouldEqual, 1)
	})
	inBubble(t, "The worker's stream is cancelled when the caller disconnects", engines(1), func(h *harness) {
		ctx, disconnect := context.WithCancel(context.Background())
		ended := make(chan time.Time, 1)
		h.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(testSeal, "s")
			_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body is read
			events(rw, 1, 1)
			<-r.Context().Done()
			ended <- time.Now()
		})
		time.AfterFunc(time.Second, disconnect)
		start := time.Now()
		_, aborted := h.callContext(ctx, "POST", "/chat/once/x")
		So(aborted, ShouldBeTrue)
		So((<-ended).Sub(start), ShouldEqual, time.Second)
	})
}

// Guards against prompts whose cached parts are prefilled again because routers
// place them differently or do not tell workers where to fetch the parts.
func TestPlacement(t *testing.T) {
	prompt := func(i int) string { return fmt.Sprintf("1 %d %d", 100+i, 10_000+i) }
	inBubble(t, "A prompt always goes to the same worker; a request whose prompt moves to another worker names the previous one", engines(6), func(h *harness) {
		place := func(i int) *http.Request {
			before := map[string]int{}
			for id, worker := range h.workers {
				before[id] = len(worker.received())
			}
			resp, _ := h.call("POST", "/open/x", testPrompt, prompt(i))
			So(resp.Code, ShouldEqual, 503) // the worker list has no worker of the upstream desk
			resp, _ = h.call("POST", "/chat/once/x", testPrompt, prompt(i))
			So(resp.Code, ShouldEqual, 200)
			for id, worker := range h.workers {
				if list := worker.received(); len(list) > before[id] {
					return list[len(list)-1]
				}
			}
			return nil
		}
		h.setHandlers(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(testSeal, "s")
			events(rw, 1, 1)
		})
		preferred := map[int]string{}
		for i := range 60 {
			preferred[i] = place(i).Header.Get(testWorker)
			So(place(i).Header.Get(testWorker), ShouldEqual, preferred[i])
		}
		joined := engines(7)
		h.startWorker(joined[6])
		h.setHandlers(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(testSeal, "s")
			events(rw, 1, 1)
		})
		h.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: joined})
		moved := 0
		for i := range 60 {
			r := place(i)
			if r.Header.Get(testWorker) == preferred[i] {
				So(r.Header.Get(testFetchFrom), ShouldBeEmpty)
				continue
			}
			moved++
			So(r.Header.Get(testWorker), ShouldEqual, "engine-6")
			So(r.Header.Get(testFetchFrom), ShouldEqual, preferred[i]+":1")
		}
		So(moved, ShouldBeBetween, 1, 20)
	})
}

// Guards against routers that know no loads because they cannot read the workers'
// reports, without a sign of it.
func TestUnreadableLoads(t *testing.T) {
	inBubble(t, "A load report that cannot be read is counted and logged with its worker; the request is served", engines(2), func(h *harness) {
		var lines strings.Builder
		h.decisions.unreadable = unreadable.New(log.New(&lines), h.scope)
		h.setHandlers(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testLoad, "many")
			w.Header().Set(testSeal, "s")
			events(w, 1, 2)
		})
		for range 50 {
			resp, aborted := h.call("POST", "/chat/x")
			So(aborted, ShouldBeFalse)
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
		counters := h.scope.(tally.TestScope).Snapshot().Counters()
		So(counters["unreadable+kind=load report"].Value(), ShouldEqual, 50)
		So(strings.Count(lines.String(), "input not read"), ShouldEqual, 2)
		So(lines.String(), ShouldContainSubstring, "sender=engine-")
	})
}
