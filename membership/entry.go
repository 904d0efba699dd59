package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Pool describes the workers of one upstream whose slot leases a router holds.
type Pool struct {
	Upstream    string
	Workers     uint32 // held workers that are open for new requests
	InFlight    uint32 // slots granted on them
	HeldWorkers []string
}

// Entry describes one router. It has a status part (Heartbeat, Leaving, Revision,
// Manifest, Loads, LoadsVersion) and a content part (ContentVersion, Domain,
// Address, Pools), which are merged separately. An entry without an address has
// only a status part. In messages it carries Key
// in place of Router and Incarnation, so that the statuses of a whole failure
// domain fit into one message.
type Entry struct {
	Router      string
	Incarnation uint64 // start time, ns since the epoch
	Key         uint64 // hash of Router and Incarnation, see KeyOf
	Heartbeat   uint64
	Leaving     bool
	Revision    uint64 // active configuration revision; 0 if the entry does not state it
	Manifest    string // digest of that revision's manifest
	// Loads are the current values of Pools[i].InFlight for the content with
	// the version LoadsVersion.
	Loads        []uint32
	LoadsVersion uint64

	ContentVersion uint64 // heartbeat at which the content part last changed
	Domain         string
	Address        string
	Pools          []Pool
}

// KeyOf returns the 64-bit hash that identifies a router's incarnation.
func KeyOf(router string, incarnation uint64) uint64 {
	var encoded [8]byte
	binary.LittleEndian.PutUint64(encoded[:], incarnation)
	d := xxhash.New()
	_, _ = d.Write(encoded[:])
	_, _ = d.WriteString(router)
	return d.Sum64()
}

// Full reports whether the entry has a content part.
func (e Entry) Full() bool { return e.Address != "" }

// Status returns the status part for a message, without the revision and the
// manifest. Its ContentVersion tells the receiver which content the sender has.
func (e Entry) Status() Entry {
	return Entry{Key: KeyOf(e.Router, e.Incarnation), Heartbeat: e.Heartbeat, Leaving: e.Leaving, Loads: e.Loads, LoadsVersion: e.LoadsVersion, ContentVersion: e.ContentVersion}
}

// Merge merges two entries of one router. The newer incarnation replaces the
// older one. Within an incarnation, heartbeats and revisions only increase,
// leaving is final, and the newer content wins.
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

// poolsWithLoads returns the pools with the current loads.
func (e Entry) poolsWithLoads() []Pool {
	if e.LoadsVersion != e.ContentVersion || len(e.Loads) != len(e.Pools) {
		return e.Pools
	}
	pools := slices.Clone(e.Pools)
	for i := range pools {
		pools[i].InFlight = e.Loads[i]
	}
	return pools
}

// compareContent orders content parts by version. Only a faulty router gives two
// different contents the same version; the other fields are compared so that the
// merge is commutative in that case too.
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

// newerParts reports which parts of a are newer than those of b.
func newerParts(a, b Entry) (status, content bool) {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation, a.Incarnation > b.Incarnation && a.Full()
	}
	status = a.Heartbeat > b.Heartbeat || a.Leaving && !b.Leaving || a.Revision > b.Revision
	return status, a.Full() && a.ContentVersion > b.ContentVersion
}
