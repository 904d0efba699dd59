package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/unreadable"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/routing"
)

// Header names of testCodec.
const (
	testID          = "X-Id"
	testDeadline    = "X-Deadline"
	testKey         = "X-Key"
	testWorker      = "X-Worker"
	testRemaining   = "X-Left"
	testCaller      = "X-Caller"
	testPriority    = "X-Priority"
	testFetchFrom   = "X-Fetch"
	testLastEventID = "Last-Event-Id"
	testPrompt      = "X-Prompt"
	testSeal        = "X-Seal"
	testNotRun      = "X-Not-Run"
	testLoad        = "X-Load"  // requests running
	testLimit       = "X-Limit" // requests a second that the worker takes
	testLeaving     = "X-Leaving"
	testPause       = "X-Pause" // duration
	testCold        = "X-Cold"  // duration
)

// testCodec is a core.HeaderCodec with header names of its own.
type testCodec struct{}

func (testCodec) DecodeRequest(h http.Header) (core.RequestHeader, error) {
	r := core.RequestHeader{ID: h.Get(testID), Key: h.Get(testKey)}
	if v := h.Get(testDeadline); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil {
			return r, err
		}
		r.Timeout = d
	}
	r.LastEventID, _ = strconv.ParseUint(h.Get(testLastEventID), 10, 64)
	var err error
	r.Prompt, err = testCodec{}.ParsePrompt(h.Get(testPrompt))
	return r, err
}

func (testCodec) EncodeAttempt(h http.Header, a core.AttemptHeader) {
	h.Del(testKey)
	h.Set(testWorker, a.Worker)
	h.Set(testRemaining, a.Remaining.String())
	h.Set(testCaller, a.Caller)
	h.Set(testPriority, strconv.Itoa(a.Priority))
	h.Set(testFetchFrom, a.FetchFrom)
	if a.LastEventID > 0 {
		h.Set(testLastEventID, strconv.FormatUint(a.LastEventID, 10))
	}
}

func (testCodec) DecodeResponse(_ int, h http.Header) core.ResponseHeader {
	r := core.ResponseHeader{RequestID: h.Get(testID), Sealed: h.Get(testSeal) != "", NotRun: h.Get(testNotRun) != "", Leaving: h.Get(testLeaving) != ""}
	r.Pause, _ = time.ParseDuration(h.Get(testPause))
	r.ColdLeft, _ = time.ParseDuration(h.Get(testCold))
	if v := h.Get(testLimit); v != "" {
		limit, err := strconv.ParseFloat(v, 64)
		if err == nil {
			r.RateLimit = &limit
		}
	}
	if v := h.Get(testLoad); v != "" {
		running, err := strconv.Atoi(v)
		if err != nil {
			r.Unread = append(r.Unread, unreadable.Input{Kind: unreadable.LoadReport, Text: v, Reason: err})
			return r
		}
		r.Load = &core.WorkerLoad{Running: running}
	}
	return r
}

// fakeNetwork connects the gateway to workers in memory, so that tests run in
// virtual time.
type fakeNetwork struct {
	mu           sync.Mutex
	listeners    map[string]*memoryListener
	unresponsive map[string]bool // addresses that do not respond
	dials        int
}

// dialTimeout is the time after which a connection setup of fakeNetwork fails.
const dialTimeout = 120 * time.Millisecond

func (n *fakeNetwork) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l, unresponsive := n.listeners[address], n.unresponsive[address]
	n.dials++
	n.mu.Unlock()
	if unresponsive {
		select {
		case <-time.After(dialTimeout):
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	ours, theirs := net.Pipe()
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: net.ErrClosed}
	}
}

func (n *fakeNetwork) setUnresponsive(address string, unresponsive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unresponsive[address] = unresponsive
}

// setListener connects an address to a listener. Connections to an address without
// one are refused.
func (n *fakeNetwork) setListener(address string, l *memoryListener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l == nil {
		delete(n.listeners, address)
		return
	}
	n.listeners[address] = l
}

type memoryListener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.address) }

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

// fakeWorker is a worker that responds with a handler and records the requests
// that it received.
type fakeWorker struct {
	routing.WorkerInfo
	mu       sync.Mutex
	requests []*http.Request
	handle   http.HandlerFunc
}

func (w *fakeWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	w.requests = append(w.requests, r)
	handle := w.handle
	w.mu.Unlock()
	rw.Header().Set(testID, r.Header.Get(testID))
	handle(rw, r)
}

func (w *fakeWorker) received() []*http.Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*http.Request(nil), w.requests...)
}

// harness is a gateway with fake workers.
type harness struct {
	*Gateway
	network *fakeNetwork
	workers map[string]*fakeWorker
	servers []*http.Server
	closers []func()
}

// Names of the upstreams in testSet.
const (
	testEngine = "engine"
	testDesk   = "desk"
)

func newHarness(workers ...routing.WorkerInfo) *harness {
	h := &harness{network: &fakeNetwork{listeners: map[string]*memoryListener{}, unresponsive: map[string]bool{}}, workers: map[string]*fakeWorker{}}
	h.Gateway = newTestGateway(h.network, core.Identity{Router: "r1", FailureDomain: "a"}, workers, nil)
	for _, worker := range workers {
		h.startWorker(worker)
	}
	return h
}

// newTestGateway returns a gateway that reaches its workers through a fake network.
func newTestGateway(network *fakeNetwork, identity core.Identity, workers []routing.WorkerInfo, gossip *testGossip) *Gateway {
	s := &Settings{ConnectTimeout: dialTimeout, SilenceTimeout: 700 * time.Millisecond, IdlePerWorker: 4, WorkerIdleTimeout: 2 * time.Second, HeaderBytes: 1 << 16, BodyBytes: 1 << 20, AnswerBytes: 1 << 16, MaxAnswerBytes: maxForwardedInTest, WriteTimeout: 30 * time.Second, EventBytes: 1 << 12, LoadBound: 2, LeavingGrace: 2 * time.Second, MaxPause: time.Hour, RetryRatio: 0.2, RetrySlack: 160, Routers: 16, ColdOver: 1.5, ColdSlack: 5, MaxRouters: 400, LogLines: 100, AdmissionControl: true}
	p := Params{
		Settings: s, Identity: identity, Config: testConfig{testSet()}, Workers: testList{workers},
		Wire: testCodec{}, Readiness: core.NewReadiness(), Addresses: core.NewAddresses(), Logger: log.New(io.Discard), Scope: tally.NewTestScope("", nil),
	}
	if gossip != nil {
		p.Loads, p.Extensions = gossip, gossip
	}
	g := New(p)
	g.conns.dialOnce = network.dial
	return g
}

func (h *harness) startWorker(info routing.WorkerInfo) {
	worker := &fakeWorker{WorkerInfo: info, handle: serveSuccess}
	listener := &memoryListener{address: info.Address, conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: worker, ErrorLog: log.New(io.Discard).StandardLog()}
	h.workers[info.ID] = worker
	h.servers = append(h.servers, server)
	h.network.listeners[info.Address] = listener
	go func() { _ = server.Serve(listener) }() // ends with the test
}

func (h *harness) close() {
	h.reachability.stop()
	h.conns.transport.CloseIdleConnections()
	for _, s := range h.servers {
		_ = s.Close()
	}
	for _, closeListener := range h.closers {
		closeListener()
	}
	sleep(time.Minute) // lets the handlers that sleep return
}

func (h *harness) requestCount() int {
	n := 0
	for _, worker := range h.workers {
		n += len(worker.received())
	}
	return n
}

func (h *harness) setHandlers(handle http.HandlerFunc) {
	for _, worker := range h.workers {
		worker.mu.Lock()
		worker.handle = handle
		worker.mu.Unlock()
	}
}

// call sends a request through the gateway. aborted reports whether the
// connection was closed without completing the response.
func (h *harness) call(method, path string, header ...string) (response *httptest.ResponseRecorder, aborted bool) {
	return h.callContext(context.Background(), method, path, header...)
}

func (h *harness) callContext(ctx context.Context, method, path string, header ...string) (response *httptest.ResponseRecorder, aborted bool) {
	return callGateway(ctx, h.Gateway, method, path, header...)
}

func callGateway(ctx context.Context, g *Gateway, method, path string, header ...string) (response *httptest.ResponseRecorder, aborted bool) {
	return callWithBody(ctx, g, method, path, "body of the request", header...)
}

func callWithBody(ctx context.Context, g *Gateway, method, path, body string, header ...string) (response *httptest.ResponseRecorder, aborted bool) {
	r := httptest.NewRequestWithContext(ctx, method, "http://desk.example"+path, strings.NewReader(body))
	r.Header.Set(testID, "id-1")
	r.Header.Set(testKey, "secret")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response = httptest.NewRecorder()
	defer func() {
		if recovered := recover(); recovered != nil {
			aborted = recovered == http.ErrAbortHandler
		}
	}()
	g.serveRequest(response, r)
	return response, false
}

func serveSuccess(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(testSeal, "s")
	fmt.Fprint(w, "answer")
}

// events writes and flushes the events first to last of a stream.
func events(w http.ResponseWriter, first, last int) {
	for i := first; i <= last; i++ {
		fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush() // the caller may have disconnected
	}
}

func testSet() *objects.Set {
	set, err := objects.Load("set.ini", []byte(`
[rank.normal]
priority = 5
[model.m]
weights = m
[caller.clerks]
key_sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
priority = 1
ranks = normal
default_rank = normal
[upstream.engine]
kind = engine
models = m
worker = e1 a http://10.0.0.1:1
[upstream.desk]
kind = service
worker = s1 a http://10.0.0.1:2
[route.read]
host = desk.example
prefix = /read/
kind = idempotent
timeout = 2s
target = 150ms
max_attempts = 2
destination = desk 1
[route.book]
host = desk.example
prefix = /book/
kind = once
timeout = 2s
max_attempts = 2
destination = desk 1
[route.chat]
host = desk.example
prefix = /chat/
kind = stream
timeout = 10s
gap_target = 800ms
sticky = true
max_attempts = 2
resumable = true
destination = engine 1
[route.once-chat]
host = desk.example
prefix = /chat/once/
kind = stream
timeout = 10s
sticky = true
destination = engine 1
[route.plain-chat]
host = desk.example
prefix = /chat/plain/
kind = stream
timeout = 10s
sticky = true
max_attempts = 2
resumable = true
destination = engine 1
[route.open]
host = desk.example
prefix = /open/
kind = idempotent
public = true
destination = desk 1
`))
	if err != nil {
		panic(err)
	}
	set.Routes["plain-chat"].GapTarget = 0
	return set
}

// desks returns n workers of the service upstream, all in the router's domain.
func desks(n int) []routing.WorkerInfo {
	return newWorkers(testDesk, n, func(int) string { return "a" })
}

// engines returns n workers of the engine upstream, all in the router's domain.
func engines(n int) []routing.WorkerInfo {
	return newWorkers(testEngine, n, func(int) string { return "a" })
}

func newWorkers(upstream string, n int, domain func(i int) string) []routing.WorkerInfo {
	list := make([]routing.WorkerInfo, n)
	for i := range list {
		list[i] = routing.WorkerInfo{ID: fmt.Sprintf("%s-%d", upstream, i), Upstream: upstream, Address: fmt.Sprintf("%s-%d:1", upstream, i), FailureDomain: domain(i), Slots: 8}
	}
	return list
}

type testConfig struct{ set *objects.Set }

func (c testConfig) Current() *core.ConfigRevision {
	return &core.ConfigRevision{Revision: 1, Set: c.set}
}
func (c testConfig) Subscribe(fn func(*core.ConfigRevision)) {
	fn(c.Current())
}

type testList struct{ workers []routing.WorkerInfo }

func (l testList) Workers() *routing.WorkerList {
	return &routing.WorkerList{Version: 1, At: time.Now(), Workers: l.workers}
}
func (l testList) SubscribeWorkers(fn func(*routing.WorkerList)) { fn(l.Workers()) }

// sleep lets virtual time pass.
func sleep(d time.Duration) { <-time.After(d) }

// inBubble runs a test with a harness in virtual time (a synctest bubble).
func inBubble(t *testing.T, name string, workers []routing.WorkerInfo, body func(h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(name, t, func() {
			h := newHarness(workers...)
			defer h.close()
			body(h)
		})
	})
}
