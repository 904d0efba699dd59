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
// a small fraction of the workers, while other routers reach most of them.
func TestIsolation(t *testing.T) {
	// spread assigns workers in turn to n failure domains: a, the router's own, b, c and so on.
	spread := func(n int) func(int) string {
		return func(i int) string { return string(rune('a' + i%n)) }
	}
	ready := func(w *harness) bool {
		w.readiness.SetReady(componentName, true, "") // the listeners are not opened in tests
		answer := httptest.NewRecorder()
		w.server.readyz(answer, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		return answer.Code == http.StatusOK
	}
	loseWorkers := func(w *harness, ids ...string) {
		for _, id := range ids {
			w.network.setUnresponsive(w.workers[id].Address, true)
		}
		// One failed request detects the partition; probes find the other unreachable
		// workers.
		w.reachability.handleFailure(w.fleet.Worker(ids[0]), &dialError{os.ErrDeadlineExceeded})
		sleep(time.Second)
	}
	inBubble(t, "A router that reaches only its own failure domain is not ready, keeps serving and closes callers' connections", newWorkers(testDesk, 4, spread(4)), func(w *harness) {
		w.settings.DrainDelay = 3 * time.Second
		loseWorkers(w, "desk-1", "desk-2")
		So(ready(w), ShouldBeTrue)
		loseWorkers(w, "desk-3")
		So(ready(w), ShouldBeFalse)
		answer, _ := w.call(http.MethodGet, "/read/x")
		So(answer.Code, ShouldEqual, http.StatusOK)
		So(answer.Header().Get("Connection"), ShouldBeEmpty)
		sleep(3 * time.Second)
		answer, _ = w.call(http.MethodGet, "/read/x")
		So(answer.Code, ShouldEqual, http.StatusOK)
		So(answer.Header().Get("Connection"), ShouldEqual, "close")
		w.network.setUnresponsive(w.workers["desk-2"].Address, false)
		sleep(2 * maxProbeDelay)
		So(ready(w), ShouldBeTrue)
		answer, _ = w.call(http.MethodGet, "/read/x")
		So(answer.Header().Get("Connection"), ShouldBeEmpty)
	})
	inBubble(t, "A router stays isolated for a minute after the registrations behind a partition expire", newWorkers(testDesk, 4, spread(4)), func(w *harness) {
		loseWorkers(w, "desk-1", "desk-2", "desk-3")
		So(ready(w), ShouldBeFalse)
		w.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: newWorkers(testDesk, 2, spread(4))})
		sleep(isolationGracePeriod - time.Second)
		So(ready(w), ShouldBeFalse)
		sleep(2 * time.Second)
		So(ready(w), ShouldBeTrue)
	})
	inBubble(t, "A router with half of the workers stays ready", newWorkers(testDesk, 4, spread(2)), func(w *harness) {
		loseWorkers(w, "desk-1", "desk-3")
		So(ready(w), ShouldBeTrue)
	})
	inBubble(t, "A router is not isolated if all unreachable workers are in its own failure domain", newWorkers(testDesk, 3, func(int) string { return "a" }), func(w *harness) {
		loseWorkers(w, "desk-0", "desk-1", "desk-2")
		So(ready(w), ShouldBeTrue)
	})
}
