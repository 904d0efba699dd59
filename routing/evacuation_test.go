package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// domainWorkers returns n workers, by turns of the failure domains a, b and c.
func domainWorkers(n int) []WorkerInfo {
	list := workers(n)
	for i := range list {
		list[i].FailureDomain = string(rune('a' + i%3))
	}
	return list
}

// Guards against a choice of an evacuated worker by any path: first and later attempts,
// with and without a prompt, checks of limits, workers that leave, pause or register anew.
func TestNoChoiceInAnEvacuatedDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		f := New(Config{Domain: "a", LoadBound: 2, MinRouters: 1, LeavingGrace: time.Minute, MaxPause: time.Minute, Random: func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") }})
		list := domainWorkers(9)
		evacuated := map[string]bool{}
		version := int64(0)
		apply := func() {
			version++
			f.Apply(&WorkerList{Version: version, At: now, Workers: slices.Clone(list)})
		}
		apply()
		worker := func() *Worker { return f.Worker(list[rapid.IntRange(0, 8).Draw(t, "worker")].ID) }
		t.Repeat(map[string]func(*rapid.T){
			"evacuate": func(t *rapid.T) {
				clear(evacuated)
				var domains []string
				for _, d := range []string{"a", "b", "c", "d"} {
					if rapid.Bool().Draw(t, d) {
						evacuated[d], domains = true, append(domains, d)
					}
				}
				f.SetEvacuated(domains, now)
			},
			"register anew": func(t *rapid.T) {
				w := &list[rapid.IntRange(0, 8).Draw(t, "worker")]
				w.StartedAtMs++
				w.Draining = rapid.Bool().Draw(t, "draining")
				apply()
			},
			"list": func(*rapid.T) { apply() },
			"statements": func(t *rapid.T) {
				switch w := worker(); rapid.IntRange(0, 4).Draw(t, "statement") {
				case 0:
					f.RecordLeaving(w, now)
				case 1:
					f.RecordPause(w, time.Second, now)
				case 2:
					f.RecordRateLimit(w, 1, now)
				case 3:
					f.SetUnreachable(w, rapid.Bool().Draw(t, "unreachable"))
				case 4:
					f.RecordLoad(w, 30, 100, now)
				}
			},
			"choose": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				r := Request{Upstream: testUpstream}
				if rapid.Bool().Draw(t, "with a prompt") {
					r = prompt(uint64(rapid.IntRange(1, 5).Draw(t, "key")), 9)
				}
				for range 4 {
					c, ok := f.Choose(r, now)
					if !ok {
						if all := len(evacuated) > 0 && evacuated["a"] && evacuated["b"] && evacuated["c"]; all && !f.AllEvacuated(testUpstream) {
							t.Fatal("the cause is not known")
						}
						return
					}
					if evacuated[c.Worker.FailureDomain] {
						t.Fatalf("attempt %d chose a worker of domain %s (%s)", len(r.Tried)+1, c.Worker.FailureDomain, c.Reason)
					}
					r.Tried = append(r.Tried, c.Worker)
					f.RecordEnd(c, rapid.Bool().Draw(t, "ok"), now)
					f.RecordFailure(c.Worker, now)
				}
			},
		})
	})
}

// Guards against evacuations that are logged without effect or not at all, and against
// figures of the remaining workers that include the evacuated ones.
func TestSetEvacuated(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	newFleet := func() *Fleet {
		f := New(Config{Domain: "a", LoadBound: 2, MinRouters: 1})
		f.Apply(&WorkerList{Version: 1, At: now, Workers: domainWorkers(9)})
		return f
	}
	Convey("Each change of a domain with workers is returned once", t, func() {
		f := newFleet()
		So(f.SetEvacuated([]string{"b", "x"}, now), ShouldResemble, []Change{{Kind: ChangeEvacuated, Domain: "b", Workers: 3}})
		So(f.SetEvacuated([]string{"b", "x"}, now), ShouldBeEmpty)
		So(f.SetEvacuated([]string{"c"}, now), ShouldResemble, []Change{{Kind: ChangeTakenBack, Domain: "b", Workers: 3}, {Kind: ChangeEvacuated, Domain: "c", Workers: 3}})
	})
	Convey("An evacuation before the first worker is listed comes into force with it", t, func() {
		f := New(Config{Domain: "a", LoadBound: 2, MinRouters: 1})
		So(f.SetEvacuated([]string{"b"}, now), ShouldBeEmpty)
		changes := f.Apply(&WorkerList{Version: 1, At: now, Workers: domainWorkers(9)})
		So(changes, ShouldContain, Change{Kind: ChangeEvacuated, Domain: "b", Workers: 3})
		So(f.pools[testUpstream].workers, ShouldHaveLength, 6)
	})
	Convey("Evacuated workers count neither for the load of the others nor for a partition", t, func() {
		f := newFleet()
		for _, w := range f.byID {
			f.RecordLoad(w, 11, 0, now)
		}
		f.SetEvacuated([]string{"b", "c"}, now)
		p := f.pools[testUpstream]
		So(p.meanLoad(now), ShouldEqual, 10)
		f.byID["engine-1"].reportedLoad = 1000
		So(p.meanLoad(now), ShouldEqual, 10)
		So(f.loadLimit(p.workers, now), ShouldEqual, boundFraction*2*10+loadAllowance)
		listed, reachable, total := f.RemoteReachability()
		So([]int{listed, reachable, total}, ShouldResemble, []int{0, 0, 3})
		So(f.AcceptsRequests(f.Worker("engine-1")), ShouldBeFalse)
	})
	Convey("The third that may be ejected is one of the remaining workers", t, func() {
		f := newFleet()
		f.SetEvacuated([]string{"b", "c"}, now)
		for _, id := range []string{"engine-0", "engine-3", "engine-6"} {
			for range ejectThreshold {
				f.RecordFailure(f.Worker(id), now)
			}
		}
		ejected := 0
		for _, w := range f.pools[testUpstream].workers {
			if f.pools[testUpstream].ejector.Ejected(now, w.ID) {
				ejected++
			}
		}
		So(ejected, ShouldEqual, 1)
	})
}

// Guards against prompts that are read again because their worker was evacuated, or
// because it was taken back with an old cache.
func TestFetchAroundAnEvacuation(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	all := domainWorkers(9)
	for i := range all {
		all[i].Address = fmt.Sprintf("10.0.0.%d:1", i)
	}
	for key := uint64(1); key < 100; key++ {
		f := New(Config{Domain: "a", LoadBound: 2, MinRouters: 1})
		f.Apply(&WorkerList{Version: 1, At: now, Workers: all})
		owner, _ := f.Choose(prompt(key, 9), now)
		if owner.Worker.FailureDomain != "b" {
			continue
		}
		Convey(fmt.Sprintf("Prompt %d is fetched from the evacuated worker, and back from the one that had it meanwhile", key), t, func() {
			f.placements = newPlacements() // another router
			evacuatedAt := now.Add(time.Minute)
			f.SetEvacuated([]string{"b"}, evacuatedAt)
			for _, after := range []time.Duration{time.Second, time.Hour} {
				f.placements = newPlacements()
				c, _ := f.Choose(prompt(key, 9), evacuatedAt.Add(after))
				So(c.Worker.FailureDomain, ShouldNotEqual, "b")
				So(c.FetchFrom, ShouldEqual, owner.Worker.Address)
			}
			meanwhile, _ := f.Choose(prompt(key, 9), evacuatedAt.Add(time.Hour))
			f.SetEvacuated(nil, evacuatedAt.Add(time.Hour))
			f.placements = newPlacements()
			c, _ := f.Choose(prompt(key, 9), evacuatedAt.Add(time.Hour+time.Second))
			So(c.Worker, ShouldEqual, owner.Worker)
			So(c.FetchFrom, ShouldEqual, meanwhile.Worker.Address)
		})
		Convey(fmt.Sprintf("Prompt %d is not fetched from a process that started in the evacuated domain", key), t, func() {
			f.SetEvacuated([]string{"b"}, now.Add(time.Minute))
			restarted := slices.Clone(all)
			for i := range restarted {
				if restarted[i].FailureDomain == "b" {
					restarted[i].StartedAtMs = 7
				}
			}
			f.Apply(&WorkerList{Version: 2, At: now.Add(2 * time.Minute), Workers: restarted})
			f.SetEvacuated([]string{"b", "x"}, now.Add(150*time.Second)) // the evacuation of b goes on
			f.leaving, f.placements = nil, newPlacements()
			c, _ := f.Choose(prompt(key, 9), now.Add(3*time.Minute))
			So(c.FetchFrom, ShouldNotEqual, owner.Worker.Address)
		})
	}
}

// Guards against routers that all send their next requests to the workers that are taken
// back, since these are idle.
func TestReturnAfterAnEvacuation(t *testing.T) {
	const routers, workersListed, perSecond = 85, 9, 510 // each router sends 6 requests a second
	Convey("Returned workers get about the mean share at first, however few requests a router has", t, func() {
		now := time.Unix(1_000_000, 0)
		var fleets []*Fleet
		for range routers {
			f := New(Config{Domain: "a", LoadBound: 2, MinRouters: 1})
			f.Apply(&WorkerList{Version: 1, At: now, Workers: domainWorkers(workersListed)})
			f.SetEvacuated([]string{"b"}, now)
			for _, w := range f.byID { // the others are loaded
				if w.FailureDomain != "b" {
					f.RecordLoad(w, 20, 0, now.Add(time.Minute))
				}
			}
			f.SetEvacuated(nil, now.Add(time.Minute))
			fleets = append(fleets, f)
		}
		now = now.Add(time.Minute)
		received := map[string]int{}
		for i := range perSecond {
			at := now.Add(time.Duration(i) * time.Second / perSecond)
			c, ok := fleets[i%routers].Choose(Request{Upstream: testUpstream}, at)
			So(ok, ShouldBeTrue)
			received[c.Worker.ID]++
		}
		for _, w := range domainWorkers(workersListed) {
			if w.FailureDomain == "b" { // four deviations above the mean
				So(received[w.ID], ShouldBeBetween, 20, perSecond/workersListed+30)
			}
		}
		later, _ := fleets[0].Choose(Request{Upstream: testUpstream}, now.Add(returnPeriod))
		So(later.Worker.FailureDomain, ShouldEqual, "b")
	})
	Convey("They get all requests if there is no other worker", t, func() {
		now := time.Unix(1_000_000, 0)
		f := New(Config{Domain: "a", LoadBound: 2, MinRouters: 1, Random: func(n int) int { return n - 1 }})
		f.Apply(&WorkerList{Version: 1, At: now, Workers: domainWorkers(2)})
		f.SetEvacuated([]string{"b"}, now)
		f.SetEvacuated(nil, now)
		c, ok := f.Choose(Request{Upstream: testUpstream, Tried: []*Worker{f.Worker("engine-0")}}, now)
		So(ok, ShouldBeTrue)
		So(c.Worker.ID, ShouldEqual, "engine-1")
	})
}

// Guards against an upstream that lost a failure domain and seems to have free places
// because the slots of workers that get nothing are counted.
func TestUsableSlots(t *testing.T) {
	Convey("Slots of evacuated and unreachable workers are no places", t, func() {
		now := time.Unix(1000, 0)
		f := New(Config{Domain: "a", LoadBound: 2})
		list := &WorkerList{Version: 1, At: now}
		for _, domain := range []string{"a", "b", "c"} {
			list.Workers = append(list.Workers, WorkerInfo{ID: "w-" + domain, Upstream: "desk", Address: "10.0.0.1:1", FailureDomain: domain, Slots: 6})
		}
		f.Apply(list)
		So(f.UsableSlots(), ShouldResemble, map[string]int{"desk": 18})
		f.SetEvacuated([]string{"b"}, now)
		So(f.UsableSlots(), ShouldResemble, map[string]int{"desk": 12})
		f.SetUnreachable(f.Worker("w-c"), true)
		So(f.UsableSlots(), ShouldResemble, map[string]int{"desk": 6})
	})
}
