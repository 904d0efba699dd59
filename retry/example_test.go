package retry_test

import (
	"fmt"
	"time"

	"github.com/auburnlead/auburnlead/retry"
)

// A router retries a refused attempt within the budget and ejects a failing
// worker.
func Example() {
	now := time.Unix(0, 0)
	budget := retry.NewBudget(0.1, 1)
	backoff := retry.Backoff{Base: 100 * time.Millisecond, Max: time.Second}
	for attempt := 0; attempt < 3 && budget.Allow(now); attempt++ {
		now = now.Add(backoff.Delay(attempt, 0.5))
		fmt.Println(now.Sub(time.Unix(0, 0)))
	}

	ejector := retry.NewEjector(retry.EjectorConfig{PoolSize: 10})
	for range 3 {
		ejector.Failure(now, "e4")
	}
	fmt.Println(ejector.Ejected(now, "e4"), ejector.Ejected(now.Add(time.Second), "e4"))
	// Output:
	// 75ms
	// 225ms
	// 525ms
	// true false
}
