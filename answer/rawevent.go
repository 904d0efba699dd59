package answer

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// RawEvent is one event of an event stream with its exact bytes.
type RawEvent struct {
	// Bytes has the whole event with its closing empty line. It is valid until
	// the next call of Next.
	Bytes []byte
	// ID is the number of the event, 0 if it has none.
	ID uint64
}

// TruncatedError says that a stream ended in the middle of an event.
type TruncatedError struct{ Bytes int }

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer: the stream ended %d bytes into an event; resume it after the last whole event", e.Bytes)
}

// SequenceError says that an event does not follow the one before.
type SequenceError struct{ Got, Want uint64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("answer: event %d came where %d is due; resume the stream after the last one in order", e.Got, e.Want)
}

// RawReader splits an event stream into whole events without changing a byte.
// It is not safe for concurrent use.
type RawReader struct {
	r    *bufio.Reader
	buf  []byte
	most int
}

// NewRawReader returns a reader of events of at most most bytes each.
func NewRawReader(r io.Reader, most int) *RawReader {
	return &RawReader{r: bufio.NewReaderSize(r, rawBufferBytes), most: most}
}

// rawBufferBytes holds several events of a model's stream, so that one read of
// the connection takes what has arrived.
const rawBufferBytes = 2048

// Next returns the next whole event. Errors: io.EOF at the end of the stream
// between two events, *TruncatedError at its end within one, *LimitError for an
// event that is too long, and errors of the reader.
func (s *RawReader) Next() (RawEvent, error) {
	s.buf = s.buf[:0]
	var id uint64
	for {
		line, err := s.line()
		if err != nil {
			return RawEvent{}, s.ended(err)
		}
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, _ = strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64) // an unreadable number counts as none
		}
		if len(line) == 0 {
			return RawEvent{Bytes: s.buf, ID: id}, nil
		}
	}
}

// line appends the next line to the event and returns it without its end.
func (s *RawReader) line() ([]byte, error) {
	start := len(s.buf)
	for {
		part, err := s.r.ReadSlice('\n')
		if len(s.buf)+len(part) > s.most {
			return nil, &LimitError{What: "event", Max: s.most}
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

func (s *RawReader) ended(err error) error {
	if errors.Is(err, io.EOF) && len(s.buf) > 0 {
		return &TruncatedError{Bytes: len(s.buf)}
	}
	return err
}

// Buffered returns the bytes that have arrived and not been returned yet.
func (s *RawReader) Buffered() int { return s.r.Buffered() }
