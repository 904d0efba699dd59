package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID     = "Auburnlead-Request-Id"
	headerSeal   = "Auburnlead-Response-Seal"
	headerNotRun = "Auburnlead-Not-Executed"
	headerExpect = "Auburnlead-Expect-Instance"
)

// worker is a stand-in of a worker that speaks HTTP/1.1 and serves one request at a time
// on a channel.
type worker struct {
	id, service, zone, address string
	slots                      int
	answer                     func(c *channel, r *http.Request) bool // false closes the channel
	running                    atomic.Int64
	listener                   net.Listener
	mu                         sync.Mutex
	channels                   map[net.Conn]bool
}

// channel is one connection to a worker.
type channel struct {
	net.Conn
	worker *worker
	body   []byte // of the request
	extra  []byte // bytes that are written before the next response
	served int    // requests on the channel
}

func startWorker(s *store, ip, id, service, zone string, slots int, answer func(*channel, *http.Request) bool) *worker {
	w := &worker{id: id, service: service, zone: zone, slots: slots, answer: answer, listener: listen(ip), channels: map[net.Conn]bool{}}
	w.address = w.listener.Addr().String()
	go w.accept()
	s.put("servers", id, w.entry("ready"))
	return w
}

// entry is what the worker writes to the store.
func (w *worker) entry(state string) map[string]any {
	return map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state, "coldLeftMs": 0, "callSeq": 0, "born": started.UnixMilli()}
}

func (w *worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(&channel{Conn: c, worker: w})
	}
}

func (w *worker) serve(c *channel) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if c.body, err = io.ReadAll(r.Body); err != nil {
			return
		}
		if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
			c.respond(r, http.StatusMisdirectedRequest, "Auburnlead-Instance-Id: "+w.id+"\r\n", "")
			continue
		}
		c.served++
		if !w.answer(c, r) {
			return
		}
	}
}

// head returns the head of a response with its fields in alphabetical order, as many HTTP
// libraries write them. fields come first.
func head(status int, fields, id, seal string, size int) string {
	h := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%s: %s\r\n", status, http.StatusText(status), fields, headerID, id)
	if seal != "" {
		h += headerSeal + ": " + seal + "\r\n"
	}
	return h + fmt.Sprintf("Content-Length: %d\r\n\r\n", size)
}

// respond writes a whole response, after the extra bytes that are due.
func (c *channel) respond(r *http.Request, status int, fields, body string) {
	seal := ""
	if body != "" {
		seal = sealOf(c.worker.id, status, body)
	}
	text := head(status, fields, r.Header.Get(headerID), seal, len(body)) + body
	if len(c.extra) > 0 {
		text, c.extra = string(c.extra)+text, nil
	}
	_, _ = io.WriteString(c, text)
}

// sealOf is a worker's seal of an answer.
func sealOf(id string, status int, body string) string {
	return fmt.Sprintf("%s.%d.%x", id, status, len(body))
}

// run records that a request runs and works for a time.
func (c *channel) run(r *http.Request, work time.Duration) {
	record("run", r.Header.Get(headerID), "worker=%s", c.worker.id)
	ran(r.Header.Get(headerID), c.worker.id)
	time.Sleep(work)
}
