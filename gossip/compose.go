package gossip

import (
	"cmp"
	"slices"
	"time"
)

// Message returns the next message of this router.
func (v *View) Message(now time.Time) []byte {
	m := v.header(now)
	sameDomain, otherDomains := v.liveMembers(now)
	for _, entry := range append(sameDomain[:min(len(sameDomain), maxSameDomainMembers)], otherDomains[:min(len(otherDomains), maxOtherDomainMembers)]...) {
		m.members = append(m.members, memberEntry{entry.address, entry.routerHash, entry.domainHash, entry.capacity, uint64(now.Sub(entry.lastHeard) / memberAgeUnit)})
	}
	m.loads = v.selectLoads(now, (MessageBytes-headerBytes-m.tableSize()-len(m.members)*memberBytes)/loadBytes)
	return m.encode()
}

// LoadMessage returns a message with the known loads of the given workers and nothing
// else of the fleet. Workers without a load report that is recent enough are left out,
// and so are those that do not fit; the next rounds carry their loads.
func (v *View) LoadMessage(now time.Time, workers []uint32) []byte {
	m := v.header(now)
	limit := min((MessageBytes-headerBytes-m.tableSize())/loadBytes, maxMessageLoads)
	for _, worker := range workers[:min(len(workers), limit)] {
		if entry, ok := v.loadEntry(now, worker); ok {
			m.loads = append(m.loads, entry)
		}
	}
	return m.encode()
}

// loadEntry returns the load of a worker as an entry of a message, false if it is not
// known or too old.
func (v *View) loadEntry(now time.Time, worker uint32) (loadEntry, bool) {
	l, ok := v.loads[worker]
	units := now.Sub(l.reportedAt) / loadAgeUnit
	if !ok || units > maxLoadAge || now.Sub(l.reportedAt) > v.cfg.LoadTTL {
		return loadEntry{}, false
	}
	return loadEntry{workerHash: worker, reportID: l.reportID, inFlight: uint64(l.inFlight), age: uint8(units)}, true
}

// ageMs returns the age of a time in ms, at most one hour. A zero time stands
// for never and gets the maximum age.
func ageMs(now, at time.Time) uint64 {
	if at.IsZero() {
		return maxAgeMs
	}
	return min(uint64(max(now.Sub(at), 0).Milliseconds()), maxAgeMs)
}

// selectLoads returns the load reports for a message: the most recent ones and
// a random selection of the others.
func (v *View) selectLoads(now time.Time, limit int) []loadEntry {
	var list []loadEntry
	for worker := range v.loads {
		if entry, ok := v.loadEntry(now, worker); ok {
			list = append(list, entry)
		}
	}
	slices.SortFunc(list, func(a, b loadEntry) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.workerHash, b.workerHash))
	})
	limit = min(len(list), limit, maxMessageLoads)
	// Half of the space is for randomly chosen other reports, so that each report
	// is sent sooner or later.
	for i := limit / 2; i < limit; i++ {
		j := i + v.cfg.Random(len(list)-i)
		list[i], list[j] = list[j], list[i]
	}
	return list[:limit]
}
