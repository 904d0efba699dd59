package framing

import (
	"bytes"
	"strconv"
	"strings"
)

// size is the size of request lines and header fields.
type size struct{ bytes, lines int }

func (s *size) add(bytes, lines int) { s.bytes, s.lines = s.bytes+bytes, s.lines+lines }

// head records which fields of a request's header section say where its body
// ends.
type head struct {
	hasLength   bool // Content-Length
	hasEncoding bool // Transfer-Encoding
	folded      bool // one of the two continues on a further line
}

// Parts of a request, in the order in which they arrive.
type part uint8

const (
	partRequestLine part = iota
	partFields
	partBody
	partChunkSize
	partChunk
	partTrailer
	partUnknown // the rest of the connection cannot be divided into requests
)

const (
	// maxLineBytes is the part of a line that is kept. It holds every field name
	// that matters with every value that net/http accepts.
	maxLineBytes = 256
	// maxPendingHeads limits the requests that are received before they are served.
	// net/http reads ahead by 4 KiB, which is less.
	maxPendingHeads = 1024
	chunkEndBytes   = 2 // CR LF after the data of a chunk
)

// scanner divides the bytes of a connection into requests as net/http does. It
// reads only the fields that determine the framing; net/http rejects the
// requests that it cannot follow.
type scanner struct {
	part      part
	line      []byte // begin of the current line
	remaining int64  // bytes of the body, or of the chunk and its end, still to come
	current   head
	length    string // value of Content-Length
	framing   bool   // the line before was a Content-Length or Transfer-Encoding
	pending   []head // heads of the requests not yet served, in order
	heads     size   // of all heads so far
	arriving  size   // of the head that is arriving
	sizes     []size // of the pending heads
	served    size   // of the head that next returned last
}

// write scans bytes in the order of their arrival.
func (s *scanner) write(p []byte) {
	for len(p) > 0 {
		switch s.part {
		case partUnknown:
			return
		case partBody, partChunk:
			n := min(int64(len(p)), s.remaining)
			p, s.remaining = p[n:], s.remaining-n
			if s.remaining == 0 {
				s.endBody()
			}
		default:
			end := bytes.IndexByte(p, '\n')
			if end < 0 {
				s.keep(p)
				s.count(len(p), 0)
				return
			}
			s.keep(p[:end])
			s.count(end+1, 1)
			p = p[end+1:]
			s.endLine(strings.TrimSuffix(string(s.line), "\r"))
			s.line = s.line[:0]
		}
	}
}

func (s *scanner) keep(p []byte) {
	s.line = append(s.line, p[:min(len(p), maxLineBytes-len(s.line))]...)
}

// count counts bytes and lines if they are part of a head.
func (s *scanner) count(bytes, lines int) {
	if s.part == partRequestLine || s.part == partFields {
		s.arriving.add(bytes, lines)
		s.heads.add(bytes, lines)
	}
}

func (s *scanner) endBody() {
	if s.part == partChunk {
		s.part = partChunkSize
		return
	}
	s.part = partRequestLine
}

func (s *scanner) endLine(line string) {
	switch s.part {
	case partRequestLine:
		if line != "" { // net/http skips empty lines after a POST
			s.part, s.current, s.length, s.framing = partFields, head{}, "", false
		}
	case partFields:
		if line == "" {
			s.endHead()
			return
		}
		s.readField(line)
	case partChunkSize:
		s.readChunkSize(line)
	case partTrailer:
		if line == "" {
			s.part = partRequestLine
		}
	}
}

func (s *scanner) readField(line string) {
	if line[0] == ' ' || line[0] == '\t' {
		s.current.folded = s.current.folded || s.framing
		return
	}
	name, value, _ := strings.Cut(line, ":")
	s.framing = true
	switch {
	case strings.EqualFold(name, "Content-Length"):
		s.current.hasLength, s.length = true, strings.Trim(value, " \t")
	case strings.EqualFold(name, "Transfer-Encoding"):
		s.current.hasEncoding = true
	default:
		s.framing = false
	}
}

// endHead selects how the body ends, as net/http does: a Transfer-Encoding takes
// precedence over a Content-Length.
func (s *scanner) endHead() {
	if len(s.pending) == maxPendingHeads {
		s.part = partUnknown
		return
	}
	s.pending = append(s.pending, s.current)
	s.sizes = append(s.sizes, s.arriving)
	s.arriving = size{}
	switch {
	case s.current.folded:
		s.part = partUnknown
	case s.current.hasEncoding:
		s.part = partChunkSize
	case s.current.hasLength:
		n, err := strconv.ParseUint(s.length, 10, 63)
		if err != nil {
			s.part = partUnknown
			return
		}
		s.setRemaining(partBody, int64(n))
	default:
		s.part = partRequestLine
	}
}

func (s *scanner) setRemaining(p part, n int64) {
	s.part, s.remaining = p, n
	if n == 0 {
		s.endBody()
	}
}

func (s *scanner) readChunkSize(line string) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.Trim(size, " \t"), 16, 62)
	switch {
	case err != nil:
		s.part = partUnknown
	case n == 0:
		s.part = partTrailer
	default:
		s.setRemaining(partChunk, int64(n)+chunkEndBytes)
	}
}

// next returns the head of the next request to be served. ok is false if the
// scanner could not follow the connection up to it.
func (s *scanner) next() (h head, ok bool) {
	if len(s.pending) == 0 {
		return head{}, false
	}
	h, s.served = s.pending[0], s.sizes[0]
	s.sizes = append(s.sizes[:0], s.sizes[1:]...)
	s.pending = append(s.pending[:0], s.pending[1:]...)
	return h, true
}
