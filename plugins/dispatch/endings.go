package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
)

// endingsPeriod is the period at which unrecorded ends are written again.
const endingsPeriod = time.Second

// endingsBatch bounds the ends written in one run, so that a platform which
// comes back is not flooded.
const endingsBatch = 64

// ending is the end of a claimed request that the ledger has to record.
type ending struct {
	claim   onceClaim
	outcome core.Outcome
	answer  []byte
}

// endings are the ends that could not be recorded yet. Their number is bounded
// by the requests that ran when the platform went down, since no request is
// sent without a claim.
type endings struct {
	mu   sync.Mutex // level 50
	list []*ending
}

func (l *endings) add(e *ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, e)
}

func (l *endings) take() []*ending {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.list), endingsBatch)
	batch := l.list[:n:n]
	l.list = l.list[n:]
	return batch
}

// flush writes unrecorded ends until one fails.
func (d *Dispatcher) flush(ctx context.Context) {
	batch := d.endings.take()
	for i, e := range batch {
		if err := d.finish(ctx, e); err != nil {
			for _, left := range batch[i:] {
				d.endings.add(left)
			}
			return
		}
	}
}
