package ledger

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/auburnlead/auburnlead/store"
)

// resolveTries bounds the tries to learn the effect of a commit whose reply
// was lost.
const resolveTries = 4

type writeKind int

const (
	writeApplied  writeKind = iota // the row has the write's value
	writeConflict                  // the write has had no effect and will have none
	writeFailed                    // the platform did not carry it out
)

// write replaces the value of a row that has version ifVersion. Its value
// contains the attempt's token, so a row with that value is the write's own.
type write struct {
	key       string
	ifVersion int64
	value     []byte
	maybe     bool // a commit with this write got no reply
	tries     int
	done      chan writeResult // receives one result
}

type writeResult struct {
	kind  writeKind
	row   store.Row // applied: the new version; conflict: the row as it is
	maybe bool      // failed: the write may still take effect
	err   error
}

func (l *Ledger) newWrite(c Claim, version int64, r record) *write {
	r.Digest, r.Attempt, r.Router, r.At = c.Digest, c.Attempt, c.Router, l.platformMillis()
	return &write{key: c.rowKey(), ifVersion: version, value: r.encode(), done: make(chan writeResult, 1)}
}

func (w *write) applied(version int64) {
	w.done <- writeResult{kind: writeApplied, row: store.Row{Key: w.key, Version: version}}
}

func (w *write) conflict(row store.Row) {
	w.done <- writeResult{kind: writeConflict, row: row, maybe: w.maybe}
}

func (w *write) failed(err error) {
	w.done <- writeResult{kind: writeFailed, maybe: w.maybe, err: err}
}

// submit adds a write to the group that is being collected and waits until it
// is decided; its result is then in w.done. An error says that ctx ended first
// or the ledger is closed; the write may still be carried out.
func (l *Ledger) submit(ctx context.Context, w *write) error {
	if err := ctx.Err(); err != nil {
		w.failed(err)
		return err
	}
	if !l.join(w) {
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

// join puts a write into the current group. The first write of a group starts
// the wait for the others.
func (l *Ledger) join(w *write) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.group) == 0 && !l.spawnLocked(l.collect) {
		return false
	}
	l.group = append(l.group, w)
	return true
}

// collect waits for the group window and commits what has come.
func (l *Ledger) collect() {
	select {
	case <-l.o.After(l.o.GroupWindow):
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	group := l.group
	l.group = nil
	l.mu.Unlock()
	l.commitAll(group)
}

// commitAll decides every write.
func (l *Ledger) commitAll(writes []*write) {
	for len(writes) > 0 {
		round, rest := split(writes)
		writes = append(l.commit(round), rest...)
	}
}

// split takes up to maxGroup writes with different keys.
func split(writes []*write) (round, rest []*write) {
	seen := make(map[string]bool, len(writes))
	for _, w := range writes {
		if seen[w.key] || len(round) == maxGroup {
			rest = append(rest, w)
			continue
		}
		seen[w.key] = true
		round = append(round, w)
	}
	return round, rest
}

// commit tries the writes in one commit and returns those that have to be
// tried again.
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
		l.learnClock(done.At)
		for i, w := range writes {
			w.applied(done.Versions[i])
		}
		return nil
	case errors.As(err, &conflict):
		return l.afterConflict(writes, conflict.Current, err)
	case errors.As(err, &uncertain):
		for _, w := range writes {
			w.maybe = true
		}
		return l.resolve(writes, err)
	}
	for _, w := range writes {
		w.failed(err)
	}
	return nil
}

// afterConflict decides the writes whose preconditions failed. The others are
// tried again, so that one conflict does not fail the group.
func (l *Ledger) afterConflict(writes []*write, current []store.Row, err error) (again []*write) {
	rows := make(map[string]store.Row, len(current))
	for _, r := range current {
		rows[r.Key] = r
	}
	for _, w := range writes {
		row, stale := rows[w.key]
		switch {
		case stale:
			w.settle(row)
		case w.tries > len(writes)+resolveTries:
			w.failed(err) // the platform names no row of this group
		default:
			again = append(again, w)
		}
	}
	return again
}

// settle decides a write from a row that does not have the expected version.
// Versions do not recur, so the write can take no effect later.
func (w *write) settle(row store.Row) {
	if bytes.Equal(row.Value, w.value) {
		w.applied(row.Version)
		return
	}
	w.conflict(row)
}

// resolve reads the rows back after a lost reply. A row that is unchanged
// tells nothing, since the commit may still be on its way; its write is
// committed again, and whichever commit comes first makes the other fail.
func (l *Ledger) resolve(writes []*write, cause error) (again []*write) {
	rows, err := l.readBack(writes)
	for i, w := range writes {
		switch {
		case err != nil:
			w.failed(errors.Join(cause, err))
		case rows[i].Version != w.ifVersion:
			w.settle(rows[i])
		case w.tries >= resolveTries:
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
	wait := firstRetry
	for try := 1; ; try++ {
		rows, err := l.table.Get(l.ctx, keys...)
		if err == nil || try == resolveTries {
			return rows, err
		}
		if !l.pause(l.ctx, &wait) {
			return nil, err
		}
	}
}

// pause waits and doubles the next wait. It reports false when ctx or the
// ledger ended.
func (l *Ledger) pause(ctx context.Context, wait *time.Duration) bool {
	select {
	case <-l.o.After(*wait):
		*wait = min(2**wait, lastRetry)
		return true
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	return false
}
