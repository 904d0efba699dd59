package admission

import "math"

// flow is a caller of a rank or a workspace of a caller in start-time fair
// queueing. Tags are in tokens for each unit of weight. A flow that returns
// after a pause starts at the current virtual time, so it has neither credit
// nor debt from the pause.
type flow struct {
	key      flowKey
	parent   *flow // the caller of a workspace, the rank's root of a caller
	weight   float64
	start    float64 // tag of the next request, valid while queued > 0
	finish   float64 // tag at which the last granted request ends
	now      float64 // virtual time of the flows below
	queued   int     // waiting requests, those of the flows below included
	inFlight int     // granted requests that will be corrected on release
	children int     // flows below that are remembered
	backlog  []*flow // flows below with waiting requests, in no order
	at       int     // index in the parent's backlog
	first    *entry  // waiting requests of a workspace in order of arrival
	last     *entry
}

// flowKey names a flow within a rank. The workspace is empty for a caller.
type flowKey struct {
	caller    string
	workspace string
	leaf      bool
}

// join counts one more waiting request.
func (f *flow) join() {
	f.queued++
	if f.queued > 1 || f.parent == nil {
		return
	}
	f.start = max(f.parent.now, f.finish)
	f.at = len(f.parent.backlog)
	f.parent.backlog = append(f.parent.backlog, f)
}

// leave counts one waiting request less.
func (f *flow) leave() {
	f.queued--
	if f.queued > 0 || f.parent == nil {
		return
	}
	rest := f.parent.backlog
	moved := rest[len(rest)-1]
	rest[f.at] = moved
	moved.at = f.at
	rest[len(rest)-1] = nil
	f.parent.backlog = rest[:len(rest)-1]
}

// charge books a granted request of the given cost. It is called before leave.
func (f *flow) charge(cost float64) {
	f.parent.now = max(f.parent.now, f.start)
	f.finish = f.start + cost/f.weight
	f.start = f.finish
	f.inFlight++
}

// correct replaces an expected cost by the actual one.
func (f *flow) correct(difference float64) {
	f.finish += difference / f.weight
	if f.queued > 0 {
		f.start += difference / f.weight
	}
	f.inFlight--
}

// idle reports whether the flow may be forgotten: it has no requests and its
// tags are in the past.
func (f *flow) idle() bool {
	return f.queued == 0 && f.inFlight == 0 && f.finish <= f.parent.now
}

// push appends a request to a workspace's queue.
func (f *flow) push(e *entry) {
	e.previous = f.last
	if f.last == nil {
		f.first = e
	} else {
		f.last.next = e
	}
	f.last = e
}

// unlink removes a request from a workspace's queue.
func (f *flow) unlink(e *entry) {
	if e.previous == nil {
		f.first = e.next
	} else {
		e.previous.next = e.next
	}
	if e.next == nil {
		f.last = e.previous
	} else {
		e.next.previous = e.previous
	}
	e.next, e.previous = nil, nil
}

// longest returns the flow below with the most waiting requests for its
// weight; the key decides ties so that runs repeat.
func (f *flow) longest() *flow {
	var found *flow
	for _, below := range f.backlog {
		if found == nil || below.share() > found.share() ||
			below.share() == found.share() && below.key.less(found.key) {
			found = below
		}
	}
	return found
}

func (f *flow) share() float64 { return float64(f.queued) / f.weight }

func (k flowKey) less(other flowKey) bool {
	if k.caller != other.caller {
		return k.caller < other.caller
	}
	return k.workspace < other.workspace
}

// before reports whether f is served before other.
func (f *flow) before(other *flow) bool {
	if f.start != other.start {
		return f.start < other.start
	}
	return f.key.less(other.key)
}

// rank is the queue of one rank.
type rank struct {
	cfg   RankConfig
	root  flow // parent of the callers
	flows map[flowKey]*flow
	spare []*flow // forgotten flows for reuse

	held     int     // slots in use
	short    float64 // slot-seconds missed below the floor while work waits
	arrivals float64 // requests per second, averaged over rateWindow
}

// flow returns the flow of a key and creates it if needed.
func (r *rank) flow(key flowKey, parent *flow, weight float64) *flow {
	f := r.flows[key]
	if f == nil {
		if count := len(r.spare); count > 0 {
			f = r.spare[count-1]
			r.spare = r.spare[:count-1]
		} else {
			f = &flow{}
		}
		*f = flow{key: key, parent: parent, backlog: f.backlog[:0]}
		r.flows[key] = f
		parent.children++
	}
	f.weight = weight
	return f
}

// leaf returns the flow of a caller's workspace.
func (r *rank) leaf(caller string, weight float64, workspace string) *flow {
	if !(weight > 0) || math.IsInf(weight, 0) {
		weight = 1
	}
	parent := r.flow(flowKey{caller: caller}, &r.root, weight)
	return r.flow(flowKey{caller: caller, workspace: workspace, leaf: true}, parent, 1)
}

// forget drops a workspace without history.
func (r *rank) forget(leaf *flow) {
	if leaf.idle() {
		r.drop(leaf)
	}
}

func (r *rank) drop(f *flow) {
	f.parent.children--
	delete(r.flows, f.key)
	r.spare = append(r.spare, f)
}

// sweep forgets idle flows. Flows whose siblings have nothing waiting start
// afresh: virtual time moves to the last tag, as at the end of a busy period.
func (r *rank) sweep() {
	for _, f := range r.flows {
		if f.parent.queued == 0 {
			f.parent.now = max(f.parent.now, f.finish)
		}
	}
	for _, f := range r.flows {
		if f.key.leaf && f.idle() {
			r.drop(f)
		}
	}
	for _, f := range r.flows {
		if f.children == 0 && f.idle() {
			r.drop(f)
		}
	}
}
