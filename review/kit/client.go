package kit

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

// Key is the API key of the one tenant.
const Key = "n2ctnfzs989anu6wsjnb"

// Host is the host name of the routes.
const Host = "ficu95.example"

// Answer is what a requester saw.
type Answer struct {
	ID, Machine string
	SentAt      time.Time
	Took        time.Duration
	Status      int // 0: the channel closed without an answer
	Sealed      bool
	Whole       bool
	Body        string
	Err         error
	RetryAfter  string
	Kept        bool // sent on a channel that had served a request before
}

// Client sends requests to one machine on kept channels.
type Client struct {
	Machine *Machine
	http    *http.Client
}

// NewClient returns a client of a machine.
func NewClient(m *Machine) *Client {
	return &Client{Machine: m, http: &http.Client{
		Transport:     &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// NewID returns an ID for one attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Send sends one request. It isn't sent again.
func (c *Client) Send(method, path string, body []byte, deadline time.Duration) Answer {
	a := Answer{ID: NewID(), Machine: c.Machine.Name, SentAt: time.Now()}
	var reader io.Reader
	if body != nil {
		reader = io.NopCloser(bytes.NewReader(body)) // no second sending by the library
	}
	r, err := http.NewRequest(method, "http://"+c.Machine.Frontend+path, reader)
	if err != nil {
		Unable("%v", err)
	}
	if body != nil {
		r.ContentLength = int64(len(body))
	}
	r.Host = Host
	r.Header.Set("Auburnlead-Request-Id", a.ID)
	r.Header.Set("Auburnlead-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	r.Header.Set("Api-Key", Key)
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { a.Kept = i.Reused }}))
	client := *c.http
	client.Timeout = deadline + time.Second
	resp, err := client.Do(r)
	if err != nil {
		a.Err, a.Took = err, time.Since(a.SentAt)
		return a
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	a.Took = time.Since(a.SentAt)
	a.Status, a.Sealed, a.Body = resp.StatusCode, resp.Header.Get("Auburnlead-Response-Seal") != "", string(text)
	a.Whole, a.Err = err == nil, err
	a.RetryAfter = resp.Header.Get("Retry-After")
	return a
}

// Answers collects answers.
type Answers struct {
	mu   sync.Mutex
	list []Answer
}

// Add adds one.
func (a *Answers) Add(x Answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, x)
}

// All returns a copy.
func (a *Answers) All() []Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Answer(nil), a.list...)
}

// Press sends requests at a mean rate, at random times, until stop is closed, each in a
// goroutine of its own, and waits for them. send gets the number of the request.
func Press(perSecond float64, stop <-chan struct{}, send func(n int)) {
	var wg sync.WaitGroup
	at := time.Now()
	for n := 0; ; n++ {
		at = at.Add(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-stop:
			wg.Wait()
			return
		case <-time.After(time.Until(at)):
			wg.Go(func() { send(n) })
		}
	}
}

// Desired returns a desired state with one tenant.
func Desired(version int, routes []map[string]any, services ...string) map[string]any {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{Key}, "priority": 1}},
	}
}

// Route returns a route of a plain service.
func Route(name, prefix, kind, service string, timeoutMs, sloMs, maxAttempts int) map[string]any {
	return map[string]any{"name": name, "host": Host, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "sloMs": sloMs, "priority": 2, "service": service, "maxAttempts": maxAttempts, "public": false, "sticky": false, "resumable": false}
}
