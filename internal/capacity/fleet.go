package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/fx"

	"github.com/auburnlead/auburnlead/internal/core"
	platformstandin "github.com/auburnlead/auburnlead/internal/standin/platform"
	"github.com/auburnlead/auburnlead/kernel"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/publish"
	"github.com/auburnlead/auburnlead/settings"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"

	_ "github.com/auburnlead/auburnlead/plugins/standard" // the router's plug-ins
)

// FleetSize is the size of a fleet that runs in this process.
type FleetSize struct {
	Domains int // failure domains
	Routers int // routers in each domain
	Workers int // workers in each domain
	Set     SetSize
}

// Fleet runs complete routers with default settings on loopback and counts their
// traffic with each other, the platform and the workers.
type Fleet struct {
	Size            FleetSize
	Platform        *storetest.Platform
	Routers         []*Router
	PeerTraffic     Traffic // between routers
	PlatformTraffic Traffic // between routers and the platform
	ReportTraffic   Traffic // load reports, between routers and workers

	set             *objects.Set
	currentRevision publish.Revision
	closers         []func() error
}

// Router is a router of a fleet.
type Router struct {
	ID, Domain string
	Slots      core.SlotClient
	Config     core.Config
	addresses  *core.Addresses
	app        *fx.App
	peerRelay  *Relay
}

const (
	adminKey     = "capacity-admin-key"
	peerKey      = "capacity-peer-key-of-32-characters"
	callerKey    = "capacity-caller-key"
	startTimeout = 30 * time.Second
)

// StartFleet starts the stand-ins and the routers and publishes the first revision.
// The fleet must be closed even after an error. Errors: an address cannot be bound,
// or a router does not start.
func StartFleet(ctx context.Context, size FleetSize) (*Fleet, error) {
	f := &Fleet{Size: size, Platform: platformstandin.New(platformstandin.Settings{Seed: 1})}
	platformAddress, err := f.serve(platformstandin.Handler(f.Platform), &f.PlatformTraffic)
	if err != nil {
		return f, err
	}
	urls, err := f.serveWorkers(size.Domains * size.Workers)
	if err != nil {
		return f, err
	}
	f.set = NewSet(size.Set, size, urls)
	if err := f.Publish(ctx); err != nil {
		return f, err
	}
	for d := range size.Domains {
		for i := range size.Routers {
			if err := f.startRouter(ctx, RouterName(d, i), DomainName(d), "http://"+platformAddress); err != nil {
				return f, err
			}
		}
	}
	return f, nil
}

// idleWorker responds with the load report of a worker without requests.
func idleWorker(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(core.LoadReport{Limit: 16, Models: []string{"rota-8b-v3"}, Role: "mixed"})
}

// serveWorkers starts n workers and returns their URLs.
func (f *Fleet) serveWorkers(n int) ([]string, error) {
	urls := make([]string, n)
	for i := range urls {
		address, err := f.serve(http.HandlerFunc(idleWorker), &f.ReportTraffic)
		if err != nil {
			return nil, err
		}
		urls[i] = "http://" + address
	}
	return urls, nil
}

// serve serves a handler behind a counting relay and returns the relay's address.
func (f *Fleet) serve(h http.Handler, t *Traffic) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: startTimeout}
	go func() { _ = server.Serve(l) }() // returns after Close
	relay, err := NewRelay(t)
	if err != nil {
		return "", err
	}
	relay.SetTarget(l.Addr().String())
	f.closers = append(f.closers, relay.Close, server.Close)
	return relay.Address(), nil
}

func (f *Fleet) startRouter(ctx context.Context, id, domain, platformURL string) error {
	relay, err := NewRelay(&f.PeerTraffic)
	if err != nil {
		return err
	}
	f.closers = append(f.closers, relay.Close)
	source, err := settings.Open("", []string{
		"node.id=" + id, "node.failure_domain=" + domain, "node.log_level=error",
		"caller.listen=127.0.0.1:0", "caller.drain_delay=0s", "admin.listen=127.0.0.1:0", "admin.key=" + adminKey,
		"peer.listen=127.0.0.1:0", "peer.advertise=" + relay.Address(), "peer.key=" + peerKey,
		"platform.url=" + platformURL,
	})
	if err != nil {
		return err
	}
	r := &Router{ID: id, Domain: domain, peerRelay: relay}
	r.app, err = kernel.New("router", source, fx.Populate(&r.Slots, &r.Config, &r.addresses))
	if err != nil {
		return err
	}
	start, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := r.app.Start(start); err != nil {
		return fmt.Errorf("start router %s: %w", id, err)
	}
	relay.SetTarget(r.addresses.Get("peer"))
	f.Platform.PutVM(store.VM{ID: id, Address: relay.Address(), FailureDomain: domain, State: store.VMLive})
	f.Routers = append(f.Routers, r)
	return nil
}

// CallerURL returns the base URL of the router's caller API.
func (r *Router) CallerURL() string { return "http://" + r.addresses.Get("caller") }

// Publish publishes the set as the next revision. Errors: those of publish.
func (f *Fleet) Publish(ctx context.Context) error {
	p := publish.Publisher{Table: f.Platform, Objects: f.Platform.Objects()}
	next, err := p.Submit(ctx, publish.Submission{
		Set: f.set, Base: f.currentRevision.Revision, Token: fmt.Sprint("token-", f.currentRevision.Revision), Author: "capacity", Now: time.Now(),
	})
	if err == nil {
		f.currentRevision = next
	}
	return err
}

// ChangeOneCaller publishes a set in which one caller differs. Errors: those of
// publish.
func (f *Fleet) ChangeOneCaller(ctx context.Context) error {
	next := *f.set
	next.Callers = make(map[string]*objects.Caller, len(f.set.Callers))
	for name, c := range f.set.Callers {
		next.Callers[name] = c
	}
	name := CallerName(int(f.currentRevision.Revision) % max(1, len(f.set.Callers)))
	changed := *f.set.Callers[name]
	changed.Weight++
	next.Callers[name] = &changed
	f.set = &next
	return f.Publish(ctx)
}

// Settle waits until every router has the newest revision, and then for the given
// duration, in which the leases of the workers are handed over to their final
// holders. Errors: ctx has ended, or a router does not have the revision after a
// minute.
func (f *Fleet) Settle(ctx context.Context, wait time.Duration) error {
	deadline := time.Now().Add(2 * startTimeout)
	for f.RoutersUpToDate() < len(f.Routers) {
		if ctx.Err() != nil || time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d routers have the revision", f.RoutersUpToDate(), len(f.Routers))
		}
		sleep(ctx, startTimeout/100)
	}
	sleep(ctx, wait)
	return nil
}

// RoutersUpToDate returns the number of routers that have the newest revision.
func (f *Fleet) RoutersUpToDate() int {
	n := 0
	for _, r := range f.Routers {
		if active := r.Config.Current(); active != nil && active.Revision >= f.currentRevision.Revision {
			n++
		}
	}
	return n
}

// Close stops all routers concurrently and then the stand-ins.
func (f *Fleet) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, r := range f.Routers {
		wg.Go(func() { _ = r.app.Stop(ctx) }) // a router that does not stop in time ends with the process
	}
	wg.Wait()
	for _, c := range f.closers {
		_ = c() // an error is ignored, because the fleet is not used any more
	}
}
