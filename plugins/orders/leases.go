package orders

import (
	"context"
	"time"

	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/store"
)

// rowPrefix precedes the name of the upstream in the key of its lease.
const rowPrefix = "orders/"

// leaseTurn reads and writes the rows of the order leases.
func (m *Manager) leaseTurn(ctx context.Context) {
	done, ok := holdTurn(ctx, m.leasing)
	if !ok {
		return
	}
	defer done()
	m.sync()
	m.read(ctx)
	for _, w := range m.writes() {
		m.commit(ctx, w)
	}
	m.lead()
	m.sync()
}

// read reads the rows that this router does not hold or is not sure about.
func (m *Manager) read(ctx context.Context) {
	var keys []string
	var parts []*part
	m.mu.Lock()
	for _, p := range m.parts {
		if p.lease.NeedsRead() || !p.lease.MayAct(m.now(), 0) {
			keys = append(keys, rowPrefix+p.upstream)
			parts = append(parts, p)
		}
	}
	m.mu.Unlock()
	if len(keys) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.s.CallTimeout)
	defer cancel()
	sent := m.now()
	rows, err := m.table.Get(ctx, keys...)
	if err != nil || len(rows) != len(keys) {
		m.scope.Counter("row_reads_failed").Inc(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, p := range parts {
		m.rowRead(p, sent, rows[i])
	}
}

// rowRead passes a row to its lease. The caller holds mu.
func (m *Manager) rowRead(p *part, sent time.Time, row store.Row) {
	record, err := lease.DecodeFencedRecord(row.Value)
	if err != nil {
		m.log.Error("order lease not readable", "row", row.Key, "err", err)
		return
	}
	p.lease.HandleRead(sent, m.now(), record, row.Version)
}

// rowWrite is a write of one lease.
type rowWrite struct {
	part  *part
	write lease.Write[lease.FencedRecord]
}

// writes decides the writes of this turn.
func (m *Manager) writes() []rowWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []rowWrite
	for _, p := range m.parts {
		if w, ok := m.write(p, m.now()); ok {
			all = append(all, rowWrite{p, w})
		}
	}
	return all
}

// write decides the write of one lease. A lease is released only when no order
// is in flight, since the next holder may act at once. The caller holds mu.
func (m *Manager) write(p *part, now time.Time) (lease.Write[lease.FencedRecord], bool) {
	if w, ok := p.lease.Retry(); ok {
		return w, true
	}
	if !p.wanted {
		if p.plan.InFlight() > 0 {
			return lease.Write[lease.FencedRecord]{}, false
		}
		return p.lease.Release(now)
	}
	if w, ok := p.lease.Acquire(now); ok {
		p.renewed = now
		return w, true
	}
	if now.Sub(p.renewed) < m.s.Renew {
		return lease.Write[lease.FencedRecord]{}, false
	}
	w, ok := p.lease.Renew(now)
	if ok {
		p.renewed = now
	}
	return w, ok
}

func (m *Manager) commit(ctx context.Context, w rowWrite) {
	ctx, cancel := context.WithTimeout(ctx, m.s.CallTimeout)
	defer cancel()
	key := rowPrefix + w.part.upstream
	done, err := m.table.Commit(ctx, []store.Op{{Key: key, IfVersion: w.write.IfVersion, Value: w.write.Value.Encode()}})
	outcome := lease.OutcomeOf(err)
	m.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("row_writes").Inc(1)
	version := int64(0)
	if outcome == lease.Applied {
		version = done.Versions[0]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	w.part.lease.HandleWrite(m.now(), w.write, outcome, version)
}

// lead tells the plans under which token they decide.
func (m *Manager) lead() {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := 0
	now := m.now()
	for _, p := range m.parts {
		token := uint64(0)
		if p.lease.MayAct(now, 0) {
			token = p.lease.Token()
			held++
		}
		if token == p.plan.FencingToken() {
			continue
		}
		if token != 0 {
			m.scope.Counter("leases_acquired").Inc(1)
			m.log.Info("order lease acquired", "upstream", p.upstream, "fencing_token", token)
		} else {
			m.scope.Counter("leases_lost").Inc(1)
			m.log.Info("order lease lost or released", "upstream", p.upstream, "fencing_token", p.plan.FencingToken())
		}
		p.plan.SetFencingToken(now, token)
	}
	m.scope.Gauge("leases_held").Update(float64(held))
}
