package membership

import (
	"cmp"
	"slices"
	"time"
)

// Shares of the budget. Two pushes and, on average, two replies go out in a
// second.
const (
	pushShare  = 0.36
	replyShare = 0.14
	// contentShare is the part of a push that changed contents may fill while
	// there are any; statuses fill the rest.
	contentShare = 0.4
	// summaryShare bounds a summary for another domain, which is not part of
	// the own domain's budget.
	summaryShare = 0.5
	// relays is how often a piece of news is passed on: news reaches 22
	// routers when each of them passes it on a few times, and replies repair
	// the rest.
	relays = 4
)

// bucket is a token bucket of bytes that may go into debt.
type bucket struct {
	rate   float64 // bytes a second, and the largest credit
	credit float64
	at     time.Time
}

func newBucket(rate int, now time.Time) bucket {
	return bucket{rate: float64(rate), credit: float64(rate), at: now}
}

func (b *bucket) available(now time.Time) int {
	b.credit = min(b.rate, b.credit+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	return int(b.credit)
}

func (b *bucket) spend(bytes int) { b.credit -= float64(bytes) }

// Push returns the entries for one domain peer: the own status, then news of
// the domain that has been passed on the fewest times, within the budget.
func (v *View) Push(now time.Time) []Entry {
	limit := min(v.bucket.available(now), int(pushShare*float64(v.cfg.Budget)))
	entries, used := v.news(limit)
	v.bucket.spend(used)
	return entries
}

// Reply returns what this router knows better than a message that it received:
// contents first, as the numbers in the statuses show which are missing, then
// statuses. The room that is left carries a router that the message does not
// mention, since its sender may not know it.
func (v *View) Reply(now time.Time, received []Entry) []Entry {
	limit := min(v.bucket.available(now), int(replyShare*float64(v.cfg.Budget)))
	p := packer{v: v, left: limit}
	mentioned := map[*member]bool{v.self: true}
	var statuses []Entry
	for _, e := range received {
		if !v.identify(&e) {
			continue
		}
		m := v.members[e.Router]
		if m == nil || m.domain() != v.self.entry.Domain {
			continue
		}
		mentioned[m] = true
		status, _ := newer(m.entry, e)
		if m.entry.Full() && m.entry.Incarnation == e.Incarnation && m.entry.ContentVersion > e.ContentVersion {
			p.add(m.entry)
		} else if status {
			statuses = append(statuses, m.entry.Status())
		}
	}
	for _, e := range statuses {
		p.add(e)
	}
	v.fill(&p, v.domain(v.self.entry.Domain), mentioned)
	v.bucket.spend(limit - p.left)
	return p.entries
}

// Announcement returns the own status with revision and manifest, for peers
// that must know at once. It is sent even when the budget is spent; later
// messages then carry less.
func (v *View) Announcement(now time.Time) []Entry {
	e := v.self.entry.Status()
	e.Revision, e.Manifest = v.self.entry.Revision, v.self.entry.Manifest
	return v.urgent(now, e)
}

// LeaveNotice returns the own status for a router that leaves.
func (v *View) LeaveNotice(now time.Time) []Entry { return v.urgent(now, v.self.entry.Status()) }

func (v *View) urgent(now time.Time, e Entry) []Entry {
	v.bucket.available(now)
	v.bucket.spend(v.cfg.Size(e))
	return []Entry{e}
}

// Introduction returns the own full entry, for the first contact with a router.
func (v *View) Introduction(now time.Time) []Entry { return v.urgent(now, v.self.entry) }

// Summary returns entries for a router of another domain: the own entry, the
// statuses of the own domain, which show that its routers are alive, and full
// entries in turn.
func (v *View) Summary(now time.Time) []Entry {
	p := packer{v: v, left: int(summaryShare * float64(v.cfg.Budget))}
	p.add(v.self.entry)
	list := v.domain(v.self.entry.Domain)
	v.cfg.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, m := range list {
		if v.state(now, m) != Gone {
			p.add(m.entry.Status())
		}
	}
	v.fill(&p, list, map[*member]bool{v.self: true})
	return p.entries
}

// news packs statuses first and changed contents second, each in the order of
// how seldom it has been sent. The room that is left carries full entries in
// random order, which repairs what was lost.
func (v *View) news(limit int) ([]Entry, int) {
	p := packer{v: v, left: limit}
	list := v.domain(v.self.entry.Domain)
	full := v.pickContent(&p, list, int(float64(limit)*contentShare))
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(leavingFirst(a, b), cmp.Compare(a.statusSent, b.statusSent), cmp.Compare(a.order, b.order))
	})
	for _, m := range append([]*member{v.self}, list...) {
		if full[m] || m.statusSent >= relays && m != v.self {
			continue
		}
		if p.add(v.status(m)) {
			m.statusSent++
		}
	}
	v.fill(&p, list, full)
	return p.entries, limit - p.left
}

// leavingFirst puts routers that leave before others while that is news.
func leavingFirst(a, b *member) int {
	urgent := func(m *member) bool { return m.entry.Leaving && m.statusSent < relays }
	switch {
	case urgent(a) == urgent(b):
		return 0
	case urgent(a):
		return -1
	}
	return 1
}

// status returns a member's status. The revision goes along while it is news,
// the manifest only with full entries and announcements.
func (v *View) status(m *member) Entry {
	e := m.entry.Status()
	if m == v.self {
		e.Revision = m.entry.Revision
	}
	return e
}

// pickContent packs full entries whose content is news into a part of a
// message.
func (v *View) pickContent(p *packer, list []*member, room int) map[*member]bool {
	full := map[*member]bool{}
	reserve := p.left - room
	fresh := append([]*member{v.self}, list...)
	slices.SortStableFunc(fresh, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.contentSent, b.contentSent), cmp.Compare(a.order, b.order))
	})
	for _, m := range fresh {
		if m.contentSent >= relays || !m.entry.Full() {
			continue
		}
		if p.left-v.cfg.Size(m.entry) < reserve {
			continue
		}
		if p.add(m.entry) {
			m.contentSent++
			m.statusSent++
			full[m] = true
		}
	}
	return full
}

func (v *View) fill(p *packer, list []*member, full map[*member]bool) {
	rest := append([]*member{v.self}, list...)
	v.cfg.Rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for _, m := range rest {
		if !full[m] && m.entry.Full() {
			p.add(m.entry)
		}
	}
}

// domain returns the other routers of a domain that were heard of.
func (v *View) domain(name string) []*member {
	var list []*member
	for _, m := range v.members {
		if m != v.self && m.domain() == name && !m.heard.IsZero() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.entry.Router, b.entry.Router) })
	return list
}

// packer fills a message up to a number of bytes.
type packer struct {
	v       *View
	entries []Entry
	left    int
}

func (p *packer) add(e Entry) bool {
	size := p.v.cfg.Size(e)
	if size > p.left {
		return false
	}
	p.entries = append(p.entries, e)
	p.left -= size
	return true
}
