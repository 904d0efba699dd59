package capacity

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"github.com/auburnlead/auburnlead/peerpb"
)

const callTimeout = 5 * time.Second

// peerCall is a kind of call between routers.
type peerCall struct {
	name   string
	invoke func(ctx context.Context, c peerpb.PeerClient, i int) error
}

// Calls measures individual calls to a router over loopback: bytes in both
// directions including framing, and CPU time of client and server together.
func (m *Measurements) Calls(ctx context.Context, times MeasureTimes) error {
	f, err := StartFleet(ctx, FleetSize{Domains: 1, Routers: 2, Workers: 6, Set: SetSize{Workers: targetWorkers, Callers: targetCallers}})
	if err != nil {
		f.Close() // close what was started
		return err
	}
	defer f.Close()
	if err := f.Settle(ctx, times.Settle); err != nil {
		return err
	}
	pool, worker, err := f.workerHeldByFirst(ctx)
	if err != nil {
		return err
	}
	for _, c := range f.peerCalls(pool, worker) {
		if err := m.measureCall(ctx, f, c); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return nil
}

// workerHeldByFirst returns a worker whose lease the first router holds, and its
// upstream. Errors: there is none, or a call failed.
func (f *Fleet) workerHeldByFirst(ctx context.Context) (pool, worker string, err error) {
	conn, err := grpc.NewClient("passthrough:///"+f.Routers[0].addresses.Get("peer"), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return "", "", err
	}
	defer conn.Close()
	keyed := metadata.AppendToOutgoingContext(ctx, "x-peer-key", peerKey)
	for i := range f.Size.Workers {
		pool, worker = PoolName(i), WorkerName(0, i)
		reply, err := peerpb.NewPeerClient(conn).Acquire(keyed, &peerpb.AcquireRequest{
			Attempt: fmt.Sprint("find-", i), Router: "capacity", Upstream: pool, Workers: []string{worker}, Caller: CallerName(1), Rank: "normal", WaitMs: 1,
		})
		if err != nil || reply.GetGranted() {
			return pool, worker, err
		}
	}
	return "", "", errors.New("the first router holds no worker")
}

// peerCalls returns the calls to measure, with messages as large as at the target
// size.
func (f *Fleet) peerCalls(pool, worker string) []peerCall {
	self := RouterName(0, 21)
	push := &peerpb.View{From: self}
	for i := range 21 {
		push.Entries = append(push.Entries, entryMessage(routerEntry(0, i).Status()))
	}
	renew := &peerpb.RenewRequest{Holder: self, Incarnation: 1}
	for i := range 3 {
		renew.Items = append(renew.Items, &peerpb.RenewItem{Upstream: PoolName(i), Worker: WorkerName(0, i), Epoch: 1})
	}
	sums := &peerpb.PoolSums{Workers: 3, InFlight: 30}
	return []peerCall{
		{"renewal of 3 leases", func(ctx context.Context, c peerpb.PeerClient, _ int) error { _, err := c.Renew(ctx, renew); return err }},
		{"slot request and release", func(ctx context.Context, c peerpb.PeerClient, i int) error {
			// The ID of an attempt must be unique across all calls of
			// measureCall, which restarts i for each size.
			attempt := fmt.Sprintf("%s-%016x", self, time.Now().UnixNano())
			reply, err := c.Acquire(ctx, &peerpb.AcquireRequest{
				Attempt: attempt, Router: self, Incarnation: 1, Upstream: pool, Workers: []string{worker}, Caller: CallerName(1), Weight: 1,
				Workspace: "workspace-00001", Rank: "normal", CostTokens: 900, WaitMs: 1000, Sums: sums,
			})
			if err != nil {
				return err
			}
			if !reply.GetGranted() {
				return fmt.Errorf("the slot was not granted: %s", reply.GetReason())
			}
			_, err = c.Release(ctx, &peerpb.ReleaseRequest{
				Attempt: attempt, Upstream: pool, Worker: worker, CostTokens: 880, Router: self, Sums: sums,
			})
			return err
		}},
		{"fetch of a manifest", func(ctx context.Context, c peerpb.PeerClient, _ int) error {
			_, err := c.FetchObject(ctx, &peerpb.FetchObjectRequest{Digest: f.currentRevision.Manifest})
			return err
		}},
		// Last, since it adds routers to the view that do not exist.
		{"exchange", func(ctx context.Context, c peerpb.PeerClient, _ int) error {
			_, err := c.Exchange(ctx, push)
			return err
		}},
	}
}

// measureCall fits bytes and CPU time over the number of calls on one connection.
// The intercept is the cost of setting up the connection.
func (m *Measurements) measureCall(ctx context.Context, f *Fleet, c peerCall) error {
	var up, down, micros []Point
	for _, n := range []int{100, 300, 900} {
		relay, traffic, err := f.Routers[0].newRelay()
		if err != nil {
			return err
		}
		conn, err := grpc.NewClient("passthrough:///"+relay.Address(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return err
		}
		keyed := metadata.AppendToOutgoingContext(ctx, "x-peer-key", peerKey)
		client := peerpb.NewPeerClient(conn)
		start := cpuTime()
		for i := range n {
			callCtx, cancel := context.WithTimeout(keyed, callTimeout)
			err := c.invoke(callCtx, client, i)
			cancel()
			if err != nil {
				return err
			}
		}
		micros = append(micros, Point{float64(n), float64((cpuTime() - start).Microseconds())})
		_, _ = conn.Close(), relay.Close() // nothing is in flight
		counts := traffic.Snapshot()
		up, down = append(up, Point{float64(n), float64(counts.Up)}), append(down, Point{float64(n), float64(counts.Down)})
	}
	m.addFit("bytes of a call, request: "+c.name, "B", "call", up)
	m.addFit("bytes of a call, reply: "+c.name, "B", "call", down)
	m.addFit("processor time, both sides: "+c.name, "us", "call", micros)
	return nil
}

// newRelay starts a second relay to the router, which counts only the calls of the
// measurement.
func (r *Router) newRelay() (*Relay, *Traffic, error) {
	traffic := &Traffic{}
	relay, err := NewRelay(traffic)
	if err == nil {
		relay.SetTarget(r.addresses.Get("peer"))
	}
	return relay, traffic, err
}
