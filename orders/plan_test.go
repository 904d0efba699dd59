package orders

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

func lead(token uint64) *Planner {
	p := NewPlanner(PlannerConfig{Random: func() float64 { return 0 }})
	p.SetFencingToken(at(0), token)
	return p
}

// Guards against orders from reports that say nothing about the present state,
// against unloads that leave a worker without a model, and against orders that
// overlap at one worker.
func TestNext(t *testing.T) {
	old := Order{Load, "m3", 7}
	tests := []struct {
		desc     string
		before   func(p *Planner)
		report   Report
		expected Order
	}{
		{"missing models load in the wanted order", nil, Report{RequestedAt: at(10)}, Order{Load, "m3", 7}},
		{"the second model follows", nil, Report{Models: []string{"m3"}, RequestedAt: at(10)}, Order{Load, "m2", 7}},
		{"nothing to do", nil, Report{Models: []string{"m2", "m3"}, RequestedAt: at(10)}, Order{}},
		{"a model that is not wanted goes last", nil, Report{Models: []string{"m1", "m2", "m3"}, RequestedAt: at(10)}, Order{Unload, "m1", 7}},
		{"no unload while a load is missing", nil, Report{Models: []string{"m1", "m3"}, RequestedAt: at(10)}, Order{Load, "m2", 7}},
		{"no unload while a load runs", func(p *Planner) { p.Finish(at(9), "e1", old, Accepted) }, Report{Models: []string{"m1", "m2"}, RequestedAt: at(10)}, Order{}},
		{"unload after a failed load", func(p *Planner) { p.Finish(at(10), "e1", old, Failed) }, Report{Models: []string{"m1", "m2"}, RequestedAt: at(10)}, Order{Unload, "m1", 7}},
		{"backoff after a failed load", func(p *Planner) { p.Finish(at(10), "e1", old, Failed) }, Report{Models: []string{"m2"}, RequestedAt: at(10)}, Order{}},
		{"again after the backoff", func(p *Planner) { p.Finish(at(8), "e1", old, Failed) }, Report{Models: []string{"m2"}, RequestedAt: at(10)}, Order{Load, "m3", 7}},
		{"the backoff doubles", func(p *Planner) { p.Finish(at(7), "e1", old, Failed); p.Finish(at(9), "e1", old, Failed) }, Report{Models: []string{"m2"}, RequestedAt: at(10)}, Order{}},
		{"again at once when nothing was sent", func(p *Planner) { p.Finish(at(10), "e1", old, NotSent) }, Report{Models: []string{"m2"}, RequestedAt: at(10)}, Order{Load, "m3", 7}},
		{"one order at a time", func(p *Planner) { p.Begin("e1") }, Report{RequestedAt: at(10)}, Order{}},
		{"another worker's order does not matter", func(p *Planner) { p.Begin("e2") }, Report{RequestedAt: at(10)}, old},
		{"one order at a time across leases", func(p *Planner) { p.Begin("e1"); p.SetFencingToken(at(5), 9) }, Report{RequestedAt: at(10)}, Order{}},
		{"a new lease compares again", func(p *Planner) { p.Finish(at(9), "e1", old, Accepted); p.SetFencingToken(at(9), 9) }, Report{RequestedAt: at(10)}, Order{Load, "m3", 9}},
		{"a report from before the lease", func(p *Planner) { p.SetFencingToken(at(11), 9) }, Report{RequestedAt: at(10)}, Order{}},
		{"a report from before the last order", func(p *Planner) { p.Finish(at(11), "e1", Order{Load, "m9", 7}, Accepted) }, Report{RequestedAt: at(10)}, Order{}},
		{"no lease", func(p *Planner) { p.SetFencingToken(at(9), 0) }, Report{RequestedAt: at(10)}, Order{}},
		{"a worker that has seen a newer token", nil, Report{FencingToken: 8, RequestedAt: at(10)}, Order{}},
		{"a worker that leaves", nil, Report{Leaving: true, RequestedAt: at(10)}, Order{}},
	}
	for _, test := range tests {
		Convey(test.desc, t, func() {
			p := lead(7)
			if test.before != nil {
				test.before(p)
			}
			got, _ := p.Next(at(10), "e1", []string{"m3", "m2"}, test.report)
			So(got, ShouldResemble, test.expected)
		})
	}
	Convey("An accepted load that does not show in time counts as failed", t, func() {
		p := lead(7)
		p.Finish(at(1), "e1", old, Accepted)
		wanted := []string{"m3"}
		_, ok := p.Next(at(121), "e1", wanted, Report{RequestedAt: at(121)})
		So(ok, ShouldBeFalse)
		got, _ := p.Next(at(122), "e1", wanted, Report{RequestedAt: at(122)})
		So(got, ShouldResemble, old)
	})
}
