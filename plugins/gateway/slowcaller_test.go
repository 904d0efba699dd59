package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// listenInMemory serves the gateway's callers on connections in memory, whose
// deadlines follow virtual time, and returns a function that opens one.
func (h *harness) listenInMemory() (open func() net.Conn) {
	l := &memoryListener{address: "callers", conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(h.serveRequest)}
	h.servers = append(h.servers, server)
	go func() { _ = server.Serve(l) }() // ends with the test
	return func() net.Conn {
		ours, theirs := net.Pipe()
		l.conns <- theirs
		return ours
	}
}

func requestHead(path string, contentLength int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\n%s: id-1\r\n%s: secret\r\nContent-Length: %d\r\n\r\n", path, testID, testKey, contentLength)
}

// Guards against callers that hold a request for ever with a slow body, or a
// response with a connection that they do not read.
func TestSlowCallers(t *testing.T) {
	inBubble(t, "A body that arrives a byte now and then is refused as not run at the route's timeout, and the connection closed", desks(1), func(h *harness) {
		conn := h.listenInMemory()()
		start := time.Now()
		answers := make(chan *http.Response, 1)
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				close(answers)
				return
			}
			answers <- resp
		}()
		_, err := io.WriteString(conn, requestHead("/book/x", 1000))
		So(err, ShouldBeNil)
		for err == nil && time.Since(start) < time.Minute {
			_, err = io.WriteString(conn, "x")
			sleep(300 * time.Millisecond)
		}
		So(err, ShouldNotBeNil)
		So(time.Since(start), ShouldBeLessThan, 3*time.Second)
		resp := <-answers
		So(resp, ShouldNotBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusRequestTimeout)
		So(resp.Close, ShouldBeTrue)
		So(h.requestCount(), ShouldEqual, 0)
		So(h.decisions.inFlight(), ShouldEqual, 0)
	})
	inBubble(t, "A body that is slow but complete before the timeout is served, and the next request of the connection too", desks(1), func(h *harness) {
		conn := h.listenInMemory()()
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for range 3 {
			_, err := io.WriteString(conn, requestHead("/book/x", 3))
			So(err, ShouldBeNil)
			for range 3 {
				sleep(500 * time.Millisecond)
				_, err = io.WriteString(conn, "x")
				So(err, ShouldBeNil)
			}
			resp, err := http.ReadResponse(reader, nil)
			So(err, ShouldBeNil)
			body, err := io.ReadAll(resp.Body)
			So(err, ShouldBeNil)
			So(string(body), ShouldEqual, "answer")
			sleep(40 * time.Second) // longer than the write timeout
		}
		_, err := io.WriteString(conn, requestHead("/none/x", 0))
		So(err, ShouldBeNil)
		resp, err := http.ReadResponse(reader, nil)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusNotFound)
	})
	inBubble(t, "A request with a body whose worker does not answer gets 504 at the route's timeout", desks(1), func(h *harness) {
		h.setHandlers(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed only after the body
			<-r.Context().Done()
		})
		conn := h.listenInMemory()()
		defer conn.Close()
		start := time.Now()
		_, err := io.WriteString(conn, requestHead("/book/x", 4)+"body")
		So(err, ShouldBeNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		So(err, ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusGatewayTimeout)
		So(time.Since(start), ShouldEqual, 2*time.Second)
	})
	for _, path := range []string{"/book/x", "/chat/once/x", "/none/x"} {
		inBubble(t, "A caller of "+path+" that reads nothing is disconnected after the write timeout", append(desks(1), engines(1)...), func(h *harness) {
			h.setHandlers(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testSeal, "s")
				for i := 1; i <= 40; i++ {
					fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 1000))
				}
			})
			conn := h.listenInMemory()()
			defer conn.Close()
			_, err := io.WriteString(conn, requestHead(path, 4)+"body")
			So(err, ShouldBeNil)
			sleep(time.Second)
			synctest.Wait()
			if path != "/none/x" { // the denial is written after the handler has returned
				So(h.decisions.inFlight(), ShouldEqual, 1)
			}
			sleep(h.settings.WriteTimeout + time.Second)
			synctest.Wait()
			So(h.decisions.inFlight(), ShouldEqual, 0)
			_ = conn.SetWriteDeadline(time.Now().Add(time.Second)) // fails if the router has closed the connection
			_, err = io.WriteString(conn, "x")
			So(err, ShouldEqual, io.ErrClosedPipe)
		})
	}
}

// Guards against connections that are held for ever by a request that is answered without
// its body, because net/http waits for the body.
func TestUnreadBodies(t *testing.T) {
	for _, test := range []struct {
		desc, path, key string
		status          int
	}{
		{"an unknown key", "/book/x", "unknown", http.StatusUnauthorized},
		{"an unknown route", "/nowhere", "secret", http.StatusNotFound},
	} {
		for _, framing := range []string{"Content-Length: 10", "Transfer-Encoding: chunked"} {
			inBubble(t, "The connection of a request with "+test.desc+" and "+framing+" ends", desks(1), func(h *harness) {
				conn := h.connectCaller()
				start := time.Now()
				_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: desk.example\r\n%s: id-1\r\n%s: %s\r\n%s\r\n\r\n", test.path, testID, testKey, test.key, framing)
				So(err, ShouldBeNil)
				statuses, closed := answers(conn)
				So(statuses, ShouldResemble, []int{test.status})
				So(closed, ShouldBeTrue)
				So(time.Since(start), ShouldBeLessThan, 2*time.Second)
				synctest.Wait()
				So(h.Gateway.bytes.Used(), ShouldEqual, 0)
			})
		}
	}
}
