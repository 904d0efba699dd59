package gateway

import (
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/quarantine"
	"github.com/auburnlead/auburnlead/routing"
)

// A request that crashes its worker takes the answers of all other requests there
// along. Package quarantine finds the prompt part that such requests have in common;
// this file observes the crashes.

const (
	// survivalTime is how long an answer has to go on after its first event to show
	// that its prompt does not crash the worker.
	survivalTime = 300 * time.Millisecond
	// crashCollectTime is the time in which the connections to a crashed worker are
	// closed one after the other.
	crashCollectTime = 5 * time.Millisecond
	// settleTime is the time after the end of an answer without a length and chunks
	// after which a worker that accepts connections has not crashed with it. A crashed
	// one takes longer to start again.
	settleTime = time.Second
)

// crashDetector reports crashes of workers, with the prompts that they were working
// on, to the quarantine and shares its evidence with other routers. It implements
// core.GossipExtension.
type crashDetector struct {
	g       *Gateway
	tracker *quarantine.Tracker
	gossip  core.ExtensionGossip // nil if routers do not share evidence

	pace sharePace

	mu      sync.Mutex                   // lock level 90, see internal/core/lockorder.go
	pending map[*routing.Worker][]uint64 // prompt parts of lost answers, until the worker has been probed
}

func newCrashDetector(g *Gateway, extensions core.ExtensionGossip) *crashDetector {
	d := &crashDetector{g: g, tracker: quarantine.New(quarantine.Config{}), gossip: extensions, pending: map[*routing.Worker][]uint64{}}
	if extensions != nil {
		extensions.Extend(d)
	}
	return d
}

// formatParts returns the IDs of prompt parts in hexadecimal, separated by commas.
func formatParts(parts []routing.PromptPart) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = strconv.FormatUint(p.ID, 16)
	}
	return strings.Join(ids, ",")
}

// sharedParts returns the parts of the prompt that other requests may share: all but
// the last.
func (x *exchange) sharedParts() []routing.PromptPart {
	return x.header.Prompt[:max(len(x.header.Prompt)-1, 0)]
}

// sharedPartIDs returns the IDs of sharedParts.
func (x *exchange) sharedPartIDs() []uint64 {
	parts := x.sharedParts()
	ids := make([]uint64, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return ids
}

// isSuspect reports whether the failed attempt may have crashed its worker: the worker
// closed the connection before the answer had gone on for survivalTime.
func (f *failure) isSuspect() bool {
	return (f.reason == failTruncated || f.reason == failNoResponse) && !isUnreachable(f.err) && f.progress < survivalTime
}

// handleLostAnswer processes an attempt whose worker closed the connection. If the
// worker accepts no connections any more, it has crashed.
func (d *crashDetector) handleLostAnswer(w *routing.Worker, parts []uint64) {
	if len(parts) == 0 {
		return
	}
	d.mu.Lock()
	_, probing := d.pending[w]
	d.pending[w] = append(d.pending[w], parts...)
	d.mu.Unlock()
	if !probing {
		go d.probe(w)
	}
}

func (d *crashDetector) probe(w *routing.Worker) {
	timer := time.NewTimer(crashCollectTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.g.reachability.ctx.Done():
	}
	err := d.g.reachability.dial(d.g.reachability.ctx, w.Address)
	d.mu.Lock()
	parts := d.pending[w]
	delete(d.pending, w)
	d.mu.Unlock()
	if err == nil || d.g.reachability.ctx.Err() != nil {
		return
	}
	d.g.reachability.handleFailure(w, err)
	// A worker that leaves as planned stops listening too.
	if !errors.Is(err, syscall.ECONNREFUSED) || !d.g.fleet.AcceptsRequests(w) {
		return
	}
	slices.Sort(parts)
	parts = slices.Compact(parts)
	d.g.decisions.logChange("worker crashed", "worker", w.ID, "upstream", w.Upstream, "suspect_parts", len(parts))
	d.logChanges(d.tracker.RecordCrash(time.Now(), processHash(w), parts))
	if d.gossip != nil {
		d.gossip.PushExtensions()
	}
}

// processHash identifies a process of a worker: an ID may be used again after a
// restart.
func processHash(w *routing.Worker) uint32 {
	return gossip.WorkerHash(w.ID + "/" + strconv.FormatInt(w.StartedAtMs, 10))
}

func (d *crashDetector) recordSuccess(parts []uint64) {
	if len(parts) > 0 {
		d.logChanges(d.tracker.RecordSuccess(time.Now(), parts))
	}
}

// recordSettled records a success after settleTime if the worker still accepts
// connections. Only suspected parts need it.
func (d *crashDetector) recordSettled(w *routing.Worker, parts []uint64) {
	if !d.tracker.IsSuspected(parts) {
		return
	}
	time.AfterFunc(settleTime, func() {
		if d.g.reachability.dial(d.g.reachability.ctx, w.Address) == nil {
			d.recordSuccess(parts)
		}
	})
}

func (d *crashDetector) logChanges(changes []quarantine.Change) {
	for _, c := range changes {
		d.g.decisions.logChange("prompt part "+string(c.Kind), "part", strconv.FormatUint(c.Part, 16), "crashes", c.Crashes, "remaining_ms", max(time.Until(c.Until), 0).Milliseconds())
	}
}

// checkQuarantine reports whether the request has a quarantined prompt part, and
// records that for its end.
func (g *Gateway) checkQuarantine(x *exchange) bool {
	parts := x.sharedPartIDs()
	if len(parts) == 0 {
		return false
	}
	now := time.Now()
	found, quarantined, began := g.crashes.tracker.Find(now, parts)
	g.crashes.logChanges(began)
	if !quarantined {
		return false
	}
	x.quarantined = found.Until.Sub(now)
	g.decisions.count("quarantine_refusals", "attempted", strconv.FormatBool(len(x.tried) > 0))
	g.decisions.logRequest("prompt part is quarantined", "request", x.header.ID, "part", strconv.FormatUint(found.Part, 16), "crashes", found.Crashes, "remaining_ms", x.quarantined.Milliseconds(), "attempt", len(x.tried)+1)
	return true
}

// Type implements core.GossipExtension.
func (d *crashDetector) Type() byte { return gossip.ExtensionCrashes }

// Encode implements core.GossipExtension.
func (d *crashDetector) Encode(now time.Time, limit int, starting bool) []byte {
	if !d.pace.isDue(now, d.tracker.ChangedAt(), starting) {
		return nil
	}
	return d.tracker.Encode(now, limit)
}

// Merge implements core.GossipExtension.
func (d *crashDetector) Merge(now time.Time, payload []byte) error {
	changes, err := d.tracker.Merge(now, payload)
	d.logChanges(changes)
	return err
}

var _ core.GossipExtension = (*crashDetector)(nil)
