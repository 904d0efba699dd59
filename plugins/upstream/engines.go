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

// cancelTimeout bounds the request that cancels an attempt.
const cancelTimeout = 2 * time.Second

// Stream starts or resumes an attempt.
func (c *Client) Stream(ctx context.Context, a core.Attempt, body []byte) (core.FrameReader, error) {
	u, err := c.target(a.Upstream, a.Worker, chatPath)
	if err != nil {
		return nil, notRun(err)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	// A paused worker accepts connections and never answers.
	timer := c.newTimer(c.settings.StallTimeout, func() { cancel(errStalled) })
	r := request(ctx, http.MethodPost, u, body)
	setAttempt(r.Header, a)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Accept", "text/event-stream")
	response, err := c.roundTrip(r, a.SendBy)
	if err == nil {
		err = checkStream(response)
	}
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, err
	}
	return &stream{
		body: response.Body, reader: answer.NewReader(response.Body, c.settings.limits()),
		cancel: cancel, stall: c.settings.StallTimeout, timer: timer,
	}, nil
}

// checkStream accepts an answer that is an event stream.
func checkStream(response *http.Response) error {
	if response.StatusCode != http.StatusOK {
		return refused(response)
	}
	kind, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if kind != "text/event-stream" {
		_ = response.Body.Close()
		return unknown(fmt.Errorf("worker answered with content type %q instead of text/event-stream", kind))
	}
	return nil
}

// stream reads the frames of one connection.
type stream struct {
	body   io.ReadCloser
	reader *answer.Reader
	cancel context.CancelCauseFunc
	stall  time.Duration
	timer  stallTimer
}

// errStalled ends a stream that sends nothing any more.
var errStalled = errors.New("upstream: the stream has stalled; see stall_timeout")

// Next returns the next frame.
func (s *stream) Next() (core.Frame, error) {
	s.timer.Reset(s.stall)
	event, err := s.reader.Next()
	if err != nil {
		return core.Frame{}, err
	}
	return core.Frame{ID: event.ID, Data: event.Data}, nil
}

// Close ends the connection unless the stream has been read to its end.
func (s *stream) Close() error {
	s.timer.Stop()
	err := s.body.Close()
	s.cancel(nil)
	s.reader.Release()
	return err
}

// Cancel asks the worker to end an attempt. After a request that is lost, the
// worker still sees the closed connection and the attempt's deadline.
func (c *Client) Cancel(a core.Attempt, ended func()) {
	submitted := c.submit(func(ctx context.Context) {
		defer ended()
		u, err := c.target(a.Upstream, a.Worker, "/v1/attempts/"+url.PathEscape(a.ID))
		if err != nil {
			return
		}
		ctx, stop := context.WithTimeout(ctx, cancelTimeout)
		defer stop()
		response, err := c.roundTrip(request(ctx, http.MethodDelete, u, nil), time.Time{})
		if err != nil {
			c.log.Debug("attempt not cancelled", "attempt", a.ID, "error", err)
			return
		}
		discard(response.Body)
	})
	if !submitted {
		ended()
	}
}

// Guard the interfaces that other plug-ins use.
var (
	_ core.EngineClient  = (*Client)(nil)
	_ core.ServiceClient = (*Client)(nil)
	_ core.LoadProbe     = (*Client)(nil)
	_ core.FrameReader   = (*stream)(nil)
)
