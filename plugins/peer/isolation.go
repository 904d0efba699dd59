package peer

import (
	"time"

	"github.com/auburnlead/auburnlead/lease"
	"github.com/auburnlead/auburnlead/membership"
)

// domainContacts holds, for each other router of the failure domain, how long it
// has been silent and whether the VM list names it. From this, a holder detects
// that it is isolated, and a router decides whether it may adopt a lease whose
// holder and successor are gone.
type domainContacts struct {
	uptime  time.Duration // time since the start of this router
	routers map[string]contact
	// vmListFresh reports whether the platform's VM list was read within
	// maxVMListAge.
	vmListFresh bool
}

type contact struct {
	silentFor   time.Duration // time since it was last heard from
	listed      bool          // the VM list names the router
	leaving     bool
	unlistedFor time.Duration // time since the VM list stopped naming the router
}

// maxVMListAge is the age at which a VM list is too old to be evidence that a
// router was removed.
const maxVMListAge = 30 * time.Second

func (p *Peer) domainContacts(now time.Time) domainContacts {
	p.viewMu.Lock()
	defer p.viewMu.Unlock()
	contacts := domainContacts{uptime: now.Sub(p.started), routers: map[string]contact{}}
	contacts.vmListFresh = !p.vmListReadAt.IsZero() && now.Sub(p.vmListReadAt) < maxVMListAge
	for _, m := range p.view.Members(now) {
		if m.Domain != p.identity.FailureDomain || m.Router == p.identity.Router {
			continue
		}
		c := contact{silentFor: p.view.SilentFor(now, m.Router), listed: m.Listed, leaving: m.State == membership.Leaving}
		if !m.Listed && !m.ListChanged.IsZero() {
			c.unlistedFor = now.Sub(m.ListChanged)
		}
		contacts.routers[m.Router] = c
	}
	return contacts
}

// isIsolated reports whether the holder of the lease has heard from no router
// except its successor for isolationTimeout, although the VM list names others
// that are not leaving.
func (d domainContacts) isIsolated(l *lease.Lease) bool {
	record, _ := l.Record()
	others := false
	for id, c := range d.routers {
		if id == record.Successor {
			continue
		}
		if c.silentFor < isolationTimeout {
			return false
		}
		others = others || c.listed && !c.leaving
	}
	return others && d.uptime >= isolationTimeout
}

// evidence returns what is known about the holder and the successor of the
// lease, to decide whether it may be adopted.
func (d domainContacts) evidence(l *lease.Lease) lease.Evidence {
	record, _ := l.Record()
	holder := d.router(record.Holder)
	e := lease.Evidence{HolderSilence: holder.silentFor, SuccessorSilence: holder.silentFor, UnlistedFor: holder.unlistedFor}
	if record.Successor != "" {
		successor := d.router(record.Successor)
		e.SuccessorSilence = successor.silentFor
		e.UnlistedFor = min(e.UnlistedFor, successor.unlistedFor)
	}
	if !d.vmListFresh {
		e.UnlistedFor = 0
	}
	for id, c := range d.routers {
		if id != record.Holder && id != record.Successor && c.listed && !c.leaving {
			e.OthersSilence = max(e.OthersSilence, c.silentFor)
		}
	}
	return e
}

// router returns the contact with a router. A router that neither the VM list nor
// a peer has named counts as silent and unlisted since this router started.
func (d domainContacts) router(router string) contact {
	if c, ok := d.routers[router]; ok {
		return c
	}
	return contact{silentFor: d.uptime, unlistedFor: d.uptime}
}
