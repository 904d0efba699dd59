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

// Guards against requests that wait for workers behind a partition, one after
// the other, although the loss of their domain is known.
func TestLostDomain(t *testing.T) {
	workers := listed(testDesk, 9, func(i int) string { return string(rune('a' + i%3)) })
	inBubble(t, "After one loss the workers of the cut domains get no requests", workers, func(w *world) {
		for _, p := range w.workers {
			if p.FailureDomain != "a" {
				w.network.setSilent(p.Address, true)
			}
		}
		for i := range 60 {
			start := time.Now()
			a, _ := w.call("GET", "/read/x")
			So(a.Code, ShouldEqual, http.StatusOK)
			// One setup of each cut domain may be waited for.
			if i >= 8 {
				So(time.Since(start), ShouldBeLessThan, setupTime)
			}
			pass(100 * time.Millisecond)
		}
		for _, p := range w.workers {
			w.network.setSilent(p.Address, false)
		}
		pass(2 * reachLongest)
		listed, reached, _ := w.fleet.RemoteReachability()
		So(listed, ShouldBeGreaterThan, 0)
		So(reached, ShouldEqual, listed)
	})
	inBubble(t, "A request without a worker that can be reached is refused at once", desks(3), func(w *world) {
		for _, p := range w.workers {
			w.network.setSilent(p.Address, true)
		}
		w.call("GET", "/read/x")
		start := time.Now()
		a, _ := w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(a.Header().Get("Retry-After"), ShouldNotBeEmpty)
		So(time.Since(start), ShouldEqual, 0)
		w.network.setSilent("desk-1:1", false)
		pass(reachLongest)
		a, _ = w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusOK)
	})
}

// Guards against repeats that the route does not allow, and against refusals
// that promise more than is known.
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
	foreign := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testID, "another")
		serveOK(w, nil)
	}
	unsealed := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "answer") }
	for _, test := range []struct {
		desc     string
		path     string
		handle   http.HandlerFunc
		status   int
		arrivals int
	}{
		{"An idempotent request that failed is sent to a second worker", "/read/x", failed, 500, 2},
		{"A request that runs at most once is not repeated after a failure", "/book/x", failed, 500, 1},
		{"nor after a broken connection, whose outcome is unknown", "/book/x", broken, 502, 1},
		{"An answer to another request is not passed on", "/book/x", foreign, 502, 1},
		{"nor a success without the worker's seal", "/book/x", unsealed, 502, 1},
		{"An idempotent request is repeated after them", "/read/x", foreign, 502, 2},
		{"A request that workers refused goes to others, and is refused as not run", "/book/x", refused, 503, 3},
	} {
		inBubble(t, test.desc, desks(3), func(w *world) {
			w.setHandlers(test.handle)
			a, cut := w.call("POST", test.path)
			So(cut, ShouldBeFalse)
			So(a.Code, ShouldEqual, test.status)
			So(w.arrivals(), ShouldEqual, test.arrivals)
			So(strings.Contains(a.Body.String(), "answer to"), ShouldBeFalse)
		})
	}
	inBubble(t, "Repeats stay within the budget", desks(3), func(w *world) {
		w.setHandlers(failed)
		for range 200 {
			w.call("GET", "/read/x")
		}
		// A fifth of the requests and this router's share of the slack, 10.
		So(w.arrivals()-200, ShouldBeLessThanOrEqualTo, 200/5+10)
	})
}

// Guards against requests that wait for a worker which took them and is silent
// until their deadline, and against repeats of all requests when an upstream
// is slow.
func TestStall(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the end of the connection shows after it
		<-r.Context().Done()
	}
	warm := func(w *world, path string) {
		for range 20 {
			w.call("GET", path)
		}
	}
	inBubble(t, "A repeatable request goes to another worker", desks(2), func(w *world) {
		warm(w, "/read/x")
		before := w.arrivals()
		w.workers["desk-0"].handle = silent
		for range 4 {
			start := time.Now()
			a, _ := w.call("GET", "/read/x")
			So(a.Code, ShouldEqual, 200)
			So(time.Since(start), ShouldBeLessThanOrEqualTo, 500*time.Millisecond)
		}
		So(w.arrivals()-before, ShouldBeBetween, 4, 9)
	})
	inBubble(t, "One that may not be repeated is left to its worker", desks(1), func(w *world) {
		warm(w, "/book/x")
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			pass(1500 * time.Millisecond)
			serveOK(rw, r)
		})
		a, _ := w.call("POST", "/book/x")
		So(a.Code, ShouldEqual, 200)
	})
	inBubble(t, "An upstream that turns slow is waited for longer", desks(2), func(w *world) {
		warm(w, "/read/x")
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			pass(700 * time.Millisecond)
			serveOK(rw, r)
		})
		before := w.arrivals()
		for range 40 {
			a, _ := w.call("GET", "/read/x")
			So(a.Code, ShouldEqual, 200)
		}
		So(w.arrivals()-before-40, ShouldBeLessThanOrEqualTo, 4)
	})
}

// Guards against headers and bodies that change on the way, and against what
// a caller may not set itself.
func TestForwarding(t *testing.T) {
	inBubble(t, "Method, path, query, body and ID arrive unchanged", desks(1), func(w *world) {
		var body string
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			b := make([]byte, 64)
			n, _ := r.Body.Read(b)
			body = string(b[:n])
			rw.Header().Set("X-Extra", "kept")
			serveOK(rw, r)
		})
		a, _ := w.call("PUT", "/book/a%2Fb//c?q=%20&", testDeadline, "1500ms", testCaller, "forged", "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
		So(a.Code, ShouldEqual, http.StatusOK)
		So(a.Body.String(), ShouldEqual, "answer")
		So(a.Header().Get("X-Extra"), ShouldEqual, "kept")
		r := w.workers["desk-0"].arrivals()[0]
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
		So(r.Header.Get(testLeft), ShouldEqual, "1.5s")
	})
	inBubble(t, "Requests that the configuration does not allow reach no worker", desks(1), func(w *world) {
		for _, test := range []struct {
			path, key string
			status    int
		}{{"/nowhere/", "secret", 404}, {"/read", "secret", 404}, {"/read/x", "other", 401}, {"/read/x", "", 401}} {
			a, _ := w.call("GET", test.path, testKey, test.key)
			So(a.Code, ShouldEqual, test.status)
		}
		So(w.arrivals(), ShouldEqual, 0)
		a, _ := w.call("GET", "/open/x", testKey, "")
		So(a.Code, ShouldEqual, 200)
	})
	inBubble(t, "A request that is not answered in the route's time is failed then", desks(1), func(w *world) {
		w.setHandlers(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the end of the connection shows after it
			<-r.Context().Done()
		})
		start := time.Now()
		a, _ := w.call("POST", "/book/x")
		So(a.Code, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(start), ShouldEqual, 2*time.Second)
	})
}

// Guards against refusals of requests that come while a router starts.
func TestStart(t *testing.T) {
	inBubble(t, "A request waits a little for the first configuration", desks(1), func(w *world) {
		table := w.routes.table.Swap(nil)
		w.routes.first = make(chan struct{})
		start := time.Now()
		a, _ := w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(start), ShouldEqual, startHold)
		time.AfterFunc(30*time.Millisecond, func() {
			w.routes.table.Store(table)
			close(w.routes.first)
		})
		a, _ = w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusOK)
	})
	inBubble(t, "A caller is told to come back within its time, not before a store that is away can be back", nil, func(w *world) {
		w.routes.table.Store(nil)
		w.routes.first = make(chan struct{})
		after := func() float64 {
			a, _ := w.call("GET", "/read/x", testDeadline, "12s")
			So(a.Code, ShouldEqual, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(a.Header().Get("Retry-After"), 64)
			So(err, ShouldBeNil)
			return seconds
		}
		w.started = time.Now()
		So(after(), ShouldBeBetweenOrEqual, 0.5, 1)
		pass(time.Second)
		for range 20 {
			So(after(), ShouldBeBetweenOrEqual, 2, 4)
		}
	})
	inBubble(t, "A request waits a little for the first list of workers", nil, func(w *world) {
		l := desks(1)
		w.startWorker(l[0])
		w.listed, w.listOnce = make(chan struct{}), sync.Once{}
		start := time.Now()
		a, _ := w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(time.Since(start), ShouldEqual, startHold)
		time.AfterFunc(3*time.Millisecond, func() {
			w.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: l})
		})
		a, _ = w.call("GET", "/read/x")
		So(a.Code, ShouldEqual, http.StatusOK)
	})
}

// Guards against streams with missing, doubled or mixed events, and against
// broken ones that look complete.
func TestStreams(t *testing.T) {
	const whole = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: e4\n\n"
	// The first worker that is asked fails as told after two events.
	failing := func(w *world, fail func(rw http.ResponseWriter)) {
		first := true
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(testSeal, r.Header.Get(testWorker))
			from := 1
			if r.Header.Get(testLast) == "2" {
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
	cutMidway := func(rw http.ResponseWriter) {
		fmt.Fprint(rw, "id: 3\nda")
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	for _, test := range []struct {
		desc string
		fail func(rw http.ResponseWriter)
	}{
		{"A stream cut within an event goes on at another worker", cutMidway},
		{"so does one with a gap", func(rw http.ResponseWriter) { events(rw, 4, 5) }},
		{"and one with a doubled event", func(rw http.ResponseWriter) { events(rw, 2, 3) }},
		{"and one that ends within an event", func(rw http.ResponseWriter) { fmt.Fprint(rw, "id: 3\n") }},
		{"and one that is silent for too long", func(http.ResponseWriter) { pass(3 * time.Second) }},
	} {
		inBubble(t, test.desc, engines(3), func(w *world) {
			failing(w, test.fail)
			a, cut := w.call("POST", "/chat/x", testPrompt, "1 2 3")
			So(cut, ShouldBeFalse)
			So(a.Body.String(), ShouldEqual, whole)
			So(w.arrivals(), ShouldEqual, 2)
			So(a.Header()[testSeal], ShouldHaveLength, 1)
		})
	}
	inBubble(t, "A stream that may not be resumed is cut, not ended", engines(3), func(w *world) {
		failing(w, cutMidway)
		a, cut := w.call("POST", "/chat/once/x", testPrompt, "1 2 3")
		So(cut, ShouldBeTrue)
		So(a.Body.String(), ShouldEqual, whole[:len(whole)/2])
		So(w.arrivals(), ShouldEqual, 1)
	})
	inBubble(t, "A stream whose caller leaves is ended at the worker", engines(1), func(w *world) {
		ctx, leave := context.WithCancel(context.Background())
		ended := make(chan time.Time, 1)
		w.setHandlers(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set(testSeal, "s")
			_, _ = io.Copy(io.Discard, r.Body) // the end of the connection shows after it
			events(rw, 1, 1)
			<-r.Context().Done()
			ended <- time.Now()
		})
		time.AfterFunc(time.Second, leave)
		start := time.Now()
		_, cut := w.callContext(ctx, "POST", "/chat/once/x")
		So(cut, ShouldBeTrue)
		So((<-ended).Sub(start), ShouldEqual, time.Second)
	})
}

// Guards against prompts whose shared parts are read again because routers
// place them differently or do not say where the parts are.
func TestPlacement(t *testing.T) {
	prompt := func(i int) string { return fmt.Sprintf("1 %d %d", 100+i, 10_000+i) }
	inBubble(t, "A prompt goes to one worker, and to where it was after a change", engines(6), func(w *world) {
		place := func(i int) *http.Request {
			before := map[string]int{}
			for id, p := range w.workers {
				before[id] = len(p.arrivals())
			}
			a, _ := w.call("POST", "/open/x", testPrompt, prompt(i))
			So(a.Code, ShouldEqual, 503) // no worker of the desk is listed
			a, _ = w.call("POST", "/chat/once/x", testPrompt, prompt(i))
			So(a.Code, ShouldEqual, 200)
			for id, p := range w.workers {
				if list := p.arrivals(); len(list) > before[id] {
					return list[len(list)-1]
				}
			}
			return nil
		}
		w.setHandlers(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(testSeal, "s")
			events(rw, 1, 1)
		})
		homes := map[int]string{}
		for i := range 60 {
			homes[i] = place(i).Header.Get(testWorker)
			So(place(i).Header.Get(testWorker), ShouldEqual, homes[i])
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
			if r.Header.Get(testWorker) == homes[i] {
				So(r.Header.Get(testFetch), ShouldBeEmpty)
				continue
			}
			moved++
			So(r.Header.Get(testWorker), ShouldEqual, "engine-6")
			So(r.Header.Get(testFetch), ShouldEqual, homes[i]+":1")
		}
		So(moved, ShouldBeBetween, 1, 20)
	})
}
