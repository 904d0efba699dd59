package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/unreadable"
	"github.com/auburnlead/auburnlead/routing"
)

// Bounds of the users' platform for workers that name a limit.
const (
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5 // times what the limit allows in the window
	limitAllowance = 5   // requests beyond that
	// toldBefore is the time from which a router that has forwarded an answer with the
	// limit counts.
	toldBefore = 500 * time.Millisecond
)

// limitedTraffic sends requests to engines that name a limit in their answers.
type limitedTraffic struct {
	fleet  *testFleet
	period time.Duration                             // mean time between two requests
	limit  func(engine string, at time.Time) float64 // requests a second, 0 for none
	router func() int                                // router of the next request; nil for a random one

	mu         sync.Mutex
	arrivals   map[string][]limitedArrival     // by address of the engine
	told       map[string]map[string]time.Time // when a router first got an answer with a limit, by address and router
	named      map[string]time.Time            // when an engine first named a limit
	statuses   map[int]int
	retryAfter []time.Duration // Retry-After of refusals
}

type limitedArrival struct {
	at     time.Time
	router string
	limit  float64
}

func newLimitedTraffic(f *testFleet) *limitedTraffic {
	d := &limitedTraffic{fleet: f, period: 22 * time.Millisecond, arrivals: map[string][]limitedArrival{}, told: map[string]map[string]time.Time{}, named: map[string]time.Time{}, statuses: map[int]int{}}
	f.serve = d.serve
	return d
}

func (d *limitedTraffic) serve(e *testEngineProcess, w http.ResponseWriter, r *http.Request) {
	router, now := r.Header.Get("X-Router"), time.Now()
	limit := d.limit(e.Address, now)
	d.mu.Lock()
	d.arrivals[e.Address] = append(d.arrivals[e.Address], limitedArrival{now, router, limit})
	d.mu.Unlock()
	sleep(time.Duration(20+d.fleet.random.IntN(60)) * time.Millisecond)
	w.Header().Set(testSeal, "s")
	if limit > 0 {
		w.Header().Set(testLimit, strconv.FormatFloat(limit, 'f', 2, 64))
		d.mu.Lock()
		if d.named[e.Address].IsZero() {
			d.named[e.Address], d.told[e.Address] = time.Now(), map[string]time.Time{}
		}
		if d.told[e.Address][router].IsZero() {
			d.told[e.Address][router] = time.Now()
		}
		d.mu.Unlock()
	}
	for i := 1; i <= 5; i++ {
		events(w, i, i)
		sleep(40 * time.Millisecond)
	}
}

func (d *limitedTraffic) run(total time.Duration) {
	var requests sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < total; i++ {
		router := d.fleet.random.IntN(len(d.fleet.gateways))
		if d.router != nil {
			router = d.router()
		}
		prompt := fmt.Sprintf("%d %d %d", 1+d.fleet.random.IntN(3), 100+d.fleet.random.IntN(40), 10_000+i)
		requests.Go(func() { d.send(router, i, prompt) })
		sleep(time.Duration(d.fleet.random.IntN(int(2 * d.period))))
	}
	requests.Wait()
}

func (d *limitedTraffic) send(router, i int, prompt string) {
	response := d.fleet.callRouter(router, fmt.Sprint("id-", i), "/chat/once/x", prompt, "X-Router", fmt.Sprint(router))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statuses[response.Code]++
	if response.Code == http.StatusServiceUnavailable {
		if wait, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64); err == nil {
			d.retryAfter = append(d.retryAfter, time.Duration(wait*float64(time.Second)))
		}
	}
}

// excess returns the largest number of requests by which an engine got more in a
// window than its limit allows.
func (d *limitedTraffic) excess() float64 {
	worst := -1000.0
	for address, named := range d.named {
		list := d.arrivals[address]
		for i, first := range list {
			if first.at.Before(named.Add(contactBound)) || first.limit == 0 {
				continue
			}
			n, limit := 0, first.limit
			for _, a := range list[i:] {
				if a.limit == 0 || a.at.Sub(first.at) > limitWindow {
					break
				}
				limit = max(limit, a.limit)
				if told := d.told[address][a.router]; !told.IsZero() && a.at.Sub(told) > toldBefore {
					n++
				}
			}
			worst = max(worst, float64(n)-limitFactor*limit*limitWindow.Seconds()-limitAllowance)
		}
	}
	return worst
}

// usedShare returns the share of the limits that was used from a time until another.
func (d *limitedTraffic) usedShare(from, until time.Time) float64 {
	used, allowed := 0.0, 0.0
	for address := range d.named {
		allowed += d.limit(address, from) * until.Sub(from).Seconds()
		for _, a := range d.arrivals[address] {
			if a.at.After(from) && a.at.Before(until) {
				used++
			}
		}
	}
	return used / allowed
}

// Guards against workers that get more requests than the limit that they name, from
// routers that each know only their own.
func TestWorkerRateLimit(t *testing.T) {
	for _, test := range []struct {
		desc             string
		seed             uint64
		routers, limited int
		period           time.Duration
		limit            float64
		uneven           bool // one router gets half of the requests
	}{
		{"six of nine workers", 1, 9, 6, 22 * time.Millisecond, 2.6, false},
		{"low limits", 2, 9, 6, 22 * time.Millisecond, 0.7, false},
		{"uneven routers", 3, 9, 6, 22 * time.Millisecond, 2.6, true},
		{"many routers", 4, 60, 6, 11 * time.Millisecond, 2.6, false},
		{"all workers, enough for all", 5, 9, 9, 44 * time.Millisecond, 5, false},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			inFleet(t, "Workers get what they name, and nothing is refused", test.seed, test.routers, 9, func(f *testFleet) {
				d := newLimitedTraffic(f)
				d.period = test.period
				start := time.Now()
				d.limit = func(engine string, at time.Time) float64 {
					since := at.Sub(start)
					if n, _ := strconv.Atoi(engine[len("engine-") : len("engine-")+1]); n >= test.limited || since < 6*time.Second || since > 25*time.Second {
						return 0
					}
					return test.limit
				}
				if test.uneven {
					d.router = func() int { return max(f.random.IntN(2*test.routers)-test.routers, 0) }
				}
				d.run(35 * time.Second)
				So(d.named, ShouldHaveLength, test.limited)
				So(d.excess(), ShouldBeLessThanOrEqualTo, 0)
				So(d.statuses[http.StatusOK], ShouldBeGreaterThan, 500)
				So(d.statuses, ShouldHaveLength, 1)
			})
		})
	}
}

// Guards against routers that refuse more than the workers' limits require, or that
// let requests wait that cannot be served.
func TestAllWorkersLimited(t *testing.T) {
	inFleet(t, "With half of the capacity, half of the requests are refused at once with the time of the next permit", 6, 9, 9, func(f *testFleet) {
		d := newLimitedTraffic(f)
		start := time.Now()
		d.limit = func(string, time.Time) float64 { return 2.6 }
		d.run(30 * time.Second)
		So(d.excess(), ShouldBeLessThanOrEqualTo, 0)
		So(d.usedShare(start.Add(5*time.Second), start.Add(29*time.Second)), ShouldBeBetween, 0.75, 1.25)
		So(d.statuses[http.StatusServiceUnavailable], ShouldBeGreaterThan, 0)
		So(d.retryAfter, ShouldHaveLength, d.statuses[http.StatusServiceUnavailable])
		So(d.statuses, ShouldHaveLength, 2)
		for _, wait := range d.retryAfter {
			So(wait, ShouldBeBetween, 0, 5*time.Second)
		}
	})
}

// Guards against malformed messages about limits, and against ones that are changed on
// the way.
func TestEncodedRateLimits(t *testing.T) {
	inBubble(t, "Limits reach another router as they are; a truncated message is malformed", engines(3), func(h *harness) {
		now := time.Now()
		h.fleet.RecordRateLimit(h.fleet.Worker("engine-0"), 2.625, now)
		h.fleet.RecordRateLimit(h.fleet.Worker("engine-1"), 0, now)
		h.fleet.RecordRateLimit(h.fleet.Worker("engine-2"), 7, now)
		h.fleet.RecordRateLimit(h.fleet.Worker("engine-2"), routing.NoRateLimit, now)
		b := h.limits.Encode(now, 1000, false)
		list, err := decodeRateLimits(now, b)
		So(err, ShouldBeNil)
		So(list, ShouldHaveLength, 3)
		want := h.fleet.RateLimits(now)
		for _, r := range list {
			So(want, ShouldContain, r)
		}
		whole := 0
		for n := range b {
			if _, err := decodeRateLimits(now, b[:n]); err == nil {
				whole++
			}
		}
		So(whole, ShouldEqual, 3) // nothing, one and two entries
		later := now.Add(sharePeriod)
		So(len(h.limits.Encode(later, 60, false)), ShouldBeBetween, 0, 61)
	})
	inBubble(t, "An answer of another process, or a limit that cannot be read, changes no limit", engines(1), func(h *harness) {
		limit := 3.0
		w := h.fleet.Worker("engine-0")
		h.limits.record(w, core.ResponseHeader{RateLimit: &limit})
		h.limits.record(w, core.ResponseHeader{Unread: []unreadable.Input{{Kind: unreadable.RateLimit}}})
		So(h.fleet.WorkerRateLimit(w), ShouldEqual, limit)
		h.setHandlers(func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header().Set(testNotRun, "1")
			rw.WriteHeader(http.StatusMisdirectedRequest)
		})
		for range 10 {
			h.call("POST", "/chat/once/x")
			sleep(time.Second)
		}
		So(h.requestCount(), ShouldBeGreaterThan, 0)
		So(h.fleet.WorkerRateLimit(w), ShouldEqual, limit)
		h.setHandlers(serveSuccess)
		sleep(time.Second)
		h.call("POST", "/chat/once/x")
		So(h.fleet.WorkerRateLimit(w), ShouldEqual, routing.NoRateLimit)
	})
}

// Guards against a message of another router that ends the process.
func FuzzDecodeRateLimits(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 0, 2, 200, 1, 5})
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := decodeRateLimits(time.Unix(1_000_000, 0), b)
		for _, r := range list {
			if err == nil && r.PerSecond != routing.NoRateLimit && !(r.PerSecond >= 0) {
				t.Fatalf("limit %v", r.PerSecond)
			}
		}
	})
}
