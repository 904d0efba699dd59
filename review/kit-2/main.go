// Command review2 plays the cases of the second review that cannot be put as a day of the
// bench: it starts gateways as separate processes, and is itself the store, the workers
// and the requesters. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

var (
	root, temp string
	gossipPort string
	started    = time.Now()
	trouble    = os.Getenv("TROUBLE") != "0"

	recordMu   sync.Mutex
	recordFile *bufio.Writer
	endings    []func()

	runsMu sync.Mutex
	runs   = map[string][]string{} // workers by request ID
)

// record writes a line of record.txt.
func record(what, id, format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(recordFile, "%9.3f s  %s  request %s  %s\n", time.Since(started).Seconds(), what, id, fmt.Sprintf(format, args...))
}

// ran records that a worker runs a request.
func ran(id, worker string) {
	runsMu.Lock()
	defer runsMu.Unlock()
	runs[id] = append(runs[id], worker)
}

// runsOf returns the workers that ran a request.
func runsOf(id string) []string {
	runsMu.Lock()
	defer runsMu.Unlock()
	return runs[id]
}

// atEnd calls fn before the program ends.
func atEnd(fn func()) { endings = append(endings, fn) }

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case cannot run: "+format+"\n", args...)
	finish(2)
}

func finish(code int) {
	for i := len(endings) - 1; i >= 0; i-- {
		endings[i]()
	}
	recordMu.Lock()
	defer recordMu.Unlock()
	if recordFile != nil {
		_ = recordFile.Flush()
	}
	if temp != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(temp)
	}
	os.Exit(code)
}

// verdict prints and records the result and ends the program.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	result := "the rule held"
	if broken {
		result = "THE RULE WAS BROKEN"
	}
	recordMu.Lock()
	fmt.Fprintf(recordFile, "%s: %s\n", result, text)
	recordMu.Unlock()
	fmt.Printf("%s: %s\n", result, text)
	if broken {
		finish(1)
	}
	finish(0)
}

// limit is the longest time of a case.
const limit = 110 * time.Second

var scenarios = map[string]func(){}

func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE ROOT FOLDER; FOLDER gets record.txt")
		os.Exit(2)
	}
	var err error
	if root, err = filepath.Abs(os.Args[2]); err != nil {
		cannotRun("%v", err)
	}
	f, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		cannotRun("%v", err)
	}
	recordFile = bufio.NewWriter(f)
	if temp, err = os.MkdirTemp("", "review2-"); err != nil {
		cannotRun("%v", err)
	}
	gossipPort = fmt.Sprint(freePort("127.0.0.1"))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
			cannotRun("stopped by a signal")
		case <-time.After(limit):
			cannotRun("it takes longer than %v", limit)
		}
	}()
	scenarios[os.Args[1]]()
}
