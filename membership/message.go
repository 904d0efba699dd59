package membership

import (
	"cmp"
	"slices"
	"time"
)

// Shares of the budget. A router sends two pushes and, on average, two replies
// per second.
const (
	pushShare  = 0.36
	replyShare = 0.14
	// contentShare is the part of a push that changed contents may fill.
	// Statuses fill the rest.
	contentShare = 0.4
	// summaryShare limits a summary for another failure domain. Summaries do not
	// count towards the budget, which is for the own failure domain.
	summaryShare = 0.5
	// maxSends is the number of messages in which a router forwards an update. A
	// few messages from each router that knows the update spread it to most of 22
	// routers; replies bring it to the others.
	maxSends = 4
)

// tokenBucket is a token bucket of bytes whose balance may become negative.
type tokenBucket struct {
	rate      float64 // bytes per second, and the maximum credit
	credit    float64
	updatedAt time.Time
}

func newTokenBucket(rate int, now time.Time) tokenBucket {
	return tokenBucket{rate: float64(rate), credit: float64(rate), updatedAt: now}
}

func (b *tokenBucket) available(now time.Time) int {
	b.credit = min(b.rate, b.credit+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	return int(b.credit)
}

func (b *tokenBucket) spend(bytes int) { b.credit -= float64(bytes) }

// Push returns the entries for one peer of the failure domain: this router's
// own status, then the updates of the failure domain that have been forwarded
// the fewest times, within the budget.
func (v *View) Push(now time.Time) []Entry {
	limit := min(v.bucket.available(now), int(pushShare*float64(v.cfg.Budget)))
	entries, used := v.packUpdates(limit)
	v.bucket.spend(used)
	return entries
}

// Reply returns the entries that are newer here than in a received message:
// contents first, because the versions in the statuses show which are missing,
// then statuses. The remaining space carries a router that the message does not
// mention, because its sender may not know it.
func (v *View) Reply(now time.Time, received []Entry) []Entry {
	limit := min(v.bucket.available(now), int(replyShare*float64(v.cfg.Budget)))
	p := packer{view: v, remaining: limit}
	mentioned := map[*member]bool{v.self: true}
	var statuses []Entry
	for _, e := range received {
		if !v.resolveKey(&e) {
			continue
		}
		m := v.members[e.Router]
		if m == nil || m.domain() != v.self.entry.Domain {
			continue
		}
		mentioned[m] = true
		status, _ := newerParts(m.entry, e)
		if m.entry.Full() && m.entry.Incarnation == e.Incarnation && m.entry.ContentVersion > e.ContentVersion {
			p.add(m.entry)
		} else if status {
			statuses = append(statuses, m.entry.Status())
		}
	}
	for _, e := range statuses {
		p.add(e)
	}
	v.packRandom(&p, v.domainMembers(v.self.entry.Domain), mentioned)
	v.bucket.spend(limit - p.remaining)
	return p.entries
}

// Announcement returns this router's own status with revision and manifest, for
// peers that must learn of the revision at once. It is sent even if the budget is
// exhausted; later messages then carry less.
func (v *View) Announcement(now time.Time) []Entry {
	e := v.self.entry.Status()
	e.Revision, e.Manifest = v.self.entry.Revision, v.self.entry.Manifest
	return v.unlimited(now, e)
}

// LeaveNotice returns this router's own status, to be sent after Leave. It is
// sent even if the budget is exhausted.
func (v *View) LeaveNotice(now time.Time) []Entry { return v.unlimited(now, v.self.entry.Status()) }

// unlimited returns a message with one entry even if the budget is exhausted,
// and charges the budget for it.
func (v *View) unlimited(now time.Time, e Entry) []Entry {
	v.bucket.available(now)
	v.bucket.spend(v.cfg.Size(e))
	return []Entry{e}
}

// Introduction returns this router's own full entry, for the first contact with
// a router. It is sent even if the budget is exhausted.
func (v *View) Introduction(now time.Time) []Entry { return v.unlimited(now, v.self.entry) }

// Summary returns entries for a router of another failure domain: this router's
// own entry, the statuses of its failure domain, which show that these routers
// are live, and some full entries in random order.
func (v *View) Summary(now time.Time) []Entry {
	p := packer{view: v, remaining: int(summaryShare * float64(v.cfg.Budget))}
	p.add(v.self.entry)
	list := v.domainMembers(v.self.entry.Domain)
	v.cfg.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, m := range list {
		if v.state(now, m) != Gone {
			p.add(m.entry.Status())
		}
	}
	v.packRandom(&p, list, map[*member]bool{v.self: true})
	return p.entries
}

// packUpdates packs changed contents into their share of the message and then
// statuses, each with the least sent ones first. The remaining space carries full
// entries in random order, in case updates were lost.
func (v *View) packUpdates(limit int) ([]Entry, int) {
	p := packer{view: v, remaining: limit}
	list := v.domainMembers(v.self.entry.Domain)
	packed := v.packContent(&p, list, int(float64(limit)*contentShare))
	slices.SortFunc(list, func(a, b *member) int {
		return cmp.Or(compareLeaving(a, b), cmp.Compare(a.statusSends, b.statusSends), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	for _, m := range append([]*member{v.self}, list...) {
		if packed[m] || m.statusSends >= maxSends && m != v.self {
			continue
		}
		if p.add(v.status(m)) {
			m.statusSends++
		}
	}
	v.packRandom(&p, list, packed)
	return p.entries, limit - p.remaining
}

// compareLeaving orders routers that are leaving before others, as long as
// their status has been sent in fewer than maxSends messages.
func compareLeaving(a, b *member) int {
	isUpdate := func(m *member) bool { return m.entry.Leaving && m.statusSends < maxSends }
	switch {
	case isUpdate(a) == isUpdate(b):
		return 0
	case isUpdate(a):
		return -1
	}
	return 1
}

// status returns a member's status. This router's own status includes the
// revision; the manifest is sent only with full entries and announcements.
func (v *View) status(m *member) Entry {
	e := m.entry.Status()
	if m == v.self {
		e.Revision = m.entry.Revision
	}
	return e
}

// packContent packs full entries whose content has been sent in fewer than
// maxSends messages. They use at most limit bytes.
func (v *View) packContent(p *packer, list []*member, limit int) map[*member]bool {
	packed := map[*member]bool{}
	reserve := p.remaining - limit
	candidates := append([]*member{v.self}, list...)
	slices.SortStableFunc(candidates, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.contentSends, b.contentSends), cmp.Compare(a.tieBreak, b.tieBreak))
	})
	for _, m := range candidates {
		if m.contentSends >= maxSends || !m.entry.Full() {
			continue
		}
		if p.remaining-v.cfg.Size(m.entry) < reserve {
			continue
		}
		if p.add(m.entry) {
			m.contentSends++
			m.statusSends++
			packed[m] = true
		}
	}
	return packed
}

// packRandom packs full entries in random order.
func (v *View) packRandom(p *packer, list []*member, packed map[*member]bool) {
	candidates := append([]*member{v.self}, list...)
	v.cfg.Rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, m := range candidates {
		if !packed[m] && m.entry.Full() {
			p.add(m.entry)
		}
	}
}

// domainMembers returns the other routers of a failure domain that have been
// heard from.
func (v *View) domainMembers(name string) []*member {
	var list []*member
	for _, m := range v.members {
		if m != v.self && m.domain() == name && !m.lastHeard.IsZero() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(a.entry.Router, b.entry.Router) })
	return list
}

// packer fills a message up to a number of bytes.
type packer struct {
	view      *View
	entries   []Entry
	remaining int
}

func (p *packer) add(e Entry) bool {
	size := p.view.cfg.Size(e)
	if size > p.remaining {
		return false
	}
	p.entries = append(p.entries, e)
	p.remaining -= size
	return true
}
