package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a refusal that a faulty worker writes once more on a connection in
// use: it was taken for the answer to the next request, which the worker ran, so that
// the request ran at a second worker or its caller was told that it had not run.
func TestRefusalOfAnEarlierRequest(t *testing.T) {
	for _, test := range []struct {
		desc, path string
		header     string // of the refusal
		status     int    // of the request that gets it
	}{
		{"without an ID, to a request that must not be repeated", "/book/x", "", http.StatusBadGateway},
		{"with the ID of the earlier request, to a request that must not be repeated", "/book/x", testID + ": id-0\r\n", http.StatusBadGateway},
		{"without an ID, to a request that may be repeated", "/read/x", "", http.StatusOK},
		{"without an ID, to a stream", "/chat/once/x", "", http.StatusBadGateway},
	} {
		inBubble(t, "A refusal "+test.desc+" says nothing of the request", append(desks(2), engines(2)...), func(h *harness) {
			var mu sync.Mutex
			runs, refused := map[string]int{}, false
			for address := range h.network.listeners {
				served := map[net.Conn]int{}
				h.startRawWorker(address, func(conn net.Conn, id string) bool {
					mu.Lock()
					runs[id]++
					served[conn]++
					again := served[conn] > 1 && !refused
					refused = refused || again
					mu.Unlock()
					if again {
						_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+test.header+testNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
						return false
					}
					_, _ = io.WriteString(conn, answerTo(id, "id: 1\ndata: e1\n\n"))
					return true
				})
			}
			for i := range 12 {
				id := "id-" + strconv.Itoa(i)
				before := refused
				resp, _ := h.call("POST", test.path, testID, id)
				if before == refused {
					So(resp.Code, ShouldEqual, http.StatusOK)
				} else {
					So(resp.Code, ShouldEqual, test.status)
				}
				if test.path != "/read/x" {
					So(fmt.Sprint(id, runs[id]), ShouldEqual, fmt.Sprint(id, 1))
				}
				sleep(10 * time.Millisecond)
			}
			So(refused, ShouldBeTrue)
		})
	}
	inBubble(t, "A refusal without an ID on a new connection counts", desks(2), func(h *harness) {
		h.startRawWorker("desk-0:1", func(conn net.Conn, _ string) bool {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+testNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
			return true
		})
		for i := range 6 {
			resp, _ := h.call("POST", "/book/x", testID, "id-"+strconv.Itoa(i))
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
	})
	inBubble(t, "If all workers refuse without an ID, callers are told when to return, and no worker is ejected", desks(2), func(h *harness) {
		for _, w := range h.workers {
			h.startRawWorker(w.Address, func(conn net.Conn, _ string) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\n"+testNotRun+": 1\r\nContent-Length: 0\r\n\r\n")
				return true
			})
		}
		for i := range 12 {
			resp, _ := h.call("POST", []string{"/book/x", "/read/x"}[i%2], testID, "id-"+strconv.Itoa(i))
			So(resp.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(resp.Header().Get("Retry-After"), ShouldNotBeEmpty)
			sleep(100 * time.Millisecond)
		}
	})
}
