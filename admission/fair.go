package admission

import "math"

// flow is a flow of start-time fair queueing: the requests of a caller within a
// rank, or of a workspace of that caller. Tags are in tokens per unit of weight.
// A flow that becomes active after a pause starts at the current virtual time,
// so the pause gives it neither credit nor debt.
type flow struct {
	key          flowKey
	parent       *flow // for a workspace, the flow of its caller; for a caller, the rank's root
	weight       float64
	startTag     float64 // start tag of the next request, valid while queued > 0
	finishTag    float64 // finish tag of the last granted request
	virtualTime  float64 // virtual time of the child flows
	queued       int     // waiting requests, including those of child flows
	inFlight     int     // granted requests; their cost is corrected when their slots are freed
	children     int     // child flows that exist
	backlogged   []*flow // child flows with waiting requests, in no order
	backlogIndex int     // index in parent.backlogged
	head         *entry  // waiting requests of a workspace, in order of arrival
	tail         *entry
}

// flowKey identifies a flow within a rank. The workspace is empty for a caller.
type flowKey struct {
	caller      string
	workspace   string
	isWorkspace bool
}

// addWaiting counts a request that begins to wait. With the first one, the flow
// gets its start tag and joins its parent's backlog.
func (f *flow) addWaiting() {
	f.queued++
	if f.queued > 1 || f.parent == nil {
		return
	}
	f.startTag = max(f.parent.virtualTime, f.finishTag)
	f.backlogIndex = len(f.parent.backlogged)
	f.parent.backlogged = append(f.parent.backlogged, f)
}

// removeWaiting uncounts a request that no longer waits. With the last one, the
// flow leaves its parent's backlog.
func (f *flow) removeWaiting() {
	f.queued--
	if f.queued > 0 || f.parent == nil {
		return
	}
	siblings := f.parent.backlogged
	moved := siblings[len(siblings)-1]
	siblings[f.backlogIndex] = moved
	moved.backlogIndex = f.backlogIndex
	siblings[len(siblings)-1] = nil
	f.parent.backlogged = siblings[:len(siblings)-1]
}

// charge advances the tags by the cost of a granted request. It is called
// before removeWaiting.
func (f *flow) charge(cost float64) {
	f.parent.virtualTime = max(f.parent.virtualTime, f.startTag)
	f.finishTag = f.startTag + cost/f.weight
	f.startTag = f.finishTag
	f.inFlight++
}

// correctCost corrects the tags on release by the difference between the actual
// and the expected cost.
func (f *flow) correctCost(difference float64) {
	f.finishTag += difference / f.weight
	if f.queued > 0 {
		f.startTag += difference / f.weight
	}
	f.inFlight--
}

// idle reports whether the flow may be evicted: it has no requests and its tags
// are in the past.
func (f *flow) idle() bool {
	return f.queued == 0 && f.inFlight == 0 && f.finishTag <= f.parent.virtualTime
}

// push appends a request to a workspace's queue.
func (f *flow) push(e *entry) {
	e.previous = f.tail
	if f.tail == nil {
		f.head = e
	} else {
		f.tail.next = e
	}
	f.tail = e
}

// unlink removes a request from a workspace's queue.
func (f *flow) unlink(e *entry) {
	if e.previous == nil {
		f.head = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		f.tail = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.next, e.previous = nil, nil
}

// longestQueue returns the child flow with the most waiting requests relative
// to its weight. Ties are broken by key so that runs are reproducible.
func (f *flow) longestQueue() *flow {
	var found *flow
	for _, child := range f.backlogged {
		if found == nil || child.queuedPerWeight() > found.queuedPerWeight() ||
			child.queuedPerWeight() == found.queuedPerWeight() && child.key.less(found.key) {
			found = child
		}
	}
	return found
}

func (f *flow) queuedPerWeight() float64 { return float64(f.queued) / f.weight }

func (k flowKey) less(other flowKey) bool {
	if k.caller != other.caller {
		return k.caller < other.caller
	}
	return k.workspace < other.workspace
}

// servedBefore reports whether f is served before other.
func (f *flow) servedBefore(other *flow) bool {
	if f.startTag != other.startTag {
		return f.startTag < other.startTag
	}
	return f.key.less(other.key)
}

// rankQueue is the queue of one rank.
type rankQueue struct {
	cfg       RankConfig
	root      flow // parent of the caller flows
	flows     map[flowKey]*flow
	freeFlows []*flow // evicted flows for reuse

	slotsHeld    int     // slots in use
	floorDeficit float64 // slot-seconds below the rank's floor, accumulated while requests wait
	arrivalRate  float64 // requests per second, exponentially decayed average
}

// flow returns the flow of a key and creates it if needed.
func (r *rankQueue) flow(key flowKey, parent *flow, weight float64) *flow {
	f := r.flows[key]
	if f == nil {
		if count := len(r.freeFlows); count > 0 {
			f = r.freeFlows[count-1]
			r.freeFlows = r.freeFlows[:count-1]
		} else {
			f = &flow{}
		}
		*f = flow{key: key, parent: parent, backlogged: f.backlogged[:0]}
		r.flows[key] = f
		parent.children++
	}
	f.weight = weight
	return f
}

// workspaceFlow returns the flow of a caller's workspace and creates it if
// needed. An invalid weight counts as 1.
func (r *rankQueue) workspaceFlow(caller string, weight float64, workspace string) *flow {
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 1
	}
	parent := r.flow(flowKey{caller: caller}, &r.root, weight)
	return r.flow(flowKey{caller: caller, workspace: workspace, isWorkspace: true}, parent, 1)
}

// evictIfIdle evicts a workspace's flow if it is idle.
func (r *rankQueue) evictIfIdle(leaf *flow) {
	if leaf.idle() {
		r.evict(leaf)
	}
}

func (r *rankQueue) evict(f *flow) {
	f.parent.children--
	delete(r.flows, f.key)
	r.freeFlows = append(r.freeFlows, f)
}

// evictIdle evicts idle flows. If no child of a parent has waiting requests,
// the parent's virtual time first advances to the largest finish tag of its
// children, as at the end of a busy period, so that these tags no longer delay
// the children.
func (r *rankQueue) evictIdle() {
	for _, f := range r.flows {
		if f.parent.queued == 0 {
			f.parent.virtualTime = max(f.parent.virtualTime, f.finishTag)
		}
	}
	for _, f := range r.flows {
		if f.key.isWorkspace && f.idle() {
			r.evict(f)
		}
	}
	for _, f := range r.flows {
		if f.children == 0 && f.idle() {
			r.evict(f)
		}
	}
}
