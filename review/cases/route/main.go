// Script of a case: an entry of a worker comes from another writer; fields are missing or of
// another type. It names no worker to use.
package main

import (
	"fmt"
	"os"
	"time"

	"auburnlead.example/review/kit"
)

const heartbeatMs = 1200

func main() {
	record := kit.NewRecord(os.Args[1])
	zones := []string{"bengal-west-a", "bengal-west-b", "bengal-west-c"}
	ips := []string{"127.81.1.10", "127.81.2.10", "127.81.3.10"}
	names := []string{"front-bengal-west-a-1", "front-bengal-west-b-1", "front-bengal-west-c-1"}
	const desk, archive = "wuno96b", "huvo11a"
	store := kit.StartStore("127.81.0.1")
	journal := &kit.Journal{}
	service := map[string]string{}
	var workers []*kit.Worker
	for i, name := range []string{desk, archive} {
		for j, zone := range zones {
			w := kit.StartWorker(fmt.Sprintf("127.81.%d.%d", 101+j, 20+i), fmt.Sprintf("i-%08x", 0x7f3e0000+16*i+j), name, zone, 30, 30*time.Millisecond, journal)
			service[w.ID] = name
			workers = append(workers, w)
		}
	}
	for _, w := range workers {
		store.Put("servers", w.ID, w.Entry("ready"))
	}
	store.Put("op", "config", kit.Desired(7, []map[string]any{
		kit.Route("r-1", "/puxa403/", "non_idempotent", desk, 2500, 150, 1),
		kit.Route("r-2", "/cufi504/", "non_idempotent", archive, 2500, 150, 1),
	}, desk, archive))
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
	record.Say("%d machines and %d workers of 2 services are ready", len(machines), len(workers))

	paths := []string{"/puxa403/x", "/cufi504/x"}
	allowed := []string{desk, archive}
	sent := map[string]int{}
	answers := [2]*kit.Answers{{}, {}}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		kit.Press(100, stop, func(n int) {
			route := n / len(clients) % 2
			answers[route].Add(clients[n%len(clients)].Send("POST", paths[route], []byte(`{"well":"north","week":31}`), 2500*time.Millisecond))
		})
	}()
	time.Sleep(3 * time.Second)
	for range 3 {
		victim := workers[0]
		if kit.Trouble() {
			store.Put("servers", victim.ID, map[string]any{"service": archive, "address": victim.Address, "zone": victim.Zone, "slots": 30, "state": "ready", "coldLeftMs": "none"})
			record.Say("another writer: entry servers/%s with service %s, without version and callSeq, coldLeftMs a text", victim.ID, archive)
		}
		time.Sleep(heartbeatMs * time.Millisecond)
		store.Put("servers", victim.ID, victim.Entry("ready"))
		record.Say("heartbeat of worker %s, service %s", victim.ID, victim.Service)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	<-done

	var all []kit.Answer
	for route, list := range answers {
		for _, a := range list.All() {
			sent[a.ID] = route
			all = append(all, a)
		}
	}
	record.Requests(all, journal.All())
	wrong := 0
	for _, a := range journal.All() {
		if route, ok := sent[a.ID]; ok && a.Ran && service[a.Worker] != allowed[route] {
			wrong++
			record.Line("request %s to %s, which goes to service %s only, ran at worker %s of service %s", a.ID, paths[route], allowed[route], a.Worker, service[a.Worker])
		}
	}
	record.Say("%d requests; run by a service to which no desired state allows them to go: %d", len(all), wrong)
	kit.StopAll()
	if wrong > 0 {
		record.Say("ROUTE is broken")
		os.Exit(kit.Broken)
	}
	record.Say("ROUTE held")
}
