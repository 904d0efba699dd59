package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
)

// Chat runs a chat completion.
func (d *Dispatcher) Chat(ctx context.Context, r *core.ChatRequest, sink core.ChatSink) error {
	d.inFlight.Add(1)
	defer d.inFlight.Add(-1)
	x := d.index.Load()
	if x == nil {
		return core.NewProblem(core.KindNotReady, "no configuration is in force yet")
	}
	pools, model := x.engines(r.Model)
	if len(pools) == 0 {
		p := core.NewProblem(core.KindUpstreamUnavailable, "no upstream serves model %s", r.Model)
		p.RetryAfter = noCapacityRetry
		return p
	}
	c := &chat{
		job: job{
			d: d, caller: r.Caller, rank: r.Rank, space: r.Workspace, deadline: r.Deadline,
			cost: r.PromptTokens + r.MaxTokens,
			plan: newPlan(chatKey(r.Caller.Name, r.Workspace, r.ChatID, r.Body), pools, d.health),
		},
		request: r,
		sink:    sink,
		body:    engineBody(r.Body, model),
		begin:   time.Now(),
	}
	return c.run(ctx, c.try)
}

// chat is a chat completion that runs.
type chat struct {
	job
	request *core.ChatRequest
	sink    core.ChatSink
	body    []byte
	begin   time.Time
	chunks  int64
	usage   *answer.Usage
	started bool
}

// sinkError says that the caller does not take the answer any more.
type sinkError struct{ err error }

func (e *sinkError) Error() string { return "the caller does not take the answer: " + e.err.Error() }
func (e *sinkError) Unwrap() error { return e.err }

// try makes one attempt, with resumptions on the same worker.
func (c *chat) try(ctx context.Context, a core.Attempt) result {
	checker := answer.NewChecker(a.ID)
	defer func() { c.d.metrics.dropped(checker.Drops()) }()
	for resumes := 0; ; resumes++ {
		sent, err := c.connect(ctx, a, checker)
		if err == nil {
			return result{sent: core.OutcomeRan, cost: c.actualCost()}
		}
		if !c.started {
			return c.unstarted(ctx, a, sent, err)
		}
		if resumes >= c.d.settings.MaxResumes || !c.resumable(ctx, err) || !c.d.budget.Allow(time.Now()) || !c.pause(ctx, resumes) {
			return c.cut(ctx, a, err)
		}
		c.d.metrics.resumes.Inc(1)
		a.LastEventID, a.SendBy = checker.LastEventID(), time.Time{}
	}
}

// connect opens one connection of the attempt and delivers its frames. sent
// says whether the attempt may run.
func (c *chat) connect(ctx context.Context, a core.Attempt, checker *answer.Checker) (sent core.Outcome, err error) {
	// The end of a finished stream is read after the request is done, so the
	// stream has a context of its own that follows ctx until then.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unfollow := context.AfterFunc(ctx, cancel)
	defer unfollow()
	frames, err := c.d.engines.Stream(streamCtx, a, c.body)
	if err != nil {
		cancel()
		var failed *core.AttemptError
		if errors.As(err, &failed) {
			return failed.Outcome, err
		}
		return core.OutcomeUnknown, err
	}
	if err := c.deliver(frames, checker, a.Worker); err != nil {
		cancel()
		_ = frames.Close() // the connection is given up
		return core.OutcomeUnknown, err
	}
	unfollow()
	c.d.drain(frames, *checker, cancel)
	return core.OutcomeRan, nil
}

// deliver passes frames on until the explicit end of the answer.
func (c *chat) deliver(frames core.FrameReader, checker *answer.Checker, worker string) error {
	for {
		f, err := frames.Next()
		if err != nil {
			return cutBy(checker, err)
		}
		verdict, err := checker.Check(f.ID, f.Data)
		switch {
		case err != nil:
			return err
		case verdict == answer.End:
			return c.start(worker) // of an answer without chunks
		case verdict == answer.Drop:
			continue
		}
		c.observe(f.Data)
		if err := c.start(worker); err != nil {
			return err
		}
		if err := c.sink.Chunk(f.Data); err != nil {
			return &sinkError{err}
		}
	}
}

// cutBy returns the error of a stream that has ended.
func cutBy(checker *answer.Checker, err error) error {
	if err == io.EOF {
		return checker.Finish(nil)
	}
	return checker.Finish(err)
}

// start tells the sink once that the answer begins.
func (c *chat) start(worker string) error {
	if c.started {
		return nil
	}
	c.started = true
	c.d.metrics.firstToken.RecordDuration(time.Since(c.begin))
	if err := c.sink.Start(worker); err != nil {
		return &sinkError{err}
	}
	return nil
}

// usageKey marks the chunk that has the token counts. Inside a JSON string the
// quotes would be escaped, so that text does not match it.
var usageKey = []byte(`"usage":{`)

// observe counts chunks and reads the token counts of the last one.
func (c *chat) observe(data []byte) {
	c.chunks++
	if !bytes.Contains(data, usageKey) {
		return
	}
	var last struct {
		Usage *answer.Usage `json:"usage"`
	}
	if json.Unmarshal(data, &last) == nil && last.Usage != nil {
		c.usage = last.Usage
	}
}

// actualCost is the cost in tokens that the attempt caused: prompt tokens that
// were not in the cache, plus generated ones. Without token counts each chunk
// counts as one generated token.
func (c *chat) actualCost() int64 {
	if c.usage == nil {
		return c.request.PromptTokens + c.chunks
	}
	return max(c.usage.PromptTokens-c.usage.CachedTokens(), 0) + c.usage.CompletionTokens
}

// unstarted judges an attempt of which the caller has received nothing. The
// request may run on another worker, since a chat completion is idempotent.
func (c *chat) unstarted(ctx context.Context, a core.Attempt, sent core.Outcome, err error) result {
	r := result{err: err, sent: sent, retry: true, faulty: true}
	var failed *core.AttemptError
	if errors.As(err, &failed) && failed.Status != 0 {
		r.retry = failed.Outcome == core.OutcomeNotRun || failed.Status >= 500
		r.faulty = r.retry && failed.Outcome != core.OutcomeNotRun
	}
	if sent != core.OutcomeNotRun {
		r.cancel = true
		r.cost = c.request.PromptTokens
	}
	if ctx.Err() != nil {
		r.faulty = false // the deadline passed or the caller went away
	}
	return r
}

// resumable reports whether a started answer can be taken up again.
func (c *chat) resumable(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	var gone *sinkError
	var tooLong *answer.LimitError
	var failed *core.AttemptError
	switch {
	case errors.As(err, &gone), errors.As(err, &tooLong):
		return false
	case errors.As(err, &failed):
		// A status is the worker's own word; anything else may pass.
		return failed.Status == 0 || failed.Status >= 500
	}
	return true
}

// cut ends an answer that has started and cannot be completed by this attempt.
// It starts anew on another worker when the caller has received nothing yet.
func (c *chat) cut(ctx context.Context, a core.Attempt, err error) result {
	sink, anew := c.sink.(core.ChatRestarter)
	var tooLong *answer.LimitError
	if anew && ctx.Err() == nil && !errors.As(err, &tooLong) {
		r := result{err: err, sent: core.OutcomeUnknown, retry: true, faulty: true, cancel: true, cost: c.actualCost()}
		sink.Restart()
		c.started, c.chunks, c.usage = false, 0, nil
		return r
	}
	p := &core.Problem{Kind: core.KindAnswerIncomplete, Outcome: core.OutcomeRan, Err: err}
	var gone *sinkError
	switch {
	case errors.As(err, &tooLong):
		p.Detail = "the answer exceeds the router's bounds"
	case errors.As(err, &gone), errors.Is(ctx.Err(), context.Canceled):
		p.Detail = "the caller went away"
	case !time.Now().Before(a.Deadline):
		p.Detail = "the answer took longer than the deadline or the rank's max_duration allows"
	default:
		p.Detail = "the connection to the worker was lost and the answer could not be resumed"
	}
	faulty := gone == nil && ctx.Err() == nil
	return result{err: p, sent: core.OutcomeRan, faulty: faulty, cancel: true, cost: c.actualCost()}
}

// drainTime bounds the wait for the end of a connection after the explicit end
// of its answer. Reading to the end lets the connection be used again.
const drainTime = 250 * time.Millisecond

// drain reads a finished stream to its end in the background, so that late
// frames are counted and the connection can be used again.
func (d *Dispatcher) drain(frames core.FrameReader, checker answer.Checker, cancel context.CancelFunc) {
	before := checker.Drops()
	late := func(context.Context) {
		timer := time.AfterFunc(drainTime, cancel)
		defer timer.Stop()
		defer cancel()
		defer frames.Close()
		for {
			f, err := frames.Next()
			if err != nil {
				break
			}
			_, _ = checker.Check(f.ID, f.Data) // counts it
		}
		after := checker.Drops()
		for cause := range after {
			after[cause] -= before[cause]
		}
		d.metrics.dropped(after)
	}
	if !d.submit(late) {
		cancel()
		_ = frames.Close()
	}
}
