// Package objects defines the configuration that operators publish: a set of
// named objects (ranks, models, callers, upstreams, routes) that refer to one
// another. A set is parsed, checked and published as a unit.
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

// Set is a complete configuration. The maps are keyed by object name. A Set is
// not modified after it has been checked.
type Set struct {
	Ranks     map[string]*Rank     `json:"ranks"`
	Models    map[string]*Model    `json:"models"`
	Callers   map[string]*Caller   `json:"callers"`
	Upstreams map[string]*Upstream `json:"upstreams"`
	Routes    map[string]*Route    `json:"routes,omitempty"`
}

// Rank is a service class: a class of requests with a latency target and a
// guaranteed share of capacity.
type Rank struct {
	Name string `json:"name"`
	// Priority orders the ranks; lower is more urgent. 0 to 9, unique in a set.
	Priority int `json:"priority"`
	// Floor is the share of capacity that the rank is guaranteed under overload
	// by other ranks. 0 to 1; the floors of a set add up to at most 1. Default 0.
	Floor float64 `json:"floor"`
	// TargetWait is the target for the time that a request of the rank waits
	// for a slot. Default 1 s.
	TargetWait time.Duration `json:"target_wait"`
	// MaxDuration bounds the time from the grant of a slot to the end of the
	// request. 1 s to 1 h, default 120 s.
	MaxDuration time.Duration `json:"max_duration"`
	// QueueLimit bounds the requests of the rank that wait at one router for
	// slots that it grants. 1 to 100000, default 200.
	QueueLimit int `json:"queue_limit"`
}

// Model is one version of a model.
type Model struct {
	Name string `json:"name"`
	// Weights is the name of the model's weights in the weight store.
	Weights string `json:"weights"`
	// ContextTokens bounds the tokens of prompt and completion together.
	// Default 8192.
	ContextTokens int `json:"context_tokens"`
	// Fallback is the name of the model to use if no worker serves this one.
	// Empty for none; fallbacks must not form a cycle.
	Fallback string `json:"fallback,omitempty"`
}

// Caller is a client of the fleet, identified by its keys.
type Caller struct {
	Name string `json:"name"`
	// KeySHA256 is the SHA-256 of the caller's bearer key in lower-case hex.
	KeySHA256 string `json:"key_sha256"`
	// MoreKeySHA256 are the digests of additional keys, so that keys can be
	// rotated without an interruption.
	MoreKeySHA256 []string `json:"more_key_sha256,omitempty"`
	// Priority of the caller's requests on routes, 0 to 9. It overrides the
	// priority of the route; nil uses the route's.
	Priority *int `json:"priority,omitempty"`
	// Ranks the caller may use.
	Ranks []string `json:"ranks"`
	// DefaultRank applies to requests that name no rank; one of Ranks.
	DefaultRank string `json:"default_rank"`
	// Models the caller may use.
	Models []string `json:"models,omitempty"`
	// Services the caller may use: names of upstreams of kind service.
	Services []string `json:"services,omitempty"`
	// Weight is the caller's weight in fair queueing within a rank. Above 0,
	// default 1.
	Weight float64 `json:"weight"`
	// Diagnostics adds the ID of the worker that served a request to its
	// response. Default false.
	Diagnostics bool `json:"diagnostics,omitempty"`
}

// Keys returns the digests of all keys of the caller.
func (c *Caller) Keys() []string {
	return append([]string{c.KeySHA256}, c.MoreKeySHA256...)
}

// UpstreamKind distinguishes model engines from plain services.
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
	// ReportsLoad states whether the workers support GET /v1/load. Default
	// false.
	ReportsLoad bool `json:"reports_load,omitempty"`
	// ChecksFencing states whether the workers reject load and unload orders
	// with an outdated fencing token. Default false.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
	// ManageModels makes the routers load and unload models until each worker
	// has exactly the models in Models. Only for engines with ReportsLoad.
	// Default false.
	ManageModels bool `json:"manage_models,omitempty"`
	// LoadBound limits the load of each worker to this multiple of the mean
	// load of the upstream's workers. At least 1.05, default 1.25.
	LoadBound float64 `json:"load_bound"`
	// MaxInFlight bounds the requests in flight on one worker. 1 to 4096,
	// default 16.
	MaxInFlight int `json:"max_in_flight"`
	// ColdStart is how long a worker is cold after it has started during traffic, and
	// ColdRate the requests per second that it takes from all routers meanwhile. Routes
	// only. 0 to 1 h and 0 to 1000000, default 0 for none.
	ColdStart time.Duration `json:"cold_start,omitempty"`
	ColdRate  float64       `json:"cold_rate,omitempty"`
	// KVCapacity is the number of tokens that the memory of a worker holds. Default 0,
	// not known.
	KVCapacity int `json:"kv_capacity,omitempty"`
	// OnceMethods are the HTTP methods whose requests need an Idempotency-Key
	// and run at most once; services only.
	OnceMethods []string `json:"once_methods,omitempty"`
	// Workers are sorted by ID, so that adding or removing one changes no other
	// part of the canonical encoding.
	Workers []Worker `json:"workers"`
	// Draining lists the IDs of workers that get no new requests, sorted.
	Draining []string `json:"draining,omitempty"`
}

// Worker is one server process of an upstream.
type Worker struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// URL is the base URL; its host is an IP address.
	URL string `json:"url"`
}

// IsDraining reports whether the worker gets no new requests.
func (u *Upstream) IsDraining(worker string) bool {
	for _, id := range u.Draining {
		if id == worker {
			return true
		}
	}
	return false
}
