package bench

import (
	"math"
	"time"

	"github.com/auburnlead/auburnlead/admission"
)

// queue is the part of a scheduler that a holder uses; *admission.Scheduler
// implements it.
type queue interface {
	SetWorker(now time.Time, w admission.Worker)
	RemoveWorker(now time.Time, id string)
	SetRemoteLoad(now time.Time, workers, inFlight int)
	Enqueue(now time.Time, q admission.Request) *admission.Refusal
	Advance(now time.Time, grant func(admission.Grant), refuse func(admission.Refusal))
	Release(now time.Time, requestID string, costTokens int64) bool
	NextWake(now time.Time) time.Time
}

// discipline is the order of service of a baseline queue.
type discipline int

const (
	fifo discipline = iota
	strictPriority
	// windowFloors is strict priority with floors: a rank whose share of the slot
	// time in a sliding window is below its floor goes first.
	windowFloors
)

// floorWindow is the sliding window of windowFloors.
const floorWindow = 10 * time.Second

// plainQueue is a baseline with the same load bound. Within a rank it serves
// requests in order of arrival.
type plainQueue struct {
	order      discipline
	workers    []*plainWorker
	remoteLoad [2]int // workers and requests in flight of other holders
	waiting    []admission.Request
	granted    map[string]plainSlot
	usage      [][]float64 // slot-seconds by rank for each second of the window
	clock      time.Time   // time up to which usage is recorded
	inUse      []int       // slots in use by rank
	urgency    []int       // by rank, lower is served first
}

type plainWorker struct {
	admission.Worker
	load int
}

type plainSlot struct {
	worker *plainWorker
	rank   int
}

func newPlainQueue(order discipline) *plainQueue {
	q := &plainQueue{order: order, granted: map[string]plainSlot{}, inUse: make([]int, len(rankClasses)), urgency: make([]int, len(rankClasses))}
	for range int(floorWindow / time.Second) {
		q.usage = append(q.usage, make([]float64, len(rankClasses)))
	}
	return q
}

func rankIndex(name string) int {
	for i, c := range rankClasses {
		if c.Name == name {
			return i
		}
	}
	return len(rankClasses) - 1
}

func (q *plainQueue) SetWorker(now time.Time, w admission.Worker) {
	for _, known := range q.workers {
		if known.ID == w.ID {
			known.Worker = w
			return
		}
	}
	q.workers = append(q.workers, &plainWorker{Worker: w})
}

func (q *plainQueue) RemoveWorker(now time.Time, id string) {
	q.SetWorker(now, admission.Worker{ID: id})
}

func (q *plainQueue) SetRemoteLoad(now time.Time, workers, inFlight int) {
	q.remoteLoad = [2]int{workers, inFlight}
}

func (q *plainQueue) Enqueue(now time.Time, r admission.Request) *admission.Refusal {
	count := 0
	for _, w := range q.waiting {
		if w.Rank == r.Rank {
			count++
		}
	}
	if count >= rankClasses[rankIndex(r.Rank)].QueueLimit {
		return &admission.Refusal{RequestID: r.ID, Reason: admission.ReasonQueueFull, RetryAfter: time.Second}
	}
	q.waiting = append(q.waiting, r)
	return nil
}

// recordUsage adds the slot time since the last event to the window.
func (q *plainQueue) recordUsage(now time.Time) {
	for q.clock.Before(now) {
		end := q.clock.Truncate(time.Second).Add(time.Second)
		second := q.usage[q.clock.Unix()%int64(len(q.usage))]
		if q.clock.Equal(q.clock.Truncate(time.Second)) {
			clear(second)
		}
		if end.After(now) {
			end = now
		}
		for rank, used := range q.inUse {
			second[rank] += float64(used) * end.Sub(q.clock).Seconds()
		}
		q.clock = end
	}
}

func (q *plainQueue) Advance(now time.Time, grant func(admission.Grant), refuse func(admission.Refusal)) {
	if q.clock.IsZero() {
		q.clock = now
	}
	q.recordUsage(now)
	for rank := range q.urgency {
		q.urgency[rank] = q.rankUrgency(rank)
	}
	for q.hasFreeWorker() && q.grantOne(now, grant) {
	}
	remaining := q.waiting[:0]
	for _, r := range q.waiting {
		if r.Deadline.After(now) {
			remaining = append(remaining, r)
			continue
		}
		refuse(admission.Refusal{RequestID: r.ID, Reason: admission.ReasonExpired, RetryAfter: time.Second})
	}
	q.waiting = remaining
}

func (q *plainQueue) grantOne(now time.Time, grant func(admission.Grant)) bool {
	best, worker := -1, (*plainWorker)(nil)
	for i, r := range q.waiting {
		if best >= 0 && !q.before(r, q.waiting[best]) {
			continue
		}
		if w := q.findWorker(r); w != nil {
			best, worker = i, w
		}
	}
	if best < 0 {
		return false
	}
	r := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	rank := rankIndex(r.Rank)
	q.granted[r.ID] = plainSlot{worker, rank}
	q.inUse[rank]++
	worker.load++
	grant(admission.Grant{RequestID: r.ID, Worker: worker.ID})
	return true
}

// before reports whether a is served before b, which arrived earlier.
func (q *plainQueue) before(a, b admission.Request) bool {
	return q.order != fifo && q.urgency[rankIndex(a.Rank)] < q.urgency[rankIndex(b.Rank)]
}

// rankUrgency returns the urgency of a rank; a rank below its floor comes before
// all others.
func (q *plainQueue) rankUrgency(rank int) int {
	if q.order == windowFloors && q.share(rank) < rankClasses[rank].Floor {
		return rank - len(rankClasses)
	}
	return rank
}

// share returns a rank's share of the slot time in the window.
func (q *plainQueue) share(rank int) float64 {
	own, total := 0.0, 0.0
	for _, second := range q.usage {
		for i, used := range second {
			total += used
			if i == rank {
				own += used
			}
		}
	}
	if total == 0 {
		return 0
	}
	return own / total
}

// limit returns the load limit of a worker by the known load sums.
func (q *plainQueue) limit() int {
	workers, load := q.remoteLoad[0], q.remoteLoad[1]
	for _, w := range q.workers {
		if w.Open {
			workers++
			load += w.load
		}
	}
	return loadLimit(workers, load)
}

func (q *plainQueue) hasFreeWorker() bool {
	limit := q.limit()
	for _, w := range q.workers {
		if w.Open && w.load < min(limit, w.MaxInFlight) {
			return true
		}
	}
	return false
}

func (q *plainQueue) findWorker(r admission.Request) *plainWorker {
	limit := q.limit()
	for _, id := range r.Workers {
		for _, w := range q.workers {
			if w.ID == id && w.Open && w.load < min(limit, w.MaxInFlight) {
				return w
			}
		}
	}
	for _, w := range q.workers {
		if r.AnyWorker && w.Open && w.load < min(limit, w.MaxInFlight) {
			return w
		}
	}
	return nil
}

// loadLimit returns the load limit of a worker: a worker below it may get a new
// request. It is the load bound times the mean load, or the mean with the new
// request if that is larger.
func loadLimit(workers, load int) int {
	if workers == 0 {
		return 0
	}
	mean := float64(load) / float64(workers)
	next := float64(load+1) / float64(workers)
	return int(max(math.Floor(loadBound*mean), math.Ceil(next)))
}

func (q *plainQueue) Release(now time.Time, id string, costTokens int64) bool {
	q.recordUsage(now)
	slot, found := q.granted[id]
	if !found {
		return false
	}
	delete(q.granted, id)
	slot.worker.load--
	q.inUse[slot.rank]--
	return true
}

func (q *plainQueue) NextWake(now time.Time) time.Time {
	first := time.Time{}
	for _, r := range q.waiting {
		if first.IsZero() || r.Deadline.Before(first) {
			first = r.Deadline
		}
	}
	return first
}

var (
	_ queue = (*plainQueue)(nil)
	_ queue = (*admission.Scheduler)(nil)
)
