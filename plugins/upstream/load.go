package upstream

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"syscall"
	"time"

	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
)

// maxReportBytes is the maximum size of a load report.
const maxReportBytes = 64 << 10

// pollConcurrency is the maximum number of workers that are polled concurrently.
const pollConcurrency = 16

// Load reads the load report of a worker. Errors: *core.AttemptError.
func (c *Client) Load(ctx context.Context, upstream, worker string) (core.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.LoadTimeout)
	defer cancel()
	u, err := c.workerURL(upstream, worker, "/v1/load")
	if err != nil {
		return core.LoadReport{}, notRunError(err)
	}
	response, err := c.roundTrip(newRequest(ctx, http.MethodGet, u), nil, time.Time{})
	if err != nil {
		return core.LoadReport{}, err
	}
	if response.StatusCode != http.StatusOK {
		return core.LoadReport{}, statusError(response)
	}
	return readLoadReport(response)
}

// checkConnect checks that a worker accepts connections. It is used for workers
// that don't report their load.
func (c *Client) checkConnect(ctx context.Context, upstream, worker string) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.LoadTimeout)
	defer cancel()
	u, err := c.workerURL(upstream, worker, "")
	if err != nil {
		return notRunError(err)
	}
	conn, err := c.transport.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return notRunError(err)
	}
	return conn.Close()
}

// pollParams are the dependencies of the poller. Without a WorkerHealthSink nothing
// is polled.
type pollParams struct {
	fx.In

	Client     *Client
	Settings   *Settings
	Config     core.Config
	Identity   core.Identity
	Background *core.BackgroundPool
	Lifecycle  fx.Lifecycle
	Health     core.WorkerHealthSink `optional:"true"`
}

func startPolls(p pollParams) {
	if p.Health == nil {
		return
	}
	workerPoller := &poller{client: p.Client, health: p.Health, domain: p.Identity.FailureDomain}
	poll := func(ctx context.Context) { workerPoller.poll(ctx, p.Config.Current()) }
	p.Lifecycle.Append(fx.Hook{OnStart: func(context.Context) error {
		p.Background.Every(p.Settings.LoadPoll, 0.1, poll)
		return nil
	}})
}

// poller reads the load reports of workers periodically and passes them to a
// WorkerHealthSink. It also reports the workers that could not be polled.
type poller struct {
	client *Client
	health core.WorkerHealthSink
	domain string
}

// poll polls the workers that health selects if it implements core.LoadFilter,
// otherwise all workers of the failure domain. For workers that don't report
// their load, it only checks whether they accept connections.
func (p *poller) poll(ctx context.Context, revision *core.ConfigRevision) {
	if revision == nil {
		return
	}
	semaphore := make(chan struct{}, pollConcurrency)
	var wg sync.WaitGroup
	for _, u := range revision.Set.Upstreams {
		for _, w := range u.Workers {
			if !p.shouldPoll(u.Name, w) {
				continue
			}
			semaphore <- struct{}{}
			wg.Go(func() {
				defer func() { <-semaphore }()
				p.pollWorker(ctx, u, w.ID)
			})
		}
	}
	wg.Wait()
}

func (p *poller) shouldPoll(upstream string, w objects.Worker) bool {
	if filter, ok := p.health.(core.LoadFilter); ok {
		return filter.WantsLoad(upstream, w.ID)
	}
	return w.FailureDomain == p.domain
}

// pollWorker polls one worker and reports the result to health.
func (p *poller) pollWorker(ctx context.Context, u *objects.Upstream, worker string) {
	var report core.LoadReport
	var err error
	if u.ReportsLoad {
		report, err = p.client.Load(ctx, u.Name, worker)
	} else {
		err = p.client.checkConnect(ctx, u.Name, worker)
	}
	if ctx.Err() != nil {
		return // the router is shutting down
	}
	if err != nil {
		p.health.WorkerUnanswered(u.Name, worker, errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	p.health.WorkerLoad(u.Name, worker, report)
}
