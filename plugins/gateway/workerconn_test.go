package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
	"github.com/auburnlead/auburnlead/internal/core"
)

// Guards against a log that cannot tell a response to a request from one to an earlier
// request with the same ID on the connection.
func TestLogOfRepeatedID(t *testing.T) {
	workers := desks(2)
	workers[1].Address = workers[0].Address
	inBubble(t, "The log and a counter show that a request came again on its connection", workers, func(h *harness) {
		var lines strings.Builder
		h.decisions.lines = boundedlog.New(log.New(&lines), 100)
		requests := 0
		h.startRawWorker(workers[0].Address, func(conn net.Conn, id string) bool {
			response := answerTo(id, "answer")
			if requests++; requests == 2 {
				response = refusal(http.StatusServiceUnavailable, id)
			}
			_, _ = io.WriteString(conn, response)
			return true
		})
		for _, id := range []string{"id-1", "id-2", "id-3"} {
			resp, _ := h.call("POST", "/book/x", testID, id)
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
		So(lines.String(), ShouldContainSubstring, `reason="worker refused" outcome=not_run used_connection=true connection=1 carried=1 carried_id=false answer_id=id-2`)
		So(strings.Count(lines.String(), "connection has carried the request ID"), ShouldEqual, 1)
		So(lines.String(), ShouldContainSubstring, "attempt=2 connection=1 carried=2")
		So(counterValue(h.Gateway, "repeated_ids"), ShouldEqual, 1)
	})
}

// connRecord records which requests a worker received on which connection.
type connRecord struct {
	mu     sync.Mutex
	ids    map[net.Conn][]string
	bodies []string
}

// add records a request and returns how often its ID came before, on any connection.
func (c *connRecord) add(conn net.Conn, r *http.Request) (before int) {
	id := r.Header.Get(testID)
	body, _ := io.ReadAll(r.Body) // from memory
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ids := range c.ids {
		for _, earlier := range ids {
			if earlier == id {
				before++
			}
		}
	}
	c.ids[conn] = append(c.ids[conn], id)
	c.bodies = append(c.bodies, string(body))
	return before
}

// longest returns the largest number of requests on a connection.
func (c *connRecord) longest() int {
	n := 0
	for _, ids := range c.ids {
		n = max(n, len(ids))
	}
	return n
}

// repeated returns the IDs that came more than once on a connection.
func (c *connRecord) repeated() []string {
	var list []string
	for _, ids := range c.ids {
		slices.Sort(ids)
		if len(slices.Compact(slices.Clone(ids))) < len(ids) {
			list = append(list, strings.Join(ids, " "))
		}
	}
	return list
}

// Guards against a request that is sent on a connection which has carried its ID, in
// whole or in part, and against a body, retry or connection that is lost in avoiding it.
func TestRepeatedIDGetsAnotherConnection(t *testing.T) {
	workers := desks(2)
	workers[1].Address = workers[0].Address
	for _, size := range []int{0, 20, 3 * bufferBytes, 100_000} {
		inBubble(t, fmt.Sprintf("A request with a body of %d bytes goes whole to another connection", size), workers, func(h *harness) {
			record := &connRecord{ids: map[net.Conn][]string{}}
			w := h.startRequestWorker(workers[0].Address, func(conn net.Conn, r *http.Request) bool {
				response := refusal(http.StatusServiceUnavailable, r.Header.Get(testID))
				if record.add(conn, r)%2 == 1 {
					response = answerTo(r.Header.Get(testID), "answer")
				}
				_, _ = io.WriteString(conn, response)
				return true
			})
			const requests = 10
			body := strings.Repeat("x", size)
			for i := range requests {
				r := httptest.NewRequest("POST", "http://desk.example/book/x", strings.NewReader(body))
				r.Header.Set(testID, "id-"+strconv.Itoa(i))
				r.Header.Set(testKey, "secret")
				resp := httptest.NewRecorder()
				h.serveRequest(resp, r)
				So(resp.Code, ShouldEqual, http.StatusOK)
			}
			sleep(time.Millisecond) // connections end
			So(record.repeated(), ShouldBeEmpty)
			So(record.bodies, ShouldResemble, slices.Repeat([]string{body}, 2*requests))
			So(w.partial, ShouldEqual, 0)
			open, _ := w.connections()
			So(open, ShouldEqual, 1)
			So(h.network.dials, ShouldEqual, 1+requests)
			So(counterValue(h.Gateway, "repeated_ids"), ShouldEqual, requests)
			So(counterValue(h.Gateway, "attempt_failures"), ShouldEqual, requests) // the refusals
			So(counterValue(h.Gateway, "choices"), ShouldEqual, 2*requests)
		})
	}
	inBubble(t, "An ID that is used again much later goes to another connection", desks(1), func(h *harness) {
		record := &connRecord{ids: map[net.Conn][]string{}}
		h.startRequestWorker("desk-0:1", func(conn net.Conn, r *http.Request) bool {
			record.add(conn, r)
			_, _ = io.WriteString(conn, answerTo(r.Header.Get(testID), "answer"))
			return true
		})
		for i := range maxCarried {
			resp, _ := h.call("POST", "/book/x", testID, "id-"+strconv.Itoa(i%(maxCarried-1)))
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
		So(record.repeated(), ShouldBeEmpty)
		So(record.longest(), ShouldEqual, maxCarried-1)
		So(h.network.dials, ShouldEqual, 2)
	})
}

// Guards against a copy of a refusal that arrives while the request is withheld from its
// connection: the transport takes it for the response, although it sent nothing.
func TestCopyBeforeTheRequestIsWithheld(t *testing.T) {
	workers := desks(2)
	workers[1].Address = workers[0].Address
	inBubble(t, "The request runs once, on another connection", workers, func(h *harness) {
		record := &connRecord{ids: map[net.Conn][]string{}}
		var refusing net.Conn
		copied := strings.Replace(refusal(http.StatusServiceUnavailable, "id-1"), "Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbusy", 1)
		h.startRequestWorker(workers[0].Address, func(conn net.Conn, r *http.Request) bool {
			if record.add(conn, r) == 0 {
				refusing = conn
				_, _ = io.WriteString(conn, refusal(http.StatusServiceUnavailable, "id-1"))
				return true
			}
			_, _ = io.WriteString(conn, answerTo("id-1", "answer"))
			return true
		})
		attempts := 0
		trace := &httptrace.ClientTrace{WroteHeaders: func() { // they are in the transport's buffer
			if attempts++; attempts == 2 {
				_, _ = io.WriteString(refusing, copied)
				sleep(time.Millisecond)
			}
		}}
		resp, _ := h.callContext(httptrace.WithClientTrace(context.Background(), trace), "POST", "/book/x")
		So(resp.Code, ShouldEqual, http.StatusOK)
		So(resp.Body.String(), ShouldEqual, "answer")
		So(attempts, ShouldEqual, 3)
		So(record.bodies, ShouldHaveLength, 2)
		So(counterValue(h.Gateway, "attempt_failures"), ShouldEqual, 1)
	})
}

// Guards against a connection that outlives its memory of the IDs that it has carried.
func TestConnectionCarriesLimitedRequests(t *testing.T) {
	inBubble(t, "A connection is replaced after its last request, without a failed attempt", desks(1), func(h *harness) {
		record := &connRecord{ids: map[net.Conn][]string{}}
		w := h.startRequestWorker("desk-0:1", func(conn net.Conn, r *http.Request) bool {
			record.add(conn, r)
			_, _ = io.WriteString(conn, answerTo(r.Header.Get(testID), "answer"))
			return true
		})
		for i := range 2*maxCarried + 1 {
			resp, _ := h.call("POST", "/book/x", testID, "id-"+strconv.Itoa(i))
			So(resp.Code, ShouldEqual, http.StatusOK)
		}
		sleep(time.Millisecond) // connections end
		So(record.longest(), ShouldEqual, maxCarried)
		So(h.network.dials, ShouldEqual, 3)
		open, _ := w.connections()
		So(open, ShouldEqual, 1)
		So(w.partial, ShouldEqual, 0)
		So(counterValue(h.Gateway, "full_connections"), ShouldEqual, 2)
		So(counterValue(h.Gateway, "repeated_ids"), ShouldEqual, 0)
		So(counterValue(h.Gateway, "attempt_failures"), ShouldEqual, 0)
	})
}

// Guards against new connections to workers that refuse often.
func TestRefusalsKeepConnections(t *testing.T) {
	for _, callers := range []int{1, 4} {
		inBubble(t, fmt.Sprintf("Workers that refuse half of the requests keep their connections, %d callers", callers), desks(3), func(h *harness) {
			for address := range h.network.listeners {
				requests := 0
				var mu sync.Mutex
				h.startRawWorker(address, func(conn net.Conn, id string) bool {
					mu.Lock()
					requests++
					response := answerTo(id, "answer")
					if requests%2 == 0 {
						response = refusal(promises[requests/2%len(promises)], id)
					}
					mu.Unlock()
					sleep(time.Millisecond)
					_, _ = io.WriteString(conn, response)
					return true
				})
			}
			var all sync.WaitGroup
			for caller := range callers {
				all.Go(func() {
					for i := range 200 {
						_, _ = h.call("POST", "/book/x", testID, fmt.Sprintf("id-%d-%d", caller, i))
					}
				})
			}
			all.Wait()
			So(counterValue(h.Gateway, "attempt_failures"), ShouldBeGreaterThan, 100*callers)
			So(h.network.dials, ShouldBeLessThanOrEqualTo, 3*callers)
		})
	}
}

// Guards against a response that counts because of its ID alone.
func TestAttribution(t *testing.T) {
	Convey("A response belongs to a request by its ID and by what its connection carried", t, func() {
		for _, test := range []struct {
			desc     string
			id       string
			header   core.ResponseHeader
			conn     connHistory
			expected bool
		}{
			{"its ID on a new connection", "a", core.ResponseHeader{RequestID: "a"}, connHistory{}, true},
			{"its ID on a used connection", "a", core.ResponseHeader{RequestID: "a", NotRun: true}, connHistory{reused: true}, true},
			{"its ID on a connection that carried it", "a", core.ResponseHeader{RequestID: "a"}, connHistory{reused: true, carriedID: true}, false},
			{"a refusal with its ID on a connection that carried it", "a", core.ResponseHeader{RequestID: "a", NotRun: true}, connHistory{reused: true, carriedID: true}, false},
			{"another ID", "a", core.ResponseHeader{RequestID: "b", NotRun: true}, connHistory{}, false},
			{"a refusal without an ID on a new connection", "a", core.ResponseHeader{NotRun: true}, connHistory{}, true},
			{"a refusal without an ID on a used connection", "a", core.ResponseHeader{NotRun: true}, connHistory{reused: true}, false},
			{"a success without an ID", "a", core.ResponseHeader{}, connHistory{}, false},
			{"a request without an ID on a new connection", "", core.ResponseHeader{}, connHistory{}, true},
			{"a request without an ID on a used connection", "", core.ResponseHeader{}, connHistory{reused: true}, false},
		} {
			So(fmt.Sprint(test.desc, ": ", isAttributed(test.id, test.header, test.conn)), ShouldEqual, fmt.Sprint(test.desc, ": ", test.expected))
		}
	})
}

// Guards against a response without a body that is lost because another request ends the
// connection before the transport has returned it.
func TestWithheldRequestWaitsForTheAnswerBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A connection is not closed before the round trip on it has returned", t, func() {
			ours, theirs := net.Pipe()
			defer ours.Close()
			defer theirs.Close()
			info := httptrace.GotConnInfo{Conn: &workerConn{Conn: ours}}
			first, second := admitRequest(info, "id", nil), admitRequest(info, "id", nil)
			So(first.withheld, ShouldBeFalse)
			So(second.withheld, ShouldBeTrue)
			errs := make(chan error, 1)
			go func() {
				_, err := info.Conn.Write([]byte("x"))
				errs <- err
			}()
			synctest.Wait()
			So(errs, ShouldBeEmpty)
			first.finish()
			synctest.Wait()
			So(<-errs, ShouldEqual, errBlocked)
			second.finish()
		})
	})
}
