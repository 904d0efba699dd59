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

// Operations fits the processor time of single kinds of control work in the
// library packages.
func (s *Slopes) Operations(ctx context.Context) error {
	s.views()
	s.decisions()
	return s.revisions(ctx)
}

// entry is a router's entry with pools as at the target size.
func entry(domain, i int) membership.Entry {
	e := membership.Entry{
		Router: RouterName(domain, i), Incarnation: 1_790_000_000_000_000_000, Heartbeat: 1, ContentVersion: 1,
		Domain: DomainName(domain), Address: fmt.Sprintf("10.1.%d.%d:7400", domain, i), Revision: 1900, Manifest: publish.Digest(nil),
	}
	for p := range 3 {
		e.Pools = append(e.Pools, membership.Pool{Upstream: PoolName(p), Workers: 1, InFlight: 10, HeldWorkers: []string{WorkerName(domain, 6*i+p)}})
	}
	return e
}

func message(e membership.Entry) *peerpb.RouterEntry {
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
		Size: func(e membership.Entry) int { return proto.Size(message(e)) + 3 },
		Rand: rand.New(rand.NewPCG(1, 2)),
	}, entry(0, 0), now)
	for i := range n {
		v.Merge(now, "", []membership.Entry{entry(i/targetDomainRouters, i%targetDomainRouters)})
	}
	return v
}

// views fits pushes, merges and listings over the routers of a view.
func (s *Slopes) views() {
	var push, merge, list, memory []Point
	for _, n := range []int{100, 200, 400, 800} {
		now := time.Unix(1000, 0)
		var v *membership.View
		kept := bytesKept(func() { v = newView(n, now) })
		x := float64(n)
		memory = append(memory, Point{x, kept})
		push = append(push, Point{x, microsEach(2000, func(int) {
			now = now.Add(time.Second)
			v.IncrementHeartbeat(now)
			v.Push(now)
		})})
		merge = append(merge, Point{x, microsEach(2000, func(i int) {
			var news []membership.Entry
			for j := 1; j < targetDomainRouters; j++ {
				e := entry(0, j).Status()
				e.Heartbeat = uint64(i + 2)
				news = append(news, e)
			}
			v.Merge(now, RouterName(0, 1), news)
			v.Reply(now, news)
		})})
		list = append(list, Point{x, microsEach(2000, func(int) { v.Members(now) })})
	}
	s.add("exchange: build a push", "us", "router in the view", push)
	s.add("exchange: merge a push of 21 statuses", "us", "router in the view", merge)
	s.add("list the members of a view", "us", "router in the view", list)
	s.add("memory of a view", "B", "router in the view", memory)
}

// decisions fits the holder's decision over the requests in its queue.
func (s *Slopes) decisions() {
	var grant, memory, spaces []Point
	for _, n := range []int{0, 100, 400} {
		now := time.Unix(1000, 0)
		q := newQueue(now)
		x := float64(n)
		memory = append(memory, Point{x, bytesKept(func() { q.fill(now, n, 1) })})
		grant = append(grant, Point{x, microsEach(5000, func(i int) { q.turn(now, i) })})
		distinct := newQueue(now)
		spaces = append(spaces, Point{x, bytesKept(func() { distinct.fill(now, n, n) })})
		distinct.s.InFlight()
	}
	s.add("holder: offer, grant and release a slot", "us", "request in the queue", grant)
	s.add("memory of the queue, one workspace", "B", "request in the queue", memory)
	s.add("memory of the queue, workspace each", "B", "request in the queue", spaces)
}

// queue is a scheduler with three workers, one of which is free for turns.
type queue struct{ s *admission.Scheduler }

func newQueue(now time.Time) *queue {
	q := &queue{admission.New(admission.Config{LoadBound: 1.25, Ranks: []admission.RankConfig{
		{Name: "urgent", Floor: 0.3, QueueLimit: 1000, MaxDuration: time.Hour}, {Name: "normal", Priority: 1, Floor: 0.2, QueueLimit: 1000, MaxDuration: time.Hour},
	}})}
	for i := range 3 {
		q.s.SetWorker(now, admission.Worker{ID: WorkerName(0, i), MaxInFlight: 16, Open: true})
	}
	return q
}

// fill puts n requests of some workspaces into the queue of a full worker.
func (q *queue) fill(now time.Time, n, workspaces int) {
	q.s.SetWorker(now, admission.Worker{ID: WorkerName(0, 2), Open: true})
	for i := range n {
		q.s.Enqueue(now, admission.Request{
			ID: fmt.Sprintf("attempt-%d", i), Router: RouterName(0, 1), Caller: CallerName(i % 10), Weight: 1,
			Workspace: fmt.Sprintf("workspace-%05d", i%workspaces), Rank: "normal", CostTokens: 900,
			Deadline: now.Add(time.Hour), Workers: []string{WorkerName(0, 2)},
		})
	}
}

func (q *queue) turn(now time.Time, i int) {
	id := fmt.Sprintf("turn-%d", i)
	q.s.Enqueue(now, admission.Request{
		ID: id, Router: RouterName(0, 1), Caller: CallerName(1), Weight: 1, Workspace: "w", Rank: "urgent",
		CostTokens: 900, Deadline: now.Add(time.Hour), Workers: []string{WorkerName(0, 0), WorkerName(0, 1)}, AnyWorker: true,
	})
	q.s.Advance(now, func(admission.Grant) {}, func(admission.Refusal) {})
	q.s.Release(now, id, 880)
}

// revisions fits the processor time and memory of following the configuration
// over the callers of a set with the target's workers.
func (s *Slopes) revisions(ctx context.Context) error {
	var follow, submit, memory, first, objectCount []Point
	for _, callers := range []int{100, 1000, 4000} {
		p := storetest.New(storetest.Options{Now: time.Now})
		f := &Fleet{Platform: p, set: NewSet(SetSize{Workers: targetWorkers, Callers: callers}, FleetSize{}, nil)}
		x := float64(callers)
		store := publish.NewLocalStore()
		var err error
		advance := func() {
			if err == nil {
				_, err = store.Advance(ctx, f.current.Revision, f.current.Manifest, p.Objects())
			}
		}
		if err = f.Publish(ctx); err != nil {
			return err
		}
		reads := p.Stats().Reads
		memory = append(memory, Point{x, bytesKept(advance)})
		objectCount = append(objectCount, Point{x, float64(p.Stats().Reads - reads)})
		first = append(first, Point{x, microsEach(1, func(int) {
			_, err = publish.NewLocalStore().Advance(ctx, f.current.Revision, f.current.Manifest, p.Objects())
		})})
		var submitted float64
		const changes = 10
		total := microsEach(changes, func(int) {
			submitted += microsOnce(func() { err = f.ChangeOneCaller(ctx) })
			advance()
		})
		if err != nil {
			return err
		}
		submit = append(submit, Point{x, submitted / changes})
		follow = append(follow, Point{x, total - submitted/changes})
	}
	s.add("publisher: check and submit one change", "us", "caller object", submit)
	s.add("follower: fetch, verify and decode one change", "us", "caller object", follow)
	s.add("follower: first revision", "us", "caller object", first)
	s.add("follower: reads of the first revision", "reads", "caller object", objectCount)
	s.add("memory of the configuration held", "B", "caller object", memory)
	return nil
}

// microsOnce is microsEach of one call without a collection before it.
func microsOnce(fn func()) float64 {
	start := processorTime()
	fn()
	return float64((processorTime() - start).Nanoseconds()) / 1000
}
