package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// faultyWorkers are workers that refuse, lose and repeat answers at random. They record
// which requests they ran.
type faultyWorkers struct {
	mu      sync.Mutex
	random  *rand.Rand
	runs    map[string]int                 // by path, which each request has for its own
	last    map[net.Conn]string            // ID of the request before
	refused map[net.Conn]map[string]string // refusals by request ID
}

func newFaultyWorkers(seed uint64) *faultyWorkers {
	return &faultyWorkers{random: rand.New(rand.NewPCG(seed, 3)), runs: map[string]int{}, last: map[net.Conn]string{}, refused: map[net.Conn]map[string]string{}}
}

// earlierRefusal returns the refusal of an earlier request with the ID on the connection.
func (f *faultyWorkers) earlierRefusal(conn net.Conn, id string) (text string, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	text, ok = f.refused[conn][id]
	return text, ok
}

func (f *faultyWorkers) recordRefusal(conn net.Conn, id, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.refused[conn] == nil {
		f.refused[conn] = map[string]string{}
	}
	f.refused[conn][id] = text
}

func (f *faultyWorkers) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faultyWorkers) run(path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[path]++
}

// refusal returns a refusal with a request ID, or without one if it is empty.
func refusal(status int, id string) string {
	header := ""
	if id != "" {
		header = testID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", status, header, testNotRun)
}

// promises are the statuses that promise a caller that its request was not run.
var promises = []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout}

// respond answers a request, or refuses it, or runs it and lets the answer fail. Some
// answers are followed by additional bytes, at once or later. A refusal is written once
// more when its request comes again on the connection.
func (f *faultyWorkers) respond(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get(testID)
	f.mu.Lock()
	earlier := f.last[conn]
	f.last[conn] = id
	f.mu.Unlock()
	status := promises[f.intN(len(promises))]
	write := func(text string) { _, _ = io.WriteString(conn, text) } // the router may have closed the connection
	choice := f.intN(12)
	if earlier == "" && (choice == 2 || choice == 3) {
		choice = 4 // additional bytes follow an answer
	}
	copied, again := f.earlierRefusal(conn, id)
	if again {
		write(copied)
	}
	switch choice {
	case 0: // refused
		text := refusal(status, id)
		f.recordRefusal(conn, id, text)
		write(text)
		return true
	case 1: // refused without naming the request
		write(refusal(status, ""))
		return true
	case 2: // a refusal of an earlier request first
		write(refusal(status, earlier))
	case 3:
		write(refusal(status, ""))
	}
	f.run(r.URL.Path)
	body := "id: 1\ndata: e1\n\n"
	switch f.intN(10) {
	case 0: // the connection is lost
		return false
	case 1: // a status that reads like a promise, without a statement
		write(fmt.Sprintf("HTTP/1.1 %d Busy\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, testID, id))
		return true
	case 2: // half a head
		write("HTTP/1.1 503 Service Unavailable\r\n" + testNotRun + ": 1\r\n" + testID + ": ")
		return false
	case 3: // half a body
		answer := answerTo(id, body)
		write(answer[:len(answer)-len(body)/2])
		return false
	case 4: // a failure
		write(fmt.Sprintf("HTTP/1.1 500 Failed\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", testID, id))
		return true
	}
	write(answerTo(id, body))
	switch f.intN(6) {
	case 0: // its refusal follows at once
		write(refusal(status, ""))
	case 1: // or later, on an idle connection or one in use
		delay := time.Duration(f.intN(60)) * time.Millisecond
		go func() {
			sleep(delay)
			write(refusal(status, []string{"", id}[delay.Milliseconds()%2]))
		}()
	}
	return true
}

// Guards against "not run" for a request that ran or runs later, and against a second
// run of a request that must not be repeated, whatever workers refuse, lose or write in
// addition (incidents 0015, 0017).
func TestNotRunIsTrue(t *testing.T) {
	const seeds, requests = 60, 40
	for _, fleet := range []struct {
		desc    string
		workers []routing.WorkerInfo
		perID   int // requests with the same ID
	}{
		{"one entry at each address", append(desks(3), engines(3)...), 1},
		{"several entries at one address", sharingAddresses(2)(), 1},
		{"several entries at one address and IDs used again", sharingAddresses(2)(), 2},
	} {
		for seed := range uint64(seeds) {
			inBubble(t, fmt.Sprintf("Callers are told the truth, %s, seed %d", fleet.desc, seed), fleet.workers, func(h *harness) {
				f := newFaultyWorkers(seed)
				for address := range h.network.listeners {
					h.startRequestWorker(address, f.respond)
				}
				var mu sync.Mutex
				promised := map[string]int{}
				var callers sync.WaitGroup
				kinds := []string{"/book/", "/book/", "/read/", "/chat/once/", "/chat/"}
				path := func(i int) string { return kinds[i%len(kinds)] + strconv.Itoa(i) }
				for i := range requests {
					callers.Go(func() {
						resp, aborted := h.call("POST", path(i), testID, "id-"+strconv.Itoa(i/fleet.perID))
						mu.Lock()
						defer mu.Unlock()
						if !aborted && core.PromisesNotRun(resp.Code) {
							promised[path(i)] = resp.Code
						}
					})
					sleep(time.Duration(f.intN(25)) * time.Millisecond)
				}
				callers.Wait()
				sleep(time.Second)
				var broken []string
				f.mu.Lock()
				defer f.mu.Unlock()
				for i := range requests {
					path := path(i)
					if strings.HasPrefix(path, "/read/") || path == "/chat/"+strconv.Itoa(i) {
						continue // may be repeated
					}
					if f.runs[path] > 1 {
						broken = append(broken, fmt.Sprintf("%s ran %d times", path, f.runs[path]))
					}
					if promised[path] != 0 && f.runs[path] > 0 {
						broken = append(broken, fmt.Sprintf("%s ran and its caller got %d", path, promised[path]))
					}
				}
				So(broken, ShouldBeEmpty)
			})
		}
	}
}

// Guards against a refusal of an earlier request that counts as the answer to a request
// without an ID, which no answer can name.
func TestRefusalOfRequestWithoutID(t *testing.T) {
	inBubble(t, "A refusal on a used connection says nothing of a request without an ID", desks(2), func(h *harness) {
		var mu sync.Mutex
		runs, served := 0, map[net.Conn]int{}
		for address := range h.network.listeners {
			h.startRawWorker(address, func(conn net.Conn, id string) bool {
				mu.Lock()
				runs++
				served[conn]++
				again := served[conn] > 1
				mu.Unlock()
				if again {
					_, _ = io.WriteString(conn, refusal(http.StatusServiceUnavailable, ""))
				}
				_, _ = io.WriteString(conn, answerTo(id, "answer"))
				return true
			})
		}
		for i := range 20 {
			runs = 0
			resp, _ := h.call("POST", "/book/x", testID, "")
			So(runs, ShouldEqual, 1)
			So(fmt.Sprint(i, " ", resp.Code), ShouldEqual, fmt.Sprint(i, " ", http.StatusOK))
		}
	})
}
