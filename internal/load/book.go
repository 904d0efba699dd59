package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
)

// BookPlan describes a run of bookings, which are at-most-once requests to a
// service stand-in, with a known set of idempotency keys. Each key is sent several
// times, possibly by several clients at the same time.
type BookPlan struct {
	Clients  []*Client
	Path     string // below /v1/services
	Prefix   string // prefix of the keys
	Keys     int
	Rounds   int     // number of requests per key
	Rate     float64 // requests per second
	InFlight int
	Timeout  time.Duration // of one request; the outcome of a request that times out is unknown
	Seed     uint64        // seed for the order of the keys and the choice of clients
}

// Booking records one request of a BookPlan and its response. Times are wall-clock
// time in nanoseconds since the epoch.
type Booking struct {
	Key     string       `json:"key"`
	Body    string       `json:"body"`
	Begin   int64        `json:"begin_ns"`
	End     int64        `json:"end_ns"`
	URL     string       `json:"url"`
	Status  int          `json:"status,omitempty"`  // 0 if there was no response
	Kind    string       `json:"kind,omitempty"`    // kind of the problem, if any
	Outcome core.Outcome `json:"outcome,omitempty"` // outcome stated in the problem
	Answer  string       `json:"answer,omitempty"`
	Error   string       `json:"error,omitempty"`
}

// notRun reports whether the caller was told that the request was not run.
func (b *Booking) notRun() bool { return b.Status != 0 && b.Outcome == core.OutcomeNotRun }

func (b *Booking) answered() bool { return b.Status >= 200 && b.Status < 300 }

// bookingBody returns the request body for a key.
func bookingBody(key string) string { return fmt.Sprintf(`{"booking":%q}`, key) }

// Book sends the bookings and writes one JSON line for each.
func Book(ctx context.Context, p BookPlan, out io.Writer) error {
	if p.Keys < 1 || p.Rounds < 1 || p.Rate <= 0 || p.InFlight < 1 || len(p.Clients) == 0 {
		return fmt.Errorf("load: keys, rounds, rate and in-flight limit must be above zero and at least one URL given; correct the flags")
	}
	rnd := rand.New(rand.NewPCG(p.Seed, 0))
	tick := time.NewTicker(time.Duration(float64(time.Second) / p.Rate))
	defer tick.Stop()
	slots := make(chan struct{}, p.InFlight)
	var mu sync.Mutex // leaf lock; guards out
	var writeErr error
	var wg sync.WaitGroup
	for _, k := range p.keySequence(rnd) {
		client := p.Clients[rnd.IntN(len(p.Clients))]
		select {
		case <-ctx.Done():
			wg.Wait()
			return ctx.Err()
		case <-tick.C:
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			b := p.sendBooking(ctx, client, fmt.Sprintf("%s%d", p.Prefix, k))
			mu.Lock()
			defer mu.Unlock()
			if err := json.NewEncoder(out).Encode(b); err != nil {
				writeErr = err
			}
		})
	}
	wg.Wait()
	return writeErr
}

// keysPerGroup is the number of keys that are in use at a time, so that new
// keys appear during the whole run.
const keysPerGroup = 8

// keySequence returns the key of each request: the groups of keys one after the
// other, each key of a group Rounds times in random order.
func (p *BookPlan) keySequence(rnd *rand.Rand) (keys []int) {
	for first := 0; first < p.Keys; first += keysPerGroup {
		for range p.Rounds {
			for _, k := range rnd.Perm(min(keysPerGroup, p.Keys-first)) {
				keys = append(keys, first+k)
			}
		}
	}
	return keys
}

func (p *BookPlan) sendBooking(ctx context.Context, c *Client, key string) Booking {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	b := Booking{Key: key, Body: bookingBody(key), URL: c.URL, Begin: time.Now().UnixNano()}
	r, err := c.Service(ctx, "POST", p.Path, []byte(b.Body), key)
	b.End = time.Now().UnixNano()
	switch {
	case err != nil:
		b.Error = err.Error()
	case r.Problem != nil:
		b.Status, b.Outcome = r.Status, r.Problem.Outcome
		b.Kind = strings.TrimPrefix(r.Problem.Type, "urn:auburnlead:problem:")
	default:
		b.Status, b.Answer = r.Status, r.Body
	}
	return b
}
