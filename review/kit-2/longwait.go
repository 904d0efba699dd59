package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["long-wait"] = longWait }

// longWait: a desired state changes the timeout of a route from 60 s to 35 s. Requests of
// that route take 40 s, so from then on the gateway has to end them with an answer of its
// own at 35 s.
func longWait() {
	const before, after, work = 60_000, 35_000, 40 * time.Second
	s := newStore()
	for _, zone := range []string{"a", "b", "c"} {
		startWorker(s, "127.0.0.1", "i-"+zone, "desk", zone, 6, func(c *channel, r *http.Request) bool {
			w := work
			if strings.HasPrefix(r.URL.Path, "/short/") {
				w = 30 * time.Millisecond
			}
			c.run(r, w)
			c.respond(r, http.StatusOK, "", "season report "+r.Header.Get(headerID))
			return true
		})
	}
	desired := func(version, timeoutMs int) {
		s.put("op", "config", config(version, route("/report/", "non_idempotent", timeoutMs, 1), route("/short/", "non_idempotent", 2500, 1)))
	}
	desired(1, before)
	g := startGateway("front-1", "127.0.0.1", "a", s.serve(), nil)
	time.Sleep(2 * time.Second)
	if trouble {
		desired(2, after)
		record("the desired state changes", "-", "timeoutMs of the route is %d instead of %d", after, before)
	}
	time.Sleep(3 * time.Second) // configApplyMs is 2,000
	var mu sync.Mutex
	closed, answered, other := 0, 0, 0
	var clients sync.WaitGroup
	for n := range 9 {
		clients.Go(func() {
			c := &requester{address: g.front}
			defer c.close()
			// The first request is answered on the channel, which is kept for the second.
			short := c.send(request{id: fmt.Sprintf("%04x%012x", n, 0), method: "POST", host: host, path: "/short/turn", key: apiKey, body: "turn", deadline: 2500 * time.Millisecond})
			id := fmt.Sprintf("%04x%012x", n, 1)
			kept := c.conn != nil
			long := c.send(request{id: id, method: "POST", host: host, path: "/report/season", key: apiKey, body: "season", deadline: 50 * time.Second})
			mu.Lock()
			defer mu.Unlock()
			switch {
			case short.status != http.StatusOK || !kept || len(runsOf(id)) == 0:
				other++
			case long.err != nil:
				closed++
			default:
				answered++
			}
		})
	}
	clients.Wait()
	if !g.isRunning() {
		cannotRun("the gateway has ended")
	}
	if other > 0 {
		cannotRun("%d requests were not passed on from a kept channel", other)
	}
	verdict(closed > 3, "of 9 requests on kept channels, all passed on to sound workers, %d were answered; %d channels were closed without an answer (the rule allows 3)", answered, closed)
}
