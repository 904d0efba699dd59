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

// router is one follower with the parts around it.
type router struct {
	*Follower
	ready core.Readiness
	lc    *fxtest.Lifecycle
}

func newRouter(t *testing.T, id string, client store.Client) *router {
	lc := fxtest.NewLifecycle(t)
	return newRouterWith(id, client, lc, core.NewBackgroundPool(lc))
}

func newRouterWith(id string, client store.Client, lc *fxtest.Lifecycle, jobs *core.BackgroundPool) *router {
	ready := core.NewReadiness()
	f := NewFollower(Params{
		Settings: &Settings{PollPeriod: 3 * time.Second, FetchTimeout: 10 * time.Second},
		Identity: core.Identity{Router: id}, Client: client, Readiness: ready, Jobs: jobs,
		Log: log.New(io.Discard), Scope: tally.NoopScope, Lifecycle: lc,
	})
	return &router{f, ready, lc}
}

// start starts the router and waits for its first poll.
func (r *router) start() {
	r.lc.RequireStart()
	synctest.Wait()
}

func (r *router) revision() uint64 {
	if c := r.Current(); c != nil {
		return c.Revision
	}
	return 0
}

// submit publishes the next revision.
func submit(p *storetest.Platform, base uint64) publish.Revision {
	set, err := objects.Load("", fmt.Appendf(nil, "[rank.urgent]\npriority = 0\nqueue_limit = %d\n", base+1))
	So(err, ShouldBeNil)
	publisher := publish.Publisher{Table: p, Objects: p.Objects()}
	r, err := publisher.Submit(context.Background(), publish.Submission{Set: set, Base: base, Token: fmt.Sprint(base), Author: "a", Now: time.Now()})
	So(err, ShouldBeNil)
	return r
}

// peers serves the content of another router.
type peers struct{ from *router }

func (p peers) FetchObject(_ context.Context, digest string) ([]byte, error) {
	if body, ok := p.from.Object(digest); ok {
		return body, nil
	}
	return nil, &store.NotFoundError{Name: digest}
}

// wait lets virtual time pass.
func wait(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

// Guards against routers that are ready without a configuration, that miss or
// lose a revision, or that go back to an older one.
func TestFollower(t *testing.T) {
	run := func(desc string, body func(*testing.T, *storetest.Platform)) {
		synctest.Test(t, func(t *testing.T) {
			Convey(desc, t, func() { body(t, storetest.New(storetest.Options{Now: time.Now})) })
		})
	}
	run("A router is ready with its first revision and follows within a poll", func(t *testing.T, p *storetest.Platform) {
		r := newRouter(t, "r1", p)
		r.start()
		defer r.lc.RequireStop()
		ready, reason := r.ready.Ready()
		So(ready, ShouldBeFalse)
		So(reason, ShouldEqual, "config: no configuration has been published yet")
		submit(p, 0)
		wait(3600 * time.Millisecond) // a period and its jitter
		So(r.revision(), ShouldEqual, 1)
		ready, _ = r.ready.Ready()
		So(ready, ShouldBeTrue)
		submit(p, 1)
		wait(3600 * time.Millisecond)
		So(r.revision(), ShouldEqual, 2)
		So(r.Current().Set.Ranks["urgent"].QueueLimit, ShouldEqual, 2)
	})
	run("Without the platform a router starts from its peers and stays ready", func(t *testing.T, p *storetest.Platform) {
		other := newRouter(t, "r2", p)
		first := submit(p, 0)
		other.start()
		defer other.lc.RequireStop()
		p.SetFaults(storetest.Faults{Outage: true})
		r := newRouter(t, "r1", p)
		join(r.Follower, optional{Peers: peers{other}})
		r.start()
		defer r.lc.RequireStop()
		ready, _ := r.ready.Ready()
		So(ready, ShouldBeFalse)
		r.RevisionAnnounced("r2", first.Revision, first.Manifest)
		synctest.Wait()
		So(r.revision(), ShouldEqual, 1)
		wait(time.Minute)
		ready, _ = r.ready.Ready()
		So(ready, ShouldBeTrue)
	})
	run("Announced revisions are applied at once, older and failed ones change nothing", func(t *testing.T, p *storetest.Platform) {
		first, second := submit(p, 0), submit(p, 1)
		r := newRouter(t, "r1", p)
		var told []uint64
		r.Subscribe(func(c *core.ConfigRevision) { told = append(told, c.Revision) })
		r.start()
		defer r.lc.RequireStop()
		r.RevisionAnnounced("r2", first.Revision, first.Manifest)
		r.RevisionAnnounced("r2", 9, publish.Digest([]byte("no such manifest")))
		synctest.Wait()
		So(r.revision(), ShouldEqual, 2)
		third := submit(p, second.Revision)
		r.RevisionAnnounced("r1", third.Revision, third.Manifest)
		synctest.Wait()
		So(r.revision(), ShouldEqual, 3)
		So(told, ShouldResemble, []uint64{2, 3})
		r.Subscribe(func(c *core.ConfigRevision) { told = append(told, 10*c.Revision) })
		So(told, ShouldResemble, []uint64{2, 3, 30})
	})
}
