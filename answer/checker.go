// Package answer keeps the answers of upstreams apart and whole. A Reader
// splits a server-sent event stream into events of bounded size, a Checker
// lets through only the frames of one attempt, each once and in order, and an
// Assembler builds a whole chat completion from its chunks. It does no I/O
// except through the passed-in reader.
package answer

import (
	"bytes"
	"fmt"
	"strconv"
)

// done is the data of the frame that ends an answer.
const done = "[DONE]"

// Verdict says what to do with a frame.
type Verdict uint8

// Verdicts of a Checker.
const (
	Drop    Verdict = iota // not part of the answer or already delivered
	Deliver                // the next chunk of the answer
	End                    // the explicit end of the answer
)

// DropReason says why a frame was dropped.
type DropReason uint8

// Causes of a drop.
const (
	AfterEnd     DropReason = iota // own frame after the explicit end
	OtherAttempt                   // frame of another attempt
	Duplicate                      // own frame that has been delivered before
	InvalidID                      // frame without an ID of the form <attempt>/<sequence>
	causes
)

// String returns the cause as used in metrics.
func (c DropReason) String() string {
	return [...]string{"late", "crossed", "doubled", "foreign"}[c]
}

// DropReasons lists all causes of a drop.
func DropReasons() []DropReason { return []DropReason{AfterEnd, OtherAttempt, Duplicate, InvalidID} }

// Drops counts dropped frames by cause.
type Drops [causes]uint64

// Total is the number of dropped frames.
func (d Drops) Total() uint64 {
	var sum uint64
	for _, n := range d {
		sum += n
	}
	return sum
}

// IncompleteError says that an answer has a gap or ended without its explicit
// end. The frames up to Last are good; the answer can be resumed after it.
type IncompleteError struct {
	Attempt string
	Last    uint64 // last good sequence, 0 for none
	Got     uint64 // sequence after the gap, 0 when the stream ended
	Err     error  // what ended the stream, nil for a gap
}

func (e *IncompleteError) Error() string {
	if e.Got > 0 {
		return fmt.Sprintf("answer: attempt %s has frame %d after frame %d; resume after frame %d", e.Attempt, e.Got, e.Last, e.Last)
	}
	text := fmt.Sprintf("answer: attempt %s was cut after frame %d; resume after that frame", e.Attempt, e.Last)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *IncompleteError) Unwrap() error { return e.Err }

// LastEventID is the ID of the last good frame, empty when there is none.
func (e *IncompleteError) LastEventID() string { return eventID(e.Attempt, e.Last) }

func eventID(attempt string, sequence uint64) string {
	if sequence == 0 {
		return ""
	}
	return attempt + "/" + strconv.FormatUint(sequence, 10)
}

// Checker checks the frames of one attempt, over all connections on which the
// attempt is started and resumed. It is not safe for concurrent use.
type Checker struct {
	attempt []byte
	last    uint64
	ended   bool
	drops   Drops
}

// NewChecker returns a Checker that expects frame 1 of the attempt.
func NewChecker(attempt string) *Checker { return &Checker{attempt: []byte(attempt)} }

// Check judges a frame. Errors: *IncompleteError when frames are missing before
// this one; the state is unchanged, so that the attempt can be resumed.
func (c *Checker) Check(id, data []byte) (Verdict, error) {
	attempt, sequence, ok := split(id)
	switch {
	case !ok:
		return c.drop(InvalidID)
	case !bytes.Equal(attempt, c.attempt):
		return c.drop(OtherAttempt)
	case sequence <= c.last:
		return c.drop(Duplicate)
	case c.ended:
		return c.drop(AfterEnd)
	case sequence != c.last+1:
		return Drop, &IncompleteError{Attempt: string(c.attempt), Last: c.last, Got: sequence}
	}
	c.last = sequence
	if string(data) == done {
		c.ended = true
		return End, nil
	}
	return Deliver, nil
}

func (c *Checker) drop(cause DropReason) (Verdict, error) {
	c.drops[cause]++
	return Drop, nil
}

// Finish judges the end of the connection: nil after the explicit end, else
// *IncompleteError. cause is what ended the connection, or nil.
func (c *Checker) Finish(cause error) error {
	if c.ended {
		return nil
	}
	return &IncompleteError{Attempt: string(c.attempt), Last: c.last, Err: cause}
}

// Last is the last good sequence, 0 for none.
func (c *Checker) Last() uint64 { return c.last }

// LastEventID is the ID after which to resume, empty before the first frame.
func (c *Checker) LastEventID() string { return eventID(string(c.attempt), c.last) }

// Drops returns the dropped frames by cause.
func (c *Checker) Drops() Drops { return c.drops }

// split takes <attempt>/<sequence> apart. The sequence is a decimal number
// from 1 without leading zeros, so that every frame has exactly one ID.
func split(id []byte) (attempt []byte, sequence uint64, ok bool) {
	slash := bytes.LastIndexByte(id, '/')
	if slash < 1 {
		return nil, 0, false
	}
	digits := id[slash+1:]
	// 19 digits fit into 64 bits without an overflow check.
	if len(digits) == 0 || len(digits) > 19 || digits[0] == '0' {
		return nil, 0, false
	}
	for _, d := range digits {
		if d < '0' || d > '9' {
			return nil, 0, false
		}
		sequence = sequence*10 + uint64(d-'0')
	}
	return id[:slash], sequence, true
}
