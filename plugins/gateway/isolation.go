package gateway

import (
	"net/http"
	"sync"
	"time"
)

// During a partition a router may reach only the workers of its own failure
// domain. These have only some of the cached prompts, and some upstreams have
// no workers there, while routers on the other side reach most workers. Such a
// router reports not ready, so that the load balancer sends callers to the
// others. It still serves the requests that arrive: a load balancer without
// ready routers uses all of them.

// componentReach is the component that becomes not ready while the router is
// isolated.
const componentReach = "reach"

// isolation records whether this router is on the minority side of a partition.
type isolation struct {
	mu                 sync.Mutex  // lock level 55, see internal/core/lockorder.go
	since              time.Time   // zero if the router is not isolated
	lastOnMinoritySide time.Time   // when this router was last found on the minority side
	expiry             *time.Timer // runs updateIsolation at the end of isolationGracePeriod
}

// isolationGracePeriod is how long a router stays isolated after the workers of
// other failure domains disappear from the worker list. During a partition
// their registrations expire although the workers keep serving. The period is
// about the time that the restart of a failure domain takes.
const isolationGracePeriod = time.Minute

// forget lets the next updateIsolation decide without isolationGracePeriod.
func (i *isolation) forget() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastOnMinoritySide = time.Time{}
}

// updateIsolation re-evaluates isolation after a change of which workers are
// listed, reachable or evacuated. A router is isolated if it reaches no worker of another
// failure domain although the other domains have more than half of the workers.
// At most one side of a partition can be isolated.
func (g *Gateway) updateIsolation() {
	g.isolation.mu.Lock()
	defer g.isolation.mu.Unlock()
	now := time.Now()
	remoteListed, remoteReachable, allListed := g.fleet.RemoteReachability()
	wasIsolated := !g.isolation.since.IsZero()
	isolated := remoteReachable == 0 && 2*remoteListed > allListed
	if isolated {
		g.isolation.lastOnMinoritySide = now
	} else if left := isolationGracePeriod - now.Sub(g.isolation.lastOnMinoritySide); wasIsolated && remoteReachable == 0 && left > 0 {
		isolated = true
		if g.isolation.expiry != nil {
			g.isolation.expiry.Stop()
		}
		g.isolation.expiry = time.AfterFunc(left, g.updateIsolation)
	}
	if isolated == wasIsolated {
		return
	}
	if isolated {
		g.isolation.since = now
		g.readiness.SetReady(componentReach, false, "no worker of another failure domain can be reached")
	} else {
		g.isolation.since = time.Time{}
		g.readiness.SetReady(componentReach, true, "")
	}
	g.decisions.logChange("isolation changed", "isolated", isolated, "failure_domain", g.identity.FailureDomain, "workers", allListed, "elsewhere", remoteListed, "elsewhere_reached", remoteReachable)
}

// closeIfIsolated makes the caller of an isolated router open a new connection
// for its next request, once the load balancer has had time to notice the
// isolation.
func (g *Gateway) closeIfIsolated(h http.Header) {
	g.isolation.mu.Lock()
	since := g.isolation.since
	g.isolation.mu.Unlock()
	if !since.IsZero() && time.Since(since) >= g.settings.DrainDelay {
		h.Set("Connection", "close")
	}
}
