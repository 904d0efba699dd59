package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["interim"] = interim }

// interim: two of four workers spoil 5 in 100 of their answers: instead of a response
// they send a whole head with the status 101, which says that the channel ends with it,
// and close the channel. That lasts 6.5 s and comes back every 9 s.
func interim() {
	const spoilShare, window, pause = 0.05, 6500 * time.Millisecond, 2500 * time.Millisecond
	s := newStore()
	var mu sync.Mutex
	count, spoiled := 0, map[string]bool{}
	spoils := func(id string) bool {
		mu.Lock()
		defer mu.Unlock()
		count++
		if time.Since(started)%(window+pause) >= window || count%int(1/spoilShare) != 0 {
			return false
		}
		spoiled[id] = true
		return true
	}
	for i, zone := range []string{"a", "b", "c", "a"} {
		faulty := trouble && i < 2
		startWorker(s, "127.0.0.1", fmt.Sprintf("i-%d", i), "desk", zone, 6, func(c *channel, r *http.Request) bool {
			id := r.Header.Get(headerID)
			c.run(r, 20*time.Millisecond)
			if faulty && spoils(id) {
				record("spoils an answer", id, "worker=%s, bytes that are no response, status 101", c.worker.id)
				_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\n"+headerID+": "+id+"\r\nConnection: close\r\n\r\n")
				return false
			}
			c.respond(r, http.StatusOK, "", "turn of "+id)
			return true
		})
	}
	s.put("op", "config", config(1, route("/look/", "idempotent", 2500, 2)))
	address := s.serve()
	var gateways []*gateway
	for i := range 2 {
		gateways = append(gateways, startGateway(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("127.0.0.%d", i+1), []string{"a", "b"}[i], address, nil))
	}
	answered, noAnswer, other := 0, 0, 0
	var clients sync.WaitGroup
	end := time.Now().Add(36 * time.Second)
	for n := range 8 {
		clients.Go(func() {
			c := &requester{address: gateways[n%2].front}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("%04x%012x", n, i)
				r := c.send(request{id: id, method: "GET", host: host, path: "/look/turn", key: apiKey, deadline: 2500 * time.Millisecond})
				mu.Lock()
				switch {
				case r.status == http.StatusOK:
					answered++
				case r.status == http.StatusSwitchingProtocols:
					noAnswer++
					mu.Unlock()
					_, err := http.ReadResponse(c.in, nil) // a final response, if one follows
					record("NO FINAL ANSWER", id, "status 101 without an upgrade, then %v", err)
					c.close()
					mu.Lock()
				default:
					other++
				}
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	if answered < 100 {
		cannotRun("only %d requests were answered", answered)
	}
	verdict(noAnswer > 0, "%d requests answered with 200, %d with another final status, %d got bytes that are no answer (of %d answers that workers spoiled)", answered, other, noAnswer, len(spoiled))
}
