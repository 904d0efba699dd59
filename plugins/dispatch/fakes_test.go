package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/settings"
)

type staticConfig struct{ revision *core.ConfigRevision }

func (c staticConfig) Current() *core.ConfigRevision           { return c.revision }
func (c staticConfig) Subscribe(fn func(*core.ConfigRevision)) { fn(c.revision) }

// fakeSlots is a core.SlotClient that grants the first choice unless refuse
// returns an error. held counts acquisitions minus releases for each attempt.
type fakeSlots struct {
	refuse func(r core.SlotRequest, s *core.Slot) error

	mu           sync.Mutex
	held         map[string]int
	grants       int
	firstChoices []string // first worker of each request
}

func (f *fakeSlots) Acquire(_ context.Context, r core.SlotRequest) (core.Slot, error) {
	now := time.Now()
	s := core.Slot{Attempt: r.Attempt, Upstream: r.Upstream, Worker: r.Workers[0], UseBy: now.Add(2 * time.Second), ExpiresAt: now.Add(time.Minute)}
	f.mu.Lock()
	f.firstChoices = append(f.firstChoices, r.Workers[0])
	f.mu.Unlock()
	if f.refuse != nil {
		if err := f.refuse(r, &s); err != nil {
			return core.Slot{}, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[r.Attempt]++
	f.grants++
	return s, nil
}

func (f *fakeSlots) Release(s core.Slot, _ int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held[s.Attempt]--
}

// allReleased reports whether each granted slot was released exactly once.
func (f *fakeSlots) allReleased() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(slices.Collect(maps.Values(f.held)), func(n int) bool { return n != 0 })
}

// fakeEngines is a core.EngineClient that streams responses of chunkCount chunks.
// fault, if set, returns the fault to inject into a connection; connections are
// numbered from 1.
type fakeEngines struct {
	chunkCount int
	fault      func(connection int, a core.Attempt) streamFault

	mu           sync.Mutex
	connections  []core.Attempt
	cancelled    []string
	endCancelled chan struct{} // if set, cancelled attempts end when it is closed
	runs         int           // attempts that ran or may have run
}

// streamFault is a fault of one connection. Frames are numbered from 1; 0 means
// no fault.
type streamFault struct {
	connectErr error
	closeAt    int   // the connection closes before this frame
	hangAt     int   // the connection stalls before this frame
	injectAt   []int // frames before which a frame of another attempt, an invalid and a duplicate one are sent
}

func (e *fakeEngines) Stream(ctx context.Context, a core.Attempt, _ []byte) (core.FrameReader, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connections = append(e.connections, a)
	var f streamFault
	if e.fault != nil {
		f = e.fault(len(e.connections), a)
	}
	var failed *core.AttemptError
	if !errors.As(f.connectErr, &failed) || failed.Outcome != core.OutcomeNotRun {
		e.runs++
	}
	if f.connectErr != nil {
		return nil, f.connectErr
	}
	last := 0
	_, _ = fmt.Sscanf(strings.TrimPrefix(a.LastEventID, a.ID), "/%d", &last)
	return &fakeStream{ctx: ctx, frames: f.frames(a.ID, last, e.chunkCount), hangs: f.hangAt > 0}, nil
}

// frames returns the frames of a connection that resumes after frame last.
func (f streamFault) frames(attempt string, last, chunks int) (list []core.Frame) {
	for n := last + 1; n <= chunks+1 && n != f.closeAt && n != f.hangAt; n++ {
		if slices.Contains(f.injectAt, n) {
			list = append(list, frame("other", n, "other attempt"), frame("", n, "invalid ID"), frame(attempt, n-1, "duplicate"))
		}
		data := fmt.Sprintf("%d ", n)
		if n > chunks {
			data = "[DONE]"
		}
		list = append(list, frame(attempt, n, data))
	}
	return list
}

func (e *fakeEngines) Cancel(a core.Attempt, ended func()) {
	e.mu.Lock()
	e.cancelled = append(e.cancelled, a.ID)
	e.mu.Unlock()
	if e.endCancelled == nil {
		ended()
		return
	}
	go func() {
		<-e.endCancelled
		ended()
	}()
}

type fakeStream struct {
	ctx    context.Context
	frames []core.Frame
	hangs  bool // stalls after the last frame until ctx ends
}

func (s *fakeStream) Next() (core.Frame, error) {
	if len(s.frames) == 0 {
		if s.hangs {
			<-s.ctx.Done()
		}
		return core.Frame{}, io.EOF
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, nil
}

func (s *fakeStream) Close() error { return nil }

func frame(attempt string, sequence int, data string) core.Frame {
	return core.Frame{ID: fmt.Appendf(nil, "%s/%d", attempt, sequence), Data: []byte(data)}
}

// completeText is the text of a complete response of n chunks.
func completeText(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%d ", i+1)
	}
	return b.String()
}

// textSink joins the chunks. Chunk returns the error of onChunk, if set.
type textSink struct {
	text    strings.Builder
	starts  int
	onChunk func() error
}

func (s *textSink) Start(string) error { s.starts++; return nil }

func (s *textSink) Chunk(data []byte) error {
	s.text.Write(data)
	if s.onChunk != nil {
		return s.onChunk()
	}
	return nil
}

// restartSink is a textSink that supports restarts, like one that buffers the
// response.
type restartSink struct{ textSink }

func (s *restartSink) Restart() { s.text.Reset() }

// fakeServices is a core.ServiceClient. fault, if set, decides the outcome of the
// nth call, from 1.
type fakeServices struct {
	fault func(n int) (ran bool, err error)

	mu      sync.Mutex
	calls   int
	ran     int           // calls that took effect
	release chan struct{} // if set, calls return when it is closed
}

func (s *fakeServices) Call(_ context.Context, a core.Attempt, _ *core.ServiceRequest) (*core.ServiceResponse, error) {
	s.mu.Lock()
	s.calls++
	ran, err := true, error(nil)
	if s.fault != nil {
		ran, err = s.fault(s.calls)
	}
	if ran {
		s.ran++
	}
	s.mu.Unlock()
	if s.release != nil {
		<-s.release
	}
	if err != nil {
		return nil, err
	}
	return &core.ServiceResponse{Status: 201, Body: []byte("booked"), Worker: a.Worker}, nil
}

func attemptError(o core.Outcome, status int) error {
	return &core.AttemptError{Outcome: o, Status: status, Err: errors.New("failed")}
}

func slotError(reason core.SlotReason) error { return &core.SlotError{Reason: reason} }

// harness is a dispatcher with fakes as its dependencies.
type harness struct {
	*Dispatcher
	slots    *fakeSlots
	engines  *fakeEngines
	services *fakeServices
	caller   *objects.Caller
	rank     *objects.Rank
}

func newHarness() *harness {
	var workers []objects.Worker
	for i := range 20 {
		workers = append(workers, objects.Worker{ID: fmt.Sprintf("w%d", i), FailureDomain: []string{"a", "b"}[i%2]})
	}
	set := &objects.Set{
		Models: map[string]*objects.Model{"m": {Name: "m"}, "new": {Name: "new", Fallback: "m"}, "unserved": {Name: "unserved"}},
		Upstreams: map[string]*objects.Upstream{
			"pool": {Name: "pool", Kind: objects.UpstreamEngine, Models: []string{"m"}, Workers: workers, Draining: []string{"w0"}},
			"desk": {Name: "desk", Kind: objects.UpstreamService, OnceMethods: []string{"POST"}, Workers: workers[:4]},
		},
	}
	s := &Settings{}
	src, err := settings.Open("", nil)
	if err == nil {
		err = src.Bind(map[string]any{"dispatch": s})
	}
	if err != nil {
		panic(err)
	}
	h := &harness{slots: &fakeSlots{held: map[string]int{}}, engines: &fakeEngines{chunkCount: 5}, services: &fakeServices{}}
	h.caller = &objects.Caller{Name: "clerks", Weight: 1}
	h.rank = &objects.Rank{Name: "normal", Priority: 3, MaxDuration: time.Minute}
	h.Dispatcher = New(Params{
		Settings: s, Identity: core.Identity{Router: "r/1", FailureDomain: "a", Incarnation: 7}, Config: staticConfig{&core.ConfigRevision{Set: set}},
		Attempts: NewAttemptRegistry("r/1", 7), Slots: h.slots, Engines: h.engines, Services: h.services, Logger: log.New(io.Discard),
	})
	h.submit = func(job func(context.Context)) bool { go job(context.Background()); return true }
	return h
}

func (h *harness) chat(ctx context.Context, sink core.ChatSink) error {
	return h.Chat(ctx, &core.ChatRequest{Caller: h.caller, Rank: h.rank, ChatID: "c1", Model: "m", Body: []byte(`{"model":"m","messages":[]}`)}, sink)
}

func (h *harness) call(ctx context.Context, method, key string) (*core.ServiceResponse, error) {
	return h.Service(ctx, &core.ServiceRequest{Caller: h.caller, Rank: h.rank, Service: "desk", Method: method, Path: "/turns", IdempotencyKey: key})
}

// problemOf returns the kind and outcome of a problem, the text of another error,
// or "" for nil.
func problemOf(err error) string {
	var p *core.Problem
	if errors.As(err, &p) {
		return string(p.Kind) + " " + string(p.Outcome)
	}
	if err != nil {
		return err.Error()
	}
	return ""
}
