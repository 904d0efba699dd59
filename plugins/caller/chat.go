package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/bytebudget"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/jsonfields"
)

// bytesPerToken is used to estimate the tokens of a prompt from its length.
const bytesPerToken = 4

// chatFields are the members of a chat completion's body that the router reads.
type chatFields struct {
	model, workspace, chatID, rank, deadline string
	stream                                   bool
	maxTokens                                int64
	messageBytes                             int
}

// chat handles POST /v1/chat/completions.
func (s *Server) chat(r *apiRequest) *core.Problem {
	body, problem := s.readBody(r)
	if problem != nil {
		return problem
	}
	f, problem := parseChat(body)
	if problem != nil {
		return problem
	}
	chat, problem := s.chatRequest(r, f)
	if problem != nil {
		return problem
	}
	chat.Body = body
	if f.stream {
		return s.respondStreaming(r, chat)
	}
	return s.respondBuffered(r, chat)
}

// chatRequest validates the fields against the configuration. Headers take
// precedence over members of the body.
func (s *Server) chatRequest(r *apiRequest, f *chatFields) (*core.ChatRequest, *core.Problem) {
	f.workspace = firstNonEmpty(r.Header.Get(headerWorkspace), f.workspace)
	f.chatID = firstNonEmpty(r.Header.Get(headerChatID), f.chatID)
	if p := checkName("the workspace", f.workspace); p != nil {
		return nil, p
	}
	if p := checkName("the chat ID", f.chatID); p != nil {
		return nil, p
	}
	deadline, problem := parseDeadline(firstNonEmpty(r.Header.Get(headerDeadline), f.deadline), time.Now())
	if problem != nil {
		return nil, problem
	}
	model := r.set.Models[f.model]
	if model == nil || !slices.Contains(r.caller.Models, f.model) {
		return nil, notAvailable("model", f.model)
	}
	rank, problem := selectRank(r.set, r.caller, firstNonEmpty(r.Header.Get(headerRank), f.rank))
	if problem != nil {
		return nil, problem
	}
	maxTokens := s.settings.DefaultMaxTokens
	if f.maxTokens > 0 {
		maxTokens = f.maxTokens
	}
	if model.ContextTokens > 0 {
		maxTokens = min(maxTokens, int64(model.ContextTokens))
	}
	return &core.ChatRequest{
		RequestID: r.id, Caller: r.caller, Rank: rank, Workspace: f.workspace, ChatID: f.chatID, Model: f.model,
		Deadline: deadline, PromptTokens: int64(f.messageBytes/bytesPerToken) + 1, MaxTokens: maxTokens,
	}, nil
}

func firstNonEmpty(header, field string) string {
	if header != "" {
		return header
	}
	return field
}

// parseChat reads the members that the router needs. It refuses a body in which
// one of their names is duplicated or differs in case, or any name at the top level
// has an escape sequence: another decoder could read a different value from such a
// body, but the engine must use the model that was checked here.
func parseChat(body []byte) (*chatFields, *core.Problem) {
	if !json.Valid(body) {
		return nil, core.NewProblem(core.KindInvalidRequest, "the body is not valid JSON")
	}
	f := &chatFields{}
	targets := []struct {
		name string
		read func([]byte) error
		seen bool
	}{
		{name: "model", read: unmarshalInto(&f.model)},
		{name: "stream", read: unmarshalInto(&f.stream)},
		{name: "workspace", read: unmarshalInto(&f.workspace)},
		{name: "chat_id", read: unmarshalInto(&f.chatID)},
		{name: "rank", read: unmarshalInto(&f.rank)},
		{name: "deadline_ms", read: f.readDeadline},
		{name: "max_tokens", read: f.readMaxTokens},
		{name: "max_completion_tokens", read: f.readMaxTokens},
		{name: "messages", read: f.readMessages},
	}
	var problem *core.Problem
	isObject := jsonfields.EachMember(body, func(m jsonfields.Member) bool {
		if bytes.IndexByte(m.Key, '\\') >= 0 {
			problem = core.NewProblem(core.KindInvalidRequest, "a member name at the top level has an escape sequence")
			return false
		}
		for i := range targets {
			t := &targets[i]
			if !bytes.EqualFold(m.Key, []byte(t.name)) {
				continue
			}
			if t.seen || string(m.Key) != t.name {
				problem = core.NewProblem(core.KindInvalidRequest, "member %s is duplicated or differs in case", t.name)
			} else if err := t.read(body[m.Start:m.End]); err != nil {
				problem = core.NewProblem(core.KindInvalidRequest, "member %s has the wrong type or value", t.name)
			}
			t.seen = true
			break
		}
		return problem == nil
	})
	switch {
	case problem != nil:
		return nil, problem
	case !isObject:
		return nil, core.NewProblem(core.KindInvalidRequest, "the body is not a JSON object")
	case f.model == "":
		return nil, core.NewProblem(core.KindInvalidRequest, "member model is missing")
	case f.messageBytes == 0:
		return nil, core.NewProblem(core.KindInvalidRequest, "member messages is missing or empty")
	}
	return f, nil
}

func unmarshalInto[T any](target *T) func([]byte) error {
	return func(value []byte) error { return json.Unmarshal(value, target) }
}

// errInvalidValue is returned for valid JSON that is out of range or not an array.
var errInvalidValue = errors.New("caller: value has the wrong type or is out of range")

func (f *chatFields) readDeadline(value []byte) error {
	var ms int64
	if err := json.Unmarshal(value, &ms); err != nil {
		return err
	}
	f.deadline = strconv.FormatInt(ms, 10)
	return nil
}

func (f *chatFields) readMaxTokens(value []byte) error {
	var n *int64 // null means no limit
	if err := json.Unmarshal(value, &n); err != nil {
		return err
	}
	if n == nil {
		return nil
	}
	if *n < 1 {
		return errInvalidValue
	}
	f.maxTokens = max(f.maxTokens, *n)
	return nil
}

func (f *chatFields) readMessages(value []byte) error {
	elements := 0
	if !jsonfields.EachElement(value, func([]byte) bool { elements++; return false }) {
		return errInvalidValue
	}
	if elements > 0 {
		f.messageBytes = len(value)
	}
	return nil
}

// respondStreaming responds with server-sent events.
func (s *Server) respondStreaming(r *apiRequest, chat *core.ChatRequest) *core.Problem {
	sink := &streamSink{r: r}
	err := s.dispatcher.Chat(r.Context(), chat, sink)
	problem := asProblem(err)
	if !r.w.started() {
		return problem // not nil: without a problem, the response would have started
	}
	if problem == nil {
		sink.finish()
		return nil
	}
	sink.fail(problem)
	return problem
}

// respondBuffered responds with the assembled chunks.
func (s *Server) respondBuffered(r *apiRequest, chat *core.ChatRequest) *core.Problem {
	sink := &bufferedSink{maxBytes: s.settings.AnswerBytes, ctx: r.Context(), memory: r.answer}
	sink.Restart()
	if err := s.dispatcher.Chat(r.Context(), chat, sink); err != nil {
		return asProblem(err)
	}
	body, err := sink.assembler.JSON()
	if err != nil {
		return &core.Problem{Kind: core.KindAnswerIncomplete, Outcome: core.OutcomeRan, Detail: "the upstream's chunks are malformed", Err: err}
	}
	r.setWorkerHeader(sink.worker)
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	sink.assembler = nil
	r.answer.Shrink(int64(len(body)))
	r.writeAnswer(body)
	return nil
}

// asProblem converts an error of the dispatcher to a problem.
func asProblem(err error) *core.Problem {
	if err == nil {
		return nil
	}
	var p *core.Problem
	if errors.As(err, &p) {
		return p
	}
	return &core.Problem{Kind: core.KindUpstreamUnavailable, Outcome: core.OutcomeUnknown, Detail: "the request failed", Err: err}
}

// setWorkerHeader reports the worker to callers with diagnostics enabled.
func (r *apiRequest) setWorkerHeader(worker string) {
	if r.caller.Diagnostics && worker != "" {
		r.w.Header().Set(headerWorker, worker)
	}
}

// bufferedSink assembles the chunks of a response.
type bufferedSink struct {
	maxBytes  int
	ctx       context.Context // of the request
	memory    *bytebudget.Body
	assembler *answer.Assembler
	worker    string
}

func (s *bufferedSink) Start(worker string) error { s.worker = worker; return nil }

// Restart discards the chunks received so far, none of which was sent to the
// caller.
func (s *bufferedSink) Restart() {
	s.memory.Reset()
	s.assembler = answer.NewAssembler(s.maxBytes)
}

// assembledCopies is the number of copies of a chunk's text while the response is encoded:
// in the assembler, in the completion and in the growing buffer of the encoder.
const assembledCopies = 4

func (s *bufferedSink) Chunk(data []byte) error {
	if err := s.memory.Reserve(s.ctx, int64(assembledCopies*len(data)), time.Now); err != nil {
		return &core.Problem{Kind: core.KindAnswerIncomplete, Outcome: core.OutcomeRan, Detail: "the router has no memory for the response", Err: err}
	}
	return s.assembler.Add(data)
}

// streamSink sends chunks as server-sent events.
type streamSink struct {
	r     *apiRequest
	event []byte // reused for each event
}

// Start sends the response header.
func (s *streamSink) Start(worker string) error {
	s.r.setWorkerHeader(worker)
	h := s.r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	s.r.w.WriteHeader(http.StatusOK)
	return nil
}

// Chunk sends one chunk as an event.
func (s *streamSink) Chunk(data []byte) error {
	s.event = appendEvent(s.event[:0], data)
	if _, err := s.r.w.Write(s.event); err != nil {
		return err
	}
	return s.r.w.flush()
}

// appendEvent appends an event with data, which may have several lines.
func appendEvent(event, data []byte) []byte {
	for {
		line, rest, more := bytes.Cut(data, []byte{'\n'})
		event = append(event, "data: "...)
		event = append(event, line...)
		event = append(event, '\n')
		if !more {
			return append(event, '\n')
		}
		data = rest
	}
}

func (s *streamSink) finish() { _ = s.Chunk([]byte("[DONE]")) }

// fail ends a started response with an error event and without [DONE].
func (s *streamSink) fail(p *core.Problem) {
	body, err := json.Marshal(p.JSON(s.r.id))
	if err != nil {
		return
	}
	s.event = append(s.event[:0], "event: error\n"...)
	s.event = appendEvent(s.event, body)
	_, _ = s.r.w.Write(s.event) // fails if the connection is closed
	_ = s.r.w.flush()
}

// Check that the sinks implement the interfaces that the dispatcher uses.
var (
	_ core.ChatSink      = (*streamSink)(nil)
	_ core.ChatSink      = (*bufferedSink)(nil)
	_ core.ChatRestarter = (*bufferedSink)(nil)
)
