package answer

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Usage is the token usage of a completion.
type Usage struct {
	PromptTokens        int64                `json:"prompt_tokens"`
	CompletionTokens    int64                `json:"completion_tokens"`
	TotalTokens         int64                `json:"total_tokens"`
	PromptTokensDetails *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails has the number of prompt tokens that came from the cache.
type PromptTokensDetails struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// CachedTokens returns the number of prompt tokens that came from the cache.
func (u *Usage) CachedTokens() int64 {
	if u.PromptTokensDetails == nil {
		return 0
	}
	return u.PromptTokensDetails.CachedTokens
}

// envelope holds the fields that a chunk and a complete response have in
// common.
type envelope struct {
	ID                string          `json:"id"`
	Object            string          `json:"object"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint,omitempty"`
	ServiceTier       json.RawMessage `json:"service_tier,omitempty"`
}

type chunk struct {
	envelope
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Index        int       `json:"index"`
	Delta        delta     `json:"delta"`
	FinishReason *string   `json:"finish_reason"`
	Logprobs     *logprobs `json:"logprobs"`
}

// delta is the part of a message in a chunk, or the complete message in a choice.
type delta struct {
	Role             string     `json:"role,omitempty"`
	Content          *string    `json:"content"`
	Refusal          *string    `json:"refusal,omitempty"`
	ReasoningContent *string    `json:"reasoning_content,omitempty"`
	ToolCalls        []toolCall `json:"tool_calls,omitempty"`
}

type toolCall struct {
	Index    int      `json:"index,omitempty"`
	ID       string   `json:"id,omitempty"`
	Type     string   `json:"type,omitempty"`
	Function function `json:"function"`
}

type function struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type logprobs struct {
	Content []json.RawMessage `json:"content"`
	Refusal []json.RawMessage `json:"refusal,omitempty"`
}

type completion struct {
	envelope
	Choices []choice        `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type choice struct {
	Index        int       `json:"index"`
	Message      delta     `json:"message"`
	Logprobs     *logprobs `json:"logprobs"`
	FinishReason *string   `json:"finish_reason"`
}

// choiceBuilder accumulates one choice. Text is kept in byte slices, so that the
// cost of appending a chunk depends on the length of the chunk and not on the
// length of the text so far.
type choiceBuilder struct {
	role, finishReason          string
	content, refusal, reasoning *[]byte
	toolCalls                   []*toolCallBuilder
	logprobs                    *logprobs
}

type toolCallBuilder struct {
	id, kind, name string
	arguments      []byte
}

// Limits of the choices of a response and of the tool calls of a choice. A chunk
// that exceeds them is refused as invalid.
const (
	maxChoices   = 128
	maxToolCalls = 1024
)

// Assembler builds a chat.completion from chat.completion.chunk objects. It is
// not safe for concurrent use.
type Assembler struct {
	maxBytes int
	size     int
	head     envelope // of the first chunk with an ID
	choices  map[int]*choiceBuilder
	usage    json.RawMessage
}

// NewAssembler returns an Assembler for chunks with a total size of at most
// maxBytes.
func NewAssembler(maxBytes int) *Assembler {
	return &Assembler{maxBytes: maxBytes, choices: map[int]*choiceBuilder{}}
}

// Add adds the next chunk. It returns a *LimitError if the total size exceeds
// the limit, or an error that describes why the chunk is malformed.
func (a *Assembler) Add(data []byte) error {
	if a.size += len(data); a.size > a.maxBytes {
		return &LimitError{"answer", a.maxBytes}
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("answer: malformed chunk: %w; have the upstream send chat.completion.chunk objects", err)
	}
	if a.head.ID == "" {
		a.head = c.envelope
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		a.usage = c.Usage
	}
	for i := range c.Choices {
		if err := a.addChoice(&c.Choices[i]); err != nil {
			return err
		}
	}
	return nil
}

func (a *Assembler) addChoice(c *chunkChoice) error {
	if c.Index < 0 || c.Index >= maxChoices {
		return fmt.Errorf("answer: choice index %d is not between 0 and %d; have the upstream correct it", c.Index, maxChoices-1)
	}
	b := a.choices[c.Index]
	if b == nil {
		b = &choiceBuilder{}
		a.choices[c.Index] = b
	}
	if c.Delta.Role != "" {
		b.role = c.Delta.Role
	}
	if c.FinishReason != nil {
		b.finishReason = *c.FinishReason
	}
	appendText(&b.content, c.Delta.Content)
	appendText(&b.refusal, c.Delta.Refusal)
	appendText(&b.reasoning, c.Delta.ReasoningContent)
	if c.Logprobs != nil {
		if b.logprobs == nil {
			b.logprobs = &logprobs{}
		}
		b.logprobs.Content = append(b.logprobs.Content, c.Logprobs.Content...)
		b.logprobs.Refusal = append(b.logprobs.Refusal, c.Logprobs.Refusal...)
	}
	for _, t := range c.Delta.ToolCalls {
		if err := b.addToolCall(t); err != nil {
			return err
		}
	}
	return nil
}

func appendText(dst **[]byte, text *string) {
	if text == nil {
		return
	}
	if *dst == nil {
		*dst = &[]byte{}
	}
	**dst = append(**dst, *text...)
}

func (b *choiceBuilder) addToolCall(t toolCall) error {
	if t.Index < 0 || t.Index > len(b.toolCalls) || t.Index >= maxToolCalls {
		return fmt.Errorf("answer: tool call index %d is invalid after %d calls; have the upstream send fewer calls or number them from 0 without gaps", t.Index, len(b.toolCalls))
	}
	if t.Index == len(b.toolCalls) {
		b.toolCalls = append(b.toolCalls, &toolCallBuilder{})
	}
	builder := b.toolCalls[t.Index]
	if t.ID != "" {
		builder.id = t.ID
	}
	if t.Type != "" {
		builder.kind = t.Type
	}
	builder.name += t.Function.Name
	builder.arguments = append(builder.arguments, t.Function.Arguments...)
	return nil
}

// JSON returns the chat.completion. It must only be called after the end marker,
// before which the completion is incomplete.
func (a *Assembler) JSON() ([]byte, error) {
	c := completion{envelope: a.head, Usage: a.usage, Choices: []choice{}}
	c.Object = "chat.completion"
	for index, b := range a.choices {
		c.Choices = append(c.Choices, b.choice(index))
	}
	sort.Slice(c.Choices, func(i, j int) bool { return c.Choices[i].Index < c.Choices[j].Index })
	body, err := json.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("answer: cannot encode the chat.completion: %w; have the upstream send valid chunks", err)
	}
	return body, nil
}

func (b *choiceBuilder) choice(index int) choice {
	c := choice{Index: index, Logprobs: b.logprobs}
	c.Message = delta{Role: b.role, Content: stringPtr(b.content), Refusal: stringPtr(b.refusal), ReasoningContent: stringPtr(b.reasoning)}
	if c.Message.Role == "" {
		c.Message.Role = "assistant"
	}
	if b.finishReason != "" {
		c.FinishReason = &b.finishReason
	}
	for _, t := range b.toolCalls {
		c.Message.ToolCalls = append(c.Message.ToolCalls, toolCall{ID: t.id, Type: t.kind, Function: function{t.name, string(t.arguments)}})
	}
	return c
}

func stringPtr(b *[]byte) *string {
	if b == nil {
		return nil
	}
	s := string(*b)
	return &s
}
