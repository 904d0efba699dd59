// Script of a case: a worker's entry is removed while the routers that read the store for
// the others are down for a second.
package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"auburnlead.example/review/kit"
)

const (
	contactMs = 4000 // kupseva-rota-grown
	drainMs   = 3000
	routers   = 21
)

func main() {
	record := kit.NewRecord(os.Args[1])
	ips, names, zones := []string{}, []string{}, []string{}
	zoneNames := []string{"bengal-west-a", "bengal-west-b", "bengal-west-c"}
	for i := range routers {
		ips = append(ips, fmt.Sprintf("127.77.%d.%d", 1+i%3, 10+i/3))
		zones = append(zones, zoneNames[i%3])
		names = append(names, fmt.Sprintf("front-%s-%d", zoneNames[i%3], 1+i/3))
	}
	store := kit.StartStore("127.77.0.1")
	journal := &kit.Journal{}
	var workers []*kit.Worker
	for i := range 7 {
		workers = append(workers, kit.StartWorker(fmt.Sprintf("127.77.%d.%d", 101+i%3, 10+i), fmt.Sprintf("i-%08x", 0x7f3a0000+i), "wuno96b", zoneNames[i%3], 6, 10*time.Millisecond, journal))
	}
	for _, w := range workers[:6] {
		store.Put("servers", w.ID, w.Entry("ready"))
	}
	store.Put("op", "config", kit.Desired(7, []map[string]any{kit.Route("r-1", "/cufi504/", "idempotent", "wuno96b", 2500, 150, 2)}, "wuno96b"))
	machines := kit.Fleet(names, zones, ips, kit.Site{Store: store, GraceS: 8, RetrySlack: 212, Seeds: ips[:3]})
	for _, m := range machines {
		m.Start()
	}
	for _, m := range machines {
		m.AwaitReady(20 * time.Second)
	}
	record.Say("%d machines are ready", len(machines))
	time.Sleep(8 * time.Second) // the fleet has settled

	answers := &kit.Answers{}
	stop := make(chan struct{})
	clients := map[string]*kit.Client{}
	for _, m := range machines {
		clients[m.Name] = kit.NewClient(m)
	}
	reads := store.Readers(3 * time.Second)
	record.Say("machines that read the list of workers in the last 3 s: %v", reads)
	if len(reads) == 0 || len(reads) > 5 {
		kit.Unable("expected a few machines that read the store for the others")
	}
	var calm []*kit.Machine
	for _, m := range machines {
		if !slices.Contains(reads, m.Name) {
			calm = append(calm, m)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		kit.Press(150, stop, func(n int) {
			m := calm[n%len(calm)]
			a := clients[m.Name].Send("GET", "/cufi504/x", nil, 2500*time.Millisecond)
			answers.Add(a)
		})
	}()
	time.Sleep(time.Duration(contactMs) * time.Millisecond)
	record.Say("all machines in touch, requests are served by the %d others", len(calm))

	if kit.Trouble() {
		for _, m := range machines {
			if slices.Contains(reads, m.Name) {
				m.Kill()
				record.Say("killed %s", m.Name)
			}
		}
	}
	time.Sleep(300 * time.Millisecond)
	gone := workers[0]
	removedAt := store.Delete("servers", gone.ID)
	record.Say("the store confirms: entry of worker %s removed; it goes on serving", gone.ID)
	time.Sleep(300 * time.Millisecond)
	store.Put("servers", workers[6].ID, workers[6].Entry("ready"))
	record.Say("the store confirms: entry of worker %s, which replaces it", workers[6].ID)
	time.Sleep(400 * time.Millisecond)
	if kit.Trouble() {
		for _, m := range machines {
			if slices.Contains(reads, m.Name) {
				m.Start()
				record.Say("started %s again", m.Name)
			}
		}
	}
	time.Sleep(12 * time.Second)
	close(stop)
	<-done

	record.Requests(answers.All(), journal.All())
	from := map[string]kit.Answer{}
	for _, a := range answers.All() {
		from[a.ID] = a
	}
	served := map[int]int{}
	for _, a := range from {
		served[a.Status]++
	}
	late, machinesLate := 0, map[string]int{}
	for _, a := range journal.All() {
		if a.Worker != gone.ID {
			continue
		}
		after := a.At.Sub(removedAt)
		if after <= drainMs*time.Millisecond {
			continue
		}
		r := from[a.ID]
		late++
		machinesLate[r.Machine]++
		if late <= 20 {
			record.Line("request %s, sent to %s %.3f s after the confirmation, reached worker %s %.3f s after it and got status %d", a.ID, r.Machine, r.SentAt.Sub(removedAt).Seconds(), a.Worker, after.Seconds(), r.Status)
		}
	}
	record.Say("%d requests answered, by status: %v", len(from), served)
	record.Say("requests that reached %s later than drainMs = %d ms after the confirmation: %d, sent on by %d of %d calm machines", gone.ID, drainMs, late, len(machinesLate), len(calm))
	kit.StopAll()
	if late > 0 {
		record.Say("DRAIN is broken")
		os.Exit(kit.Broken)
	}
	record.Say("DRAIN held")
}
