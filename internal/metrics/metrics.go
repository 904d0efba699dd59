// Package metrics formats tally metrics in the Prometheus text format, and keeps
// counters with a tag.
package metrics

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/uber-go/tally/v4"
)

// TaggedCounters keeps the counters of a scope that have one tag, because each
// lookup in a tally scope allocates. It is safe for concurrent use.
type TaggedCounters struct {
	scope tally.Scope
	mu    sync.RWMutex // lock level 90, see internal/core/lockorder.go
	byKey map[counterKey]tally.Counter
}

type counterKey struct{ name, tag, value string }

// NewTaggedCounters returns the counters of a scope.
func NewTaggedCounters(scope tally.Scope) *TaggedCounters {
	return &TaggedCounters{scope: scope, byKey: map[counterKey]tally.Counter{}}
}

// Inc adds one to a counter. Tag values must come from a fixed set.
func (c *TaggedCounters) Inc(name, tag, value string) {
	key := counterKey{name, tag, value}
	c.mu.RLock()
	counter := c.byKey[key]
	c.mu.RUnlock()
	if counter == nil {
		counter = c.scope.Tagged(map[string]string{tag: value}).Counter(name)
		c.mu.Lock()
		c.byKey[key] = counter
		c.mu.Unlock()
	}
	counter.Inc(1)
}

// Text returns all counters, gauges and histograms of a snapshot in the text
// format. Histograms have cumulative buckets with bounds in seconds.
func Text(s tally.Snapshot) string {
	var lines []string
	for _, c := range s.Counters() {
		lines = append(lines, fmt.Sprintf("%s%s %d", metricName(c.Name()), formatLabels(c.Tags(), ""), c.Value()))
	}
	for _, g := range s.Gauges() {
		lines = append(lines, fmt.Sprintf("%s%s %s", metricName(g.Name()), formatLabels(g.Tags(), ""), formatFloat(g.Value())))
	}
	for _, h := range s.Histograms() {
		counts := map[float64]int64{}
		maps.Copy(counts, h.Values())
		for bound, n := range h.Durations() {
			counts[bound.Seconds()] = n
		}
		lines = append(lines, bucketLines(metricName(h.Name()), h.Tags(), counts)...)
	}
	slices.Sort(lines)
	return strings.Join(append(lines, ""), "\n")
}

// bucketLines returns the lines of a histogram with cumulative counts. The bound
// of the last bucket of a tally histogram is the largest number; it is written as
// +Inf.
func bucketLines(name string, tags map[string]string, counts map[float64]int64) []string {
	var lines []string
	total := int64(0)
	for _, bound := range slices.Sorted(maps.Keys(counts)) {
		total += counts[bound]
		if bound < maxFiniteBound {
			lines = append(lines, fmt.Sprintf("%s_bucket%s %d", name, formatLabels(tags, formatFloat(bound)), total))
		}
	}
	lines = append(lines, fmt.Sprintf("%s_bucket%s %d", name, formatLabels(tags, "+Inf"), total))
	return append(lines, fmt.Sprintf("%s_count%s %d", name, formatLabels(tags, ""), total))
}

// maxFiniteBound is below the bounds that tally uses for +Inf: the largest
// float64 and the largest duration (292 years in seconds).
const maxFiniteBound = 9e9

func formatFloat(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }

// metricName replaces characters that the text format does not allow with
// underscores.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '_' || r == ':' {
			return r
		}
		return '_'
	}, name)
}

// formatLabels formats tags as labels and adds the label le, the upper bound of a
// histogram bucket, unless it is empty.
func formatLabels(tags map[string]string, le string) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(tags)) {
		parts = append(parts, fmt.Sprintf("%s=%q", metricName(k), tags[k]))
	}
	if le != "" {
		parts = append(parts, fmt.Sprintf("le=%q", le))
	}
	if len(parts) == 0 {
		return ""
	}
	return "{" + strings.Join(parts, ",") + "}"
}
