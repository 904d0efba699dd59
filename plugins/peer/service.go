package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnlead/auburnlead/peerpb"
)

// service implements the gRPC service for other routers.
type service struct {
	peerpb.UnimplementedPeerServer
	peer *Peer
}

// Exchange merges the sender's view and returns the entries that the sender
// lacks. A sender that was not known also receives this router's own full
// entry.
func (s *service) Exchange(_ context.Context, r *peerpb.View) (*peerpb.View, error) {
	p := s.peer
	m, ok := p.member(r.GetFrom())
	first := !ok || m.LastHeard.IsZero()
	p.mergeView(r)
	entries := toEntries(r)
	p.viewMu.Lock()
	now := p.now()
	reply := p.view.Reply(now, entries)
	if first {
		reply = append(reply, p.view.Introduction(now)...)
	}
	p.viewMu.Unlock()
	return fromEntries(p.identity.Router, reply), nil
}

// Acquire waits for a slot in this holder's queue.
func (s *service) Acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	if r.GetAttempt() == "" || len(r.GetWorkers()) == 0 {
		return nil, status.Error(codes.InvalidArgument, "peer: a slot request needs an attempt and at least one worker")
	}
	s.peer.recordLoad(r.GetRouter(), r.GetUpstream(), r.GetSums())
	reply := s.peer.handleAcquire(ctx, r)
	reply.Sums = s.peer.localLoad(r.GetUpstream())
	return reply, nil
}

// Release returns a slot.
func (s *service) Release(_ context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	s.peer.recordLoad(r.GetRouter(), r.GetUpstream(), r.GetSums())
	if s.peer.releaseLocal(r.GetUpstream(), r.GetWorker(), r.GetAttempt(), r.GetCostTokens()) {
		return &peerpb.ReleaseReply{Sums: s.peer.localLoad(r.GetUpstream())}, nil
	}
	_, _, hint := s.peer.poolFor(&peerpb.AcquireRequest{Upstream: r.GetUpstream(), Workers: []string{r.GetWorker()}})
	return &peerpb.ReleaseReply{NotHolder: true, Holder: hint}, nil
}

// PushSums stores the sender's load totals and replies with this router's own.
func (s *service) PushSums(_ context.Context, r *peerpb.SumsUpdate) (*peerpb.SumsUpdate, error) {
	s.peer.recordLoad(r.GetRouter(), r.GetUpstream(), r.GetSums())
	return &peerpb.SumsUpdate{Router: s.peer.identity.Router, Upstream: r.GetUpstream(), Sums: s.peer.localLoad(r.GetUpstream())}, nil
}

// Renew replies with this router's promises as a successor.
func (s *service) Renew(ctx context.Context, r *peerpb.RenewRequest) (*peerpb.RenewReply, error) {
	promised := s.peer.handleRenewals(ctx, r)
	for _, ok := range promised {
		if !ok {
			s.peer.scope.Counter("promises_refused").Inc(1)
		}
	}
	return &peerpb.RenewReply{Promised: promised}, nil
}

// Handover accepts the list of slots in use on a worker from its previous
// holder.
func (s *service) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return &peerpb.HandoverReply{Accepted: s.peer.acceptHandover(ctx, r)}, nil
}

// HeldSlots returns the slots that this router uses on a worker.
func (s *service) HeldSlots(_ context.Context, r *peerpb.HeldSlotsRequest) (*peerpb.HeldSlotsReply, error) {
	return &peerpb.HeldSlotsReply{Slots: s.peer.localSlots(workerKey{r.GetUpstream(), r.GetWorker()})}, nil
}

// FetchObject returns a configuration object.
func (s *service) FetchObject(_ context.Context, r *peerpb.FetchObjectRequest) (*peerpb.FetchObjectReply, error) {
	if s.peer.deps.Objects == nil {
		return &peerpb.FetchObjectReply{}, nil
	}
	body, found := s.peer.deps.Objects.Object(r.GetDigest())
	return &peerpb.FetchObjectReply{Found: found, Body: body}, nil
}

// AttemptState returns the state of one of this router's own attempts.
func (s *service) AttemptState(_ context.Context, r *peerpb.AttemptStateRequest) (*peerpb.AttemptStateReply, error) {
	if s.peer.deps.Attempts == nil {
		return &peerpb.AttemptStateReply{State: "not_known"}, nil
	}
	return &peerpb.AttemptStateReply{State: s.peer.deps.Attempts.AttemptState(r.GetAttempt())}, nil
}
