package upstream

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
)

// reportBytes bounds a load report.
const reportBytes = 64 << 10

// pollConcurrency bounds the load reports that are read at one time.
const pollConcurrency = 16

// Load reads the load report of a worker. Errors: *core.AttemptError.
func (c *Client) Load(ctx context.Context, upstream, worker string) (core.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.LoadTimeout)
	defer cancel()
	var report core.LoadReport
	u, err := c.target(upstream, worker, "/v1/load")
	if err != nil {
		return report, notRun(err)
	}
	response, err := c.roundTrip(request(ctx, http.MethodGet, u, nil), time.Time{})
	if err != nil {
		return report, err
	}
	if response.StatusCode != http.StatusOK {
		return report, refused(response)
	}
	defer response.Body.Close()
	body, err := readBounded(response, reportBytes)
	if err == nil {
		err = json.Unmarshal(body, &report)
	}
	if err != nil {
		return core.LoadReport{}, unknown(fmt.Errorf("load report: %w", err))
	}
	return report, nil
}

// pollParams are the parts that the polls use. Without HealthReports nobody
// wants the reports and nothing is polled.
type pollParams struct {
	fx.In

	Client     *Client
	Settings   *Settings
	Config     core.Config
	Identity   core.Identity
	Background *core.Background
	Lifecycle  fx.Lifecycle
	Health     core.HealthReports `optional:"true"`
}

func startPolls(p pollParams) {
	if p.Health == nil {
		return
	}
	poll := func(ctx context.Context) {
		p.Client.pollLoads(ctx, p.Config.Current(), p.Identity.FailureDomain, p.Health)
	}
	p.Lifecycle.Append(fx.Hook{OnStart: func(context.Context) error {
		p.Background.Every(p.Settings.LoadPoll, 0.1, poll)
		return nil
	}})
}

// pollLoads reads the load of the workers that health wants, or of all
// reporting workers of the failure domain when it does not say.
func (c *Client) pollLoads(ctx context.Context, revision *core.Published, domain string, health core.HealthReports) {
	if revision == nil {
		return
	}
	interest, selective := health.(core.LoadInterest)
	slots := make(chan struct{}, pollConcurrency)
	var wg sync.WaitGroup
	for name, u := range revision.Set.Upstreams {
		if !u.ReportsLoad {
			continue
		}
		for _, w := range u.Workers {
			if !wanted(w, name, domain, interest, selective) {
				continue
			}
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				report, err := c.Load(ctx, name, w.ID)
				if err != nil {
					c.log.Debug("no load report", "upstream", name, "worker", w.ID, "error", err)
					return
				}
				health.WorkerLoad(name, w.ID, report)
			})
		}
	}
	wg.Wait()
}

func wanted(w objects.Worker, upstream, domain string, interest core.LoadInterest, selective bool) bool {
	if selective {
		return interest.WantsLoad(upstream, w.ID)
	}
	return w.FailureDomain == domain
}
