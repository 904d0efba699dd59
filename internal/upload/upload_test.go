package upload

import (
	"fmt"
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a response without a length that counts as complete although its worker
// closed the connection with the request body unread.
func TestEndBeforeTheBodyIsRead(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\n\r\npart"
	read := func(n int) func(*net.TCPConn) {
		return func(c *net.TCPConn) { _, _ = io.CopyN(io.Discard, c, int64(n)) }
	}
	respond := func(c *net.TCPConn) { _, _ = io.WriteString(c, response) }
	shut := func(c *net.TCPConn) { _ = c.CloseWrite() }
	closeConn := func(c *net.TCPConn) { _ = c.Close() }
	reset := func(c *net.TCPConn) { _, _ = c.SetLinger(0), c.Close() }
	const small, large = 20 << 10, 3 << 20
	for _, test := range []struct {
		desc     string
		size     int
		steps    []func(*net.TCPConn)
		complete bool
	}{
		{"small: read, response, close", small, []func(*net.TCPConn){read(small), respond, closeConn}, true},
		{"small: response, read, close", small, []func(*net.TCPConn){respond, read(small), closeConn}, true},
		{"small: read, response, shutdown, close", small, []func(*net.TCPConn){read(small), respond, shut, closeConn}, true},
		{"small: read a part, response, close", small, []func(*net.TCPConn){read(small / 2), respond, closeConn}, false},
		{"small: read a part, response, shutdown, close", small, []func(*net.TCPConn){read(small / 2), respond, shut, closeConn}, false},
		{"small: read, response, reset", small, []func(*net.TCPConn){read(small), respond, reset}, false},
		{"large: read, response, close", large, []func(*net.TCPConn){read(large), respond, closeConn}, true},
		{"large: response, read, close", large, []func(*net.TCPConn){respond, read(large), closeConn}, true},
		{"large: response, shutdown", large, []func(*net.TCPConn){respond, shut}, false},
		{"large: response, shutdown, close", large, []func(*net.TCPConn){respond, shut, closeConn}, false},
		{"large: read a part, response, close", large, []func(*net.TCPConn){read(large / 2), respond, closeConn}, false},
		{"large: read a part, response, shutdown", large, []func(*net.TCPConn){read(large / 2), respond, shut}, false},
		{"large: response, reset", large, []func(*net.TCPConn){respond, reset}, false},
	} {
		Convey("The end of a connection is judged after "+test.desc, t, func() {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			defer l.Close()
			dialed, served, done := make(chan struct{}), make(chan struct{}), make(chan struct{})
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_ = c.(*net.TCPConn).SetReadBuffer(small * 4) // keeps the kernel from receiving a large body
				<-dialed
				for _, step := range test.steps {
					step(c.(*net.TCPConn))
				}
				close(served)
				<-done
			}()
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			close(dialed)
			var tracker Tracker
			body := NewBody(make([]byte, test.size))
			tracker.Begin(body)
			written := make(chan struct{})
			go func() {
				defer close(written)
				_, _ = io.Copy(writer{&tracker, c}, body) // the reader judges it
			}()
			<-served // the kernel has what the worker did
			got, err := io.ReadAll(reader{&tracker, c})
			So(response, ShouldStartWith, string(got))
			So(fmt.Sprint(test.desc, ": ", err == nil), ShouldEqual, fmt.Sprint(test.desc, ": ", test.complete))
			if test.complete {
				So(string(got), ShouldEqual, response)
			}
			_ = c.Close()
			<-written
			close(done)
		})
	}
}

type writer struct {
	t *Tracker
	c net.Conn
}

func (w writer) Write(p []byte) (int, error) { return w.t.Write(w.c, p) }

type reader struct {
	t *Tracker
	c net.Conn
}

func (r reader) Read(p []byte) (int, error) { return r.t.Read(r.c, p) }
