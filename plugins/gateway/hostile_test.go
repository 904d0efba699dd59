package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
)

// rawWorker is a worker that writes bytes of its own to the connection instead of
// answers of an HTTP server. It records the requests that it received.
type rawWorker struct {
	mu       sync.Mutex
	requests []string      // IDs, in order
	partial  int           // requests that broke off
	open     int           // connections
	longest  time.Duration // longest time that a closed connection was open
}

// respond writes the answer to a request with an ID. The connection is closed when
// it returns false.
type respond func(conn net.Conn, id string) (keep bool)

// startRawWorker replaces the worker at an address by one that responds with fn.
func (h *harness) startRawWorker(address string, fn respond) *rawWorker {
	return h.startRequestWorker(address, func(conn net.Conn, r *http.Request) bool { return fn(conn, r.Header.Get(testID)) })
}

// startRequestWorker is like startRawWorker for a function that needs the request, whose
// body has been read.
func (h *harness) startRequestWorker(address string, fn func(conn net.Conn, r *http.Request) (keep bool)) *rawWorker {
	w := &rawWorker{}
	l := &memoryListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	h.network.mu.Lock()
	h.network.listeners[address] = l
	h.network.mu.Unlock()
	h.closers = append(h.closers, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(conn, fn)
		}
	}()
	return w
}

func (w *rawWorker) serve(conn net.Conn, fn func(conn net.Conn, r *http.Request) bool) {
	openedAt := time.Now()
	w.mu.Lock()
	w.open++
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.open--
		w.longest = max(w.longest, time.Since(openedAt))
		w.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			w.recordEnd(err)
			return
		}
		body, err := io.ReadAll(r.Body) // the router closes the connection if it ends early
		w.recordEnd(err)
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.mu.Lock()
		w.requests = append(w.requests, r.Header.Get(testID))
		w.mu.Unlock()
		if !fn(conn, r) {
			return
		}
	}
}

// recordEnd records the error of reading a request.
func (w *rawWorker) recordEnd(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(err, io.ErrUnexpectedEOF) {
		w.partial++
	}
}

func (w *rawWorker) received() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// connections returns the number of open connections and the longest time that a
// closed one was open.
func (w *rawWorker) connections() (open int, longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.open, w.longest
}

func answerTo(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", testID, id, testSeal, len(body), body)
}

// Guards against an answer of another request: a worker sends a second copy of an
// answer on a connection that is used again, at once, late, or in place of the
// next answer.
func TestSecondCopyOfAnAnswer(t *testing.T) {
	for _, test := range []struct {
		desc  string
		delay time.Duration
	}{{"at once", 0}, {"while the connection is idle", 50 * time.Millisecond}, {"as the answer to the next request", -1}} {
		inBubble(t, "A second copy of an answer, sent "+test.desc+", reaches no caller", desks(1), func(h *harness) {
			var lastID atomic.Value // of the request before, on any connection
			lastID.Store("")
			h.startRawWorker("desk-0:1", func(conn net.Conn, id string) bool {
				if last := lastID.Swap(id).(string); test.delay < 0 && last != "" {
					_, _ = io.WriteString(conn, answerTo(last, "answer to "+last))
				}
				_, _ = io.WriteString(conn, answerTo(id, "answer to "+id))
				if test.delay >= 0 {
					go func() {
						sleep(test.delay)
						_, _ = io.WriteString(conn, answerTo(id, "answer to "+id))
					}()
				}
				return true
			})
			for i := range 40 {
				id := "id-" + strconv.Itoa(i)
				path := "/read/x"
				if i%2 == 1 {
					path = "/book/x"
				}
				resp, aborted := h.call("POST", path, testID, id)
				if !aborted && resp.Code == http.StatusOK {
					So(resp.Body.String(), ShouldEqual, "answer to "+id)
				}
				So(resp.Code, ShouldBeIn, []int{http.StatusOK, http.StatusBadGateway})
				sleep(time.Duration(i%3) * 30 * time.Millisecond)
			}
		})
	}
}

// Guards against an answer that broke off and reaches the caller as a complete
// success: every framing, cut at every byte.
func TestAnswerCutAtEveryByte(t *testing.T) {
	for _, framing := range []struct{ desc, path, answer string }{
		{"with a length", "/book/x", answerTo("id-1", "the answer")},
		{"in chunks", "/book/x", fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nthe \r\n6\r\nanswer\r\n0\r\n\r\n", testID, testSeal)},
		{"a stream in chunks", "/chat/once/x", fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: id-1\r\n%s: s\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: e1\n\n\r\n10\r\nid: 2\ndata: e2\n\n\r\n0\r\n\r\n", testID, testSeal)},
	} {
		workers := append(desks(1), engines(1)...)
		inBubble(t, "An answer "+framing.desc+" that ends early is never a complete success", workers, func(h *harness) {
			cut := 0
			reply := func(conn net.Conn, _ string) bool {
				_, _ = io.WriteString(conn, framing.answer[:cut])
				return false
			}
			h.startRawWorker("desk-0:1", reply)
			h.startRawWorker("engine-0:1", reply)
			for cut = range len(framing.answer) {
				resp, aborted := h.call("POST", framing.path)
				complete := !aborted && resp.Code >= 200 && resp.Code < 300
				So(fmt.Sprint(cut, complete), ShouldEqual, fmt.Sprint(cut, false))
				So(resp.Code == http.StatusServiceUnavailable && cut > 0, ShouldBeFalse)
				sleep(20 * time.Second) // ends ejections
			}
			cut = len(framing.answer)
			resp, aborted := h.call("POST", framing.path)
			So(aborted, ShouldBeFalse)
			So(resp.Code, ShouldEqual, http.StatusOK)
		})
	}
}

// Guards against work that is run again, and callers that are told that it did not
// run, after an answer was lost or a worker's failure could be read as a promise.
func TestLostAnswerIsNoRefusal(t *testing.T) {
	for _, answer := range []struct{ desc, head string }{
		{"no answer", ""},
		{"half a head", "HTTP/1.1 200 OK\r\nX-Id: id"},
		{"no HTTP", "\x16\x03\x01\x02\x00\r\n\r\n"},
		{"503 without a statement that it was not run", "HTTP/1.1 503 Service Unavailable\r\nX-Id: id-1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"},
		{"429 without such a statement", "HTTP/1.1 429 Too Many Requests\r\nX-Id: id-1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"},
		{"408 without such a statement", "HTTP/1.1 408 Request Timeout\r\nX-Id: id-1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"},
		{"421 of another request", "HTTP/1.1 503 Service Unavailable\r\nX-Id: id-0\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	} {
		for _, path := range []string{"/book/x", "/chat/once/x"} {
			inBubble(t, "After "+answer.desc+" a request of "+path+" is not run again and its caller gets no promise", append(desks(2), engines(2)...), func(h *harness) {
				var workers []*rawWorker
				for address := range h.network.listeners {
					workers = append(workers, h.startRawWorker(address, func(conn net.Conn, _ string) bool {
						_, _ = io.WriteString(conn, answer.head)
						return false
					}))
				}
				resp, _ := h.call("POST", path)
				runs := 0
				for _, w := range workers {
					runs += w.received()
				}
				So(runs, ShouldEqual, 1)
				So(resp.Code, ShouldEqual, http.StatusBadGateway)
				So(resp.Header().Get(testSeal), ShouldBeEmpty)
				So(resp.Header().Get("Retry-After"), ShouldBeEmpty)
			})
		}
	}
}

// writeForever writes text until the connection is closed.
func writeForever(conn net.Conn, text string, pause time.Duration) bool {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return false
		}
		if pause > 0 {
			sleep(pause)
		}
	}
}

// Guards against bytes without end, in a head or a body: they must not fill the
// memory, keep a worker's connection open after the decision, or end as a success.
func TestEndlessBytes(t *testing.T) {
	head := func(status, more string) string {
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s: id-1\r\n%s: s\r\n%s\r\n", status, testID, testSeal, more)
	}
	block := strings.Repeat("x", 8192)
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(block), block)
	for _, test := range []struct {
		desc, path, start, repeat string
		within                    time.Duration // until the worker's connection is closed
	}{
		{"a status line", "/book/x", "", block, 500 * time.Millisecond},
		{"a head", "/book/x", "HTTP/1.1 200 OK\r\n", "X-A: " + block + "\r\n", 500 * time.Millisecond},
		{"interim answers", "/book/x", "", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n", 500 * time.Millisecond},
		{"a failure with a large length", "/book/x", head("500 Internal Server Error", "Content-Length: 99999999999\r\n"), block, 500 * time.Millisecond},
		{"a failure in chunks", "/book/x", head("500 Internal Server Error", "Transfer-Encoding: chunked\r\n"), chunk, 500 * time.Millisecond},
		{"a failure up to the close", "/book/x", head("502 Bad Gateway", ""), block, 500 * time.Millisecond},
		{"a success in chunks", "/book/x", head("200 OK", "Transfer-Encoding: chunked\r\n"), chunk, 2500 * time.Millisecond},
		{"a success up to the close", "/book/x", head("200 OK", ""), block, 2500 * time.Millisecond},
		{"a stream's line", "/chat/once/x", head("200 OK", ""), block, 500 * time.Millisecond},
		{"a stream's event", "/chat/once/x", head("200 OK", ""), "data: x\n", 500 * time.Millisecond},
		{"a stream's failure", "/chat/once/x", head("500 Internal Server Error", ""), block, 500 * time.Millisecond},
	} {
		inBubble(t, "Endless bytes in "+test.desc+" end at a limit", append(desks(1), engines(1)...), func(h *harness) {
			reply := func(conn net.Conn, _ string) bool {
				if _, err := io.WriteString(conn, test.start); err != nil {
					return false
				}
				return writeForever(conn, test.repeat, 0)
			}
			desk, engine := h.startRawWorker("desk-0:1", reply), h.startRawWorker("engine-0:1", reply)
			resp, aborted := h.call("POST", test.path)
			So(aborted || resp.Code >= 500, ShouldBeTrue)
			So(resp.Code, ShouldNotEqual, http.StatusServiceUnavailable)
			So(resp.Body.Len(), ShouldBeLessThanOrEqualTo, maxForwardedInTest)
			sleep(time.Millisecond)
			for _, w := range []*rawWorker{desk, engine} {
				open, longest := w.connections()
				So(open, ShouldEqual, 0)
				So(longest, ShouldBeLessThanOrEqualTo, test.within)
			}
		})
	}
}

// Guards against a worker's connection that stays open with a failure that is not
// forwarded, while another worker serves the request.
func TestLargeFailureIsClosed(t *testing.T) {
	inBubble(t, "A failure above the buffer is closed at once when the request goes to another worker", desks(2), func(h *harness) {
		var mu sync.Mutex
		requests := 0
		reply := func(conn net.Conn, id string) bool {
			mu.Lock()
			requests++
			first := requests == 1
			mu.Unlock()
			if !first {
				sleep(1500 * time.Millisecond)
				_, _ = io.WriteString(conn, answerTo(id, "the answer"))
				return true
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 500 Internal Server Error\r\nX-Id: id-1\r\nX-Seal: s\r\n\r\n")
			return writeForever(conn, strings.Repeat("x", 8192), time.Millisecond)
		}
		workers := []*rawWorker{h.startRawWorker("desk-0:1", reply), h.startRawWorker("desk-1:1", reply)}
		resp, _ := h.call("POST", "/read/x")
		So(resp.Code, ShouldEqual, http.StatusOK)
		So(resp.Body.String(), ShouldEqual, "the answer")
		closed := time.Duration(0)
		for _, w := range workers {
			_, longest := w.connections()
			closed = max(closed, longest)
		}
		So(closed, ShouldBeBetween, 0, 500*time.Millisecond)
	})
}

// maxForwardedInTest is the limit of a response in the settings of the harness.
const maxForwardedInTest = 1 << 22

// Guards against a stream that is cut although it is sound, and against one that
// makes no progress and never ends.
func TestProgressOfStreams(t *testing.T) {
	event := func(i int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i) }
	stream := func(w http.ResponseWriter, n int, pause time.Duration) {
		w.Header().Set(testSeal, "s")
		for i := 1; i <= n; i++ {
			_, _ = io.WriteString(w, event(i))
			_ = http.NewResponseController(w).Flush()
			sleep(pause)
		}
	}
	for _, path := range []string{"/chat/x", "/chat/once/x", "/chat/plain/x"} {
		inBubble(t, "A slow stream on "+path+" is delivered whole by the worker that began it", engines(3), func(h *harness) {
			h.setHandlers(func(w http.ResponseWriter, _ *http.Request) { stream(w, 12, 790*time.Millisecond) })
			resp, aborted := h.call("POST", path)
			So(aborted, ShouldBeFalse)
			So(resp.Code, ShouldEqual, http.StatusOK)
			So(strings.Count(resp.Body.String(), "data:"), ShouldEqual, 12)
			So(h.requestCount(), ShouldEqual, 1)
		})
	}
	for _, stalled := range []struct{ desc, drip string }{{"single bytes of an unfinished event", "d"}, {"comments", ": still here\n\n"}} {
		inBubble(t, "A stream that only sends "+stalled.desc+" is resumed elsewhere, or ended at the timeout where it may not be", engines(3), func(h *harness) {
			first := true
			h.setHandlers(func(w http.ResponseWriter, r *http.Request) {
				if !first && r.Header.Get(testLastEventID) == "2" {
					w.Header().Set(testSeal, "s")
					events(w, 3, 4)
					return
				}
				first = false
				w.Header().Set(testSeal, "s")
				events(w, 1, 2)
				for r.Context().Err() == nil {
					_, _ = io.WriteString(w, stalled.drip)
					_ = http.NewResponseController(w).Flush()
					sleep(300 * time.Millisecond)
				}
			})
			start := time.Now()
			resp, aborted := h.call("POST", "/chat/x")
			So(aborted, ShouldBeFalse)
			So(strings.Count(resp.Body.String(), "data:"), ShouldEqual, 4)
			So(time.Since(start), ShouldBeLessThan, 3*time.Second)
			first = true
			start = time.Now()
			_, aborted = h.call("POST", "/chat/once/x")
			So(aborted, ShouldBeTrue)
			So(time.Since(start), ShouldBeLessThanOrEqualTo, 10*time.Second)
		})
	}
	inBubble(t, "A whole answer that arrives a byte now and then ends at the timeout as a failure", desks(1), func(h *harness) {
		w := h.startRawWorker("desk-0:1", func(conn net.Conn, id string) bool {
			_, _ = io.WriteString(conn, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: 1000\r\n\r\n", testID, id, testSeal))
			return writeForever(conn, "x", 300*time.Millisecond)
		})
		start := time.Now()
		resp, _ := h.call("POST", "/book/x")
		So(resp.Code, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(start), ShouldBeLessThanOrEqualTo, 2*time.Second)
		sleep(time.Second)
		open, longest := w.connections()
		So(open, ShouldEqual, 0)
		So(longest, ShouldBeLessThanOrEqualTo, 2500*time.Millisecond)
	})
}

// Guards against an unexpected error in one request that leaves no trace or ends
// other requests.
func TestPanicEndsOneRequest(t *testing.T) {
	inBubble(t, "A handler that panics closes its connection and is logged; the next request is served", desks(1), func(h *harness) {
		var lines strings.Builder
		h.decisions.lines = boundedlog.New(log.New(&lines), 100)
		wire := h.wire
		h.wire = nil // its use panics
		_, aborted := h.call("POST", "/read/x")
		So(aborted, ShouldBeTrue)
		So(lines.String(), ShouldContainSubstring, "request handler failed")
		So(h.decisions.inFlight(), ShouldEqual, 0)
		h.wire = wire
		resp, aborted := h.call("POST", "/read/x")
		So(aborted, ShouldBeFalse)
		So(resp.Code, ShouldEqual, http.StatusOK)
	})
}
