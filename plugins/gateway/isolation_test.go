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

// Guards against callers that stay connected to a router on the minority side of
// a partition while other routers reach most workers.
func TestIsolation(t *testing.T) {
	// spread distributes workers over n failure domains: a, which is the router's
	// own, b, c and so on.
	spread := func(n int) func(int) string {
		return func(i int) string { return string(rune('a' + i%n)) }
	}
	ready := func(h *harness) bool {
		h.readiness.SetReady(componentName, true, "") // the listeners are not opened in tests
		resp := httptest.NewRecorder()
		h.server.readyz(resp, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		return resp.Code == http.StatusOK
	}
	loseWorkers := func(h *harness, ids ...string) {
		for _, id := range ids {
			h.network.setUnresponsive(h.workers[id].Address, true)
		}
		// One failed request detects the partition; probes find the other unreachable
		// workers.
		h.reachability.handleFailure(h.fleet.Worker(ids[0]), &dialError{os.ErrDeadlineExceeded})
		sleep(time.Second)
	}
	inBubble(t, "A router that reaches only its own failure domain is not ready, keeps serving and closes callers' connections", newWorkers(testDesk, 4, spread(4)), func(h *harness) {
		h.settings.DrainDelay = 3 * time.Second
		loseWorkers(h, "desk-1", "desk-2")
		So(ready(h), ShouldBeTrue)
		loseWorkers(h, "desk-3")
		So(ready(h), ShouldBeFalse)
		resp, _ := h.call(http.MethodGet, "/read/x")
		So(resp.Code, ShouldEqual, http.StatusOK)
		So(resp.Header().Get("Connection"), ShouldBeEmpty)
		sleep(3 * time.Second)
		resp, _ = h.call(http.MethodGet, "/read/x")
		So(resp.Code, ShouldEqual, http.StatusOK)
		So(resp.Header().Get("Connection"), ShouldEqual, "close")
		h.network.setUnresponsive(h.workers["desk-2"].Address, false)
		sleep(2 * maxProbeDelay)
		So(ready(h), ShouldBeTrue)
		resp, _ = h.call(http.MethodGet, "/read/x")
		So(resp.Header().Get("Connection"), ShouldBeEmpty)
	})
	inBubble(t, "A router stays isolated for a minute after the registrations of workers beyond a partition expire", newWorkers(testDesk, 4, spread(4)), func(h *harness) {
		loseWorkers(h, "desk-1", "desk-2", "desk-3")
		So(ready(h), ShouldBeFalse)
		h.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: newWorkers(testDesk, 2, spread(4))})
		sleep(isolationGracePeriod - time.Second)
		So(ready(h), ShouldBeFalse)
		sleep(2 * time.Second)
		So(ready(h), ShouldBeTrue)
	})
	inBubble(t, "A router with half of the workers stays ready", newWorkers(testDesk, 4, spread(2)), func(h *harness) {
		loseWorkers(h, "desk-1", "desk-3")
		So(ready(h), ShouldBeTrue)
	})
	inBubble(t, "A router is not isolated if all unreachable workers are in its own failure domain", newWorkers(testDesk, 3, func(int) string { return "a" }), func(h *harness) {
		loseWorkers(h, "desk-0", "desk-1", "desk-2")
		So(ready(h), ShouldBeTrue)
	})
}
