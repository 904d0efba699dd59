package peer

import (
	"time"

	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/membership"
)

// silences is what the view says about the domain's routers for the rules of
// isolation and adoption.
type silences struct {
	started time.Duration // time since the start of this router
	routers map[string]silence
	// listRead says that the platform's list was read lately.
	listRead bool
}

type silence struct {
	silent   time.Duration
	listed   bool
	leaving  bool
	unlisted time.Duration // time since the list stopped naming the router
}

// listAge is the age at which a VM list proves nothing any more.
const listAge = 30 * time.Second

func (p *Peer) silences(now time.Time) silences {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	s := silences{started: now.Sub(p.started), routers: map[string]silence{}}
	s.listRead = !p.listedAt.IsZero() && now.Sub(p.listedAt) < listAge
	for _, m := range p.view.Members(now) {
		if m.Domain != p.id.FailureDomain || m.Router == p.id.Router {
			continue
		}
		one := silence{silent: p.view.SilentFor(now, m.Router), listed: m.Listed, leaving: m.State == membership.Leaving}
		if !m.Listed && !m.ListChanged.IsZero() {
			one.unlisted = now.Sub(m.ListChanged)
		}
		s.routers[m.Router] = one
	}
	return s
}

// isolated reports whether the holder of the lease has heard nobody but its
// successor although others are listed as live.
func (s silences) isolated(l *lease.Lease) bool {
	record, _ := l.Record()
	others := false
	for id, one := range s.routers {
		if id == record.Successor {
			continue
		}
		if one.silent < isolation {
			return false
		}
		others = others || one.listed && !one.leaving
	}
	return others && s.started >= isolation
}

// evidence is what rule 4 asks about the routers named in the row.
func (s silences) evidence(l *lease.Lease) lease.Evidence {
	record, _ := l.Record()
	holder := s.of(record.Holder)
	e := lease.Evidence{HolderSilence: holder.silent, SuccessorSilence: holder.silent, UnlistedFor: holder.unlisted}
	if record.Successor != "" {
		successor := s.of(record.Successor)
		e.SuccessorSilence = successor.silent
		e.UnlistedFor = min(e.UnlistedFor, successor.unlisted)
	}
	if !s.listRead {
		e.UnlistedFor = 0
	}
	for id, one := range s.routers {
		if id != record.Holder && id != record.Successor && one.listed && !one.leaving {
			e.OthersSilence = max(e.OthersSilence, one.silent)
		}
	}
	return e
}

// of returns the silence of a router. One that neither a list nor a peer has
// named counts from the start of this router.
func (s silences) of(router string) silence {
	if one, ok := s.routers[router]; ok {
		return one
	}
	return silence{silent: s.started, unlisted: s.started}
}
