package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// lineQueue writes log lines in the background. Write never blocks.
type lineQueue struct {
	lines   chan []byte // a nil line ends run
	done    chan struct{}
	bytes   atomic.Int64 // of the queued lines
	dropped atomic.Int64
}

// Limits of the queued lines. A usual line has about 300 bytes, one with a long request ID
// as many as a header allows.
const (
	maxQueuedLines = 1024
	maxQueuedBytes = 1 << 20
)

func newLineQueue(out io.Writer) *lineQueue {
	q := &lineQueue{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go q.run(out)
	return q
}

func (q *lineQueue) run(out io.Writer) {
	for line := range q.lines {
		if line == nil {
			close(q.done)
			return
		}
		if n := q.dropped.Swap(0); n > 0 {
			fmt.Fprintf(out, "level=warn prefix=node msg=\"log lines dropped\" lines=%d\n", n)
		}
		_, _ = out.Write(line) // there is nowhere else to report an error
		q.bytes.Add(-int64(len(line)))
	}
}

// Write queues one line. If the queue is full, by lines or by bytes, the line is dropped
// and counted.
func (q *lineQueue) Write(line []byte) (int, error) {
	n := int64(len(line))
	if q.bytes.Add(n) <= maxQueuedBytes {
		select {
		case q.lines <- bytes.Clone(line):
			return len(line), nil
		default:
		}
	}
	q.bytes.Add(-n)
	q.dropped.Add(1)
	return len(line), nil
}

// flush waits until the queued lines are written and ends run. Lines queued later
// are not written.
func (q *lineQueue) flush(ctx context.Context) error {
	select {
	case q.lines <- nil:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-q.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
