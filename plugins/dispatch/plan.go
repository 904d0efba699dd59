package dispatch

import (
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/placement"
)

// routingIndex maps models and services to upstream pools for one configuration
// revision.
type routingIndex struct {
	set      *objects.Set
	models   map[string][]*upstreamPool // engine upstreams by model
	services map[string]*upstreamPool
}

// upstreamPool is an upstream with its workers, except those that are draining.
type upstreamPool struct {
	upstream *objects.Upstream
	hash     uint64
	local    workerGroup // workers in this router's failure domain
	remote   workerGroup // workers in other failure domains
}

// workerGroup is a list of workers with their placement hashes.
type workerGroup struct {
	ids    []string
	hashes []uint64
}

func (g *workerGroup) add(worker string) {
	g.ids = append(g.ids, worker)
	g.hashes = append(g.hashes, placement.Hash(worker))
}

func newRoutingIndex(set *objects.Set, domain string) *routingIndex {
	x := &routingIndex{set: set, models: map[string][]*upstreamPool{}, services: map[string]*upstreamPool{}}
	for name, u := range set.Upstreams {
		p := &upstreamPool{upstream: u, hash: placement.Hash(name)}
		for _, w := range u.Workers {
			switch {
			case u.IsDraining(w.ID):
			case w.FailureDomain == domain:
				p.local.add(w.ID)
			default:
				p.remote.add(w.ID)
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

// poolsForModel returns the pools for a model, or for the first model in its
// chain of fallbacks that has workers, and the name of the model they serve.
func (x *routingIndex) poolsForModel(model string) ([]*upstreamPool, string) {
	// A validated set has no cycle of fallbacks; the limit prevents an endless
	// loop with one that was not validated.
	for range len(x.set.Models) + 1 {
		var usable []*upstreamPool
		for _, p := range x.models[model] {
			if len(p.local.ids)+len(p.remote.ids) > 0 {
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

// maxConsidered is the number of workers considered to find two that are neither
// excluded nor ejected. More than a few are skipped only when many workers have
// just failed.
const maxConsidered = 8

// candidatePlan yields the candidate workers of one request in order: the first
// and second choice in the local failure domain, then in the remote domains if the
// local one cannot take the request.
type candidatePlan struct {
	key      uint64
	pools    []*upstreamPool // by descending placement score
	stage    int             // index of the current group: the local groups of all pools, then their remote groups
	excluded []string        // workers to skip
	health   *workerHealth
}

func newCandidatePlan(key uint64, pools []*upstreamPool, h *workerHealth) *candidatePlan {
	if len(pools) > 1 {
		pools = slices.Clone(pools)
		slices.SortFunc(pools, func(a, b *upstreamPool) int {
			if placement.Score(key, a.hash) > placement.Score(key, b.hash) {
				return -1
			}
			return 1
		})
	}
	return &candidatePlan{key: key, pools: pools, health: h}
}

// next returns the pool and the first and second choice of the current stage, or
// of the next stage that has candidates; nil after the last stage.
func (p *candidatePlan) next(now time.Time) (*upstreamPool, []string) {
	for ; p.stage < 2*len(p.pools); p.stage++ {
		pool := p.pools[p.stage%len(p.pools)]
		group := &pool.local
		if p.stage >= len(p.pools) {
			group = &pool.remote
		}
		if workers := p.pickTwo(now, pool.upstream.Name, group); len(workers) > 0 {
			return pool, workers
		}
	}
	return nil, nil
}

// pickTwo returns up to two workers of a group that are neither excluded nor
// ejected, in order of preference.
func (p *candidatePlan) pickTwo(now time.Time, upstream string, group *workerGroup) []string {
	var indexes [maxConsidered]int
	workers := make([]string, 0, 2)
	for _, i := range placement.Choose(indexes[:], p.key, group.hashes) {
		id := group.ids[i]
		if len(workers) < 2 && !slices.Contains(p.excluded, id) && !p.health.ejected(now, upstream, id) {
			workers = append(workers, id)
		}
	}
	return workers
}

// spansDomains reports whether the plan has both local and remote workers.
func (p *candidatePlan) spansDomains() bool {
	local, remote := false, false
	for _, pool := range p.pools {
		local = local || len(pool.local.ids) > 0
		remote = remote || len(pool.remote.ids) > 0
	}
	return local && remote
}

// skipStage moves on to the next stage.
func (p *candidatePlan) skipStage() { p.stage++ }

// exclude skips a worker until restart.
func (p *candidatePlan) exclude(worker string) { p.excluded = append(p.excluded, worker) }

// restart returns to the first stage and excludes only the workers of failed
// attempts.
func (p *candidatePlan) restart(failed []string) {
	p.stage = 0
	p.excluded = append(p.excluded[:0], failed...)
}

func (d *Dispatcher) apply(revision *core.ConfigRevision) {
	d.health.apply(time.Now(), revision.Set)
	d.index.Store(newRoutingIndex(revision.Set, d.domain))
}
