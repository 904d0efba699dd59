package caller_test

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// streamBody asks for an answer of the given number of tokens.
func streamBody(tokens string) string {
	return `{"model":"rota-8b-v3","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("whose turn is it? ", 100) + `"}],"max_tokens":` + tokens + `}`
}

// firstToken sends a request and returns the time to the first chunk.
func firstToken(b *testing.B, url, body string) time.Duration {
	r, err := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer secret")
	begin := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		if strings.HasPrefix(line, "data:") {
			break
		}
	}
	took := time.Since(begin)
	_, _ = io.Copy(io.Discard, lines)
	return took
}

// BenchmarkFirstToken compares the time to the first chunk through a router
// with that of the engine alone. The targets of the difference are 300 µs
// (p50) and 1000 µs (p99).
func BenchmarkFirstToken(b *testing.B) {
	r := newRouter(b)
	alone := httptest.NewServer(r.engine.Handler())
	defer alone.Close()
	direct, routed := hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3)
	body := streamBody("3")
	for b.Loop() {
		_ = direct.RecordValue(int64(firstToken(b, alone.URL, body)))
		_ = routed.RecordValue(int64(firstToken(b, r.url, body)))
	}
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50-added-µs", 50}, {"p99-added-µs", 99}} {
		b.ReportMetric(float64(routed.ValueAtQuantile(q.at)-direct.ValueAtQuantile(q.at))/1000, q.name)
	}
}

// BenchmarkStream is the cost of a frame from the engine to the caller, those
// of the stand-in engine and of the client included.
func BenchmarkStream(b *testing.B) {
	r := newRouter(b)
	const tokens = 1000
	b.ReportAllocs()
	for b.Loop() {
		firstToken(b, r.url, streamBody("1000"))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/tokens, "ns/frame")
}
