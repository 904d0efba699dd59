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

type staticConfig struct{ p *core.ConfigRevision }

func (c staticConfig) Current() *core.ConfigRevision           { return c.p }
func (c staticConfig) Subscribe(fn func(*core.ConfigRevision)) { fn(c.p) }

// fakeSlots grants slots unless grant says otherwise, and counts each slot's
// acquisition up and its release down.
type fakeSlots struct {
	grant func(r core.SlotRequest, s *core.Slot) error

	mu     sync.Mutex
	held   map[string]int
	grants int
	asked  []string // first choices
}

func (f *fakeSlots) Acquire(_ context.Context, r core.SlotRequest) (core.Slot, error) {
	now := time.Now()
	s := core.Slot{Attempt: r.Attempt, Upstream: r.Upstream, Worker: r.Workers[0], UseBy: now.Add(2 * time.Second), Until: now.Add(time.Minute)}
	f.mu.Lock()
	f.asked = append(f.asked, r.Workers[0])
	f.mu.Unlock()
	if f.grant != nil {
		if err := f.grant(r, &s); err != nil {
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

// balanced reports whether each slot has been released exactly once.
func (f *fakeSlots) balanced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.ContainsFunc(slices.Collect(maps.Values(f.held)), func(n int) bool { return n != 0 })
}

// fakeEngines streams an answer of the given length; fault changes what one
// connection does.
type fakeEngines struct {
	chunks int
	fault  func(connection int, a core.Attempt) streamFault

	mu          sync.Mutex
	connections []core.Attempt
	cancelled   []string
	ending      chan struct{} // delays the end of cancelled attempts
	runs        int
}

// streamFault says what goes wrong on one connection.
type streamFault struct {
	refuse error
	cutAt  int   // connection ends before this frame
	hangAt int   // nothing comes instead of this frame
	mix    []int // frames before which crossed, foreign and doubled ones come
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
	if !errors.As(f.refuse, &failed) || failed.Outcome != core.OutcomeNotRun {
		e.runs++
	}
	if f.refuse != nil {
		return nil, f.refuse
	}
	last := 0
	_, _ = fmt.Sscanf(strings.TrimPrefix(a.LastEventID, a.ID), "/%d", &last)
	return &fakeStream{ctx: ctx, frames: f.frames(a.ID, last, e.chunks), hangs: f.hangAt > 0}, nil
}

// frames returns the frames of a connection after the last one received.
func (f streamFault) frames(attempt string, last, chunks int) (list []core.Frame) {
	for n := last + 1; n <= chunks+1 && n != f.cutAt && n != f.hangAt; n++ {
		if slices.Contains(f.mix, n) {
			list = append(list, frame("other", n, "crossed"), frame("", n, "foreign"), frame(attempt, n-1, "doubled"))
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
	if e.ending == nil {
		ended()
		return
	}
	go func() {
		<-e.ending
		ended()
	}()
}

type fakeStream struct {
	ctx    context.Context
	frames []core.Frame
	hangs  bool // instead of ending
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

// wholeAnswer is what a caller must receive for an answer of n chunks.
func wholeAnswer(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%d ", i+1)
	}
	return b.String()
}

// textSink collects the chunks. onChunk, if set, can refuse them.
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

// restartSink passes nothing on before the end.
type restartSink struct{ textSink }

func (s *restartSink) Restart() { s.text.Reset() }

// fakeServices answers calls; fault may fail the nth one. ran counts calls
// that took effect.
type fakeServices struct {
	fault func(n int) (ran bool, err error)

	mu    sync.Mutex
	calls int
	ran   int
	hold  chan struct{} // delays the answer until it is closed
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
	if s.hold != nil {
		<-s.hold
	}
	if err != nil {
		return nil, err
	}
	return &core.ServiceResponse{Status: 201, Body: []byte("booked"), Worker: a.Worker}, nil
}

func failure(o core.Outcome, status int) error {
	return &core.AttemptError{Outcome: o, Status: status, Err: errors.New("failed")}
}

func refusal(reason core.SlotReason) error { return &core.SlotError{Reason: reason} }

// bench is a dispatcher between fakes.
type bench struct {
	*Dispatcher
	slots    *fakeSlots
	engines  *fakeEngines
	services *fakeServices
	caller   *objects.Caller
	rank     *objects.Rank
}

func newBench() *bench {
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
	b := &bench{slots: &fakeSlots{held: map[string]int{}}, engines: &fakeEngines{chunks: 5}, services: &fakeServices{}}
	b.caller = &objects.Caller{Name: "clerks", Weight: 1}
	b.rank = &objects.Rank{Name: "normal", Priority: 3, MaxDuration: time.Minute}
	b.Dispatcher = New(Params{
		Settings: s, Identity: core.Identity{Router: "r/1", FailureDomain: "a", Incarnation: 7}, Config: staticConfig{&core.ConfigRevision{Set: set}},
		Attempts: NewAttemptRegistry("r/1", 7), Slots: b.slots, Engines: b.engines, Services: b.services, Logger: log.New(io.Discard),
	})
	b.submit = func(job func(context.Context)) bool { go job(context.Background()); return true }
	return b
}

func (b *bench) chat(ctx context.Context, sink core.ChatSink) error {
	return b.Chat(ctx, &core.ChatRequest{Caller: b.caller, Rank: b.rank, ChatID: "c1", Model: "m", Body: []byte(`{"model":"m","messages":[]}`)}, sink)
}

func (b *bench) call(ctx context.Context, method, key string) (*core.ServiceResponse, error) {
	return b.Service(ctx, &core.ServiceRequest{Caller: b.caller, Rank: b.rank, Service: "desk", Method: method, Path: "/turns", IdempotencyKey: key})
}

// problemOf returns kind and outcome of an error, "" for none.
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
