package caller

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/auburnlead/auburnlead/objects"
)

// discardWriter is an http.ResponseWriter that discards what is written.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header              { return w.header }
func (w discardWriter) Write(b []byte) (int, error)      { return len(b), nil }
func (w discardWriter) WriteHeader(int)                  {}
func (w discardWriter) FlushError() error                { return nil }
func (w discardWriter) SetWriteDeadline(time.Time) error { return nil }

var chunkData = []byte(`{"id":"chatcmpl-attempt-1","object":"chat.completion.chunk","created":1700000000,"model":"rota-8b-v3","choices":[{"index":0,"delta":{"content":" well"},"finish_reason":null}]}`)

func startedSink() *streamSink {
	sink := &streamSink{r: &apiRequest{caller: &objects.Caller{}, w: newResponse(discardWriter{http.Header{}}, time.Second)}}
	_ = sink.Start("w1")
	return sink
}

// BenchmarkChunk measures the cost of one chunk in the caller API, without the
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

// Guards against allocations for each chunk, whose rate would grow with the number
// of open streams.
func TestChunkDoesNotAllocate(t *testing.T) {
	sink := startedSink()
	if n := testing.AllocsPerRun(1000, func() { _ = sink.Chunk(chunkData) }); n > 0 {
		t.Fatalf("%v allocations per chunk", n)
	}
}

// BenchmarkParseChat measures the cost of reading the members of a long body
// (32 KB).
func BenchmarkParseChat(b *testing.B) {
	body := []byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("whose turn is it? ", 1800) + `"}],"max_tokens":100}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, p := parseChat(body); p != nil {
			b.Fatal(p)
		}
	}
}
