// Script of a case: a requester's request has a length and is in chunks; its body holds
// another request.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"auburnlead.example/review/kit"
)

const times = 20

func main() {
	record := kit.NewRecord(os.Args[1])
	zones := []string{"bengal-west-a", "bengal-west-b", "bengal-west-c"}
	ips := []string{"127.84.1.10", "127.84.2.10", "127.84.3.10"}
	names := []string{"front-bengal-west-a-1", "front-bengal-west-b-1", "front-bengal-west-c-1"}
	store := kit.StartStore("127.84.0.1")
	journal := &kit.Journal{}
	for i, zone := range zones {
		w := kit.StartWorker(fmt.Sprintf("127.84.%d.20", 101+i), fmt.Sprintf("i-%08x", 0x7f3f0000+i), "wuno96b", zone, 30, 30*time.Millisecond, journal)
		store.Put("servers", w.ID, w.Entry("ready"))
	}
	store.Put("op", "config", kit.Desired(7, []map[string]any{kit.Route("r-2", "/puxa403/", "non_idempotent", "wuno96b", 2500, 150, 1)}, "wuno96b"))
	machines := kit.Fleet(names, zones, ips, kit.Site{Store: store, GraceS: 8, RetrySlack: 58, Seeds: ips})
	for _, m := range machines {
		m.Start()
	}
	for _, m := range machines {
		m.AwaitReady(20 * time.Second)
	}
	time.Sleep(4 * time.Second) // all machines are in touch
	record.Say("%d machines are ready", len(machines))

	sent := map[string]bool{}
	inside := map[string]string{} // ID of the inner request to that of the request that it is in
	answered, unasked := 0, 0
	for n := range times {
		m := machines[n%len(machines)]
		outer, inner := kit.NewID(), kit.NewID()
		sent[outer], inside[inner] = true, outer
		body := "0\r\n\r\nPOST /puxa403/inner HTTP/1.1\r\nHost: " + kit.Host + "\r\nAuburnlead-Request-Id: " + inner + "\r\nApi-Key: " + kit.Key + "\r\nContent-Length: 0\r\n\r\n"
		head := "POST /puxa403/x HTTP/1.1\r\nHost: " + kit.Host + "\r\nAuburnlead-Request-Id: " + outer + "\r\nAuburnlead-Deadline-Ms: 2500\r\nApi-Key: " + kit.Key + "\r\nContent-Length: " + fmt.Sprint(len(body)) + "\r\n"
		if kit.Trouble() {
			head += "Transfer-Encoding: chunked\r\n"
		}
		c, err := net.Dial("tcp", m.Frontend)
		if err != nil {
			kit.Unable("%v", err)
		}
		if _, err := io.WriteString(c, head+"\r\n"+body); err != nil {
			kit.Unable("%v", err)
		}
		_ = c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			record.Line("request %s to %s, length %d, chunked %t: no answer: %v", outer, m.Name, len(body), kit.Trouble(), err)
			_ = c.Close()
			continue
		}
		text, _ := io.ReadAll(resp.Body)
		answered++
		rest, _ := io.ReadAll(in)
		record.Line("request %s to %s, length %d, chunked %t: status %d %q; after that, with no request waiting: %d bytes %q", outer, m.Name, len(body), kit.Trouble(), resp.StatusCode, bytes.TrimSpace(text), len(rest), firstLine(rest))
		if len(rest) > 0 {
			unasked++
		}
		_ = c.Close()
	}
	time.Sleep(time.Second)
	smuggled := 0
	for _, a := range journal.All() {
		if !a.Ran {
			continue
		}
		if outer := inside[a.ID]; outer != "" {
			smuggled++
			record.Line("worker %s ran request %s, which was inside request %s", a.Worker, a.ID, outer)
			continue
		}
		record.Line("worker %s ran request %s, which a requester sent: %t", a.Worker, a.ID, sent[a.ID])
	}
	record.Say("%d requests sent, %d answered; requests run that were smuggled inside another one: %d; answers on a channel with no request waiting: %d", times, answered, smuggled, unasked)
	kit.StopAll()
	if smuggled > 0 {
		record.Say("UNASKED is broken")
		os.Exit(kit.Broken)
	}
	record.Say("UNASKED held")
}

func firstLine(b []byte) string {
	line, _, _ := strings.Cut(string(b), "\r\n")
	return line
}
