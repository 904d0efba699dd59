package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	lib "github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/replica"
	"github.com/auburnlead/auburnlead/routing"
)

// run sends messages until ctx ends.
func (g *Gossip) run(ctx context.Context) {
	for {
		period := g.settings.Period
		timer := time.NewTimer(period*3/4 + rand.N(period/2))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		g.round(nearTargets, farTargets)
	}
}

// round sends one message to some routers.
func (g *Gossip) round(near, far int) {
	now := time.Now()
	g.mu.Lock()
	g.noteTables()
	targets := g.view.Targets(now, near, far)
	if now.Sub(g.seeded) > seedPeriod {
		g.seeded = now
		if seed, ok := g.view.PickSeed(); ok {
			targets = append(targets, seed)
		}
	}
	message := g.view.Message(now)
	routers := g.view.RouterCount(now)
	g.noteRole(now, routers)
	g.mu.Unlock()
	g.routers.Update(float64(routers))
	g.send(message, targets...)
}

// noteTables tells the view of this router's copies. The caller holds mu.
func (g *Gossip) noteTables() {
	for i, name := range g.names {
		c := g.tables.Copy(name)
		g.view.SetTable(i, uint64(c.Version()), c.LastContact())
	}
}

// noteRole logs when this router begins or ends to read the store for others.
// The caller holds mu.
func (g *Gossip) noteRole(now time.Time, routers int) {
	reads := g.readsAt(now)
	if reads != g.reads {
		g.reads = reads
		g.log.Info("reading of the store changed", "reads", reads, "routers", routers)
	}
}

func (g *Gossip) send(message []byte, targets ...netip.AddrPort) {
	for _, t := range targets {
		if _, err := g.conn.WriteTo(message, net.UDPAddrFromAddrPort(t)); err != nil && !errors.Is(err, net.ErrClosed) {
			g.log.Debug("message not sent", "to", t, "error", err)
		}
		g.sent.Inc(1)
	}
}

// receive takes messages until the connection is closed.
func (g *Gossip) receive() {
	buffer := make([]byte, 2*lib.MessageBytes)
	for {
		n, from, err := g.conn.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.log.Debug("message not received", "error", err)
			continue
		}
		udp, ok := from.(*net.UDPAddr)
		if !ok {
			continue
		}
		g.merge(unmapped(udp.AddrPort()), buffer[:n])
	}
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (g *Gossip) merge(from netip.AddrPort, message []byte) {
	now := time.Now()
	g.mu.Lock()
	update, err := g.view.Merge(now, from, message)
	loads := g.loads
	if update.TablesChanged {
		close(g.changed)
		g.changed = make(chan struct{})
	}
	var reply []byte
	if update.NeedsReply {
		g.noteTables()
		reply = g.view.Message(now)
	}
	g.mu.Unlock()
	g.received.Inc(1)
	if err != nil {
		g.refused.Inc(1)
		g.log.Warn("message refused", "from", from, "error", err)
		return
	}
	if reply != nil {
		g.send(reply, from)
	}
	if update.TablesChanged {
		g.round(urgentFactor*nearTargets, urgentFactor*farTargets)
	}
	if loads != nil && len(update.Loads) > 0 {
		loads(shared(update.Loads))
	}
}

func shared(list []lib.Load) []routing.Load {
	out := make([]routing.Load, len(list))
	for i, l := range list {
		out[i] = routing.Load{WorkerHash: l.WorkerHash, InFlight: l.InFlight, At: l.At}
	}
	return out
}

// leave tells some routers that this one stops.
func (g *Gossip) leave() {
	g.mu.Lock()
	g.view.Leave()
	g.mu.Unlock()
	g.round(urgentFactor*nearTargets, urgentFactor*farTargets)
}

// ReportLoad implements core.LoadGossip.
func (g *Gossip) ReportLoad(worker uint32, busy int, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetLoad(worker, busy, at)
}

// RouterCount implements core.LoadGossip.
func (g *Gossip) RouterCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.RouterCount(time.Now())
}

// SubscribeLoads implements core.LoadGossip.
func (g *Gossip) SubscribeLoads(fn func([]routing.Load)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loads = fn
}

// ReadsStore implements replica.Guide.
func (g *Gossip) ReadsStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readsAt(time.Now())
}

// readsAt reports whether this router reads the store: in a small fleet all
// do, in a large one the first of each failure domain. The caller holds mu.
func (g *Gossip) readsAt(now time.Time) bool {
	if now.Sub(g.started) < g.settings.Settle {
		return false
	}
	return g.view.RouterCount(now) < g.settings.Large || g.view.IsDomainLeader(now)
}

// ReadsForOthers implements replica.Guide.
func (g *Gossip) ReadsForOthers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.RouterCount(time.Now()) >= g.settings.Large
}

// TableStatus implements replica.Guide.
func (g *Gossip) TableStatus(table string) replica.TableStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, name := range g.names {
		if name == table {
			n := g.view.TableStatus(time.Now(), i)
			news := replica.TableStatus{Version: int64(n.Version), Age: n.Age}
			if n.Peer.IsValid() {
				news.Peer = g.peers.source(n.Peer)
			}
			return news
		}
	}
	return replica.NoPeers{}.TableStatus(table)
}

// StatusChanged implements replica.Guide.
func (g *Gossip) StatusChanged() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

// AnnounceChange implements replica.Guide: it tells others of a change at once.
func (g *Gossip) AnnounceChange() { g.round(urgentFactor*nearTargets, urgentFactor*farTargets) }

var (
	_ replica.Peers   = (*Gossip)(nil)
	_ core.LoadGossip = (*Gossip)(nil)
)
