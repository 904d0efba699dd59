package admission_test

import (
	"fmt"
	"time"

	"github.com/auburnlead/auburnlead/admission"
)

// A router grants a slot to an urgent request before a less urgent one that
// arrived earlier. The less urgent request is refused when its deadline passes.
func Example() {
	now := time.Unix(0, 0)
	s := admission.New(admission.Config{LoadBound: 1.25, Ranks: []admission.RankConfig{
		{Name: "urgent", Priority: 0, QueueLimit: 10, MaxDuration: time.Minute},
		{Name: "overnight", Priority: 2, QueueLimit: 10, MaxDuration: time.Minute},
	}})
	s.SetWorker(now, admission.Worker{ID: "e1", MaxInFlight: 1, Open: true})
	grant := func(g admission.Grant) { fmt.Println("granted", g.RequestID, "on", g.Worker) }
	refuse := func(r admission.Refusal) { fmt.Println("refused", r.RequestID, r.Reason) }
	request := func(id, rank string, wait time.Duration) {
		r := s.Enqueue(now, admission.Request{ID: id, Rank: rank, Weight: 1, CostTokens: 400, Workers: []string{"e1"}, Deadline: now.Add(wait)})
		if r != nil {
			refuse(*r)
		}
		s.Advance(now, grant, refuse)
	}
	request("summary-1", "overnight", time.Hour)
	request("summary-2", "overnight", time.Second)
	request("booking", "urgent", 5*time.Second)
	now = now.Add(3 * time.Second)
	s.Release(now, "summary-1", 380)
	s.Advance(now, grant, refuse)
	// Output:
	// granted summary-1 on e1
	// granted booking on e1
	// refused summary-2 expired
}
