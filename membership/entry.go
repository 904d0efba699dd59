package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Pool is what a router holds of one upstream.
type Pool struct {
	Upstream    string
	Workers     uint32 // workers that the router holds
	InFlight    uint32 // slots granted on them
	HeldWorkers []string
}

// Entry is what is known of one router. It has a status part (Heartbeat,
// Leaving, Revision, Manifest, Loads) and a content part (Content, Domain,
// Address, Pools), which are merged separately. An entry without an address
// has only a status; in messages it carries Key in place of Router and
// Incarnation, so that the statuses of a whole domain fit into one message.
type Entry struct {
	Router      string
	Incarnation uint64 // start time, ns since the epoch
	Key         uint64 // stands for Router and Incarnation, see KeyOf
	Heartbeat   uint64
	Leaving     bool
	Revision    uint64 // configuration in force; 0 when not stated
	Manifest    string // digest of that revision's manifest
	// Loads are the present values of Pools[i].InFlight for the content with
	// the number LoadsVersion.
	Loads        []uint32
	LoadsVersion uint64

	ContentVersion uint64 // heartbeat at which the content part last changed
	Domain         string
	Address        string
	Pools          []Pool
}

// KeyOf returns the 64-bit hash that stands for a router's incarnation.
func KeyOf(router string, incarnation uint64) uint64 {
	var start [8]byte
	binary.LittleEndian.PutUint64(start[:], incarnation)
	d := xxhash.New()
	_, _ = d.Write(start[:])
	_, _ = d.WriteString(router)
	return d.Sum64()
}

// Full reports whether the entry has a content part.
func (e Entry) Full() bool { return e.Address != "" }

// Status returns the status part as it is sent, without revision and manifest.
// Its Content tells the receiver which content the sender has.
func (e Entry) Status() Entry {
	return Entry{Key: KeyOf(e.Router, e.Incarnation), Heartbeat: e.Heartbeat, Leaving: e.Leaving, Loads: e.Loads, LoadsVersion: e.LoadsVersion, ContentVersion: e.ContentVersion}
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
	merged.Leaving = a.Leaving || b.Leaving
	merged.Heartbeat, merged.Loads, merged.LoadsVersion = a.Heartbeat, a.Loads, a.LoadsVersion
	if cmp.Or(cmp.Compare(b.Heartbeat, a.Heartbeat), cmp.Compare(b.LoadsVersion, a.LoadsVersion), slices.Compare(b.Loads, a.Loads)) > 0 {
		merged.Heartbeat, merged.Loads, merged.LoadsVersion = b.Heartbeat, b.Loads, b.LoadsVersion
	}
	merged.Revision, merged.Manifest = a.Revision, a.Manifest
	if cmp.Or(cmp.Compare(b.Revision, a.Revision), cmp.Compare(b.Manifest, a.Manifest)) > 0 {
		merged.Revision, merged.Manifest = b.Revision, b.Manifest
	}
	return merged
}

// loaded returns the pools with the present loads.
func (e Entry) loaded() []Pool {
	if e.LoadsVersion != e.ContentVersion || len(e.Loads) != len(e.Pools) {
		return e.Pools
	}
	pools := slices.Clone(e.Pools)
	for i := range pools {
		pools[i].InFlight = e.Loads[i]
	}
	return pools
}

// compareContent orders content parts. An owner never gives two contents the
// same number; the rest of the order only keeps the merge commutative when a
// faulty router does.
func compareContent(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(a.ContentVersion, b.ContentVersion),
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
		slices.Compare(a.HeldWorkers, b.HeldWorkers),
	)
}

// newer reports whether have knows something that other lacks, by part.
func newer(have, other Entry) (status, content bool) {
	if have.Incarnation != other.Incarnation {
		return have.Incarnation > other.Incarnation, have.Incarnation > other.Incarnation && have.Full()
	}
	status = have.Heartbeat > other.Heartbeat || have.Leaving && !other.Leaving || have.Revision > other.Revision
	return status, have.Full() && have.ContentVersion > other.ContentVersion
}
