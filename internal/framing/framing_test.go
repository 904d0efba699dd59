package framing

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

const fields = "POST / HTTP/1.1\r\nHost: a\r\n"

// scan returns the heads that the scanner finds in text written in pieces of n bytes.
func scan(text string, n int) []head {
	s := &scanner{}
	for p := []byte(text); len(p) > 0; p = p[min(n, len(p)):] {
		s.write(p[:min(n, len(p))])
	}
	return s.pending
}

// Guards against framing fields that are missed because of their spelling, their
// order, a split of the bytes or a request before them.
func TestScanner(t *testing.T) {
	both := head{hasLength: true, hasEncoding: true}
	for _, test := range []struct {
		desc, text string
		expected   []head
	}{
		{"no body", fields + "\r\n" + fields + "\r\n", []head{{}, {}}},
		{"length", fields + "Content-Length: 3\r\n\r\nGET" + fields + "\r\n", []head{{hasLength: true}, {}}},
		{"chunks", fields + "Transfer-Encoding: chunked\r\n\r\n1c;x=y\r\n" + "Content-Length: 7\r\n\r\n1234567" + "\r\n0\r\nContent-Length: 9\r\n\r\n" + fields + "\r\n", []head{{hasEncoding: true}, {}}},
		{"both", fields + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", []head{both}},
		{"both in other case, without spaces, lines that end with LF", "POST / HTTP/1.1\ncontent-length:5\ntransfer-ENCODING:chunked\n\n", []head{both}},
		{"both after a long field", fields + "A: " + strings.Repeat("b", 9000) + "\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", []head{both}},
		{"both in the second request", fields + "Content-Length: 1\r\n\r\nx" + "\r\n" + fields + "Transfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", []head{{hasLength: true}, both}},
		{"length on a further line", fields + "Content-Length:\r\n 5\r\n\r\n", []head{{hasLength: true, folded: true}}},
		{"another field on a further line", fields + "A: b\r\n c\r\n\r\n" + fields + "\r\n", []head{{}, {}}},
	} {
		Convey(test.desc, t, func() {
			for _, n := range []int{1, 7, len(test.text)} {
				So(scan(test.text, n), ShouldResemble, test.expected)
			}
		})
	}
}

// Guards against a connection without end of which each request is kept.
func TestPendingIsBounded(t *testing.T) {
	Convey("Heads that are never served are kept up to a limit", t, func() {
		So(len(scan(strings.Repeat(fields+"\r\n", 2*maxPendingHeads), 4096)), ShouldEqual, maxPendingHeads)
	})
}

// halfClosingConn records a half-close.
type halfClosingConn struct {
	net.Conn
	closed bool
}

func (c *halfClosingConn) CloseWrite() error {
	c.closed = true
	return nil
}

// Guards against a connection that is closed without the half-close by which a client
// can read the response to a request whose body was not read.
func TestHalfClose(t *testing.T) {
	Convey("A half-close reaches the connection", t, func() {
		below := &halfClosingConn{}
		var c net.Conn = &conn{Conn: below}
		w, ok := c.(interface{ CloseWrite() error })
		So(ok, ShouldBeTrue)
		So(w.CloseWrite(), ShouldBeNil)
		So(below.closed, ShouldBeTrue)
		So((&conn{}).CloseWrite(), ShouldBeNil)
	})
}

// FuzzScanner compares the scanner with net/http: each request that net/http accepts
// has a head, at the same place and with the same fields.
func FuzzScanner(f *testing.F) {
	f.Add([]byte(fields + "Content-Length: 3\r\n\r\nabc" + fields + "\r\n"))
	f.Add([]byte(fields + "Transfer-Encoding: chunked\r\n\r\n3;a\r\nabc\r\n0\r\nA: b\r\n\r\n" + fields + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nContent-Length:\r\n 4\r\n\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\nHost:a\nContent-Length:1\nContent-Length: 1\n\nxGET / HTTP/1.1\nHost:a\n\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s := &scanner{}
		s.write(text)
		if s.heads.bytes > len(text) || s.heads.lines > bytes.Count(text, []byte("\n")) {
			t.Fatalf("heads of %d bytes and %d lines in %d bytes", s.heads.bytes, s.heads.lines, len(text))
		}
		served := size{}
		reader := bufio.NewReader(bytes.NewReader(text))
		for {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			h, ok := s.next()
			if !ok {
				t.Fatalf("no head for %s %s", r.Method, r.URL)
			}
			served.add(s.served.bytes, s.served.lines)
			if s.served.lines == 0 || served.bytes > s.heads.bytes || served.lines > s.heads.lines {
				t.Fatalf("served %+v of %+v, the last head %+v", served, s.heads, s.served)
			}
			if h.hasEncoding != (len(r.TransferEncoding) > 0) && r.ProtoAtLeast(1, 1) {
				t.Fatalf("has an encoding: %t, net/http read %q", h.hasEncoding, r.TransferEncoding)
			}
			if (h.hasLength && !h.hasEncoding) != (r.Header.Get("Content-Length") != "") && !h.hasEncoding {
				t.Fatalf("has a length: %t, net/http read %q", h.hasLength, r.Header["Content-Length"])
			}
			if h.folded || h.hasEncoding && (h.hasLength || !r.ProtoAtLeast(1, 1)) {
				return // refused, the connection is closed
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
		}
	})
}
