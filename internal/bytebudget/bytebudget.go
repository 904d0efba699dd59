// Package bytebudget bounds the bytes that a process holds for its clients over all
// connections. Load patterns: clients that send many bodies at once, most of which stop
// before their end and stay open; heads of many small fields; responses that nobody reads.
//
// Contract: the bytes held never exceed the limit, apart from the first chunk of each
// response (see Body.ReadResponse) and from connections for which bodies are about to yield
// (see TryAddConnection). Memory is taken in chunks as bytes arrive, never by an
// announced length. Each chunk is counted before it is allocated.
//
// Who yields: if the budget is short, the request body that is still being read and has
// made no progress for the longest time, of the caller with the most bytes in such bodies.
// Bodies of the requester's own caller yield only after StallTime without progress. If no
// body yields, the response whose client has read nothing for StallTime and longest does.
// If none yields, the requester is refused. Bodies that have arrived whole never yield,
// because their requests may run.
//
// Connections, and heads whose request is not admitted yet, take at most half of the
// budget. Which of them yield is decided by package connlimit.
package bytebudget

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"
)

const (
	// ChunkBytes is the size of the chunks of a body after the first one.
	ChunkBytes = 32 << 10
	// firstChunkBytes is the size of the first chunk; most bodies fit in it.
	firstChunkBytes = 4 << 10
	// requestBytes is counted for each admitted request: the stacks and buffers of its
	// handler and of the connection to its worker.
	requestBytes = 40 << 10
	// StallTime is the time without a byte after which a body yields to others of its
	// caller. It allows for two lost packets in a row, whose retransmissions start at 200 ms.
	StallTime = time.Second
)

// Shares of the budget. A single caller leaves a quarter to the others; clients without a
// known key hold only a small part.
const (
	callerShare     = 0.75
	unknownShare    = 0.125
	connectionShare = 0.5
)

// Errors of Body.
var (
	// ErrShort means that the budget is short and no other body yields.
	ErrShort = errors.New("bytebudget: no memory for the body; retry later, or raise memory_mb if the machine has more")
	// ErrYielded means that the body was given up in favour of another one, or of a
	// connection.
	ErrYielded = errors.New("bytebudget: the body was given up for another one; send it faster, or in fewer requests at once")
)

// Budget is safe for concurrent use.
type Budget struct {
	mu          sync.Mutex // lock level 90
	limit       int64
	used        int64
	connections int64            // part of used
	unknown     int64            // admissions of clients without a known key, part of held
	held        map[string]int64 // by caller, without connections
	reading     map[*Body]bool   // requests whose body is being read
	writing     map[*Body]bool   // responses that are being written to their callers
	free        [][]byte         // chunks of ChunkBytes
	waiters     []*waiter        // in the order of their arrival
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, held: map[string]int64{}, reading: map[*Body]bool{}, writing: map[*Body]bool{}}
}

// Used returns the bytes that are held.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Body holds the bytes of one request or response until Release. Only one goroutine may
// use it, apart from the budget.
type Body struct {
	budget *Budget
	caller string // empty for clients without a known key

	chunks [][]byte
	size   int64

	// The budget's lock protects the fields below.
	interrupt func() // ends the read or write in progress
	holds     string // see StartWriting
	counted   int64
	admitting bool      // Admit is running
	admission int64     // part of counted: that of Admit
	received  int64     // bytes of a request body
	began     time.Time // when the reading of a request body began
	progress  time.Time // of the last byte
	yielded   bool
	released  bool
}

// NewBody returns an empty body of a caller, whose name is empty for clients without a
// known key. interrupt ends a read in progress; it must not block.
func (b *Budget) NewBody(caller string, interrupt func()) *Body {
	return &Body{budget: b, caller: caller, interrupt: interrupt}
}

// Chunks returns the bytes. They may not be used after Release.
func (h *Body) Chunks() [][]byte { return h.chunks }

// Size returns the number of bytes.
func (h *Body) Size() int64 { return h.size }

// Admit counts a request, with headBytes for its head in addition to what each request
// takes. ctx ends the wait for bodies that yield. Errors: ErrShort.
func (h *Body) Admit(ctx context.Context, headBytes int64, now func() time.Time) error {
	h.setAdmitting(true)
	defer h.setAdmitting(false)
	return h.reserve(ctx, requestBytes+headBytes, now)
}

func (h *Body) setAdmitting(admitting bool) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.admitting = admitting
}

// ReadRequest reads the body of an admitted request to the end of r. now returns the time.
// ctx ends the wait for bodies that yield. Errors: those of r, ErrShort, ErrYielded.
func (h *Body) ReadRequest(ctx context.Context, r io.Reader, now func() time.Time) error {
	h.startReading(now())
	err := h.readAll(r, now, func(n int64) error { return h.reserve(ctx, n, now) })
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.yielded {
		return ErrYielded // also if its last byte arrived in the meantime: others wait for the memory
	}
	if err == nil {
		delete(h.budget.reading, h) // after a failure it counts until Release
	}
	return err
}

// ReadResponse reads to the end of r. now returns the time. ctx ends the wait for bodies
// that yield. The first chunk is counted but never refused, since the request has run. If
// the budget is short for another one, what was read stays and the rest of r is unread.
// Errors: those of r, ErrShort.
func (h *Body) ReadResponse(ctx context.Context, r io.Reader, now func() time.Time) error {
	return h.readAll(r, now, func(n int64) error {
		if len(h.chunks) == 0 {
			h.count(n)
			return nil
		}
		return h.reserve(ctx, n, now)
	})
}

// Reserve counts n bytes that the owner keeps elsewhere. ctx ends the wait for bodies that
// yield. Errors: ErrShort, ErrYielded.
func (h *Body) Reserve(ctx context.Context, n int64, now func() time.Time) error {
	return h.reserve(ctx, n, now)
}

// StartWriting records that a part of a response is being written to its caller. Until
// EndWriting it yields if the caller reads nothing. holds names what the response occupies
// meanwhile, such as a worker of which it has a connection; it is empty for nothing.
// interrupt ends the write; it must not block.
func (h *Body) StartWriting(holds string, interrupt func(), now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.holds, h.interrupt, h.progress = holds, interrupt, now
	if !h.released {
		h.budget.writing[h] = true
	}
}

// EndWriting records that the caller has read that part.
func (h *Body) EndWriting() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	delete(h.budget.writing, h)
}

// Join returns the bytes as one slice, which stays valid after Release. Until then they
// are counted twice, for the slice and one copy that the caller may make of it. It may be
// called once, and no chunk may be used after it. Errors: ErrShort, ErrYielded.
func (h *Body) Join(ctx context.Context, now func() time.Time) ([]byte, error) {
	if err := h.reserve(ctx, h.size, now); err != nil {
		return nil, err
	}
	joined := make([]byte, 0, h.size)
	for _, c := range h.chunks {
		joined = append(joined, c...)
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keep(h.chunks)
	h.chunks = nil
	return joined, nil
}

func (h *Body) readAll(r io.Reader, now func() time.Time, take func(int64) error) error {
	size := firstChunkBytes
	var last []byte
	for {
		if len(last) == cap(last) {
			if err := take(int64(size)); err != nil {
				return err
			}
			last = h.budget.chunk(size)
			h.chunks = append(h.chunks, last)
			size = ChunkBytes
		}
		n, err := r.Read(last[len(last):cap(last)])
		last = last[:len(last)+n]
		h.chunks[len(h.chunks)-1] = last
		h.size += int64(n)
		if n > 0 {
			h.recordProgress(int64(n), now())
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (h *Body) recordProgress(n int64, now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.received += n
	h.progress = now
}

func (h *Body) startReading(now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.began = now
	h.budget.reading[h] = true
}

func (h *Body) count(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.add(h, n)
}

func (b *Budget) add(h *Body, n int64) {
	h.counted += n
	if h.admitting {
		h.admission += n
		if h.caller == "" {
			b.unknown += n
		}
	}
	b.used += n
	b.held[h.caller] += n
	if n == ChunkBytes {
		b.trimFree(1) // h takes one of them
		return
	}
	b.trimFree(0)
}

// trimFree drops free chunks that are above the limit with the bytes in use, apart from
// more of them.
func (b *Budget) trimFree(more int64) {
	keep := min(max(b.limit-b.used, 0)/ChunkBytes+more, int64(len(b.free)))
	clear(b.free[keep:])
	b.free = b.free[:keep]
}

// chunk returns an empty chunk with a capacity.
func (b *Budget) chunk(size int) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last := len(b.free) - 1; size == ChunkBytes && last >= 0 {
		c := b.free[last]
		b.free = b.free[:last]
		return c
	}
	return make([]byte, 0, size)
}

// Release gives the bytes back. Further calls do nothing.
func (h *Body) Release() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	delete(b.reading, h)
	delete(b.writing, h)
	b.giveBack(h)
}

// Shrink gives back what is counted above n bytes.
func (h *Body) Shrink(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if surplus := h.counted - n; surplus > 0 {
		h.counted = n
		b.used -= surplus
		b.held[h.caller] -= surplus
		b.signal()
	}
}

// Reset gives the bytes back. The body is empty then and may be used again.
func (h *Body) Reset() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.size = 0
	b.giveBack(h)
}

func (b *Budget) giveBack(h *Body) {
	b.used -= h.counted
	if b.held[h.caller] -= h.counted; b.held[h.caller] == 0 {
		delete(b.held, h.caller)
	}
	if h.caller == "" {
		b.unknown -= h.admission
	}
	h.counted, h.admission = 0, 0
	b.keep(h.chunks)
	h.chunks = nil
	b.signal()
}

// keep keeps chunks for reuse, as many as stay within the limit with the bytes in use.
func (b *Budget) keep(chunks [][]byte) {
	for _, c := range chunks {
		if cap(c) == ChunkBytes && b.used+int64(len(b.free)+1)*ChunkBytes <= b.limit {
			b.free = append(b.free, c[:0])
		}
	}
}
