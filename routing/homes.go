package routing

import (
	"math"
	"time"
)

// homes remembers to which worker this router last sent a prompt's key. It is
// guarded by Fleet.mu.
type homes struct {
	byKey map[uint64]home
}

type home struct {
	worker *Worker
	at     time.Time
	recent float64 // requests of this router over keyMemory, at the time
}

const (
	// homesMost bounds the memory: 4096 entries are about 200 KB.
	homesMost = 4096
	// homeMemory is the time after which a worker has probably dropped the
	// parts of a prompt that was not asked for.
	homeMemory = time.Minute
	// keyMemory is the time over which the requests for a key are averaged. A
	// router of many sees a request for a hot key every few seconds.
	keyMemory = 4 * time.Second
)

func newHomes() homes { return homes{byKey: map[uint64]home{}} }

func (h homes) get(key uint64, now time.Time) *Worker {
	e, ok := h.byKey[key]
	if !ok || now.Sub(e.at) > homeMemory {
		return nil
	}
	return e.worker
}

func (h homes) put(key uint64, w *Worker, now time.Time) {
	if _, known := h.byKey[key]; !known && len(h.byKey) >= homesMost {
		h.makeRoom(now)
	}
	h.byKey[key] = home{w, now, 1 + h.recent(key, now)}
}

// recent is the number of requests of this router for a key, averaged over
// keyMemory.
func (h homes) recent(key uint64, now time.Time) float64 {
	e := h.byKey[key]
	return e.recent * math.Exp(-now.Sub(e.at).Seconds()/keyMemory.Seconds())
}

// makeRoom drops what is out of date, or else any entry.
func (h homes) makeRoom(now time.Time) {
	for key, e := range h.byKey {
		if now.Sub(e.at) > homeMemory {
			delete(h.byKey, key)
		}
	}
	for key := range h.byKey {
		if len(h.byKey) < homesMost {
			return
		}
		delete(h.byKey, key)
	}
}
