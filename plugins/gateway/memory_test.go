package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// discardingWriter is a response writer that keeps nothing of the body.
type discardingWriter struct{ header http.Header }

func (w *discardingWriter) Header() http.Header       { return w.header }
func (*discardingWriter) Write(p []byte) (int, error) { return len(p), nil }
func (*discardingWriter) WriteHeader(int)             {}
func (*discardingWriter) Flush()                      {}

// Guards against the memory that many faulty workers at once can fill with bytes that
// are no answer, in a head or a body.
func TestEndlessBytesOfManyWorkers(t *testing.T) {
	// Ten times the requests that a router of the smallest VM has in flight at the
	// usual rate, in half of its memory. Each worker writes several times what would
	// fill it.
	const requests, limit, written = 100, 184 << 20 / 2, 4 << 20
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %%s\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n", testID, testSeal)
	block := strings.Repeat("x", 8192)
	for _, test := range []struct{ desc, path, start, repeat string }{
		{"a head", "/book/x", "HTTP/1.1 200 OK\r\n", "X-A: " + block + "\r\n"},
		{"a body", "/book/x", head, fmt.Sprintf("%x\r\n%s\r\n", len(block), block)},
		{"a stream's event", "/chat/once/x", head, fmt.Sprintf("%x\r\ndata: %s\n\r\n", len(block)+7, block)},
	} {
		inBubble(t, "Endless bytes in "+test.desc+" of many requests at once stay within their limits", append(desks(4), engines(4)...), func(h *harness) {
			h.settings.HeaderBytes, h.settings.AnswerBytes, h.settings.EventBytes = 64<<10, 256<<10, 64<<10 // the defaults
			var writes atomic.Int64
			var mu sync.Mutex
			most := uint64(0)
			live := func() uint64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			for address := range h.network.listeners {
				h.startRawWorker(address, func(conn net.Conn, id string) bool {
					start := test.start
					if strings.Contains(start, "%s") {
						start = fmt.Sprintf(start, id)
					}
					_, _ = io.WriteString(conn, start)
					for range written / len(test.repeat) {
						if _, err := io.WriteString(conn, test.repeat); err != nil {
							return false
						}
						// The first writes are measured more often: most workers are cut off early.
						if n := writes.Add(1); n%200 != 0 || n > 2000 && n%2000 != 0 {
							continue
						}
						mu.Lock()
						most = max(most, live())
						mu.Unlock()
					}
					return false
				})
			}
			before := live()
			var running sync.WaitGroup
			for i := range requests {
				running.Go(func() {
					defer func() { _ = recover() }() // aborted responses
					r := httptest.NewRequestWithContext(context.Background(), "POST", "http://desk.example"+test.path, strings.NewReader("body"))
					r.Header.Set(testID, "id-"+strconv.Itoa(i))
					r.Header.Set(testKey, "secret")
					h.serveRequest(&discardingWriter{http.Header{}}, r)
				})
			}
			running.Wait()
			sleep(time.Second)
			mu.Lock()
			defer mu.Unlock()
			So(most, ShouldBeGreaterThan, 0)
			So(most, ShouldBeLessThanOrEqualTo, before+limit)
		})
	}
}
