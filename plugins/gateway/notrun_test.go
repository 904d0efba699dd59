package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
)

// faultyWorkers are workers that refuse, lose and repeat answers at random. They record
// which requests they ran.
type faultyWorkers struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int      // by request ID
	last   map[net.Conn]string // ID of the request before
}

func (f *faultyWorkers) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *faultyWorkers) run(request string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[request]++
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
// answers are followed by additional bytes, at once or later.
func (f *faultyWorkers) respond(conn net.Conn, id string) bool {
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
	switch choice {
	case 0: // refused
		write(refusal(status, id))
		return true
	case 1: // refused without naming the request
		write(refusal(status, ""))
		return true
	case 2: // a refusal of an earlier request first
		write(refusal(status, earlier))
	case 3:
		write(refusal(status, ""))
	}
	f.run(id)
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
// addition (incident 0015).
func TestNotRunIsTrue(t *testing.T) {
	const seeds, requests = 60, 40
	for seed := range uint64(seeds) {
		inBubble(t, fmt.Sprintf("Callers are told the truth, seed %d", seed), append(desks(3), engines(3)...), func(h *harness) {
			f := &faultyWorkers{random: rand.New(rand.NewPCG(seed, 3)), runs: map[string]int{}, last: map[net.Conn]string{}}
			for address := range h.network.listeners {
				h.startRawWorker(address, f.respond)
			}
			var mu sync.Mutex
			promised := map[string]int{}
			var callers sync.WaitGroup
			paths := []string{"/book/x", "/book/x", "/read/x", "/chat/once/x", "/chat/x"}
			for i := range requests {
				id, path := "id-"+strconv.Itoa(i), paths[i%len(paths)]
				callers.Go(func() {
					resp, aborted := h.call("POST", path, testID, id)
					mu.Lock()
					defer mu.Unlock()
					if !aborted && core.PromisesNotRun(resp.Code) {
						promised[id] = resp.Code
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
				id, path := "id-"+strconv.Itoa(i), paths[i%len(paths)]
				if path == "/read/x" || path == "/chat/x" {
					continue // may be repeated
				}
				if f.runs[id] > 1 {
					broken = append(broken, fmt.Sprintf("%s ran %d times", id, f.runs[id]))
				}
				if promised[id] != 0 && f.runs[id] > 0 {
					broken = append(broken, fmt.Sprintf("%s ran and its caller got %d", id, promised[id]))
				}
			}
			So(broken, ShouldBeEmpty)
		})
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
