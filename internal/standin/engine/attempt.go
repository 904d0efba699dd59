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

// endMarker is the data of the last frame of a stream.
const endMarker = "[DONE]"

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
	return min(r.MaxTokens, maxTokensLimit)
}

// Chunk is the data of one frame, in JSON.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one generated choice. A chunk has exactly one.
type Choice struct {
	Index        int     `json:"index"`
	Delta        Message `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// Usage has the token counts. It is sent in the last chunk.
type Usage struct {
	PromptTokens        int                 `json:"prompt_tokens"`
	CompletionTokens    int                 `json:"completion_tokens"`
	TotalTokens         int                 `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails has the number of prompt tokens that were cached.
type PromptTokensDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// hashMessages returns a hash of the messages. All tokens of a response begin with
// it, so that responses to different chats differ.
func hashMessages(messages []Message) string {
	h := xxhash.New()
	for _, m := range messages {
		_, _ = h.WriteString(m.Role + "\x00" + m.Content + "\x00")
	}
	return strconv.FormatUint(h.Sum64(), 36)
}

// token returns token i of a response.
func token(messageHash string, i int) string { return messageHash + "." + strconv.Itoa(i) + " " }

// ExpectedAnswer returns the complete text of the response to a chat, so that
// clients can check the response that they received.
func ExpectedAnswer(messages []Message, tokens int) string {
	hash := hashMessages(messages)
	var b strings.Builder
	for i := range tokens {
		b.WriteString(token(hash, i))
	}
	return b.String()
}

// attempt is one attempt at a request. Several connections can read its stream,
// but it is run only once. The engine's lock protects the fields that change.
// Frames are not stored: they are generated from the constant fields when they are
// sent.
type attempt struct {
	id     string
	chatID string
	ctx    context.Context
	cancel context.CancelFunc

	// Set before the first frame and not changed later.
	model       string
	messageHash string // result of hashMessages
	created     int64
	usage       Usage

	ended       time.Time
	frameCount  int // produced so far, including the end marker
	state       string
	runs        int           // number of times that it was started, at most 1
	connections int           // number of connections that requested the attempt
	readers     int           // connections that are reading it now
	cancelTimer *time.Timer   // cancels the attempt if it has no reader
	changed     chan struct{} // closed and replaced when frames or state change
}

// notifyLocked wakes the connections that wait for new frames or another state.
func (a *attempt) notifyLocked() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// frame returns the data of a produced frame. seq starts at 1.
func (a *attempt) frame(seq int) string {
	n := a.usage.CompletionTokens
	if seq == n+1 {
		return endMarker
	}
	c := Chunk{ID: "chatcmpl-" + a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.model}
	c.Choices = []Choice{{Delta: Message{Role: "assistant", Content: token(a.messageHash, seq-1)}}}
	if seq == n {
		stop := "stop"
		c.Choices[0].FinishReason = &stop
		c.Usage = &a.usage
	}
	data, err := json.Marshal(c)
	if err != nil {
		panic(fmt.Sprintf("engine: encode a chunk: %v", err)) // impossible: a Chunk has only strings and numbers
	}
	return string(data)
}

// generate produces the frames of an attempt that has a slot, then releases the
// slot.
func (e *Engine) generate(a *attempt, r Request) {
	defer e.wg.Done()
	defer a.cancel()
	e.prepare(a, r)
	done := e.produceFrames(a)
	e.mu.Lock()
	defer e.mu.Unlock()
	if done {
		// The end marker is counted under the same lock under which the slot is
		// released, so that the slot is free once a client receives it.
		a.frameCount++
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

// prepare counts the cached part of the prompt, stores the prompt in the cache and
// sets the fields from which frames are generated.
func (e *Engine) prepare(a *attempt, r Request) {
	chain := prefixes(r.Model, r.Messages)
	prompt := 0
	for _, p := range chain {
		prompt += p.Tokens
	}
	hash := hashMessages(r.Messages)
	e.mu.Lock()
	defer e.mu.Unlock()
	cached := e.cache.cachedTokens(chain)
	e.cache.store(chain)
	c := e.chats[a.chatID]
	if c == nil {
		c = &ChatStats{}
		e.chats[a.chatID] = c
	}
	c.Runs++
	c.PromptTokens += prompt
	c.CachedTokens += cached
	a.model, a.messageHash, a.created = r.Model, hash, time.Now().Unix()
	a.usage = Usage{prompt, r.tokens(), prompt + r.tokens(), PromptTokensDetails{cached}}
}

// produceFrames produces all frames except the end marker, with the delays of the
// settings. It returns false if the attempt was cancelled.
func (e *Engine) produceFrames(a *attempt) bool {
	uncached := a.usage.PromptTokens - a.usage.PromptTokensDetails.CachedTokens
	wait := e.settings.FirstToken + time.Duration(uncached)*e.settings.Prefill
	for range a.usage.CompletionTokens {
		if !standin.Sleep(a.ctx, wait) {
			return false
		}
		wait = e.settings.Token
		e.mu.Lock()
		a.frameCount++
		a.notifyLocked()
		e.mu.Unlock()
	}
	return true
}
