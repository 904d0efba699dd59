package membership

import (
	"cmp"
	"slices"
)

// Pool is what a router holds of one upstream.
type Pool struct {
	Upstream string
	Workers  uint32 // workers that the router holds
	InFlight uint32 // slots granted on them
	Held     []string
}

// Entry is what is known of one router. It has a status part (Heartbeat,
// Leaving, Revision, Manifest) and a content part (Domain, Address, Pools),
// which are merged separately. An entry without an address has only a status.
type Entry struct {
	Router      string
	Incarnation uint64 // start time, ns since the epoch
	Heartbeat   uint64
	Leaving     bool
	Revision    uint64 // configuration in force; 0 when not stated
	Manifest    string // digest of that revision's manifest

	Content uint64 // heartbeat at which the content part last changed
	Domain  string
	Address string
	Pools   []Pool
}

// Full reports whether the entry has a content part.
func (e Entry) Full() bool { return e.Address != "" }

// Status returns the entry without its content part and without the manifest.
func (e Entry) Status() Entry {
	return Entry{Router: e.Router, Incarnation: e.Incarnation, Heartbeat: e.Heartbeat, Leaving: e.Leaving}
}

// Merge joins two entries of one router. The newer incarnation replaces the
// older one. Within an incarnation heartbeats and revisions only rise, leaving
// is final, and the newer content wins.
func Merge(a, b Entry) Entry {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	merged := a
	if compareContent(b, a) > 0 {
		merged = b
	}
	merged.Heartbeat = max(a.Heartbeat, b.Heartbeat)
	merged.Leaving = a.Leaving || b.Leaving
	merged.Revision, merged.Manifest = a.Revision, a.Manifest
	if cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(b.Manifest, a.Manifest)) > 0 {
		merged.Revision, merged.Manifest = b.Revision, b.Manifest
	}
	return merged
}

// compareContent orders content parts. An owner never gives two contents the
// same number; the rest of the order only keeps the merge commutative when a
// faulty router does.
func compareContent(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(a.Content, b.Content),
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Domain, b.Domain),
		slices.CompareFunc(a.Pools, b.Pools, comparePool),
	)
}

func comparePool(a, b Pool) int {
	return cmp.Or(
		cmp.Compare(a.Upstream, b.Upstream),
		cmp.Compare(a.Workers, b.Workers),
		cmp.Compare(a.InFlight, b.InFlight),
		slices.Compare(a.Held, b.Held),
	)
}

// newer reports whether have knows something that other lacks, by part.
func newer(have, other Entry) (status, content bool) {
	if have.Incarnation != other.Incarnation {
		return have.Incarnation > other.Incarnation, have.Incarnation > other.Incarnation && have.Full()
	}
	status = have.Heartbeat > other.Heartbeat || have.Leaving && !other.Leaving || have.Revision > other.Revision
	return status, have.Full() && have.Content > other.Content
}
