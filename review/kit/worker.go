package kit

import (
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Arrival is a request that reached a worker.
type Arrival struct {
	ID, Worker string
	At         time.Time
	Ran        bool
}

// Journal collects the arrivals of all workers.
type Journal struct {
	mu       sync.Mutex
	arrivals []Arrival
}

// Add adds an arrival.
func (j *Journal) Add(a Arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.arrivals = append(j.arrivals, a)
}

// All returns a copy of the arrivals.
func (j *Journal) All() []Arrival {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]Arrival(nil), j.arrivals...)
}

// Seal returns a digest of an answer's body.
func Seal(body []byte) string {
	return fmt.Sprintf("3e1b.07.%x.%d.0.%08x", len(body)%4096, len(body), crc32.ChecksumIEEE(body))
}

// Worker is a sound worker of a plain service.
type Worker struct {
	ID, Service, Zone, Address string
	Slots                      int
	Work                       time.Duration
	Journal                    *Journal
	born                       int64
	running                    chan struct{}
	hang                       atomic.Int64 // in 1/1000
	Hung                       atomic.Int64
}

// SetHang sets the share of requests that the worker takes and never answers.
func (w *Worker) SetHang(share float64) { w.hang.Store(int64(share * 1000)) }

// StartWorker starts a worker. It is not registered yet.
func StartWorker(ip, id, service, zone string, slots int, work time.Duration, j *Journal) *Worker {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		Unable("worker: %v", err)
	}
	w := &Worker{ID: id, Service: service, Zone: zone, Address: l.Addr().String(), Slots: slots, Work: work, Journal: j, born: time.Now().UnixMilli(), running: make(chan struct{}, slots)}
	server := &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return w
}

// Entry is what the worker writes about itself to the store.
func (w *Worker) Entry(state string) map[string]any {
	return map[string]any{"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": state, "coldLeftMs": 0, "callSeq": 0, "born": w.born}
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Auburnlead-Request-Id")
	size, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	rw.Header().Set("Auburnlead-Instance-Id", w.ID)
	if want := r.Header.Get("Auburnlead-Expect-Instance"); want != "" && want != w.ID {
		rw.Header().Set("Auburnlead-Request-Id", id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	default:
		w.Journal.Add(Arrival{ID: id, Worker: w.ID, At: time.Now()})
		rw.Header().Set("Auburnlead-Request-Id", id)
		rw.Header().Set("Auburnlead-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Journal.Add(Arrival{ID: id, Worker: w.ID, At: time.Now(), Ran: true})
	if rand.Int64N(1000) < w.hang.Load() {
		w.Hung.Add(1)
		<-r.Context().Done() // until its channel closes
		return
	}
	time.Sleep(w.Work)
	answer := fmt.Appendf(nil, "%s ran %s with %d bytes\n", w.ID, id, size)
	rw.Header().Set("Auburnlead-Request-Id", id)
	rw.Header().Set("Auburnlead-Response-Seal", Seal(answer))
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = rw.Write(answer)
}
