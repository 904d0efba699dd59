package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnlead/auburnlead/internal/proof"
)

var start = time.Unix(1_800_000_000, 0)

func testConfig() Config {
	return Config{LoadBound: 1.25, Ranks: []RankConfig{
		{Name: "low", Priority: 2, Floor: 0.1, QueueLimit: 6, MaxDuration: 20 * time.Second},
		{Name: "urgent", Priority: 0, Floor: 0.3, QueueLimit: 4, MaxDuration: 20 * time.Second},
		{Name: "normal", Priority: 1, Floor: 0.2, QueueLimit: 5, MaxDuration: 20 * time.Second},
	}}
}

// machine drives a scheduler with random events and compares it with a simple
// model that only counts.
type machine struct {
	s           *Scheduler
	now         time.Time
	lastNumber  int
	workers     map[string]Worker
	waiting     map[string]Request
	held        map[string]Grant
	unaccounted map[string][]unaccountedSlots
	ended       map[string]string // how each request's wait ended, by request ID
	remote      [2]int            // workers and load set by SetRemoteLoad
}

func (m *machine) load(worker string) int {
	count := 0
	for _, g := range m.held {
		if g.Worker == worker {
			count++
		}
	}
	for _, u := range m.unaccounted[worker] {
		if u.expiresAt.After(m.now) {
			count += u.count
		}
	}
	return count
}

// limit returns the load bound of the package's contract, computed independently
// of the scheduler.
func (m *machine) limit(worker string) int {
	load, workers := m.remote[1], m.remote[0]
	for id, w := range m.workers {
		if w.Open {
			load += m.load(id)
			workers++
		}
	}
	limit := int(1.25 * float64(load) / float64(workers))
	if ceil := (load + 1 + workers - 1) / workers; ceil > limit {
		limit = ceil
	}
	return min(limit, m.workers[worker].MaxInFlight)
}

func (m *machine) advance(t *rapid.T) {
	for id, g := range m.held {
		if !m.now.Before(g.ExpiresAt) {
			delete(m.held, id)
		}
	}
	m.s.Advance(m.now, func(g Grant) { m.granted(t, g) }, func(r Refusal) { m.refused(t, r) })
	for id, request := range m.waiting {
		if !request.Deadline.After(m.now) {
			t.Fatalf("%s still waits after its deadline", id)
		}
	}
}

func (m *machine) granted(t *rapid.T, g Grant) {
	request, found := m.waiting[g.RequestID]
	if !found || m.ended[g.RequestID] != "" {
		t.Fatalf("%s granted although it is not waiting (end of its wait: %q)", g.RequestID, m.ended[g.RequestID])
	}
	w := m.workers[g.Worker]
	if !w.Open || m.load(g.Worker) >= m.limit(g.Worker) {
		t.Fatalf("grant on %+v with load %d and limit %d", w, m.load(g.Worker), m.limit(g.Worker))
	}
	if request.Deadline.Before(m.now) {
		t.Fatalf("%s granted after its deadline", g.RequestID)
	}
	m.ended[g.RequestID] = "granted"
	delete(m.waiting, g.RequestID)
	m.held[g.RequestID] = g
}

func (m *machine) refused(t *rapid.T, r Refusal) {
	if m.ended[r.RequestID] != "" {
		t.Fatalf("%s refused although its wait has ended: %q", r.RequestID, m.ended[r.RequestID])
	}
	m.ended[r.RequestID] = "refused"
	delete(m.waiting, r.RequestID)
}

func (m *machine) enqueue(t *rapid.T) {
	m.lastNumber++
	request := Request{
		ID:         fmt.Sprint("q", m.lastNumber),
		Caller:     rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
		Weight:     float64(rapid.IntRange(1, 3).Draw(t, "weight")),
		Workspace:  rapid.SampledFrom([]string{"x", "y"}).Draw(t, "workspace"),
		Rank:       rapid.SampledFrom([]string{"urgent", "normal", "low"}).Draw(t, "rank"),
		CostTokens: int64(rapid.IntRange(1, 500).Draw(t, "cost")),
		Deadline:   m.now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "wait")) * time.Millisecond),
		Workers:    rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"w0", "w1", "w2", "w9"}), 0, 3, rapid.ID).Draw(t, "workers"),
		AnyWorker:  rapid.Bool().Draw(t, "any"),
	}
	m.waiting[request.ID] = request
	refusal := m.s.Enqueue(m.now, request)
	if refusal != nil {
		m.refused(t, *refusal)
	}
}

// Guards the invariants that must hold after every event: no grant exceeds the
// load bound or uses a closed worker, slots are counted exactly, the wait of each
// request ends once, and queues stay within their limits.
func TestStateMachine(t *testing.T) {
	p := proof.Begin(t, proof.Claim{Guarantee: "R1", Kind: "state machine (rapid): bound at each grant", Faults: "closed and removed workers, takeover with unaccounted slots, stale remote load, cancellations"})
	rapid.Check(t, func(t *rapid.T) {
		p.History(0)
		m := &machine{s: New(testConfig()), now: start, workers: map[string]Worker{}, waiting: map[string]Request{},
			held: map[string]Grant{}, unaccounted: map[string][]unaccountedSlots{}, ended: map[string]string{}}
		workers := rapid.SampledFrom([]string{"w0", "w1", "w2", "w3"})
		t.Repeat(map[string]func(*rapid.T){
			"offer":  m.enqueue,
			"offer2": m.enqueue,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				m.advance(t)
			},
			"advance": m.advance,
			"release": func(t *rapid.T) {
				id := fmt.Sprint("q", rapid.IntRange(0, m.lastNumber).Draw(t, "request"))
				_, held := m.held[id]
				if m.s.Release(m.now, id, int64(rapid.IntRange(-1, 900).Draw(t, "actual"))) != held {
					t.Fatalf("Release(%s) did not return %v, as the model expects", id, held)
				}
				delete(m.held, id)
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint("q", rapid.IntRange(0, m.lastNumber).Draw(t, "request"))
				m.s.Cancel(m.now, id)
				if _, waiting := m.waiting[id]; waiting && m.ended[id] == "" {
					m.ended[id] = "cancelled"
					delete(m.waiting, id)
				}
			},
			"worker": func(t *rapid.T) {
				w := Worker{ID: workers.Draw(t, "id"), MaxInFlight: rapid.IntRange(0, 8).Draw(t, "max"), Open: rapid.IntRange(0, 3).Draw(t, "open") > 0}
				m.workers[w.ID] = w
				m.s.SetWorker(m.now, w)
			},
			"remove": func(t *rapid.T) {
				id := workers.Draw(t, "id")
				m.s.RemoveWorker(m.now, id)
				delete(m.workers, id)
				delete(m.unaccounted, id)
				for request, g := range m.held {
					if g.Worker == id {
						delete(m.held, request)
					}
				}
			},
			"others": func(t *rapid.T) {
				m.remote = [2]int{rapid.IntRange(0, 9).Draw(t, "workers"), rapid.IntRange(0, 40).Draw(t, "in flight")}
				m.s.SetRemoteLoad(m.now, m.remote[0], m.remote[1])
			},
			"occupy": func(t *rapid.T) {
				m.lastNumber++
				g := Grant{RequestID: fmt.Sprint("q", m.lastNumber), Worker: workers.Draw(t, "id"), ExpiresAt: m.now.Add(9 * time.Second)}
				m.s.RestoreGrant(m.now, g)
				if _, known := m.workers[g.Worker]; known {
					m.held[g.RequestID] = g
					m.ended[g.RequestID] = "restored"
				}
			},
			"unknown": func(t *rapid.T) {
				id := workers.Draw(t, "id")
				u := unaccountedSlots{rapid.IntRange(1, 4).Draw(t, "count"), m.now.Add(4 * time.Second)}
				m.s.AddUnaccountedSlots(m.now, id, u.count, u.expiresAt)
				if _, known := m.workers[id]; known {
					m.unaccounted[id] = append(m.unaccounted[id], u)
				}
			},
			"configure": func(t *rapid.T) {
				cfg := testConfig()
				cfg.Ranks = cfg.Ranks[rapid.IntRange(0, 2).Draw(t, "removed"):]
				m.s.Configure(m.now, cfg)
			},
			"close": func(t *rapid.T) {
				m.s.RefuseQueued(m.now, func(r Refusal) { m.refused(t, r) })
				if m.s.Queued() != 0 {
					t.Fatalf("%d requests wait in a closed queue", m.s.Queued())
				}
			},
			"": func(t *rapid.T) {
				p.Operations++
				m.check(t)
			},
		})
	})
}

// check compares the counts of the scheduler and the model after each event.
func (m *machine) check(t *rapid.T) {
	m.advance(t)
	used := 0
	for id := range m.workers {
		if len(m.s.HeldGrants(id)) > m.load(id) || m.s.byID[id].load != m.load(id) {
			t.Fatalf("%s holds %d slots, the model %d", id, m.s.byID[id].load, m.load(id))
		}
		used += m.load(id)
	}
	if m.s.InFlight() != used || m.s.Queued() != len(m.waiting) {
		t.Fatalf("in flight %d, queued %d, want %d and %d", m.s.InFlight(), m.s.Queued(), used, len(m.waiting))
	}
	weights := 0.0
	for _, usage := range m.s.callers {
		if usage.requests > 0 {
			weights += usage.weight
		}
	}
	if math.Abs(weights-m.s.totalWeight) > 1e-6 {
		t.Fatalf("weights of active callers are %v, counted as %v", weights, m.s.totalWeight)
	}
	held := 0
	for _, r := range m.s.ranks {
		held += r.slotsHeld
		if r.root.queued > r.cfg.QueueLimit {
			t.Fatalf("rank %s queues %d requests, above its limit", r.cfg.Name, r.root.queued)
		}
	}
	if held > used {
		t.Fatalf("ranks hold %d of %d slots", held, used)
	}
	wake := m.s.NextWake(m.now)
	if !wake.IsZero() && !wake.After(m.now) {
		t.Fatalf("next wake %v is not after %v", wake, m.now)
	}
}
