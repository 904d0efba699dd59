package answer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// RawEvent is one event of an event stream, byte for byte as received.
type RawEvent struct {
	// Bytes is the whole event including the empty line that ends it. It is valid
	// until the next call of Next.
	Bytes []byte
	// ID is the numeric ID of the event, 0 if it has none.
	ID uint64
}

// TruncatedError means that a stream ended in the middle of an event.
type TruncatedError struct{ Bytes int }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer: the stream ended %d bytes into an event; resume it after the last complete event", e.Bytes)
}

// SequenceError means that the ID of an event does not follow the previous one.
type SequenceError struct{ Got, Want uint64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("answer: event %d came where %d is due; resume the stream after the last one in order", e.Got, e.Want)
}

// RawReader splits an event stream into complete events without changing a byte.
// It is not safe for concurrent use.
type RawReader struct {
	r             *bufio.Reader
	buf           []byte
	maxEventBytes int
}

// StatusLineError means that a response begins within the stream of another one.
type StatusLineError struct{ AfterBytes int }

func (e *StatusLineError) Error() string {
	return fmt.Sprintf("answer: another response begins %d bytes into an event; resume the stream after the last complete event", e.AfterBytes)
}

// statusLineStart begins a status line. No line of an event begins with it: the name
// of a field has no slash.
const statusLineStart = "HTTP/"

// NewRawReader returns a RawReader for events of at most maxEventBytes bytes.
func NewRawReader(r io.Reader, maxEventBytes int) *RawReader {
	return &RawReader{r: bufio.NewReaderSize(r, rawBufferBytes), maxEventBytes: maxEventBytes}
}

// rawBufferBytes is enough for several events of a model's stream, so that one
// read of the connection takes all data that has arrived.
const rawBufferBytes = 2048

// Next returns the next complete event. It returns io.EOF if the stream ends
// between two events, a *TruncatedError if it ends within one, a *StatusLineError if
// another response begins in it, a *LimitError for an event that is too long, and
// otherwise the error of the underlying reader.
func (s *RawReader) Next() (RawEvent, error) {
	s.buf = s.buf[:0]
	var id uint64
	for {
		line, err := s.line()
		if err != nil {
			return RawEvent{}, s.streamError(err)
		}
		if bytes.HasPrefix(line, []byte(statusLineStart)) {
			return RawEvent{}, &StatusLineError{AfterBytes: len(s.buf) - len(line)}
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, _ = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64) // an ID that is not a number counts as none
		}
		if len(line) == 0 {
			return RawEvent{Bytes: s.buf, ID: id}, nil
		}
	}
}

// line appends the next line to the event and returns it without its line
// ending.
func (s *RawReader) line() ([]byte, error) {
	start := len(s.buf)
	for {
		part, err := s.r.ReadSlice('\n')
		if len(s.buf)+len(part) > s.maxEventBytes {
			return nil, &LimitError{What: "event", Max: s.maxEventBytes}
		}
		s.buf = append(s.buf, part...)
		if err == nil {
			return bytes.TrimRight(s.buf[start:], "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

func (s *RawReader) streamError(err error) error {
	if errors.Is(err, io.EOF) && len(s.buf) > 0 {
		return &TruncatedError{Bytes: len(s.buf)}
	}
	return err
}

// Buffered returns the number of bytes that have been read from the stream but
// not returned yet.
func (s *RawReader) Buffered() int { return s.r.Buffered() }
