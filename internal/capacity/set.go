package capacity

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/auburnlead/auburnlead/objects"
)

// SetSize is the size of a published set.
type SetSize struct {
	Workers int // in all failure domains
	Callers int
}

// pools is the number of upstreams, one for each model in use.
const pools = 6

// RouterName names a router of a domain. This and the other names are as long as
// those of a deployment.
func RouterName(domain, i int) string { return fmt.Sprintf("router-%02d-%02d", domain, i) }

// DomainName returns the name of a failure domain.
func DomainName(domain int) string { return fmt.Sprintf("cape-west-%02d", domain) }

// CallerName returns the name of a caller.
func CallerName(i int) string { return fmt.Sprintf("committee-%05d", i) }

// WorkerName returns the ID of a worker of a domain.
func WorkerName(domain, i int) string { return fmt.Sprintf("engine-%02d-%03d", domain, i) }

// PoolName returns the name of the upstream of a worker.
func PoolName(i int) string { return fmt.Sprintf("juror-assist-%d", i%pools) }

// NewSet returns a set with the fleet's workers at the given URLs. If size has more
// workers, it adds workers of domains that have no router in the fleet.
func NewSet(size SetSize, fleet FleetSize, urls []string) *objects.Set {
	s := objects.NewSet()
	for i, name := range []string{"urgent", "normal", "bulk"} {
		s.Ranks[name] = &objects.Rank{Name: name, Priority: i, Floor: 0.2, TargetWait: time.Second, MaxDuration: 2 * time.Minute, QueueLimit: 200}
	}
	for i := range pools {
		model := fmt.Sprintf("juror-8b-v%d", i)
		s.Models[model] = &objects.Model{Name: model, Weights: "juror/" + model, ContextTokens: 8192}
		s.Upstreams[PoolName(i)] = &objects.Upstream{
			Name: PoolName(i), Kind: objects.UpstreamEngine, Models: []string{model}, ReportsLoad: true, LoadBound: 1.25, MaxInFlight: 16,
		}
	}
	for i := range size.Callers {
		name := CallerName(i)
		s.Callers[name] = &objects.Caller{
			Name: name, KeySHA256: fmt.Sprintf("%064x", i+1), Ranks: []string{"urgent", "normal"}, DefaultRank: "normal",
			Models: []string{"juror-8b-v0", "juror-8b-v1"}, Weight: 1,
		}
	}
	addWorkers(s, size, fleet, urls)
	return s
}

func addWorkers(s *objects.Set, size SetSize, fleet FleetSize, urls []string) {
	const otherDomainWorkers = 61 // workers in each domain without a router
	for i := range max(size.Workers, len(urls), pools) {
		perDomain, firstDomain, url := otherDomainWorkers, fleet.Domains, fmt.Sprintf("http://10.1.%d.%d:9000", i/250, i%250)
		index := i - len(urls)
		if index < 0 {
			perDomain, firstDomain, url, index = fleet.Workers, 0, urls[i], i
		}
		d, n := firstDomain+index/perDomain, index%perDomain
		u := s.Upstreams[PoolName(n)]
		u.Workers = append(u.Workers, objects.Worker{ID: WorkerName(d, n), FailureDomain: DomainName(d), URL: url})
	}
	for _, u := range s.Upstreams {
		slices.SortFunc(u.Workers, func(a, b objects.Worker) int { return cmp.Compare(a.ID, b.ID) })
	}
}
