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
	pools, model := x.poolsForModel(r.Model)
	if len(pools) == 0 {
		p := core.NewProblem(core.KindUpstreamUnavailable, "no upstream serves model %s", r.Model)
		p.RetryAfter = defaultRetryAfter
		return p
	}
	c := &chatCompletion{
		requestJob: requestJob{
			d: d, requestID: r.RequestID, caller: r.Caller, rank: r.Rank, workspace: r.Workspace, deadline: r.Deadline,
			expectedTokens: r.PromptTokens + r.MaxTokens,
			candidates:     newCandidatePlan(chatPlacementKey(r.Caller.Name, r.Workspace, r.ChatID, r.Body), pools, d.health),
		},
		request:   r,
		sink:      sink,
		body:      engineBody(r.Body, model),
		startedAt: time.Now(),
	}
	return c.run(ctx, c.try)
}

// chatCompletion is a running chat completion.
type chatCompletion struct {
	requestJob
	request         *core.ChatRequest
	sink            core.ChatSink
	body            []byte // request body for the engine
	startedAt       time.Time
	chunkCount      int64
	usage           *answer.Usage // nil until an engine reports it
	responseStarted bool
}

// sinkError wraps an error of the sink: the caller accepts no more data.
type sinkError struct{ err error }

func (e *sinkError) Error() string {
	return "the response cannot be sent to the caller: " + e.err.Error()
}
func (e *sinkError) Unwrap() error { return e.err }

// try makes one attempt. It resumes a truncated stream on the same worker.
func (c *chatCompletion) try(ctx context.Context, a core.Attempt) attemptResult {
	checker := answer.NewChecker(a.ID)
	defer func() { c.d.metrics.addDropped(checker.Drops()) }()
	for resumes := 0; ; resumes++ {
		outcome, err := c.runConnection(ctx, a, checker)
		if err == nil {
			return attemptResult{outcome: core.OutcomeRan, costTokens: c.actualTokens()}
		}
		if !c.responseStarted {
			return c.failUnstarted(ctx, a, outcome, err)
		}
		if resumes >= c.d.settings.MaxResumes || !c.canResume(ctx, err) || !c.d.budget.Allow(time.Now()) || !c.waitBackoff(ctx, resumes) {
			return c.failStarted(ctx, a, err)
		}
		c.d.metrics.resumes.Inc(1)
		a.LastEventID, a.SendBy = checker.LastEventID(), time.Time{}
	}
}

// runConnection opens a stream of the attempt and forwards its frames. outcome
// says whether the attempt may have run.
func (c *chatCompletion) runConnection(ctx context.Context, a core.Attempt, checker *answer.Checker) (outcome core.Outcome, err error) {
	// The rest of a finished stream is read after the request has ended, so the
	// stream has its own context, which is cancelled with ctx only until then.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	detach := context.AfterFunc(ctx, cancel)
	defer detach()
	frames, err := c.d.engines.Stream(streamCtx, a, c.body)
	if err != nil {
		cancel()
		var failed *core.AttemptError
		if errors.As(err, &failed) {
			return failed.Outcome, err
		}
		return core.OutcomeUnknown, err
	}
	if err := c.forwardFrames(frames, checker, a.Worker); err != nil {
		cancel()
		_ = frames.Close() // the connection is not reused
		return core.OutcomeUnknown, err
	}
	detach()
	c.d.drainStream(frames, *checker, cancel)
	return core.OutcomeRan, nil
}

// forwardFrames forwards frames to the sink until the end marker of the stream.
func (c *chatCompletion) forwardFrames(frames core.FrameReader, checker *answer.Checker, worker string) error {
	for {
		f, err := frames.Next()
		if err != nil {
			return streamError(checker, err)
		}
		verdict, err := checker.Check(f.ID, f.Data)
		switch {
		case err != nil:
			return err
		case verdict == answer.End:
			return c.startResponse(worker) // if there were no chunks
		case verdict == answer.Drop:
			continue
		}
		c.recordChunk(f.Data)
		if err := c.startResponse(worker); err != nil {
			return err
		}
		if err := c.sink.Chunk(f.Data); err != nil {
			return &sinkError{err}
		}
	}
}

// streamError returns the error of a stream that ended without an end marker.
func streamError(checker *answer.Checker, err error) error {
	if err == io.EOF {
		return checker.Finish(nil)
	}
	return checker.Finish(err)
}

// startResponse calls the sink's Start before the first chunk.
func (c *chatCompletion) startResponse(worker string) error {
	if c.responseStarted {
		return nil
	}
	c.responseStarted = true
	c.d.metrics.firstToken.RecordDuration(time.Since(c.startedAt))
	if err := c.sink.Start(worker); err != nil {
		return &sinkError{err}
	}
	return nil
}

// usageMarker identifies the chunk with the token counts. Generated text can't
// match it, since quotes inside a JSON string are escaped.
var usageMarker = []byte(`"usage":{`)

// recordChunk counts a chunk and reads its token counts, if it has any.
func (c *chatCompletion) recordChunk(data []byte) {
	c.chunkCount++
	if !bytes.Contains(data, usageMarker) {
		return
	}
	var chunk struct {
		Usage *answer.Usage `json:"usage"`
	}
	if json.Unmarshal(data, &chunk) == nil && chunk.Usage != nil {
		c.usage = chunk.Usage
	}
}

// actualTokens returns the cost of the attempt in tokens: prompt tokens that were
// not cached, plus generated tokens. If the engine reported no token counts, each
// chunk counts as one generated token.
func (c *chatCompletion) actualTokens() int64 {
	if c.usage == nil {
		return c.request.PromptTokens + c.chunkCount
	}
	return max(c.usage.PromptTokens-c.usage.CachedTokens(), 0) + c.usage.CompletionTokens
}

// failUnstarted returns the result of an attempt that failed before any response
// was sent to the caller. The request may run on another worker, since a chat
// completion is idempotent.
func (c *chatCompletion) failUnstarted(ctx context.Context, a core.Attempt, outcome core.Outcome, err error) attemptResult {
	r := attemptResult{err: err, outcome: outcome, retryable: true, workerFault: true}
	var failed *core.AttemptError
	if errors.As(err, &failed) && failed.Status != 0 {
		r.retryable = failed.Outcome == core.OutcomeNotRun || failed.Status >= 500
		r.workerFault = r.retryable && failed.Outcome != core.OutcomeNotRun
	}
	if outcome != core.OutcomeNotRun {
		r.mayStillRun = true
		r.costTokens = c.request.PromptTokens
	}
	if ctx.Err() != nil {
		r.workerFault = false // the deadline passed or the caller disconnected
	}
	return r
}

// canResume reports whether the stream of a started response can be resumed.
func (c *chatCompletion) canResume(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	var callerDisconnected *sinkError
	var tooLong *answer.LimitError
	var failed *core.AttemptError
	switch {
	case errors.As(err, &callerDisconnected), errors.As(err, &tooLong):
		return false
	case errors.As(err, &failed):
		// A 4xx status is the worker's refusal to resume; other failures may be
		// temporary.
		return failed.Status == 0 || failed.Status >= 500
	}
	return true
}

// failStarted returns the result of an attempt that failed after the response had
// started and can't be resumed. If the sink has buffered the chunks instead of
// forwarding them, the response is restarted on another worker.
func (c *chatCompletion) failStarted(ctx context.Context, a core.Attempt, err error) attemptResult {
	var rejected *core.Problem
	if errors.As(err, &rejected) { // by the sink
		return attemptResult{err: rejected, outcome: core.OutcomeRan, mayStillRun: true, costTokens: c.actualTokens()}
	}
	restarter, canRestart := c.sink.(core.ChatRestarter)
	var tooLong *answer.LimitError
	if canRestart && ctx.Err() == nil && !errors.As(err, &tooLong) {
		r := attemptResult{err: err, outcome: core.OutcomeUnknown, retryable: true, workerFault: true, mayStillRun: true, costTokens: c.actualTokens()}
		restarter.Restart()
		c.responseStarted, c.chunkCount, c.usage = false, 0, nil
		return r
	}
	p := &core.Problem{Kind: core.KindAnswerIncomplete, Outcome: core.OutcomeRan, Err: err}
	var callerDisconnected *sinkError
	switch {
	case errors.As(err, &tooLong):
		p.Detail = "the response exceeds the router's size limits"
	case errors.As(err, &callerDisconnected), errors.Is(ctx.Err(), context.Canceled):
		p.Detail = "the caller disconnected"
	case !time.Now().Before(a.Deadline):
		p.Detail = "the answer took longer than the deadline or the rank's max_duration allows"
	default:
		p.Detail = "the connection to the worker was lost and the response could not be resumed"
	}
	workerFault := callerDisconnected == nil && ctx.Err() == nil
	return attemptResult{err: p, outcome: core.OutcomeRan, workerFault: workerFault, mayStillRun: true, costTokens: c.actualTokens()}
}

// drainTimeout limits the wait for the end of a response body after the end
// marker. A connection can be reused only after its response was read to the end.
const drainTimeout = 250 * time.Millisecond

// drainStream reads a finished stream to its end in the background, so that
// frames after the end marker are counted and the connection can be reused.
func (d *Dispatcher) drainStream(frames core.FrameReader, checker answer.Checker, cancel context.CancelFunc) {
	before := checker.Drops()
	job := func(context.Context) {
		timer := time.AfterFunc(drainTimeout, cancel)
		defer timer.Stop()
		defer cancel()
		defer frames.Close()
		for {
			f, err := frames.Next()
			if err != nil {
				break
			}
			_, _ = checker.Check(f.ID, f.Data) // only to count the frame
		}
		after := checker.Drops()
		for reason := range after {
			after[reason] -= before[reason]
		}
		d.metrics.addDropped(after)
	}
	if !d.submit(job) {
		cancel()
		_ = frames.Close()
	}
}
