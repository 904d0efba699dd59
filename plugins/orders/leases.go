package orders

import (
	"context"
	"time"

	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/store"
)

// rowPrefix is the key prefix of the lease rows; the name of the upstream
// follows.
const rowPrefix = "orders/"

// leaseRound reads and writes the rows of the order leases.
func (m *Manager) leaseRound(ctx context.Context) {
	done, ok := beginRound(ctx, m.leaseRoundSem)
	if !ok {
		return
	}
	defer done()
	m.syncUpstreams()
	m.readLeases(ctx)
	for _, w := range m.nextWrites() {
		m.commit(ctx, w)
	}
	m.updateFencingTokens()
	m.syncUpstreams()
}

// readLeases reads the rows of the leases that this router does not hold, and of
// those whose last write has an unknown outcome.
func (m *Manager) readLeases(ctx context.Context) {
	var keys []string
	var states []*upstreamState
	m.mu.Lock()
	for _, state := range m.upstreams {
		if state.lease.NeedsRead() || !state.lease.MayAct(m.now(), 0) {
			keys = append(keys, rowPrefix+state.name)
			states = append(states, state)
		}
	}
	m.mu.Unlock()
	if len(keys) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, m.settings.CallTimeout)
	defer cancel()
	sent := m.now()
	rows, err := m.table.Get(ctx, keys...)
	if err != nil || len(rows) != len(keys) {
		m.scope.Counter("row_reads_failed").Inc(1)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, state := range states {
		m.handleRow(state, sent, rows[i])
	}
}

// handleRow passes a row that was read to its lease. The caller holds mu.
func (m *Manager) handleRow(state *upstreamState, sent time.Time, row store.Row) {
	record, err := lease.DecodeFencedRecord(row.Value)
	if err != nil {
		m.log.Error("order lease row is malformed", "row", row.Key, "err", err)
		return
	}
	state.lease.HandleRead(sent, m.now(), record, row.Version)
}

// leaseWrite is a write of one lease.
type leaseWrite struct {
	state *upstreamState
	write lease.Write[lease.FencedRecord]
}

// nextWrites returns the lease writes of this round.
func (m *Manager) nextWrites() []leaseWrite {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []leaseWrite
	for _, state := range m.upstreams {
		if w, ok := m.nextWrite(state, m.now()); ok {
			all = append(all, leaseWrite{state, w})
		}
	}
	return all
}

// nextWrite returns the next write of one lease, if any. A lease is released
// only when no order is in flight, since the next holder may act at once. The
// caller holds mu.
func (m *Manager) nextWrite(state *upstreamState, now time.Time) (lease.Write[lease.FencedRecord], bool) {
	if w, ok := state.lease.Retry(); ok {
		return w, true
	}
	if !state.wantLease {
		if state.planner.InFlight() > 0 {
			return lease.Write[lease.FencedRecord]{}, false
		}
		return state.lease.Release(now)
	}
	if w, ok := state.lease.Acquire(now); ok {
		state.lastWrite = now
		return w, true
	}
	if now.Sub(state.lastWrite) < m.settings.Renew {
		return lease.Write[lease.FencedRecord]{}, false
	}
	w, ok := state.lease.Renew(now)
	if ok {
		state.lastWrite = now
	}
	return w, ok
}

func (m *Manager) commit(ctx context.Context, w leaseWrite) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.CallTimeout)
	defer cancel()
	key := rowPrefix + w.state.name
	result, err := m.table.Commit(ctx, []store.Op{{Key: key, IfVersion: w.write.IfVersion, Value: w.write.Value.Encode()}})
	outcome := lease.OutcomeOf(err)
	m.scope.Tagged(map[string]string{"outcome": outcome.String()}).Counter("row_writes").Inc(1)
	version := int64(0)
	if outcome == lease.Applied {
		version = result.Versions[0]
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	w.state.lease.HandleWrite(m.now(), w.write, outcome, version)
}

// updateFencingTokens passes the fencing tokens of the held leases to the
// planners.
func (m *Manager) updateFencingTokens() {
	m.mu.Lock()
	defer m.mu.Unlock()
	held := 0
	now := m.now()
	for _, state := range m.upstreams {
		token := uint64(0)
		if state.lease.MayAct(now, 0) {
			token = state.lease.Token()
			held++
		}
		if token == state.planner.FencingToken() {
			continue
		}
		if token != 0 {
			m.scope.Counter("leases_acquired").Inc(1)
			m.log.Info("order lease acquired", "upstream", state.name, "fencing_token", token)
		} else {
			m.scope.Counter("leases_lost").Inc(1)
			m.log.Info("order lease lost or released", "upstream", state.name, "fencing_token", state.planner.FencingToken())
		}
		state.planner.SetFencingToken(now, token)
	}
	m.scope.Gauge("leases_held").Update(float64(held))
}
