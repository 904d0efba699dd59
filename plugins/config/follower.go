package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/publish"
	"github.com/auburnlead/auburnlead/store"
)

// pollJitter is the share of the period by which polls vary, so that routers
// that were started together do not poll together.
const pollJitter = 0.2

// objectTimeout bounds one read from one source, so that a source that hangs
// leaves time for the next one.
const objectTimeout = 2 * time.Second

// startPace is the mean wait before each object after the first startBurst that
// a starting router reads from the platform. 400 routers that start at once
// then make 1,143 of the platform's 2,000 reads a second; the rest is for polls
// and row reads.
const (
	startPace  = 350 * time.Millisecond
	startBurst = 2
	startPause = time.Second
)

// readyPart is the name of this part in core.Readiness.
const readyPart = "config"

// Follower keeps the newest revision in force.
type Follower struct {
	settings   *Settings
	identity   core.Identity
	client     store.Client
	ready      core.Readiness
	jobs       *core.BackgroundPool
	log        *log.Logger
	metrics    metrics
	now        func() time.Time
	store      *publish.LocalStore
	fetching   chan struct{} // holds a token while a revision is fetched
	current    atomic.Pointer[core.ConfigRevision]
	failing    atomic.Bool  // the last poll failed; logged once
	startReads atomic.Int64 // objects read from the platform before the first revision

	peersMu sync.Mutex // level 90
	peers   core.ObjectFetcher
	pending uint64 // newest announced revision whose fetch is queued or runs

	notifyMu    sync.Mutex // level 10; held while subscribers are called
	subscribers []func(*core.ConfigRevision)
	notified    *core.ConfigRevision
}

type metrics struct {
	revision    tally.Gauge
	polls       tally.Counter
	pollErrors  tally.Counter
	fetchErrors tally.Counter
	applied     tally.Counter
	announced   tally.Counter
	fetched     tally.Counter
}

// Params are the parts that a follower needs.
type Params struct {
	fx.In
	Settings  *Settings
	Identity  core.Identity
	Client    store.Client
	Readiness core.Readiness
	Jobs      *core.BackgroundPool
	Log       *log.Logger
	Scope     tally.Scope
	Lifecycle fx.Lifecycle
}

// NewFollower returns a follower that polls between start and stop.
func NewFollower(p Params) *Follower {
	scope := p.Scope.SubScope("config")
	f := &Follower{
		settings: p.Settings, identity: p.Identity, client: p.Client, ready: p.Readiness, jobs: p.Jobs,
		log: p.Log.WithPrefix("config"), now: time.Now, store: publish.NewLocalStore(), fetching: make(chan struct{}, 1),
		metrics: metrics{
			revision:    scope.Gauge("revision"),
			polls:       scope.Counter("polls"),
			pollErrors:  scope.Counter("poll_errors"),
			fetchErrors: scope.Counter("fetch_errors"),
			applied:     scope.Counter("applied"),
			announced:   scope.Counter("announced"),
			fetched:     scope.Counter("fetched_bytes"),
		},
	}
	p.Readiness.Require(readyPart)
	p.Lifecycle.Append(fx.Hook{OnStart: func(context.Context) error {
		f.jobs.Submit(f.poll)
		f.jobs.Every(f.settings.PollPeriod, pollJitter, f.poll)
		return nil
	}})
	return f
}

func (f *Follower) setPeers(p core.ObjectFetcher) {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	f.peers = p
}

// Current implements core.Config.
func (f *Follower) Current() *core.ConfigRevision { return f.current.Load() }

// Subscribe implements core.Config.
func (f *Follower) Subscribe(fn func(*core.ConfigRevision)) {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	f.subscribers = append(f.subscribers, fn)
	if f.notified != nil {
		fn(f.notified)
	}
}

// Object implements core.ObjectSource.
func (f *Follower) Object(digest string) ([]byte, bool) {
	body, err := f.store.Get(context.Background(), digest)
	return body, err == nil
}

// RevisionAnnounced implements core.RevisionSink. It does not block: the revision is
// fetched in the background, from the announcing peers first.
func (f *Follower) RevisionAnnounced(router string, revision uint64, manifest string) {
	if c := f.Current(); c != nil && c.Revision >= revision || !f.claim(revision) {
		return
	}
	f.metrics.announced.Inc(1)
	queued := f.jobs.Submit(func(ctx context.Context) {
		defer f.unclaim(revision)
		// This router announces to itself what its own admin API published;
		// no peer has that yet.
		f.advance(ctx, revision, manifest, router != f.identity.Router)
	})
	if !queued {
		f.unclaim(revision)
	}
}

// claim reports whether the fetch of an announced revision should be queued:
// each revision is announced by every peer, every second.
func (f *Follower) claim(revision uint64) bool {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	if f.pending >= revision {
		return false
	}
	f.pending = revision
	return true
}

func (f *Follower) unclaim(revision uint64) {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	if f.pending == revision {
		f.pending = 0
	}
}

// poll reads the pointer row and follows it.
func (f *Follower) poll(ctx context.Context) {
	f.metrics.polls.Inc(1)
	read, cancel := context.WithTimeout(ctx, f.settings.FetchTimeout)
	newest, err := publish.Newest(read, f.client)
	cancel()
	if err != nil {
		f.metrics.pollErrors.Inc(1)
		if !f.failing.Swap(true) {
			f.log.Warn("poll failed", "err", err)
		}
		f.unready("no revision reached yet: " + err.Error())
		return
	}
	if f.failing.Swap(false) {
		f.log.Info("poll succeeded again")
	}
	if newest.Revision == 0 {
		f.unready("no configuration has been published yet")
		return
	}
	f.advance(ctx, newest.Revision, newest.Manifest, false)
}

// unready states why there is no revision. A router that has one stays ready.
func (f *Follower) unready(reason string) {
	if f.Current() == nil {
		f.ready.SetReady(readyPart, false, reason)
	}
}

// advance fetches a revision and puts it in force.
func (f *Follower) advance(ctx context.Context, revision uint64, manifest string, peersFirst bool) {
	// One fetch at a time: two of them at the start would read the same
	// objects twice and at twice the pace.
	select {
	case f.fetching <- struct{}{}:
		defer func() { <-f.fetching }()
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.settings.FetchTimeout)
	defer cancel()
	applied, err := f.store.Advance(ctx, revision, manifest, f.sources(peersFirst)...)
	if err != nil {
		f.metrics.fetchErrors.Inc(1)
		f.log.Warn("fetch failed", "revision", revision, "err", err)
		f.unready("fetch failed: " + err.Error())
		return
	}
	if applied != nil {
		f.metrics.applied.Inc(1)
		f.notify()
		f.log.Info("revision in force", "revision", applied.Revision)
	}
}

// notify makes the store's revision current and tells the subscribers. The
// store may have moved on meanwhile, so it is asked under the lock.
func (f *Follower) notify() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	s := f.store.Current()
	if f.notified != nil && f.notified.Revision >= s.Revision {
		return
	}
	p := &core.ConfigRevision{Revision: s.Revision, Manifest: s.Manifest, Set: s.Set, AppliedAt: f.now()}
	f.notified = p
	f.current.Store(p)
	f.metrics.revision.Update(float64(p.Revision))
	for _, fn := range f.subscribers {
		fn(p)
	}
	f.ready.SetReady(readyPart, true, "")
}

// sources returns where content is looked for, in order. A router without a
// revision lacks every chunk, so it asks its peers first and the platform at a
// low rate.
func (f *Follower) sources(peersFirst bool) []publish.Source {
	f.peersMu.Lock()
	peers := f.peers
	f.peersMu.Unlock()
	var objects publish.Source = f.client.Objects()
	if f.Current() == nil {
		objects = paced{objects, &f.startReads}
		peersFirst = true
	}
	store := counted{objects, f.metrics.fetched}
	if peers == nil {
		return []publish.Source{store}
	}
	others := counted{peerSource{peers}, f.metrics.fetched}
	if peersFirst {
		return []publish.Source{others, store}
	}
	return []publish.Source{store, others}
}

// peerSource adapts the peers to a publish.Source.
type peerSource struct{ peers core.ObjectFetcher }

// Get implements publish.Source.
func (p peerSource) Get(ctx context.Context, digest string) ([]byte, error) {
	return p.peers.FetchObject(ctx, digest)
}

// paced spreads the object reads of a router that starts. The first ones are
// not delayed, so that a small set is in force at once; the pause after them
// moves the rest out of the second in which all routers read the pointer.
type paced struct {
	publish.Source
	reads *atomic.Int64 // objects read since the start
}

// Get implements publish.Source.
func (p paced) Get(ctx context.Context, digest string) ([]byte, error) {
	delay := rand.N(2 * startPace)
	switch n := p.reads.Add(1); {
	case n <= startBurst:
		delay = 0
	case n == startBurst+1:
		delay += startPause
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(delay):
	}
	return p.Source.Get(ctx, digest)
}

// counted bounds each read of a source and counts the bytes that it returns.
type counted struct {
	publish.Source
	bytes tally.Counter
}

// Get implements publish.Source.
func (c counted) Get(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, objectTimeout)
	defer cancel()
	body, err := c.Source.Get(ctx, digest)
	c.bytes.Inc(int64(len(body)))
	return body, err
}

// Interface guards.
var (
	_ core.Config       = (*Follower)(nil)
	_ core.RevisionSink = (*Follower)(nil)
	_ core.ObjectSource = (*Follower)(nil)
)
