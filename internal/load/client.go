// Package load is a client of the caller API: single requests for scripts and
// a load generator with latency histograms.
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

// Bounds of what the client reads.
const (
	maxAnswerBytes = 16 << 20
	maxLineBytes   = 1 << 20
)

// Client sends requests to one router, or to an engine with Direct.
type Client struct {
	URL    string
	Key    string
	Direct bool // sends X-Attempt-Id, as engines demand
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

// Chat is one chat completion to ask for.
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

// ChatResult is what came of a chat completion.
type ChatResult struct {
	Status       int               `json:"status"`
	Complete     bool              `json:"complete"` // the explicit end was seen
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

// Chat sends one chat completion and reads the whole answer. The error is of
// the transport; a problem answer is in the result.
func (c *Client) Chat(ctx context.Context, q Chat) (*ChatResult, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, fmt.Errorf("load: encode the chat: %w", err)
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
		err = r.readWhole(resp.Body)
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
		req.Header.Set("X-Attempt-Id", newID())
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, fmt.Errorf("load: %w; check that the router is running", err)
	}
	return resp, nil
}

func newID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

func readProblem(body io.Reader) *core.ProblemJSON {
	var p core.ProblemJSON
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&p); err != nil {
		p.Detail = "the error answer is not problem+json"
	}
	return &p
}

func (r *ChatResult) readWhole(body io.Reader) error {
	var c chunk
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&c); err != nil {
		return fmt.Errorf("load: the answer is cut off or not JSON: %w", err)
	}
	r.Complete = true
	r.add(&c)
	return nil
}

// readStream reads server-sent events to [DONE], an error event or the end of
// the connection.
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
		r.add(&c)
	}
	return errors.Join(errors.New("load: the stream ended without [DONE]"), lines.Err())
}

func (r *ChatResult) add(c *chunk) {
	for _, choice := range c.Choices {
		r.Content += choice.Delta.Content + choice.Message.Content
	}
	if c.Usage != nil {
		r.PromptTokens = c.Usage.PromptTokens
		r.CachedTokens = c.Usage.Details.CachedTokens
	}
}

// ServiceResult is what came of a service call.
type ServiceResult struct {
	Status  int               `json:"status"`
	Body    string            `json:"body"`
	Problem *core.ProblemJSON `json:"problem,omitempty"`
}

// Service calls a plain service through the router. The key is the
// Idempotency-Key, empty for none.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return nil, fmt.Errorf("load: the answer is cut off: %w", err)
	}
	r.Body = string(data)
	return r, nil
}
