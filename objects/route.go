package objects

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RouteKind determines how often a request of a route may run.
type RouteKind string

// Kinds of routes.
const (
	// RouteIdempotent: requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce: requests run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream: the response is a stream of numbered events. Requests run at
	// most once, unless the route is resumable.
	RouteStream RouteKind = "stream"
)

// Route maps the requests of a host and a path prefix to upstreams.
type Route struct {
	Name string `json:"name"`
	// Host is the host name of the requests, without port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash. The longest prefix wins.
	Prefix string    `json:"prefix"`
	Kind   RouteKind `json:"kind"`
	// Timeout bounds the duration of a request. 1 ms to 1 h, default 30 s.
	Timeout time.Duration `json:"timeout"`
	// Target is the latency target of a response, or of the first event of a
	// stream. Default 1 s.
	Target time.Duration `json:"target"`
	// GapTarget is the target for the longest pause between two events of a
	// stream. Default 1 s.
	GapTarget time.Duration `json:"gap_target"`
	// Priority of the requests; lower is more urgent. 0 to 9, default 5.
	Priority int `json:"priority"`
	// MaxAttempts bounds the number of workers that may have run one request.
	// Workers that have certainly not run it do not count. Default 1.
	MaxAttempts int `json:"max_attempts"`
	// Public routes need no caller key. Default false.
	Public bool `json:"public,omitempty"`
	// Sticky routes carry prompts; requests whose prompts share a prefix go to
	// the same worker if its load permits. Default false.
	Sticky bool `json:"sticky,omitempty"`
	// Resumable streams may be continued by another worker. Default false.
	Resumable bool `json:"resumable,omitempty"`
	// Destinations receive the route's requests in proportion to their weights.
	Destinations []Destination `json:"destinations"`
}

// Destination is an upstream that receives a share of a route's requests.
type Destination struct {
	Upstream string `json:"upstream"`
	// Weight is the share relative to the other weights. 0 receives no requests.
	Weight int `json:"weight"`
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// maxWeight bounds a destination's weight, so that the sum of weights stays
// small.
const maxWeight = 1_000_000

var routeFields = []field[Route]{
	stringField("host", "a host name without port", true, validName, func(r *Route) *string { return &r.Host }),
	stringField("prefix", "a path that begins and ends with a slash", true, validPrefix, func(r *Route) *string { return &r.Prefix }),
	stringField("kind", "idempotent, once, stream", true, validRouteKind, func(r *Route) *string { return (*string)(&r.Kind) }),
	durationField("timeout", "30s", time.Millisecond, time.Hour, func(r *Route) *time.Duration { return &r.Timeout }),
	durationField("target", "1s", time.Millisecond, time.Hour, func(r *Route) *time.Duration { return &r.Target }),
	durationField("gap_target", "1s", time.Millisecond, time.Hour, func(r *Route) *time.Duration { return &r.GapTarget }),
	intField("priority", "5", 0, 9, func(r *Route) *int { return &r.Priority }),
	intField("max_attempts", "1", 1, 10, func(r *Route) *int { return &r.MaxAttempts }),
	boolField("public", func(r *Route) *bool { return &r.Public }),
	boolField("sticky", func(r *Route) *bool { return &r.Sticky }),
	boolField("resumable", func(r *Route) *bool { return &r.Resumable }),
	{
		key: "destination", required: true, repeated: true,
		allowed: fmt.Sprintf("name of an upstream and a weight of 0 to %d, separated by a space", maxWeight),
		get:     destinationLines, set: addDestination, check: checkDestinations,
	},
}

func validPrefix(s string) bool {
	return strings.HasPrefix(s, "/") && strings.HasSuffix(s, "/")
}

func validRouteKind(s string) bool {
	return slices.Contains([]RouteKind{RouteIdempotent, RouteOnce, RouteStream}, RouteKind(s))
}

func destinationLines(r *Route) []string {
	lines := make([]string, len(r.Destinations))
	for i, d := range r.Destinations {
		lines[i] = d.Upstream + " " + strconv.Itoa(d.Weight)
	}
	return lines
}

func addDestination(r *Route, text string) error {
	name, weight, ok := strings.Cut(text, " ")
	n, err := strconv.Atoi(strings.TrimSpace(weight))
	if !ok || err != nil || n < 0 || n > maxWeight {
		return fmt.Errorf("%q is not a name and a weight", text)
	}
	r.Destinations = append(r.Destinations, Destination{Upstream: name, Weight: n})
	return nil
}

func checkDestinations(r *Route) string {
	total := 0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	if total <= 0 {
		return "no destination has a weight above 0"
	}
	return ""
}

// checkRoute reports destinations that do not exist.
func (c *checker) checkRoute(section string, r *Route) {
	for _, d := range r.Destinations {
		if c.set.Upstreams[d.Upstream] == nil {
			c.report(section, "destination", fmt.Sprintf("upstream %q does not exist", d.Upstream), "names of upstreams", "add the upstream or correct the name")
		}
	}
}

// checkRoutePrefixes reports routes with the same host and prefix.
func (c *checker) checkRoutePrefixes() {
	owner := map[[2]string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.set.Routes)) {
		r := c.set.Routes[name]
		key := [2]string{strings.ToLower(r.Host), r.Prefix}
		if first, taken := owner[key]; taken {
			c.report("route."+name, "prefix", fmt.Sprintf("route %s has the same host and prefix", first), "a host and prefix that no other route has", "change the prefix or remove one of the routes")
			continue
		}
		owner[key] = name
	}
}
