package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Call sends a call to a plain service and returns the buffered response.
func (c *Client) Call(ctx context.Context, a core.Attempt, request *core.ServiceRequest) (*core.ServiceResponse, error) {
	u, err := c.workerURL(a.Upstream, a.Worker, request.Path)
	if err != nil {
		return nil, notRunError(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRequest(ctx, request.Method, u)
	r.Header = request.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	setAttemptHeaders(r.Header, a)
	if request.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", request.IdempotencyKey)
	}
	response, err := c.roundTrip(r, request.Body, a.SendBy)
	if err != nil {
		return nil, err
	}
	return c.readResponse(response, a)
}

// readResponse reads the response to an attempt.
func (c *Client) readResponse(response *http.Response, a core.Attempt) (*core.ServiceResponse, error) {
	if response.StatusCode < 200 {
		_ = response.Body.Close()
		return nil, unknownOutcomeError(fmt.Errorf("worker responded with status %d", response.StatusCode))
	}
	if statesNotRun(response) {
		return nil, statusError(response)
	}
	defer response.Body.Close()
	body, err := readLimited(response, c.settings.AnswerBytes)
	if err != nil {
		return nil, unknownOutcomeError(err)
	}
	header := response.Header
	header.Del(headerAttempt)
	return &core.ServiceResponse{Status: response.StatusCode, Header: header, Body: body, Worker: a.Worker}, nil
}

// readLimited reads a body of up to limit bytes.
func readLimited(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, fmt.Errorf("response of %d bytes exceeds the limit of %d bytes; for services see answer_bytes", response.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("response was truncated: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("response exceeds the limit of %d bytes; for services see answer_bytes", limit)
	}
	return body, nil
}
