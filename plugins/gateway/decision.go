package gateway

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/objects"
)

// decisions logs what was decided, bounded for each kind of line, and counts
// it. Lines have neither keys nor bodies.
type decisions struct {
	log       *log.Logger
	scope     tally.Scope
	active    atomic.Int64
	counted   counters
	firstByte map[bool]tally.Histogram // by whether the route is a stream

	mu     sync.Mutex // level 90
	most   int
	second int64
	lines  map[string]int
	left   map[string]int // lines left out in this second
}

// firstByteBuckets run from 1 ms to about 16 s, each twice the one before.
var firstByteBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

func newDecisions(l *log.Logger, scope tally.Scope, most int) *decisions {
	s := scope.SubScope(part)
	return &decisions{
		log: l, scope: s, most: most, lines: map[string]int{}, left: map[string]int{}, counted: counters{known: map[counterKey]tally.Counter{}},
		firstByte: map[bool]tally.Histogram{
			false: s.Tagged(map[string]string{"answer": "whole"}).Histogram("first_byte", firstByteBuckets),
			true:  s.Tagged(map[string]string{"answer": "stream"}).Histogram("first_byte", firstByteBuckets),
		},
	}
}

func (d *decisions) inFlight() int64 { return d.active.Load() }

// setLines changes the bound of lines of one kind in a second.
func (d *decisions) setLines(most int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = most
}

// change logs a change of what the process believes or does.
func (d *decisions) change(message string, fields ...any) {
	d.count("changes", "what", message)
	d.line(log.InfoLevel, message, fields)
}

// trouble logs something that went wrong beside a request.
func (d *decisions) trouble(message string, fields ...any) {
	d.count("troubles", "what", message)
	d.line(log.WarnLevel, message, fields)
}

// request logs a decision about a request.
func (d *decisions) request(message string, fields ...any) { d.line(log.InfoLevel, message, fields) }

func (d *decisions) line(level log.Level, message string, fields []any) {
	ok, leftOut := d.admit(message, time.Now().Unix())
	for kind, n := range leftOut {
		d.log.Warn("lines left out", "kind", kind, "lines", n)
	}
	if ok {
		d.log.Log(level, message, fields...)
	}
}

// admit reports whether a line may be written, and what was left out in the
// second before when a new one has begun.
func (d *decisions) admit(kind string, second int64) (ok bool, leftOut map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if second != d.second {
		if len(d.left) > 0 {
			leftOut, d.left = d.left, map[string]int{}
		}
		clear(d.lines)
		d.second = second
	}
	if d.lines[kind] >= d.most {
		d.left[kind]++
		return false, leftOut
	}
	d.lines[kind]++
	return true, leftOut
}

// counters keeps the counters that exist, since looking one up in a scope
// allocates.
type counters struct {
	mu    sync.RWMutex // level 90
	known map[counterKey]tally.Counter
}

type counterKey struct{ name, tag, value string }

// count adds one to a counter. Values of tags come from bounded sets.
func (d *decisions) count(name, tag, value string) {
	key := counterKey{name, tag, value}
	d.counted.mu.RLock()
	c := d.counted.known[key]
	d.counted.mu.RUnlock()
	if c == nil {
		c = d.scope.Tagged(map[string]string{tag: value}).Counter(name)
		d.counted.mu.Lock()
		d.counted.known[key] = c
		d.counted.mu.Unlock()
	}
	c.Inc(1)
}

// ended logs and counts a request at its end.
func (d *decisions) ended(x *exchange) {
	d.count("requests", "status", strconv.Itoa(x.status))
	d.count("outcomes", "outcome", x.outcome)
	took := time.Since(x.start)
	if x.firstByte > 0 {
		d.firstByte[x.route.Kind == objects.RouteStream].RecordDuration(x.firstByte)
	}
	fields := []any{"request", x.in.ID, "route", x.routeName(), "upstream", x.destination, "caller", x.callerName(), "status", x.status, "outcome", x.outcome, "reason", x.reason, "attempts", len(x.tried), "worker", x.lastWorker(), "revision", x.revision, "events", x.events, "ms", took.Milliseconds(), "limit_ms", x.limit.Milliseconds()}
	if x.firstByte > 0 {
		fields = append(fields, "first_ms", x.firstByte.Milliseconds())
	}
	if x.err != nil {
		fields = append(fields, "error", x.err)
	}
	d.request("request ended", fields...)
}
