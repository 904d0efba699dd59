package peer

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/auburnlead/auburnlead/peerpb"
)

// service answers the calls of other routers.
type service struct {
	peerpb.UnimplementedPeerServer
	p *Peer
}

// Exchange merges the sender's view and returns what it lacks. A sender that
// was not known gets the own full entry as well.
func (s *service) Exchange(_ context.Context, r *peerpb.View) (*peerpb.View, error) {
	p := s.p
	m, ok := p.member(r.GetFrom())
	first := !ok || m.LastHeard.IsZero()
	p.merge(r)
	entries := toEntries(r)
	p.viewMu.Lock()
	now := p.now()
	reply := p.view.Reply(now, entries)
	if first {
		reply = append(reply, p.view.Introduction(now)...)
	}
	p.viewMu.Unlock()
	return fromEntries(p.id.Router, reply), nil
}

// Acquire waits in the queue of this holder.
func (s *service) Acquire(ctx context.Context, r *peerpb.AcquireRequest) (*peerpb.AcquireReply, error) {
	if r.GetAttempt() == "" || len(r.GetWorkers()) == 0 {
		return nil, status.Error(codes.InvalidArgument, "peer: a slot request needs an attempt and at least one worker")
	}
	s.p.observeSums(r.GetRouter(), r.GetUpstream(), r.GetSums())
	reply := s.p.grant(ctx, r)
	reply.Sums = s.p.ownSums(r.GetUpstream())
	return reply, nil
}

// Release takes a slot back.
func (s *service) Release(_ context.Context, r *peerpb.ReleaseRequest) (*peerpb.ReleaseReply, error) {
	s.p.observeSums(r.GetRouter(), r.GetUpstream(), r.GetSums())
	if s.p.releaseHere(r.GetUpstream(), r.GetWorker(), r.GetAttempt(), r.GetCostTokens()) {
		return &peerpb.ReleaseReply{Sums: s.p.ownSums(r.GetUpstream())}, nil
	}
	_, _, hint := s.p.poolFor(&peerpb.AcquireRequest{Upstream: r.GetUpstream(), Workers: []string{r.GetWorker()}})
	return &peerpb.ReleaseReply{NotHolder: true, Holder: hint}, nil
}

// PushSums takes the sender's load sums and answers with the own ones.
func (s *service) PushSums(_ context.Context, r *peerpb.SumsUpdate) (*peerpb.SumsUpdate, error) {
	s.p.observeSums(r.GetRouter(), r.GetUpstream(), r.GetSums())
	return &peerpb.SumsUpdate{Router: s.p.id.Router, Upstream: r.GetUpstream(), Sums: s.p.ownSums(r.GetUpstream())}, nil
}

// Renew promises as a successor.
func (s *service) Renew(ctx context.Context, r *peerpb.RenewRequest) (*peerpb.RenewReply, error) {
	promised := s.p.promise(ctx, r)
	for _, ok := range promised {
		if !ok {
			s.p.scope.Counter("promises_refused").Inc(1)
		}
	}
	return &peerpb.RenewReply{Promised: promised}, nil
}

// Handover takes the slots of a worker from its old holder.
func (s *service) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return &peerpb.HandoverReply{Accepted: s.p.accept(ctx, r)}, nil
}

// HeldSlots lists the slots that this router uses.
func (s *service) HeldSlots(_ context.Context, r *peerpb.HeldSlotsRequest) (*peerpb.HeldSlotsReply, error) {
	return &peerpb.HeldSlotsReply{Slots: s.p.heldHere(workerKey{r.GetUpstream(), r.GetWorker()})}, nil
}

// FetchObject returns a configuration object.
func (s *service) FetchObject(_ context.Context, r *peerpb.FetchObjectRequest) (*peerpb.FetchObjectReply, error) {
	if s.p.links.Objects == nil {
		return &peerpb.FetchObjectReply{}, nil
	}
	body, found := s.p.links.Objects.Object(r.GetDigest())
	return &peerpb.FetchObjectReply{Found: found, Body: body}, nil
}

// AttemptState tells what this router knows of its own attempts.
func (s *service) AttemptState(_ context.Context, r *peerpb.AttemptStateRequest) (*peerpb.AttemptStateReply, error) {
	if s.p.links.Attempts == nil {
		return &peerpb.AttemptStateReply{State: "not_known"}, nil
	}
	return &peerpb.AttemptStateReply{State: s.p.links.Attempts.AttemptState(r.GetAttempt())}, nil
}
