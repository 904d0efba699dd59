package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Guards against requests that a full upstream's workers have to reject, against a
// refusal that lasts longer than the overload, and against one that is not "not run".
func TestFullUpstream(t *testing.T) {
	inBubble(t, "While workers reject every second request", desks(3), func(h *harness) {
		var n atomic.Int64
		var rejecting atomic.Bool
		rejecting.Store(true)
		h.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			sleep(100 * time.Millisecond)
			if n.Add(1)%2 == 0 && rejecting.Load() {
				w.Header().Set(testNotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			serveSuccess(w, r)
		})
		refused := 0
		ended := make(chan *http.Response)
		flood := func(requests int) {
			refused = 0
			for i := range requests {
				go func() {
					resp, _ := h.call("POST", "/book/x", testID, "id-"+strconv.Itoa(i))
					ended <- resp.Result()
				}()
				sleep(2 * time.Millisecond)
			}
			for range requests {
				resp := <-ended
				if resp.StatusCode == http.StatusServiceUnavailable {
					refused++
					seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
					So(err, ShouldBeNil)
					So(seconds, ShouldBeBetween, 0, 8)
				}
			}
		}
		flood(1000)
		So(refused, ShouldBeGreaterThan, 0)
		So(counterValue(h.Gateway, "admission_decisions"), ShouldBeGreaterThan, 1000)
		So(changeCount(h.Gateway, "admission control on"), ShouldEqual, 1)
		So(h.requestCount(), ShouldBeLessThan, 1000+refused) // rejected ones are not tried at the others
		rejecting.Store(false)
		sleep(3 * time.Second)
		flood(300)
		So(refused, ShouldEqual, 0)
		So(changeCount(h.Gateway, "admission control off"), ShouldEqual, 1)
	})
}

// Guards against routers that each have to be rejected before they know of a lack of
// room, and against one that does not forget it.
func TestRoomIsShared(t *testing.T) {
	inFleet(t, "A router without requests learns that the engines are full", 1, 10, 2, func(f *testFleet) {
		var n atomic.Int64
		f.serve = func(e *testEngineProcess, w http.ResponseWriter, _ *http.Request) {
			if n.Add(1)%2 == 0 {
				w.Header().Set(testNotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			sleep(2 * time.Second)
			w.Header().Set(testSeal, "s")
			events(w, 1, 1)
		}
		sleep(3 * time.Second) // the routers know each other
		const requests = 600
		ended := make(chan bool)
		for i := range requests {
			go func() {
				f.callRouter(1+i%9, "id-"+strconv.Itoa(i), "/chat/x", "1 "+strconv.Itoa(1000+i)+" 2")
				ended <- true
			}()
			sleep(2 * time.Millisecond)
		}
		So(changeCount(f.gateways[0], "admission control on"), ShouldEqual, 1)
		for range requests {
			<-ended
		}
		sleep(4 * time.Second)
		for _, g := range f.gateways {
			So(changeCount(g, "admission control off"), ShouldEqual, changeCount(g, "admission control on"))
		}
	})
}

// changeCount returns how often a gateway logged a change.
func changeCount(g *Gateway, what string) int64 {
	sum := int64(0)
	for _, c := range g.scope.(tally.TestScope).Snapshot().Counters() {
		if c.Tags()["what"] == what {
			sum += c.Value()
		}
	}
	return sum
}

// Guards against rejections for other reasons that count as lack of room: routing takes
// pauses, limits and departures into account itself.
func TestRejectionsForLackOfRoom(t *testing.T) {
	limit := 3.0
	Convey("Only a plain 503 that was not run is a lack of room", t, func() {
		So(isFull(503, core.ResponseHeader{NotRun: true}), ShouldBeTrue)
		So(isFull(503, core.ResponseHeader{}), ShouldBeFalse)
		So(isFull(421, core.ResponseHeader{NotRun: true}), ShouldBeFalse)
		So(isFull(429, core.ResponseHeader{NotRun: true}), ShouldBeFalse)
		So(isFull(503, core.ResponseHeader{NotRun: true, Pause: time.Second}), ShouldBeFalse)
		So(isFull(503, core.ResponseHeader{NotRun: true, Leaving: true}), ShouldBeFalse)
		So(isFull(503, core.ResponseHeader{NotRun: true, RateLimit: &limit}), ShouldBeFalse)
	})
}
