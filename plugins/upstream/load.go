package upstream

import (
	"context"
	"encoding/json"
	"errors"
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
	s := &sights{client: p.Client, health: p.Health, domain: p.Identity.FailureDomain, seen: map[[2]string]sight{}}
	poll := func(ctx context.Context) { s.poll(ctx, p.Config.Current()) }
	p.Lifecycle.Append(fx.Hook{OnStart: func(context.Context) error {
		p.Background.Every(p.Settings.LoadPoll, 0.1, poll)
		return nil
	}})
}

// sights polls workers and remembers which of them answer.
type sights struct {
	client *Client
	health core.HealthReports
	domain string

	mu   sync.Mutex // level 60
	seen map[[2]string]sight
}

// sight is what the last polls of a worker showed.
type sight struct {
	failures int // weight of the failed polls in a row
	last     core.LoadReport
}

// closedAfter is the weight of failed polls in a row that closes a worker. A
// refused connection weighs as much, since nothing listens there; a poll
// without an answer weighs 1, since it may just be late.
const closedAfter = 2

// poll reads the load of the workers that health wants, or of all workers of
// the failure domain when it does not say. Workers that do not report load are
// only checked for whether they accept connections.
func (s *sights) poll(ctx context.Context, revision *core.Published) {
	if revision == nil {
		return
	}
	slots := make(chan struct{}, pollConcurrency)
	var wg sync.WaitGroup
	for name, u := range revision.Set.Upstreams {
		for _, w := range u.Workers {
			if !s.wanted(name, w) {
				s.forget(name, w.ID)
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

func (s *sights) wanted(upstream string, w objects.Worker) bool {
	if interest, ok := s.health.(core.LoadInterest); ok {
		return interest.WantsLoad(upstream, w.ID)
	}
	return w.FailureDomain == s.domain
}

// look polls one worker and passes on what is known of it.
func (s *sights) look(ctx context.Context, u *objects.Upstream, worker string) {
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
	if report, tell := s.judge([2]string{u.Name, worker}, report, err); tell {
		s.health.WorkerLoad(u.Name, worker, report)
	}
}

// judge returns the report to pass on: the worker's own, or its last one marked
// as leaving when it does not answer. Otherwise a dead worker, on which nothing
// runs, would keep the mean load and with it the bound of the others low.
func (s *sights) judge(key [2]string, report core.LoadReport, err error) (core.LoadReport, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.seen[key] = sight{last: report}
		return report, true
	}
	now := s.seen[key]
	now.failures++
	var failed *core.AttemptError
	if errors.As(err, &failed) && failed.Outcome == core.OutcomeNotRun && failed.Status == 0 {
		now.failures += closedAfter
	}
	s.seen[key] = now
	if now.failures < closedAfter {
		return report, false
	}
	now.last.Leaving = true
	return now.last, true
}

func (s *sights) forget(upstream, worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.seen, [2]string{upstream, worker})
}
