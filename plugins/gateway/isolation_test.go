package gateway

import (
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/routing"
)

// Guards against callers that stay with a router which a partition leaves with
// a small part of the workers, while others reach most of them.
func TestIsolation(t *testing.T) {
	// One worker in the router's domain, the others in b, c, d.
	spread := func(n int) func(int) string {
		return func(i int) string { return string(rune('a' + i%n)) }
	}
	ready := func(w *world) bool {
		w.readiness.SetReady(part, true, "") // the listeners of a test are not opened
		answer := httptest.NewRecorder()
		w.server.readyz(answer, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		return answer.Code == http.StatusOK
	}
	lose := func(w *world, ids ...string) {
		for _, id := range ids {
			w.network.setSilent(w.workers[id].Address, true)
		}
		// One request meets the partition; the rest is found by checks.
		w.reach.failed(w.fleet.Worker(ids[0]), &dialError{os.ErrDeadlineExceeded})
		pass(time.Second)
	}
	inBubble(t, "A router that reaches only its own failure domain is not ready, serves on and sends callers away", listed(testDesk, 4, spread(4)), func(w *world) {
		w.settings.DrainDelay = 3 * time.Second
		lose(w, "desk-1", "desk-2")
		So(ready(w), ShouldBeTrue)
		lose(w, "desk-3")
		So(ready(w), ShouldBeFalse)
		answer, _ := w.call(http.MethodGet, "/read/x")
		So(answer.Code, ShouldEqual, http.StatusOK)
		So(answer.Header().Get("Connection"), ShouldBeEmpty)
		pass(3 * time.Second)
		answer, _ = w.call(http.MethodGet, "/read/x")
		So(answer.Code, ShouldEqual, http.StatusOK)
		So(answer.Header().Get("Connection"), ShouldEqual, "close")
		w.network.setSilent(w.workers["desk-2"].Address, false)
		pass(2 * reachLongest)
		So(ready(w), ShouldBeTrue)
		answer, _ = w.call(http.MethodGet, "/read/x")
		So(answer.Header().Get("Connection"), ShouldBeEmpty)
	})
	inBubble(t, "A router stays isolated while the registrations behind a partition lapse, for a minute", listed(testDesk, 4, spread(4)), func(w *world) {
		lose(w, "desk-1", "desk-2", "desk-3")
		So(ready(w), ShouldBeFalse)
		w.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: listed(testDesk, 2, spread(4))})
		pass(isolationMemory - time.Second)
		So(ready(w), ShouldBeFalse)
		pass(2 * time.Second)
		So(ready(w), ShouldBeTrue)
	})
	inBubble(t, "A router with half of the workers stays ready", listed(testDesk, 4, spread(2)), func(w *world) {
		lose(w, "desk-1", "desk-3")
		So(ready(w), ShouldBeTrue)
	})
	inBubble(t, "Workers that are all lost are no partition that leaves others better off", listed(testDesk, 3, func(int) string { return "a" }), func(w *world) {
		lose(w, "desk-0", "desk-1", "desk-2")
		So(ready(w), ShouldBeTrue)
	})
}
