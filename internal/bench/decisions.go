package bench

import (
	"fmt"
	"runtime"
	"time"

	"github.com/auburnlead/auburnlead/admission"
	"github.com/auburnlead/auburnlead/placement"
)

// decisionLimit is the target time of one decision. The measured time depends
// on the machine, so it is printed relative to the limit and has no pass
// criterion.
const decisionLimit = 5 * time.Microsecond

// decisionRuns is the number of decisions over which the mean is computed.
const decisionRuns = 20000

// reportDecisions adds the time and the allocations of single decisions to a report.
func reportDecisions(r *Report) {
	nodes := make([]uint64, 1100)
	for i := range nodes {
		nodes[i] = placement.Hash(fmt.Sprint("e", i))
	}
	dst := make([]int, 3)
	measureDecision(r, "placement among 1,100", func(i int) {
		placement.Choose(dst, placement.Hash("workspace", "chat")+uint64(i), nodes)
	})
	s := projectStrategy(true).newQueue()
	s.SetWorker(epoch, admission.Worker{ID: "e1", MaxInFlight: slotsPerWorker, Open: true})
	ids := make([]string, 64)
	for i := range ids {
		ids[i] = fmt.Sprint("q", i)
	}
	workers := []string{"e1"}
	grant := func(admission.Grant) {}
	refuse := func(admission.Refusal) {}
	measureDecision(r, "offer, grant and release", func(i int) {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		id := ids[i%len(ids)]
		s.Enqueue(now, admission.Request{ID: id, Caller: ids[i%7], Weight: 1, Workspace: ids[i%11], Rank: "normal", CostTokens: 400, Workers: workers, Deadline: now.Add(time.Second)})
		s.Advance(now, grant, refuse)
		s.Release(now, id, 400)
	})
}

// measureDecision runs a decision often enough for a stable mean.
func measureDecision(r *Report, name string, decide func(i int)) {
	for i := range decisionRuns {
		decide(i)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range decisionRuns {
		decide(decisionRuns + i)
	}
	took := time.Since(start) / decisionRuns
	runtime.ReadMemStats(&after)
	// The runtime itself allocates occasionally. A decision that allocates would
	// add at least decisionRuns allocations.
	allocations := (after.Mallocs - before.Mallocs) / decisionRuns
	r.atMost("all", "allocations, "+name, float64(allocations), 0)
	r.info("all", "time / 5 us, "+name, "auburnlead", float64(took)/float64(decisionLimit))
}
