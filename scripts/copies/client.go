package main

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"auburnlead.example/review/kit"
)

// attemptHeader names a request apart from its ID, which a caller may use again.
const attemptHeader = "Review-Attempt"

// list collects values of several goroutines.
type list[T any] struct {
	mu     sync.Mutex
	values []T
}

func (l *list[T]) add(v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = append(l.values, v)
}

// all returns a copy.
func (l *list[T]) all() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]T(nil), l.values...)
}

// arrival is a request that reached a worker.
type arrival struct {
	attempt, worker string
	ran             bool
}

// answer is what a caller saw. Status 0 stands for a channel that closed without one.
type answer struct {
	id, attempt, machine string
	status               int
	body                 string
}

// client sends requests to one router on kept channels.
type client struct {
	machine *kit.Machine
	http    *http.Client
}

func newClient(m *kit.Machine) *client {
	return &client{m, &http.Client{
		Timeout:   deadline + time.Second,
		Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second},
	}}
}

// send sends one request. It isn't sent again.
func (c *client) send(id, attempt string, body []byte) answer {
	a := answer{id: id, attempt: attempt, machine: c.machine.Name}
	r, err := http.NewRequest(http.MethodPost, "http://"+c.machine.Frontend+path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		kit.Unable("%v", err)
	}
	r.ContentLength = int64(len(body))
	r.Host = kit.Host
	r.Header.Set("Auburnlead-Request-Id", id)
	r.Header.Set("Auburnlead-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Api-Key", kit.Key)
	r.Header.Set(attemptHeader, attempt)
	resp, err := c.http.Do(r)
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // a stream may break off
	a.status, a.body = resp.StatusCode, string(text)
	return a
}
