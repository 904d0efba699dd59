// Package objects defines the published configuration: a set of named objects
// (ranks, models, callers, upstreams, routes) that refer to one another. A set is
// parsed, checked and published as a unit.
package objects

import "time"

// Kind is the kind of an object, the first word of its section name.
type Kind string

// Kinds of objects.
const (
	KindRank     Kind = "rank"
	KindModel    Kind = "model"
	KindCaller   Kind = "caller"
	KindUpstream Kind = "upstream"
	KindRoute    Kind = "route"
)

// Set is a whole configuration. The maps are keyed by object name. A Set that
// has been checked is not modified any more.
type Set struct {
	Ranks     map[string]*Rank     `json:"ranks"`
	Models    map[string]*Model    `json:"models"`
	Callers   map[string]*Caller   `json:"callers"`
	Upstreams map[string]*Upstream `json:"upstreams"`
	Routes    map[string]*Route    `json:"routes,omitempty"`
}

// Rank is a class of work with its target and its guaranteed share.
type Rank struct {
	Name string `json:"name"`
	// Priority orders ranks; lower is more urgent. 0 to 9, unique in a set.
	Priority int `json:"priority"`
	// Floor is the share of capacity that the rank keeps while others flood.
	// 0 to 1; the floors of a set add up to at most 1. Default 0.
	Floor float64 `json:"floor"`
	// TargetWait is the wait for a slot that the rank aims at. Default 1 s.
	TargetWait time.Duration `json:"target_wait"`
	// MaxDuration bounds one request from its grant to its end. 1 s to 1 h,
	// default 120 s.
	MaxDuration time.Duration `json:"max_duration"`
	// QueueLimit bounds the requests of the rank waiting at one holder.
	// 1 to 100000, default 200.
	QueueLimit int `json:"queue_limit"`
}

// Model is one version of a model.
type Model struct {
	Name string `json:"name"`
	// Weights names the weights in the weight store.
	Weights string `json:"weights"`
	// ContextTokens bounds prompt and answer together. Default 8192.
	ContextTokens int `json:"context_tokens"`
	// Fallback names the model to use when no worker serves this one. Empty
	// for none; fallbacks form no cycle.
	Fallback string `json:"fallback,omitempty"`
}

// Caller is a customer of the fleet.
type Caller struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the caller's bearer key in lower-case hex.
	KeySHA256 string `json:"key_sha256"`
	// MoreKeySHA256 are the digests of further keys, so that keys can be
	// replaced without a gap.
	MoreKeySHA256 []string `json:"more_key_sha256,omitempty"`
	// Priority of the caller's requests on routes, 0 to 9. It goes before the
	// route's. Nil takes the route's.
	Priority *int `json:"priority,omitempty"`
	// Ranks the caller may use.
	Ranks []string `json:"ranks"`
	// DefaultRank applies to requests that name none; one of Ranks.
	DefaultRank string `json:"default_rank"`
	// Models the caller may use.
	Models []string `json:"models,omitempty"`
	// Services the caller may use: names of upstreams of kind service.
	Services []string `json:"services,omitempty"`
	// Weight is the caller's fair share within a rank. Above 0, default 1.
	Weight float64 `json:"weight"`
	// Diagnostics adds the serving worker's ID to answers. Default false.
	Diagnostics bool `json:"diagnostics,omitempty"`
}

// Keys returns the digests of all keys of the caller.
func (c *Caller) Keys() []string {
	return append([]string{c.KeySHA256}, c.MoreKeySHA256...)
}

// UpstreamKind tells engines from plain services.
type UpstreamKind string

// Kinds of upstreams.
const (
	UpstreamEngine  UpstreamKind = "engine"
	UpstreamService UpstreamKind = "service"
)

// Upstream is a pool of workers that serve the same models or service.
type Upstream struct {
	Name string       `json:"name"`
	Kind UpstreamKind `json:"kind"`
	// Models that the workers serve; engines only.
	Models []string `json:"models,omitempty"`
	// ReportsLoad says that workers answer GET /v1/load. Default false.
	ReportsLoad bool `json:"reports_load,omitempty"`
	// ChecksFencing says that workers refuse orders with an old fencing
	// token. Default false.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// ManageModels has the routers load and unload models until each worker
	// has exactly Models; engines that report load only. Default false.
	ManageModels bool `json:"manage_models,omitempty"`
	// LoadBound is the multiple of the mean load that no worker exceeds.
	// At least 1.05, default 1.25.
	LoadBound float64 `json:"load_bound"`
	// MaxInFlight bounds the requests in flight on one worker. 1 to 4096,
	// default 16.
	MaxInFlight int `json:"max_in_flight"`
	// OnceMethods are the methods that need an Idempotency-Key and run at
	// most once; services only.
	OnceMethods []string `json:"once_methods,omitempty"`
	// Workers sorted by ID, so that adding or removing one changes no other
	// part of the canonical encoding.
	Workers []Worker `json:"workers"`
	// Draining lists workers that get no new work, sorted.
	Draining []string `json:"draining,omitempty"`
}

// Worker is one process of an upstream.
type Worker struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// URL is the base URL, with an IP address as host.
	URL string `json:"url"`
}

// IsDraining reports whether the worker gets no new work.
func (u *Upstream) IsDraining(worker string) bool {
	for _, id := range u.Draining {
		if id == worker {
			return true
		}
	}
	return false
}
