package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Rates is the mean traffic of one router of a fleet, in bytes a second unless
// stated otherwise.
type Rates struct {
	PeerSent, PeerReceived         float64 // both are equal for a whole fleet
	PlatformSent, PlatformReceived float64
	ReportSent, ReportReceived     float64
	Reads, Writes                  float64 // platform requests a second
	PeerConns                      float64 // connections opened a second
	Packets                        float64 // reads from connections a second, which approximate packets
}

// Sent returns all control traffic that a router sends, in bytes a second.
func (r Rates) Sent() float64 { return r.PeerSent + r.PlatformSent + r.ReportSent }

// Received returns all control traffic that a router receives, in bytes a second.
func (r Rates) Received() float64 { return r.PeerReceived + r.PlatformReceived + r.ReportReceived }

// Measure counts the traffic during a window and returns the mean rates of one
// router.
func (f *Fleet) Measure(ctx context.Context, window time.Duration) Rates {
	start := time.Now()
	peerStart, platformStart, reportStart, statsStart := f.PeerTraffic.Snapshot(), f.PlatformTraffic.Snapshot(), f.ReportTraffic.Snapshot(), f.Platform.Stats()
	sleep(ctx, window)
	routerSeconds := time.Since(start).Seconds() * float64(len(f.Routers))
	peer, platform, reports, statsEnd := f.PeerTraffic.Snapshot().Sub(peerStart), f.PlatformTraffic.Snapshot().Sub(platformStart), f.ReportTraffic.Snapshot().Sub(reportStart), f.Platform.Stats()
	rate := func(n int64) float64 { return float64(n) / routerSeconds }
	return Rates{
		PeerSent: rate(peer.Up + peer.Down), PeerReceived: rate(peer.Up + peer.Down),
		PlatformSent: rate(platform.Up), PlatformReceived: rate(platform.Down),
		ReportSent: rate(reports.Up), ReportReceived: rate(reports.Down),
		Reads: rate(statsEnd.Reads - statsStart.Reads), Writes: rate(statsEnd.Writes - statsStart.Writes),
		PeerConns: rate(peer.Conns), Packets: rate(peer.Reads + platform.Reads + reports.Reads),
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// holdTime is how long the requests of Drive keep a slot. It is shorter than the
// duration of a real response, so that many slots are released during a short
// window.
const holdTime = 2 * time.Second

// Drive sends slot requests from each router at a mean rate of perRouter a second
// until ctx ends, and returns how many were granted and refused.
func (f *Fleet) Drive(ctx context.Context, perRouter float64) (granted, refused int) {
	var mu sync.Mutex // leaf lock over the counts
	var wg sync.WaitGroup
	for i, r := range f.Routers {
		random := rand.New(rand.NewPCG(uint64(i), 1))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				sleep(ctx, time.Duration(random.ExpFloat64()/perRouter*float64(time.Second)))
				request := f.slotRequest(r, random, n)
				wg.Go(func() {
					ok := acquireAndHold(ctx, r, request)
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

// slotRequest returns a request for a slot of two random workers of one pool in the
// router's domain.
func (f *Fleet) slotRequest(r *Router, random *rand.Rand, n int) core.SlotRequest {
	pool := random.IntN(pools)
	var workers []string
	for range 2 {
		index := pool + pools*random.IntN(max(1, (f.Size.Workers-pool+pools-1)/pools))
		workers = append(workers, WorkerName(domainIndex(r.Domain), index))
	}
	return core.SlotRequest{
		Attempt: fmt.Sprintf("%s-18a1b2c3d4e5f607-%d", r.ID, n), Upstream: PoolName(pool), Workers: workers, AnyWorker: true,
		Caller: CallerName(n % 100), Weight: 1, Workspace: fmt.Sprintf("workspace-%05d", random.IntN(42000)),
		Rank: "normal", CostTokens: 900, Wait: 5 * time.Second,
	}
}

func domainIndex(name string) int {
	var d int
	_, _ = fmt.Sscanf(name, "cape-west-%d", &d) // cannot fail: DomainName made the name
	return d
}

func acquireAndHold(ctx context.Context, r *Router, q core.SlotRequest) bool {
	slot, err := r.Slots.Acquire(ctx, q)
	if err != nil {
		return false
	}
	sleep(ctx, holdTime)
	r.Slots.Release(slot, q.CostTokens)
	return true
}
