package routing

import (
	"math"
	"time"
)

// placements records the worker that this router last sent each prompt part to.
// Keys are IDs of prompt parts. It is guarded by Fleet.mu.
type placements struct {
	byKey map[uint64]lastPlacement
}

type lastPlacement struct {
	worker         *Worker
	placedAt       time.Time
	recentRequests float64 // exponentially decayed count of this router's requests, as of placedAt
}

const (
	// maxPlacements bounds the memory: 4096 entries take about 200 KB.
	maxPlacements = 4096
	// placementTTL is the time after which a worker has probably evicted a
	// prompt part that was not requested again.
	placementTTL = time.Minute
	// keyRateTimeConstant is the time constant with which the request count of a
	// key decays. In a large fleet one router sees a request for a hot key only
	// every few seconds.
	keyRateTimeConstant = 4 * time.Second
)

func newPlacements() placements { return placements{byKey: map[uint64]lastPlacement{}} }

// get returns the worker that a key was last sent to and when, nil if it is not
// known or probably evicted.
func (p placements) get(key uint64, now time.Time) (*Worker, time.Time) {
	e, ok := p.byKey[key]
	if !ok || now.Sub(e.placedAt) > placementTTL {
		return nil, time.Time{}
	}
	return e.worker, e.placedAt
}

func (p placements) put(key uint64, w *Worker, now time.Time) {
	if _, exists := p.byKey[key]; !exists && len(p.byKey) >= maxPlacements {
		p.evict(now)
	}
	p.byKey[key] = lastPlacement{w, now, 1 + p.recentRequests(key, now)}
}

// recentRequests returns the exponentially decayed count of this router's requests
// for a key. Divided by keyRateTimeConstant it is the request rate.
func (p placements) recentRequests(key uint64, now time.Time) float64 {
	e := p.byKey[key]
	return e.recentRequests * math.Exp(-now.Sub(e.placedAt).Seconds()/keyRateTimeConstant.Seconds())
}

// evict removes expired entries and, if that is not enough, arbitrary ones.
func (p placements) evict(now time.Time) {
	for key, e := range p.byKey {
		if now.Sub(e.placedAt) > placementTTL {
			delete(p.byKey, key)
		}
	}
	for key := range p.byKey {
		if len(p.byKey) < maxPlacements {
			return
		}
		delete(p.byKey, key)
	}
}
