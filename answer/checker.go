// Package answer processes the responses of model engines and guarantees that
// they are complete and contain no data of other responses. A Reader splits a
// server-sent event stream into events of limited size. Each event of a response
// is a frame: its ID consists of the attempt and a sequence number, and its data
// is a chunk of the response or the end marker. A Checker accepts only the frames
// of one attempt, each once and in order, and an Assembler builds a complete chat
// completion from the chunks. A RawReader splits a stream into events without
// changing a byte. The package does no I/O except through the given io.Reader.
package answer

import (
	"bytes"
	"fmt"
	"strconv"
)

// doneMarker is the data of the frame that ends a response.
const doneMarker = "[DONE]"

// Verdict says what to do with a frame.
type Verdict uint8

// Verdicts of a Checker.
const (
	Drop    Verdict = iota // not a part of this response, or already delivered
	Deliver                // the next chunk of the response
	End                    // the end marker of the response
)

// DropReason says why a frame was dropped.
type DropReason uint8

// Reasons for dropping a frame.
const (
	AfterEnd     DropReason = iota // frame of this attempt after the end marker
	OtherAttempt                   // frame of another attempt
	Duplicate                      // frame of this attempt that was delivered before
	InvalidID                      // frame whose ID does not have the form <attempt>/<sequence>
	dropReasonCount
)

// String returns the reason as used in metrics.
func (r DropReason) String() string {
	return [...]string{"late", "crossed", "doubled", "foreign"}[r]
}

// DropReasons returns all reasons for dropping a frame.
func DropReasons() []DropReason { return []DropReason{AfterEnd, OtherAttempt, Duplicate, InvalidID} }

// Drops counts dropped frames by reason.
type Drops [dropReasonCount]uint64

// Total returns the number of dropped frames.
func (d Drops) Total() uint64 {
	var sum uint64
	for _, n := range d {
		sum += n
	}
	return sum
}

// IncompleteError means that a response has a gap or ended without its end
// marker. The frames up to Last are valid; the response can be resumed after
// it.
type IncompleteError struct {
	Attempt string
	Last    uint64 // last valid sequence number, 0 if there is none
	Got     uint64 // sequence number after the gap, 0 if the stream ended
	Err     error  // why the stream ended, nil for a gap
}

func (e *IncompleteError) Error() string {
	if e.Got > 0 {
		return fmt.Sprintf("answer: attempt %s has a gap: frame %d follows frame %d; resume after frame %d", e.Attempt, e.Got, e.Last, e.Last)
	}
	text := fmt.Sprintf("answer: attempt %s was truncated after frame %d; resume after that frame", e.Attempt, e.Last)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

func (e *IncompleteError) Unwrap() error { return e.Err }

// LastEventID returns the ID of the last valid frame, empty if there is none.
func (e *IncompleteError) LastEventID() string { return eventID(e.Attempt, e.Last) }

func eventID(attempt string, sequence uint64) string {
	if sequence == 0 {
		return ""
	}
	return attempt + "/" + strconv.FormatUint(sequence, 10)
}

// Checker checks the frames of one attempt across all connections on which the
// attempt is started and resumed. It is not safe for concurrent use.
type Checker struct {
	attempt []byte
	last    uint64
	ended   bool
	drops   Drops
}

// NewChecker returns a Checker that expects frame 1 of the attempt.
func NewChecker(attempt string) *Checker { return &Checker{attempt: []byte(attempt)} }

// Check decides what to do with a frame. It returns an *IncompleteError if
// frames are missing before this one; the state is unchanged then, so that the
// attempt can be resumed.
func (c *Checker) Check(id, data []byte) (Verdict, error) {
	attempt, sequence, ok := parseFrameID(id)
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
	if string(data) == doneMarker {
		c.ended = true
		return End, nil
	}
	return Deliver, nil
}

func (c *Checker) drop(reason DropReason) (Verdict, error) {
	c.drops[reason]++
	return Drop, nil
}

// Finish checks the response after the connection has ended. It returns nil if
// the end marker was received, otherwise an *IncompleteError. cause is the
// error that ended the connection, or nil.
func (c *Checker) Finish(cause error) error {
	if c.ended {
		return nil
	}
	return &IncompleteError{Attempt: string(c.attempt), Last: c.last, Err: cause}
}

// Last returns the last valid sequence number, 0 if there is none.
func (c *Checker) Last() uint64 { return c.last }

// LastEventID returns the ID after which to resume, empty before the first
// frame.
func (c *Checker) LastEventID() string { return eventID(string(c.attempt), c.last) }

// Drops returns the number of dropped frames by reason.
func (c *Checker) Drops() Drops { return c.drops }

// parseFrameID splits <attempt>/<sequence>. The sequence number is a decimal
// number from 1 without leading zeros, so that every frame has exactly one
// valid ID.
func parseFrameID(id []byte) (attempt []byte, sequence uint64, ok bool) {
	slash := bytes.LastIndexByte(id, '/')
	if slash < 1 {
		return nil, 0, false
	}
	digits := id[slash+1:]
	// 19 digits fit into 64 bits, so no overflow check is needed.
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
