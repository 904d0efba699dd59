package gateway

import (
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// coldWorkers logs which workers are cold, records what they say of it, and shares that
// and the number of routers, which the permits for cold workers are divided among. It
// implements core.GossipExtension.
type coldWorkers struct {
	g         *Gateway
	pace      sharePace
	changedAt atomic.Int64 // Unix time in ns at which a worker last became cold here
	count     tally.Gauge

	gossip core.ExtensionGossip // nil if routers do not tell each other

	mu       sync.Mutex // lock level 55, see internal/core/lockorder.go
	timer    *time.Timer
	pushedAt time.Time
}

// coldPushInterval is the least time between two messages that are sent ahead of the
// rounds because a worker said that it is cold.
const coldPushInterval = 250 * time.Millisecond

func newColdWorkers(g *Gateway, extensions core.ExtensionGossip) *coldWorkers {
	c := &coldWorkers{g: g, gossip: extensions, count: g.scope.SubScope(componentName).Gauge("cold_workers")}
	if extensions == nil {
		// Routers that do not tell each other have the number of routers from the settings.
		g.fleet.RecordFleetSize(1, routing.FleetSize{Routers: g.settings.Routers}, time.Now())
		return c
	}
	extensions.Extend(c)
	return c
}

// record records that a worker says in a response that it is cold, and tells other routers
// at once, since they send to it until they know.
func (c *coldWorkers) record(w *routing.Worker, h core.ResponseHeader) {
	if h.ColdLeft <= 0 || !c.g.fleet.RecordCold(w, h.ColdLeft, time.Now()) {
		return
	}
	c.update()
	if c.gossip != nil && c.mayPush(time.Now()) {
		c.gossip.PushExtensions()
	}
}

// mayPush reports whether a message may be sent ahead of the rounds, and if so counts it
// as sent.
func (c *coldWorkers) mayPush(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.pushedAt) < coldPushInterval {
		return false
	}
	c.pushedAt = now
	return true
}

// update logs the workers that have become cold or warm, and calls itself again when the
// next one may be warm.
func (c *coldWorkers) update() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	changes, cold, next := c.g.fleet.ColdState(now)
	for _, change := range changes {
		if change.Cold {
			c.changedAt.Store(now.UnixNano())
			c.g.decisions.logChange("worker is cold", "worker", change.Worker, "upstream", change.Upstream, "left_ms", change.Left.Milliseconds())
		} else {
			c.g.decisions.logChange("worker is warm", "worker", change.Worker, "upstream", change.Upstream, "took_ms", change.Took.Milliseconds())
		}
	}
	c.count.Update(float64(cold))
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	if cold > 0 {
		c.timer = time.AfterFunc(next, c.update)
	}
}

// Encoding: the number of routers, 0 if not known, its age, and the cold workers with the
// time left.
const (
	sizeAgeUnit  = time.Second
	coldLeftUnit = 20 * time.Millisecond
	// coldHashBytes and coldEntryBytes are the sizes of a worker's hash and, at most, of
	// its entry.
	coldHashBytes  = 4
	coldEntryBytes = coldHashBytes + binary.MaxVarintLen64
	maxToldRouters = 1 << 20
	maxSizeAge     = uint64(30 * 24 * time.Hour / sizeAgeUnit)
	maxColdUnits   = uint64(time.Hour / coldLeftUnit)
)

var errMalformedFleetSize = errors.New("gateway: malformed number of routers or cold workers; check that all routers run the same version")

// Type implements core.GossipExtension.
func (c *coldWorkers) Type() byte { return gossip.ExtensionFleetSize }

// Encode implements core.GossipExtension. Nothing is sent while no upstream states a cold
// rate. If not all cold workers fit, a random selection is sent.
func (c *coldWorkers) Encode(now time.Time, limit int, starting bool) []byte {
	size, due := c.g.fleet.SharedFleetSize(now)
	if !due || !c.pace.isDue(now, time.Unix(0, c.changedAt.Load()), starting) {
		return nil
	}
	b := binary.AppendUvarint(nil, uint64(min(size.Routers, maxToldRouters)))
	// The age is rounded up, so that a number which goes round does not get younger.
	b = binary.AppendUvarint(b, min(uint64((size.Age+sizeAgeUnit-1)/sizeAgeUnit), maxSizeAge))
	for _, w := range c.g.fleet.ColdWorkers(now) {
		if len(b)+coldEntryBytes > limit {
			break
		}
		b = binary.BigEndian.AppendUint32(b, w.WorkerHash)
		b = binary.AppendUvarint(b, min(uint64(w.Until.Sub(now)/coldLeftUnit), maxColdUnits))
	}
	return b
}

// Merge implements core.GossipExtension.
func (c *coldWorkers) Merge(now time.Time, payload []byte) error {
	size, cold, err := decodeFleetSize(now, payload)
	if err != nil {
		return err
	}
	routers := 1
	if c.g.loads != nil {
		routers = c.g.loads.RouterCount()
	}
	c.g.fleet.RecordFleetSize(routers, size, now)
	if c.g.fleet.RecordSharedCold(cold, now) > 0 {
		c.update()
	}
	return nil
}

func decodeFleetSize(now time.Time, b []byte) (size routing.FleetSize, cold []routing.Cold, err error) {
	routers, n := binary.Uvarint(b)
	if n <= 0 || routers > maxToldRouters {
		return size, nil, errMalformedFleetSize
	}
	b = b[n:]
	age, n := binary.Uvarint(b)
	if n <= 0 || age > maxSizeAge {
		return size, nil, errMalformedFleetSize
	}
	b = b[n:]
	for len(b) > 0 {
		if len(b) < coldHashBytes {
			return size, nil, errMalformedFleetSize
		}
		left, n := binary.Uvarint(b[coldHashBytes:])
		if n <= 0 || left > maxColdUnits {
			return size, nil, errMalformedFleetSize
		}
		cold = append(cold, routing.Cold{WorkerHash: binary.BigEndian.Uint32(b), Until: now.Add(time.Duration(left) * coldLeftUnit)})
		b = b[coldHashBytes+n:]
	}
	return routing.FleetSize{Routers: int(routers), Age: time.Duration(age) * sizeAgeUnit}, cold, nil
}

var _ core.GossipExtension = (*coldWorkers)(nil)
