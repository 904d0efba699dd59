package dispatch

import (
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/placement"
)

// index is what dispatch needs of one revision.
type index struct {
	set      *objects.Set
	models   map[string][]*pool // engine upstreams by model
	services map[string]*pool
}

// pool is an upstream with its workers that get new work.
type pool struct {
	upstream *objects.Upstream
	hash     uint64
	own      side // workers of this router's failure domain
	others   side // workers of the other domains
}

// side is a list of workers to place requests on.
type side struct {
	ids    []string
	hashes []uint64
}

func (s *side) add(worker string) {
	s.ids = append(s.ids, worker)
	s.hashes = append(s.hashes, placement.Hash(worker))
}

func newIndex(set *objects.Set, domain string) *index {
	x := &index{set: set, models: map[string][]*pool{}, services: map[string]*pool{}}
	for name, u := range set.Upstreams {
		p := &pool{upstream: u, hash: placement.Hash(name)}
		for _, w := range u.Workers {
			switch {
			case u.IsDraining(w.ID):
			case w.FailureDomain == domain:
				p.own.add(w.ID)
			default:
				p.others.add(w.ID)
			}
		}
		if u.Kind == objects.UpstreamService {
			x.services[name] = p
			continue
		}
		for _, model := range u.Models {
			x.models[model] = append(x.models[model], p)
		}
	}
	return x
}

// engines returns the pools for a model, or for the first fallback that has
// workers, and the name of the model they serve.
func (x *index) engines(model string) ([]*pool, string) {
	// Fallbacks form no cycle; the bound keeps an unchecked set from looping.
	for range len(x.set.Models) + 1 {
		var usable []*pool
		for _, p := range x.models[model] {
			if len(p.own.ids)+len(p.others.ids) > 0 {
				usable = append(usable, p)
			}
		}
		if len(usable) > 0 {
			return usable, model
		}
		m := x.set.Models[model]
		if m == nil || m.Fallback == "" {
			return nil, model
		}
		model = m.Fallback
	}
	return nil, model
}

// choices is the number of workers looked at to find two that are usable. More
// than a few are left out only when many workers have just failed.
const choices = 8

// plan walks through the workers acceptable to one request: first and second
// choice in the own failure domain, then in the other domains as overflow.
type plan struct {
	key    uint64
	pools  []*pool
	stage  int      // one for each pool's own domain, then one for its others
	avoid  []string // workers that have failed this request
	health *health
}

func newPlan(key uint64, pools []*pool, h *health) *plan {
	if len(pools) > 1 {
		pools = slices.Clone(pools)
		slices.SortFunc(pools, func(a, b *pool) int {
			if placement.Score(key, a.hash) > placement.Score(key, b.hash) {
				return -1
			}
			return 1
		})
	}
	return &plan{key: key, pools: pools, health: h}
}

// next returns the upstream and the first and second choice of the current
// stage, or the next one that has any; nil when all stages are used up.
func (p *plan) next(now time.Time) (*pool, []string) {
	for ; p.stage < 2*len(p.pools); p.stage++ {
		from := p.pools[p.stage%len(p.pools)]
		s := &from.own
		if p.stage >= len(p.pools) {
			s = &from.others
		}
		if workers := p.choose(now, from.upstream.Name, s); len(workers) > 0 {
			return from, workers
		}
	}
	return nil, nil
}

func (p *plan) choose(now time.Time, upstream string, s *side) []string {
	var space [choices]int
	workers := make([]string, 0, 2)
	for _, i := range placement.Choose(space[:], p.key, s.hashes) {
		id := s.ids[i]
		if len(workers) < 2 && !slices.Contains(p.avoid, id) && !p.health.ejected(now, upstream, id) {
			workers = append(workers, id)
		}
	}
	return workers
}

// overflows reports whether the plan has workers in the own and other domains.
func (p *plan) overflows() bool {
	own, others := false, false
	for _, from := range p.pools {
		own = own || len(from.own.ids) > 0
		others = others || len(from.others.ids) > 0
	}
	return own && others
}

// leave goes on to the next stage.
func (p *plan) leave() { p.stage++ }

// exclude leaves a worker out from now on.
func (p *plan) exclude(worker string) { p.avoid = append(p.avoid, worker) }

// restart begins again with all workers but those of failed attempts.
func (p *plan) restart(failed []string) {
	p.stage = 0
	p.avoid = append(p.avoid[:0], failed...)
}

func (d *Dispatcher) apply(p *core.ConfigRevision) {
	d.health.resize(time.Now(), p.Set)
	d.index.Store(newIndex(p.Set, d.domain))
}
