package objects

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// RouteKind says what may be repeated.
type RouteKind string

// Kinds of routes.
const (
	// RouteIdempotent requests may run more than once.
	RouteIdempotent RouteKind = "idempotent"
	// RouteOnce requests run at most once.
	RouteOnce RouteKind = "once"
	// RouteStream requests are answered by a series of numbered events and run
	// at most once, unless the route is resumable.
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
	// Timeout is the longest time that a request is kept waiting. 1 ms to 1 h,
	// default 30 s.
	Timeout time.Duration `json:"timeout"`
	// Target is the time within which an answer, or the first event of a
	// stream, has its full value. Default 1 s.
	Target time.Duration `json:"target"`
	// GapTarget is the longest pause between two events of a stream that is
	// on time. Default 1 s.
	GapTarget time.Duration `json:"gap_target"`
	// Priority of the requests, lower is more urgent. 0 to 9, default 5.
	Priority int `json:"priority"`
	// MaxAttempts bounds the workers to which one request is sent. Default 1.
	MaxAttempts int `json:"max_attempts"`
	// Public routes need no key. Default false.
	Public bool `json:"public,omitempty"`
	// Sticky routes carry prompts whose shared parts decide the worker.
	// Default false.
	Sticky bool `json:"sticky,omitempty"`
	// Resumable streams may go on at another worker. Default false.
	Resumable bool `json:"resumable,omitempty"`
	// Destinations share the route's requests by weight.
	Destinations []Destination `json:"destinations"`
}

// Destination is an upstream that takes a share of a route's requests.
type Destination struct {
	Upstream string `json:"upstream"`
	// Weight is the share in relation to the other weights. 0 takes nothing.
	Weight int `json:"weight"`
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == RouteIdempotent || r.Kind == RouteStream && r.Resumable
}

// maxWeight bounds a destination's weight, so that sums stay small.
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

// route checks that the destinations exist.
func (c *checker) route(section string, r *Route) {
	for _, d := range r.Destinations {
		if c.set.Upstreams[d.Upstream] == nil {
			c.report(section, "destination", fmt.Sprintf("upstream %q does not exist", d.Upstream), "names of upstreams", "add the upstream or correct the name")
		}
	}
}

// prefixes checks that no two routes take the same requests.
func (c *checker) prefixes() {
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
