package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
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
	return c.readResponse(ctx, response, a, request.Memory)
}

// readResponse reads the response to an attempt, whose bytes memory counts.
func (c *Client) readResponse(ctx context.Context, response *http.Response, a core.Attempt, memory *bytebudget.Body) (*core.ServiceResponse, error) {
	if response.StatusCode < 200 {
		_ = response.Body.Close()
		return nil, unknownOutcomeError(fmt.Errorf("worker responded with status %d", response.StatusCode))
	}
	if statesNotRun(response) {
		return nil, statusError(response)
	}
	defer response.Body.Close()
	body, err := readCounted(ctx, response, c.settings.AnswerBytes, memory)
	if err != nil {
		failed := unknownOutcomeError(err)
		if errors.Is(err, bytebudget.ErrShort) || errors.Is(err, bytebudget.ErrYielded) {
			failed.Status = response.StatusCode // not a fault of the worker
		}
		return nil, failed
	}
	header := response.Header
	header.Del(headerAttempt)
	return &core.ServiceResponse{Status: response.StatusCode, Header: header, Body: body, Worker: a.Worker}, nil
}

// readCounted is readLimited with bytes that memory counts, nil for none, in place of those
// of an earlier attempt. Errors: also bytebudget.ErrShort and ErrYielded.
func readCounted(ctx context.Context, response *http.Response, limit int64, memory *bytebudget.Body) ([]byte, error) {
	if memory == nil {
		return readLimited(response, limit)
	}
	memory.Reset()
	if response.ContentLength > limit {
		return nil, tooLong(limit)
	}
	if err := memory.ReadResponse(ctx, io.LimitReader(response.Body, limit+1), time.Now); err != nil {
		return nil, fmt.Errorf("response was truncated: %w", err)
	}
	if memory.Size() > limit {
		return nil, tooLong(limit)
	}
	return memory.Join(ctx, time.Now)
}

func tooLong(limit int64) error {
	return fmt.Errorf("response exceeds the limit of %d bytes; for services see answer_bytes", limit)
}

// readLimited reads a body of up to limit bytes.
func readLimited(response *http.Response, limit int64) ([]byte, error) {
	if response.ContentLength > limit {
		return nil, tooLong(limit)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("response was truncated: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, tooLong(limit)
	}
	return body, nil
}
