package answer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"
)

// Event is one server-sent event. Its slices are valid until the next read.
type Event struct {
	ID   []byte // empty if the event has no ID
	Name []byte // the event field, empty if there is none
	Data []byte // the data lines, joined with newlines
}

// Limits are the maximum sizes of the data that a Reader keeps in memory.
type Limits struct {
	LineBytes  int // longest line, without its line ending
	EventBytes int // longest data of an event; one byte less if it is a single line
}

// LimitError means that a stream exceeds a limit. A resumed stream would exceed
// it again, so resuming is of no use.
type LimitError struct {
	What string // line, event or answer
	Max  int    // limit in bytes
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("answer: %s exceeds %d bytes; raise the limit or have the upstream send less", e.What, e.Max)
}

// errLoneCR rejects a carriage return inside a line. If it were forwarded to a
// caller whose parser treats it as a line ending, it could start a forged event.
var errLoneCR = errors.New("answer: carriage return inside a line of the event stream; end lines with LF or CRLF")

// readBufferBytes is enough for several chunks of usual size (about 250 bytes).
const readBufferBytes = 4 << 10

var (
	bufferPool    = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	byteOrderMark = []byte("\xef\xbb\xbf")
)

// Reader splits a server-sent event stream into events. It is not safe for
// concurrent use.
type Reader struct {
	buffer  *bufio.Reader
	limits  Limits
	line    []byte // a line that is longer than the buffer
	id      []byte
	name    []byte
	data    []byte
	hasData bool
	started bool
}

// NewReader returns a Reader of the stream. Release must be called to return
// its buffer to the pool.
func NewReader(stream io.Reader, limits Limits) *Reader {
	buffer := bufferPool.Get().(*bufio.Reader)
	buffer.Reset(stream)
	return &Reader{buffer: buffer, limits: limits}
}

// Release returns the buffer to the pool. The Reader must not be used
// afterwards.
func (r *Reader) Release() {
	if r.buffer == nil {
		return
	}
	r.buffer.Reset(nil)
	bufferPool.Put(r.buffer)
	r.buffer = nil
}

// Next returns the next event that has data. It returns io.EOF at the end of
// the stream, a *LimitError, or the error of the stream. An event that is
// truncated by the end of the stream is not returned.
func (r *Reader) Next() (Event, error) {
	r.id, r.name, r.data, r.hasData = r.id[:0], r.name[:0], r.data[:0], false
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		if len(line) > 0 {
			if err := r.parseField(line); err != nil {
				return Event{}, err
			}
			continue
		}
		if r.hasData {
			return Event{ID: r.id, Name: r.name, Data: r.data}, nil
		}
		r.id, r.name = r.id[:0], r.name[:0]
	}
}

// readLine returns the next line without its line ending.
func (r *Reader) readLine() ([]byte, error) {
	r.line = r.line[:0]
	for {
		part, err := r.buffer.ReadSlice('\n')
		if len(r.line)+len(part) > r.limits.LineBytes+2 { // 2 for CRLF
			return nil, &LimitError{"line", r.limits.LineBytes}
		}
		if err == bufio.ErrBufferFull {
			r.line = append(r.line, part...)
			continue
		}
		if err != nil {
			return nil, err
		}
		if len(r.line) > 0 {
			r.line = append(r.line, part...)
			part = r.line
		}
		return r.trimLine(part)
	}
}

// trimLine removes the line ending and, from the first line, the byte order
// mark.
func (r *Reader) trimLine(line []byte) ([]byte, error) {
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	if len(line) > r.limits.LineBytes {
		return nil, &LimitError{"line", r.limits.LineBytes}
	}
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, errLoneCR
	}
	if !r.started {
		r.started = true
		line = bytes.TrimPrefix(line, byteOrderMark)
	}
	return line, nil
}

// parseField parses one line of an event.
func (r *Reader) parseField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	switch string(name) {
	case "data":
		if len(r.data)+len(value)+1 > r.limits.EventBytes {
			return &LimitError{"event", r.limits.EventBytes}
		}
		if r.hasData {
			r.data = append(r.data, '\n')
		}
		r.data, r.hasData = append(r.data, value...), true
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		r.name = append(r.name[:0], value...)
	}
	return nil // comments and unknown fields are ignored
}
