package peer

import "github.com/auburnlead/auburnlead/internal/core"

// WantsLoad implements core.LoadFilter. Only the holder needs a worker's load
// reports, and polls by all routers of a failure domain would exceed the budget
// for control traffic.
func (p *Peer) WantsLoad(upstream, worker string) bool {
	p.leaseMu.Lock()
	defer p.leaseMu.Unlock()
	l := p.leases[workerKey{upstream, worker}]
	return l != nil && l.held
}

var _ core.LoadFilter = (*Peer)(nil)
