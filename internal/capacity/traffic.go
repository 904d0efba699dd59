package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Rates is what one router of a fleet sends and receives in bytes a second,
// by the mean over the fleet.
type Rates struct {
	PeerSent, PeerReceived     float64 // both are equal for a whole fleet
	TableSent, TableReceived   float64
	ReportSent, ReportReceived float64
	Reads, Writes              float64 // platform requests a second
	PeerConns                  float64 // connections opened a second
	Packets                    float64 // reads from connections a second
}

// Sent is all control traffic that a router sends, in bytes a second.
func (r Rates) Sent() float64 { return r.PeerSent + r.TableSent + r.ReportSent }

// Received is all control traffic that a router receives, in bytes a second.
func (r Rates) Received() float64 { return r.PeerReceived + r.TableReceived + r.ReportReceived }

// Measure counts for a time and returns the rates of one router.
func (f *Fleet) Measure(ctx context.Context, window time.Duration) Rates {
	start := time.Now()
	peers, table, reports, stats := f.Peers.Read(), f.Table.Read(), f.Reports.Read(), f.Platform.Stats()
	wait(ctx, window)
	per := time.Since(start).Seconds() * float64(len(f.Routers))
	p, t, l, now := f.Peers.Read().Sub(peers), f.Table.Read().Sub(table), f.Reports.Read().Sub(reports), f.Platform.Stats()
	each := func(n int64) float64 { return float64(n) / per }
	return Rates{
		PeerSent: each(p.Up + p.Down), PeerReceived: each(p.Up + p.Down),
		TableSent: each(t.Up), TableReceived: each(t.Down),
		ReportSent: each(l.Up), ReportReceived: each(l.Down),
		Reads: each(now.Reads - stats.Reads), Writes: each(now.Writes - stats.Writes),
		PeerConns: each(p.Conns), Packets: each(p.Reads + t.Reads + l.Reads),
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// holdTime is how long the driven requests keep a slot. It is shorter than a
// real answer so that a short window has many releases.
const holdTime = 2 * time.Second

// Drive sends slot requests at a rate for each router until ctx ends, and
// returns how many were granted and refused.
func (f *Fleet) Drive(ctx context.Context, perRouter float64) (granted, refused int) {
	var mu sync.Mutex // leaf lock over the counts
	var wg sync.WaitGroup
	for i, r := range f.Routers {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				wait(ctx, time.Duration(random.ExpFloat64()/perRouter*float64(time.Second)))
				request := f.slotRequest(r, random, n)
				wg.Go(func() {
					ok := useSlot(ctx, r, request)
					mu.Lock()
					defer mu.Unlock()
					if ok {
						granted++
					} else {
						refused++
					}
				})
			}
		})
	}
	wg.Wait()
	return granted, refused
}

// slotRequest asks for two workers of one pool of the router's domain.
func (f *Fleet) slotRequest(r *Router, random *rand.Rand, n int) core.SlotRequest {
	pool := random.IntN(pools)
	var workers []string
	for range 2 {
		at := pool + pools*random.IntN(max(1, (f.Size.Workers-pool+pools-1)/pools))
		workers = append(workers, WorkerName(domainIndex(r.Domain), at))
	}
	return core.SlotRequest{
		Attempt: fmt.Sprintf("%s-18a1b2c3d4e5f607-%d", r.ID, n), Upstream: PoolName(pool), Workers: workers, AnyWorker: true,
		Caller: CallerName(n % 100), Weight: 1, Workspace: fmt.Sprintf("workspace-%05d", random.IntN(42000)),
		Rank: "normal", CostTokens: 900, Wait: 5 * time.Second,
	}
}

func domainIndex(name string) int {
	var d int
	_, _ = fmt.Sscanf(name, "cape-west-%d", &d) // the fleet made the name
	return d
}

func useSlot(ctx context.Context, r *Router, q core.SlotRequest) bool {
	slot, err := r.Slots.Acquire(ctx, q)
	if err != nil {
		return false
	}
	wait(ctx, holdTime)
	r.Slots.Release(slot, q.CostTokens)
	return true
}
