package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// stoppingCaller sends requests on one connection until the router closes it.
type stoppingCaller struct {
	answered int
	err      error // an answer that was incomplete or not the caller's own
}

// How a caller writes its requests.
const (
	writeWhole     = iota
	writeHalves    // in two parts with a pause between them
	writePipelined // the next request follows before the answer to the one before
	writeModes
)

// run sends requests with IDs that begin with name.
func (c *stoppingCaller) run(address, name string, mode int, pause time.Duration) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	id := func(i int) string { return fmt.Sprintf("%s-%d", name, i) }
	request := func(i int) string {
		return fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: desk.example\r\n%s: %s\r\n%s: secret\r\nContent-Length: 4\r\n\r\nbody", testID, id(i), testKey)
	}
	for i := 0; ; i++ {
		parts := []string{request(i)}
		switch {
		case mode == writeHalves:
			cut := 10 + i%(len(parts[0])-10)
			parts = []string{parts[0][:cut], parts[0][cut:]}
		case mode == writePipelined && i == 0:
			parts = []string{request(0) + request(1)}
		case mode == writePipelined:
			parts = []string{request(i + 1)}
		}
		for _, part := range parts {
			if _, err := io.WriteString(conn, part); err != nil {
				return
			}
			<-time.After(pause)
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return // whether the request had been passed on is seen at the worker
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || string(body) != "answer to "+id(i) {
			c.err = fmt.Errorf("request %s: status %d, body %q: %w", id(i), resp.StatusCode, body, err)
			return
		}
		c.answered++
		if resp.Close {
			return
		}
	}
}

// Guards against requests that are accepted during a planned stop under load and
// cut off without an answer.
func TestPlannedStop(t *testing.T) {
	const stops, callers = 20, 100
	for seed := range uint64(stops) {
		Convey(fmt.Sprintf("Each request that reached a worker was answered, stop %d", seed), t, func() {
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHarness(desks(3)...)
			h.settings.Listen, h.settings.Readiness, h.settings.ReadinessPath = "127.0.0.1:0", "127.0.0.1:0", "/readyz"
			h.settings.DrainDelay, h.settings.StopWithin = time.Duration(random.IntN(40))*time.Millisecond, time.Minute
			var reached atomic.Int64
			h.setHandlers(func(w http.ResponseWriter, r *http.Request) {
				reached.Add(1)
				w.Header().Set(testSeal, "s")
				<-time.After(time.Duration(len(r.Header.Get(testID))%4) * time.Millisecond)
				fmt.Fprint(w, "answer to "+r.Header.Get(testID))
			})
			So(h.server.start(context.Background()), ShouldBeNil)
			address := h.addresses.Get(componentName)
			list := make([]stoppingCaller, callers)
			var running sync.WaitGroup
			for i := range list {
				pause := time.Duration(random.IntN(5)) * time.Millisecond
				running.Go(func() { list[i].run(address, strings.Repeat("x", i%7)+fmt.Sprint(i), i%writeModes, pause) })
			}
			<-time.After(time.Duration(20+random.IntN(30)) * time.Millisecond)
			So(h.server.stop(context.Background()), ShouldBeNil)
			running.Wait()
			answered := 0
			for i := range list {
				So(list[i].err, ShouldBeNil)
				answered += list[i].answered
			}
			So(answered, ShouldEqual, int(reached.Load()))
			So(answered, ShouldBeGreaterThan, 0)
			h.reachability.stop()
			h.conns.transport.CloseIdleConnections()
			for _, s := range h.servers {
				_ = s.Close()
			}
		})
	}
}
