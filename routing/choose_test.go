package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testUpstream = "engine"

// workers returns n workers, all in the router's domain.
func workers(n int) []WorkerInfo {
	list := make([]WorkerInfo, n)
	for i := range list {
		list[i] = WorkerInfo{ID: fmt.Sprintf("engine-%d", i), Upstream: testUpstream, Address: fmt.Sprintf("engine-%d:1", i), FailureDomain: "a", Slots: 8}
	}
	return list
}

// newTestFleet is a fleet whose workers are in the router's domain.
func newTestFleet(n int) (*Fleet, time.Time) {
	now := time.Unix(1_000_000, 0)
	f := New(Config{Domain: "a", LoadBound: 2, RetryRatio: 0.2, RetrySlack: 10, MinRouters: 1})
	f.Apply(&WorkerList{Version: 1, At: now, Workers: workers(n)})
	return f, now
}

func prompt(parts ...uint64) Request {
	r := Request{Upstream: testUpstream}
	for _, id := range parts {
		r.SharedParts = append(r.SharedParts, PromptPart{ID: id, Tokens: 100})
	}
	r.SharedParts = SharedParts(r.SharedParts)
	return r
}

// Guards against prompts that leave the worker that has their parts although
// it is within the load bound, and against workers above the bound.
func TestLoadBound(t *testing.T) {
	Convey("A prompt leaves its first choice at 0.9 times the bound times the mean, and 3", t, func() {
		f, now := newTestFleet(4)
		first, _ := f.Choose(prompt(1, 2, 3), now)
		home := first.Worker
		for _, w := range f.byID {
			w.inFlight = 5
		}
		// 0.9 * 2 * mean + 3 is 17.4 and 18.3 with the others at 5.
		home.inFlight = 17
		c, _ := f.Choose(prompt(1, 2, 4), now)
		So(c.Worker, ShouldEqual, home)
		So(c.Reason, ShouldEqual, ReasonFirstPreference)
		home.inFlight = 19
		c, _ = f.Choose(prompt(1, 2, 5), now)
		So(c.Worker, ShouldNotEqual, home)
		So(c.Reason, ShouldEqual, ReasonLaterPreference)
		So(c.FetchFrom, ShouldEqual, home.Address)
	})
	Convey("A prompt whose session is new fetches the parts that another worker has", t, func() {
		f, now := newTestFleet(9)
		first, _ := f.Choose(prompt(1, 2, 3), now)
		for id := uint64(10); id < 40; id++ {
			c, _ := f.Choose(prompt(1, id, 1000+id), now)
			if c.Worker == first.Worker {
				continue
			}
			So(c.FetchFrom, ShouldNotBeEmpty)
			So(c.FetchFrom, ShouldNotEqual, c.Worker.Address)
			return
		}
	})
	Convey("It leaves earlier by what other routers may have sent since the report", t, func() {
		f, now := newTestFleet(4)
		first, _ := f.Choose(prompt(1, 2, 3), now)
		home := first.Worker
		f.pools[testUpstream].routers = 17
		for _, w := range f.byID {
			w.load, w.loadAt, w.sent = 5, now.Add(-500*time.Millisecond), nil
		}
		// Two requests in 2 s of each of 16 others on 4 workers are 2 in 500 ms
		// for each, and as many end: one deviation is 2.
		home.load = 7
		c, _ := f.Choose(prompt(1, 2, 4), now)
		So(c.Worker, ShouldEqual, home)
		// Alone, 14 is below 0.9 * 2 * mean + 3 (16.1).
		home.load, home.sent = 14, nil
		c, _ = f.Choose(prompt(1, 2, 5), now)
		So(c.Worker, ShouldNotEqual, home)
	})
	Convey("The bound falls with the load after a flood, before the workers above it report again", t, func() {
		f, now := newTestFleet(10)
		p := f.pools[testUpstream]
		p.held = time.Second
		for _, w := range p.workers {
			w.load, w.loadAt = 10, now
		}
		// Nobody sends to these, so nothing reports that their requests end.
		for _, w := range p.workers[:3] {
			w.load, w.loadAt = 80, now.Add(-2*time.Second)
		}
		// What was there 2 s ago has shrunk to 80/e^2 = 10.8 with requests that
		// take 1 s: the mean is 10.2, and 0.9 * 2 * mean + 3 is 21.
		So(f.loadLimit(p.workers, now), ShouldBeBetween, 19, 23)
		for key := uint64(1); key < 50; key++ {
			c, _ := f.Choose(prompt(key, 2), now)
			So(c.EstimatedLoad, ShouldBeLessThan, 23)
			c.Worker.inFlight, c.Worker.sent = 0, nil
		}
	})
	Convey("A prompt whose first choices are above the bound finds one within it in a large fleet", t, func() {
		f, now := newTestFleet(40)
		first := map[string]bool{}
		for range preferences {
			c, _ := f.Choose(prompt(1, 2), now)
			first[c.Worker.ID] = true
			c.Worker.inFlight = 30
		}
		So(first, ShouldHaveLength, preferences)
		for range 10 {
			c, _ := f.Choose(prompt(1, 2), now)
			So(first[c.Worker.ID], ShouldBeFalse)
			So(c.Reason, ShouldEqual, ReasonLaterPreference)
		}
	})
	Convey("A prompt that needs several workers is spread over these before any is above the bound", t, func() {
		f, now := newTestFleet(10)
		p := f.pools[testUpstream]
		p.routers = 10
		used := map[string]int{}
		for i := range 400 {
			// 5 requests a second of each of 10 routers for 1 s each are 50 at a
			// time; a worker has room for 0.8 * 1 + 3 beside the mean.
			now = now.Add(200 * time.Millisecond)
			for _, w := range p.workers {
				w.load, w.loadAt, w.sent, w.inFlight, w.unanswered = 1, now, nil, 0, 0
			}
			p.held = time.Second
			c, _ := f.Choose(prompt(1, 2), now)
			if i >= 200 {
				used[c.Worker.ID]++
				So(c.Reason == ReasonFirstPreference, ShouldEqual, c.PreferenceIndex == 0)
			}
		}
		So(len(used), ShouldEqual, 10)
		for _, n := range used {
			So(n, ShouldBeLessThan, 200/3)
		}
		for _, w := range p.workers {
			w.unanswered = 0
		}
		for i := range 20 {
			c, _ := f.Choose(prompt(uint64(100+i), 2), now)
			So(c.PreferenceIndex, ShouldEqual, 0)
			f.RecordEnd(c, true, now)
		}
	})
	Convey("A worker that leaves requests unanswered gets none while its old report is below the bound", t, func() {
		f, now := newTestFleet(4)
		p := f.pools[testUpstream]
		p.routers = 9
		for _, w := range p.workers {
			w.load, w.loadAt = 10, now
		}
		first, _ := f.Choose(prompt(1, 2), now)
		home := first.Worker
		f.RecordFirstByte(first, 50*time.Millisecond)
		// The limit is 0.9 * 2 * 10.5 + 3 = 22. Three unanswered requests of
		// this router stand for 8 * 2 of the others.
		for range 3 {
			c, _ := f.Choose(prompt(1, 2), now)
			So(c.Worker, ShouldEqual, home)
		}
		c, _ := f.Choose(prompt(1, 2), now)
		So(c.Worker, ShouldNotEqual, home)
		So(c.EstimatedLoad, ShouldEqual, 10)
		So(c.Unanswered, ShouldEqual, 0)
		f.RecordEnd(c, true, now)
		So(c.Worker.unanswered, ShouldEqual, 0)
	})
	Convey("A report of load counts for 3 s, own requests always", t, func() {
		f, now := newTestFleet(2)
		w := f.byID["engine-0"]
		w.load, w.loadAt, w.inFlight = 6, now, 1
		So(w.busy(now.Add(loadMemory)), ShouldEqual, 6)
		So(w.busy(now.Add(loadMemory+1)), ShouldEqual, 1)
	})
}

// Guards against repeats of many routers that together exceed the budget, and
// against parts of a cut fleet that each take the whole slack.
func TestSlackShare(t *testing.T) {
	Convey("The slack is divided among the most routers seen", t, func() {
		f, now := newTestFleet(3)
		f.Configure(Config{RetrySlack: 212, MinRouters: 16})
		repeats := func() int {
			n := 0
			for f.AllowRetry(testUpstream, now) {
				n++
			}
			return n
		}
		f.RecordSharedLoads(86, nil)
		f.RecordSharedLoads(30, nil)
		So(repeats(), ShouldEqual, 212/86)
	})
}
