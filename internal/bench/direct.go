package bench

import (
	"time"

	"github.com/auburnlead/auburnlead/placement"
)

// picker is a way of deciding without holders.
type picker interface {
	arrive(s *sim, r *request)
	done(s *sim, r *request)
}

// direct lets each router choose an engine on its own. Requests beyond the
// engine's slots wait in the engine's queue in order of arrival.
type direct struct {
	choose func(s *sim, r *request, table *placement.Table) int
	own    [][]int // requests in flight by router and worker, for boundedAlone
	lagged map[string]int
	polled time.Duration
	turn   []int
}

func (d *direct) arrive(s *sim, r *request) {
	table := s.tables[r.router]
	r.worker = s.engines[table.Node(d.choose(s, r, table)).ID]
	s.after(s.latency, func() {
		s.occupied(r.worker)
		if r.worker.running > slotsPerWork {
			r.worker.queue = append(r.worker.queue, r)
			return
		}
		r.granted = s.now
		s.start(r)
	})
}

func (d *direct) done(s *sim, r *request) {
	w := r.worker
	w.running--
	if d.own != nil {
		d.own[r.router][s.slot(w.id)]--
	}
	if len(w.queue) > 0 {
		next := w.queue[0]
		w.queue = w.queue[1:]
		next.granted = s.now
		s.start(next)
	}
}

// slot returns the index of a worker's place in the domain.
func (s *sim) slot(id string) int {
	index := 0
	for _, c := range id[1:] {
		index = index*10 + int(c-'0')
	}
	return index
}

func roundRobin() picker {
	d := &direct{}
	d.choose = func(s *sim, r *request, table *placement.Table) int {
		if d.turn == nil {
			d.turn = make([]int, s.trace.domain.Routers)
		}
		d.turn[r.router]++
		return d.turn[r.router] % table.Len()
	}
	return d
}

// leastLoad takes the worker with the least load in reports that are up to one
// second old, the same for all routers.
func leastLoad() picker {
	d := &direct{lagged: map[string]int{}, polled: -time.Second}
	d.choose = func(s *sim, r *request, table *placement.Table) int {
		if s.now >= d.polled+time.Second {
			d.polled = s.now
			for id, e := range s.engines {
				d.lagged[id] = e.running
			}
		}
		least := s.rng.IntN(table.Len())
		for i := range table.Len() {
			if d.lagged[table.Node(i).ID] < d.lagged[table.Node(least).ID] {
				least = i
			}
		}
		return least
	}
	return d
}

// plainHashing is rendezvous hashing without a bound.
func plainHashing() picker {
	d := &direct{}
	d.choose = func(s *sim, r *request, table *placement.Table) int {
		return table.Choose(make([]int, 1), placement.Hash(r.chat), 0)[0]
	}
	return d
}

// boundedAlone is bounded-load hashing in each router over its own requests.
func boundedAlone() picker {
	d := &direct{}
	d.choose = func(s *sim, r *request, table *placement.Table) int {
		if d.own == nil {
			for range s.trace.domain.Routers {
				d.own = append(d.own, make([]int, s.trace.domain.Workers))
			}
		}
		own := d.own[r.router]
		load := 0
		for _, n := range own {
			load += n
		}
		limit := hardBound(table.Len(), load)
		for _, index := range table.Choose(make([]int, table.Len()), placement.Hash(r.chat), 0) {
			slot := s.slot(table.Node(index).ID)
			if own[slot] < limit {
				own[slot]++
				return index
			}
		}
		return 0
	}
	return d
}

// oracle knows every cache and every load at each moment. It takes the worker
// with the longest cached prefix among those with room under the same bound,
// the least loaded one of equals. Requests that find no room wait in one queue.
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
		w := o.best(s, o.waiting[0].chat)
		if w == nil {
			return
		}
		r := o.waiting[0]
		o.waiting = o.waiting[1:]
		r.worker = w
		r.granted = s.now
		s.occupied(w)
		s.start(r)
	}
}

func (o *oracle) best(s *sim, chat string) *engine {
	load := 0
	for _, e := range s.open {
		load += e.running
	}
	limit := min(slotsPerWork, hardBound(len(s.open), load))
	var best *engine
	for _, e := range s.open {
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
