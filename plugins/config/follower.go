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

// pollJitter is the fraction of the period by which polls vary at random, so
// that routers that were started together do not poll together.
const pollJitter = 0.2

// objectReadTimeout limits one read from one source, so that a source that
// hangs leaves time for the next one.
const objectReadTimeout = 2 * time.Second

// startReadDelay is the mean delay before each object that a starting router
// reads from the platform, after the first startBurst objects. With it, 400
// routers that start at the same time make 1,143 of the 2,000 reads a second that the
// platform allows; the rest is left for polls and row reads.
const (
	startReadDelay = 350 * time.Millisecond
	startBurst     = 2
	startPause     = time.Second // added once, after the first startBurst objects; see pacedSource
)

// componentName is the name of this plug-in in core.Readiness.
const componentName = "config"

// Follower keeps the newest published revision active.
type Follower struct {
	settings       *Settings
	identity       core.Identity
	client         store.Client
	ready          core.Readiness
	jobs           *core.BackgroundPool
	log            *log.Logger
	metrics        metrics
	now            func() time.Time
	localStore     *publish.LocalStore
	fetchSemaphore chan struct{} // limits the fetches to one at a time
	current        atomic.Pointer[core.ConfigRevision]
	pollFailing    atomic.Bool  // the last poll failed; only the first failure in a row is logged
	startReads     atomic.Int64 // objects read from the platform before the first revision was active

	peersMu sync.Mutex // lock level 90
	peers   core.ObjectFetcher
	pending uint64 // newest announced revision whose fetch is queued or running

	notifyMu    sync.Mutex // lock level 10; held while subscribers are called
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

// Params are the dependencies of a follower.
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

// NewFollower returns a follower that polls while the application runs.
func NewFollower(p Params) *Follower {
	scope := p.Scope.SubScope("config")
	f := &Follower{
		settings: p.Settings, identity: p.Identity, client: p.Client, ready: p.Readiness, jobs: p.Jobs,
		log: p.Log.WithPrefix("config"), now: time.Now, localStore: publish.NewLocalStore(), fetchSemaphore: make(chan struct{}, 1),
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
	p.Readiness.Require(componentName)
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
	body, err := f.localStore.Get(context.Background(), digest)
	return body, err == nil
}

// RevisionAnnounced implements core.RevisionSink. It does not block: the
// revision is fetched in the background, from the peers first.
func (f *Follower) RevisionAnnounced(router string, revision uint64, manifest string) {
	if c := f.Current(); c != nil && c.Revision >= revision || !f.claimFetch(revision) {
		return
	}
	f.metrics.announced.Inc(1)
	queued := f.jobs.Submit(func(ctx context.Context) {
		defer f.releaseFetch(revision)
		// This router announces to itself what was published through its own admin
		// API; no peer has that revision yet.
		f.fetchAndApply(ctx, revision, manifest, router != f.identity.Router)
	})
	if !queued {
		f.releaseFetch(revision)
	}
}

// claimFetch reports whether the fetch of an announced revision should be
// queued. It prevents duplicates: every peer announces each revision every
// second.
func (f *Follower) claimFetch(revision uint64) bool {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	if f.pending >= revision {
		return false
	}
	f.pending = revision
	return true
}

func (f *Follower) releaseFetch(revision uint64) {
	f.peersMu.Lock()
	defer f.peersMu.Unlock()
	if f.pending == revision {
		f.pending = 0
	}
}

// poll reads the pointer row and activates the revision that it names.
func (f *Follower) poll(ctx context.Context) {
	f.metrics.polls.Inc(1)
	read, cancel := context.WithTimeout(ctx, f.settings.FetchTimeout)
	newest, err := publish.Newest(read, f.client)
	cancel()
	if err != nil {
		f.metrics.pollErrors.Inc(1)
		if !f.pollFailing.Swap(true) {
			f.log.Warn("cannot read the pointer row of the configuration", "err", err)
		}
		f.setNotReady("cannot read the pointer row of the configuration: " + err.Error())
		return
	}
	if f.pollFailing.Swap(false) {
		f.log.Info("the pointer row of the configuration can be read again")
	}
	if newest.Revision == 0 {
		f.setNotReady("no configuration has been published yet")
		return
	}
	f.fetchAndApply(ctx, newest.Revision, newest.Manifest, false)
}

// setNotReady reports why there is no active revision. A router that has one
// stays ready.
func (f *Follower) setNotReady(reason string) {
	if f.Current() == nil {
		f.ready.SetReady(componentName, false, reason)
	}
}

// fetchAndApply fetches a revision and activates it.
func (f *Follower) fetchAndApply(ctx context.Context, revision uint64, manifest string, peersFirst bool) {
	// Only one fetch runs at a time: two concurrent ones at the start would read
	// the same objects twice, at twice the allowed rate.
	select {
	case f.fetchSemaphore <- struct{}{}:
		defer func() { <-f.fetchSemaphore }()
	case <-ctx.Done():
		return
	}
	ctx, cancel := context.WithTimeout(ctx, f.settings.FetchTimeout)
	defer cancel()
	applied, err := f.localStore.Advance(ctx, revision, manifest, f.sources(peersFirst)...)
	if err != nil {
		f.metrics.fetchErrors.Inc(1)
		f.log.Warn("cannot fetch the configuration revision", "revision", revision, "err", err)
		f.setNotReady("cannot fetch the configuration revision: " + err.Error())
		return
	}
	if applied != nil {
		f.metrics.applied.Inc(1)
		f.notify()
		f.log.Info("revision in force", "revision", applied.Revision)
	}
}

// notify makes the local store's revision the active one and notifies the
// subscribers. The local store may have advanced in the meantime, so it is read
// while the lock is held.
func (f *Follower) notify() {
	f.notifyMu.Lock()
	defer f.notifyMu.Unlock()
	snapshot := f.localStore.Current()
	if f.notified != nil && f.notified.Revision >= snapshot.Revision {
		return
	}
	revision := &core.ConfigRevision{Revision: snapshot.Revision, Manifest: snapshot.Manifest, Set: snapshot.Set, AppliedAt: f.now()}
	f.notified = revision
	f.current.Store(revision)
	f.metrics.revision.Update(float64(revision.Revision))
	for _, fn := range f.subscribers {
		fn(revision)
	}
	f.ready.SetReady(componentName, true, "")
}

// sources returns the sources of objects in the order in which they are tried.
// A router without a revision lacks every object, so it asks its peers first
// and the platform at a low rate.
func (f *Follower) sources(peersFirst bool) []publish.Source {
	f.peersMu.Lock()
	peers := f.peers
	f.peersMu.Unlock()
	var objects publish.Source = f.client.Objects()
	if f.Current() == nil {
		objects = pacedSource{objects, &f.startReads}
		peersFirst = true
	}
	platform := countingSource{objects, f.metrics.fetched}
	if peers == nil {
		return []publish.Source{platform}
	}
	peerStore := countingSource{peerSource{peers}, f.metrics.fetched}
	if peersFirst {
		return []publish.Source{peerStore, platform}
	}
	return []publish.Source{platform, peerStore}
}

// peerSource adapts the peers to a publish.Source.
type peerSource struct{ peers core.ObjectFetcher }

// Get implements publish.Source.
func (p peerSource) Get(ctx context.Context, digest string) ([]byte, error) {
	return p.peers.FetchObject(ctx, digest)
}

// pacedSource spreads the object reads of a starting router. The first reads
// are not delayed, so that a small set becomes active without delay. The pause after them
// moves the remaining reads out of the second in which all routers read the
// pointer row.
type pacedSource struct {
	publish.Source
	reads *atomic.Int64 // objects read since the start
}

// Get implements publish.Source.
func (p pacedSource) Get(ctx context.Context, digest string) ([]byte, error) {
	delay := rand.N(2 * startReadDelay)
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

// countingSource limits the duration of each read to objectReadTimeout and counts
// the bytes that are read.
type countingSource struct {
	publish.Source
	bytes tally.Counter
}

// Get implements publish.Source.
func (c countingSource) Get(ctx context.Context, digest string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, objectReadTimeout)
	defer cancel()
	body, err := c.Source.Get(ctx, digest)
	c.bytes.Inc(int64(len(body)))
	return body, err
}

// Compile-time checks of the implemented interfaces.
var (
	_ core.Config       = (*Follower)(nil)
	_ core.RevisionSink = (*Follower)(nil)
	_ core.ObjectSource = (*Follower)(nil)
)
