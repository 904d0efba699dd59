package kit

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// RawWorker is a worker of a plain service that writes its answers byte by byte. All its
// answers and refusals echo the request ID. While Garble is above 0, this share of its
// answers is followed by additional bytes, late, at the point where the next response is
// expected: the refusal that the examples of the wire show, which has no request ID.
type RawWorker struct {
	ID, Service, Zone, Address string
	Slots                      int
	Work                       time.Duration
	Journal                    *Journal
	Record                     *Record

	garble  atomic.Int64 // in 1/1000
	Extra   atomic.Int64 // how often additional bytes were sent
	running chan struct{}
	born    int64
}

// SetGarble sets the share of answers that additional bytes follow.
func (w *RawWorker) SetGarble(share float64) { w.garble.Store(int64(share * 1000)) }

// StartRawWorker starts a worker.
func StartRawWorker(ip, id, service, zone string, slots int, work time.Duration, j *Journal, r *Record) *RawWorker {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		Unable("worker: %v", err)
	}
	w := &RawWorker{ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Slots: slots, Work: work, Journal: j, Record: r, running: make(chan struct{}, slots), born: time.Now().UnixMilli()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w
}

// Entry is what the worker writes about itself to the store.
func (w *RawWorker) Entry(state string) map[string]any {
	return map[string]any{"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": state, "coldLeftMs": 0, "callSeq": 0, "born": w.born}
}

// additional is the example "a server sheds" of the wire.
const additional = "HTTP/1.1 503 Service Unavailable\r\nAuburnlead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

func (w *RawWorker) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	extra := false // additional bytes after the last answer are due
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Auburnlead-Request-Id")
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if extra {
			extra = false
			w.Extra.Add(1)
			w.Record.Line("worker %s: additional bytes after its last answer, on the channel on which request %s has just come", w.ID, id)
			if _, err := io.WriteString(c, additional); err != nil {
				return
			}
		}
		if want := r.Header.Get("Auburnlead-Expect-Instance"); want != "" && want != w.ID {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAuburnlead-Request-Id: %s\r\nAuburnlead-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.ID)
			continue
		}
		select {
		case w.running <- struct{}{}:
		default:
			w.Journal.Add(Arrival{ID: id, Worker: w.ID, At: time.Now()})
			if _, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nAuburnlead-Request-Id: %s\r\nAuburnlead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id); err != nil {
				return
			}
			continue
		}
		w.Journal.Add(Arrival{ID: id, Worker: w.ID, At: time.Now(), Ran: true})
		time.Sleep(w.Work)
		<-w.running
		answer := fmt.Appendf(nil, "%s ran %s with %d bytes\n", w.ID, id, len(body))
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAuburnlead-Request-Id: %s\r\nAuburnlead-Response-Seal: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", id, Seal(answer), len(answer), answer); err != nil {
			return
		}
		extra = rand.Int64N(1000) < w.garble.Load()
	}
}
