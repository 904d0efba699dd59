package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// copyingWorker is a worker process that refuses requests. When a request comes again on
// the connection on which it was refused, the process writes the refusal once more and
// then runs the request.
type copyingWorker struct {
	id      string // of its entry; requests for another one are misdirected if strict
	strict  bool
	refuses func() bool   // whether a request that comes for the first time is refused
	refusal func() string // its head from the status on, and its body
	delay   time.Duration // from the start of the second run to the copy; 0 for before it
	cut     func() bool   // whether a stream breaks off after its first event

	mu      sync.Mutex
	runs    map[string]int                 // by path, which each request has for its own
	refused map[net.Conn]map[string]string // by request ID
	met     int                            // requests that came again on their connection
}

// copyWork is the time that a request runs at a copyingWorker.
const copyWork = 8 * time.Millisecond

func (w *copyingWorker) respond(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get(testID)
	write := func(text string) { _, _ = io.WriteString(conn, text) } // the router may have closed the connection
	refuse := func(response string) bool {
		first, rest, _ := strings.Cut(response, "\r\n")
		text := fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: 1\r\n%s", first, testID, id, testNotRun, rest)
		w.mu.Lock()
		if w.refused[conn] == nil {
			w.refused[conn] = map[string]string{}
		}
		w.refused[conn][id] = text
		w.mu.Unlock()
		write(text)
		return true
	}
	w.mu.Lock()
	earlier, again := w.refused[conn][id]
	if again {
		w.met++
	}
	w.mu.Unlock()
	if again && w.delay == 0 {
		write(earlier)
	}
	switch {
	case w.strict && r.Header.Get(testWorker) != w.id:
		return refuse("421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	case !again && w.refuses():
		return refuse(w.refusal())
	}
	w.mu.Lock()
	w.runs[r.URL.Path]++
	w.mu.Unlock()
	if again && w.delay > 0 {
		sleep(w.delay)
		write(earlier)
	}
	sleep(copyWork)
	answer := answerTo(id, "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n")
	if r.Header.Get(testLastEventID) == "1" {
		answer = answerTo(id, "id: 2\ndata: e2\n\n")
	} else if strings.HasPrefix(r.URL.Path, "/chat/") && w.cut() {
		write(answer[:strings.Index(answer, "id: 2")])
		return false
	}
	write(answer)
	return true
}

// Refusals of copyingWorkers. One with a body ends its connection.
var copiedRefusals = []string{
	"503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"503 Service Unavailable\r\n" + testPause + ": 30ms\r\nContent-Length: 0\r\n\r\n",
	"429 Too Many Requests\r\nContent-Length: 0\r\n\r\n",
	"429 Too Many Requests\r\n" + testPause + ": 30ms\r\nContent-Length: 0\r\n\r\n",
	"503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy",
	"421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
}

// copyCase is a fleet of copyingWorkers and the callers' use of request IDs.
type copyCase struct {
	desc    string
	entries func() []routing.WorkerInfo
	strict  bool // the process at an address answers its last entry only
	routers int
	perID   int  // requests with one ID
	atOnce  bool // the requests with one ID are sent at once, otherwise one after another
}

// sharingAddresses lists n entries at the address of each of two workers, for both
// upstreams.
func sharingAddresses(n int) func() []routing.WorkerInfo {
	return func() []routing.WorkerInfo {
		list := append(desks(2*n), engines(2*n)...)
		for i := range list {
			list[i].Address = fmt.Sprintf("%s-%d:1", list[i].Upstream, i%2)
		}
		return list
	}
}

var copyCases = []copyCase{
	{desc: "two entries at one address", entries: sharingAddresses(2), routers: 1, perID: 1},
	{desc: "three entries at one address", entries: sharingAddresses(3), routers: 1, perID: 1},
	{desc: "the entry of a process that is gone at the address of its successor", entries: sharingAddresses(2), strict: true, routers: 1, perID: 1},
	{desc: "one entry at each address, IDs used again", entries: func() []routing.WorkerInfo { return append(desks(2), engines(2)...) }, routers: 1, perID: 3},
	{desc: "one entry at each address, IDs used again at once", entries: func() []routing.WorkerInfo { return append(desks(2), engines(2)...) }, routers: 1, perID: 3, atOnce: true},
	{desc: "two routers, two entries at one address, IDs used again", entries: sharingAddresses(2), routers: 2, perID: 3},
	{desc: "two routers, the entry of a process that is gone, IDs used again at once", entries: sharingAddresses(2), strict: true, routers: 2, perID: 3, atOnce: true},
}

// Guards against the copy of a refusal that counts as the answer to a request with the
// same ID which runs on that connection: the request ran at a second worker, or its
// caller was told that it had not run.
func TestCopyOfARefusal(t *testing.T) {
	for _, c := range copyCases {
		for _, delay := range []time.Duration{0, copyWork / 2} {
			for seed := range uint64(4) {
				name := fmt.Sprintf("%s, copies %v after the start, seed %d", c.desc, delay, seed)
				t.Run(name, func(t *testing.T) {
					inBubble(t, name, c.entries(), func(h *harness) {
						broken, met := playCopies(h, c, delay, rand.New(rand.NewPCG(seed, 5)))
						t.Logf("came again on their connection: %d, broken: %d", met, len(broken))
						So(broken, ShouldBeEmpty)
						So(met, ShouldEqual, 0)
					})
				})
			}
		}
	}
}

// playCopies sends requests of all kinds and returns what broke the promises, and how
// many requests came again on the connection on which they had been refused.
func playCopies(h *harness, c copyCase, delay time.Duration, source *rand.Rand) (broken []string, met int) {
	const requests = 120
	random := &lockedRand{r: source}
	gateways := []*Gateway{h.Gateway}
	for i := 1; i < c.routers; i++ {
		g := newTestGateway(h.network, core.Identity{Router: "r" + strconv.Itoa(i+1), FailureDomain: "a"}, c.entries(), nil)
		defer g.conns.transport.CloseIdleConnections()
		defer g.reachability.stop()
		gateways = append(gateways, g)
	}
	processes := map[string]*copyingWorker{}
	for _, entry := range c.entries() {
		processes[entry.Address] = &copyingWorker{
			id: entry.ID, strict: c.strict, delay: delay, runs: map[string]int{}, refused: map[net.Conn]map[string]string{},
			refuses: func() bool { return random.IntN(3) == 0 },
			refusal: func() string { return copiedRefusals[random.IntN(len(copiedRefusals))] },
			cut:     func() bool { return random.IntN(3) == 0 },
		}
	}
	for address, process := range processes {
		h.startRequestWorker(address, process.respond)
	}
	kinds := []string{"/book/", "/chat/once/", "/read/", "/chat/", "/book/"}
	var mu sync.Mutex
	promised := map[string]int{}
	send := func(i int) {
		path := kinds[i/c.perID%len(kinds)] + strconv.Itoa(i)
		resp, aborted := callGateway(context.Background(), gateways[i%len(gateways)], "POST", path, testID, "id-"+strconv.Itoa(i/c.perID))
		mu.Lock()
		defer mu.Unlock()
		if !aborted && core.PromisesNotRun(resp.Code) {
			promised[path] = resp.Code
		}
	}
	var callers sync.WaitGroup
	for i := range requests {
		switch {
		case c.atOnce:
			callers.Go(func() { send(i) })
			if i%c.perID == c.perID-1 {
				sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
		case i%4 == 3: // beside the others
			callers.Go(func() { send(i) })
		default:
			send(i)
		}
	}
	callers.Wait()
	sleep(time.Second)
	runs := map[string]int{}
	for _, p := range processes {
		p.mu.Lock()
		met += p.met
		for path, n := range p.runs {
			runs[path] += n
		}
		p.mu.Unlock()
	}
	for path, n := range runs {
		most := 1
		if strings.HasPrefix(path, "/read/") || strings.HasPrefix(path, "/chat/") && !strings.HasPrefix(path, "/chat/once/") {
			most = 2 // max_attempts of the route
		}
		if n > most {
			broken = append(broken, fmt.Sprintf("%s ran %d times", path, n))
		}
		if promised[path] != 0 {
			broken = append(broken, fmt.Sprintf("%s ran and its caller got %d", path, promised[path]))
		}
	}
	slices.Sort(broken)
	return broken, met
}
