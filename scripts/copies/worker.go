package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"auburnlead.example/review/kit"
)

// refusal is how a sheddingWorker turns requests away while all its slots are taken.
type refusal struct {
	Status     int
	RetryAfter string // empty for none
	BodyBytes  int
	Delay      time.Duration
}

// sheddingWorker is a worker of a plain service that runs as many requests as it has slots
// and refuses the others. When a request ID comes again on the channel on which it was
// refused, the worker writes that refusal once more, byte for byte, and then serves the
// request.
type sheddingWorker struct {
	ID, Service, Zone, Address string
	Also                       []string // further instance IDs that it accepts
	Slots                      int
	Work                       time.Duration
	Refusal                    refusal
	Copies                     bool // write the copies
	CopyAnswers                bool // write complete answers once more too
	// Requests whose path contains StreamPath get a stream of Events, and a share Broken of
	// these streams ends with the channel in its middle.
	StreamPath string
	Events     int
	Broken     float64
	Arrivals   *list[arrival]
	Record     *kit.Record

	CameAgain   atomic.Int64 // request IDs that came again on the channel that had refused them
	Copied      atomic.Int64 // copies written, of refusals and answers
	Misdirected atomic.Int64 // requests for other instances
	Accepted    atomic.Int64 // channels

	running  chan struct{}
	born     int64
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// Start listens at an address, which may have port 0, and serves.
func (w *sheddingWorker) Start(address string) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		kit.Unable("worker: %v", err)
	}
	w.listener, w.Address, w.born = l, l.Addr().String(), time.Now().UnixMilli()
	w.running, w.conns = make(chan struct{}, w.Slots), map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.Accepted.Add(1)
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
}

// Crash resets all channels and frees the address, as the end of the process does.
func (w *sheddingWorker) Crash() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// Entry is what the worker writes about itself to the store.
func (w *sheddingWorker) Entry(state string) map[string]any {
	return map[string]any{"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": state, "coldLeftMs": 0, "callSeq": 0, "born": w.born}
}

func (w *sheddingWorker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	refused, answered := map[string][]byte{}, map[string][]byte{} // by request ID, on this channel
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("Auburnlead-Request-Id")
		earlier := answered[id]
		if b := refused[id]; b != nil {
			w.CameAgain.Add(1)
			earlier = b
		}
		if earlier != nil && w.Copies && id != "" {
			w.Copied.Add(1)
			w.Record.Line("worker %s: copy of its earlier answer to %s on %v", w.ID, id, c.RemoteAddr())
			if _, err := c.Write(earlier); err != nil {
				return
			}
		}
		answer, ran, keep := w.answer(c, r, id)
		if len(answer) > 0 {
			if _, err := c.Write(answer); err != nil {
				return
			}
		}
		if !keep {
			return
		}
		if !ran {
			refused[id] = answer
		} else if w.CopyAnswers {
			answered[id] = answer
		}
	}
}

// answer returns the answer to a request, whether the request ran, and whether the channel
// stays. A stream has been written already.
func (w *sheddingWorker) answer(c net.Conn, r *http.Request, id string) (answer []byte, ran, keep bool) {
	echo := fmt.Sprintf("Auburnlead-Request-Id: %s\r\nAuburnlead-Instance-Id: %s\r\n", id, w.ID)
	if want := r.Header.Get("Auburnlead-Expect-Instance"); want != "" && want != w.ID && !slices.Contains(w.Also, want) {
		w.Misdirected.Add(1)
		return []byte("HTTP/1.1 421 Misdirected Request\r\n" + echo + "Content-Length: 0\r\n\r\n"), false, true
	}
	if r.URL.Path == "/healthz" || strings.HasPrefix(r.URL.Path, "/v1/") {
		return []byte("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: 0\r\n\r\n"), true, true
	}
	a := arrival{attempt: r.Header.Get(attemptHeader), worker: w.ID}
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	default:
		w.Arrivals.add(a)
		time.Sleep(w.Refusal.Delay)
		pause := ""
		if w.Refusal.RetryAfter != "" {
			pause = "Retry-After: " + w.Refusal.RetryAfter + "\r\n"
		}
		return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n%sAuburnlead-Not-Executed: 1\r\n%sContent-Length: %d\r\n\r\n%s", w.Refusal.Status, http.StatusText(w.Refusal.Status), echo, pause, w.Refusal.BodyBytes, bytes.Repeat([]byte("."), w.Refusal.BodyBytes)), false, true
	}
	a.ran = true
	w.Arrivals.add(a)
	if w.StreamPath != "" && strings.Contains(r.URL.Path, w.StreamPath) {
		return nil, true, w.stream(c, r, echo)
	}
	time.Sleep(w.Work)
	body := fmt.Appendf(nil, "%s ran %s for %s\n", w.ID, id, a.attempt)
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sAuburnlead-Response-Seal: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", echo, kit.Seal(body), len(body), body), true, true
}

// stream writes the events after the one that the request names. It returns false if the
// stream breaks off.
func (w *sheddingWorker) stream(c net.Conn, r *http.Request, echo string) bool {
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+echo+"Auburnlead-Response-Seal: 3e1b.07.0.0.0.00000000\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	first := 1
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &first)
	if r.Header.Get("Last-Event-Id") != "" {
		first++
	}
	breakAt := 0
	if rand.Float64() < w.Broken {
		breakAt = first + 1 + rand.IntN(max(w.Events-first, 1))
	}
	for n := first; n <= w.Events; n++ {
		time.Sleep(w.Work / time.Duration(w.Events))
		if n == breakAt {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: x\n\n", n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
