package gateway

import (
	"net/http"
	"sync"
	"time"
)

// A partition can leave a router with the workers of its own failure domain
// only. These have a part of the prompts, and some upstreams have none there,
// while routers on the other side reach most workers. Such a router reports
// not ready, so that the load balancer sends callers to the others. It serves
// what still comes: a load balancer without ready routers uses all.

// partReach is the part whose readiness tells of a partition.
const partReach = "reach"

// isolation is whether this router is on the smaller side of a partition.
type isolation struct {
	mu    sync.Mutex  // level 55
	since time.Time   // zero if it is not
	most  time.Time   // when other failure domains last had most of the listed workers
	end   *time.Timer // of isolationMemory
}

// isolationMemory is the time for which a router stays isolated when the list
// loses the workers of other failure domains. In a partition their
// registrations lapse although they go on serving; the time is about that of
// a failure domain's restart.
const isolationMemory = time.Minute

// noteReach takes over a change of what can be reached. Isolated is a router
// that reaches no worker of another failure domain although these have more
// than half of the workers; of two sides of a partition at most one is.
func (g *Gateway) noteReach() {
	g.isolation.mu.Lock()
	defer g.isolation.mu.Unlock()
	now := time.Now()
	listed, reached, all := g.fleet.RemoteReachability()
	was := !g.isolation.since.IsZero()
	isolated := reached == 0 && 2*listed > all
	if isolated {
		g.isolation.most = now
	} else if left := isolationMemory - now.Sub(g.isolation.most); was && reached == 0 && left > 0 {
		isolated = true
		if g.isolation.end != nil {
			g.isolation.end.Stop()
		}
		g.isolation.end = time.AfterFunc(left, g.noteReach)
	}
	if isolated == was {
		return
	}
	if isolated {
		g.isolation.since = now
		g.readiness.SetReady(partReach, false, "no worker of another failure domain can be reached")
	} else {
		g.isolation.since = time.Time{}
		g.readiness.SetReady(partReach, true, "")
	}
	g.decisions.change("isolation changed", "isolated", isolated, "failure_domain", g.identity.FailureDomain, "workers", all, "elsewhere", listed, "elsewhere_reached", reached)
}

// redirect has a caller of an isolated router open a new connection for its
// next request, once the load balancer has had the time to notice.
func (g *Gateway) redirect(h http.Header) {
	g.isolation.mu.Lock()
	since := g.isolation.since
	g.isolation.mu.Unlock()
	if !since.IsZero() && time.Since(since) >= g.settings.DrainDelay {
		h.Set("Connection", "close")
	}
}
