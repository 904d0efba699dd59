package gateway

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
)

// chooser is a fleet whose workers are in the router's domain.
func chooser(n int) (*fleet, time.Time) {
	now := time.Unix(1_000_000, 0)
	f := newFleet("a", &Settings{LoadBound: 2, RetryRatio: 0.2, RetrySlack: 10, Routers: 1})
	f.apply(&core.WorkerSnapshot{Version: 1, At: now, Workers: engines(n)})
	return f, now
}

func promptExchange(parts ...uint64) *exchange {
	x := &exchange{route: &objects.Route{Sticky: true}, destination: testEngine}
	for _, id := range parts {
		x.in.Prompt = append(x.in.Prompt, core.PromptPart{ID: id, Tokens: 100})
	}
	return x
}

// Guards against prompts that leave the worker that has their parts although
// it is within the load bound, and against workers above the bound.
func TestLoadBound(t *testing.T) {
	Convey("A prompt leaves its first choice at 0.9 times the bound times the mean, and 3", t, func() {
		f, now := chooser(4)
		first, _ := f.choose(promptExchange(1, 2, 3), now)
		home := first.worker
		for _, w := range f.byID {
			w.inFlight = 5
		}
		// 0.9 * 2 * mean + 3 is 17.4 and 18.3 with the others at 5.
		home.inFlight = 17
		c, _ := f.choose(promptExchange(1, 2, 4), now)
		So(c.worker, ShouldEqual, home)
		So(c.reason, ShouldEqual, choseHome)
		home.inFlight = 19
		c, _ = f.choose(promptExchange(1, 2, 5), now)
		So(c.worker, ShouldNotEqual, home)
		So(c.reason, ShouldEqual, choseNext)
		So(c.fetchFrom, ShouldEqual, home.Address)
	})
	Convey("A prompt whose session is new fetches the parts that another worker has", t, func() {
		f, now := chooser(9)
		first, _ := f.choose(promptExchange(1, 2, 3), now)
		for id := uint64(10); id < 40; id++ {
			c, _ := f.choose(promptExchange(1, id, 1000+id), now)
			if c.worker == first.worker {
				continue
			}
			So(c.fetchFrom, ShouldNotBeEmpty)
			So(c.fetchFrom, ShouldNotEqual, c.worker.Address)
			return
		}
	})
	Convey("It leaves earlier by what other routers may have sent since the report", t, func() {
		f, now := chooser(4)
		first, _ := f.choose(promptExchange(1, 2, 3), now)
		home := first.worker
		f.pools[testEngine].routers = 17
		for _, w := range f.byID {
			w.load, w.loadAt, w.added = 5, now.Add(-500*time.Millisecond), 0
		}
		// Two requests in 2 s of each of 16 others on 4 workers are 2 in 500 ms
		// for each, and as many end: one deviation is 2.
		home.load = 7
		c, _ := f.choose(promptExchange(1, 2, 4), now)
		So(c.worker, ShouldEqual, home)
		// Alone, 14 is below 0.9 * 2 * mean + 3 (16.1).
		home.load, home.added = 14, 0
		c, _ = f.choose(promptExchange(1, 2, 5), now)
		So(c.worker, ShouldNotEqual, home)
	})
	Convey("The bound falls with the load after a flood, before the workers above it report again", t, func() {
		f, now := chooser(10)
		p := f.pools[testEngine]
		p.held = time.Second
		workers := p.workers
		for _, w := range workers {
			w.load, w.loadAt = 10, now
		}
		// Nobody sends to these, so nothing reports that their requests end.
		for _, w := range workers[:3] {
			w.load, w.loadAt = 80, now.Add(-2*time.Second)
		}
		// What was there 2 s ago has shrunk to 80/e^2 = 10.8 with requests that
		// take 1 s: the mean is 10.2, and 0.9 * 2 * mean + 3 is 21.
		So(f.loadLimit(workers, now), ShouldBeBetween, 19, 23)
		for key := uint64(1); key < 50; key++ {
			c, _ := f.choose(promptExchange(key, 2), now)
			So(c.busy, ShouldBeLessThan, 23)
			c.worker.inFlight, c.worker.added = 0, 0
		}
	})
	Convey("A report of load counts for 3 s, own requests always", t, func() {
		f, now := chooser(2)
		w := f.byID["engine-0"]
		w.load, w.loadAt, w.inFlight = 6, now, 1
		So(w.busy(now.Add(loadMemory)), ShouldEqual, 6)
		So(w.busy(now.Add(loadMemory+1)), ShouldEqual, 1)
	})
}

// fakeShare is a fleet of a number of routers.
type fakeShare struct{ routers int }

func (s *fakeShare) ReportLoad(uint32, int, time.Time)      {}
func (s *fakeShare) Routers() int                           { return s.routers }
func (s *fakeShare) SubscribeLoads(func([]core.SharedLoad)) {}

// Guards against repeats of many routers that together exceed the budget, and
// against parts of a cut fleet that each take the whole slack.
func TestSlackShare(t *testing.T) {
	Convey("The slack is divided among the most routers seen", t, func() {
		f, _ := chooser(3)
		f.settings = &Settings{RetrySlack: 212, Routers: 16}
		share := &fakeShare{routers: 86}
		f.share = share
		f.setBudget(f.settings)
		repeats := func() int {
			n := 0
			for f.allowRepeat(testEngine) {
				n++
			}
			return n
		}
		f.sharedLoads(nil)
		share.routers = 30
		f.sharedLoads(nil)
		So(repeats(), ShouldEqual, 212/86)
	})
}
