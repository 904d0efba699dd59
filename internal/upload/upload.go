// Package upload finds out whether a worker has received a request body to its end
// before it ended its response.
//
// A response without a length is delimited by the close of its connection. If the
// worker closes before it has received the request, the close is no proof that the
// response is complete: the worker may have stopped at any point.
//
// Contract: Tracker.Read returns an *UnreadError instead of io.EOF if the connection
// ended after the start of a response and a part of the request body had not been
// received. A write that fails within a request does not fail the request: the response
// that the worker sent before it closed is still read, and a framed one is complete.
//
// Limits: a worker that shuts down its side, leaves a received body unread and closes the
// connection more than resetWait later, or not at all, cannot be told from one that has
// read the body.
// Below TLS only failed writes are seen.
package upload

import (
	"errors"
	"io"
	"net"
	"sync"
)

// UnreadError reports that a connection ended before the worker had received the
// request. Err is the error of the write, if one failed.
type UnreadError struct{ Err error }

func (e *UnreadError) Error() string {
	text := "upload: the worker ended the connection before it had received the request body; let it read the body or send a Content-Length"
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *UnreadError) Unwrap() error { return e.Err }

// Body is the body of one attempt. It implements io.ReadCloser.
type Body struct {
	mu      sync.Mutex // lock level 90
	rest    [][]byte   // none is empty
	stopped bool
}

// NewBody returns a body with the bytes of the chunks, which it does not copy.
func NewBody(chunks ...[]byte) *Body {
	b := &Body{rest: make([][]byte, 0, len(chunks))}
	for _, c := range chunks {
		if len(c) > 0 {
			b.rest = append(b.rest, c)
		}
	}
	return b
}

// errStopped is the error of a body whose request has ended.
var errStopped = errors.New("upload: the request has ended before its body was sent")

func (b *Body) Read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return 0, errStopped
	}
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest[0])
	if b.rest[0] = b.rest[0][n:]; len(b.rest[0]) == 0 {
		b.rest = b.rest[1:]
	}
	return n, nil
}

// Stop ends the body: the chunks are not used after it, also if the transport still reads.
func (b *Body) Stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rest, b.stopped = nil, true
}

// Close does nothing.
func (*Body) Close() error { return nil }

func (b *Body) isRead() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.rest) == 0 && !b.stopped
}

// Tracker observes the reads and writes of one connection. The zero value is ready.
type Tracker struct {
	mu       sync.Mutex // lock level 90, not held during I/O
	body     *Body      // of the request on the connection, nil for none
	ending   bool       // the last bytes of the body are being written
	sent     bool       // the last bytes of the body have been written
	started  bool       // bytes of the request have been written
	answered bool       // bytes have been read since the request started
	err      error      // of the first write that failed
}

// Begin starts a request with a body, nil for none.
func (t *Tracker) Begin(b *Body) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.body, t.ending, t.sent, t.started, t.answered = b, false, false, false, false
}

// Failed reports whether a write has failed, so that the connection can carry no
// further request.
func (t *Tracker) Failed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.err != nil
}

// Write writes to the connection. After the first bytes of a request with a body a
// failure is kept for Read and reported as success: net/http would otherwise close the
// connection without reading the response that has arrived. Errors: those of the
// connection.
func (t *Tracker) Write(c net.Conn, p []byte) (int, error) {
	t.mu.Lock()
	body, failed := t.body, t.err != nil
	t.mu.Unlock()
	if failed {
		return len(p), nil
	}
	// net/http reads the body in the goroutine that writes it, and after the read that
	// returns its last bytes writes once more.
	last := body != nil && body.isRead()
	t.mu.Lock()
	t.ending = last
	t.mu.Unlock()
	n, err := c.Write(p)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ending = false
	t.started = t.started || n > 0
	if err == nil {
		t.sent = t.sent || last
		return n, nil
	}
	if body == nil || !t.started {
		return n, err
	}
	t.err = err
	return len(p), nil
}

// Read reads from the connection. Errors: *UnreadError, and those of the connection.
func (t *Tracker) Read(c net.Conn, p []byte) (int, error) {
	n, err := c.Read(p)
	t.mu.Lock()
	t.answered = t.answered || n > 0
	hasBody, writeErr, answered := t.body != nil, t.err, t.answered
	t.mu.Unlock()
	switch {
	case err == nil || !hasBody:
	case writeErr != nil:
		return n, &UnreadError{writeErr}
	case errors.Is(err, io.EOF) && answered && t.isUnread(c):
		return n, &UnreadError{}
	}
	return n, err
}

// isUnread reports whether the peer, which has closed the connection, has not read the
// request to its end.
func (t *Tracker) isUnread(c net.Conn) bool {
	unread := false
	// A write that is still running has either been received, and is about to return, or
	// waits with a full send queue.
	poll(returnWait, func() bool {
		unread = isUnacknowledged(c)
		return unread || !t.isEnding()
	})
	t.mu.Lock()
	unread = unread || !t.sent
	t.mu.Unlock()
	if unread || !isTCP(c) {
		return unread
	}
	poll(resetWait, func() bool {
		unread = isUnacknowledged(c)
		return unread
	})
	return unread
}

func (t *Tracker) isEnding() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ending
}
