package ledger

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/auburnlead/auburnlead/store"
)

// maxTries bounds the commits and reads that resolve the outcome of a commit
// whose reply was lost.
const maxTries = 4

type writeKind int

const (
	writeApplied  writeKind = iota // the row has the write's value
	writeConflict                  // the write has not taken effect and will not
	writeFailed                    // the platform did not apply it, or its effect is unknown
)

// write replaces the value of a row that has version ifVersion. The value
// contains the attempt's token, so a row with that value was written by it.
type write struct {
	key       string
	ifVersion int64
	value     []byte
	uncertain bool // a commit with this write got no reply: its outcome is unknown
	tries     int
	done      chan writeResult // receives one result
}

type writeResult struct {
	kind      writeKind
	row       store.Row // applied: the key and new version; conflict: the current row
	uncertain bool      // the outcome of an earlier commit of the write is unknown
	err       error
}

func (l *Ledger) newWrite(c Claim, version int64, r record) *write {
	r.Digest, r.Attempt, r.Router, r.At = c.Digest, c.Attempt, c.Router, l.platformNowMillis()
	return &write{key: c.rowKey(), ifVersion: version, value: r.encode(), done: make(chan writeResult, 1)}
}

func (w *write) applied(version int64) {
	w.done <- writeResult{kind: writeApplied, row: store.Row{Key: w.key, Version: version}}
}

func (w *write) conflict(row store.Row) {
	w.done <- writeResult{kind: writeConflict, row: row, uncertain: w.uncertain}
}

func (w *write) failed(err error) {
	w.done <- writeResult{kind: writeFailed, uncertain: w.uncertain, err: err}
}

// submit adds a write to the pending batch and waits for its result, which is
// then in w.done. It returns an error if ctx ends first, in which case the
// write may still be applied, or if the ledger is closed.
func (l *Ledger) submit(ctx context.Context, w *write) error {
	if err := ctx.Err(); err != nil {
		w.failed(err)
		return err
	}
	if !l.enqueue(w) {
		w.failed(errClosed)
		return errClosed
	}
	select {
	case res := <-w.done:
		w.done <- res
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enqueue adds a write to the pending batch. The first write of a batch starts
// the group window. It returns false if the ledger has stopped.
func (l *Ledger) enqueue(w *write) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.batch) == 0 && !l.spawnLocked(l.commitBatch) {
		return false
	}
	l.batch = append(l.batch, w)
	return true
}

// commitBatch waits for the group window and commits the batch.
func (l *Ledger) commitBatch() {
	select {
	case <-l.opts.After(l.opts.GroupWindow):
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	batch := l.batch
	l.batch = nil
	l.mu.Unlock()
	l.commitAll(batch)
}

// commitAll commits the writes until each one has a result.
func (l *Ledger) commitAll(writes []*write) {
	for len(writes) > 0 {
		next, rest := nextCommit(writes)
		writes = append(l.commit(next), rest...)
	}
}

// nextCommit takes up to maxCommitRows writes with different keys.
func nextCommit(writes []*write) (next, rest []*write) {
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if seen[w.key] || len(next) == maxCommitRows {
			rest = append(rest, w)
			continue
		}
		seen[w.key] = true
		next = append(next, w)
	}
	return next, rest
}

// commit sends the writes in one commit and returns those that must be retried.
func (l *Ledger) commit(writes []*write) (again []*write) {
	ops := make([]store.Op, len(writes))
	for i, w := range writes {
		ops[i] = store.Op{Key: w.key, IfVersion: w.ifVersion, Value: w.value}
		w.tries++
	}
	done, err := l.table.Commit(l.ctx, ops)
	var conflict *store.ConflictError
	var uncertain *store.UncertainError
	switch {
	case err == nil:
		l.updateSkew(done.At)
		for i, w := range writes {
			w.applied(done.Versions[i])
		}
		return nil
	case errors.As(err, &conflict):
		return l.afterConflict(writes, conflict.Current, err)
	case errors.As(err, &uncertain):
		for _, w := range writes {
			w.uncertain = true
		}
		return l.resolveLostReply(writes, err)
	}
	for _, w := range writes {
		w.failed(err)
	}
	return nil
}

// afterConflict sets the result of the writes whose preconditions failed and
// returns the others for a retry, so that one conflict does not fail the batch.
func (l *Ledger) afterConflict(writes []*write, current []store.Row, err error) (again []*write) {
	rows := make(map[string]store.Row, len(current))
	for _, r := range current {
		rows[r.Key] = r
	}
	for _, w := range writes {
		row, conflicting := rows[w.key]
		switch {
		case conflicting:
			w.decide(row)
		case w.tries > len(writes)+maxTries:
			w.failed(err) // the platform reported conflicts without a row of these writes
		default:
			again = append(again, w)
		}
	}
	return again
}

// decide sets the result of a write from a row that does not have the expected
// version. Versions are never reused, so the write cannot take effect later.
func (w *write) decide(row store.Row) {
	if bytes.Equal(row.Value, w.value) {
		w.applied(row.Version)
		return
	}
	w.conflict(row)
}

// resolveLostReply reads the rows back after a lost reply. An unchanged row
// proves nothing, since the commit may still arrive. Its write is returned to be
// committed again; whichever commit arrives first makes the other fail.
func (l *Ledger) resolveLostReply(writes []*write, cause error) (again []*write) {
	rows, err := l.readBack(writes)
	for i, w := range writes {
		switch {
		case err != nil:
			w.failed(errors.Join(cause, err))
		case rows[i].Version != w.ifVersion:
			w.decide(rows[i])
		case w.tries >= maxTries:
			w.failed(cause)
		default:
			again = append(again, w)
		}
	}
	return again
}

func (l *Ledger) readBack(writes []*write) ([]store.Row, error) {
	keys := make([]string, len(writes))
	for i, w := range writes {
		keys[i] = w.key
	}
	wait := minRetryDelay
	for tries := 1; ; tries++ {
		rows, err := l.table.Get(l.ctx, keys...)
		if err == nil || tries == maxTries {
			return rows, err
		}
		if !l.pause(l.ctx, &wait) {
			return nil, err
		}
	}
}

// pause waits and doubles the next wait. It returns false if ctx ends or the
// ledger is closed in the meantime.
func (l *Ledger) pause(ctx context.Context, wait *time.Duration) bool {
	select {
	case <-l.opts.After(*wait):
		*wait = min(2**wait, maxRetryDelay)
		return true
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return false
}
