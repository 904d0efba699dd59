package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/membership"
	"github.com/auburnlead/auburnlead/peerpb"
	"github.com/auburnlead/auburnlead/publish"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// Operations fits the CPU time and memory of individual control operations in the
// library packages.
func (m *Measurements) Operations(ctx context.Context) error {
	m.membershipViews()
	m.admissionDecisions()
	return m.configRevisions(ctx)
}

// routerEntry returns a router's entry in the membership view with as many pools as
// at the target size.
func routerEntry(domain, i int) membership.Entry {
	e := membership.Entry{
		Router: RouterName(domain, i), Incarnation: 1_790_000_000_000_000_000, Heartbeat: 1, ContentVersion: 1,
		Domain: DomainName(domain), Address: fmt.Sprintf("10.1.%d.%d:7400", domain, i), Revision: 1900, Manifest: publish.Digest(nil),
	}
	for p := range 3 {
		e.Pools = append(e.Pools, membership.Pool{Upstream: PoolName(p), Workers: 1, InFlight: 10, HeldWorkers: []string{WorkerName(domain, 6*i+p)}})
	}
	return e
}

func entryMessage(e membership.Entry) *peerpb.RouterEntry {
	m := &peerpb.RouterEntry{
		Router: e.Router, FailureDomain: e.Domain, Address: e.Address, Incarnation: e.Incarnation, Heartbeat: e.Heartbeat,
		Leaving: e.Leaving, Revision: e.Revision, Manifest: e.Manifest, Content: e.ContentVersion,
	}
	for _, p := range e.Pools {
		m.Pools = append(m.Pools, &peerpb.PoolLoad{Upstream: p.Upstream, Workers: p.Workers, InFlight: p.InFlight, Held: p.HeldWorkers})
	}
	return m
}

// newView returns a view of n routers in domains of the target size.
func newView(n int, now time.Time) *membership.View {
	v := membership.New(membership.Config{
		Size: func(e membership.Entry) int { return proto.Size(entryMessage(e)) + 3 },
		Rand: rand.New(rand.NewPCG(1, 2)),
	}, routerEntry(0, 0), now)
	for i := range n {
		v.Merge(now, "", []membership.Entry{routerEntry(i/targetDomainRouters, i%targetDomainRouters)})
	}
	return v
}

// membershipViews fits the CPU time of building and merging pushes and of listing
// members, and the memory of a view, over the number of routers in the view.
func (m *Measurements) membershipViews() {
	var push, merge, list, memory []Point
	for _, n := range []int{100, 200, 400, 800} {
		now := time.Unix(1000, 0)
		var v *membership.View
		kept := retainedBytes(func() { v = newView(n, now) })
		x := float64(n)
		memory = append(memory, Point{x, kept})
		push = append(push, Point{x, cpuMicrosPerCall(2000, func(int) {
			now = now.Add(time.Second)
			v.IncrementHeartbeat(now)
			v.Push(now)
		})})
		merge = append(merge, Point{x, cpuMicrosPerCall(2000, func(i int) {
			var statuses []membership.Entry
			for j := 1; j < targetDomainRouters; j++ {
				e := routerEntry(0, j).Status()
				e.Heartbeat = uint64(i + 2)
				statuses = append(statuses, e)
			}
			v.Merge(now, RouterName(0, 1), statuses)
			v.Reply(now, statuses)
		})})
		list = append(list, Point{x, cpuMicrosPerCall(2000, func(int) { v.Members(now) })})
	}
	m.addFit("exchange: build a push", "us", "router in the view", push)
	m.addFit("exchange: merge a push of 21 statuses", "us", "router in the view", merge)
	m.addFit("list the members of a view", "us", "router in the view", list)
	m.addFit("memory of a view", "B", "router in the view", memory)
}

// admissionDecisions fits the CPU time of granting a slot and the memory of the
// queue over the number of queued requests.
func (m *Measurements) admissionDecisions() {
	var grant, memory, workspaces []Point
	for _, n := range []int{0, 100, 400} {
		now := time.Unix(1000, 0)
		q := newQueue(now)
		x := float64(n)
		memory = append(memory, Point{x, retainedBytes(func() { q.fill(now, n, 1) })})
		grant = append(grant, Point{x, cpuMicrosPerCall(5000, func(i int) { q.grantOne(now, i) })})
		byWorkspace := newQueue(now)
		workspaces = append(workspaces, Point{x, retainedBytes(func() { byWorkspace.fill(now, n, n) })})
		byWorkspace.scheduler.InFlight() // keeps the queue reachable until it is measured
	}
	m.addFit("holder: offer, grant and release a slot", "us", "request in the queue", grant)
	m.addFit("memory of the queue, one workspace", "B", "request in the queue", memory)
	m.addFit("memory of the queue, workspace each", "B", "request in the queue", workspaces)
}

// loadedQueue is a scheduler with three workers. The queued requests wait for the
// last one, so that slots of the first two are free for grantOne.
type loadedQueue struct{ scheduler *admission.Scheduler }

func newQueue(now time.Time) *loadedQueue {
	q := &loadedQueue{admission.New(admission.Config{LoadBound: 1.25, Ranks: []admission.RankConfig{
		{Name: "urgent", Floor: 0.3, QueueLimit: 1000, MaxDuration: time.Hour}, {Name: "normal", Priority: 1, Floor: 0.2, QueueLimit: 1000, MaxDuration: time.Hour},
	}})}
	for i := range 3 {
		q.scheduler.SetWorker(now, admission.Worker{ID: WorkerName(0, i), MaxInFlight: 16, Open: true})
	}
	return q
}

// fill enqueues n requests, spread over some workspaces, for a worker without free
// slots.
func (q *loadedQueue) fill(now time.Time, n, workspaces int) {
	q.scheduler.SetWorker(now, admission.Worker{ID: WorkerName(0, 2), Open: true})
	for i := range n {
		q.scheduler.Enqueue(now, admission.Request{
			ID: fmt.Sprintf("attempt-%d", i), Router: RouterName(0, 1), Caller: CallerName(i % 10), Weight: 1,
			Workspace: fmt.Sprintf("workspace-%05d", i%workspaces), Rank: "normal", CostTokens: 900,
			Deadline: now.Add(time.Hour), Workers: []string{WorkerName(0, 2)},
		})
	}
}

// grantOne enqueues a request, grants its slot and releases it.
func (q *loadedQueue) grantOne(now time.Time, i int) {
	id := fmt.Sprintf("turn-%d", i)
	q.scheduler.Enqueue(now, admission.Request{
		ID: id, Router: RouterName(0, 1), Caller: CallerName(1), Weight: 1, Workspace: "w", Rank: "urgent",
		CostTokens: 900, Deadline: now.Add(time.Hour), Workers: []string{WorkerName(0, 0), WorkerName(0, 1)}, AnyWorker: true,
	})
	q.scheduler.Advance(now, func(admission.Grant) {}, func(admission.Refusal) {})
	q.scheduler.Release(now, id, 880)
}

// configRevisions fits the CPU time and memory of publishing and following
// configuration changes over the number of callers in a set with the workers of
// the target size.
func (m *Measurements) configRevisions(ctx context.Context) error {
	var follow, submit, memory, firstRevision, objectCount []Point
	for _, callers := range []int{100, 1000, 4000} {
		platform := storetest.New(storetest.Options{Now: time.Now})
		fleet := &Fleet{Platform: platform, set: NewSet(SetSize{Workers: targetWorkers, Callers: callers}, FleetSize{}, nil)}
		x := float64(callers)
		store := publish.NewLocalStore()
		var err error
		advance := func() {
			if err == nil {
				_, err = store.Advance(ctx, fleet.currentRevision.Revision, fleet.currentRevision.Manifest, platform.Objects())
			}
		}
		if err = fleet.Publish(ctx); err != nil {
			return err
		}
		reads := platform.Stats().Reads
		memory = append(memory, Point{x, retainedBytes(advance)})
		objectCount = append(objectCount, Point{x, float64(platform.Stats().Reads - reads)})
		firstRevision = append(firstRevision, Point{x, cpuMicrosPerCall(1, func(int) {
			_, err = publish.NewLocalStore().Advance(ctx, fleet.currentRevision.Revision, fleet.currentRevision.Manifest, platform.Objects())
		})})
		var submitted float64
		const changes = 10
		total := cpuMicrosPerCall(changes, func(int) {
			submitted += cpuMicros(func() { err = fleet.ChangeOneCaller(ctx) })
			advance()
		})
		if err != nil {
			return err
		}
		submit = append(submit, Point{x, submitted / changes})
		follow = append(follow, Point{x, total - submitted/changes})
	}
	m.addFit("publisher: check and submit one change", "us", "caller object", submit)
	m.addFit("follower: fetch, verify and decode one change", "us", "caller object", follow)
	m.addFit("follower: first revision", "us", "caller object", firstRevision)
	m.addFit("follower: reads of the first revision", "reads", "caller object", objectCount)
	m.addFit("memory of the configuration held", "B", "caller object", memory)
	return nil
}

// cpuMicros returns the CPU time of a call in microseconds. Unlike
// cpuMicrosPerCall, it does not run the garbage collector first.
func cpuMicros(fn func()) float64 {
	start := cpuTime()
	fn()
	return float64((cpuTime() - start).Nanoseconds()) / 1000
}
