package peer

import (
	"context"
	"errors"
	"time"

	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/store"
)

// maxRowsPerCall limits the rows in one request to the table.
const maxRowsPerCall = 64

// leaseRound runs one round of the lease loop. It plans the round while it
// holds the locks, and reads and writes rows without them. Rounds that read or
// write rows do not overlap.
func (p *Peer) leaseRound(ctx context.Context) {
	p.clearWake()
	plan := p.planRound(p.now())
	p.applyLeaseChanges()
	if len(plan.reads)+len(plan.writes) == 0 {
		return
	}
	if !p.roundRunning.CompareAndSwap(false, true) {
		p.dropWrites(plan.writes)
		return
	}
	defer p.roundRunning.Store(false)
	p.readRows(ctx, plan.reads)
	p.writeRows(ctx, plan.writes)
	p.applyLeaseChanges()
	p.wakeLoopIf(len(plan.reads) > 0)
}

// dropWrites tells the leases that planned writes are not sent. They would stay
// pending otherwise, and a lease plans no write while one is pending.
func (p *Peer) dropWrites(writes []rowWrite) {
	now := p.now()
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	for _, w := range writes {
		if l := p.leases[w.key]; l != nil {
			l.lease.HandleWrite(now, w.write, lease.NotApplied, 0)
		}
	}
}

// wakeLoop requests a round of the lease loop before the next interval.
func (p *Peer) wakeLoop() { p.wakeLoopIf(true) }

func (p *Peer) wakeLoopIf(wanted bool) {
	if !wanted {
		return
	}
	select {
	case p.wake <- struct{}{}:
		p.submit(p.leaseRound)
	default:
	}
}

// clearWake removes a request for a round, because that round runs now.
func (p *Peer) clearWake() {
	select {
	case <-p.wake:
	default:
	}
}

// readRows reads the rows of some leases and reports whether all reads
// succeeded.
func (p *Peer) readRows(ctx context.Context, keys []workerKey) bool {
	for len(keys) > 0 {
		n := min(len(keys), maxRowsPerCall)
		if !p.readRowBatch(ctx, keys[:n]) {
			return false
		}
		keys = keys[n:]
	}
	return true
}

func (p *Peer) readRowBatch(ctx context.Context, keys []workerKey) bool {
	ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
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
		p.handleRow(sent, k, rows[i])
	}
	return true
}

// handleRow passes a row to its lease. The caller holds leaseMu.
func (p *Peer) handleRow(sent time.Time, k workerKey, row store.Row) {
	l := p.leases[k]
	if l == nil {
		return
	}
	record, err := lease.DecodeRecord(row.Value)
	if err != nil {
		p.log.Error("cannot decode a slot lease", "row", row.Key, "err", err)
		return
	}
	l.lease.HandleRead(sent, p.now(), record, row.Version)
}

// writeRows writes rows in one commit. If a precondition fails, the rows are
// written one by one.
func (p *Peer) writeRows(ctx context.Context, writes []rowWrite) {
	for len(writes) > 0 {
		n := min(len(writes), maxRowsPerCall)
		if p.commitRows(ctx, writes[:n]) == lease.Conflict && n > 1 {
			for i := range n {
				p.commitRows(ctx, writes[i:i+1])
			}
		}
		writes = writes[n:]
	}
}

// commitRows writes some rows and reports the outcome to their leases. A
// conflict of several rows is not reported, because nothing was applied and the
// caller retries the rows one by one.
func (p *Peer) commitRows(ctx context.Context, writes []rowWrite) lease.Outcome {
	ctx, cancel := context.WithTimeout(ctx, p.settings.CallTimeout)
	defer cancel()
	ops := make([]store.Op, len(writes))
	for i, w := range writes {
		ops[i] = store.Op{Key: w.key.row(), IfVersion: w.write.IfVersion, Value: w.write.Value.Encode()}
	}
	result, err := p.table.Commit(ctx, ops)
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
			version = result.Versions[i]
			l.created = w.write.IfVersion == 0
		}
		l.lease.HandleWrite(now, w.write, outcome, version)
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		for _, row := range conflict.Current {
			p.handleRow(now, writes[0].key, row)
		}
	}
	return outcome
}
