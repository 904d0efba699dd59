package dispatch

import (
	"context"
	"testing"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
)

// frames returns n frames of typical size.
func frames(n int) (list []core.Frame) {
	for i := range n {
		list = append(list, frame("a", i+1, `{"id":"chatcmpl-attempt-1","object":"chat.completion.chunk","created":1700000000,"model":"rota-8b-v3","choices":[{"index":0,"delta":{"content":" well"},"finish_reason":null}]}`))
	}
	return list
}

// discardSink is a core.ChatSink that discards the chunks.
type discardSink struct{}

func (discardSink) Start(string) error { return nil }
func (discardSink) Chunk([]byte) error { return nil }

// BenchmarkForwardFrames measures the cost of one frame in dispatch: check, token
// counts and forwarding. It must not allocate, since many long streams are open
// at a time.
func BenchmarkForwardFrames(b *testing.B) {
	h := newHarness()
	c := &chatCompletion{requestJob: requestJob{d: h.Dispatcher}, request: &core.ChatRequest{}, sink: discardSink{}}
	list := frames(1000)
	b.ReportAllocs()
	for b.Loop() {
		_ = c.forwardFrames(&fakeStream{frames: list}, answer.NewChecker("a"), "w")
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(list)), "ns/frame")
}

// BenchmarkChat measures the cost of a chat completion apart from its frames:
// placement, slot, attempt and bookkeeping.
func BenchmarkChat(b *testing.B) {
	h := newHarness()
	h.engines.chunkCount = 1
	h.submit = func(func(context.Context)) bool { return false }
	b.ReportAllocs()
	for b.Loop() {
		if err := h.chat(context.Background(), discardSink{}); err != nil {
			b.Fatal(err)
		}
		h.engines.connections = h.engines.connections[:0]
		h.slots.firstChoices = h.slots.firstChoices[:0]
		clear(h.slots.held)
	}
}

// Guards against allocations for each frame, whose rate would grow with the
// number of open streams.
func TestForwardFramesDoesNotAllocate(t *testing.T) {
	h := newHarness()
	c := &chatCompletion{requestJob: requestJob{d: h.Dispatcher}, request: &core.ChatRequest{}, sink: discardSink{}}
	run := func(list []core.Frame) float64 {
		return testing.AllocsPerRun(10, func() { _ = c.forwardFrames(&fakeStream{frames: list}, answer.NewChecker("a"), "w") })
	}
	if short, long := run(frames(1)), run(frames(1000)); long > short {
		t.Fatalf("%v allocations for 1 frame, %v for 1000 frames", short, long)
	}
}
