package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/store"
)

// sweepRow is the key of the row that stores the time of the last sweep. It does
// not start with rowPrefix, so that sweeps do not scan it.
const sweepRow = "ledger-sweep"

// sweepPage is the maximum number of rows that a sweep reads or changes in one
// request.
const sweepPage = 256

type sweepRecord struct {
	At int64 `json:"at"` // platform's clock in ms
}

// Sweep deletes rows older than the retention, by the platform's clock, and
// returns their number. All routers may call it at any time: a sweep that is
// not due costs one read, and only one router carries out a due sweep. It returns
// the errors of the platform; the next sweep deletes the rows that are left.
func (l *Ledger) Sweep(ctx context.Context) (int, error) {
	now, due, err := l.beginSweep(ctx)
	if err != nil || !due {
		return 0, err
	}
	deleted := 0
	after := ""
	for {
		rows, err := l.table.Scan(ctx, rowPrefix, after, sweepPage)
		if err != nil {
			return deleted, err
		}
		if len(rows) == 0 {
			return deleted, nil
		}
		after = rows[len(rows)-1].Key
		n, err := l.sweepRows(ctx, rows, now)
		deleted += n
		if err != nil {
			return deleted, err
		}
	}
}

// beginSweep records the time of this sweep and returns the platform's clock,
// which it learns from the commit. due is false if it is too early for a sweep or
// another router has begun this one.
func (l *Ledger) beginSweep(ctx context.Context) (now time.Time, due bool, err error) {
	rows, err := l.table.Get(ctx, sweepRow)
	if err != nil {
		return now, false, err
	}
	var last sweepRecord
	if rows[0].Version > 0 && json.Unmarshal(rows[0].Value, &last) != nil {
		last = sweepRecord{} // a damaged row makes the sweep due
	}
	next := last.At + l.opts.SweepInterval.Milliseconds()
	estimate := l.platformNowMillis()
	if estimate != 0 && estimate < next {
		return now, false, nil
	}
	// Without an estimate of the platform's clock, this write only serves to
	// learn it, and leaves the recorded time unchanged.
	value, err := json.Marshal(sweepRecord{max(estimate, last.At)})
	if err != nil {
		return now, false, err
	}
	done, err := l.table.Commit(ctx, []store.Op{{Key: sweepRow, IfVersion: rows[0].Version, Value: value}})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return now, false, nil
	}
	if err != nil {
		return now, false, err
	}
	l.updateSkew(done.At)
	if estimate == 0 {
		return l.beginSweep(ctx)
	}
	return done.At, true, nil
}

// sweepRows deletes the rows that are older than the retention. A row whose
// writer did not know the platform's clock has no timestamp; it is given the
// current time.
func (l *Ledger) sweepRows(ctx context.Context, rows []store.Row, now time.Time) (int, error) {
	var ops []store.Op
	for _, row := range rows {
		if op, ok := l.sweepOpFor(row, now); ok {
			ops = append(ops, op)
		}
	}
	if len(ops) == 0 {
		return 0, nil
	}
	_, err := l.table.Commit(ctx, ops)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		// Rows that changed since the scan are left for the next sweep.
		ops = slices.DeleteFunc(ops, func(op store.Op) bool {
			return slices.ContainsFunc(conflict.Current, func(r store.Row) bool { return r.Key == op.Key })
		})
		if len(ops) == 0 {
			return 0, nil
		}
		_, err = l.table.Commit(ctx, ops)
	}
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, op := range ops {
		if op.Delete {
			deleted++
		}
	}
	return deleted, nil
}

// sweepOpFor returns the operation that a sweep applies to a row, if any.
func (l *Ledger) sweepOpFor(row store.Row, now time.Time) (store.Op, bool) {
	rec, err := decode(row.Value)
	if err != nil {
		return store.Op{}, false // a malformed row is kept for inspection
	}
	op := store.Op{Key: row.Key, IfVersion: row.Version}
	switch {
	case rec.At == 0:
		rec.At = now.UnixMilli()
		op.Value = rec.encode()
		return op, true
	case now.UnixMilli()-rec.At > l.opts.Retention.Milliseconds():
		op.Delete = true
		return op, true
	}
	return store.Op{}, false
}
