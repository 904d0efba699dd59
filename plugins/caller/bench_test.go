package caller

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/auburnlead/auburnlead/objects"
)

// nowhere is a connection that takes everything.
type nowhere struct{ header http.Header }

func (n nowhere) Header() http.Header              { return n.header }
func (n nowhere) Write(b []byte) (int, error)      { return len(b), nil }
func (n nowhere) WriteHeader(int)                  {}
func (n nowhere) FlushError() error                { return nil }
func (n nowhere) SetWriteDeadline(time.Time) error { return nil }

var chunkData = []byte(`{"id":"chatcmpl-attempt-1","object":"chat.completion.chunk","created":1700000000,"model":"rota-8b-v3","choices":[{"index":0,"delta":{"content":" well"},"finish_reason":null}]}`)

func startedSink() *streamSink {
	sink := &streamSink{r: &request{caller: &objects.Caller{}, w: newResponse(nowhere{http.Header{}}, time.Second)}}
	_ = sink.Start("w1")
	return sink
}

// BenchmarkChunk is the cost of one chunk in the caller API, without the
// connection.
func BenchmarkChunk(b *testing.B) {
	sink := startedSink()
	b.ReportAllocs()
	for b.Loop() {
		if err := sink.Chunk(chunkData); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against allocation for each chunk, which would grow with the number
// of open streams.
func TestChunkAllocatesNothing(t *testing.T) {
	sink := startedSink()
	if n := testing.AllocsPerRun(1000, func() { _ = sink.Chunk(chunkData) }); n > 0 {
		t.Fatalf("%v allocations for each chunk", n)
	}
}

// BenchmarkParse is the cost of reading the members of a long body (32 KB).
func BenchmarkParse(b *testing.B) {
	body := []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("whose turn is it? ", 1800) + `"}],"max_tokens":100}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, p := parseChat(body); p != nil {
			b.Fatal(p)
		}
	}
}
