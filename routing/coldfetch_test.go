package routing

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against parts that are read again: a cold worker has passed its prompts on, and
// a router that takes it for their owner fetches from it what it does not have.
func TestFetchAroundAColdTime(t *testing.T) {
	Convey("A prompt at the next preference of a cold worker is not fetched from that worker", t, func() {
		now := time.Unix(1000, 0)
		f := New(Config{Domain: "a", LoadBound: 2, ColdOver: 1.5, ColdSlack: 5, MaxRouters: 85})
		f.ConfigureUpstreams(map[string]UpstreamConfig{testUpstream: {ColdStart: coldTime, ColdRate: coldWorkerRate}})
		f.RecordFleetSize(85, FleetSize{Routers: 85}, now)
		list := &WorkerList{Version: 1, At: now, Workers: []WorkerInfo{{ID: "w1", Upstream: testUpstream, Address: "10.0.0.1:1"}, {ID: "w2", Upstream: testUpstream, Address: "10.0.0.2:1"}}}
		f.Apply(list)
		cold, warm := f.Worker("w1"), f.Worker("w2")
		key := uint64(1) // a prompt whose first preference is the cold worker
		for c := (Choice{Worker: warm, PreferenceIndex: 1}); f.formerOwner(key, c, now) != cold; key++ {
			So(key, ShouldBeLessThan, 1000)
		}
		So(f.RecordCold(cold, coldTime, now), ShouldBeTrue)
		So(f.formerOwner(key, Choice{Worker: warm, PreferenceIndex: 1}, now.Add(time.Second)), ShouldBeNil)
		Convey("and one that returns to it is fetched from the next preference", func() {
			So(f.formerOwner(key, Choice{Worker: cold}, now.Add(coldTime+time.Second)), ShouldEqual, warm)
		})
		Convey("also shortly after the rise of its rate has ended", func() {
			f.ColdState(now)
			end := now.Add(coldTime + 10*time.Second)
			f.ColdState(end)
			So(f.formerOwner(key, Choice{Worker: warm, PreferenceIndex: 1}, end.Add(time.Second)), ShouldBeNil)
			So(f.formerOwner(key, Choice{Worker: warm, PreferenceIndex: 1}, end.Add(ownerAge)), ShouldEqual, cold)
		})
	})
}
