package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// Guards against a slow engine that each router has to find for itself: with 20 routers,
// each sees a request of it every few seconds.
func TestSlowEngineIsShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Routers pass over an engine that is four times slower two seconds after it became so, and not for ever", t, func() {
			const routers, engines, perSecond = 20, 4, 100
			f := newTestFleet(1, routers, engines)
			defer f.close()
			for _, g := range f.gateways {
				g.fleet.Configure(routing.Config{LoadBound: 2, LearnSpeed: true})
			}
			slowEngine := ""
			served := map[string]int{}
			f.serve = func(e *testEngineProcess, w http.ResponseWriter, _ *http.Request) {
				f.mu.Lock()
				served[e.Address]++
				event := 4 * time.Millisecond
				if e.Address == slowEngine {
					event *= 4
				}
				f.mu.Unlock()
				w.Header().Set(testSeal, "s")
				sleep(event)
				for i := range 20 {
					sleep(event)
					events(w, i+1, i+1)
					_ = http.NewResponseController(w).Flush()
				}
			}
			sleep(3 * time.Second) // the routers know each other
			i := 0
			run := func(length time.Duration) (share float64) {
				f.mu.Lock()
				clear(served)
				f.mu.Unlock()
				for range int(length.Seconds() * perSecond) {
					i++
					go f.callRouter(i%routers, "id-"+strconv.Itoa(i), "/chat/x", "1 "+strconv.Itoa(1000+i%200)+" 2")
					sleep(time.Second / perSecond)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				return float64(served["engine-0:1"]) / (length.Seconds() * perSecond)
			}
			before := run(60 * time.Second)
			f.mu.Lock()
			slowEngine = "engine-0:1"
			f.mu.Unlock()
			run(2 * time.Second)
			So(run(6*time.Second), ShouldBeLessThan, before/2)
			f.mu.Lock()
			slowEngine = ""
			f.mu.Unlock()
			run(8 * time.Second)
			So(run(10*time.Second), ShouldBeGreaterThan, before*0.8)
		})
	})
	inBubble(t, "A message has the samples with their ages, no more than one is sent in a round, and a malformed one is refused", desks(2), func(h *harness) {
		h.fleet.Configure(routing.Config{LoadBound: 2, LearnSpeed: true})
		now := time.Now()
		sent := []routing.SpeedSamples{{WorkerHash: gossip.WorkerHash("desk-0"), Samples: []routing.SpeedSample{{ID: 7, Times: 3, At: now.Add(-time.Second)}}}}
		So(h.speeds.Encode(now, gossip.MessageBytes, false), ShouldBeNil)
		h.fleet.RecordSharedSpeeds(sent, now)
		now = now.Add(250 * time.Millisecond)
		payload := h.speeds.Encode(now, gossip.MessageBytes, false)
		So(h.speeds.Encode(now.Add(time.Millisecond), gossip.MessageBytes, false), ShouldBeNil)
		list, err := decodeSpeeds(now, payload)
		So(err, ShouldBeNil)
		So(list, ShouldHaveLength, 1)
		So(list[0].Samples[0].Times, ShouldAlmostEqual, 3, 0.04)
		So(now.Sub(list[0].Samples[0].At), ShouldAlmostEqual, 1250*time.Millisecond, speedAgeUnit)
		So(h.speeds.Merge(now, payload[:len(payload)-1]), ShouldNotBeNil)
	})
}

// Guards against a slow caller that looks like a slow worker.
func TestPaceWithoutSlowCaller(t *testing.T) {
	inBubble(t, "The time of a stream whose caller is slow is no sample", desks(2), func(h *harness) {
		h.fleet.Configure(routing.Config{LoadBound: 2, LearnSpeed: true})
		c, _ := h.fleet.Choose(routing.Request{Upstream: testDesk}, time.Now())
		defer func() { h.fleet.RecordEnd(c, true, time.Now()) }()
		var m paceMeter
		at := time.Now()
		record := func(writing time.Duration) {
			for range 30 * routing.PaceEvents {
				m.record(h.speeds, c, at, at.Add(writing))
				at = at.Add(4*time.Millisecond + writing)
			}
		}
		record(0)
		record(100 * time.Millisecond)
		So(h.fleet.SharedSpeeds(at), ShouldBeEmpty)
	})
}

// Guards against a hint above the limit of the output.
func TestExpectedOutput(t *testing.T) {
	Convey("The hint counts up to the limit, and the limit without a hint", t, func() {
		for _, test := range []struct{ limit, hint, want int }{{0, 0, 0}, {400, 0, 400}, {400, 50, 50}, {400, 500, 400}, {0, 50, 50}} {
			h := core.RequestHeader{MaxOutputTokens: test.limit, LengthHint: test.hint}
			So(h.ExpectedOutput(), ShouldEqual, test.want)
		}
	})
}
