// Script of a case: a worker writes a refusal once more when the ID of the request that it
// refused comes again on the same channel, and then serves the request.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"auburnlead.example/review/kit"
)

const (
	service  = "wuno96b"
	path     = "/puxa403/x"
	slots    = 4
	deadline = 2500 * time.Millisecond
)

var (
	name     = flag.String("layout", "", "name of the layout; empty prints the names")
	copies   = flag.Bool("copies", true, "the workers write the copies")
	root     = flag.String("root", ".", "root of the repository whose build is started")
	logs     = flag.String("logs", "", "folder for the record and the routers' logs; it must exist")
	rate     = flag.Float64("rate", 450, "requests per second")
	load     = flag.Float64("load", 1, "offered load as a part of what the workers can run")
	requests = flag.Int("requests", 1800, "requests to send")
	subnet   = flag.Int("net", 79, "second byte of the loopback addresses; runs side by side need different ones")
	slack    = flag.Int("slack", 1800, "retry_slack of the routers")
)

func main() {
	flag.Parse()
	if *logs != "" {
		folder, err := filepath.Abs(*logs)
		if err != nil {
			kit.Unable("%v", err)
		}
		*logs = folder
	}
	if err := os.Chdir(*root); err != nil {
		kit.Unable("%v", err)
	}
	for _, l := range layouts {
		if l.name == *name {
			run(l)
			return
		}
		if *name == "" {
			fmt.Println(l.name)
		}
	}
	if *name != "" {
		kit.Unable("no layout %q", *name)
	}
}

// site is the store, the workers and the routers of a run.
type site struct {
	layout
	store    *kit.Store
	arrivals *list[arrival]
	record   *kit.Record
	mu       sync.Mutex
	workers  []*sheddingWorker // the instances that serve
	ended    []*sheddingWorker
	machines []*kit.Machine
	clients  []*client
	answers  list[answer]
	count    int // instance IDs given out
}

func run(l layout) {
	folder := *logs
	if folder == "" {
		folder = kit.TempDir()
	}
	s := &site{layout: l, arrivals: &list[arrival]{}, record: kit.NewRecord(filepath.Join(folder, "record.txt"))}
	s.start()
	before := s.sum(accepted)
	began := time.Now()
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		kit.Press(*rate, stop, s.send)
	}()
	restarts := s.restartUntil(began.Add(time.Duration(float64(*requests) / *rate * float64(time.Second))))
	close(stop)
	<-done
	s.sendRefused()
	opened := s.sum(accepted) - before
	time.Sleep(200 * time.Millisecond) // runs that nobody waits for
	broken := s.report(opened, restarts)
	if *logs != "" {
		for _, m := range s.machines {
			_ = os.WriteFile(filepath.Join(folder, m.Name+".log"), []byte(m.Log()), 0o600)
		}
	}
	kit.StopAll()
	if broken {
		os.Exit(kit.Broken)
	}
}

func (s *site) start() {
	ip := func(last ...any) string { return fmt.Sprintf("127.%d.", *subnet) + fmt.Sprintf("%d.%d", last...) }
	zones := []string{"bengal-west-a", "bengal-west-b", "bengal-west-c"}
	names := []string{"front-bengal-west-a-1", "front-bengal-west-b-1", "front-bengal-west-c-1"}
	ips := []string{ip(1, 10), ip(2, 10), ip(3, 10)}
	s.store = kit.StartStore(ip(0, 1))
	for i := range s.layout.workers {
		w := s.worker(zones[i%3], s.newID())
		w.Start(ip(101+i, 20) + ":0")
		s.store.Put("servers", w.ID, w.Entry("ready"))
		if s.both {
			w.Also = []string{s.newID()}
			s.store.Put("servers", w.Also[0], w.Entry("ready"))
		}
		if s.gone {
			s.store.Put("servers", s.newID(), w.Entry("ready"))
		}
		s.workers = append(s.workers, w)
	}
	kind := "non_idempotent"
	if s.stream {
		kind = "stream"
	}
	route := kit.Route("r-2", "/puxa403/", kind, service, int(deadline.Milliseconds()), 150, 1)
	route["resumable"] = s.resume
	if s.resume {
		route["maxAttempts"] = 3
	}
	s.store.Put("op", "config", kit.Desired(7, []map[string]any{route}, service))
	s.machines = kit.Fleet(names, zones, ips, kit.Site{Store: s.store, GraceS: 2, RetrySlack: *slack, Seeds: ips})
	for _, m := range s.machines {
		m.Start()
	}
	for _, m := range s.machines {
		m.AwaitReady(30 * time.Second)
		s.clients = append(s.clients, newClient(m))
	}
	time.Sleep(2 * time.Second) // all machines are in touch
}

// newID returns a new instance ID.
func (s *site) newID() string {
	s.count++
	return fmt.Sprintf("i-%08x", 0x7f3b0000+s.count)
}

func (s *site) worker(zone, id string) *sheddingWorker {
	w := &sheddingWorker{ID: id, Service: service, Zone: zone, Slots: slots, Refusal: s.refusal, Copies: *copies, CopyAnswers: s.reuse == afterAnswer, Arrivals: s.arrivals, Record: s.record}
	w.Work = time.Duration(*load * float64(slots*s.layout.workers) / *rate * float64(time.Second))
	if s.reuse != "" && s.reuse != inTheEnd {
		w.Work /= 2 // each ID is sent up to twice
	}
	if s.stream {
		w.StreamPath, w.Events = path, 4
	}
	if s.resume {
		w.Broken = 0.3
	}
	return w
}

// send sends the n-th request, and its ID again where the layout says so.
func (s *site) send(n int) {
	c, id := s.clients[n%len(s.clients)], kit.NewID()
	send := func(c *client, attempt int) answer { return s.sendAs(c, id, attempt) }
	var wg sync.WaitGroup
	switch s.reuse {
	case atOnce:
		wg.Go(func() { send(c, 2) })
	case secondRouter:
		wg.Go(func() { send(s.clients[(n+1)%len(s.clients)], 2) })
	}
	a := send(c, 1)
	wg.Wait()
	if s.reuse == afterRefusal && isPromise(a.status) || s.reuse == afterAnswer && a.status == 200 {
		send(c, 2)
	}
}

func (s *site) sendAs(c *client, id string, attempt int) answer {
	a := c.send(id, fmt.Sprintf("%s.%d", id, attempt), []byte(`{"well":"north","week":31}`))
	s.answers.add(a)
	return a
}

// sendRefused sends the IDs of all refused requests again if the layout says so.
func (s *site) sendRefused() {
	for n, a := range s.answers.all() {
		if s.reuse == inTheEnd && isPromise(a.status) {
			for _, c := range s.clients {
				if c.machine.Name == a.machine {
					s.sendAs(c, a.id, n+2)
				}
			}
		}
	}
}

// restartUntil restarts a worker or router now and then until end. It returns how often.
func (s *site) restartUntil(end time.Time) int {
	n := 0
	for ; s.restart != "" && time.Until(end) > time.Second; n++ {
		if s.restart != relist {
			time.Sleep(400 * time.Millisecond)
		}
		switch i := n % len(s.workers); s.restart {
		case workerNew:
			s.restartWorker(i, s.newID())
		case workerSame:
			s.restartWorker(i, s.workers[i].ID)
		case relist:
			w := s.workers[i]
			s.store.Delete("servers", w.ID)
			time.Sleep(time.Second) // until all routers have read the list
			s.store.Put("servers", w.ID, w.Entry("ready"))
			time.Sleep(time.Second)
		case routerTerm, routerKill:
			m := s.machines[n%len(s.machines)]
			if s.restart == routerTerm {
				m.Signal(syscall.SIGTERM)
				time.Sleep(2200 * time.Millisecond) // GraceS and a little more
			}
			m.Kill()
			time.Sleep(100 * time.Millisecond)
			m.Start()
			m.AwaitReady(10 * time.Second)
		}
	}
	time.Sleep(time.Until(end))
	return n
}

// restartWorker ends an instance and starts one at its address. The entry of the one that
// has ended stands until its lease ends, unless the new one writes it.
func (s *site) restartWorker(i int, id string) {
	old := s.workers[i]
	old.Crash()
	w := s.worker(old.Zone, id)
	time.Sleep(50 * time.Millisecond)
	w.Start(old.Address)
	s.store.Put("servers", w.ID, w.Entry("ready"))
	if w.ID != old.ID {
		time.AfterFunc(time.Second, func() { s.store.Delete("servers", old.ID) })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended, s.workers[i] = append(s.ended, old), w
}

func accepted(w *sheddingWorker) int64    { return w.Accepted.Load() }
func cameAgain(w *sheddingWorker) int64   { return w.CameAgain.Load() }
func misdirected(w *sheddingWorker) int64 { return w.Misdirected.Load() }
func copied(w *sheddingWorker) int64      { return w.Copied.Load() }

func (s *site) sum(of func(*sheddingWorker) int64) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := int64(0)
	for _, w := range append(append([]*sheddingWorker(nil), s.workers...), s.ended...) {
		total += of(w)
	}
	return total
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// report prints what was seen, and whether a rule was broken. Streams that may be resumed
// may run more than once.
func (s *site) report(opened int64, restarts int) bool {
	runs, shed := map[string][]string{}, 0
	for _, a := range s.arrivals.all() {
		if a.ran {
			runs[a.attempt] = append(runs[a.attempt], a.worker)
		} else {
			shed++
		}
	}
	all, byStatus := s.answers.all(), map[int]int{}
	twice, refused, foreign, lost := 0, 0, 0, 0
	for _, a := range all {
		byStatus[a.status]++
		ran := runs[a.attempt]
		if len(ran) > 1 && !s.resume {
			twice++
			s.record.Line("TWICE: request %s ran %d times, at %v; the requester got %d", a.attempt, len(ran), ran, a.status)
		}
		if len(ran) > 0 && isPromise(a.status) {
			refused++
			s.record.Line("REFUSED: request %s ran at %v; the requester got %d", a.attempt, ran, a.status)
		}
		if a.status == 200 && !s.stream && !strings.Contains(a.body, a.attempt) {
			foreign++
			s.record.Line("FOREIGN: request %s got %q", a.attempt, a.body)
		}
		if a.status == 502 && len(ran) == 0 {
			lost++
		}
	}
	statuses := []string{}
	for status, n := range byStatus {
		statuses = append(statuses, fmt.Sprintf("%d:%d", status, n))
	}
	sort.Strings(statuses)
	s.record.Say("%-20s requests %d, came again %d, copies %d, ran twice %d, refused and ran %d, answer of another request %d, served %d, 502 %d (of these not run %d), shed %d, 421 %d, connections %d (%.0f per 1,000), restarts %d, by status %v",
		s.name, len(all), s.sum(cameAgain), s.sum(copied), twice, refused, foreign, byStatus[200], byStatus[502], lost, shed, s.sum(misdirected), opened, 1000*float64(opened)/float64(len(all)), restarts, statuses)
	s.reasons()
	if twice+refused > 0 {
		s.record.Say("%-20s TWICE or REFUSED is broken", s.name)
	}
	return twice+refused > 0
}

// reasons prints why attempts failed, as the routers' logs say.
func (s *site) reasons() {
	counts := map[string]int{}
	for _, m := range s.machines {
		for line := range strings.SplitSeq(m.Log(), "\n") {
			switch {
			case strings.Contains(line, `msg="attempt failed"`):
				_, after, _ := strings.Cut(line, " reason=")
				reason, _, _ := strings.Cut(after, " outcome=")
				counts[strings.Trim(reason, `"`)]++
			case strings.Contains(line, "Unsolicited response"):
				counts["unsolicited response"]++
			}
		}
	}
	list := []string{}
	for reason, n := range counts {
		list = append(list, fmt.Sprintf("%s %d", reason, n))
	}
	sort.Strings(list)
	s.record.Say("%-20s failed attempts: %s", s.name, strings.Join(list, ", "))
}
