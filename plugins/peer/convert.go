package peer

import (
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
)

func toEntry(e *peerpb.RouterEntry) membership.Entry {
	out := membership.Entry{
		Router: e.GetRouter(), Domain: e.GetFailureDomain(), Address: e.GetAddress(),
		Incarnation: e.GetIncarnation(), Heartbeat: e.GetHeartbeat(), ContentVersion: e.GetContent(),
		Leaving: e.GetLeaving(), Revision: e.GetRevision(), Manifest: e.GetManifest(),
		Key: e.GetKey(), Loads: e.GetLoads(), LoadsVersion: e.GetLoadsOf(),
	}
	if out.LoadsVersion == 0 {
		out.LoadsVersion = out.ContentVersion
	}
	for _, pl := range e.GetPools() {
		out.Pools = append(out.Pools, membership.Pool{Upstream: pl.GetUpstream(), Workers: pl.GetWorkers(), InFlight: pl.GetInFlight(), HeldWorkers: pl.GetHeld()})
	}
	return out
}

func fromEntry(e membership.Entry) *peerpb.RouterEntry {
	out := &peerpb.RouterEntry{
		Router: e.Router, FailureDomain: e.Domain, Address: e.Address,
		Incarnation: e.Incarnation, Heartbeat: e.Heartbeat, Content: e.ContentVersion,
		Leaving: e.Leaving, Revision: e.Revision, Manifest: e.Manifest,
		Key: e.Key, Loads: e.Loads, LoadsOf: e.LoadsVersion,
	}
	if out.LoadsOf == out.Content {
		out.LoadsOf = 0
	}
	for _, pl := range e.Pools {
		out.Pools = append(out.Pools, &peerpb.PoolLoad{Upstream: pl.Upstream, Workers: pl.Workers, InFlight: pl.InFlight, Held: pl.HeldWorkers})
	}
	return out
}

func toEntries(v *peerpb.View) []membership.Entry {
	list := make([]membership.Entry, 0, len(v.GetEntries()))
	for _, e := range v.GetEntries() {
		list = append(list, toEntry(e))
	}
	return list
}

func fromEntries(from string, list []membership.Entry) *peerpb.View {
	v := &peerpb.View{From: from}
	for _, e := range list {
		v.Entries = append(v.Entries, fromEntry(e))
	}
	return v
}

// entrySize returns the encoded size of an entry within a View, including the
// length and the tag of field 2, View.entries.
func entrySize(e membership.Entry) int {
	n := proto.Size(fromEntry(e))
	return protowire.SizeTag(2) + protowire.SizeBytes(n)
}
