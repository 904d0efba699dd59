package peer

import (
	"context"
	"errors"
	"time"

	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/store"
)

// maxRowOps bounds the rows in one request to the table.
const maxRowOps = 64

// holderTurn makes one turn of the holder loop: it decides under the locks and
// then reads and writes rows. Turns do not overlap.
func (p *Peer) holderTurn(ctx context.Context) {
	p.drainKick()
	todo := p.decide(p.now())
	p.afterChange()
	if len(todo.reads)+len(todo.writes) == 0 || !p.turn.CompareAndSwap(false, true) {
		return
	}
	defer p.turn.Store(false)
	p.readRows(ctx, todo.reads)
	p.writeRows(ctx, todo.writes)
	p.afterChange()
	p.kickIf(len(todo.reads) > 0)
}

// kick asks for a turn of the holder loop before its next interval.
func (p *Peer) kick() { p.kickIf(true) }

func (p *Peer) kickIf(wanted bool) {
	if !wanted {
		return
	}
	select {
	case p.kicked <- struct{}{}:
		p.submit(p.holderTurn)
	default:
	}
}

func (p *Peer) drainKick() {
	select {
	case <-p.kicked:
	default:
	}
}

// readRows reads the rows of some leases.
func (p *Peer) readRows(ctx context.Context, keys []workerKey) bool {
	for len(keys) > 0 {
		n := min(len(keys), maxRowOps)
		if !p.readSome(ctx, keys[:n]) {
			return false
		}
		keys = keys[n:]
	}
	return true
}

func (p *Peer) readSome(ctx context.Context, keys []workerKey) bool {
	ctx, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
	defer cancel()
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = k.row()
	}
	sent := p.now()
	rows, err := p.table.Get(ctx, names...)
	if err != nil || len(rows) != len(keys) {
		p.scope.Counter("row_read_failed").Inc(1)
		return false
	}
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	for i, k := range keys {
		p.rowRead(sent, k, rows[i])
	}
	return true
}

// rowRead passes a row to its lease. The caller holds leaseMu.
func (p *Peer) rowRead(sent time.Time, k workerKey, row store.Row) {
	l := p.leases[k]
	if l == nil {
		return
	}
	record, err := lease.DecodeRecord(row.Value)
	if err != nil {
		p.log.Error("slot lease not readable", "row", row.Key, "err", err)
		return
	}
	l.lease.HandleRead(sent, p.now(), record, row.Version)
}

// writeRows writes rows in one commit. When a precondition of one row fails,
// the rows are written one by one.
func (p *Peer) writeRows(ctx context.Context, writes []rowWrite) {
	for len(writes) > 0 {
		n := min(len(writes), maxRowOps)
		if p.commit(ctx, writes[:n]) == lease.Conflict && n > 1 {
			for i := range n {
				p.commit(ctx, writes[i:i+1])
			}
		}
		writes = writes[n:]
	}
}

// commit writes some rows and tells their leases the outcome. A conflict of
// several rows is not told: nothing was applied, and the caller repeats them
// one by one.
func (p *Peer) commit(ctx context.Context, writes []rowWrite) lease.Outcome {
	ctx, cancel := context.WithTimeout(ctx, p.s.CallTimeout)
	defer cancel()
	ops := make([]store.Op, len(writes))
	for i, w := range writes {
		ops[i] = store.Op{Key: w.key.row(), IfVersion: w.write.IfVersion, Value: w.write.Value.Encode()}
	}
	done, err := p.table.Commit(ctx, ops)
	outcome := lease.OutcomeOf(err)
	if outcome == lease.Conflict && len(writes) > 1 {
		return outcome
	}
	p.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("row_writes").Inc(int64(len(writes)))
	now := p.now()
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	for i, w := range writes {
		l := p.leases[w.key]
		if l == nil {
			continue
		}
		version := int64(0)
		if outcome == lease.Applied {
			version = done.Versions[i]
			l.created = w.write.IfVersion == 0
		}
		l.lease.HandleWrite(now, w.write, outcome, version)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		for _, row := range conflict.Current {
			p.rowRead(now, writes[0].key, row)
		}
	}
	return outcome
}
