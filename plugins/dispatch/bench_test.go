package dispatch

import (
	"context"
	"testing"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
)

// frames returns n frames of usual size.
func frames(n int) (list []core.Frame) {
	for i := range n {
		list = append(list, frame("a", i+1, `{"id":"chatcmpl-attempt-1","object":"chat.completion.chunk","created":1700000000,"model":"rota-8b-v3","choices":[{"index":0,"delta":{"content":" well"},"finish_reason":null}]}`))
	}
	return list
}

// discard takes chunks and does nothing with them.
type discard struct{}

func (discard) Start(string) error { return nil }
func (discard) Chunk([]byte) error { return nil }

// BenchmarkDeliver is the cost of one frame in dispatch: check, token counts
// and delivery. It must not allocate, since streams are long and many.
func BenchmarkDeliver(b *testing.B) {
	d := newBench()
	c := &chat{job: job{d: d.Dispatcher}, request: &core.ChatRequest{}, sink: discard{}}
	list := frames(1000)
	b.ReportAllocs()
	for b.Loop() {
		_ = c.deliver(&fakeStream{frames: list}, answer.NewChecker("a"), "w")
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(list)), "ns/frame")
}

// BenchmarkChat is the cost of a chat without its frames: placement, slot,
// attempt and accounts.
func BenchmarkChat(b *testing.B) {
	d := newBench()
	d.engines.chunks = 1
	d.submit = func(func(context.Context)) bool { return false }
	b.ReportAllocs()
	for b.Loop() {
		if err := d.chat(context.Background(), discard{}); err != nil {
			b.Fatal(err)
		}
		d.engines.connections = d.engines.connections[:0]
		d.slots.asked = d.slots.asked[:0]
		clear(d.slots.held)
	}
}

// Guards against allocation for each frame, which would grow with the number
// of open streams.
func TestDeliverAllocatesNothing(t *testing.T) {
	d := newBench()
	c := &chat{job: job{d: d.Dispatcher}, request: &core.ChatRequest{}, sink: discard{}}
	run := func(list []core.Frame) float64 {
		return testing.AllocsPerRun(10, func() { _ = c.deliver(&fakeStream{frames: list}, answer.NewChecker("a"), "w") })
	}
	if short, long := run(frames(1)), run(frames(1000)); long > short {
		t.Fatalf("%v allocations for 1 frame, %v for 1000 frames", short, long)
	}
}
