package gateway

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/unreadable"
	"github.com/auburnlead/auburnlead/routing"
)

// rateLimits records the limits that workers name in their answers and shares them
// with other routers, so that each router keeps to its part before it has got such an
// answer. It implements core.GossipExtension.
type rateLimits struct {
	g         *Gateway
	pace      sharePace
	changedAt atomic.Int64 // Unix time in ns at which a limit last changed here
}

func newRateLimits(g *Gateway, extensions core.ExtensionGossip) *rateLimits {
	l := &rateLimits{g: g}
	if extensions != nil {
		extensions.Extend(l)
	}
	return l
}

// record records the limit in an answer of a worker. One that cannot be read changes
// nothing.
func (l *rateLimits) record(w *routing.Worker, h core.ResponseHeader) {
	if slices.ContainsFunc(h.Unread, func(in unreadable.Input) bool { return in.Kind == unreadable.RateLimit }) {
		return
	}
	rate := float64(routing.NoRateLimit)
	if h.RateLimit != nil {
		rate = *h.RateLimit
		l.recordRouters()
	}
	if l.g.fleet.RecordRateLimit(w, rate, time.Now()) {
		l.logChange(w, rate, "answer")
	}
}

// recordRouters tells the fleet how many routers share the limits. Load reports tell
// it too, but not all workers report their load.
func (l *rateLimits) recordRouters() {
	if l.g.loads != nil {
		l.g.fleet.RecordRouters(l.g.loads.RouterCount())
	}
}

func (l *rateLimits) logChange(w *routing.Worker, rate float64, source string) {
	l.changedAt.Store(time.Now().UnixNano())
	l.g.decisions.logChange("worker limit changed", "worker", w.ID, "upstream", w.Upstream, "per_second", rate, "source", source)
}

// Units of an encoded limit: milliRate of requests per second, and the age.
const (
	milliRate    = 1000
	limitAgeUnit = 20 * time.Millisecond
	maxLimitAge  = uint64(time.Hour / limitAgeUnit)
	// limitBytes is the largest size of an entry: worker, report, rate and age.
	limitBytes = 4 + 2 + 2*binary.MaxVarintLen64
)

var errMalformedLimits = errors.New("gateway: malformed limits of workers; check that all routers run the same version")

// Type implements core.GossipExtension.
func (l *rateLimits) Type() byte { return gossip.ExtensionRateLimits }

// Encode implements core.GossipExtension. If not all limits fit, a random selection is
// sent.
func (l *rateLimits) Encode(now time.Time, limit int, starting bool) []byte {
	if !l.pace.isDue(now, time.Unix(0, l.changedAt.Load()), starting) {
		return nil
	}
	var b []byte
	for _, r := range l.g.fleet.RateLimits(now) {
		if len(b)+limitBytes > limit {
			break
		}
		rate := uint64(0) // for no limit
		if r.PerSecond >= 0 {
			rate = 1 + uint64(math.Round(r.PerSecond*milliRate))
		}
		b = binary.BigEndian.AppendUint32(b, r.WorkerHash)
		b = binary.BigEndian.AppendUint16(b, r.ReportID)
		b = binary.AppendUvarint(b, rate)
		b = binary.AppendUvarint(b, min(uint64(max(now.Sub(r.At), 0)/limitAgeUnit), maxLimitAge))
	}
	return b
}

// Merge implements core.GossipExtension.
func (l *rateLimits) Merge(now time.Time, payload []byte) error {
	list, err := decodeRateLimits(now, payload)
	if err != nil {
		return err
	}
	l.recordRouters()
	for _, w := range l.g.fleet.RecordSharedRateLimits(list, now) {
		l.logChange(w, l.g.fleet.WorkerRateLimit(w), "router")
	}
	return nil
}

func decodeRateLimits(now time.Time, b []byte) ([]routing.RateLimit, error) {
	const fixedBytes = 4 + 2
	var list []routing.RateLimit
	for len(b) > 0 {
		if len(b) < fixedBytes {
			return nil, errMalformedLimits
		}
		r := routing.RateLimit{WorkerHash: binary.BigEndian.Uint32(b), ReportID: binary.BigEndian.Uint16(b[4:]), PerSecond: routing.NoRateLimit}
		rate, n := binary.Uvarint(b[fixedBytes:])
		if n <= 0 {
			return nil, errMalformedLimits
		}
		b = b[fixedBytes+n:]
		age, n := binary.Uvarint(b)
		if n <= 0 || age > maxLimitAge {
			return nil, errMalformedLimits
		}
		b = b[n:]
		if rate > 0 {
			r.PerSecond = float64(rate-1) / milliRate
		}
		r.At = now.Add(-time.Duration(age) * limitAgeUnit)
		list = append(list, r)
	}
	return list, nil
}

var _ core.GossipExtension = (*rateLimits)(nil)
