package orders

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func newTestPlanner(token uint64) *Planner {
	p := NewPlanner(PlannerConfig{Random: func() float64 { return 0 }})
	p.SetFencingToken(at(0), token)
	return p
}

// Guards against orders based on outdated reports, against unloads that leave a
// worker without a model, and against overlapping orders to one worker.
func TestNext(t *testing.T) {
	loadM3 := Order{Load, "m3", 7}
	tests := []struct {
		desc     string
		before   func(p *Planner)
		report   Report
		expected Order
	}{
		{"missing models are loaded in the sequence of the desired models", nil, Report{RequestedAt: at(10)}, Order{Load, "m3", 7}},
		{"then the second model is loaded", nil, Report{Models: []string{"m3"}, RequestedAt: at(10)}, Order{Load, "m2", 7}},
		{"nothing to do", nil, Report{Models: []string{"m2", "m3"}, RequestedAt: at(10)}, Order{}},
		{"a model that is not desired is unloaded last", nil, Report{Models: []string{"m1", "m2", "m3"}, RequestedAt: at(10)}, Order{Unload, "m1", 7}},
		{"no unload while a desired model is missing", nil, Report{Models: []string{"m1", "m3"}, RequestedAt: at(10)}, Order{Load, "m2", 7}},
		{"no unload while a load is running", func(p *Planner) { p.Finish(at(9), "e1", loadM3, Accepted) }, Report{Models: []string{"m1", "m2"}, RequestedAt: at(10)}, Order{}},
		{"unload after a failed load", func(p *Planner) { p.Finish(at(10), "e1", loadM3, Failed) }, Report{Models: []string{"m1", "m2"}, RequestedAt: at(10)}, Order{Unload, "m1", 7}},
		{"no order during the backoff after a failed load", func(p *Planner) { p.Finish(at(10), "e1", loadM3, Failed) }, Report{Models: []string{"m2"}, RequestedAt: at(10)}, Order{}},
		{"the order is retried after the backoff", func(p *Planner) { p.Finish(at(8), "e1", loadM3, Failed) }, Report{Models: []string{"m2"}, RequestedAt: at(10)}, Order{Load, "m3", 7}},
		{"the backoff doubles", func(p *Planner) { p.Finish(at(7), "e1", loadM3, Failed); p.Finish(at(9), "e1", loadM3, Failed) }, Report{Models: []string{"m2"}, RequestedAt: at(10)}, Order{}},
		{"an order that was not sent is retried at once", func(p *Planner) { p.Finish(at(10), "e1", loadM3, NotSent) }, Report{Models: []string{"m2"}, RequestedAt: at(10)}, Order{Load, "m3", 7}},
		{"one order at a time", func(p *Planner) { p.Begin("e1") }, Report{RequestedAt: at(10)}, Order{}},
		{"an order in flight to another worker does not matter", func(p *Planner) { p.Begin("e2") }, Report{RequestedAt: at(10)}, loadM3},
		{"one order at a time across a change of the lease", func(p *Planner) { p.Begin("e1"); p.SetFencingToken(at(5), 9) }, Report{RequestedAt: at(10)}, Order{}},
		{"under a new lease the accepted order is sent again", func(p *Planner) { p.Finish(at(9), "e1", loadM3, Accepted); p.SetFencingToken(at(9), 9) }, Report{RequestedAt: at(10)}, Order{Load, "m3", 9}},
		{"no order based on a report requested before the lease was acquired", func(p *Planner) { p.SetFencingToken(at(11), 9) }, Report{RequestedAt: at(10)}, Order{}},
		{"no order based on a report requested before the last order ended", func(p *Planner) { p.Finish(at(11), "e1", Order{Load, "m9", 7}, Accepted) }, Report{RequestedAt: at(10)}, Order{}},
		{"no order if this router holds no lease", func(p *Planner) { p.SetFencingToken(at(9), 0) }, Report{RequestedAt: at(10)}, Order{}},
		{"no order to a worker that has seen a newer token", nil, Report{FencingToken: 8, RequestedAt: at(10)}, Order{}},
		{"no order to a worker that is leaving", nil, Report{Leaving: true, RequestedAt: at(10)}, Order{}},
	}
	for _, test := range tests {
		Convey(test.desc, t, func() {
			p := newTestPlanner(7)
			if test.before != nil {
				test.before(p)
			}
			got, _ := p.Next(at(10), "e1", []string{"m3", "m2"}, test.report)
			So(got, ShouldResemble, test.expected)
		})
	}
	Convey("An accepted load that no report shows in time counts as failed", t, func() {
		p := newTestPlanner(7)
		p.Finish(at(1), "e1", loadM3, Accepted)
		desired := []string{"m3"}
		_, ok := p.Next(at(121), "e1", desired, Report{RequestedAt: at(121)})
		So(ok, ShouldBeFalse)
		got, _ := p.Next(at(122), "e1", desired, Report{RequestedAt: at(122)})
		So(got, ShouldResemble, loadM3)
	})
}
