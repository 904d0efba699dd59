package admission

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"
)

// ErrMalformedDemand is returned by Merge for a payload that cannot be read. Nothing
// of it is used.
var ErrMalformedDemand = errors.New("admission: malformed counts of requests; check that all routers run the same version")

// digest holds the counts of one router for one upstream. sent, rejected and finished
// are decayed over flowPeriod, the demand over demandPeriod.
type digest struct {
	router                             uint64
	sequence                           uint64
	receivedAt                         time.Time
	sent, rejected, finished, inFlight float64
	demand                             float64
	active                             bool // admission control is on
	ranks                              [maxRank + 1]float64
	callers                            []callerDemand // the largest
}

// Encoding of a digest.
const (
	demandFormat = 1
	countUnit    = 32 // counts are sent as multiples of 1/countUnit
	maxCount     = 1 << 24
	weightUnit   = 8 // weights are sent as multiples of 1/weightUnit
	ageUnit      = 20 * time.Millisecond
	// maxSharedCallers bounds the callers in a message.
	maxSharedCallers = 48
	countBytes       = 4
	callerBytes      = 1 + 4 + 1 + countBytes
	// roomBytes is the largest size of the counts of an upstream without callers.
	roomBytes = 4 + 5*countBytes + 2 + 1 + 1 + (maxRank+1)*(1+countBytes) + 1
)

// digest returns the counts of this router.
func (u *room) digest(now time.Time, callers int) *digest {
	u.setInFlight(now, 0)
	d := &digest{
		sent: u.sent.get(now, flowPeriod), rejected: u.rejected.get(now, stressPeriod),
		finished: u.finished.get(now, flowPeriod), inFlight: u.busy.get(now, stressPeriod),
		demand: u.arrived.get(now, flowPeriod), active: !u.startedAt.IsZero(),
	}
	for rank := range u.demand {
		d.ranks[rank] = u.demand[rank].get(now, demandPeriod)
	}
	for id, f := range u.flows {
		d.callers = append(d.callers, callerDemand{id, f.demand.get(now, demandPeriod), f.weight})
	}
	slices.SortFunc(d.callers, func(a, b callerDemand) int {
		return cmp.Or(cmp.Compare(b.demand, a.demand), cmp.Compare(a.id.caller, b.id.caller), cmp.Compare(a.id.rank, b.id.rank))
	})
	d.callers = d.callers[:min(len(d.callers), callers)]
	return d
}

// digestPeriod is the mean time between two digests, digestJitter how much earlier
// one may be sent, since the rounds of messages are irregular.
const (
	digestPeriod = 250 * time.Millisecond
	digestJitter = 70 * time.Millisecond
)

// Digest returns the counts of the upstreams under pressure for the other routers, in
// at most limit bytes; nil if there is none or the last digest was too recent.
func (g *Gate) Digest(now time.Time, limit int) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.digestDue(now) {
		return nil
	}
	var b []byte
	for _, u := range g.upstreams {
		if now.Sub(u.evidence) > pressurePeriod {
			continue
		}
		if b == nil {
			g.sequence++
			if g.digestAt = g.digestAt.Add(digestPeriod); g.digestAt.Before(now) {
				g.digestAt = now.Add(digestPeriod)
			}
			b = binary.AppendUvarint(binary.BigEndian.AppendUint64([]byte{demandFormat}, g.router), g.sequence)
		}
		rest := limit - len(b) - roomBytes
		if rest < 0 {
			break
		}
		b = u.appendDigest(b, now, min(rest/callerBytes, maxSharedCallers))
	}
	return b
}

func (g *Gate) digestDue(now time.Time) bool {
	return !now.Before(g.digestAt.Add(-digestJitter))
}

func (u *room) appendDigest(b []byte, now time.Time, callers int) []byte {
	d := u.digest(now, callers)
	b = binary.BigEndian.AppendUint32(b, u.hash)
	for _, n := range []float64{d.sent, d.rejected, d.finished, d.inFlight, d.demand} {
		b = appendCount(b, n)
	}
	b = binary.AppendUvarint(b, uint64(max(now.Sub(u.evidence), 0)/ageUnit))
	if d.active {
		b = append(b, 1)
	} else {
		b = append(b, 0)
	}
	ranks := len(b)
	b = append(b, 0)
	for rank, demand := range d.ranks {
		if units := math.Round(demand * countUnit); units > 0 {
			b = appendCount(append(b, byte(rank)), demand)
			b[ranks]++
		}
	}
	b = append(b, byte(len(d.callers)))
	for _, c := range d.callers {
		b = binary.BigEndian.AppendUint32(append(b, c.id.rank), c.id.caller)
		b = append(b, byte(min(max(math.Round(c.weight*weightUnit), 1), math.MaxUint8)))
		b = appendCount(b, c.demand)
	}
	return b
}

func appendCount(b []byte, n float64) []byte {
	return binary.AppendUvarint(b, uint64(min(math.Round(n*countUnit), maxCount-1)))
}

// Merge reads a digest of another router. It reports whether the others should be told
// at once, since admission control started. Upstreams that are not known here are
// skipped. Error: ErrMalformedDemand.
func (g *Gate) Merge(now time.Time, payload []byte) (urgent bool, err error) {
	router, list, err := decodeDemand(now, payload)
	if err != nil {
		return false, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for hash, received := range list {
		u := g.upstreams[hash]
		if u == nil || router == g.router {
			continue
		}
		if !u.setPeer(now, &received.digest) {
			continue
		}
		if received.evidence.After(u.evidence) {
			u.evidence = received.evidence
		}
		wasOff := u.startedAt.IsZero()
		u.update(g, now)
		urgent = urgent || wasOff && !u.startedAt.IsZero() && g.digestDue(now)
	}
	return urgent, nil
}

// setPeer replaces the digest of another router. It returns false if a newer one is
// known.
func (u *room) setPeer(now time.Time, d *digest) bool {
	i, known := slices.BinarySearchFunc(u.peers, d.router, func(p *digest, router uint64) int { return cmp.Compare(p.router, router) })
	if !known {
		u.peers = slices.Insert(u.peers, i, d)
		return true
	}
	// A router that was started again counts from 1.
	if u.peers[i].sequence >= d.sequence && now.Sub(u.peers[i].receivedAt) < pressurePeriod {
		return false
	}
	u.peers[i] = d
	return true
}

// receivedDigest is a digest with the time of the last rejection or refusal.
type receivedDigest struct {
	digest
	evidence time.Time
}

func decodeDemand(now time.Time, b []byte) (router uint64, list map[uint32]*receivedDigest, err error) {
	r := &demandReader{rest: b}
	if r.byte() != demandFormat {
		return 0, nil, ErrMalformedDemand
	}
	router = r.uint64()
	sequence := r.uvarint(math.MaxUint64)
	list = map[uint32]*receivedDigest{}
	for len(r.rest) > 0 && !r.failed {
		hash := r.uint32()
		d := &receivedDigest{digest: digest{router: router, sequence: sequence, receivedAt: now, sent: r.count(), rejected: r.count(), finished: r.count(), inFlight: r.count(), demand: r.count()}}
		d.evidence = now.Add(-time.Duration(r.uvarint(uint64(time.Minute/ageUnit))) * ageUnit)
		d.active = r.byte()&1 != 0
		for range r.byte() {
			d.ranks[r.rank()] = r.count()
		}
		for range r.byte() {
			id := flowID{rank: r.rank(), caller: r.uint32()}
			weight := float64(max(r.byte(), 1)) / weightUnit
			d.callers = append(d.callers, callerDemand{id, r.count(), weight})
		}
		list[hash] = d
	}
	if r.failed {
		return 0, nil, ErrMalformedDemand
	}
	return router, list, nil
}

// demandReader reads a payload. Once a read fails, all later reads return 0.
type demandReader struct {
	rest   []byte
	failed bool
}

func (r *demandReader) next(n int) []byte {
	if r.failed || len(r.rest) < n {
		r.failed = true
		return make([]byte, n)
	}
	part := r.rest[:n]
	r.rest = r.rest[n:]
	return part
}

func (r *demandReader) byte() byte     { return r.next(1)[0] }
func (r *demandReader) uint32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }
func (r *demandReader) uint64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

// rank reads a rank. A larger one than maxRank makes the payload malformed.
func (r *demandReader) rank() uint8 {
	rank := r.byte()
	if rank > maxRank {
		r.failed = true
		return 0
	}
	return rank
}

func (r *demandReader) count() float64 { return float64(r.uvarint(maxCount)) / countUnit }

func (r *demandReader) uvarint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if r.failed || n <= 0 || v > limit {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}
