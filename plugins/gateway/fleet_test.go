package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/routing"
)

// testFleet is a fleet of gateways that exchange gossip messages in memory, and
// engines that can crash. A crashed engine is replaced at the same address.
type testFleet struct {
	network  *fakeNetwork
	gateways []*Gateway
	peers    map[netip.AddrPort]*testGossip
	random   *lockedRand
	ctx      context.Context
	stop     context.CancelFunc
	// serve responds to a request in place of the engine. It returns once the
	// response is complete.
	serve func(e *testEngineProcess, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	stopped []*Gateway           // former processes of routers
	engines []*testEngineProcess // running or crashed, one for each address
	started int
	crashes []time.Time
}

// Times of the test fleet.
const (
	testRestartDelay = 3 * time.Second        // from the crash of an engine to the start of its replacement
	testListDelay    = 500 * time.Millisecond // from the start of an engine until routers list it
	testGossipPeriod = 250 * time.Millisecond
	testTransitTime  = time.Millisecond
)

// lockedRand is a random number generator for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (l *lockedRand) IntN(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.r.IntN(n)
}

// testEngineProcess is one process of an engine.
type testEngineProcess struct {
	routing.WorkerInfo
	fleet    *testFleet
	server   *http.Server
	listener *memoryListener

	mu      sync.Mutex
	crashed bool
}

func newTestFleet(seed uint64, routers, engines int) *testFleet {
	f := &testFleet{
		network: &fakeNetwork{listeners: map[string]*memoryListener{}, unresponsive: map[string]bool{}},
		peers:   map[netip.AddrPort]*testGossip{}, random: &lockedRand{r: rand.New(rand.NewPCG(seed, 1))},
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	for i := range engines {
		f.engines = append(f.engines, f.startEngine(fmt.Sprintf("engine-%d:1", i)))
	}
	f.gateways = make([]*Gateway, routers)
	for i := range routers {
		f.startRouter(i)
	}
	return f
}

// startRouter starts a router, or starts it again without what it knew. Requests at
// its former process go on.
func (f *testFleet) startRouter(i int) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000)
	identity := core.Identity{Router: fmt.Sprintf("r%d", i), FailureDomain: string(rune('a' + i%3))}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gateways[i] != nil {
		f.stopped = append(f.stopped, f.gateways[i])
		f.peers[address].stop()
	}
	p := newTestGossip(f, identity, address)
	f.peers[address] = p
	f.gateways[i] = newTestGateway(f.network, identity, f.list(), p)
	go p.run()
}

func (f *testFleet) peer(address netip.AddrPort) *testGossip {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers[address]
}

func (f *testFleet) close() {
	f.stop()
	for _, g := range append(f.stopped, f.gateways...) {
		g.reachability.stop()
		g.conns.transport.CloseIdleConnections()
	}
	for _, e := range f.engines {
		_ = e.server.Close()
	}
	sleep(time.Minute) // lets the handlers that sleep return
}

// startEngine starts a process with a new ID.
func (f *testFleet) startEngine(address string) *testEngineProcess {
	f.started++
	e := &testEngineProcess{fleet: f, WorkerInfo: routing.WorkerInfo{ID: fmt.Sprintf("engine-%d", f.started), Upstream: testEngine, Address: address, FailureDomain: string(rune('a' + f.started%3)), Slots: 64}}
	e.listener = &memoryListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	e.server = &http.Server{Handler: e, ErrorLog: log.New(io.Discard).StandardLog()}
	f.network.setListener(address, e.listener)
	go func() { _ = e.server.Serve(e.listener) }() // ends with the process
	return e
}

func (f *testFleet) list() []routing.WorkerInfo {
	var list []routing.WorkerInfo
	for _, e := range f.engines {
		list = append(list, e.WorkerInfo)
	}
	return list
}

// ServeHTTP lets the fleet respond, unless the request is for another process.
func (e *testEngineProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(testID, r.Header.Get(testID))
	if r.Header.Get(testWorker) != e.ID {
		w.Header().Set(testNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.fleet.serve(e, w, r)
}

// crash ends the process and all its connections at once, and starts a
// replacement later.
func (e *testEngineProcess) crash() {
	e.mu.Lock()
	crashed := e.crashed
	e.crashed = true
	e.mu.Unlock()
	if crashed {
		return
	}
	f := e.fleet
	f.network.setListener(e.Address, nil)
	_ = e.server.Close() // ends the connections as intended
	f.mu.Lock()
	f.crashes = append(f.crashes, time.Now())
	f.mu.Unlock()
	go func() {
		sleep(testRestartDelay)
		if f.ctx.Err() != nil {
			return
		}
		f.mu.Lock()
		i := slices.Index(f.engines, e)
		f.engines[i] = f.startEngine(e.Address)
		f.mu.Unlock()
		sleep(testListDelay)
		f.mu.Lock()
		list := &routing.WorkerList{Version: int64(f.started), At: time.Now(), Workers: f.list()}
		gateways := slices.Clone(f.gateways)
		f.mu.Unlock()
		for _, g := range gateways {
			g.applyWorkers(list)
		}
	}()
}

func (f *testFleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.crashes)
}

// randomEngine returns a running or crashed engine.
func (f *testFleet) randomEngine() *testEngineProcess {
	i := f.random.IntN(len(f.engines))
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[i]
}

// call sends a request to a random router.
func (f *testFleet) call(id, path, prompt string) *httptest.ResponseRecorder {
	return f.callRouter(f.random.IntN(len(f.gateways)), id, path, prompt)
}

// callRouter sends a request to a router.
func (f *testFleet) callRouter(i int, id, path, prompt string, header ...string) *httptest.ResponseRecorder {
	f.mu.Lock()
	g := f.gateways[i]
	f.mu.Unlock()
	response, _ := callGateway(f.ctx, g, "POST", path, append(header, testID, id, testPrompt, prompt)...)
	return response
}

// testGossip exchanges messages with the other routers of a test fleet. It
// implements core.LoadGossip and core.ExtensionGossip.
type testGossip struct {
	fleet   *testFleet
	address netip.AddrPort
	ctx     context.Context
	stop    context.CancelFunc

	mu      sync.Mutex
	view    *gossip.View
	onLoads func([]routing.Load)
	loads   []int // loads that other routers shared, in the order of their arrival

	extensions []core.GossipExtension
}

func newTestGossip(f *testFleet, identity core.Identity, address netip.AddrPort) *testGossip {
	seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 0}), 7000)
	ctx, stop := context.WithCancel(f.ctx)
	return &testGossip{fleet: f, address: address, ctx: ctx, stop: stop, view: gossip.New(gossip.Config{
		Router: identity.Router, Domain: identity.FailureDomain, Address: address, Seeds: []netip.AddrPort{seed},
		LivenessTimeout: 3 * time.Second, LoadTTL: 3 * time.Second, Random: f.random.IntN,
	})}
}

// run sends messages until the fleet is closed.
func (p *testGossip) run() {
	for p.ctx.Err() == nil {
		p.round(2, 1)
		sleep(testGossipPeriod*3/4 + time.Duration(p.fleet.random.IntN(int(testGossipPeriod/2))))
	}
}

func (p *testGossip) round(sameDomain, otherDomains int) {
	now := time.Now()
	p.mu.Lock()
	targets := p.view.Targets(now, sameDomain, otherDomains)
	messages := append(p.extensionMessages(now, false), p.view.Message(now))
	p.mu.Unlock()
	for _, to := range targets {
		for _, message := range messages {
			p.send(to, message)
		}
	}
}

func (p *testGossip) extensionMessages(now time.Time, starting bool) [][]byte {
	var messages [][]byte
	for _, e := range p.extensions {
		if payload := e.Encode(now, p.view.ExtensionLimit(), starting); payload != nil {
			messages = append(messages, p.view.ExtensionMessage(now, gossip.Extension{Type: e.Type(), Payload: payload}))
		}
	}
	return messages
}

func (p *testGossip) Extend(e core.GossipExtension) { p.extensions = append(p.extensions, e) }

func (p *testGossip) PushExtensions() {
	now := time.Now()
	p.mu.Lock()
	targets := p.view.Targets(now, 4, 2)
	messages := p.extensionMessages(now, false)
	p.mu.Unlock()
	for _, to := range targets {
		for _, message := range messages {
			p.send(to, message)
		}
	}
}

func (p *testGossip) send(to netip.AddrPort, message []byte) {
	if p.ctx.Err() == nil {
		time.AfterFunc(testTransitTime, func() { p.fleet.peer(to).receive(p.address, message) })
	}
}

func (p *testGossip) receive(from netip.AddrPort, message []byte) {
	p.mu.Lock()
	update, err := p.view.Merge(time.Now(), from, message)
	var replies [][]byte
	if update.NeedsReply {
		replies = append(p.extensionMessages(time.Now(), true), p.view.Message(time.Now()))
	}
	p.mu.Unlock()
	if err != nil {
		panic(err)
	}
	for _, received := range update.Extensions {
		for _, e := range p.extensions {
			if e.Type() != received.Type {
				continue
			}
			if err := e.Merge(time.Now(), received.Payload); err != nil {
				panic(err)
			}
		}
	}
	for _, reply := range replies {
		p.send(from, reply)
	}
	if len(update.Loads) > 0 && p.onLoads != nil {
		list := make([]routing.Load, len(update.Loads))
		for i, l := range update.Loads {
			list[i] = routing.Load{WorkerHash: l.WorkerHash, InFlight: l.InFlight, At: l.At}
			p.mu.Lock()
			p.loads = append(p.loads, l.InFlight)
			p.mu.Unlock()
		}
		p.onLoads(list)
	}
}

func (p *testGossip) ReportLoad(worker uint32, inFlight int, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.SetLoad(worker, inFlight, at)
}

func (p *testGossip) PushLoads(workers []uint32) {
	now := time.Now()
	p.mu.Lock()
	targets := p.view.Targets(now, 2, 1)
	message := p.view.LoadMessage(now, workers)
	p.mu.Unlock()
	for _, to := range targets {
		p.send(to, message)
	}
}

func (p *testGossip) RouterCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.RouterCount(time.Now())
}

func (p *testGossip) SubscribeLoads(fn func([]routing.Load)) { p.onLoads = fn }

// inFleet runs a test with a fleet in virtual time (a synctest bubble).
func inFleet(t *testing.T, name string, seed uint64, routers, engines int, body func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		Convey(fmt.Sprintf("%s (seed %d)", name, seed), t, func() {
			f := newTestFleet(seed, routers, engines)
			defer f.close()
			body(f)
		})
	})
}

// hasSharedPart reports whether a prompt has a part that is not its last.
func hasSharedPart(prompt, part string) bool {
	parts := strings.Fields(prompt)
	return len(parts) > 0 && slices.Contains(parts[:len(parts)-1], part)
}

// counterValue returns the sum of a gateway's counter over all tags.
func counterValue(g *Gateway, name string) int64 {
	sum := int64(0)
	for _, c := range g.scope.(tally.TestScope).Snapshot().Counters() {
		if strings.HasSuffix(c.Name(), name) {
			sum += c.Value()
		}
	}
	return sum
}
