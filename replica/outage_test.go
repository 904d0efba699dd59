package replica

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// fleetPeers implements Peers for a router of a large fleet in which gossip brings
// the newest contact with the store to all routers after a delay.
type fleetPeers struct {
	fleet  *testFleet
	leader bool
}

// testFleet is the state that the routers of a fleet share.
type testFleet struct {
	mu        sync.Mutex
	followers []*testFollower
	status    TableStatus // as of statusAt
	statusAt  time.Time
}

// gossipDelay is the time until a contact with the store is known to all routers;
// statusPeriod is the time between two changes of what they know.
const (
	gossipDelay  = 500 * time.Millisecond
	statusPeriod = 50 * time.Millisecond
)

func (p *fleetPeers) ReadsStore() bool               { return p.leader }
func (p *fleetPeers) ReadsForOthers() bool           { return true }
func (p *fleetPeers) AnyPeer() Source                { return nil }
func (p *fleetPeers) AnnounceChange()                {}
func (p *fleetPeers) StatusChanged() <-chan struct{} { return nil }

func (p *fleetPeers) RouterCount() int {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	return len(p.fleet.followers)
}

func (p *fleetPeers) TableStatus(string) TableStatus {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if time.Since(p.fleet.statusAt) < statusPeriod {
		return p.fleet.status
	}
	status := TableStatus{Age: time.Hour}
	for _, f := range p.fleet.followers {
		if p := f.Copy.Position(); status.Position.Before(p) {
			status.Position, status.Peer = p, peerCopy{f.Copy}
		}
		if contact := f.Copy.LastContact(); !contact.IsZero() {
			status.Age = min(status.Age, time.Since(contact)+gossipDelay)
		}
	}
	p.fleet.status, p.fleet.statusAt = status, time.Now()
	return status
}

// Guards against the calls of a whole fleet to a store that does not reply: its
// routers call it on behalf of each other, and learn of its return together.
func TestOutageInALargeFleet(t *testing.T) {
	const routers, leaders, outage = 400, 5, 8 * time.Second
	for _, test := range []struct {
		desc    string
		refuses bool
	}{{"does not reply", false}, {"refuses calls", true}} {
		inBubble(t, "400 routers make few calls to a store that "+test.desc+" for 8 s, and all have a change 2.5 s after its return", func(ctx context.Context) {
			s, fleet := newFakeStore(), &testFleet{}
			s.put("k", "old")
			fleet.mu.Lock()
			for i := range routers {
				fleet.followers = append(fleet.followers, startFollower(ctx, s, &fleetPeers{fleet, i < leaders}))
			}
			fleet.mu.Unlock()
			advanceTime(5 * time.Second)
			s.withLock(func() { s.unresponsive, s.refuses = true, test.refuses })
			before := s.callCount()
			advanceTime(outage)
			// The leaders call every 400 ms on average at the least, the others
			// one after another.
			limit := leaders*int(outage/(200*time.Millisecond)) + int(outage/callSpacing)
			So(s.callCount()-before, ShouldBeLessThanOrEqualTo, limit)
			s.withLock(func() { s.unresponsive, s.refuses = false, false })
			s.put("k", "new")
			advanceTime(2500 * time.Millisecond)
			synctest.Wait()
			fleet.mu.Lock()
			defer fleet.mu.Unlock()
			late := 0
			for _, f := range fleet.followers {
				if f.values["k"] != "new" {
					late++
				}
			}
			So(late, ShouldEqual, 0)
		})
	}
}

// Guards against a router that is cut off from the others of a large fleet and waits
// as if they still called the store too.
func TestLostPeersOfALargeFleet(t *testing.T) {
	inBubble(t, "A router whose 400 peers vanish has a change 2 s after it knows that it is alone", func(ctx context.Context) {
		s, peers := newFakeStore(), newFakePeers()
		peers.setStatus(TableStatus{Age: time.Hour})
		peers.setRouters(400)
		s.put("k", "old")
		f := startFollower(ctx, s, peers)
		advanceTime(time.Second)
		So(f.values["k"], ShouldEqual, "old")
		s.put("k", "new")
		advanceTime(3 * time.Second) // until the peers count as not live
		peers.setRouters(1)
		advanceTime(2 * time.Second)
		synctest.Wait()
		So(f.values["k"], ShouldEqual, "new")
	})
}
