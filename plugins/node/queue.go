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
	lines   chan []byte // nil ends the writer
	done    chan struct{}
	dropped atomic.Int64
}

// queuedLines bounds the memory of lines that wait to be written, about 300
// bytes each.
const queuedLines = 1024

func newLineQueue(out io.Writer) *lineQueue {
	q := &lineQueue{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
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
		_, _ = out.Write(line) // there is no other place to report to
	}
}

// Write queues one line.
func (q *lineQueue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// flush writes the queued lines and ends the writer. Later lines are dropped.
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
