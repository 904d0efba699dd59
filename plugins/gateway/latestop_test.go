//go:build !race || !arm64

// On arm64 the race detector of Go 1.26 itself crashes in some runs of this test.

package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// lateCaller opens a connection, sends the parts of one request and reads the response,
// each at a time after the begin of a stop.
type lateCaller struct {
	path             string
	open, head, body time.Duration
	work             time.Duration // how long a worker takes

	status   int
	complete bool // the response was read to its end
}

func (c *lateCaller) run(l *memoryListener, id string, start time.Time) {
	at := func(d time.Duration) { sleep(time.Until(start.Add(d))) }
	at(c.open)
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
	case <-l.done:
		return
	}
	defer ours.Close()
	reader := bufio.NewReader(ours)
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, err := http.ReadResponse(reader, nil)
		if err == nil {
			c.status = resp.StatusCode
			_, err = io.Copy(io.Discard, resp.Body)
			c.complete = err == nil
		}
	}()
	at(c.head)
	_, _ = fmt.Fprintf(ours, "POST %s HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: secret\r\nX-Work: %s\r\nContent-Length: 4\r\n\r\n", c.path, testID, id, testKey, c.work)
	at(c.body)
	_, _ = io.WriteString(ours, "body")
	<-done
}

// Guards against requests that come late in a planned stop, are passed on and end with
// it without an answer: late connections, heads and bodies, and long work.
func TestLateRequestsInPlannedStop(t *testing.T) {
	for _, path := range []string{"/book/x", "/read/x", "/chat/x", "/chat/once/x"} {
		var callers []*lateCaller
		for _, open := range []time.Duration{0, time.Second, 2900 * time.Millisecond} {
			for _, head := range []time.Duration{0, 2 * time.Second, 3500 * time.Millisecond, 5 * time.Second, 7 * time.Second} {
				for _, bodyAfter := range []time.Duration{0, 1500 * time.Millisecond} {
					for _, work := range []time.Duration{100 * time.Millisecond, 1900 * time.Millisecond, 6100 * time.Millisecond} {
						if head >= open {
							callers = append(callers, &lateCaller{path: path, open: open, head: head, body: head + bodyAfter, work: work})
						}
					}
				}
			}
		}
		inBubble(t, "Each request to "+path+" that reached a worker is answered, late ones by their worker", append(desks(2), engines(2)...), func(h *harness) {
			checkLateCallers(h, callers)
		})
	}
}

func checkLateCallers(h *harness, callers []*lateCaller) {
	const drainDelay, stopWithin = 3 * time.Second, 8 * time.Second
	h.settings.DrainDelay, h.settings.StopWithin = drainDelay, stopWithin
	var mu sync.Mutex
	reached := map[string]time.Duration{} // by request ID, since the begin of the stop
	l := &memoryListener{address: "caller:1", conns: make(chan net.Conn), done: make(chan struct{})}
	go func() { _ = h.server.serveCallers(l) }() // ends with the stop
	sleep(time.Second)
	start := time.Now()
	h.setHandlers(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		reached[r.Header.Get(testID)] = time.Since(start)
		mu.Unlock()
		work, _ := time.ParseDuration(r.Header.Get("X-Work"))
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		}
		w.Header().Set(testSeal, "s")
		events(w, 1, 1)
	})
	var running sync.WaitGroup
	for i, c := range callers {
		running.Go(func() { c.run(l, fmt.Sprint("id-", i), start) })
	}
	stopped := h.server.stop(context.Background())
	So(time.Since(start), ShouldBeLessThanOrEqualTo, stopWithin)
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	var unanswered []string
	for i, c := range callers {
		at, passedOn := reached[fmt.Sprint("id-", i)]
		ok := c.complete && (c.status == http.StatusServiceUnavailable || c.status == http.StatusRequestTimeout)
		switch {
		case passedOn && at > drainDelay:
			ok = c.complete && (c.status == http.StatusOK || c.status == http.StatusGatewayTimeout)
		case passedOn:
			ok = c.complete
		}
		if !ok {
			unanswered = append(unanswered, fmt.Sprintf("opened %v, head %v, body %v, work %v, passed on %t at %v: status %d", c.open, c.head, c.body, c.work, passedOn, at, c.status))
		}
	}
	So(unanswered, ShouldBeEmpty)
	So(stopped, ShouldBeNil)
}
