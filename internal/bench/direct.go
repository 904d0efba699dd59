package bench

import (
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// dispatcher assigns requests to engines in strategies without slot holders.
type dispatcher interface {
	arrive(s *sim, r *request)
	done(s *sim, r *request)
}

// directDispatcher lets each router choose an engine on its own. Requests
// beyond the engine's slots wait in the engine's queue in order of arrival.
type directDispatcher struct {
	choose      func(s *sim, r *request, table *placement.Table) int
	ownInFlight [][]int        // requests in flight by router and worker, for boundedPerRouter
	polledLoads map[string]int // load reports by worker, for leastLoad
	polledAt    time.Duration
	nextWorker  []int // by router, for roundRobin
}

func (d *directDispatcher) arrive(s *sim, r *request) {
	table := s.tables[r.router]
	r.worker = s.engines[table.Node(d.choose(s, r, table)).ID]
	s.schedule(s.latency, func() {
		s.occupySlot(r.worker)
		if r.worker.running > slotsPerWorker {
			r.worker.queue = append(r.worker.queue, r)
			return
		}
		r.grantedAt = s.now
		s.startRequest(r)
	})
}

func (d *directDispatcher) done(s *sim, r *request) {
	w := r.worker
	w.running--
	if d.ownInFlight != nil {
		d.ownInFlight[r.router][s.workerIndex(w.id)]--
	}
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		next.grantedAt = s.now
		s.startRequest(next)
	}
}

// workerIndex returns the index of a worker in the domain, which follows the
// first letter of its ID.
func (s *sim) workerIndex(id string) int {
	index := 0
	for _, c := range id[1:] {
		index = index*10 + int(c-'0')
	}
	return index
}

func roundRobin() dispatcher {
	d := &directDispatcher{}
	d.choose = func(s *sim, r *request, table *placement.Table) int {
		if d.nextWorker == nil {
			d.nextWorker = make([]int, s.trace.domain.Routers)
		}
		d.nextWorker[r.router]++
		return d.nextWorker[r.router] % table.Len()
	}
	return d
}

// leastLoad chooses the worker with the least load according to reports that
// are up to one second old and the same for all routers.
func leastLoad() dispatcher {
	d := &directDispatcher{polledLoads: map[string]int{}, polledAt: -time.Second}
	d.choose = func(s *sim, r *request, table *placement.Table) int {
		if s.now >= d.polledAt+time.Second {
			d.polledAt = s.now
			for id, e := range s.engines {
				d.polledLoads[id] = e.running
			}
		}
		least := s.rng.IntN(table.Len())
		for i := range table.Len() {
			if d.polledLoads[table.Node(i).ID] < d.polledLoads[table.Node(least).ID] {
				least = i
			}
		}
		return least
	}
	return d
}

// plainHashing is rendezvous hashing without a load bound.
func plainHashing() dispatcher {
	d := &directDispatcher{}
	d.choose = func(s *sim, r *request, table *placement.Table) int {
		return table.Choose(make([]int, 1), placement.Hash(r.chat), 0)[0]
	}
	return d
}

// boundedPerRouter is bounded-load hashing in which each router counts only its
// own requests.
func boundedPerRouter() dispatcher {
	d := &directDispatcher{}
	d.choose = func(s *sim, r *request, table *placement.Table) int {
		if d.ownInFlight == nil {
			for range s.trace.domain.Routers {
				d.ownInFlight = append(d.ownInFlight, make([]int, s.trace.domain.Workers))
			}
		}
		own := d.ownInFlight[r.router]
		load := 0
		for _, n := range own {
			load += n
		}
		limit := loadLimit(table.Len(), load)
		for _, index := range table.Choose(make([]int, table.Len()), placement.Hash(r.chat), 0) {
			worker := s.workerIndex(table.Node(index).ID)
			if own[worker] < limit {
				own[worker]++
				return index
			}
		}
		return 0
	}
	return d
}

// oracle knows every cache and every load at each moment. Among the workers
// with free capacity under the same load bound it chooses the one with the longest
// cached prefix; ties go to the least loaded one. Requests that find no free
// worker wait in one queue.
type oracle struct {
	waiting []*request
}

func (o *oracle) arrive(s *sim, r *request) {
	o.waiting = append(o.waiting, r)
	o.serve(s)
}

func (o *oracle) done(s *sim, r *request) {
	r.worker.running--
	o.serve(s)
}

func (o *oracle) serve(s *sim) {
	for len(o.waiting) > 0 {
		w := o.bestEngine(s, o.waiting[0].chat)
		if w == nil {
			return
		}
		r := o.waiting[0]
		o.waiting = o.waiting[1:]
		r.worker = w
		r.grantedAt = s.now
		s.occupySlot(w)
		s.startRequest(r)
	}
}

func (o *oracle) bestEngine(s *sim, chat string) *engine {
	load := 0
	for _, e := range s.openEngines {
		load += e.running
	}
	limit := min(slotsPerWorker, loadLimit(len(s.openEngines), load))
	var best *engine
	for _, e := range s.openEngines {
		if e.running >= limit {
			continue
		}
		if best == nil || e.prefix(chat) > best.prefix(chat) ||
			e.prefix(chat) == best.prefix(chat) && e.running < best.running {
			best = e
		}
	}
	return best
}
