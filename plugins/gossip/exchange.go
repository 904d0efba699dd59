package gossip

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"time"

	lib "github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/unreadable"
	"github.com/auburnlead/auburnlead/replica"
	"github.com/auburnlead/auburnlead/routing"
)

// run sends a round of messages at once and after each period, which varies by up to
// a quarter of Settings.Period, until ctx ends.
func (g *Gossip) run(ctx context.Context) {
	for {
		g.round(sameDomainTargets, otherDomainTargets)
		period := g.settings.Period
		timer := time.NewTimer(period*3/4 + rand.N(period/2))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// round sends a message to at most the given numbers of routers in this router's
// failure domain and in others, and once per seedPeriod to a seed.
func (g *Gossip) round(sameDomain, otherDomains int) {
	now := time.Now()
	g.mu.Lock()
	g.updateTables()
	targets := g.view.Targets(now, sameDomain, otherDomains)
	if now.Sub(g.lastSeedMessage) > seedPeriod {
		g.lastSeedMessage = now
		if seed, ok := g.view.PickSeed(); ok {
			targets = append(targets, seed)
		}
	}
	messages := append(g.extensionMessages(now, false), g.view.Message(now))
	routers := g.view.RouterCount(now)
	g.updateRole(now, routers)
	g.mu.Unlock()
	g.routers.Update(float64(routers))
	for _, message := range messages {
		g.send(message, targets...)
	}
}

// updateTables records the positions of this router's copies in the view. The
// caller holds mu.
func (g *Gossip) updateTables() {
	for i, name := range g.tableNames {
		c := g.tables.Copy(name)
		p := c.Position()
		g.view.SetTable(i, lib.Position{Era: uint64(p.Era), Version: uint64(p.Version)}, c.LastContact())
	}
}

// updateRole updates readsStore and logs when this router starts or stops
// reading the store. The caller holds mu.
func (g *Gossip) updateRole(now time.Time, routers int) {
	readsStore := g.readsStoreAt(now)
	if readsStore != g.readsStore {
		g.readsStore = readsStore
		g.log.Info("reading of the store changed", "reads", readsStore, "routers", routers)
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

// receive handles messages until the connection is closed.
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
		sender := unmapped(udp.AddrPort())
		g.unreadable.Isolate(sender.String(), unreadable.RouterMessage, buffer[:n], func() { g.merge(sender, buffer[:n]) })
	}
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// merge merges a message into the view, replies to a sender that was not known,
// sends a round of messages if a table has changed, and passes new loads to the
// subscriber.
func (g *Gossip) merge(from netip.AddrPort, message []byte) {
	update, replies, err := g.mergeIntoView(from, message)
	g.received.Inc(1)
	if err != nil {
		g.refused.Inc(1)
	}
	if err == nil {
		update.Unread = cmp.Or(update.Unread, g.mergeExtensions(update.Extensions))
	}
	if reason := cmp.Or(err, update.Unread); reason != nil {
		g.unreadable.Report(from.String(), unreadable.Input{Kind: unreadable.RouterMessage, Text: string(message), Reason: reason})
	}
	if err != nil {
		return
	}
	for _, reply := range replies {
		g.send(reply, from)
	}
	if update.TablesChanged {
		g.round(urgentFactor*sameDomainTargets, urgentFactor*otherDomainTargets)
	}
	if len(update.Loads) == 0 {
		return
	}
	if onLoads := g.loadSubscriber(); onLoads != nil {
		onLoads(routingLoads(update.Loads))
	}
}

// mergeIntoView merges a message into the view. There are replies only to a sender that
// was not known or has just started.
func (g *Gossip) mergeIntoView(from netip.AddrPort, message []byte) (update lib.Update, replies [][]byte, err error) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	update, err = g.view.Merge(now, from, message)
	if update.TablesChanged {
		close(g.tablesChanged)
		g.tablesChanged = make(chan struct{})
	}
	if update.NeedsReply {
		g.updateTables()
		replies = append(g.extensionMessages(now, true), g.view.Message(now))
	}
	return update, replies, err
}

func (g *Gossip) loadSubscriber() func([]routing.Load) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.onLoads
}

func routingLoads(list []lib.Load) []routing.Load {
	out := make([]routing.Load, len(list))
	for i, l := range list {
		out[i] = routing.Load{WorkerHash: l.WorkerHash, InFlight: l.InFlight, At: l.At}
	}
	return out
}

// announceLeaving tells some routers that this one is shutting down.
func (g *Gossip) announceLeaving() {
	g.mu.Lock()
	g.view.Leave()
	g.mu.Unlock()
	g.round(urgentFactor*sameDomainTargets, urgentFactor*otherDomainTargets)
}

// ReportLoad implements core.LoadGossip.
func (g *Gossip) ReportLoad(worker uint32, inFlight int, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.view.SetLoad(worker, inFlight, at)
}

// PushLoads implements core.LoadGossip. Loads that are pushed within pushInterval share
// a message.
func (g *Gossip) PushLoads(workers []uint32) {
	g.mu.Lock()
	defer g.mu.Unlock()
	scheduled := len(g.pendingLoads) > 0
	for _, w := range workers {
		if !slices.Contains(g.pendingLoads, w) {
			g.pendingLoads = append(g.pendingLoads, w)
		}
	}
	if !scheduled {
		time.AfterFunc(max(pushInterval-time.Since(g.lastPush), 0), g.sendPendingLoads)
	}
}

// sendPendingLoads sends the loads of PushLoads.
func (g *Gossip) sendPendingLoads() {
	now := time.Now()
	g.mu.Lock()
	message := g.view.LoadMessage(now, g.pendingLoads)
	targets := g.view.Targets(now, sameDomainTargets, otherDomainTargets)
	g.pendingLoads, g.lastPush = nil, now
	g.mu.Unlock()
	g.pushed.Inc(1)
	g.send(message, targets...)
}

// RouterCount implements core.LoadGossip and replica.Peers.
func (g *Gossip) RouterCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.RouterCount(time.Now())
}

// SubscribeLoads implements core.LoadGossip.
func (g *Gossip) SubscribeLoads(fn func([]routing.Load)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.onLoads = fn
}

// ReadsStore implements replica.Peers.
func (g *Gossip) ReadsStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.readsStoreAt(time.Now())
}

// readsStoreAt reports whether this router reads the store: in a small fleet
// all routers do, in a large one the domain leaders. The caller holds mu.
func (g *Gossip) readsStoreAt(now time.Time) bool {
	if now.Sub(g.startedAt) < g.settings.StartupDelay {
		return false
	}
	return g.view.RouterCount(now) < g.settings.LargeFleet || g.view.IsDomainLeader(now)
}

// ReadsForOthers implements replica.Peers.
func (g *Gossip) ReadsForOthers() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.view.RouterCount(time.Now()) >= g.settings.LargeFleet
}

// TableStatus implements replica.Peers.
func (g *Gossip) TableStatus(table string) replica.TableStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, name := range g.tableNames {
		if name == table {
			known := g.view.TableStatus(time.Now(), i)
			status := replica.TableStatus{Position: replica.Position{Era: int64(known.Position.Era), Version: int64(known.Position.Version)}, Age: known.Age}
			if known.Peer.IsValid() {
				status.Peer = g.peerClient.source(known.Peer)
			}
			return status
		}
	}
	return replica.NoPeers{}.TableStatus(table)
}

// AnyPeer implements replica.Peers.
func (g *Gossip) AnyPeer() replica.Source {
	g.mu.Lock()
	defer g.mu.Unlock()
	address, ok := g.view.AnyPeer(time.Now())
	if !ok {
		return nil
	}
	return g.peerClient.source(address)
}

// StatusChanged implements replica.Peers.
func (g *Gossip) StatusChanged() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tablesChanged
}

// AnnounceChange implements replica.Peers: it sends a round of messages at
// once.
func (g *Gossip) AnnounceChange() {
	g.round(urgentFactor*sameDomainTargets, urgentFactor*otherDomainTargets)
}

var (
	_ replica.Peers        = (*Gossip)(nil)
	_ core.LoadGossip      = (*Gossip)(nil)
	_ core.ExtensionGossip = (*Gossip)(nil)
)
