package upstream

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/standin/engine"
)

// Guards against orders that are sent although Allowed returns false, with or without
// an idle connection to the worker, and against treating a refusal as success.
func TestSendOrder(t *testing.T) {
	Convey("Orders are sent to an engine that checks fencing tokens", t, func() {
		e := engine.New(engine.Settings{Models: []string{"m1"}, ChecksFencing: true})
		server := httptest.NewServer(e.Handler())
		Reset(func() { server.Close(); e.Close() })
		c := newClient(server.URL)
		allowed := true
		send := func(kind string, token uint64) (core.LoadReport, error) {
			return c.SendOrder(context.Background(), core.Order{
				Upstream: "pool", Worker: "w1", Order: kind, Model: "m2", FencingToken: token, Allowed: func() bool { return allowed },
			})
		}
		for range 2 {
			allowed = false
			_, err := send("load", 5)
			So(outcomeOf(err), ShouldEqual, core.OutcomeNotRun)
			So(e.Stats().Orders, ShouldBeEmpty)
			allowed = true
			// leaves an idle connection for the second iteration
			_, err = c.Call(context.Background(), newAttempt(), &core.ServiceRequest{Method: "GET", Path: "/v1/load"})
			So(err, ShouldBeNil)
		}
		report, err := send("load", 5)
		So(err, ShouldBeNil)
		So(report.Models, ShouldResemble, []string{"m1", "m2"})
		So(report.FencingToken, ShouldEqual, 5)
		_, err = send("unload", 4)
		var refusal *core.AttemptError
		So(errors.As(err, &refusal), ShouldBeTrue)
		So(refusal.Status, ShouldEqual, 409)
		So(e.LoadReport().Models, ShouldResemble, []string{"m1", "m2"})
		_, err = send("dance", 5)
		So(outcomeOf(err), ShouldEqual, core.OutcomeUnknown)
	})
}
