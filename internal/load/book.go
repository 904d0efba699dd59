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

// BookPlan describes bookings that are sent again and again with a known set
// of keys, each key several times and by several clients at once.
type BookPlan struct {
	Clients  []*Client
	Path     string // from /v1/services
	Prefix   string // of the keys
	Keys     int
	Rounds   int     // requests for each key
	Rate     float64 // requests a second
	InFlight int
	Timeout  time.Duration // of one request; then its outcome is not known
	Seed     uint64        // of the order of the keys
}

// Booking is one request and its answer. Times are wall-clock nanoseconds.
type Booking struct {
	Key     string       `json:"key"`
	Body    string       `json:"body"`
	Begin   int64        `json:"begin_ns"`
	End     int64        `json:"end_ns"`
	URL     string       `json:"url"`
	Status  int          `json:"status,omitempty"`  // 0 without an answer
	Kind    string       `json:"kind,omitempty"`    // of a problem
	Outcome core.Outcome `json:"outcome,omitempty"` // of a problem
	Answer  string       `json:"answer,omitempty"`
	Error   string       `json:"error,omitempty"`
}

// notRun reports that the caller was told that the request was not run.
func (b *Booking) notRun() bool { return b.Status != 0 && b.Outcome == core.OutcomeNotRun }

func (b *Booking) answered() bool { return b.Status >= 200 && b.Status < 300 }

// bookingBody is the body that belongs to a key.
func bookingBody(key string) string { return fmt.Sprintf(`{"booking":%q}`, key) }

// Book sends the bookings and writes one JSON line for each.
func Book(ctx context.Context, p BookPlan, out io.Writer) error {
	if p.Keys < 1 || p.Rounds < 1 || p.Rate <= 0 || p.InFlight < 1 || len(p.Clients) == 0 {
		return fmt.Errorf("load: keys, rounds, rate, in-flight limit and URLs must be above zero; correct the flags")
	}
	rnd := rand.New(rand.NewPCG(p.Seed, 0))
	tick := time.NewTicker(time.Duration(float64(time.Second) / p.Rate))
	defer tick.Stop()
	slots := make(chan struct{}, p.InFlight)
	var mu sync.Mutex // leaf lock over out
	var failed error
	var wg sync.WaitGroup
	for _, k := range p.order(rnd) {
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
			b := p.book(ctx, client, fmt.Sprintf("%s%d", p.Prefix, k))
			mu.Lock()
			defer mu.Unlock()
			if err := json.NewEncoder(out).Encode(b); err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	return failed
}

// groupKeys is the number of keys that are in use at one time, so that new
// keys come during the whole run.
const groupKeys = 8

// order returns the key of each request: every group of keys in turn, each of
// its keys Rounds times in a random order.
func (p *BookPlan) order(rnd *rand.Rand) (keys []int) {
	for first := 0; first < p.Keys; first += groupKeys {
		for range p.Rounds {
			for _, k := range rnd.Perm(min(groupKeys, p.Keys-first)) {
				keys = append(keys, first+k)
			}
		}
	}
	return keys
}

func (p *BookPlan) book(ctx context.Context, c *Client, key string) Booking {
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
