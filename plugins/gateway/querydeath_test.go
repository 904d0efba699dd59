package gateway

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Bounds of the users' platform for prompt parts that crash workers.
const (
	// contactBound is the time after which routers in touch must know what all of
	// them have seen.
	contactBound = 3 * time.Second
	// crashesBeforeBound is the number of crashes from which the time counts.
	crashesBeforeBound = 5
	// maxLaterRequests is the number of requests with the part that may reach workers
	// after that.
	maxLaterRequests = 3
)

// deadlyTraffic sends sound requests and, after a while, requests with one part that
// crashes the engine when its answer begins.
type deadlyTraffic struct {
	fleet        *testFleet
	deadlyPart   string
	prompt       func(request int) string // prompt of a deadly request
	deadlyPeriod time.Duration            // mean time between two deadly requests
	path         string                   // of deadly requests

	mu      sync.Mutex
	reached []time.Time // when deadly requests reached engines
	sound   []soundRequest
	refused int // deadly requests that were refused
}

type soundRequest struct {
	sentAt time.Time
	first  string // first part of the prompt
	status int
}

const (
	soundEvents      = 10
	soundEventPeriod = 60 * time.Millisecond
	soundPeriod      = 25 * time.Millisecond
	soundSubjects    = 12
)

func (d *deadlyTraffic) serve(e *testEngineProcess, w http.ResponseWriter, r *http.Request) {
	prompt := r.Header.Get(testPrompt)
	deadly := hasSharedPart(prompt, d.deadlyPart)
	if deadly {
		d.mu.Lock()
		d.reached = append(d.reached, time.Now())
		d.mu.Unlock()
	}
	sleep(time.Duration(20+d.fleet.random.IntN(80)) * time.Millisecond) // queue and prefill
	w.Header().Set(testSeal, "s")
	_ = http.NewResponseController(w).Flush() // the caller may have disconnected
	if deadly {
		sleep(time.Duration(20+d.fleet.random.IntN(200)) * time.Millisecond)
		e.crash()
		return
	}
	for i := 1; i <= soundEvents; i++ {
		sleep(soundEventPeriod)
		events(w, i, i)
	}
}

// run sends sound requests for the given time, and deadly ones from after until it
// ends.
func (d *deadlyTraffic) run(total, after time.Duration) {
	var requests sync.WaitGroup
	start := time.Now()
	next := start.Add(after)
	for i := 0; time.Since(start) < total; i++ {
		requests.Go(func() { d.sendSound(i) })
		if d.deadlyPeriod > 0 && time.Now().After(next) {
			next = time.Now().Add(time.Duration(d.fleet.random.IntN(int(2 * d.deadlyPeriod))))
			requests.Go(func() { d.sendDeadly(i) })
		}
		sleep(time.Duration(d.fleet.random.IntN(int(2 * soundPeriod))))
	}
	requests.Wait()
}

func (d *deadlyTraffic) sendSound(i int) {
	first := fmt.Sprint(1 + d.fleet.random.IntN(3))
	subject := 100 + d.fleet.random.IntN(soundSubjects)
	path := []string{"/chat/x", "/chat/once/x"}[i%2]
	s := soundRequest{sentAt: time.Now(), first: first}
	s.status = d.fleet.call(fmt.Sprint("sound-", i), path, fmt.Sprintf("%s %d %d", first, subject, 10_000+i)).Code
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sound = append(d.sound, s)
}

func (d *deadlyTraffic) sendDeadly(i int) {
	status := d.fleet.call(fmt.Sprint("deadly-", i), d.path, d.prompt(i)).Code
	d.mu.Lock()
	defer d.mu.Unlock()
	if status == http.StatusServiceUnavailable {
		d.refused++
	}
}

// begunShare returns the share of the sound requests with a first part, sent from a
// time until another, that began.
func (d *deadlyTraffic) begunShare(first string, from, until time.Time) (share float64, n int) {
	begun := 0
	for _, s := range d.sound {
		if s.first != first || s.sentAt.Before(from) || !s.sentAt.Before(until) {
			continue
		}
		n++
		if s.status == http.StatusOK {
			begun++
		}
	}
	return float64(begun) / float64(n), n
}

// Guards against a query of death: requests that share one prompt part crash each
// worker that begins to answer them, and the routers send them to one worker after
// the other.
func TestQueryOfDeath(t *testing.T) {
	const deadly = "666"
	for _, test := range []struct {
		desc             string
		seed             uint64
		path             string
		prompt           string // format, with the subject and the part of the request
		period           time.Duration
		routers, engines int
	}{
		{"last shared part", 1, "/chat/once/x", "1 666 %[2]d", 500 * time.Millisecond, 9, 9},
		{"last shared part, often", 2, "/chat/once/x", "1 666 %[2]d", 120 * time.Millisecond, 9, 9},
		{"first part", 3, "/chat/once/x", "666 %[1]d %[2]d", 700 * time.Millisecond, 9, 9},
		{"middle part, requests that may be repeated", 4, "/chat/x", "1 666 %[1]d %[2]d", 600 * time.Millisecond, 9, 9},
		{"middle part, other parts as of sound requests", 5, "/chat/x", "2 %[1]d 666 %[2]d", 400 * time.Millisecond, 9, 9},
		{"rare requests", 6, "/chat/once/x", "1 666 %[1]d %[2]d", 4 * time.Second, 9, 9},
		{"several at a time, anywhere", 7, "/chat/once/x", "1 666 %[2]d %[1]d", 15 * time.Millisecond, 20, 40},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			inFleet(t, "After five crashes at most three more requests reach workers, and sound requests begin", test.seed, test.routers, test.engines, func(f *testFleet) {
				const before, total = 8 * time.Second, 60 * time.Second
				d := &deadlyTraffic{fleet: f, deadlyPart: deadly, deadlyPeriod: test.period, path: test.path}
				d.prompt = func(i int) string { return fmt.Sprintf(test.prompt, 100+i%soundSubjects, 20_000+i) }
				f.serve = d.serve
				start := time.Now()
				d.run(total, before)

				crashes := f.crashTimes()
				So(len(crashes), ShouldBeGreaterThan, 0)
				last := crashes[min(len(crashes), crashesBeforeBound)-1]
				later := 0
				for _, at := range d.reached {
					if at.After(last.Add(contactBound)) {
						later++
					}
				}
				So(later, ShouldBeLessThanOrEqualTo, maxLaterRequests)
				So(d.refused, ShouldBeGreaterThan, 0)
				for _, first := range []string{"1", "2", "3"} {
					usual, _ := d.begunShare(first, start, start.Add(before))
					share, n := d.begunShare(first, last.Add(2*contactBound), start.Add(total))
					So(n, ShouldBeGreaterThanOrEqualTo, 20)
					So(share, ShouldBeGreaterThanOrEqualTo, usual/2)
				}
			})
		})
	}
}

// Guards against a quarantine that is lost with the routers that began it: routers
// that start again must learn it, and without any left it must begin again at once.
func TestQuarantineSurvivesRestarts(t *testing.T) {
	const deadly, before, total = "666", 5 * time.Second, 50 * time.Second
	for _, test := range []struct {
		desc     string
		seed     uint64
		atOnce   int // routers that start again together
		restarts int
		gap      time.Duration
	}{
		{"one after the other", 11, 1, 18, time.Second},
		{"all together", 12, 9, 1, 0},
		{"all together, twice", 13, 9, 2, 8 * time.Second},
	} {
		t.Run(test.desc, func(t *testing.T) {
			t.Parallel()
			inFleet(t, "Routers that start again send at most three more requests", test.seed, 9, 9, func(f *testFleet) {
				d := &deadlyTraffic{fleet: f, deadlyPart: deadly, deadlyPeriod: 500 * time.Millisecond, path: "/chat/once/x"}
				d.prompt = func(i int) string { return fmt.Sprintf("1 666 %d", 20_000+i) }
				f.serve = d.serve
				start := time.Now()
				var lastAllDown time.Time
				go func() {
					sleep(before + 12*time.Second)
					for i := range test.restarts {
						for n := range test.atOnce {
							f.startRouter((i*test.atOnce + n) % len(f.gateways))
						}
						if test.atOnce == len(f.gateways) {
							lastAllDown = time.Now()
						}
						sleep(test.gap)
					}
				}()
				d.run(total, before)
				inTouch := start.Add(before + 12*time.Second)
				if !lastAllDown.IsZero() {
					inTouch = lastAllDown.Add(contactBound)
				}
				later := 0
				for _, at := range d.reached {
					if at.After(inTouch) {
						later++
					}
				}
				So(d.refused, ShouldBeGreaterThan, 0)
				So(later, ShouldBeLessThanOrEqualTo, maxLaterRequests)
			})
		})
	}
}

// Guards against sound requests that are refused because workers crash for other
// reasons than a request.
func TestCrashesWithoutQueryOfDeath(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			inFleet(t, "Workers that crash one by one, two at a time or all at once cause no refusal of prompts", seed, 9, 9, func(f *testFleet) {
				d := &deadlyTraffic{fleet: f}
				f.serve = d.serve
				go func() {
					for i := 0; f.ctx.Err() == nil; i++ {
						sleep(time.Duration(500+f.random.IntN(2500)) * time.Millisecond)
						n := []int{1, 2, 1, 9}[i%4]
						for range n {
							f.randomEngine().crash()
						}
					}
				}()
				d.run(40*time.Second, 0)
				So(len(f.crashTimes()), ShouldBeGreaterThan, 20)
				f.stop()
				refused := 0
				for _, g := range f.gateways {
					refused += int(counterValue(g, "quarantine_refusals"))
				}
				So(refused, ShouldEqual, 0)
			})
		})
	}
}
