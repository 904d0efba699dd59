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

// tokenStem identifies a chat in the text of its answer.
func tokenStem(messages []Message) string {
	h := xxhash.New()
	for _, m := range messages {
		_, _ = h.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	return strconv.FormatUint(h.Sum64(), 36)
}

func token(stem string, i int) string { return stem + "." + strconv.Itoa(i) + " " }

// ExpectedAnswer returns the whole answer to a chat, for clients that check theirs.
func ExpectedAnswer(messages []Message, tokens int) string {
	stem := tokenStem(messages)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(stem, i))
	}
	return b.String()
}

// attempt is one run of a request. The engine's lock protects the fields that
// change. Frames are not kept: they are made from the fixed fields when they
// are sent.
type attempt struct {
	id     string
	chat   string
	ctx    context.Context
	cancel context.CancelFunc

	// Fixed before the first frame.
	model   string
	stem    string // of the tokens' text
	created int64
	usage   Usage

	ended   time.Time
	frames  int // produced so far, the explicit end included
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

// frame returns the data of a frame that has been produced.
func (a *attempt) frame(seq int) string {
	n := a.usage.CompletionTokens
	if seq == n+1 {
		return doneData
	}
	c := Chunk{ID: "chatcmpl-" + a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.model}
	c.Choices = []Choice{{Delta: Message{Role: "assistant", Content: token(a.stem, seq-1)}}}
	if seq == n {
		stop := "stop"
		c.Choices[0].FinishReason = &stop
		c.Usage = &a.usage
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("engine: encode a chunk: %v", err)) // a Chunk has only strings and numbers
	}
	return string(data)
}

// generate produces the frames of an attempt that has a slot, then gives the
// slot back.
func (e *Engine) generate(a *attempt, r Request) {
	defer e.wg.Done()
	defer a.cancel()
	e.prepare(a, r)
	done := e.produce(a)
	e.mu.Lock()
	defer e.mu.Unlock()
	if done {
		// The slot is free when a client can see the end.
		a.frames++
		a.state = stateDone
		answer := Message{Role: "assistant", Content: ExpectedAnswer(r.Messages, r.tokens())}
		e.cache.store(prefixes(r.Model, append(r.Messages[:len(r.Messages):len(r.Messages)], answer)))
	} else {
		a.state = stateCancelled
		e.stats.Cancelled++
	}
	a.ended = time.Now()
	a.notifyLocked()
	e.releaseLocked()
}

// prepare looks the prompt up in the cache, stores it there and fixes what the
// frames are made from.
func (e *Engine) prepare(a *attempt, r Request) {
	chain := prefixes(r.Model, r.Messages)
	prompt := 0
	for _, p := range chain {
		prompt += p.Tokens
	}
	stem := tokenStem(r.Messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.cached(chain)
	e.cache.store(chain)
	c := e.chats[a.chat]
	if c == nil {
		c = &ChatStats{}
		e.chats[a.chat] = c
	}
	c.Runs++
	c.PromptTokens += prompt
	c.CachedTokens += cached
	a.model, a.stem, a.created = r.Model, stem, time.Now().Unix()
	a.usage = Usage{prompt, r.tokens(), prompt + r.tokens(), PromptTokensDetails{cached}}
}

// produce counts the frames up except the explicit end and reports false when
// it was cancelled.
func (e *Engine) produce(a *attempt) bool {
	uncached := a.usage.PromptTokens - a.usage.PromptTokensDetails.CachedTokens
	wait := e.s.FirstToken + time.Duration(uncached)*e.s.Prefill
	for range a.usage.CompletionTokens {
		if !standin.Sleep(a.ctx, wait) {
			return false
		}
		wait = e.s.Token
		e.mu.Lock()
		a.frames++
		a.notifyLocked()
		e.mu.Unlock()
	}
	return true
}
