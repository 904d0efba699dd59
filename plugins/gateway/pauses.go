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

// pauseUnit is the unit of the rest of a pause in a message. It is rounded down, so that
// a pause does not grow while it is passed on.
const pauseUnit = 20 * time.Millisecond

// pauseBytes is the largest size of an entry: the worker and the rest of its pause.
const pauseBytes = 4 + binary.MaxVarintLen64

// maxPauseUnits is the largest rest of a pause that is read.
const maxPauseUnits = uint64(time.Hour / pauseUnit)

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
		p.g.decisions.logChange("pauses of workers heard of", "workers", news)
	}
	return nil
}

func decodePauses(now time.Time, b []byte) ([]routing.Pause, error) {
	const hashBytes = 4
	var list []routing.Pause
	for len(b) > 0 {
		if len(b) < hashBytes {
			return nil, errMalformedPauses
		}
		hash := binary.BigEndian.Uint32(b)
		rest, n := binary.Uvarint(b[hashBytes:])
		if n <= 0 || rest > maxPauseUnits {
			return nil, errMalformedPauses
		}
		b = b[hashBytes+n:]
		list = append(list, routing.Pause{WorkerHash: hash, Until: now.Add(time.Duration(rest) * pauseUnit)})
	}
	return list, nil
}

var _ core.GossipExtension = (*sharedPauses)(nil)
