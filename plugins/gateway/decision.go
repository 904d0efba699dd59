package gateway

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/internal/boundedlog"
	"github.com/auburnlead/auburnlead/internal/metrics"
	"github.com/auburnlead/auburnlead/internal/unreadable"
	"github.com/auburnlead/auburnlead/objects"
)

// decisionLog logs decisions and state changes and counts them. Lines with the
// same message are of one kind and are rate-limited together. Lines contain
// neither API keys nor bodies.
type decisionLog struct {
	lines            *boundedlog.Logger
	requestsInFlight atomic.Int64
	counters         *metrics.TaggedCounters
	firstByte        map[bool]tally.Histogram // key: whether the route is a stream
	unreadable       *unreadable.Reporter
	held             tally.Gauge // bytes of bodies and buffered responses
}

// firstByteBuckets run from 1 ms to about 16 s; each bound is twice the
// previous one.
var firstByteBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newDecisionLog(l *log.Logger, scope tally.Scope, maxLines int) *decisionLog {
	s := scope.SubScope(componentName)
	return &decisionLog{
		lines: boundedlog.New(l, maxLines), counters: metrics.NewTaggedCounters(s), unreadable: unreadable.New(l, s), held: s.Gauge("held_bytes"),
		firstByte: map[bool]tally.Histogram{
			false: s.Tagged(map[string]string{"answer": "whole"}).Histogram("first_byte", firstByteBuckets),
			true:  s.Tagged(map[string]string{"answer": "stream"}).Histogram("first_byte", firstByteBuckets),
		},
	}
}

func (d *decisionLog) inFlight() int64 { return d.requestsInFlight.Load() }

// logChange logs and counts a change of this router's state or of what it knows
// about the fleet.
func (d *decisionLog) logChange(message string, fields ...any) {
	d.count("changes", "what", message)
	d.lines.Log(log.InfoLevel, message, message, fields...)
}

// logWarning logs and counts a problem that does not belong to a single
// request.
func (d *decisionLog) logWarning(message string, fields ...any) {
	d.count("troubles", "what", message)
	d.lines.Log(log.WarnLevel, message, message, fields...)
}

// logRequest logs a decision about a request.
func (d *decisionLog) logRequest(message string, fields ...any) {
	d.lines.Log(log.InfoLevel, message, message, fields...)
}

// count adds one to a counter. Tag values must come from a fixed set.
func (d *decisionLog) count(name, tag, value string) { d.counters.Inc(name, tag, value) }

// recordEnd logs and counts a request that has ended.
func (d *decisionLog) recordEnd(x *exchange) {
	d.count("requests", "status", strconv.Itoa(x.status))
	d.count("outcomes", "outcome", x.outcome)
	took := time.Since(x.start)
	if x.firstByte > 0 {
		d.firstByte[x.route.Kind == objects.RouteStream].RecordDuration(x.firstByte)
	}
	fields := []any{"request", x.header.ID, "route", x.routeName(), "upstream", x.upstream, "caller", x.callerName(), "status", x.status, "outcome", x.outcome, "reason", x.reason, "attempts", len(x.tried), "worker", x.lastWorker(), "revision", x.revision, "events", x.events, "ms", took.Milliseconds(), "limit_ms", x.timeout.Milliseconds()}
	if x.firstByte > 0 {
		fields = append(fields, "first_ms", x.firstByte.Milliseconds())
	}
	if x.err != nil {
		fields = append(fields, "error", x.err)
	}
	d.logRequest("request ended", fields...)
}
