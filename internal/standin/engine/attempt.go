package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnlead/auburnlead/internal/standin"
)

// States of an attempt.
const (
	stateQueued    = "queued"
	stateRunning   = "running"
	stateDone      = "done"
	stateCancelled = "cancelled"
)

// doneData is the data of the explicit end of a stream.
const doneData = "[DONE]"

// Request is the body of a chat completion.
type Request struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	ChatID    string    `json:"chat_id"`
}

func (r Request) tokens() int {
	if r.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return min(r.MaxTokens, limitMaxTokens)
}

// Chunk is the data of one frame.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one choice of a chunk.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Usage is in the last chunk.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails tells how much of the prompt came from the cache.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// Token returns the text of one token, from 0, of the answer to a chat.
func Token(messages []Message, i int) string {
	h := xxhash.New()
	for _, m := range messages {
		_, _ = h.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	return strconv.FormatUint(h.Sum64(), 36) + "." + strconv.Itoa(i) + " "
}

// Answer returns the whole answer to a chat.
func Answer(messages []Message, tokens int) string {
	stem, _, _ := strings.Cut(Token(messages, 0), ".")
	var b strings.Builder
	for i := range tokens {
		b.WriteString(stem + "." + strconv.Itoa(i) + " ")
	}
	return b.String()
}

// attempt is one run of a request. The engine's lock protects its fields.
type attempt struct {
	id      string
	chat    string
	ended   time.Time
	cancel  context.CancelFunc
	frames  []string // data of the frames; sequence is the index plus 1
	state   string
	runs    int
	streams int           // connections that asked for the attempt
	readers int           // connections that read it now
	idle    *time.Timer   // cancels the attempt without a reader
	changed chan struct{} // closed and replaced when frames or state change
}

func (a *attempt) notifyLocked() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// generate produces the frames of an attempt that has a slot, then gives the
// slot back.
func (e *Engine) generate(ctx context.Context, a *attempt, r Request) {
	defer e.wg.Done()
	defer a.cancel()
	prompt, cached := e.usePrompt(a, r)
	state := stateDone
	if !e.produce(ctx, a, r, prompt, cached) {
		state = stateCancelled
	}
	answer := Message{Role: "assistant", Content: Answer(r.Messages, r.tokens())}
	e.mu.Lock()
	defer e.mu.Unlock()
	if state == stateDone {
		// The slot is free when a client can see the end.
		a.frames = append(a.frames, doneData)
		e.cache.store(prefixes(r.Model, append(r.Messages[:len(r.Messages):len(r.Messages)], answer)))
	} else {
		e.stats.Cancelled++
	}
	a.state = state
	a.ended = time.Now()
	a.notifyLocked()
	e.releaseLocked()
}

// usePrompt looks the prompt up in the cache and stores it there.
func (e *Engine) usePrompt(a *attempt, r Request) (prompt, cached int) {
	chain := prefixes(r.Model, r.Messages)
	for _, p := range chain {
		prompt += p.Tokens
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	cached = e.cache.cached(chain)
	e.cache.store(chain)
	c := e.chats[a.chat]
	if c == nil {
		c = &ChatStats{}
		e.chats[a.chat] = c
	}
	c.Runs++
	c.PromptTokens += prompt
	c.CachedTokens += cached
	return prompt, cached
}

// produce appends the frames except the explicit end and reports false when it
// was cancelled.
func (e *Engine) produce(ctx context.Context, a *attempt, r Request, prompt, cached int) bool {
	n := r.tokens()
	stem, _, _ := strings.Cut(Token(r.Messages, 0), ".")
	created := time.Now().Unix()
	wait := e.s.FirstToken + time.Duration(prompt-cached)*e.s.Prefill
	for i := range n {
		if !standin.Sleep(ctx, wait) {
			return false
		}
		wait = e.s.Token
		c := Chunk{ID: "chatcmpl-" + a.id, Object: "chat.completion.chunk", Created: created, Model: r.Model}
		c.Choices = []Choice{{Delta: Message{Role: "assistant", Content: stem + "." + strconv.Itoa(i) + " "}}}
		if i == n-1 {
			stop := "stop"
			c.Choices[0].FinishReason = &stop
			c.Usage = &Usage{prompt, n, prompt + n, PromptTokensDetails{cached}}
		}
		data, err := json.Marshal(c)
		if err != nil {
			panic(fmt.Sprintf("engine: encode a chunk: %v", err)) // a Chunk has only strings and numbers
		}
		e.append(a, string(data))
	}
	return true
}

func (e *Engine) append(a *attempt, data string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.frames = append(a.frames, data)
	a.notifyLocked()
}
