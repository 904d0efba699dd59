package admin

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/adminapi"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/metrics"
)

func (a *API) healthz(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

func (a *API) readyz(w http.ResponseWriter, _ *http.Request) {
	ready, reason := a.params.Readiness.Ready()
	if !ready {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprintln(w, reason)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (a *API) status(context.Context, *http.Request, noBody) (adminapi.StatusResponse, error) {
	response := adminapi.StatusResponse{
		Router: a.params.Identity.Router, FailureDomain: a.params.Identity.FailureDomain,
		Addresses: a.params.Addresses.All(), Members: []core.Member{},
	}
	response.Ready, response.Reason = a.params.Readiness.Ready()
	if active := a.params.Config.Current(); active != nil {
		response.Revision, response.Manifest, response.AppliedAt = active.Revision, active.Manifest, active.AppliedAt
	}
	if a.params.Membership != nil {
		response.Members = append(response.Members, a.params.Membership.Members()...)
	}
	slices.SortFunc(response.Members, func(x, y core.Member) int { return strings.Compare(x.Router, y.Router) })
	return response, nil
}

// metrics responds with all counters, gauges and histograms in the Prometheus text
// format. The buckets of histograms are cumulative. A scope that cannot take
// snapshots gives an empty response.
func (a *API) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	source, ok := a.params.Scope.(tally.TestScope)
	if !ok {
		return
	}
	fmt.Fprint(w, metrics.Text(source.Snapshot()))
}
