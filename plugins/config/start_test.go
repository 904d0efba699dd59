package config

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/fx/fxtest"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/publish"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// largeSet returns an object set with 1,100 workers, the target size, and 1,000
// callers.
func largeSet() *objects.Set {
	s := objects.NewSet()
	s.Ranks["urgent"] = &objects.Rank{Name: "urgent", TargetWait: time.Second, MaxDuration: time.Minute, QueueLimit: 200}
	s.Models["m"] = &objects.Model{Name: "m", Weights: "m/1", ContextTokens: 8192}
	u := &objects.Upstream{Name: "pool", Kind: objects.UpstreamEngine, Models: []string{"m"}, LoadBound: 1.25, MaxInFlight: 16}
	for i := range 1100 {
		u.Workers = append(u.Workers, objects.Worker{ID: fmt.Sprintf("e%04d", i), FailureDomain: "d", URL: fmt.Sprintf("http://10.0.%d.%d:9000", i/250, i%250)})
	}
	s.Upstreams["pool"] = u
	for i := range 1000 {
		name := fmt.Sprintf("caller-%04d", i)
		s.Callers[name] = &objects.Caller{Name: name, KeySHA256: fmt.Sprintf("%064x", i), Ranks: []string{"urgent"}, DefaultRank: "urgent", Models: []string{"m"}, Weight: 1}
	}
	return s
}

// fakePeers fetches objects from up to three other routers, like the peer
// plug-in.
type fakePeers struct {
	all  []*testRouter
	self int // index of the router that fetches
}

func (p fakePeers) FetchObject(_ context.Context, digest string) ([]byte, error) {
	for i := 1; i <= 3; i++ {
		if body, ok := p.all[(p.self+i*37)%len(p.all)].Object(digest); ok {
			return body, nil
		}
	}
	return nil, &store.NotFoundError{Name: digest}
}

// routersPerPool is the number of routers that share a background pool, because
// the race detector limits the number of goroutines. One pool is enough for them,
// since a router has at most two polls at a time.
const routersPerPool = 4

// startRouters starts n routers at the same time.
func startRouters(t *testing.T, p *storetest.Platform, n int) []*testRouter {
	var all []*testRouter
	for i := range n {
		if i%routersPerPool != 0 {
			all = append(all, newRouterWith(fmt.Sprint("r", i), p, all[i-1].lc, all[i-1].jobs))
			continue
		}
		lc := fxtest.NewLifecycle(quietT{t})
		all = append(all, newRouterWith(fmt.Sprint("r", i), p, lc, core.NewBackgroundPool(lc)))
	}
	for i, r := range all {
		r.setPeers(fakePeers{all, i})
	}
	for i := 0; i < n; i += routersPerPool {
		all[i].lc.RequireStart()
	}
	return all
}

// quietT discards the log of the lifecycle's hooks.
type quietT struct{ *testing.T }

func (quietT) Logf(string, ...any) {}

// Guards against a start of the whole fleet that exceeds the platform's limit
// of reads per second. Prints the reads of each second. Under the race detector
// the size of the fleet and the limit are a tenth.
func TestFleetStart(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) { testFleetStart(t, delay) })
	}
}

// testFleetStart starts 400 routers with a platform that delays each request
// and each reply.
func testFleetStart(t *testing.T, delay time.Duration) {
	Convey(fmt.Sprintf("400 routers that start together make at most 2,000 reads a second at a delay of %v", delay), t, func() {
		p := storetest.New(storetest.Options{Now: time.Now})
		publisher := publish.Publisher{Table: p, Objects: p.Objects()}
		_, err := publisher.Submit(context.Background(), publish.Submission{Set: largeSet(), Token: "t", Author: "a", Now: time.Now()})
		So(err, ShouldBeNil)
		slow := func(context.Context, storetest.Call) { <-time.After(delay) }
		p.SetFaults(storetest.Faults{ReadsPerSecond: 2000 / fleetScale, Delay: slow})
		all := startRouters(t, p, 400/fleetScale)
		maxReads, ready := int64(0), 0
		for second := 1; second <= 40 && ready < len(all); second++ {
			before := p.Stats()
			sleep(time.Second)
			now := p.Stats()
			ready = 0
			for _, r := range all {
				if r.revision() > 0 {
					ready++
				}
			}
			maxReads = max(maxReads, now.Reads-before.Reads)
			t.Logf("second %d: %d reads, %d refused, %d routers ready", second, now.Reads-before.Reads, now.Refused-before.Refused, ready)
		}
		for i := 0; i < len(all); i += routersPerPool {
			all[i].lc.RequireStop()
		}
		So(ready, ShouldEqual, len(all))
		So(p.Stats().Refused, ShouldEqual, 0)
		So(maxReads, ShouldBeLessThanOrEqualTo, 2000/fleetScale)
	})
}
