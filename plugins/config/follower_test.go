package config

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx/fxtest"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/publish"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// testRouter is a follower with its dependencies.
type testRouter struct {
	*Follower
	ready core.Readiness
	lc    *fxtest.Lifecycle
}

func newRouter(t *testing.T, id string, client store.Client) *testRouter {
	lc := fxtest.NewLifecycle(t)
	return newRouterWith(id, client, lc, core.NewBackgroundPool(lc))
}

func newRouterWith(id string, client store.Client, lc *fxtest.Lifecycle, jobs *core.BackgroundPool) *testRouter {
	ready := core.NewReadiness()
	f := NewFollower(Params{
		Settings: &Settings{PollPeriod: 3 * time.Second, FetchTimeout: 10 * time.Second},
		Identity: core.Identity{Router: id}, Client: client, Readiness: ready, Jobs: jobs,
		Log: log.New(io.Discard), Scope: tally.NoopScope, Lifecycle: lc,
	})
	return &testRouter{f, ready, lc}
}

// start starts the router and waits for its first poll.
func (r *testRouter) start() {
	r.lc.RequireStart()
	synctest.Wait()
}

func (r *testRouter) revision() uint64 {
	if c := r.Current(); c != nil {
		return c.Revision
	}
	return 0
}

// publishRevision publishes the revision after base.
func publishRevision(p *storetest.Platform, base uint64) publish.Revision {
	set, err := objects.Load("", fmt.Appendf(nil, "[rank.urgent]\npriority = 0\nqueue_limit = %d\n", base+1))
	So(err, ShouldBeNil)
	publisher := publish.Publisher{Table: p, Objects: p.Objects()}
	r, err := publisher.Submit(context.Background(), publish.Submission{Set: set, Base: base, Token: fmt.Sprint(base), Author: "a", Now: time.Now()})
	So(err, ShouldBeNil)
	return r
}

// fakePeer fetches objects from one other router.
type fakePeer struct{ from *testRouter }

func (p fakePeer) FetchObject(_ context.Context, digest string) ([]byte, error) {
	if body, ok := p.from.Object(digest); ok {
		return body, nil
	}
	return nil, &store.NotFoundError{Name: digest}
}

// sleep advances virtual time and then waits until all goroutines are blocked.
func sleep(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// Guards against routers that are ready without a configuration, that miss or
// lose a revision, or that return to an older one.
func TestFollower(t *testing.T) {
	run := func(desc string, body func(*testing.T, *storetest.Platform)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(desc, t, func() { body(t, storetest.New(storetest.Options{Now: time.Now})) })
		})
	}
	run("A router is ready with its first revision and activates later ones within a poll period", func(t *testing.T, p *storetest.Platform) {
		r := newRouter(t, "r1", p)
		r.start()
		defer r.lc.RequireStop()
		ready, reason := r.ready.Ready()
		So(ready, ShouldBeFalse)
		So(reason, ShouldEqual, "config: no configuration has been published yet")
		publishRevision(p, 0)
		sleep(3600 * time.Millisecond) // the poll period and its jitter
		So(r.revision(), ShouldEqual, 1)
		ready, _ = r.ready.Ready()
		So(ready, ShouldBeTrue)
		publishRevision(p, 1)
		sleep(3600 * time.Millisecond)
		So(r.revision(), ShouldEqual, 2)
		So(r.Current().Set.Ranks["urgent"].QueueLimit, ShouldEqual, 2)
	})
	run("While the platform is unreachable a router gets its first revision from peers and stays ready", func(t *testing.T, p *storetest.Platform) {
		other := newRouter(t, "r2", p)
		first := publishRevision(p, 0)
		other.start()
		defer other.lc.RequireStop()
		p.SetFaults(storetest.Faults{Outage: true})
		r := newRouter(t, "r1", p)
		connectPeers(r.Follower, optionalParams{Peers: fakePeer{other}})
		r.start()
		defer r.lc.RequireStop()
		ready, _ := r.ready.Ready()
		So(ready, ShouldBeFalse)
		r.RevisionAnnounced("r2", first.Revision, first.Manifest)
		synctest.Wait()
		So(r.revision(), ShouldEqual, 1)
		sleep(time.Minute)
		ready, _ = r.ready.Ready()
		So(ready, ShouldBeTrue)
	})
	run("Announced revisions are activated at once; older ones and failed fetches change nothing", func(t *testing.T, p *storetest.Platform) {
		first, second := publishRevision(p, 0), publishRevision(p, 1)
		r := newRouter(t, "r1", p)
		var notified []uint64
		r.Subscribe(func(c *core.ConfigRevision) { notified = append(notified, c.Revision) })
		r.start()
		defer r.lc.RequireStop()
		r.RevisionAnnounced("r2", first.Revision, first.Manifest)
		r.RevisionAnnounced("r2", 9, publish.Digest([]byte("no such manifest")))
		synctest.Wait()
		So(r.revision(), ShouldEqual, 2)
		third := publishRevision(p, second.Revision)
		r.RevisionAnnounced("r1", third.Revision, third.Manifest)
		synctest.Wait()
		So(r.revision(), ShouldEqual, 3)
		So(notified, ShouldResemble, []uint64{2, 3})
		r.Subscribe(func(c *core.ConfigRevision) { notified = append(notified, 10*c.Revision) })
		So(notified, ShouldResemble, []uint64{2, 3, 30})
	})
}
