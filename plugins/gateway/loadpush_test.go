package gateway

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against routers that send to a worker together because they learn only some
// hundred ms later that it has reached the limit (incident 0014).
func TestPushedLoads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Nearly all routers of a large fleet know at once of a worker that has reached the limit", t, func() {
			const routers = 60
			f := newTestFleet(1, routers, 8)
			defer f.close()
			load := "3"
			f.serve = func(_ *testEngineProcess, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testLoad, load)
				w.Header().Set(testSeal, "s")
				events(w, 1, 1)
			}
			sleep(5 * time.Second) // the routers know each other
			informed := func(busy int) int {
				n := 0
				for _, p := range f.peers {
					p.mu.Lock()
					if slices.Contains(p.loads, busy) {
						n++
					}
					p.mu.Unlock()
				}
				return n
			}
			load = "40"
			So(f.callRouter(0, "id-1", "/chat/x", "1 2 3").Code, ShouldEqual, http.StatusOK)
			sleep(10 * time.Millisecond)
			So(informed(40), ShouldBeGreaterThan, routers*8/10)

			Convey("Loads below the limit wait for the next rounds", func() {
				load = "2"
				So(f.callRouter(0, "id-2", "/chat/x", "5 6 7").Code, ShouldEqual, http.StatusOK)
				sleep(10 * time.Millisecond)
				So(informed(2), ShouldBeLessThan, routers/3)
			})
		})
	})
}
