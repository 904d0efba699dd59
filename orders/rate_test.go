package orders

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/store/storetest"
)

// testUseTime is the time from the last check of a token until the model load that
// uses it takes effect.
const testUseTime = 2 * time.Second

// loadLog records when the models of a run were loaded, by the test's clock.
type loadLog struct {
	mu sync.Mutex
	at []time.Time
}

func (l *loadLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.at = append(l.at, time.Now())
}

// excessWindow describes the first window with more loads than the limit, ""
// if there is none.
func (l *loadLog) excessWindow(limit int) string {
	slices.SortFunc(l.at, time.Time.Compare)
	for i := limit; i < len(l.at); i++ {
		if took := l.at[i].Sub(l.at[i-limit]); took < time.Minute {
			return fmt.Sprintf("%d loads within %v", limit+1, took)
		}
	}
	return ""
}

// runConsumer simulates a router that reserves rate tokens and uses them, with
// pauses. Its clock deviates by up to 2.4%, which is just below half of the default
// Margin.
func runConsumer(ctx context.Context, r *rand.Rand, table *storetest.Platform, owner string, log *loadLog) {
	began, speed := time.Now(), 1+(r.Float64()*2-1)*0.024
	now := func() time.Time { return began.Add(time.Duration(float64(time.Since(began)) * speed)) }
	limiter := NewRateLimiter(RateLimiterConfig{Owner: owner, Now: now})
	pause := func(longest time.Duration) { <-time.After(time.Duration(r.Int64N(int64(longest)))) }
	for ctx.Err() == nil {
		pause(3 * time.Second)
		_ = limiter.Reserve(ctx, table, 1+r.IntN(4), testUseTime)
		for r.IntN(4) > 0 {
			token, ok := limiter.Take(now(), testUseTime)
			if !ok {
				break
			}
			if r.IntN(4) == 0 {
				pause(90 * time.Second)
			}
			if token.Usable(now(), testUseTime) {
				pause(time.Duration(float64(testUseTime) / speed))
				log.add()
			}
		}
	}
}

// Guards against more than six model loads in a minute, the rate limit of the
// weight store, caused by lost replies, late writes, tokens used after a pause, or
// tokens that accumulate.
func TestRateNeverExceeded(t *testing.T) {
	loadCount := 0
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) {
			p := storetest.New(storetest.Options{Seed: seed, Now: time.Now, After: func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }})
			probability := float64(seed%4) * 0.1
			p.SetFaults(storetest.Faults{LostReplies: probability, DroppedRequests: probability, LateWrites: probability, DuplicateWrites: probability, LateBy: 30 * time.Second})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Minute)
			defer cancel()
			var l loadLog
			var wg sync.WaitGroup
			for i := range uint64(4) {
				wg.Go(func() { runConsumer(ctx, rand.New(rand.NewPCG(seed, i)), p, fmt.Sprint("r", i), &l) })
			}
			wg.Wait()
			if excess := l.excessWindow(6); excess != "" {
				t.Errorf("seed %d: %s", seed, excess)
			}
			loadCount += len(l.at)
		})
	}
	if t.Logf("%d loads in 1200 minutes", loadCount); loadCount < 2000 {
		t.Errorf("%d loads are too few for a meaningful test", loadCount)
	}
}

// Guards against a limit that holds only if all clocks run at the same rate.
func TestRateMargin(t *testing.T) {
	Convey("A router with a fast clock waits a full minute after the last load of one with a slow clock", t, func() {
		var elapsed time.Duration
		clock := func(rate float64) func() time.Time {
			return func() time.Time { return start.Add(time.Duration(float64(elapsed) * rate)) }
		}
		p := storetest.New(storetest.Options{Now: clock(1)})
		slow := NewRateLimiter(RateLimiterConfig{Owner: "slow", Now: clock(0.976)})
		fast := NewRateLimiter(RateLimiterConfig{Owner: "fast", Now: clock(1.024)})
		So(slow.Reserve(t.Context(), p, 6, 0), ShouldBeNil)
		lastUse := time.Duration(0)
		for ; fast.usable(0) == 0; elapsed += 100 * time.Millisecond {
			if _, ok := slow.Take(slow.cfg.Now(), 0); ok {
				slow.granted[0].count++ // return the token, so that slow can use it until it expires
				lastUse = elapsed
			}
			So(fast.Reserve(t.Context(), p, 1, 0), ShouldBeNil)
		}
		So(lastUse, ShouldBeGreaterThan, 10*time.Second)
		So(elapsed-lastUse, ShouldBeBetween, time.Minute, 70*time.Second)
	})
}

// Guards against a reservation that is lost with the reply to its write, and
// against treating a row that another program has overwritten as empty.
func TestReadBack(t *testing.T) {
	Convey("A reservation whose reply was lost is found by reading the row back", t, func() {
		p := storetest.New(storetest.Options{Now: func() time.Time { return start }})
		p.SetFaults(storetest.Faults{LostReplies: 1})
		r := NewRateLimiter(RateLimiterConfig{Owner: "r1", Now: func() time.Time { return start }})
		So(r.Reserve(t.Context(), p, 2, testUseTime), ShouldNotBeNil)
		So(r.usable(testUseTime), ShouldEqual, 2)
	})
	Convey("A value that is not a rate record is rejected", t, func() {
		for _, text := range []string{"x", `{"reservations":[{"id":"a","count":0}]}`, `{"reservations":[{"id":"a","count":1,"expires_in_ms":-1}]}`} {
			_, err := DecodeRateRecord([]byte(text))
			So(err, ShouldNotBeNil)
		}
	})
}
