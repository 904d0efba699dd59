package gateway

import (
	"encoding/binary"
	"errors"
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// sharedPauses tells other routers of the pauses that workers asked this one for, so
// that not each of them has to be refused first. It implements core.GossipExtension.
type sharedPauses struct {
	g         *Gateway
	gossip    core.ExtensionGossip // nil if routers do not tell each other
	pace      sharePace
	changedAt atomic.Int64 // Unix time in ns at which a pause last became known here
}

func newSharedPauses(g *Gateway, extensions core.ExtensionGossip) *sharedPauses {
	p := &sharedPauses{g: g, gossip: extensions}
	if extensions != nil {
		extensions.Extend(p)
	}
	return p
}

// push tells some routers at once of a pause that has begun.
func (p *sharedPauses) push() {
	p.changedAt.Store(time.Now().UnixNano())
	if p.gossip != nil {
		p.gossip.PushExtensions()
	}
}

// Encoding of a pause.
const (
	pauseUnit = 20 * time.Millisecond // unit of the remaining time
	// maxPauseUnits is the longest remaining time that is read.
	maxPauseUnits = uint64(time.Hour / pauseUnit)
	// pauseFixedBytes is the size of the worker and the hops, pauseBytes the largest size
	// of an entry.
	pauseFixedBytes = 4 + 1
	pauseBytes      = pauseFixedBytes + binary.MaxVarintLen64
)

var errMalformedPauses = errors.New("gateway: malformed pauses of workers; check that all routers run the same version")

// Type implements core.GossipExtension.
func (p *sharedPauses) Type() byte { return gossip.ExtensionPauses }

// Encode implements core.GossipExtension. If not all pauses fit, a random selection is
// sent.
func (p *sharedPauses) Encode(now time.Time, limit int, starting bool) []byte {
	if !p.pace.isDue(now, time.Unix(0, p.changedAt.Load()), starting) {
		return nil
	}
	var b []byte
	for _, pause := range p.g.fleet.Pauses(now) {
		if len(b)+pauseBytes > limit {
			break
		}
		b = binary.BigEndian.AppendUint32(b, pause.WorkerHash)
		b = append(b, byte(pause.Hops))
		b = binary.AppendUvarint(b, uint64(pause.Until.Sub(now)/pauseUnit))
	}
	return b
}

// Merge implements core.GossipExtension.
func (p *sharedPauses) Merge(now time.Time, payload []byte) error {
	list, err := decodePauses(now, payload)
	if err != nil {
		return err
	}
	if news := p.g.fleet.RecordSharedPauses(list, now); news > 0 {
		p.changedAt.Store(now.UnixNano())
		p.g.decisions.logChange("pauses learned from a router", "workers", news)
	}
	return nil
}

func decodePauses(now time.Time, b []byte) ([]routing.Pause, error) {
	var list []routing.Pause
	for len(b) > 0 {
		if len(b) < pauseFixedBytes {
			return nil, errMalformedPauses
		}
		remaining, n := binary.Uvarint(b[pauseFixedBytes:])
		if n <= 0 || remaining > maxPauseUnits {
			return nil, errMalformedPauses
		}
		list = append(list, routing.Pause{WorkerHash: binary.BigEndian.Uint32(b), Hops: int(b[pauseFixedBytes-1]), Until: now.Add(time.Duration(remaining) * pauseUnit)})
		b = b[pauseFixedBytes+n:]
	}
	return list, nil
}

var _ core.GossipExtension = (*sharedPauses)(nil)
