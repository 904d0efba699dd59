package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"time"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
)

const chatPath = "/v1/chat/completions"

// cancelTimeout limits the request that cancels an attempt.
const cancelTimeout = 2 * time.Second

// Stream starts or resumes an attempt.
func (c *Client) Stream(ctx context.Context, a core.Attempt, body []byte) (core.FrameReader, error) {
	u, err := c.workerURL(a.Upstream, a.Worker, chatPath)
	if err != nil {
		return nil, notRunError(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	// A paused worker accepts connections but never responds.
	timer := c.newTimer(c.settings.StallTimeout, func() { cancel(errStalled) })
	r := newRequest(ctx, http.MethodPost, u)
	setAttemptHeaders(r.Header, a)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	response, err := c.roundTrip(r, body, a.SendBy)
	if err == nil {
		err = checkEventStream(response)
	}
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, err
	}
	return &eventStream{
		body: response.Body, reader: answer.NewReader(response.Body, c.settings.limits()),
		cancel: cancel, stallTimeout: c.settings.StallTimeout, timer: timer,
	}, nil
}

// checkEventStream returns an error unless the response is an event stream.
func checkEventStream(response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		return statusError(response)
	}
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if mediaType != "text/event-stream" {
		_ = response.Body.Close()
		return unknownOutcomeError(fmt.Errorf("worker responded with content type %q instead of text/event-stream", mediaType))
	}
	return nil
}

// eventStream reads the frames of one response.
type eventStream struct {
	body         io.ReadCloser
	reader       *answer.Reader
	cancel       context.CancelCauseFunc
	stallTimeout time.Duration
	timer        stallTimer
}

// errStalled is the cause with which a stream is cancelled if no header or frame
// has arrived within StallTimeout.
var errStalled = errors.New("upstream: the stream has stalled; see stall_timeout")

// Next returns the next frame.
func (s *eventStream) Next() (core.Frame, error) {
	s.timer.Reset(s.stallTimeout)
	event, err := s.reader.Next()
	if err != nil {
		return core.Frame{}, err
	}
	return core.Frame{ID: event.ID, Data: event.Data}, nil
}

// Close closes the stream. The connection is reused only if the stream was read to
// its end.
func (s *eventStream) Close() error {
	s.timer.Stop()
	err := s.body.Close()
	s.cancel(nil)
	s.reader.Release()
	return err
}

// Cancel asks the worker in the background to end an attempt, and calls ended once
// when this request has succeeded or failed. If it is lost, the worker still
// notices the closed connection and enforces the attempt's deadline.
func (c *Client) Cancel(a core.Attempt, ended func()) {
	submitted := c.submit(func(ctx context.Context) {
		defer ended()
		u, err := c.workerURL(a.Upstream, a.Worker, "/v1/attempts/"+url.PathEscape(a.ID))
		if err != nil {
			return
		}
		ctx, stop := context.WithTimeout(ctx, cancelTimeout)
		defer stop()
		response, err := c.roundTrip(newRequest(ctx, http.MethodDelete, u), nil, time.Time{})
		if err != nil {
			c.log.Debug("cannot cancel an attempt", "attempt", a.ID, "error", err)
			return
		}
		drainAndClose(response.Body)
	})
	if !submitted {
		ended()
	}
}

// Compile-time checks of the implemented interfaces.
var (
	_ core.EngineClient  = (*Client)(nil)
	_ core.ServiceClient = (*Client)(nil)
	_ core.LoadProbe     = (*Client)(nil)
	_ core.FrameReader   = (*eventStream)(nil)
)
