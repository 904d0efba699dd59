package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/routing"
)

// Guards against responses that nobody reads and that hold all connections of a worker, and
// against ones that are broken off although their callers read, or wait for the worker.
func TestUnreadResponses(t *testing.T) {
	newExchange := func(kind objects.RouteKind) *exchange {
		return &exchange{route: &objects.Route{Kind: kind}, conn: http.NewResponseController(httptest.NewRecorder())}
	}
	Convey("Responses of a worker of which nothing was read for a time are broken off", t, func() {
		u := newUnreadResponses()
		full, other := &routing.Worker{WorkerInfo: routing.WorkerInfo{ID: "w1"}}, &routing.Worker{WorkerInfo: routing.WorkerInfo{ID: "w2"}}
		start := time.Now()
		unread, reading, waiting, stream := newExchange(objects.RouteOnce), newExchange(objects.RouteOnce), newExchange(objects.RouteOnce), newExchange(objects.RouteStream)
		for _, x := range []*exchange{unread, reading, waiting, stream} {
			u.startWrite(full, x, start)
		}
		u.startWrite(other, newExchange(objects.RouteOnce), start)
		now := start.Add(bytebudget.StallTime)
		u.startWrite(full, reading, now)
		u.endWrite(full, waiting) // its worker is slow
		So(u.breakOff(full, now.Add(-time.Millisecond)), ShouldEqual, 0)
		So(u.breakOff(full, now), ShouldEqual, 2) // unread and stream
		for _, x := range []*exchange{unread, reading, stream} {
			u.endWrite(full, x)
		}
		So(u.byWorker, ShouldHaveLength, 1)
		So(u.breakOff(other, now), ShouldEqual, 1)
	})
}
