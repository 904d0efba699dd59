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

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/routing"
)

// Guards against requests that wait for one worker behind a partition after the
// other although their failure domain is known to be unreachable.
func TestLostDomain(t *testing.T) {
	workers := newWorkers(testDesk, 9, func(i int) string { return string(rune('a' + i%3)) })
	inBubble(t, "After one connect timeout the workers of unreachable domains get no requests", workers, func(w *harness) {
		for _, p := range w.workers {
			if p.FailureDomain != "a" {
				w.network.setUnresponsive(p.Address, true)
			}
		}
		for i := range 60 {
			start := time.Now()
			a, _ := w.call("GET", "/read/x")
			So(a.Code, ShouldEqual, http.StatusOK)
			// At most one connection setup per unreachable domain may be waited for.
			if i >= 8 {
				So(time.Since(start), ShouldBeLessThan, dialTimeout)
			}
			sleep(100 * time.Millisecond)
		}
		for _, p := range w.workers {
			w.network.setUnresponsive(p.Address, false)
		}
		sleep(2 * maxProbeDelay)
		listed, reachable, _ := w.fleet.RemoteReachability()
		So(listed, ShouldBeGreaterThan, 0)
		So(reachable, ShouldEqual, listed)
	})
	inBubble(t, "A request is refused at once if all workers are unreachable", desks(3), func(w *harness) {
		for _, p := range w.workers {
			w.network.setUnresponsive(p.Address, true)
		}
		w.call("GET", "/read/x")
		start := time.Now()
		a, _ := w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(a.Header().Get("Retry-After"), ShouldNotBeEmpty)
		So(time.Since(start), ShouldEqual, 0)
		w.network.setUnresponsive("desk-1:1", false)
		sleep(maxProbeDelay)
		a, _ = w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusOK)
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
		{"An idempotent request that failed is sent to a second worker", "/read/x", failed, 500, 2},
		{"An at-most-once request is not retried after a failure", "/book/x", failed, 500, 1},
		{"An at-most-once request is not retried after a broken connection, whose outcome is unknown", "/book/x", broken, 502, 1},
		{"A response to another request is not forwarded", "/book/x", wrongRequest, 502, 1},
		{"A success without the worker's seal is not forwarded", "/book/x", unsealed, 502, 1},
		{"An idempotent request is retried after a response to another request", "/read/x", wrongRequest, 502, 2},
		{"A request that every worker refuses is tried on three workers and refused as not run", "/book/x", refused, 503, 3},
	} {
		inBubble(t, test.desc, desks(3), func(w *harness) {
			w.setHandlers(test.handle)
			a, aborted := w.call("POST", test.path)
			So(aborted, ShouldBeFalse)
			So(a.Code, ShouldEqual, test.status)
			So(w.requestCount(), ShouldEqual, test.requests)
			So(strings.Contains(a.Body.String(), "answer to"), ShouldBeFalse)
		})
	}
	inBubble(t, "Retries stay within the retry budget", desks(3), func(w *harness) {
		w.setHandlers(failed)
		for range 200 {
			w.call("GET", "/read/x")
		}
		// A fifth of the requests plus this router's share of the slack, 10.
		So(w.requestCount()-200, ShouldBeLessThanOrEqualTo, 200/5+10)
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
	warmUp := func(w *harness, path string) {
		for range 20 {
			w.call("GET", path)
		}
	}
	inBubble(t, "A retryable request goes to another worker", desks(2), func(w *harness) {
		warmUp(w, "/read/x")
		before := w.requestCount()
		w.workers["desk-0"].handle = unresponsive
		for range 4 {
			start := time.Now()
			a, _ := w.call("GET", "/read/x")
			So(a.Code, ShouldEqual, 200)
			So(time.Since(start), ShouldBeLessThanOrEqualTo, 500*time.Millisecond)
		}
		So(w.requestCount()-before, ShouldBeBetween, 4, 9)
	})
	inBubble(t, "A request that is not retryable stays with its worker", desks(1), func(w *harness) {
		warmUp(w, "/book/x")
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			sleep(1500 * time.Millisecond)
			serveSuccess(rw, r)
		})
		a, _ := w.call("POST", "/book/x")
		So(a.Code, ShouldEqual, 200)
	})
	inBubble(t, "The first-byte timeout grows with the response times of the upstream", desks(2), func(w *harness) {
		warmUp(w, "/read/x")
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			sleep(700 * time.Millisecond)
			serveSuccess(rw, r)
		})
		before := w.requestCount()
		for range 40 {
			a, _ := w.call("GET", "/read/x")
			So(a.Code, ShouldEqual, 200)
		}
		So(w.requestCount()-before-40, ShouldBeLessThanOrEqualTo, 4)
	})
}

// Guards against headers and bodies that change on the way, and against callers
// that set headers reserved for routers.
func TestForwarding(t *testing.T) {
	inBubble(t, "Method, path, query, body and ID arrive unchanged", desks(1), func(w *harness) {
		var body string
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			b := make([]byte, 64)
			n, _ := r.Body.Read(b)
			body = string(b[:n])
			rw.Header().Set("X-Extra", "kept")
			serveSuccess(rw, r)
		})
		a, _ := w.call("PUT", "/book/a%2Fb//c?q=%20&", testDeadline, "1500ms", testCaller, "forged", "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
		So(a.Code, ShouldEqual, http.StatusOK)
		So(a.Body.String(), ShouldEqual, "answer")
		So(a.Header().Get("X-Extra"), ShouldEqual, "kept")
		r := w.workers["desk-0"].received()[0]
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
	inBubble(t, "Requests that the configuration does not allow reach no worker", desks(1), func(w *harness) {
		for _, test := range []struct {
			path, key string
			status    int
		}{{"/nowhere/", "secret", 404}, {"/read", "secret", 404}, {"/read/x", "other", 401}, {"/read/x", "", 401}} {
			a, _ := w.call("GET", test.path, testKey, test.key)
			So(a.Code, ShouldEqual, test.status)
		}
		So(w.requestCount(), ShouldEqual, 0)
		a, _ := w.call("GET", "/open/x", testKey, "")
		So(a.Code, ShouldEqual, 200)
	})
	inBubble(t, "A request fails at the route's timeout if there is no response", desks(1), func(w *harness) {
		w.setHandlers(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body is read
			<-r.Context().Done()
		})
		start := time.Now()
		a, _ := w.call("POST", "/book/x")
		So(a.Code, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(start), ShouldEqual, 2*time.Second)
	})
}

// Guards against refusals of requests that arrive while a router starts.
func TestStart(t *testing.T) {
	inBubble(t, "A request waits at most startupWait for the first configuration", desks(1), func(w *harness) {
		table := w.routes.table.Swap(nil)
		w.routes.loaded = make(chan struct{})
		start := time.Now()
		a, _ := w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(start), ShouldEqual, startupWait)
		time.AfterFunc(30*time.Millisecond, func() {
			w.routes.table.Store(table)
			close(w.routes.loaded)
		})
		a, _ = w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusOK)
	})
	inBubble(t, "Without a configuration, Retry-After is short at the start and a fraction of the caller's timeout later", nil, func(w *harness) {
		w.routes.table.Store(nil)
		w.routes.loaded = make(chan struct{})
		retryAfter := func() float64 {
			a, _ := w.call("GET", "/read/x", testDeadline, "12s")
			So(a.Code, ShouldEqual, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			return seconds
		}
		w.started = time.Now()
		So(retryAfter(), ShouldBeBetweenOrEqual, 0.5, 1)
		sleep(time.Second)
		for range 20 {
			So(retryAfter(), ShouldBeBetweenOrEqual, 2, 4)
		}
	})
	inBubble(t, "A request waits at most startupWait for the first worker list", nil, func(w *harness) {
		l := desks(1)
		w.startWorker(l[0])
		w.workersListed, w.workersListedOnce = make(chan struct{}), sync.Once{}
		start := time.Now()
		a, _ := w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(start), ShouldEqual, startupWait)
		time.AfterFunc(3*time.Millisecond, func() {
			w.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: l})
		})
		a, _ = w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusOK)
	})
}

// Guards against streams with missing, duplicate or mixed events, and against
// truncated streams that look complete.
func TestStreams(t *testing.T) {
	const whole = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
	// The first worker that gets a request calls fail after two events.
	failOnce := func(w *harness, fail func(rw http.ResponseWriter)) {
		first := true
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
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
		inBubble(t, test.desc, engines(3), func(w *harness) {
			failOnce(w, test.fail)
			a, aborted := w.call("POST", "/chat/x", testPrompt, "1 2 3")
			So(aborted, ShouldBeFalse)
			So(a.Body.String(), ShouldEqual, whole)
			So(w.requestCount(), ShouldEqual, 2)
			So(a.Header()[testSeal], ShouldHaveLength, 1)
		})
	}
	inBubble(t, "A truncated stream that may not be resumed is aborted, not completed", engines(3), func(w *harness) {
		failOnce(w, truncate)
		a, aborted := w.call("POST", "/chat/once/x", testPrompt, "1 2 3")
		So(aborted, ShouldBeTrue)
		So(a.Body.String(), ShouldEqual, whole[:len(whole)/2])
		So(w.requestCount(), ShouldEqual, 1)
	})
	inBubble(t, "A stream is ended at the worker when the caller disconnects", engines(1), func(w *harness) {
		ctx, disconnect := context.WithCancel(context.Background())
		ended := make(chan time.Time, 1)
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(testSeal, "s")
			_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body is read
			events(rw, 1, 1)
			<-r.Context().Done()
			ended <- time.Now()
		})
		time.AfterFunc(time.Second, disconnect)
		start := time.Now()
		_, aborted := w.callContext(ctx, "POST", "/chat/once/x")
		So(aborted, ShouldBeTrue)
		So((<-ended).Sub(start), ShouldEqual, time.Second)
	})
}

// Guards against prompts whose cached parts are prefilled again because routers
// place them differently or do not tell workers where to fetch the parts.
func TestPlacement(t *testing.T) {
	prompt := func(i int) string { return fmt.Sprintf("1 %d %d", 100+i, 10_000+i) }
	inBubble(t, "A prompt always goes to the same worker, and a moved one names its previous worker", engines(6), func(w *harness) {
		place := func(i int) *http.Request {
			before := map[string]int{}
			for id, p := range w.workers {
				before[id] = len(p.received())
			}
			a, _ := w.call("POST", "/open/x", testPrompt, prompt(i))
			So(a.Code, ShouldEqual, 503) // the worker list has no worker of the desk
			a, _ = w.call("POST", "/chat/once/x", testPrompt, prompt(i))
			So(a.Code, ShouldEqual, 200)
			for id, p := range w.workers {
				if list := p.received(); len(list) > before[id] {
					return list[len(list)-1]
				}
			}
			return nil
		}
		w.setHandlers(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(testSeal, "s")
			events(rw, 1, 1)
		})
		preferred := map[int]string{}
		for i := range 60 {
			preferred[i] = place(i).Header.Get(testWorker)
			So(place(i).Header.Get(testWorker), ShouldEqual, preferred[i])
		}
		joined := engines(7)
		w.startWorker(joined[6])
		w.setHandlers(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(testSeal, "s")
			events(rw, 1, 1)
		})
		w.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: joined})
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
