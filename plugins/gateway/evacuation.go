package gateway

import (
	"errors"
	"net/http/httptrace"
	"time"

	"github.com/auburnlead/auburnlead/routing"
)

// The operator evacuates failure domains. Their workers are in no pool, so that no choice
// names them; a request that was given to one of them just before is withheld when it has
// got its connection, which may take two connection timeouts after the choice.

// reasonEvacuated is the reason of requests that no worker may get.
const reasonEvacuated = "failure domains are evacuated"

// errEvacuated is the error of an attempt whose worker was evacuated before anything was
// sent.
var errEvacuated = errors.New("gateway: the worker's failure domain was evacuated after it was chosen; nothing was sent, another worker may run the request")

// applyEvacuations applies the set of evacuated failure domains.
func (g *Gateway) applyEvacuations(domains []string) {
	changes := g.fleet.SetEvacuated(domains, time.Now())
	g.evacuatedDomains.Update(float64(len(domains)))
	g.room.setUpstreams()
	for _, c := range changes {
		g.logDomainChange(c)
	}
	// Whether the router is on the minority side of a partition depends on the domains
	// that may get requests; what was found with others does not count.
	g.isolation.forget()
	g.updateIsolation()
}

func (g *Gateway) logDomainChange(c routing.Change) {
	g.decisions.logChange("failure domain "+c.Kind, "failure_domain", c.Domain, "workers", c.Workers)
}

// withholdEvacuated blocks the connection of an attempt whose worker has been evacuated
// since it was chosen, and reports whether it did.
func (g *Gateway) withholdEvacuated(w *routing.Worker, info httptrace.GotConnInfo) (connHistory, bool) {
	if !g.fleet.IsEvacuated(w) {
		return connHistory{}, false
	}
	c := info.Conn.(*workerConn)
	c.blocked.Store(true)
	return connHistory{conn: c, number: c.number, reused: info.Reused, withheld: true, evacuated: true}, true
}

// evacuationRefusal is that of a request all of whose workers are in evacuated failure
// domains.
var evacuationRefusal = routerRefusal{reason: reasonEvacuated, counter: "evacuation_refusals", least: retryAfterNoWorker / 2, spread: retryAfterNoWorker / 2}
