package routing

import (
	"math"
	"time"
)

// The permits for cold workers are divided among all routers, also those on the other
// side of a partition. Routers tell each other the largest number of routers that any of
// them has seen, with its age, so that a router that has just started or sees few others
// does not take more than its part.

const (
	// sizeSettleTime is the time after which a router that no other one has told a size
	// takes the number of routers that it sees for all of them. By then the messages of
	// all routers in contact have arrived several times.
	sizeSettleTime = 10 * time.Second
	// sizeHold is how long the largest number counts in full, and sizeHalfLife the time
	// in which it then halves: longer than a partition, shorter than a day.
	sizeHold     = 10 * time.Minute
	sizeHalfLife = 10 * time.Minute
)

// fleetSize is the largest number of routers that this or another one has seen. It is
// guarded by Fleet.mu.
type fleetSize struct {
	firstAt time.Time // when this router first counted others
	largest float64
	at      time.Time // when the largest number was seen
	told    bool      // by a router that knew it
}

func decayedSize(size float64, age time.Duration) float64 {
	if age <= sizeHold {
		return size
	}
	return size * math.Exp2(-(age-sizeHold).Seconds()/sizeHalfLife.Seconds())
}

// count records the routers that this router sees, itself included.
func (s *fleetSize) count(routers int, now time.Time) {
	if s.firstAt.IsZero() && routers > 1 {
		s.firstAt = now
	}
	if size := float64(routers); size >= decayedSize(s.largest, now.Sub(s.at)) {
		s.largest, s.at = size, now
	}
}

// tell records what another router has told. A number that has gone round keeps its age.
func (s *fleetSize) tell(size float64, age time.Duration, now time.Time) {
	s.told = true
	if decayedSize(size, age) > decayedSize(s.largest, now.Sub(s.at)) {
		s.largest, s.at = size, now.Add(-age)
	}
}

func (s *fleetSize) isKnown(now time.Time) bool {
	return s.told || !s.firstAt.IsZero() && now.Sub(s.firstAt) >= sizeSettleTime
}

// coldRouters returns the number of routers among which the permits for cold workers are
// divided.
func (f *Fleet) coldRouters(now time.Time) float64 {
	size := max(decayedSize(f.size.largest, now.Sub(f.size.at)), 1)
	if !f.size.isKnown(now) {
		size = max(size, float64(f.cfg.MaxRouters))
	}
	return size
}

// FleetSize is the largest number of routers seen.
type FleetSize struct {
	Routers int           // 0 if not known
	Age     time.Duration // since it was seen
}

// RecordFleetSize records the number of routers that this router sees, itself included,
// and what another router has told, the zero value for nothing. A number above
// Config.MaxRouters counts as that number if this router has not seen as many.
func (f *Fleet) RecordFleetSize(routers int, told FleetSize, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setRouters(routers)
	f.size.count(routers, now)
	if told.Routers > 0 {
		f.size.tell(float64(min(told.Routers, max(f.cfg.MaxRouters, f.maxRoutersSeen))), told.Age, now)
	}
}

// SharedFleetSize returns what other routers are to be told, and false if no upstream has
// a figure that depends on the number of routers.
func (f *Fleet) SharedFleetSize(now time.Time) (FleetSize, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.upstreams {
		if f.coldRate(name) <= 0 {
			continue
		}
		if !f.size.isKnown(now) {
			return FleetSize{}, true
		}
		return FleetSize{int(f.size.largest), max(now.Sub(f.size.at), 0)}, true
	}
	return FleetSize{}, false
}

// RecordRouters records the number of routers, this one included.
func (f *Fleet) RecordRouters(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setRouters(n)
}

func (f *Fleet) setRouters(n int) {
	for _, p := range f.pools {
		p.routers = n
	}
	if n > f.maxRoutersSeen {
		f.maxRoutersSeen = n
		f.updateBudgets()
	}
}
