// Package bytebudget bounds the bytes that a process holds for its clients over all
// connections. Load pattern: clients that send many bodies at once, most of which stop
// before their end and stay open.
//
// Contract: the bytes held never exceed the limit, apart from responses (see
// Body.ReadResponse). Memory is taken in chunks as bytes arrive, never by an announced
// length. Each chunk is counted before it is allocated.
//
// Who yields: if the budget is short, the body that is still being read and has made no
// progress for the longest time, of the caller with the most bytes in such bodies. Bodies
// of the requester's own caller yield only after StallTime without progress. If none
// yields, the requester is refused. Bodies that have arrived whole never yield, because
// their requests may run.
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
	// requestBytes is counted for the header and buffers of a request with a body: the
	// read and write buffers of net/http on both connections and a usual header.
	requestBytes = 16 << 10
	// StallTime is the time without a byte after which a body yields to others of its
	// caller. It allows for two lost packets in a row, whose retransmissions start at 200 ms.
	StallTime = time.Second
)

// Shares of the budget. A single caller leaves a quarter to the others; clients without a
// known key hold only a small part.
const (
	callerShare  = 0.75
	unknownShare = 0.125
)

// Errors of Body.ReadRequest.
var (
	// ErrShort means that the budget is short and no other body yields.
	ErrShort = errors.New("bytebudget: no memory for the body; retry later, or raise memory_mb if the machine has more")
	// ErrYielded means that the body was given up in favour of another one.
	ErrYielded = errors.New("bytebudget: the body was given up for another one; send it faster, or in fewer requests at once")
)

// DefaultMemoryMB is the memory in MB of 2^20 bytes that is assumed if none is set. It is
// more than a router without a budget used in any measured burst within the documented
// limits.
const DefaultMemoryMB = 1024

// Parts of the memory of a machine.
const (
	// ownBytes is what a router needs for itself: its code, the state of a large fleet
	// and the connections of its workers.
	ownBytes = 32 << 20
	// heldShare leaves a quarter to the garbage collector and to network buffers.
	heldShare = 0.75
	// runtimeShare is the soft limit of the runtime, above which it collects garbage
	// more often. The rest is for memory that the runtime does not count.
	runtimeShare = 0.9
	minimumBytes = 4 << 20
)

// Limit returns the bytes that a router may hold for others in a memory, 0 for the default.
func Limit(memoryMB int) int64 {
	if memoryMB == 0 {
		memoryMB = DefaultMemoryMB
	}
	return max(int64(float64(memoryMB<<20)*heldShare)-ownBytes, minimumBytes)
}

// RuntimeLimit returns the memory limit of the Go runtime for a memory, 0 for the default.
func RuntimeLimit(memoryMB int) int64 {
	if memoryMB == 0 {
		memoryMB = DefaultMemoryMB
	}
	return int64(float64(memoryMB<<20) * runtimeShare)
}

// Budget is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex // lock level 90
	limit   int64
	used    int64
	held    map[string]int64 // by caller
	reading map[*Body]bool
	free    [][]byte      // chunks of ChunkBytes
	changed chan struct{} // closed when bytes are released
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, held: map[string]int64{}, reading: map[*Body]bool{}, changed: make(chan struct{})}
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
	budget    *Budget
	caller    string // empty for clients without a known key
	interrupt func() // ends the read in progress

	chunks [][]byte
	size   int64

	// The budget's lock protects the fields below.
	counted  int64
	progress time.Time // of the last byte
	yielded  bool
	released bool
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

// ReadRequest reads to the end of r. now returns the time. ctx ends the wait for bodies
// that yield. Errors: those of r, ErrShort, ErrYielded.
func (h *Body) ReadRequest(ctx context.Context, r io.Reader, now func() time.Time) error {
	if err := h.reserve(ctx, requestBytes, now); err != nil {
		return err
	}
	h.startReading()
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

// ReadResponse reads to the end of r. A response is counted but never refused: its request
// has run, and its size is limited elsewhere. Errors: those of r.
func (h *Body) ReadResponse(r io.Reader) error {
	return h.readAll(r, time.Now, func(n int64) error { h.count(n); return nil })
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
			h.recordProgress(now())
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (h *Body) recordProgress(now time.Time) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress = now
}

func (h *Body) startReading() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.reading[h] = true
}

func (h *Body) count(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.add(h, n)
}

func (b *Budget) add(h *Body, n int64) {
	h.counted += n
	b.used += n
	b.held[h.caller] += n
	keep := max(b.limit-b.used, 0) / ChunkBytes
	if n == ChunkBytes {
		keep++ // h takes one of them
	}
	b.free = b.free[:min(keep, int64(len(b.free)))]
}

// yieldWait limits the wait for the memory of bodies that yield. Their owners only have
// to notice that a read has ended.
const yieldWait = time.Second

// reserve counts n bytes, and waits for bodies that yield if the budget is short.
func (h *Body) reserve(ctx context.Context, n int64, now func() time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, yieldWait)
	defer cancel()
	for {
		changed, err := h.tryReserve(n, now())
		if changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ErrShort
		}
	}
}

// tryReserve counts n bytes. If other bodies yield for them, it returns a channel that is
// closed when some bytes have been released.
func (h *Body) tryReserve(n int64, now time.Time) (<-chan struct{}, error) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	over := b.isOverShare(h, n)
	if h.yielded {
		return nil, ErrYielded
	}
	if !over && b.used+n <= b.limit {
		b.add(h, n)
		h.progress = now
		return nil, nil
	}
	caller := h.caller
	if !over {
		caller = b.largestReader()
	}
	if !b.yield(h, n, caller, now) {
		return nil, ErrShort
	}
	return b.changed, nil
}

// isOverShare reports whether n more bytes exceed the share of the caller.
func (b *Budget) isOverShare(h *Body, n int64) bool {
	share := callerShare
	if h.caller == "" {
		share = unknownShare
	}
	return float64(b.held[h.caller]+n) > share*float64(b.limit)
}

// largestReader returns the caller with the most bytes in bodies that are being read.
func (b *Budget) largestReader() string {
	sums := map[string]int64{}
	caller := ""
	for h := range b.reading {
		sums[h.caller] += h.counted
		if s := sums[h.caller]; s > sums[caller] || s == sums[caller] && h.caller < caller {
			caller = h.caller
		}
	}
	return caller
}

// yield lets bodies of a caller yield until n bytes will be released. It returns false if
// none does.
func (b *Budget) yield(h *Body, n int64, caller string, now time.Time) bool {
	var victim *Body
	for o := range b.reading {
		switch {
		case o.yielded && o.caller == caller:
			if n -= o.counted; n <= 0 {
				return true // it has not released its bytes yet
			}
		case o == h || o.caller != caller || o.yielded:
		case caller == h.caller && now.Sub(o.progress) < StallTime:
		case victim == nil || o.progress.Before(victim.progress):
			victim = o
		}
	}
	if victim == nil {
		return false
	}
	victim.yielded = true
	victim.interrupt()
	return true
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
	b.used -= h.counted
	if b.held[h.caller] -= h.counted; b.held[h.caller] == 0 {
		delete(b.held, h.caller)
	}
	b.keep(h.chunks)
	h.chunks = nil
	close(b.changed)
	b.changed = make(chan struct{})
}

// keep keeps chunks for reuse, as many as stay within the limit with the bytes in use.
func (b *Budget) keep(chunks [][]byte) {
	for _, c := range chunks {
		if cap(c) == ChunkBytes && b.used+int64(len(b.free)+1)*ChunkBytes <= b.limit {
			b.free = append(b.free, c[:0])
		}
	}
}
