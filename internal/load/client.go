// Package load is a client of the caller API. It sends single requests for
// scripts, generates load with latency histograms, and compares the responses to
// bookings with the journals of service stand-ins.
package load

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Limits of the data that the client reads.
const (
	maxResponseBytes = 16 << 20
	maxLineBytes     = 1 << 20
)

// Client sends requests to one router, or to an engine if Direct is set.
type Client struct {
	URL    string
	Key    string
	Direct bool // sends X-Attempt-Id, which engines require
	HTTP   *http.Client
}

// NewClient returns a client that keeps up to conns idle connections.
func NewClient(url, key string, direct bool, conns int) *Client {
	transport := &http.Transport{MaxIdleConns: conns, MaxIdleConnsPerHost: conns, IdleConnTimeout: time.Minute, DisableCompression: true}
	return &Client{URL: strings.TrimSuffix(url, "/"), Key: key, Direct: direct, HTTP: &http.Client{Transport: transport}}
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is the request of a chat completion.
type Chat struct {
	Model      string    `json:"model"`
	Messages   []Message `json:"messages"`
	Stream     bool      `json:"stream"`
	MaxTokens  int       `json:"max_tokens,omitempty"`
	Workspace  string    `json:"workspace,omitempty"`
	ChatID     string    `json:"chat_id,omitempty"`
	Rank       string    `json:"rank,omitempty"`
	DeadlineMS int64     `json:"deadline_ms,omitempty"`
}

// ChatResult is the result of a chat completion.
type ChatResult struct {
	Status       int               `json:"status"`
	Complete     bool              `json:"complete"` // the end marker was received
	Worker       string            `json:"worker,omitempty"`
	Content      string            `json:"content,omitempty"`
	Chunks       int               `json:"chunks"`
	PromptTokens int               `json:"prompt_tokens"`
	CachedTokens int               `json:"cached_tokens"`
	FirstToken   time.Duration     `json:"first_token_ns"`
	Total        time.Duration     `json:"total_ns"`
	Problem      *core.ProblemJSON `json:"problem,omitempty"`
}

// usage is the part of the usage object that the client reads.
type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	Details      struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// chunk is the part of a chat.completion or chat.completion.chunk that the
// client reads.
type chunk struct {
	Choices []struct {
		Delta   Message `json:"delta"`
		Message Message `json:"message"`
	} `json:"choices"`
	Usage *usage `json:"usage"`
}

// Chat sends a chat completion and reads the whole response. A problem response is
// returned in the result, without an error. If the response is truncated or
// malformed, both the result so far and an error are returned; if there is none,
// only an error.
func (c *Client) Chat(ctx context.Context, request Chat) (*ChatResult, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("load: encode the chat request: %w", err)
	}
	begin := time.Now()
	resp, err := c.do(ctx, http.MethodPost, "/v1/chat/completions", body, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	r := &ChatResult{Status: resp.StatusCode, Worker: resp.Header.Get("X-Worker")}
	switch {
	case resp.StatusCode != http.StatusOK:
		r.Problem = readProblem(resp.Body)
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		err = r.readStream(resp.Body, begin)
	default:
		err = r.readCompletion(resp.Body)
	}
	r.Total = time.Since(begin)
	return r, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("load: %w; give --url as http://IP:port", err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.Key != "" {
		req.Header.Set("Authorization", "Bearer "+c.Key)
	}
	if c.Direct {
		req.Header.Set("X-Attempt-Id", newAttemptID())
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("load: %w; check that the router is running", err)
	}
	return resp, nil
}

func newAttemptID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

func readProblem(body io.Reader) *core.ProblemJSON {
	var p core.ProblemJSON
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&p); err != nil {
		p.Detail = "the error response is not application/problem+json"
	}
	return &p
}

func (r *ChatResult) readCompletion(body io.Reader) error {
	var c chunk
	if err := json.NewDecoder(io.LimitReader(body, maxResponseBytes)).Decode(&c); err != nil {
		return fmt.Errorf("load: the response is truncated or not JSON: %w", err)
	}
	r.Complete = true
	r.addChunk(&c)
	return nil
}

// readStream reads server-sent events until [DONE], an error event or the end
// of the connection.
func (r *ChatResult) readStream(body io.Reader, begin time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxLineBytes)
	event := ""
	for lines.Scan() {
		line := lines.Bytes()
		if name, ok := bytes.CutPrefix(line, []byte("event: ")); ok {
			event = string(name)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if event == "error" {
			r.Problem = readProblem(bytes.NewReader(data))
			return nil
		}
		if string(data) == "[DONE]" {
			r.Complete = true
			return nil
		}
		if r.Chunks == 0 {
			r.FirstToken = time.Since(begin)
		}
		r.Chunks++
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return fmt.Errorf("load: chunk %d is not JSON: %w", r.Chunks, err)
		}
		r.addChunk(&c)
	}
	return errors.Join(errors.New("load: the stream ended without [DONE]"), lines.Err())
}

func (r *ChatResult) addChunk(c *chunk) {
	for _, choice := range c.Choices {
		r.Content += choice.Delta.Content + choice.Message.Content
	}
	if c.Usage != nil {
		r.PromptTokens = c.Usage.PromptTokens
		r.CachedTokens = c.Usage.Details.CachedTokens
	}
}

// ServiceResult is the result of a service call.
type ServiceResult struct {
	Status  int               `json:"status"`
	Body    string            `json:"body"`
	Problem *core.ProblemJSON `json:"problem,omitempty"`
}

// Service calls a plain service through the router. key is the Idempotency-Key,
// empty for none.
func (c *Client) Service(ctx context.Context, method, path string, body []byte, key string) (*ServiceResult, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	resp, err := c.do(ctx, method, path, body, header)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	r := &ServiceResult{Status: resp.StatusCode}
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		r.Problem = readProblem(resp.Body)
		return r, nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("load: the response is truncated: %w", err)
	}
	r.Body = string(data)
	return r, nil
}
