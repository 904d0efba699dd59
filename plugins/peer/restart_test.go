package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/peerpb"
	"github.com/auburnlead/auburnlead/store"
)

// Guards against a restarted holder that grants slots although requests from
// before the restart still use them.
func TestHolderRestart(t *testing.T) {
	Convey("A restarted holder becomes the holder of its workers again and recovers the slots in use", t, func() {
		f := newFleet(t, poolSet(4, 2))
		f.settings.LeaseTime, f.settings.RenewInterval = time.Hour, time.Second
		a, b := f.start("a", "d1"), f.start("b", "d1")
		eventually(func() bool { return assignmentSettled(4, a, b) })
		user, holder := userAndHolder(a, b)
		worker := anyWorker(holder.grantableWorkers())
		slot, err := user.Acquire(context.Background(), request("one", time.Second, worker))
		So(err, ShouldBeNil)
		before := holder.grantableWorkers()
		holder.crash()
		again := f.start(holder.identity.Router, "d1")
		eventually(func() bool { return len(again.grantableWorkers()) == len(before) })
		So(accountedSlots(again, worker), ShouldEqual, 1)
		user.Release(slot, 1)
		eventually(func() bool { return accountedSlots(again, worker) == 0 })
	})
}

// Guards against a paused holder that grants slots after its lease has ended.
func TestPausedHolder(t *testing.T) {
	Convey("A holder paused beyond its lease refuses waiting requests and grants nothing", t, func() {
		f := newFleet(t, poolSet(1, 1))
		a := f.start("a", "d1")
		eventually(func() bool { return eachHeldOnce(1, a) })
		one, err := a.Acquire(context.Background(), request("one", time.Second, "w0"))
		So(err, ShouldBeNil)
		waiting := make(chan error, 1)
		go func() {
			_, err := a.Acquire(context.Background(), request("two", time.Hour, "w0"))
			waiting <- err
		}()
		eventually(func() bool { return queued(a, "pool") == 1 })
		a.table.setCutOff(true)
		a.clockOffset.Store(int64(f.settings.LeaseTime))
		a.Release(one, 1)
		var refused *core.SlotError
		So(errors.As(<-waiting, &refused), ShouldBeTrue)
		_, err = a.Acquire(context.Background(), request("three", time.Second, "w0"))
		So(errors.As(err, &refused), ShouldBeTrue)
		Convey("until it has read that the row still names it as holder", func() {
			a.table.setCutOff(false)
			eventually(func() bool { return eachHeldOnce(1, a) })
		})
	})
}

// Guards against accepting calls without the peer key, and against objects that
// are not found although a peer has them.
func TestPeerCalls(t *testing.T) {
	Convey("Given two routers", t, func() {
		f := newFleet(t, poolSet(1, 1))
		a, b := f.start("a", "d1"), f.start("b", "d2")
		eventually(func() bool { return a.hasHeardFrom("b") && b.hasHeardFrom("a") })
		Convey("a call with the wrong peer key is refused", func() {
			s := f.settings
			s.Key = "other"
			c := newConns(&s)
			defer c.close()
			client, err := c.client(a.identity.PeerAddress)
			So(err, ShouldBeNil)
			_, err = client.Exchange(context.Background(), &peerpb.View{})
			So(status.Code(err), ShouldEqual, codes.Unauthenticated)
		})
		Convey("an object is fetched from the peer that has it", func() {
			b.deps.Objects = fakeObjects{"digest": []byte("body")}
			body, err := a.FetchObject(context.Background(), "digest")
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "body")
			_, err = a.FetchObject(context.Background(), "other")
			var missing *store.NotFoundError
			So(errors.As(err, &missing), ShouldBeTrue)
		})
		Convey("a peer reports that it does not know an attempt", func() {
			state, err := peerAttempts{a.Peer}.AttemptState(context.Background(), "b", "x")
			So(err, ShouldBeNil)
			So(state, ShouldEqual, "not_known")
		})
	})
}

type fakeObjects map[string][]byte

func (o fakeObjects) Object(digest string) ([]byte, bool) {
	body, found := o[digest]
	return body, found
}

// hasHeardFrom reports whether the router has heard from another one.
func (r *router) hasHeardFrom(id string) bool {
	m, ok := r.member(id)
	return ok && !m.LastHeard.IsZero()
}
