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

// reportBytes bounds a load report.
const reportBytes = 64 << 10

// pollConcurrency bounds the load reports that are read at one time.
const pollConcurrency = 16

// Load reads the load report of a worker. Errors: *core.AttemptError.
func (c *Client) Load(ctx context.Context, upstream, worker string) (core.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.LoadTimeout)
	defer cancel()
	u, err := c.target(upstream, worker, "/v1/load")
	if err != nil {
		return core.LoadReport{}, notRun(err)
	}
	response, err := c.roundTrip(request(ctx, http.MethodGet, u, nil), time.Time{})
	if err != nil {
		return core.LoadReport{}, err
	}
	if response.StatusCode != http.StatusOK {
		return core.LoadReport{}, refused(response)
	}
	return readReport(response)
}

// reach checks that a worker without load reports accepts connections.
func (c *Client) reach(ctx context.Context, upstream, worker string) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.LoadTimeout)
	defer cancel()
	u, err := c.target(upstream, worker, "")
	if err != nil {
		return notRun(err)
	}
	conn, err := c.transport.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return notRun(err)
	}
	return conn.Close()
}

// pollParams are the parts that the polls use. Without WorkerHealthSink nobody
// wants the reports and nothing is polled.
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
	s := &poller{client: p.Client, health: p.Health, domain: p.Identity.FailureDomain}
	poll := func(ctx context.Context) { s.poll(ctx, p.Config.Current()) }
	p.Lifecycle.Append(fx.Hook{OnStart: func(context.Context) error {
		p.Background.Every(p.Settings.LoadPoll, 0.1, poll)
		return nil
	}})
}

// poller reads the load of workers and tells health which of them answer.
type poller struct {
	client *Client
	health core.WorkerHealthSink
	domain string
}

// poll reads the load of the workers that health wants, or of all workers of
// the failure domain when it does not say. Workers that do not report load are
// only checked for whether they accept connections.
func (s *poller) poll(ctx context.Context, revision *core.ConfigRevision) {
	if revision == nil {
		return
	}
	slots := make(chan struct{}, pollConcurrency)
	var wg sync.WaitGroup
	for _, u := range revision.Set.Upstreams {
		for _, w := range u.Workers {
			if !s.wanted(u.Name, w) {
				continue
			}
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				s.look(ctx, u, w.ID)
			})
		}
	}
	wg.Wait()
}

func (s *poller) wanted(upstream string, w objects.Worker) bool {
	if interest, ok := s.health.(core.LoadFilter); ok {
		return interest.WantsLoad(upstream, w.ID)
	}
	return w.FailureDomain == s.domain
}

// look polls one worker and passes on what it shows.
func (s *poller) look(ctx context.Context, u *objects.Upstream, worker string) {
	var report core.LoadReport
	var err error
	if u.ReportsLoad {
		report, err = s.client.Load(ctx, u.Name, worker)
	} else {
		err = s.client.reach(ctx, u.Name, worker)
	}
	if ctx.Err() != nil {
		return // the router stops
	}
	if err != nil {
		s.health.WorkerUnanswered(u.Name, worker, errors.Is(err, syscall.ECONNREFUSED))
		return
	}
	s.health.WorkerLoad(u.Name, worker, report)
}
