package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/gossip"
)

// Guards against routers that each have to be refused by a paused worker, and against a
// pause of one router that keeps all others from a worker for long.
func TestPausesAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("In a fleet with a worker that one router was asked to spare", t, func() {
			const routers = 20
			f := newTestFleet(1, routers, 4)
			defer f.close()
			pause, refusals, served := "3s", 0, 0
			f.serve = func(e *testEngineProcess, w http.ResponseWriter, _ *http.Request) {
				if e.Address == "engine-0:1" {
					if pause != "" {
						refusals++
						refuseFor(pause)(w, nil)
						return
					}
					served++
				}
				w.Header().Set(testSeal, "s")
				events(w, 1, 1)
			}
			sleep(3 * time.Second) // the routers know each other
			call := func(router, i int) {
				code := f.callRouter(router, "id-"+strconv.Itoa(i), "/chat/x", "1 "+strconv.Itoa(1000+i)+" 2").Code
				So(code, ShouldEqual, http.StatusOK)
			}
			begin := func() {
				for i := 0; refusals == 0 && i < 1000; i++ {
					call(0, i)
				}
				sleep(time.Second)
			}
			Convey("the others send nothing to it until the pause ends", func() {
				begin()
				for i := range 200 {
					call(i%routers, i)
				}
				So(refusals, ShouldEqual, 1)
				pause = ""
				sleep(3 * time.Second)
				for i := range 400 {
					call(i%routers, i)
				}
				So(served, ShouldBeGreaterThan, 0)
			})
			Convey("a pause of an hour keeps them from it for ten seconds only", func() {
				pause = "1h"
				begin()
				for i := range 100 {
					call(1+i%(routers-1), i)
				}
				So(refusals, ShouldEqual, 1)
				sleep(12 * time.Second)
				for i := range 400 {
					call(1+i%(routers-1), i)
				}
				So(refusals, ShouldBeGreaterThan, 1)
			})
		})
	})
	inBubble(t, "A message has the pauses with the rest of their time, and a malformed one is refused", desks(2), func(h *harness) {
		w := h.fleet.Worker("desk-0")
		h.fleet.RecordPause(w, 3010*time.Millisecond, time.Now())
		list, err := decodePauses(time.Now(), h.pauses.Encode(time.Now(), gossip.MessageBytes, true))
		So(err, ShouldBeNil)
		So(list, ShouldHaveLength, 1)
		So(list[0].WorkerHash, ShouldEqual, gossip.WorkerHash(w.ID))
		So(list[0].Until, ShouldEqual, time.Now().Add(3*time.Second))
		So(list[0].Hops, ShouldBeGreaterThan, 1)
		So(h.pauses.Encode(time.Now(), pauseBytes-1, true), ShouldBeEmpty)
		for _, b := range [][]byte{{0}, {0, 0, 0, 7, 1}, {0, 0, 0, 7, 1, 0xff}, {0, 0, 0, 7, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1}} {
			_, err := decodePauses(time.Now(), b)
			So(err, ShouldEqual, errMalformedPauses)
		}
	})
}

// Guards against statements of workers that a reload of the settings forgets, or that a
// planned stop does not keep to.
func TestStatementsDuringReloadAndStop(t *testing.T) {
	inBubble(t, "A reload keeps pauses and leaving workers; a shorter longest pause applies to the next one", desks(3), func(h *harness) {
		paused, leaving := h.workers["desk-0"], h.workers["desk-1"]
		paused.handle = refuseFor("20s")
		leaving.handle = func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testLeaving, "1")
			serveSuccess(w, r)
		}
		for range 20 {
			h.call("POST", "/book/x")
			sleep(20 * time.Millisecond)
		}
		s := *h.settings
		s.MaxPause, s.LeavingGrace = time.Second, 3*time.Second
		h.reload(&s)
		for range 100 {
			resp, _ := h.call("POST", "/book/x")
			So(resp.Code, ShouldEqual, http.StatusOK)
			sleep(100 * time.Millisecond)
		}
		So(len(paused.received()), ShouldEqual, 1)
		So(len(leaving.received()), ShouldEqual, 1)
		sleep(10 * time.Second)
		before := len(paused.received())
		for range 30 {
			h.call("POST", "/book/x")
			sleep(100 * time.Millisecond)
		}
		// The longest pause is a second now.
		So(len(paused.received())-before, ShouldBeBetweenOrEqual, 2, 4)
	})
	inBubble(t, "A stopping router keeps to a pause", desks(2), func(h *harness) {
		paused := h.workers["desk-0"]
		paused.handle = refuseFor("20s")
		for range 10 {
			h.call("POST", "/book/x")
		}
		now := time.Now()
		h.server.window.Store(&stopWindow{drained: now.Add(3 * time.Second), ends: now.Add(8 * time.Second)})
		for range 60 {
			resp, _ := h.call("POST", "/book/x")
			So(resp.Code, ShouldBeIn, []int{http.StatusOK, http.StatusServiceUnavailable})
			sleep(100 * time.Millisecond)
		}
		So(len(paused.received()), ShouldEqual, 1)
	})
}

// FuzzDecodePauses guards against a message of another router that ends the process or
// yields a pause without a sensible end.
func FuzzDecodePauses(f *testing.F) {
	f.Add([]byte{0, 0, 0, 7, 6, 50})
	f.Add([]byte{0, 0, 0, 7, 255, 0xff, 0xff, 0x7f, 0, 0, 0, 8, 0, 0})
	f.Fuzz(func(t *testing.T, b []byte) {
		now := time.Unix(1_000_000, 0)
		list, err := decodePauses(now, b)
		if err != nil && list != nil {
			t.Fatalf("pauses %v beside the error %v", list, err)
		}
		for _, p := range list {
			if p.Until.Before(now) || p.Until.After(now.Add(time.Hour)) || p.Hops < 0 {
				t.Fatalf("pause %v", p)
			}
		}
	})
}
