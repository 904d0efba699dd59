package retry

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	_ "github.com/auburnlead/auburnlead/internal/proof" // sets the seed
)

var start = time.Unix(1_800_000_000, 0)

// Guards against retries that multiply an outage: whenever a retry is allowed,
// the retries of the last 10 s are at most the fraction of the successes plus
// the minimum.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(0.1, 0.5)
		now := start
		var successes, retries []int64
		for range rapid.IntRange(1, 300).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "success") {
				b.Success(now)
				successes = append(successes, now.Unix())
				continue
			}
			if !b.Allow(now) {
				continue
			}
			retries = append(retries, now.Unix())
			recent := float64(countRecent(successes, now.Unix()))
			if float64(countRecent(retries, now.Unix())) > 0.1*recent+5 {
				t.Fatalf("%d retries for %v successes in the window", countRecent(retries, now.Unix()), recent)
			}
		}
	})
}

func countRecent(seconds []int64, now int64) int {
	count := 0
	for _, second := range seconds {
		if second > now-budgetWindowSeconds {
			count++
		}
	}
	return count
}

// Guards against a budget that refuses retries although it is not used up, or
// that keeps credit longer than the window.
func TestBudgetAllowsItsShare(t *testing.T) {
	Convey("100 successes allow 10 retries for 10 s", t, func() {
		b := NewBudget(0.1, 0)
		So(b.Allow(start), ShouldBeFalse)
		for range 100 {
			b.Success(start)
		}
		for range 10 {
			So(b.Allow(start.Add(5*time.Second)), ShouldBeTrue)
		}
		So(b.Allow(start.Add(5*time.Second)), ShouldBeFalse)
		So(b.Allow(start.Add(time.Hour)), ShouldBeFalse)
	})
}

// Guards against delays outside the documented range and overflow at high retry
// counts.
func TestBackoff(t *testing.T) {
	b := Backoff{Base: 50 * time.Millisecond, Max: 2 * time.Second}
	Convey("Delays double up to the maximum", t, func() {
		for _, c := range []struct {
			desc     string
			attempt  int
			random   float64
			expected time.Duration
		}{
			{"first, shortest", 0, 0, 25 * time.Millisecond},
			{"first, middle", 0, 0.5, 37500 * time.Microsecond},
			{"third, shortest", 2, 0, 100 * time.Millisecond},
			{"at the maximum", 6, 0, time.Second},
			{"far beyond the maximum", 1 << 20, 0, time.Second},
		} {
			So(b.Delay(c.attempt, c.random), ShouldEqual, c.expected)
		}
	})
}

// Guards against an ejection period that does not double, a failed probe that
// does not eject again, and a period that is not reset after ForgetAfter.
func TestEjectorDoubles(t *testing.T) {
	Convey("A flapping worker is ejected for twice as long each time", t, func() {
		e := NewEjector(EjectorConfig{PoolSize: 10})
		now := start
		e.Failure(now, "e1")
		e.Failure(now, "e1")
		So(e.Ejected(now, "e1"), ShouldBeFalse)
		for _, seconds := range []int{1, 2, 4, 8, 16, 32, 60, 60} {
			e.Failure(now, "e1")
			end := now.Add(time.Duration(seconds) * time.Second)
			So(e.Ejected(end.Add(-1), "e1"), ShouldBeTrue)
			So(e.Ejected(end, "e1"), ShouldBeFalse)
			now = end
		}
		now = now.Add(5 * time.Minute)
		e.Success(now, "e1")
		for range 3 {
			So(e.Ejected(now, "e1"), ShouldBeFalse)
			e.Failure(now, "e1")
		}
		So(e.Ejected(now, "e1"), ShouldBeTrue)
		So(e.Ejected(now.Add(time.Second), "e1"), ShouldBeFalse)
	})
}

// Guards against ejecting more than 30% of a pool, also while its size changes.
func TestEjectorKeepsThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 20).Draw(t, "pool")
		e := NewEjector(EjectorConfig{PoolSize: size, Threshold: 1})
		now := start
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			worker := fmt.Sprint(rapid.IntRange(0, 19).Draw(t, "worker"))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				size = rapid.IntRange(0, 20).Draw(t, "new pool")
				e.SetPoolSize(now, size)
			case 1:
				e.Success(now, worker)
			default:
				e.Failure(now, worker)
			}
			ejected := 0
			for i := range 20 {
				if e.Ejected(now, fmt.Sprint(i)) {
					ejected++
				}
			}
			if ejected*10 > size*3 {
				t.Fatalf("%d of %d workers are ejected", ejected, size)
			}
		}
	})
}
