package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["torn-copy"] = tornCopy }

// tornCopy: three of five workers spoil 3 in 100 of their answers: an additional response
// follows a complete one, breaks off within its first field and arrives late, where the
// next response is expected. That lasts 5 s and comes back every 7 s.
func tornCopy() {
	s := newStore()
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(1, 1))
	spoils := func() bool {
		if time.Since(started)%(7*time.Second) >= 5*time.Second {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		return random.Float64() < 0.03
	}
	work := func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		return 20*time.Millisecond + time.Duration(random.IntN(20))*time.Millisecond
	}
	for i, zone := range []string{"a", "b", "c", "a", "b"} {
		faulty := trouble && i < 3
		startWorker(s, "127.0.0.1", fmt.Sprintf("i-%d", i), "desk", zone, 3, func(c *channel, r *http.Request) bool {
			w, id := c.worker, r.Header.Get(headerID)
			defer w.running.Add(-1)
			status, fields, body := http.StatusOK, "", "booking "+id+" by "+w.id
			if w.running.Add(1) > int64(w.slots) {
				status, fields, body = http.StatusServiceUnavailable, headerNotRun+": 1\r\n", ""
				record("rejected", id, "worker=%s, full", w.id)
			} else {
				c.run(r, work())
			}
			c.respond(r, status, fields, body)
			if faulty && spoils() {
				copied := head(status, fields, id, "", len(body))
				line := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
				first := len(line)
				for copied[first] != ':' {
					first++
				}
				c.extra = []byte(copied[:first+3]) // the name of the first field and the first byte of its value
				record("spoils an answer", id, "worker=%s, additional response %q before the next one on the channel", w.id, c.extra)
			}
			return true
		})
	}
	s.put("op", "config", config(1, route("/book/", "non_idempotent", 2500, 2)))
	address := s.serve()
	var gateways []*gateway
	for i := range 2 {
		gateways = append(gateways, startGateway(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.0.%d", i+1), []string{"a", "b"}[i], address, nil))
	}
	type outcome struct {
		id     string
		result result
	}
	var results []outcome
	var clients sync.WaitGroup
	end := time.Now().Add(40 * time.Second)
	for n := range 22 {
		clients.Go(func() {
			c := &requester{address: gateways[n%2].front}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				r := c.send(request{id: id, method: "POST", host: host, path: "/book/turn", key: apiKey, body: "turn", deadline: 2500 * time.Millisecond})
				mu.Lock()
				results = append(results, outcome{id, r})
				mu.Unlock()
				time.Sleep(10*time.Millisecond + r.retryAfter())
			}
		})
	}
	clients.Wait()
	time.Sleep(300 * time.Millisecond)
	twice, refused, served := 0, 0, 0
	for _, o := range results {
		list := runsOf(o.id)
		if len(list) > 1 {
			twice++
			record("RAN TWICE", o.id, "at %v, answered %d", list, o.result.status)
		}
		if len(list) > 0 && (o.result.status == http.StatusServiceUnavailable || o.result.status == http.StatusTooManyRequests) {
			refused++
			record("RAN AND WAS REFUSED", o.id, "at %v, answered %d", list, o.result.status)
		}
		if o.result.status == http.StatusOK {
			served++
		}
	}
	if served < 100 {
		cannotRun("only %d of %d requests were served", served, len(results))
	}
	verdict(twice+refused > 0, "%d requests, %d served; TWICE: %d non_idempotent requests ran more than once; REFUSED: %d were answered 503 or 429 and had run", len(results), served, twice, refused)
}
