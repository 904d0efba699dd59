package gateway

import (
	"encoding/binary"
	"errors"
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// speeds records how fast workers work and shares samples of those that differ with other
// routers. It implements core.GossipExtension.
type speeds struct {
	g    *Gateway
	slow tally.Gauge

	mu     sync.Mutex // lock level 90, see internal/core/lockorder.go
	sentAt time.Time
}

func newSpeeds(g *Gateway, extensions core.ExtensionGossip) *speeds {
	s := &speeds{g: g, slow: g.scope.SubScope(componentName).Gauge("slow_workers")}
	if extensions != nil {
		extensions.Extend(s)
	}
	return s
}

// recordFirstByte records the time to the first byte of a response.
func (s *speeds) recordFirstByte(c routing.Choice, took time.Duration) {
	s.g.fleet.RecordFirstByte(c, took)
	s.logChanges()
}

func (s *speeds) logChanges() {
	changes := s.g.fleet.SpeedChanges()
	for _, c := range changes {
		message := "worker is slow"
		if c.Slowness <= 1 {
			message = "worker is no longer slow"
		}
		s.g.decisions.logChange(message, "worker", c.Worker.ID, "upstream", c.Worker.Upstream, "slowness", math.Round(c.Slowness*100)/100, "samples", c.Samples)
	}
	if len(changes) > 0 {
		s.slow.Update(float64(s.g.fleet.SlowWorkers()))
	}
}

// Encoding of the samples of a worker: its hash, their number, and for each its ID, its
// figure and its age.
const (
	speedSteps       = 48 // steps of a figure for each unit of its natural logarithm
	speedAgeUnit     = 20 * time.Millisecond
	speedHeadBytes   = 4 + 1
	speedSampleBytes = 2 + 1 + 1
	// minSpeedPeriod is the least time between two messages: a round of gossip, less the
	// delays of a busy router.
	minSpeedPeriod = 225 * time.Millisecond
)

var errMalformedSpeeds = errors.New("gateway: malformed speeds of workers; check that all routers run the same version")

// Type implements core.GossipExtension.
func (s *speeds) Type() byte { return gossip.ExtensionSpeeds }

// isDue reports whether a message is due, and if so counts it as sent.
func (s *speeds) isDue(now time.Time, starting bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !starting && now.Sub(s.sentAt) < minSpeedPeriod {
		return false
	}
	s.sentAt = now
	return true
}

// Encode implements core.GossipExtension. If not all workers that differ fit, a random
// selection is sent.
func (s *speeds) Encode(now time.Time, limit int, starting bool) []byte {
	if !s.isDue(now, starting) {
		return nil
	}
	var b []byte
	for _, w := range s.g.fleet.SharedSpeeds(now) {
		if len(b)+speedHeadBytes+len(w.Samples)*speedSampleBytes > limit {
			break
		}
		b = binary.BigEndian.AppendUint32(b, w.WorkerHash)
		b = append(b, byte(len(w.Samples)))
		for _, sample := range w.Samples {
			b = binary.BigEndian.AppendUint16(b, sample.ID)
			figure := min(max(math.Round(math.Log(sample.Times)*speedSteps), math.MinInt8), math.MaxInt8)
			age := min(max(now.Sub(sample.At), 0)/speedAgeUnit, math.MaxUint8)
			b = append(b, byte(int8(figure)), byte(age))
		}
	}
	return b
}

// Merge implements core.GossipExtension.
func (s *speeds) Merge(now time.Time, payload []byte) error {
	list, err := decodeSpeeds(now, payload)
	if err != nil {
		return err
	}
	s.g.fleet.RecordSharedSpeeds(list, now)
	s.logChanges()
	return nil
}

func decodeSpeeds(now time.Time, b []byte) ([]routing.SpeedSamples, error) {
	var list []routing.SpeedSamples
	for len(b) > 0 {
		if len(b) < speedHeadBytes || len(b) < speedHeadBytes+int(b[speedHeadBytes-1])*speedSampleBytes {
			return nil, errMalformedSpeeds
		}
		w := routing.SpeedSamples{WorkerHash: binary.BigEndian.Uint32(b)}
		n := int(b[speedHeadBytes-1])
		for b = b[speedHeadBytes:]; n > 0; n, b = n-1, b[speedSampleBytes:] {
			w.Samples = append(w.Samples, routing.SpeedSample{
				ID: binary.BigEndian.Uint16(b), Times: math.Exp(float64(int8(b[2])) / speedSteps), At: now.Add(-time.Duration(b[3]) * speedAgeUnit),
			})
		}
		list = append(list, w)
	}
	return list, nil
}

var _ core.GossipExtension = (*speeds)(nil)

// paceMeter measures the time between the events of a stream, without the time for which
// the caller keeps the router from reading.
type paceMeter struct {
	events  int // since the last sample
	since   time.Time
	writing time.Duration
}

// maxWritingPart is the part of the time in writes from which a measurement is dropped:
// meanwhile events wait in the router's buffers, so the rest looks too short.
const maxWritingPart = 0.2

// record counts an event that arrived at a time and was written by another.
func (m *paceMeter) record(s *speeds, c routing.Choice, arrived, written time.Time) {
	if m.since.IsZero() {
		m.since = arrived
		return
	}
	m.events++
	if took := arrived.Sub(m.since); m.events == routing.PaceEvents {
		if float64(m.writing) <= maxWritingPart*float64(took) {
			s.g.fleet.RecordPace(c, took, arrived)
			s.logChanges()
		}
		m.events, m.since, m.writing = 0, arrived, 0
	}
	m.writing += written.Sub(arrived)
}
