package quarantine

import (
	"cmp"
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

// ageUnit is the unit of the ages in encoded reports.
const ageUnit = 10 * time.Millisecond

// maxAge limits the age of a report, in ageUnit.
const maxAge = uint64(time.Hour / ageUnit)

// Sizes of the parts of an encoded entry, in bytes: the part's ID, the number of
// crashes and the age of the last success; then the worker and the age of each crash.
const (
	entryBytes = 8 + 1 + binary.MaxVarintLen32
	crashBytes = 4 + binary.MaxVarintLen32
)

var errMalformed = errors.New("quarantine: malformed report; check that all routers run the same version")

// Encode returns the evidence for other routers in at most limit bytes, nil if there
// is none: the parts with most crashes first, and a random selection of the others.
// Reports carry ages, since the clocks of routers differ.
func (t *Tracker) Encode(now time.Time, limit int) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	parts := t.shareOrder(limit)
	var b []byte
	for _, part := range parts {
		s := t.suspects[part]
		if len(b)+entryBytes+len(s.crashes)*crashBytes > limit {
			break
		}
		b = binary.BigEndian.AppendUint64(b, part)
		b = append(b, byte(len(s.crashes)))
		successAge := uint64(0) // for none
		if !s.lastSuccess.IsZero() {
			successAge = 1 + age(now, s.lastSuccess)
		}
		b = binary.AppendUvarint(b, successAge)
		for _, c := range s.crashes {
			b = binary.BigEndian.AppendUint32(b, c.worker)
			b = binary.AppendUvarint(b, age(now, c.at))
		}
	}
	return b
}

func age(now, at time.Time) uint64 { return min(uint64(max(now.Sub(at), 0)/ageUnit), maxAge) }

// shareOrder returns the parts in the order in which they are encoded. Half of the
// space goes to those with most crashes, the rest to random ones, so that each is
// sent sooner or later.
func (t *Tracker) shareOrder(limit int) []uint64 {
	parts := make([]uint64, 0, len(t.suspects))
	for part := range t.suspects {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, func(a, b uint64) int {
		x, y := t.suspects[a], t.suspects[b]
		return cmp.Or(cmp.Compare(len(y.crashes), len(x.crashes)), cmp.Compare(a, b))
	})
	for i := limit / (entryBytes + crashBytes) / 2; i < len(parts); i++ {
		j := i + t.cfg.Random(len(parts)-i)
		parts[i], parts[j] = parts[j], parts[i]
	}
	return parts
}

// ChangedAt returns when the evidence last changed, the zero time for never.
func (t *Tracker) ChangedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changedAt
}

// report is the evidence about one part in a message.
type report struct {
	part        uint64
	lastSuccess time.Time
	crashes     []crash
}

// Merge adds the evidence of another router. Errors: the message is malformed;
// nothing is added then.
func (t *Tracker) Merge(now time.Time, b []byte) ([]Change, error) {
	reports, err := decode(now, b)
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	var changes []Change
	var changed []uint64
	for _, r := range reports {
		s := t.suspect(r.part)
		if s == nil {
			continue
		}
		for _, c := range r.crashes {
			if now.Sub(c.at) <= t.cfg.EvidenceTTL+t.cfg.Period && t.addCrash(now, r.part, c.worker, c.at) {
				changed = append(changed, r.part)
			}
		}
		if !r.lastSuccess.IsZero() {
			changes = append(changes, t.addSuccess(now, r.part, s, r.lastSuccess)...)
		}
	}
	return append(changes, t.evaluate(now, slices.Compact(changed))...), nil
}

func decode(now time.Time, b []byte) ([]report, error) {
	var reports []report
	for len(b) > 0 {
		if len(b) < 9 {
			return nil, errMalformed
		}
		r := report{part: binary.BigEndian.Uint64(b)}
		crashes := int(b[8])
		successAge, n := binary.Uvarint(b[9:])
		if n <= 0 || successAge > maxAge+1 || crashes > maxCrashes {
			return nil, errMalformed
		}
		if successAge > 0 {
			r.lastSuccess = now.Add(-time.Duration(successAge-1) * ageUnit)
		}
		b = b[9+n:]
		for range crashes {
			if len(b) < 4 {
				return nil, errMalformed
			}
			age, n := binary.Uvarint(b[4:])
			if n <= 0 || age > maxAge {
				return nil, errMalformed
			}
			r.crashes = append(r.crashes, crash{worker: binary.BigEndian.Uint32(b), at: now.Add(-time.Duration(age) * ageUnit)})
			b = b[4+n:]
		}
		reports = append(reports, r)
	}
	return reports, nil
}
