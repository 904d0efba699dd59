//go:build !race

// The simulations run on a goroutine each and share nothing; the race detector would
// only make them slower by a factor of ten.

package bench

import (
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against workers above the load bound when prompts get much of the traffic of
// a large fleet, in which each router sees a small part of it and learns of loads late
// (incident 0014).
func TestHotPrompts(t *testing.T) {
	for _, size := range routeSizes() {
		for _, hot := range []struct {
			share   float64 // of all requests
			prompts int
		}{{0, 1}, {0.05, 1}, {0.1, 1}, {0.2, 1}, {0.4, 1}, {0.3, 3}} {
			Convey(fmt.Sprintf("%s: %.2f of the requests use %d prompts", size.name, hot.share, hot.prompts), t, func() {
				scenario := routeScenario{length: 22 * time.Second, surge: [2]time.Duration{8 * time.Second, 16 * time.Second}, surgeFactor: 1, hotShare: hot.share, hotPrompts: hot.prompts}
				var results [2]float64 // by seed
				var running sync.WaitGroup
				for seed := range results {
					running.Go(func() {
						results[seed] = simulateRoutes(size, scenario, routeStrategies()[0], uint64(seed)).maxOverBoundShare()
					})
				}
				running.Wait()
				for _, over := range results {
					So(over, ShouldBeLessThanOrEqualTo, maxOverBoundShare)
				}
			})
		}
	}
}
