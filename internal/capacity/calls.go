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

// callLimit bounds one call.
const callLimit = 5 * time.Second

// call is one kind of call between routers.
type call struct {
	name string
	make func(ctx context.Context, c peerpb.PeerClient, i int) error
}

// Calls measures single calls to a real router over loopback: bytes in both
// directions with all framing, and processor time of both sides together.
func (s *Slopes) Calls(ctx context.Context, w Windows) error {
	f, err := StartFleet(ctx, FleetSize{Domains: 1, Routers: 2, Workers: 6, Set: SetSize{Workers: targetWorkers, Callers: targetCallers}})
	if err != nil {
		f.Close() // what had started
		return err
	}
	defer f.Close()
	if err := f.Settle(ctx, w.Settle); err != nil {
		return err
	}
	pool, worker, err := f.heldByFirst(ctx)
	if err != nil {
		return err
	}
	for _, c := range f.calls(pool, worker) {
		if err := s.measureCall(ctx, f, c); err != nil {
			return fmt.Errorf("%s: %w", c.name, err)
		}
	}
	return nil
}

// heldByFirst finds a worker that the first router holds. Errors: there is none.
func (f *Fleet) heldByFirst(ctx context.Context) (pool, worker string, err error) {
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

// calls are the kinds of calls with the sizes of the target.
func (f *Fleet) calls(pool, worker string) []call {
	me := RouterName(0, 21)
	push := &peerpb.View{From: me}
	for i := range 21 {
		push.Entries = append(push.Entries, message(entry(0, i).Status()))
	}
	renew := &peerpb.RenewRequest{Holder: me, Incarnation: 1}
	for i := range 3 {
		renew.Items = append(renew.Items, &peerpb.RenewItem{Upstream: PoolName(i), Worker: WorkerName(0, i), Epoch: 1})
	}
	sums := &peerpb.PoolSums{Workers: 3, InFlight: 30}
	return []call{
		{"renewal of 3 leases", func(ctx context.Context, c peerpb.PeerClient, _ int) error { _, err := c.Renew(ctx, renew); return err }},
		{"slot request and release", func(ctx context.Context, c peerpb.PeerClient, i int) error {
			// An attempt is never used twice, also not over several sizes.
			attempt := fmt.Sprintf("%s-%016x", me, time.Now().UnixNano())
			reply, err := c.Acquire(ctx, &peerpb.AcquireRequest{
				Attempt: attempt, Router: me, Incarnation: 1, Upstream: pool, Workers: []string{worker}, Caller: CallerName(1), Weight: 1,
				Workspace: "workspace-00001", Rank: "normal", CostTokens: 900, WaitMs: 1000, Sums: sums,
			})
			if err != nil {
				return err
			}
			if !reply.GetGranted() {
				return fmt.Errorf("not granted: %s", reply.GetReason())
			}
			_, err = c.Release(ctx, &peerpb.ReleaseRequest{
				Attempt: attempt, Upstream: pool, Worker: worker, CostTokens: 880, Router: me, Sums: sums,
			})
			return err
		}},
		{"fetch of a manifest", func(ctx context.Context, c peerpb.PeerClient, _ int) error {
			_, err := c.FetchObject(ctx, &peerpb.FetchObjectRequest{Digest: f.current.Manifest})
			return err
		}},
		// Last, since it makes the routers known that do not exist.
		{"exchange", func(ctx context.Context, c peerpb.PeerClient, _ int) error {
			_, err := c.Exchange(ctx, push)
			return err
		}},
	}
}

// measureCall fits bytes and processor time over the number of calls on one
// connection; the base is the connection's set-up.
func (s *Slopes) measureCall(ctx context.Context, f *Fleet, c call) error {
	var up, down, micros []Point
	for _, n := range []int{100, 300, 900} {
		relay, traffic, err := f.Routers[0].tap()
		if err != nil {
			return err
		}
		conn, err := grpc.NewClient("passthrough:///"+relay.Address(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return err
		}
		keyed := metadata.AppendToOutgoingContext(ctx, "x-peer-key", peerKey)
		client := peerpb.NewPeerClient(conn)
		start := processorTime()
		for i := range n {
			limited, cancel := context.WithTimeout(keyed, callLimit)
			err := c.make(limited, client, i)
			cancel()
			if err != nil {
				return err
			}
		}
		micros = append(micros, Point{float64(n), float64((processorTime() - start).Microseconds())})
		_, _ = conn.Close(), relay.Close() // nothing is in flight
		v := traffic.Read()
		up, down = append(up, Point{float64(n), float64(v.Up)}), append(down, Point{float64(n), float64(v.Down)})
	}
	s.add("bytes of a call, request: "+c.name, "B", "call", up)
	s.add("bytes of a call, reply: "+c.name, "B", "call", down)
	s.add("processor time, both sides: "+c.name, "us", "call", micros)
	return nil
}

// tap is a second relay to the router, for calls of the measurement alone.
func (r *Router) tap() (*Relay, *Traffic, error) {
	traffic := &Traffic{}
	relay, err := NewRelay(traffic)
	if err == nil {
		relay.SetTarget(r.addresses.Get("peer"))
	}
	return relay, traffic, err
}
