package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Call sends a call of a plain service and returns the whole answer.
func (c *Client) Call(ctx context.Context, a core.Attempt, s *core.ServiceRequest) (*core.ServiceResponse, error) {
	u, err := c.target(a.Upstream, a.Worker, s.Path)
	if err != nil {
		return nil, notRun(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := request(ctx, s.Method, u, s.Body)
	r.Header = s.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	setAttempt(r.Header, a)
	if s.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", s.IdempotencyKey)
	}
	response, err := c.roundTrip(r, a.SendBy)
	if err != nil {
		return nil, err
	}
	return c.readAnswer(response, a)
}

// readAnswer reads an answer that belongs to the attempt.
func (c *Client) readAnswer(response *http.Response, a core.Attempt) (*core.ServiceResponse, error) {
	if echoed := response.Header.Get(headerAttempt); echoed != "" && echoed != a.ID {
		_ = response.Body.Close() // unread, so that the connection is not used again
		return nil, unknown(fmt.Errorf("answer names attempt %q instead of %q", echoed, a.ID))
	}
	if response.StatusCode < 200 {
		_ = response.Body.Close()
		return nil, unknown(fmt.Errorf("worker answered with status %d", response.StatusCode))
	}
	if statesNotRun(response) {
		return nil, refused(response)
	}
	defer response.Body.Close()
	body, err := readBounded(response, c.settings.AnswerBytes)
	if err != nil {
		return nil, unknown(err)
	}
	header := response.Header
	header.Del(headerAttempt)
	return &core.ServiceResponse{Status: response.StatusCode, Header: header, Body: body, Worker: a.Worker}, nil
}

// readBounded reads a body of up to limit bytes.
func readBounded(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, fmt.Errorf("answer of %d bytes exceeds %d bytes; see answer_bytes", response.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("answer was cut: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("answer exceeds %d bytes; see answer_bytes", limit)
	}
	return body, nil
}
