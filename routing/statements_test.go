package routing

import (
	"slices"
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"github.com/auburnlead/auburnlead/gossip"
)

// listOf returns a list of n workers of upstream u, started at the given time.
func listOf(now time.Time, n int, startedAtMs int64) *WorkerList {
	list := &WorkerList{Version: now.UnixNano(), At: now}
	for i := range n {
		id := strconv.Itoa(i)
		list.Workers = append(list.Workers, WorkerInfo{ID: id, Upstream: "u", Address: "10.0.0.1:" + id, FailureDomain: "a", Slots: 8, StartedAtMs: startedAtMs})
	}
	return list
}

func newStatementFleet() *Fleet {
	return New(Config{Domain: "a", LoadBound: 2, LeavingGrace: 2 * time.Second, MaxPause: time.Hour})
}

// Guards against requests to a worker that wants none, against statements that outlast
// the process or are lost with its registration, and against pauses that are cut short.
func TestStatements(t *testing.T) {
	now := time.Unix(1700000000, 0)
	choose := func(f *Fleet, at time.Time, parts ...PromptPart) string {
		c, ok := f.Choose(Request{Upstream: "u", SharedParts: parts}, at)
		if !ok {
			return ""
		}
		f.RecordEnd(c, true, at)
		return c.Worker.ID
	}
	Convey("A worker that leaves gets no requests while another one can be chosen", t, func() {
		f := newStatementFleet()
		f.Apply(listOf(now, 2, 7))
		So(f.RecordLeaving(f.Worker("0"), now), ShouldBeTrue)
		So(f.RecordLeaving(f.Worker("0"), now.Add(time.Second)), ShouldBeFalse)
		So(f.AcceptsRequests(f.Worker("0")), ShouldBeFalse)
		for i := range 20 {
			So(choose(f, now, PromptPart{ID: uint64(i), Tokens: 9}), ShouldEqual, "1")
		}
		Convey("Where it is the last one it gets them for the grace", func() {
			f.RecordLeaving(f.Worker("1"), now.Add(time.Second))
			So(choose(f, now.Add(1900*time.Millisecond)), ShouldNotBeEmpty)
			So(choose(f, now.Add(2900*time.Millisecond)), ShouldEqual, "1")
			So(choose(f, now.Add(3*time.Second)), ShouldBeEmpty)
		})
		Convey("A new process of the same ID gets requests", func() {
			f.Apply(listOf(now, 1, 8))
			So(choose(f, now.Add(time.Minute)), ShouldEqual, "0")
		})
		Convey("The same process is still known after its registration was missing", func() {
			f.Apply(listOf(now.Add(time.Second), 0, 7))
			f.Apply(listOf(now.Add(time.Minute), 2, 7))
			So(choose(f, now.Add(time.Minute)), ShouldEqual, "1")
			f.Apply(listOf(now.Add(2*time.Minute), 0, 7))
			f.Apply(listOf(now.Add(2*time.Minute+statementTTL), 2, 7))
			So(f.AcceptsRequests(f.Worker("0")), ShouldBeTrue)
		})
	})
	Convey("What an unlisted worker says counts when the same process is listed again", t, func() {
		f := newStatementFleet()
		f.Apply(listOf(now, 2, 7))
		leaving, paused := f.Worker("0"), f.Worker("1")
		f.Apply(listOf(now, 0, 7))
		f.RecordLeaving(leaving, now)
		f.Apply(listOf(now.Add(time.Second), 2, 7))
		So(choose(f, now.Add(time.Second)), ShouldEqual, "1")
		f.RecordPause(paused, time.Minute, now.Add(time.Second)) // the response to a request of before
		So(choose(f, now.Add(3*time.Second)), ShouldBeEmpty)
	})
	Convey("A paused worker gets no requests until the latest end that it named", t, func() {
		f := newStatementFleet()
		f.Apply(listOf(now, 1, 7))
		w := f.Worker("0")
		until, started := f.RecordPause(w, 4*time.Second, now)
		So(started, ShouldBeTrue)
		So(until, ShouldEqual, now.Add(4*time.Second))
		_, started = f.RecordPause(w, time.Second, now.Add(time.Second))
		So(started, ShouldBeFalse)
		So(choose(f, now.Add(3999*time.Millisecond)), ShouldBeEmpty)
		wait, paused := f.NextOpening("u", now.Add(time.Second))
		So(wait, ShouldEqual, 3*time.Second)
		So(paused, ShouldEqual, 1)
		So(choose(f, now.Add(4*time.Second)), ShouldEqual, "0")
		Convey("A very long one ends at the limit", func() {
			until, _ = f.RecordPause(w, 10000*time.Hour, now)
			So(until, ShouldEqual, now.Add(time.Hour))
		})
		Convey("It ends with the process", func() {
			f.RecordPause(w, time.Hour, now)
			f.Apply(listOf(now, 1, 8))
			So(choose(f, now), ShouldEqual, "0")
		})
	})
	Convey("Among workers that are not all paused there is no time to wait for", t, func() {
		f := newStatementFleet()
		f.Apply(listOf(now, 2, 7))
		f.RecordPause(f.Worker("0"), time.Second, now)
		_, paused := f.NextOpening("u", now)
		So(paused, ShouldEqual, 0)
	})
	Convey("A worker that resumes gets its share and not all requests at once", t, func() {
		f := newStatementFleet()
		f.Apply(listOf(now, 4, 7))
		f.RecordPause(f.Worker("0"), time.Second, now)
		counts := map[string]int{}
		for i := range 400 { // for 4 s, each request stays
			at := now.Add(time.Duration(i) * 10 * time.Millisecond)
			c, ok := f.Choose(Request{Upstream: "u"}, at)
			So(ok, ShouldBeTrue)
			if since := at.Sub(now); since >= time.Second && since < 2*time.Second {
				counts[c.Worker.ID]++
			}
		}
		So(counts["0"], ShouldBeBetweenOrEqual, 20, 26)
	})
	Convey("The statements of unlisted workers are bounded", t, func() {
		f := newStatementFleet()
		f.Apply(listOf(now, maxDeparted+10, 7))
		for _, w := range f.byID {
			f.RecordPause(w, time.Hour, now)
		}
		f.Apply(listOf(now, 0, 7))
		So(len(f.departed), ShouldBeLessThanOrEqualTo, maxDeparted)
	})
}

// Guards against a request to a worker that leaves or is paused, and against one that
// is refused or goes to a worker that another router has to spare while others are free,
// in any order of statements, lists, restarts, freezes of the router and requests.
func TestStatementsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const workers = 3
		now := time.Unix(1700000000, 0)
		f := newStatementFleet()
		startedAt := [workers]int64{1, 1, 1}
		listed := [workers]bool{true, true, true}
		leaving, paused, elsewhere := map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
		apply := func() {
			list := &WorkerList{Version: now.UnixNano(), At: now}
			for i, w := range listOf(now, workers, 0).Workers {
				if w.StartedAtMs = startedAt[i]; listed[i] {
					list.Workers = append(list.Workers, w)
				}
			}
			f.Apply(list)
		}
		apply()
		process := func(i int) string { return strconv.Itoa(i) + "/" + strconv.FormatInt(startedAt[i], 10) }
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, workers-1).Draw(t, "worker")
			w := f.Worker(strconv.Itoa(i))
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				if w != nil {
					f.RecordLeaving(w, now)
					if _, ok := leaving[process(i)]; !ok {
						leaving[process(i)] = now
					}
				}
			case 1:
				if w != nil {
					d := time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause")) * time.Millisecond
					f.RecordPause(w, d, now)
					if end := now.Add(d); end.After(paused[process(i)]) {
						paused[process(i)] = end
					}
				}
			case 2:
				startedAt[i]++
				apply()
			case 3:
				listed[i] = !listed[i]
				delete(elsewhere, process(i)) // kept for listed workers only
				apply()
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "frozen")) * time.Second)
			case 5:
				if w != nil {
					end := now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "shared")) * time.Millisecond)
					f.RecordSharedPauses([]Pause{{gossip.WorkerHash(w.ID), end, maxPauseHops}}, now)
					if end.After(elsewhere[process(i)]) {
						elsewhere[process(i)] = end
					}
				}
			default:
				r := Request{Upstream: "u"}
				if w != nil && rapid.Bool().Draw(t, "repeat") {
					r.Tried = append(r.Tried, w)
				}
				c, ok := f.Choose(r, now)
				free, preferred := 0, 0
				for j := range workers {
					since, leaves := leaving[process(j)]
					open := listed[j] && !now.Before(paused[process(j)])
					if open && !leaves && !slices.Contains(r.Tried, f.Worker(strconv.Itoa(j))) {
						free++
						// A worker that has just resumed gets its share only.
						if !now.Before(elsewhere[process(j)]) && now.Sub(paused[process(j)]) >= resumePeriod {
							preferred++
						}
					}
					if !ok || c.Worker.ID != strconv.Itoa(j) {
						continue
					}
					if !open {
						t.Fatalf("worker %s got a request although it is paused or gone", process(j))
					}
					if leaves && now.Sub(since) >= 2*time.Second {
						t.Fatalf("worker %s got a request %v after it said that it leaves", process(j), now.Sub(since))
					}
					if leaves && c.Reason != ReasonLeaving {
						t.Fatalf("worker %s leaves and was chosen as %s", process(j), c.Reason)
					}
				}
				if !ok && free > 0 {
					t.Fatalf("no worker was chosen of %d", free)
				}
				if ok && free > 0 && c.Reason == ReasonLeaving {
					t.Fatal("a worker that leaves was chosen before another one")
				}
				if ok && preferred > 0 && now.Before(elsewhere[c.Worker.ID+"/"+strconv.FormatInt(c.Worker.StartedAtMs, 10)]) {
					t.Fatalf("worker %s was chosen although another router has to spare it", c.Worker.ID)
				}
				if ok {
					f.RecordEnd(c, true, now)
				}
			}
		}
	})
}
