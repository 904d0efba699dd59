package peer

import (
	"time"

	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/membership"
)

// domainContacts is the view's information about the routers of the failure
// domain, for the rules of isolation and adoption.
type domainContacts struct {
	uptime  time.Duration // time since the start of this router
	routers map[string]contact
	// vmListFresh reports whether the platform's VM list was read within
	// maxVMListAge.
	vmListFresh bool
}

type contact struct {
	silentFor   time.Duration
	listed      bool
	leaving     bool
	unlistedFor time.Duration // time since the VM list stopped naming the router
}

// maxVMListAge is the age from which a VM list is no evidence that a router was
// removed.
const maxVMListAge = 30 * time.Second

func (p *Peer) domainContacts(now time.Time) domainContacts {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	s := domainContacts{uptime: now.Sub(p.started), routers: map[string]contact{}}
	s.vmListFresh = !p.vmListReadAt.IsZero() && now.Sub(p.vmListReadAt) < maxVMListAge
	for _, m := range p.view.Members(now) {
		if m.Domain != p.identity.FailureDomain || m.Router == p.identity.Router {
			continue
		}
		c := contact{silentFor: p.view.SilentFor(now, m.Router), listed: m.Listed, leaving: m.State == membership.Leaving}
		if !m.Listed && !m.ListChanged.IsZero() {
			c.unlistedFor = now.Sub(m.ListChanged)
		}
		s.routers[m.Router] = c
	}
	return s
}

// isIsolated reports whether the holder of the lease has heard from no router
// except its successor for isolationTimeout, although others are listed as
// live.
func (s domainContacts) isIsolated(l *lease.Lease) bool {
	record, _ := l.Record()
	others := false
	for id, c := range s.routers {
		if id == record.Successor {
			continue
		}
		if c.silentFor < isolationTimeout {
			return false
		}
		others = others || c.listed && !c.leaving
	}
	return others && s.uptime >= isolationTimeout
}

// evidence returns what is known of the routers named in the row, to decide
// whether the lease may be adopted.
func (s domainContacts) evidence(l *lease.Lease) lease.Evidence {
	record, _ := l.Record()
	holder := s.router(record.Holder)
	e := lease.Evidence{HolderSilence: holder.silentFor, SuccessorSilence: holder.silentFor, UnlistedFor: holder.unlistedFor}
	if record.Successor != "" {
		successor := s.router(record.Successor)
		e.SuccessorSilence = successor.silentFor
		e.UnlistedFor = min(e.UnlistedFor, successor.unlistedFor)
	}
	if !s.vmListFresh {
		e.UnlistedFor = 0
	}
	for id, c := range s.routers {
		if id != record.Holder && id != record.Successor && c.listed && !c.leaving {
			e.OthersSilence = max(e.OthersSilence, c.silentFor)
		}
	}
	return e
}

// router returns the last contact with a router. A router that neither the VM
// list nor a peer has named counts as silent since the start of this router.
func (s domainContacts) router(router string) contact {
	if c, ok := s.routers[router]; ok {
		return c
	}
	return contact{silentFor: s.uptime, unlistedFor: s.uptime}
}
