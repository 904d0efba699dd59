package routing

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const testUpstream = "engine"

// workers returns n workers, all in the router's failure domain.
func workers(n int) []WorkerInfo {
	list := make([]WorkerInfo, n)
	for i := range list {
		list[i] = WorkerInfo{ID: fmt.Sprintf("engine-%d", i), Upstream: testUpstream, Address: fmt.Sprintf("engine-%d:1", i), FailureDomain: "a", Slots: 8}
	}
	return list
}

// newTestFleet returns a fleet of n workers in the router's failure domain, and
// the time at which their list was read.
func newTestFleet(n int) (*Fleet, time.Time) {
	now := time.Unix(1_000_000, 0)
	f := New(Config{Domain: "a", LoadBound: 2, RetryRatio: 0.2, RetrySlack: 10, MinRouters: 1})
	f.Apply(&WorkerList{Version: 1, At: now, Workers: workers(n)})
	return f, now
}

// prompt returns a request whose prompt consists of the given parts. SharedParts
// drops the last one as unique to the request.
func prompt(parts ...uint64) Request {
	r := Request{Upstream: testUpstream}
	for _, id := range parts {
		r.SharedParts = append(r.SharedParts, PromptPart{ID: id, Tokens: 100})
	}
	r.SharedParts = SharedParts(r.SharedParts)
	return r
}

// Guards against requests that go to another worker although the one that has
// their prompt cached is within the load bound, and against workers above the
// bound.
func TestLoadBound(t *testing.T) {
	Convey("A prompt goes to a later preference when the load of the first exceeds 0.9 times the bound times the mean, plus 3", t, func() {
		f, now := newTestFleet(4)
		first, _ := f.Choose(prompt(1, 2, 3), now)
		preferred := first.Worker
		for _, w := range f.byID {
			w.inFlight = 5
		}
		// 0.9 * 2 * mean + 3 is 17.4 and 18.3 with the other workers at 5.
		preferred.inFlight = 17
		c, _ := f.Choose(prompt(1, 2, 4), now)
		So(c.Worker, ShouldEqual, preferred)
		So(c.Reason, ShouldEqual, ReasonFirstPreference)
		preferred.inFlight = 19
		c, _ = f.Choose(prompt(1, 2, 5), now)
		So(c.Worker, ShouldNotEqual, preferred)
		So(c.Reason, ShouldEqual, ReasonLaterPreference)
		So(c.FetchFrom, ShouldEqual, preferred.Address)
	})
	Convey("A prompt whose last shared part is new fetches the earlier parts from the worker that has them cached", t, func() {
		f, now := newTestFleet(9)
		first, _ := f.Choose(prompt(1, 2, 3), now)
		for id := uint64(10); id < 40; id++ {
			c, _ := f.Choose(prompt(1, id, 1000+id), now)
			if c.Worker == first.Worker {
				continue
			}
			So(c.FetchFrom, ShouldEqual, first.Worker.Address)
			return
		}
		t.Error("all 30 prompts went to the first worker, so none had to fetch")
	})
	Convey("A prompt stays at its first preference up to the limit and leaves it above, with old reports and many routers too", t, func() {
		for _, routers := range []int{1, 17, 400} {
			f, now := newTestFleet(4)
			first, _ := f.Choose(prompt(1, 2, 3), now)
			preferred := first.Worker
			f.pools[testUpstream].routers = routers
			for _, w := range f.byID {
				w.reportedLoad, w.reportedAt, w.sentTimes, w.inFlight, w.unanswered = 5, now.Add(-500*time.Millisecond), nil, 0, 0
			}
			// A reported load counts the request that it was reported with. With one
			// worker at 13 and three at 4 without it, 0.9 * 2 * mean + 3 is 14.25; with
			// one at 17 it is 16.05.
			preferred.reportedLoad = 14
			c, _ := f.Choose(prompt(1, 2, 4), now)
			So(c.Worker, ShouldEqual, preferred)
			preferred.reportedLoad, preferred.sentTimes = 18, nil
			c, _ = f.Choose(prompt(1, 2, 5), now)
			So(c.Worker, ShouldNotEqual, preferred)
		}
	})
	Convey("The limit falls with the load after a surge, before the workers above it report again", t, func() {
		f, now := newTestFleet(10)
		p := f.pools[testUpstream]
		p.meanDuration = time.Second
		for _, w := range p.workers {
			w.reportedLoad, w.reportedAt = 10, now
		}
		// These workers get no requests, so no report shows that their requests
		// end.
		for _, w := range p.workers[:3] {
			w.reportedLoad, w.reportedAt = 80, now.Add(-2*time.Second)
		}
		// With requests of 1 s, the load of 80 has decayed to 80/e^2 = 10.8
		// after 2 s: the mean is 9.2, and 0.9 * 2 * mean + 3 is 20.
		So(f.loadLimit(p.workers, now), ShouldBeBetween, 19, 23)
		for key := uint64(1); key < 50; key++ {
			c, _ := f.Choose(prompt(key, 2), now)
			So(c.EstimatedLoad, ShouldBeLessThan, 23)
			c.Worker.inFlight, c.Worker.sentTimes = 0, nil
		}
	})
	Convey("In a large fleet a prompt whose first preferences are above the limit gets a worker within it", t, func() {
		f, now := newTestFleet(40)
		first := map[string]bool{}
		for range preferenceCount {
			c, _ := f.Choose(prompt(1, 2), now)
			first[c.Worker.ID] = true
			c.Worker.inFlight = 30
		}
		So(first, ShouldHaveLength, preferenceCount)
		for range 10 {
			c, _ := f.Choose(prompt(1, 2), now)
			So(first[c.Worker.ID], ShouldBeFalse)
			So(c.Reason, ShouldEqual, ReasonLaterPreference)
		}
	})
	Convey("A prompt that needs several workers is spread over them before any is above the limit", t, func() {
		f, now := newTestFleet(10)
		p := f.pools[testUpstream]
		p.routers = 10
		used := map[string]int{}
		for i := range 400 {
			// Each of 10 routers sends 5 requests a second that take 1 s: 50 run
			// at a time. With a mean of 1 the limit is 0.9 * 2 * 1 + 3, so a
			// worker has room for 0.8 * 1 + 3 above the mean.
			now = now.Add(200 * time.Millisecond)
			for _, w := range p.workers {
				w.reportedLoad, w.reportedAt, w.sentTimes, w.inFlight, w.unanswered = 1, now, nil, 0, 0
			}
			p.meanDuration = time.Second
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
	Convey("A worker that leaves requests unanswered gets no more, although its last report is below the limit", t, func() {
		f, now := newTestFleet(4)
		p := f.pools[testUpstream]
		p.routers = 9
		for _, w := range p.workers {
			w.reportedLoad, w.reportedAt = 10, now
		}
		first, _ := f.Choose(prompt(1, 2), now)
		preferred := first.Worker
		f.RecordFirstByte(first, 50*time.Millisecond)
		// The limit is 0.9 * 2 * 10 + 3 = 21. Beyond the first, each
		// unanswered request of this router stands for one of each of the 8
		// others: three add 8 * 2.
		for range 3 {
			c, _ := f.Choose(prompt(1, 2), now)
			So(c.Worker, ShouldEqual, preferred)
		}
		c, _ := f.Choose(prompt(1, 2), now)
		So(c.Worker, ShouldNotEqual, preferred)
		So(c.EstimatedLoad, ShouldEqual, 10)
		So(c.Unanswered, ShouldEqual, 0)
		f.RecordEnd(c, true, now)
		So(c.Worker.unanswered, ShouldEqual, 0)
	})
	Convey("A load report counts for 3 s; this router's own requests in flight always count", t, func() {
		f, now := newTestFleet(2)
		w := f.byID["engine-0"]
		w.reportedLoad, w.reportedAt, w.inFlight = 6, now, 1
		So(w.currentLoad(now.Add(loadTTL)), ShouldEqual, 6)
		So(w.currentLoad(now.Add(loadTTL+1)), ShouldEqual, 1)
	})
}

// Guards against retries of many routers that together exceed the budget, and
// against the sides of a network partition that each use the whole slack.
func TestSlackShare(t *testing.T) {
	Convey("The slack is divided by the largest number of routers seen", t, func() {
		f, now := newTestFleet(3)
		f.Configure(Config{RetrySlack: 212, MinRouters: 16})
		allowedRetries := func() int {
			count := 0
			for f.AllowRetry(testUpstream, now) {
				count++
			}
			return count
		}
		f.RecordSharedLoads(86, nil, now)
		f.RecordSharedLoads(30, nil, now)
		So(allowedRetries(), ShouldEqual, 212/86)
	})
}

// Guards against workers that are read while a new worker list is applied: the
// router's requests use the ID and address of a worker without the fleet's lock.
func TestApplyKeepsWorkersReadable(t *testing.T) {
	Convey("A worker keeps its identity while lists change what may change", t, func() {
		f, now := newTestFleet(3)
		c, ok := f.Choose(prompt(1, 2, 3), now)
		So(ok, ShouldBeTrue)
		id := c.Worker.ID
		read := make(chan string)
		go func() { // the race detector compares this goroutine with Apply
			for range 100 {
				if c.Worker.ID+c.Worker.Address+c.Worker.Upstream+c.Worker.FailureDomain == "" {
					break
				}
			}
			read <- c.Worker.ID
		}()
		for i := range 100 {
			list := workers(3)
			for n := range list {
				list[n].ID = string([]byte(list[n].ID)) // a copy, as from another read of the list
				list[n].Slots, list[n].Draining = i, i%2 == 1
			}
			f.Apply(&WorkerList{Version: int64(i + 2), At: now, Workers: list})
		}
		So(<-read, ShouldEqual, id)
		So(f.Worker(id), ShouldEqual, c.Worker)
		So(f.Worker(id).Draining, ShouldBeTrue)
	})
}
