package bench

import (
	"math"
	"slices"
	"time"
)

// result collects the measurements of one run after the warm-up.
type result struct {
	run           simConfig
	waits         [][]float64 // seconds from arrival to slot, by rank
	refused       []int       // refused requests (no slot was granted), by rank
	hits          int64       // prompt tokens found in a cache
	reusable      int64       // prompt tokens of earlier turns
	maxLoadRatio  float64     // largest load/mean at a grant, among grants with a mean of at least 4
	grants        int
	overBound     int       // grants above the load bound, computed from the actual loads
	attempts      []int     // arrivals and retries in each second
	firstArrivals []int     // arrivals without retries in each second
	slotSeconds   []float64 // slot-seconds in each second
	byCaller      []callerCounts
	holders       map[int]*holderUsage
}

// callerCounts counts the requests of a caller, without the surplus requests of
// surges.
type callerCounts struct {
	requests int
	onTarget int // requests that got a slot within the target wait of their rank
}

// holderUsage records the slot time and the waiting requests of one holder.
type holderUsage struct {
	used    [][]float64 // slot-seconds by second and rank
	waiting [][]bool    // by second and rank: whether requests wait at the end of the second
}

func newResult(cfg simConfig) *result {
	seconds := int(cfg.trace.length/time.Second) + 2
	return &result{
		run: cfg, waits: make([][]float64, len(rankClasses)), refused: make([]int, len(rankClasses)),
		attempts: make([]int, seconds), firstArrivals: make([]int, seconds), slotSeconds: make([]float64, seconds),
		byCaller: make([]callerCounts, callers), holders: map[int]*holderUsage{},
	}
}

func (m *result) usageOf(h *holder) *holderUsage {
	usage := m.holders[h.index]
	if usage == nil {
		usage = &holderUsage{}
		for range m.slotSeconds {
			usage.used = append(usage.used, make([]float64, len(rankClasses)))
			usage.waiting = append(usage.waiting, make([]bool, len(rankClasses)))
		}
		m.holders[h.index] = usage
	}
	return usage
}

// isMeasured reports whether a request arrived in the measured time span.
func (m *result) isMeasured(r *request) bool {
	return r.at >= warmup && r.at < m.run.trace.length-settleTime
}

func (m *result) recordArrival(now time.Duration, r *request) {
	second := int(now / time.Second)
	m.attempts[second]++
	if r.retries == 0 {
		m.firstArrivals[second]++
	}
	if m.isMeasured(r) && !r.surplus && r.retries == 0 {
		m.byCaller[r.caller].requests++
	}
}

func (m *result) recordStart(now time.Duration, r *request) {
	if !m.isMeasured(r) || r.retries > 0 {
		return
	}
	wait := now - r.arrivedAt
	m.waits[r.rank] = append(m.waits[r.rank], wait.Seconds())
	if !r.surplus && wait <= rankClasses[r.rank].target {
		m.byCaller[r.caller].onTarget++
	}
}

func (m *result) recordHit(r *request, hit int64) {
	if !m.isMeasured(r) {
		return
	}
	m.hits += hit
	m.reusable += r.reusable
}

func (m *result) recordRefusal(now time.Duration, r *request) {
	if m.isMeasured(r) && r.retries == 0 {
		m.refused[r.rank]++
	}
}

// recordEnd adds the slot time of a request to each second in which it ran.
func (m *result) recordEnd(now time.Duration, r *request) {
	for second := int(r.grantedAt / time.Second); second <= int(now/time.Second); second++ {
		from := max(r.grantedAt, time.Duration(second)*time.Second)
		to := min(now, time.Duration(second+1)*time.Second)
		m.slotSeconds[second] += (to - from).Seconds()
		if r.holder != nil {
			m.usageOf(r.holder).used[second][r.rank] += (to - from).Seconds()
		}
	}
}

func (m *result) recordGrant(now time.Duration, load, totalLoad, workers int) {
	if now < warmup {
		return
	}
	m.grants++
	mean := float64(totalLoad) / float64(workers)
	if mean >= 4 {
		m.maxLoadRatio = max(m.maxLoadRatio, float64(load)/mean)
	}
	if float64(load) > max(math.Floor(loadBound*mean), math.Ceil(mean)) {
		m.overBound++
	}
}

// recordWaiting records which ranks have waiting requests at a holder at the end of
// the second that has just passed.
func (m *result) recordWaiting(now time.Duration, h *holder) {
	second := int(now/time.Second) - 1
	usage := m.usageOf(h)
	for rank, count := range h.waiting {
		usage.waiting[second][rank] = count > 0
	}
}

// waitQuantile returns a quantile of the wait of a rank in seconds. A refused
// request counts with the longest wait that its rank allows.
func (m *result) waitQuantile(rank int, quantile float64) float64 {
	waits := slices.Clone(m.waits[rank])
	for range m.refused[rank] {
		waits = append(waits, rankClasses[rank].maxWait.Seconds())
	}
	slices.Sort(waits)
	if len(waits) == 0 {
		return 0
	}
	return waits[int(quantile*float64(len(waits)-1))]
}

// minFloorShare returns the smallest share of slot time that a rank had in any 10 s
// window, relative to its floor. Only windows count in which requests of the rank
// waited at the holder all the time; their number is returned too.
func (m *result) minFloorShare(rank int, from, to time.Duration) (lowest float64, windows int) {
	const window = 10
	lowest = math.Inf(1)
	for _, usage := range m.holders {
		for start := int(from / time.Second); start+window <= int(to/time.Second); start++ {
			used, total, waiting := 0.0, 0.0, true
			for second := start; second < start+window; second++ {
				used += usage.used[second][rank]
				for _, u := range usage.used[second] {
					total += u
				}
				waiting = waiting && usage.waiting[second][rank]
			}
			if waiting && total > 0 {
				windows++
				lowest = min(lowest, used/total/rankClasses[rank].Floor)
			}
		}
	}
	return lowest, windows
}

// goodput returns the share of the slot time in a time span that served
// requests.
func (m *result) goodput(from, to time.Duration) float64 {
	sum := 0.0
	for second := int(from / time.Second); second < int(to/time.Second); second++ {
		sum += m.slotSeconds[second]
	}
	return sum / ((to - from).Seconds() * float64(m.run.trace.domain.Workers*slotsPerWorker))
}

// peakRequests returns the largest number of requests in any 10 s of a time
// span. 10 s is the window of the retry budget.
func peakRequests(perSecond []int, from, to time.Duration) float64 {
	const window = 10
	highest := 0
	for start := int(from / time.Second); start+window <= int(to/time.Second); start++ {
		sum := 0
		for _, count := range perSecond[start : start+window] {
			sum += count
		}
		highest = max(highest, sum)
	}
	return float64(highest)
}
