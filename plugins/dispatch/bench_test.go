package dispatch

import (
	"context"
	"io"
	"strconv"
	"testing"

	"github.com/auburnlead/auburnlead/answer"
	"github.com/auburnlead/auburnlead/internal/core"
)

// chunkData is a chunk of usual size.
var chunkData = []byte(`{"id":"chatcmpl-attempt-1","object":"chat.completion.chunk","created":1700000000,"model":"rota-8b-v3","choices":[{"index":0,"delta":{"content":" well"},"finish_reason":null}]}`)

// endless is a stream of n frames without allocation.
type endless struct {
	id   []byte
	next uint64
	n    int
}

func (e *endless) Next() (core.Frame, error) {
	if e.n == 0 {
		return core.Frame{}, io.EOF
	}
	e.n--
	e.next++
	e.id = strconv.AppendUint(append(e.id[:0], "a/"...), e.next, 10)
	return core.Frame{ID: e.id, Data: chunkData}, nil
}

func (e *endless) Close() error { return nil }

// discard takes chunks and does nothing with them.
type discard struct{}

func (discard) Start(string) error { return nil }
func (discard) Chunk([]byte) error { return nil }

// BenchmarkDeliver is the cost of one frame in dispatch: check, token counts
// and delivery. It must not allocate, since streams are long and many.
func BenchmarkDeliver(b *testing.B) {
	d := newBench()
	c := &chat{job: job{d: d.Dispatcher}, request: &core.ChatRequest{}, sink: discard{}}
	b.ReportAllocs()
	_ = c.deliver(&endless{n: b.N}, answer.NewChecker("a"), "w")
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
	const frames = 1000
	d := newBench()
	c := &chat{job: job{d: d.Dispatcher}, request: &core.ChatRequest{}, sink: discard{}}
	stream := func(n int) float64 {
		return testing.AllocsPerRun(10, func() { _ = c.deliver(&endless{n: n}, answer.NewChecker("a"), "w") })
	}
	if short, long := stream(1), stream(frames); long > short+1 {
		t.Fatalf("%v allocations for 1 frame, %v for %d frames", short, long, frames)
	}
}
