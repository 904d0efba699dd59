// Package kit holds what the cases of the review share: a stand-in for the platform's
// store, one for workers, a client, and the start of the system's own processes.
package kit

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Record writes record.txt: one line per event, with the seconds since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// longest is the time after which a script gives up, within the 120 s that it may run.
const longest = 110 * time.Second

// NewRecord creates the file. It also sees to it that the script ends its processes when it
// is stopped from outside or takes too long.
func NewRecord(path string) *Record {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-stop:
			Unable("stopped by signal: %v", s)
		case <-time.After(longest):
			Unable("not done after %v", longest)
		}
	}()
	f, err := os.Create(path)
	if err != nil {
		Unable("record: %v", err)
	}
	return &Record{file: f, start: time.Now()}
}

// Line writes one event.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one event and prints it.
func (r *Record) Say(format string, args ...any) {
	r.Line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Exit codes of a script.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NoRun  = 2 // the case could not run
)

// Unable ends the script because the case could not run.
func Unable(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	StopAll()
	os.Exit(NoRun)
}

// Trouble reports whether the disruption takes place.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Requests writes one line for each request: what was sent, answered and run.
func (r *Record) Requests(answers []Answer, arrivals []Arrival) {
	reached := map[string]string{}
	for _, a := range arrivals {
		did := "refused it"
		if a.Ran {
			did = "ran it"
		}
		reached[a.ID] += fmt.Sprintf(" %s %s at %.3f s;", a.Worker, did, a.At.Sub(r.start).Seconds())
	}
	for _, a := range answers {
		r.Line("request %s to %s at %.3f s: status %d after %.3f s;%s", a.ID, a.Machine, a.SentAt.Sub(r.start).Seconds(), a.Status, a.Took.Seconds(), reached[a.ID])
	}
}
