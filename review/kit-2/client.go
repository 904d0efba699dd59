package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// request is a request of a requester.
type request struct {
	id, method, host, path, key, body string
	deadline                          time.Duration
	fields                            string // further header lines
}

// result is what a requester got.
type result struct {
	status int
	header http.Header
	body   string
	err    error // the channel ended or failed before a complete answer
}

// retryAfter returns how long a refusal asks the requester to wait.
func (r result) retryAfter() time.Duration {
	seconds, _ := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// requester keeps a channel open for its requests.
type requester struct {
	address string
	conn    net.Conn
	in      *bufio.Reader
}

func (c *requester) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer. It waits as long as the deadline says.
func (c *requester) send(q request) result {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			record("no channel", q.id, "%v", err)
			return result{err: err}
		}
		c.conn, c.in = conn, bufio.NewReader(conn)
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuburnlead-Deadline-Ms: %d\r\nApi-Key: %s\r\n%s", q.method, q.path, q.host, headerID, q.id, q.deadline.Milliseconds(), q.key, q.fields)
	if q.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	record("sent", q.id, "to=%s %s %s", c.address, q.method, q.path)
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(c.conn, text+"\r\n"+q.body); err != nil {
		return c.failed(q, err)
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return c.failed(q, err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.failed(q, err)
	}
	record("answered", q.id, "status=%d seal=%q bytes=%d", resp.StatusCode, resp.Header.Get(headerSeal), len(body))
	if resp.Close {
		c.close()
	}
	return result{status: resp.StatusCode, header: resp.Header, body: string(body)}
}

func (c *requester) failed(q request, err error) result {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		record("gave up", q.id, "%v", err)
	} else {
		record("channel closed without a complete answer", q.id, "%v", err)
	}
	c.close()
	return result{err: err}
}
