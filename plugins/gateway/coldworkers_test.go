package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// configureCold gives the upstreams a cold time of 3 s.
func configureCold(g *Gateway) {
	set := testSet()
	for _, u := range set.Upstreams {
		u.ColdStart, u.ColdRate = 3*time.Second, 8.5
	}
	g.applyConfig(&core.ConfigRevision{Revision: 2, Set: set})
}

// coldGauge returns the number of cold workers in the metrics.
func coldGauge(g *Gateway) float64 {
	for _, m := range g.scope.(tally.TestScope).Snapshot().Gauges() {
		if m.Name() == componentName+".cold_workers" {
			return m.Value()
		}
	}
	return -1
}

// Guards against requests that are held or sent beyond the permits when all workers are
// cold, and against a cold time that is not seen or has no end.
func TestColdWorkers(t *testing.T) {
	inBubble(t, "If all workers are cold, requests beyond the permits are refused at once", desks(2), func(h *harness) {
		configureCold(h.Gateway)
		list := desks(2)
		for i := range list {
			list[i].ColdLeft, list[i].RegisteredAt = 3*time.Second, time.Now()
		}
		h.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: list})
		So(coldGauge(h.Gateway), ShouldEqual, 2)
		start, refused := time.Now(), 0
		for time.Since(start) < 3*time.Second {
			before := time.Now()
			resp, _ := h.call("POST", "/book/x", testID, strconv.Itoa(refused))
			So(time.Since(before), ShouldBeLessThan, 10*time.Millisecond)
			if resp.Code != http.StatusOK {
				refused++
				So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
				So(resp.Body.String(), ShouldContainSubstring, `"workers are cold"`)
				So(resp.Body.String(), ShouldContainSubstring, string(core.OutcomeNotRun))
				after, err := strconv.ParseFloat(resp.Header().Get("Retry-After"), 64)
				So(err, ShouldBeNil)
				So(after, ShouldBeBetween, 0, 12)
			}
			sleep(10 * time.Millisecond)
		}
		So(counterValue(h.Gateway, "cold_refusals"), ShouldEqual, refused)
		So(refused, ShouldBeGreaterThan, 250)
		sleep(10 * time.Second)
		So(coldGauge(h.Gateway), ShouldEqual, 0)
		for range 100 {
			resp, _ := h.call("POST", "/book/x")
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
	})
	inBubble(t, "Without a cold rate a cold time changes nothing and nothing is shared", desks(2), func(h *harness) {
		list := desks(2)
		list[0].ColdLeft, list[1].ColdLeft = time.Hour, time.Hour
		h.applyWorkers(&routing.WorkerList{Version: 2, At: time.Now(), Workers: list})
		for range 200 {
			resp, _ := h.call("POST", "/book/x")
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
		So(coldGauge(h.Gateway), ShouldEqual, 0)
		So(h.cold.Encode(time.Now(), gossip.MessageBytes, true), ShouldBeNil)
	})
	const routers = 9
	inFleet(t, "A router that a worker tells of its cold time tells the others, and all learn the number of routers", 1, routers, 6, func(f *testFleet) {
		for _, g := range f.gateways {
			configureCold(g)
		}
		cold := ""
		f.serve = func(e *testEngineProcess, w http.ResponseWriter, _ *http.Request) {
			if e.ID == cold {
				w.Header().Set(testCold, "3s")
			}
			w.Header().Set(testSeal, "s")
			events(w, 1, 1)
		}
		sleep(20 * time.Second)
		for _, g := range f.gateways {
			size, due := g.fleet.SharedFleetSize(time.Now())
			So(due, ShouldBeTrue)
			So(size.Routers, ShouldEqual, routers)
		}
		cold = f.engines[0].ID
		for i := 0; coldGauge(f.gateways[0]) < 1; i++ {
			f.callRouter(0, fmt.Sprint("c", i), "/chat/x", fmt.Sprint(i, " 1"))
		}
		sleep(1500 * time.Millisecond)
		for _, g := range f.gateways {
			So(coldGauge(g), ShouldEqual, 1)
		}
		sleep(20 * time.Second)
		for _, g := range f.gateways {
			So(coldGauge(g), ShouldEqual, 0)
		}
	})
	inBubble(t, "A message has the number of routers and the cold workers, and a malformed one changes nothing", desks(2), func(h *harness) {
		configureCold(h.Gateway)
		w, now := h.fleet.Worker("desk-0"), time.Now()
		h.fleet.RecordCold(w, 2010*time.Millisecond, now)
		message := h.cold.Encode(now, gossip.MessageBytes, true)
		size, cold, err := decodeFleetSize(now, message)
		So(err, ShouldBeNil)
		So(size, ShouldResemble, routing.FleetSize{Routers: h.settings.Routers, Age: 0})
		So(cold, ShouldResemble, []routing.Cold{{WorkerHash: gossip.WorkerHash(w.ID), Until: now.Add(2 * time.Second)}})
		for _, b := range [][]byte{nil, {9}, {9, 0xff}, {9, 0, 1}, {9, 0, 0, 0, 0, 7, 0xff}, {0xff, 0xff, 0xff, 0x7f, 0}, append(message, 1)} {
			So(h.cold.Merge(now, b), ShouldEqual, errMalformedFleetSize)
		}
		after, _ := h.fleet.SharedFleetSize(now)
		So(after, ShouldResemble, size)
	})
}
