package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/routing"
)

// inDomainB returns one worker of the router's domain and n of domain b.
func inDomainB(upstream string, n int) []routing.WorkerInfo {
	return newWorkers(upstream, n+1, func(i int) string { return string("ab"[min(i, 1)]) })
}

// receivedIn returns the number of requests that the workers of a domain received.
func (h *harness) receivedIn(domain string) int {
	n := 0
	for _, w := range h.workers {
		if w.FailureDomain == domain {
			n += len(w.received())
		}
	}
	return n
}

// chooseOnlyB lets the first request go to domain b: the worker of domain a seems loaded.
func (h *harness) chooseOnlyB(id string) {
	h.fleet.RecordLoad(h.fleet.Worker(id), 50, 0, time.Now())
}

// Guards against a request to an evacuated worker by a path that does not look at the
// evacuation: a first attempt, a retry, the resumption of a stream, or a choice of just
// before.
func TestNothingIsSentToEvacuatedWorkers(t *testing.T) {
	inBubble(t, "First attempts go to the other domains", inDomainB(testDesk, 5), func(h *harness) {
		h.applyEvacuations([]string{"b"})
		for range 30 {
			resp, _ := h.call("POST", "/book/x")
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
		So(h.receivedIn("b"), ShouldEqual, 0)
		h.applyEvacuations(nil)
		sleep(5 * time.Second)
		h.chooseOnlyB("desk-0")
		h.call("POST", "/book/x")
		So(h.receivedIn("b"), ShouldBeGreaterThan, 0)
	})
	inBubble(t, "A retry goes to another domain, and a request that runs ends there", inDomainB(testDesk, 5), func(h *harness) {
		h.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			sleep(100 * time.Millisecond)
			serveSuccess(w, r)
		})
		h.chooseOnlyB("desk-0")
		bodies := make(chan string, 1)
		go func() {
			resp, _ := h.call("GET", "/read/x")
			bodies <- resp.Body.String()
		}()
		sleep(50 * time.Millisecond)
		h.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get(testWorker) == "desk-0" {
				serveSuccess(w, r)
				return
			}
			sleep(100 * time.Millisecond)
			w.WriteHeader(http.StatusInternalServerError)
		})
		codes := make(chan int, 1)
		go func() {
			resp, _ := h.call("GET", "/read/x")
			codes <- resp.Code
		}()
		sleep(10 * time.Millisecond)
		So(h.receivedIn("b"), ShouldEqual, 2)
		h.applyEvacuations([]string{"b"})
		So(<-bodies, ShouldEqual, "answer")
		So(<-codes, ShouldEqual, http.StatusOK)
		So(h.receivedIn("a"), ShouldEqual, 1)
		So(h.receivedIn("b"), ShouldEqual, 2)
	})
	inBubble(t, "A stream is resumed in another domain, and others end where they run", inDomainB(testEngine, 5), func(h *harness) {
		stream := func(breaks bool) http.HandlerFunc {
			return func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(testSeal, "s")
				if r.Header.Get(testLastEventID) == "1" {
					events(w, 2, 2)
					return
				}
				events(w, 1, 1)
				sleep(500 * time.Millisecond)
				if breaks {
					panic(http.ErrAbortHandler)
				}
				events(w, 2, 2)
			}
		}
		const whole = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
		bodies := make(chan string, 2)
		for _, breaks := range []bool{true, false} {
			h.setHandlers(stream(breaks))
			h.chooseOnlyB("engine-0")
			go func() {
				resp, _ := h.call("POST", "/chat/x")
				bodies <- resp.Body.String()
			}()
			sleep(50 * time.Millisecond)
		}
		So(h.receivedIn("b"), ShouldEqual, 2)
		h.applyEvacuations([]string{"b"})
		So(<-bodies, ShouldEqual, whole)
		So(<-bodies, ShouldEqual, whole)
		So(h.receivedIn("a"), ShouldEqual, 1)
		So(h.receivedIn("b"), ShouldEqual, 2)
	})
	inBubble(t, "A request that waits for its connection is withheld, and charges go to another domain", inDomainB(testDesk, 5), func(h *harness) {
		h.chooseOnlyB("desk-0")
		dial := h.conns.dialOnce
		h.conns.dialOnce = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			h.applyEvacuations([]string{"b"})
			return conn, err
		}
		resp, _ := h.call("POST", "/book/x")
		So(resp.Code, ShouldEqual, http.StatusOK)
		So(h.receivedIn("b"), ShouldEqual, 0)
		So(h.receivedIn("a"), ShouldEqual, 1)
		h.applyEvacuations(nil)
		for _, w := range h.workers { // three failures in a row would eject it
			h.fleet.RecordFailure(h.fleet.Worker(w.ID), time.Now())
			So(h.fleet.RecordFailure(h.fleet.Worker(w.ID), time.Now()), ShouldBeFalse)
		}
	})
}

// Guards against requests that wait or get another reason than the evacuation if no
// worker may get them, and against a refusal that has run.
func TestAllDomainsEvacuated(t *testing.T) {
	inBubble(t, "Requests are refused at once with the time after which to return", inDomainB(testDesk, 2), func(h *harness) {
		h.applyEvacuations([]string{"a", "b"})
		for _, path := range []string{"/read/x", "/book/x"} {
			start := time.Now()
			resp, _ := h.call("POST", path)
			So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(resp.Header().Get("Retry-After"), ShouldNotBeEmpty)
			So(resp.Body.String(), ShouldContainSubstring, reasonEvacuated)
			So(resp.Body.String(), ShouldContainSubstring, "not_run")
			So(time.Since(start), ShouldEqual, 0)
		}
		So(h.requestCount(), ShouldEqual, 0)
		So(counterValue(h.Gateway, "evacuation_refusals"), ShouldEqual, 2)
	})
	inBubble(t, "An evacuation that comes while the only worker's connection opens is a refusal too", inDomainB(testDesk, 0), func(h *harness) {
		dial := h.conns.dialOnce
		h.conns.dialOnce = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			h.applyEvacuations([]string{"a"})
			return conn, err
		}
		resp, _ := h.call("POST", "/book/x")
		So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(resp.Body.String(), ShouldContainSubstring, reasonEvacuated)
		So(h.requestCount(), ShouldEqual, 0)
	})
}

// Guards against a router that takes an evacuation for a partition and reports not ready.
func TestIsolationAndEvacuation(t *testing.T) {
	ready := func(h *harness) bool {
		h.readiness.SetReady(componentName, true, "") // the listeners are not opened in tests
		resp := httptest.NewRecorder()
		h.server.readyz(resp, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		return resp.Code == http.StatusOK
	}
	threeDomains := newWorkers(testDesk, 6, func(i int) string { return string("abc"[i%3]) })
	lose := func(h *harness, domain string) {
		var first *routing.Worker
		for _, w := range threeDomains {
			if w.FailureDomain == domain {
				h.network.setUnresponsive(w.Address, true)
				first = h.fleet.Worker(w.ID)
			}
		}
		h.reachability.handleFailure(first, &dialError{os.ErrDeadlineExceeded})
		sleep(time.Second)
	}
	inBubble(t, "A router whose other domains are evacuated and switched off stays ready", threeDomains, func(h *harness) {
		h.applyEvacuations([]string{"b", "c"})
		lose(h, "b")
		lose(h, "c")
		So(ready(h), ShouldBeTrue)
	})
	inBubble(t, "A router that the unreachable domains had isolated is ready once they are evacuated", threeDomains, func(h *harness) {
		lose(h, "b")
		lose(h, "c")
		So(ready(h), ShouldBeFalse)
		h.applyEvacuations([]string{"b", "c"})
		So(ready(h), ShouldBeTrue)
	})
	inBubble(t, "A router of an evacuated domain that reaches no other one is isolated", threeDomains, func(h *harness) {
		h.applyEvacuations([]string{"a"})
		So(ready(h), ShouldBeTrue)
		lose(h, "b")
		lose(h, "c")
		So(ready(h), ShouldBeFalse)
	})
}
