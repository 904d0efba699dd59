package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/jsonfields"
)

// bytesPerToken estimates the tokens of a prompt from its length.
const bytesPerToken = 4

// chatFields are the members of a chat's body that the router reads.
type chatFields struct {
	model, workspace, chatID, rank, deadline string
	stream                                   bool
	maxTokens                                int64
	messageBytes                             int
}

// chat answers POST /v1/chat/completions.
func (s *Server) chat(r *request) *core.Problem {
	body, problem := s.body(r)
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
		return s.stream(r, chat)
	}
	return s.whole(r, chat)
}

// chatRequest checks the fields against the configuration.
func (s *Server) chatRequest(r *request, f *chatFields) (*core.ChatRequest, *core.Problem) {
	f.workspace = first(r.Header.Get(headerWorkspace), f.workspace)
	f.chatID = first(r.Header.Get(headerChatID), f.chatID)
	if p := checkName("the workspace", f.workspace); p != nil {
		return nil, p
	}
	if p := checkName("the chat ID", f.chatID); p != nil {
		return nil, p
	}
	due, problem := deadline(first(r.Header.Get(headerDeadline), f.deadline), time.Now())
	if problem != nil {
		return nil, problem
	}
	model := r.set.Models[f.model]
	if model == nil || !slices.Contains(r.caller.Models, f.model) {
		return nil, notAvailable("model", f.model)
	}
	rank, problem := rankOf(r.set, r.caller, first(r.Header.Get(headerRank), f.rank))
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
		Deadline: due, PromptTokens: int64(f.messageBytes/bytesPerToken) + 1, MaxTokens: maxTokens,
	}, nil
}

func first(header, field string) string {
	if header != "" {
		return header
	}
	return field
}

// parseChat reads the members that the router needs. A member that another
// decoder could take for one of them is refused, since the engine must not act
// on another model than the one that has been checked.
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
		{name: "model", read: into(&f.model)},
		{name: "stream", read: into(&f.stream)},
		{name: "workspace", read: into(&f.workspace)},
		{name: "chat_id", read: into(&f.chatID)},
		{name: "rank", read: into(&f.rank)},
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
				problem = core.NewProblem(core.KindInvalidRequest, "member %s is given twice or spelt differently", t.name)
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

func into[T any](target *T) func([]byte) error {
	return func(value []byte) error { return json.Unmarshal(value, target) }
}

var errValue = errors.New("caller: value out of range")

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
		return errValue
	}
	f.maxTokens = max(f.maxTokens, *n)
	return nil
}

func (f *chatFields) readMessages(value []byte) error {
	elements := 0
	if !jsonfields.EachElement(value, func([]byte) bool { elements++; return false }) {
		return errValue
	}
	if elements > 0 {
		f.messageBytes = len(value)
	}
	return nil
}

// stream answers with server-sent events.
func (s *Server) stream(r *request, chat *core.ChatRequest) *core.Problem {
	sink := &streamSink{r: r}
	err := s.dispatcher.Chat(r.Context(), chat, sink)
	problem := asProblem(err)
	if !r.w.started() {
		return problem // nil cannot be, since the end of an answer starts it
	}
	if problem == nil {
		sink.end()
		return nil
	}
	sink.fail(problem)
	return problem
}

// whole answers with the assembled answer.
func (s *Server) whole(r *request, chat *core.ChatRequest) *core.Problem {
	sink := &wholeSink{max: s.settings.AnswerBytes}
	sink.Restart()
	if err := s.dispatcher.Chat(r.Context(), chat, sink); err != nil {
		return asProblem(err)
	}
	body, err := sink.assembler.JSON()
	if err != nil {
		return &core.Problem{Kind: core.KindAnswerIncomplete, Outcome: core.OutcomeRan, Detail: "the upstream's chunks are malformed", Err: err}
	}
	r.showWorker(sink.worker)
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = r.w.Write(body) // the connection may be gone
	return nil
}

// asProblem returns the problem that a dispatcher's error is.
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

// showWorker names the worker to callers with diagnostics.
func (r *request) showWorker(worker string) {
	if r.caller.Diagnostics && worker != "" {
		r.w.Header().Set(headerWorker, worker)
	}
}

// wholeSink collects the chunks of an answer.
type wholeSink struct {
	max       int
	assembler *answer.Assembler
	worker    string
}

func (w *wholeSink) Start(worker string) error { w.worker = worker; return nil }

// Restart drops the chunks so far, of which the caller has seen nothing.
func (w *wholeSink) Restart() { w.assembler = answer.NewAssembler(w.max) }

func (w *wholeSink) Chunk(data []byte) error { return w.assembler.Add(data) }

// streamSink sends chunks as server-sent events.
type streamSink struct {
	r     *request
	event []byte // reused for each event
}

// Start sends the header.
func (s *streamSink) Start(worker string) error {
	s.r.showWorker(worker)
	h := s.r.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	s.r.w.WriteHeader(http.StatusOK)
	return nil
}

// Chunk sends one chunk.
func (s *streamSink) Chunk(data []byte) error {
	s.event = appendEvent(s.event[:0], data)
	if _, err := s.r.w.Write(s.event); err != nil {
		return err
	}
	return s.r.w.flush()
}

// appendEvent appends an event with the data, which may have several lines.
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

func (s *streamSink) end() { _ = s.Chunk([]byte("[DONE]")) }

// fail ends a started answer with the problem and without [DONE].
func (s *streamSink) fail(p *core.Problem) {
	body, err := json.Marshal(p.JSON(s.r.id))
	if err != nil {
		return
	}
	s.event = append(s.event[:0], "event: error\n"...)
	s.event = appendEvent(s.event, body)
	_, _ = s.r.w.Write(s.event) // the connection may be gone
	_ = s.r.w.flush()
}

// Guard the interfaces that the dispatcher uses.
var (
	_ core.ChatSink      = (*streamSink)(nil)
	_ core.ChatSink      = (*wholeSink)(nil)
	_ core.ChatRestarter = (*wholeSink)(nil)
)
