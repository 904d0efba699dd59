package caller

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/core"
)

// metrics are updated once per request.
type metrics struct {
	scope          tally.Scope
	memoryRefusals tally.Counter
	// requestRefusals counts requests for which no connection to a worker was left.
	requestRefusals tally.Counter

	mu       sync.RWMutex // lock level 90, see internal/core/lockorder.go
	counters map[routeStatus]tally.Counter
	duration map[string]tally.Histogram
}

type routeStatus struct {
	route  string
	status int
}

// durationBuckets double from 1 ms to about 33 min.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 22)

func newMetrics(s tally.Scope) *metrics {
	m := &metrics{scope: s, memoryRefusals: s.Counter("memory_refusals"), requestRefusals: s.Counter("request_refusals"), counters: map[routeStatus]tally.Counter{}, duration: map[string]tally.Histogram{}}
	for _, route := range []string{"chat", "models", "service", "none"} {
		m.duration[route] = s.Tagged(map[string]string{"route": route}).Histogram("request_duration", durationBuckets)
	}
	return m
}

func (m *metrics) counter(key routeStatus) tally.Counter {
	m.mu.RLock()
	c := m.counters[key]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	c = m.scope.Tagged(map[string]string{"route": key.route, "status": strconv.Itoa(key.status)}).Counter("requests")
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters[key] = c
	return c
}

// recordRequest counts and logs a request. The log line contains neither keys nor
// message contents.
func (s *Server) recordRequest(route string, r *apiRequest, p *core.Problem, duration time.Duration) {
	s.metrics.counter(routeStatus{route, r.w.status}).Inc(1)
	s.metrics.duration[route].RecordDuration(duration)
	fields := []any{"request", r.id, "route", route, "method", r.Method, "status", r.w.status, "bytes", r.w.bytesWritten, "ms", duration.Milliseconds()}
	if r.caller != nil {
		fields = append(fields, "caller", r.caller.Name)
	}
	if p == nil {
		s.log.Info("answered", fields...)
		return
	}
	fields = append(fields, "problem", p.Kind, "outcome", p.Outcome)
	if p.Err != nil {
		fields = append(fields, "error", p.Err)
	}
	s.log.Info("answered with a problem", fields...)
}
