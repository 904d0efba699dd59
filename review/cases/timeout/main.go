// Script of a case: a worker takes requests and never answers them; the route's time is
// longer than 30 s.
package main

import (
	"fmt"
	"os"
	"time"

	"auburnlead.example/review/kit"
)

// Doses of the disruption "srv_grey" with "hang". One of 8 workers is a share of 0.125.
const (
	workerCount = 8
	x           = 0.45
	length      = 6500 * time.Millisecond
)

const (
	timeoutMs = 35_000
	deadline  = 45 * time.Second
)

func main() {
	record := kit.NewRecord(os.Args[1])
	zones := []string{"bengal-west-a", "bengal-west-b", "bengal-west-c"}
	ips := []string{"127.79.1.10", "127.79.2.10", "127.79.3.10"}
	names := []string{"front-bengal-west-a-1", "front-bengal-west-b-1", "front-bengal-west-c-1"}
	store := kit.StartStore("127.79.0.1")
	journal := &kit.Journal{}
	var workers []*kit.Worker
	for i := range workerCount {
		w := kit.StartWorker(fmt.Sprintf("127.79.%d.20", 101+i), fmt.Sprintf("i-%08x", 0x7f3c0000+i), "wuno96b", zones[i%3], 64, 300*time.Millisecond, journal)
		store.Put("servers", w.ID, w.Entry("ready"))
		workers = append(workers, w)
	}
	store.Put("op", "config", kit.Desired(7, []map[string]any{kit.Route("r-2", "/puxa403/", "non_idempotent", "wuno96b", timeoutMs, 150, 1)}, "wuno96b"))
	machines := kit.Fleet(names, zones, ips, kit.Site{Store: store, GraceS: 8, RetrySlack: 58, Seeds: ips})
	for _, m := range machines {
		m.Start()
	}
	var clients []*kit.Client
	for _, m := range machines {
		m.AwaitReady(20 * time.Second)
		clients = append(clients, kit.NewClient(m))
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	record.Say("%d machines and %d workers are ready", len(machines), len(workers))

	answers := &kit.Answers{}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		kit.Press(250, stop, func(n int) {
			answers.Add(clients[n%len(clients)].Send("POST", "/puxa403/x", []byte(`{"well":"north","week":31}`), deadline))
		})
	}()
	time.Sleep(time.Second)
	if kit.Trouble() {
		workers[0].SetHang(x)
		record.Say("worker %s: %.0f in 100 of its requests hang, for %v", workers[0].ID, 100*x, length)
	}
	time.Sleep(length)
	workers[0].SetHang(0)
	record.Say("no more requests hang")
	time.Sleep(time.Second)
	close(stop)
	<-done

	record.Requests(answers.All(), journal.All())
	byStatus, due, without := map[int]int{}, 0, 0
	for _, a := range answers.All() {
		byStatus[a.Status]++
		if a.Took < timeoutMs*time.Millisecond {
			continue
		}
		due++
		if a.Status == 0 || a.Took > (timeoutMs+500)*time.Millisecond {
			without++
		}
		record.Line("request %s to %s, sent on a kept channel: %t: status %d after %.3f s, error %v", a.ID, a.Machine, a.Kept, a.Status, a.Took.Seconds(), a.Err)
	}
	record.Say("%d requests, by status (0: no answer): %v; %d hung", len(answers.All()), byStatus, workers[0].Hung.Load())
	record.Say("still unanswered at the route's timeoutMs of %d: %d; of these without an answer half a second later: %d", timeoutMs, due, without)
	kit.StopAll()
	if 2*without > due {
		record.Say("CONFIG is broken")
		os.Exit(kit.Broken)
	}
	record.Say("CONFIG held")
}
