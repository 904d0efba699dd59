// Package quarantine detects queries of death, requests that crash each worker that
// answers them, and keeps them from further workers. Such requests have a prompt part
// in common; everything else in them differs.
//
// A router that loses a worker reports the prompt parts whose answers had just begun
// there or not yet begun (Tracker.RecordCrash), and the parts of answers that got
// past that point (Tracker.RecordSuccess). A part is quarantined when Config.Threshold
// workers in a row crashed under it without a success in between. A sound part on a
// crashed worker soon succeeds on another one, so it does not get there.
//
// Each router of a large fleet sees a small part of the requests. Routers therefore
// share their reports (Tracker.Encode, Tracker.Merge). Reports may be lost,
// duplicated and reordered; each crash of a worker counts once for a part.
//
// Contract: a quarantine lasts Config.Period from the last crash. After that, one more
// crash renews it.
//
// Failure behaviour: routers that cannot reach each other each need their own
// evidence. Workers that crash within Config.MinGap of each other count as one crash,
// and as half a crash when several of them crash at the same moment, since a failing
// host or network takes several workers down together, of which the routers notice those
// that were answering a prompt. Therefore a crash counts only after MinGap. Where two parts crashed the same workers, both are quarantined, and
// requests that have only one of them are let through now and then until it is known
// which one is sound.
//
// Concurrency: a Tracker is safe for concurrent use.
//
// Cost: a success takes constant time. Memory is limited to maxSuspects parts with
// crashes and twice maxSuccesses parts without.
package quarantine

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Config configures a Tracker. Zero values select the defaults.
type Config struct {
	// Threshold is the number of crashes without a success in between that
	// quarantines a part. Default 3.
	Threshold int
	// MinGap is the minimum time between two crashes that count separately.
	// Default 200 ms.
	MinGap time.Duration
	// EvidenceTTL is how long a crash counts. Default 2 min.
	EvidenceTTL time.Duration
	// Period is how long a part stays quarantined after its last crash. Default
	// 10 min.
	Period time.Duration
	// TrialPeriod is the minimum time between two requests that are let through
	// with a part that may be sound. Default 3 s.
	TrialPeriod time.Duration
	// Random returns a number in [0, n); nil for math/rand/v2.
	Random func(n int) int
}

const (
	// maxSuspects limits the parts with crashes that are kept.
	maxSuspects = 4096
	// maxCrashes limits the crashes that are kept of a part; those that do not count
	// go first, then the oldest.
	maxCrashes = 8
	// maxSuccesses limits each of the two generations of successes.
	maxSuccesses = 4096
	// successTTL is how long the success of a part without crashes is kept. It is longer
	// than the time that a report of a crash takes to reach all routers.
	successTTL = 5 * time.Second
	// massCrash is the number of workers that crash within massCrashTime from which the
	// cause is probably not a request. Reports of the same moment differ by the rounding
	// and transit times of some hops.
	massCrash     = 2
	massCrashTime = 50 * time.Millisecond
	// crashWeight and massCrashWeight are what a crash counts towards the threshold, in
	// units of 1/crashWeight.
	crashWeight     = 2
	massCrashWeight = 1
	// evictionSample is the number of parts of which the least suspicious one makes room
	// for a new one.
	evictionSample = 16
	// maxRecentCrashes limits the crashes that are compared to find a mass crash.
	maxRecentCrashes = 64
)

// Tracker collects evidence about prompt parts.
type Tracker struct {
	cfg Config

	mu       sync.Mutex // lock level 90, see internal/core/lockorder.go
	suspects map[uint64]*suspect
	// quarantined holds the suspects that are or were quarantined.
	quarantined map[uint64]*suspect
	// Successes of parts without crashes. A report of a crash that took place before
	// them may still arrive.
	successes, olderSuccesses map[uint64]time.Time
	recent                    []crash   // one for each worker, in the order of arrival
	changedAt                 time.Time // when a report was added
}

// Kind is the kind of a Change.
type Kind string

// Kinds of changes.
const (
	Quarantined Kind = "quarantined"
	Cleared     Kind = "cleared" // a quarantined part succeeded
)

// Change is a quarantine that began, was renewed or ended by a success.
type Change struct {
	Kind    Kind
	Part    uint64
	Crashes int // workers that crashed under the part, the last maxCrashes at most
	Until   time.Time
}

// New returns a tracker without evidence.
func New(cfg Config) *Tracker {
	setDefault(&cfg.Threshold, 3)
	setDefault(&cfg.MinGap, 200*time.Millisecond)
	setDefault(&cfg.EvidenceTTL, 2*time.Minute)
	setDefault(&cfg.Period, 10*time.Minute)
	setDefault(&cfg.TrialPeriod, 3*time.Second)
	if cfg.Random == nil {
		cfg.Random = rand.IntN
	}
	return &Tracker{cfg: cfg, suspects: map[uint64]*suspect{}, quarantined: map[uint64]*suspect{}, successes: map[uint64]time.Time{}}
}

func setDefault[T int | time.Duration](v *T, value T) {
	if *v == 0 {
		*v = value
	}
}

// RecordCrash records that a worker crashed while it worked on requests with the
// parts. worker is a hash that differs for each process.
func (t *Tracker) RecordCrash(now time.Time, worker uint32, parts []uint64) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evict(now)
	for _, part := range parts {
		t.addCrash(now, part, worker, now)
	}
	return t.evaluate(now, parts)
}

// addRecent adds a worker to those that crashed recently.
func (t *Tracker) addRecent(worker uint32, at time.Time) {
	if slices.ContainsFunc(t.recent, func(c crash) bool { return c.worker == worker }) {
		return
	}
	if len(t.recent) == maxRecentCrashes {
		t.recent = slices.Delete(t.recent, 0, 1)
	}
	t.recent = append(t.recent, crash{worker: worker, at: at})
}

// isMassCrash reports whether several workers crashed at the same moment.
func (t *Tracker) isMassCrash(at time.Time) bool {
	n := 0
	for _, c := range t.recent {
		if c.at.Sub(at).Abs() < massCrashTime {
			n++
		}
	}
	return n >= massCrash
}

// RecordSuccess records that a worker answered a request with the parts.
func (t *Tracker) RecordSuccess(now time.Time, parts []uint64) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.successes) >= maxSuccesses {
		t.successes, t.olderSuccesses = map[uint64]time.Time{}, t.successes
	}
	var changes []Change
	for _, part := range parts {
		if s := t.suspects[part]; s != nil {
			changes = append(changes, t.addSuccess(now, part, s, now)...)
			continue
		}
		t.successes[part] = now
	}
	return changes
}

// IsSuspected reports whether a worker crashed under one of the parts and no success of
// the part followed.
func (t *Tracker) IsSuspected(parts []uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.ContainsFunc(parts, func(part uint64) bool {
		s := t.suspects[part]
		return s != nil && s.isOpen()
	})
}

// Find returns the quarantined part of a request that must not be sent to a worker,
// and the quarantines that began now.
func (t *Tracker) Find(now time.Time, parts []uint64) (quarantine Change, found bool, began []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	began = t.evaluate(now, parts)
	part, isTrial, ok := t.find(now, parts)
	if isTrial {
		t.suspects[part].trialAt = now.Add(t.cfg.TrialPeriod)
	}
	if !ok || isTrial {
		return Change{}, false, began
	}
	return t.quarantineOf(part), true, began
}

// Peek returns what Find would return of the quarantines that have begun, without
// starting a quarantine or a trial.
func (t *Tracker) Peek(now time.Time, parts []uint64) (quarantine Change, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	part, isTrial, ok := t.find(now, parts)
	if !ok || isTrial {
		return Change{}, false
	}
	return t.quarantineOf(part), true
}

func (t *Tracker) quarantineOf(part uint64) Change {
	s := t.suspects[part]
	return Change{Kind: Quarantined, Part: part, Crashes: len(s.crashes), Until: s.until}
}

// find returns the first quarantined part, and whether a trial with it is due.
func (t *Tracker) find(now time.Time, parts []uint64) (part uint64, isTrial, ok bool) {
	var found []uint64
	for _, part := range parts {
		if s := t.suspects[part]; s != nil && now.Before(s.until) {
			found = append(found, part)
		}
	}
	if len(found) == 0 {
		return 0, false, false
	}
	return found[0], len(found) == 1 && t.mayTry(now, found[0]), true
}

// mayTry reports whether a request may be sent although its part is quarantined: all
// crashes under the part may be due to another quarantined part.
func (t *Tracker) mayTry(now time.Time, part uint64) bool {
	s := t.suspects[part]
	if now.Before(s.trialAt) {
		return false
	}
	for other, o := range t.quarantined {
		if other != part && now.Before(o.until) && o.covers(s) {
			return true
		}
	}
	return false
}

// addCrash adds a crash at a time and reports whether it is new.
func (t *Tracker) addCrash(now time.Time, part uint64, worker uint32, at time.Time) bool {
	t.addRecent(worker, at)
	s := t.suspect(part)
	if s == nil {
		return false
	}
	if c := s.find(worker); c != nil {
		// Routers that lost the same worker report slightly different times.
		if at.Before(c.at) {
			c.at = at
			s.sort()
		}
		return false
	}
	s.crashes = append(s.crashes, crash{worker, at})
	s.sort()
	if len(s.crashes) > maxCrashes {
		i := s.leastUseful(t.cfg.MinGap)
		s.crashes = slices.Delete(s.crashes, i, i+1)
	}
	t.changedAt = now
	return true
}

// suspect returns the entry of a part and creates it if there is room, nil otherwise.
func (t *Tracker) suspect(part uint64) *suspect {
	s := t.suspects[part]
	if s == nil && len(t.suspects) >= maxSuspects {
		t.evictLeastSuspicious()
	}
	if s == nil && len(t.suspects) < maxSuspects {
		s = &suspect{lastSuccess: t.successes[part]}
		if older := t.olderSuccesses[part]; older.After(s.lastSuccess) {
			s.lastSuccess = older
		}
		t.suspects[part] = s
	}
	return s
}

// evictLeastSuspicious removes one of a few parts, the one with fewest crashes that
// count, unless all of them have several.
func (t *Tracker) evictLeastSuspicious() {
	least, fewest, n := uint64(0), 2, 0
	for part, s := range t.suspects {
		crashes := 0
		for _, c := range s.crashes {
			if c.at.After(s.lastSuccess) {
				crashes++
			}
		}
		if crashes < fewest && s.until.IsZero() {
			least, fewest = part, crashes
		}
		if n++; n == evictionSample {
			break
		}
	}
	if fewest < 2 {
		delete(t.suspects, least)
	}
}

// counts reports whether a crash may be due to a part: it came after the part's last
// success, and no quarantined part was on the worker too. Quarantined parts do not
// excuse each other.
func (t *Tracker) counts(now time.Time, s *suspect, c crash) bool {
	if !c.at.After(s.lastSuccess) {
		return false
	}
	if now.Before(s.until) {
		return true
	}
	for _, other := range t.quarantined {
		if now.Before(other.until) && other.find(c.worker) != nil {
			return false
		}
	}
	return true
}

// successResolution is the smallest difference between two successes of a part that
// counts. Each hop adds the transit time to a report's time.
const successResolution = 50 * time.Millisecond

func (t *Tracker) addSuccess(now time.Time, part uint64, s *suspect, at time.Time) []Change {
	if at.Sub(s.lastSuccess) < successResolution {
		return nil
	}
	// Only a success that contradicts a crash is worth sharing.
	if s.isOpen() {
		t.changedAt = now
	}
	s.lastSuccess = at
	if !now.Before(s.until) || t.score(now, s) >= crashWeight*t.cfg.Threshold {
		return nil
	}
	s.until = time.Time{}
	delete(t.quarantined, part)
	return []Change{{Kind: Cleared, Part: part}}
}

// score returns the weights of the separate crashes under a part.
func (t *Tracker) score(now time.Time, s *suspect) int {
	score := 0
	var last time.Time
	for _, c := range s.crashes {
		if !t.counts(now, s, c) || now.Sub(c.at) < t.cfg.MinGap || c.at.Sub(last) < t.cfg.MinGap {
			continue
		}
		last = c.at
		if t.isMassCrash(c.at) {
			score += massCrashWeight
		} else {
			score += crashWeight
		}
	}
	return score
}

// evaluate begins or renews the quarantine of the given parts that have reached the
// threshold. If there are any, all other parts are evaluated with them, since a
// quarantine keeps crashes from counting for parts that are not quarantined.
func (t *Tracker) evaluate(now time.Time, parts []uint64) []Change {
	if !slices.ContainsFunc(parts, func(part uint64) bool { return t.isDue(now, t.suspects[part]) }) {
		return nil
	}
	var due []uint64
	for part, s := range t.suspects {
		if t.isDue(now, s) {
			due = append(due, part)
		}
	}
	slices.Sort(due)
	var changes []Change
	for _, part := range due {
		s := t.suspects[part]
		if !now.Before(s.until) {
			s.trialAt = now.Add(time.Duration(t.cfg.Random(int(t.cfg.TrialPeriod))))
		}
		s.until = t.end(s)
		t.quarantined[part] = s
		changes = append(changes, Change{Kind: Quarantined, Part: part, Crashes: len(s.crashes), Until: s.until})
	}
	return changes
}

// isDue reports whether the quarantine of a part is to begin or to be renewed.
func (t *Tracker) isDue(now time.Time, s *suspect) bool {
	if s == nil || len(s.crashes) < t.cfg.Threshold {
		return false
	}
	end := t.end(s)
	return end.After(s.until) && end.After(now) && t.score(now, s) >= crashWeight*t.cfg.Threshold
}

// end returns when a quarantine ends after the last crash under a part.
func (t *Tracker) end(s *suspect) time.Time {
	return s.crashes[len(s.crashes)-1].at.Add(t.cfg.Period)
}

// evict removes parts whose evidence has expired.
func (t *Tracker) evict(now time.Time) {
	for part, s := range t.suspects {
		ttl := t.cfg.EvidenceTTL
		if !s.until.IsZero() {
			ttl += t.cfg.Period
		}
		s.crashes = slices.DeleteFunc(s.crashes, func(c crash) bool { return now.Sub(c.at) > ttl })
		if len(s.crashes) == 0 && now.Sub(s.lastSuccess) > successTTL {
			delete(t.suspects, part)
			delete(t.quarantined, part)
		}
	}
}
