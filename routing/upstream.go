package routing

import "time"

// UpstreamConfig is the part of an upstream's configuration that the choice of workers
// depends on.
type UpstreamConfig struct {
	ColdStart  time.Duration // how long a worker is cold after its start during traffic
	ColdRate   float64       // requests per second that a cold worker takes, 0 for no limit
	KVCapacity int           // tokens that the memory of a worker holds, 0 if not known
}

// ConfigureUpstreams replaces the configuration of the upstreams, by name.
func (f *Fleet) ConfigureUpstreams(upstreams map[string]UpstreamConfig) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = upstreams
	for name, p := range f.pools {
		p.config = upstreams[name]
	}
	f.updateColdRates()
}
