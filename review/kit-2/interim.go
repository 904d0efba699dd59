package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["interim"] = interim }

// interim: two of four workers spoil 2 in 100 of their answers: instead of a response
// they send the head of an interim one, with the status 101, and keep the channel open
// for longer than the requester waits. That lasts 6.5 s and comes back every 9 s.
func interim() {
	const spoilShare, window, pause, kept = 0.02, 6500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second
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
				_, _ = io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\n"+headerID+": "+id+"\r\n\r\n")
				time.Sleep(kept)
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
	// A requester waits longer than timeoutMs. As HTTP has it, it reads on after the head of
	// an interim response (1xx).
	const timeout, slack, deadline = 2500 * time.Millisecond, 500 * time.Millisecond, 4 * time.Second
	answered, long, noAnswer, other := 0, 0, 0, 0
	var clients sync.WaitGroup
	end := time.Now().Add(36 * time.Second)
	for n := range 8 {
		clients.Go(func() {
			c := &requester{address: gateways[n%2].front}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				id, sent := fmt.Sprintf("%04x%012x", n, i), time.Now()
				r := c.send(request{id: id, method: "GET", host: host, path: "/look/turn", key: apiKey, deadline: deadline})
				status := r.status
				if status/100 == 1 {
					status = 0
					final, err := http.ReadResponse(c.in, nil)
					if err == nil {
						status = final.StatusCode
					}
					record("AFTER AN INTERIM RESPONSE", id, "status %d, final status %d, %v, %.3f s after it was sent", r.status, status, err, time.Since(sent).Seconds())
					c.close()
				}
				took := time.Since(sent)
				mu.Lock()
				switch {
				case status == http.StatusOK:
					answered++
				case status > 0:
					other++
				}
				if took > timeout {
					long++
					if status == 0 && took > timeout+slack {
						noAnswer++
					}
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
	verdict(noAnswer >= 8 && 4*noAnswer > long, "%d requests answered with 200, %d with another final status; %d lasted longer than timeoutMs, of these %d had no final answer 0.5 s after it (of %d answers that workers spoiled)", answered, other, long, noAnswer, len(spoiled))
}
