package publish

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/auburnlead/auburnlead/internal/proof"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// registerState is the state of the configuration register: the newest revision
// and the tag that identifies its set.
type registerState struct {
	revision uint64
	tag      string
}

// operation is an operation on the register: a submission, or a read if the tag
// is empty.
type operation struct {
	tag  string
	base uint64
}

// observation is what an operation returned.
type observation struct {
	kind string // read, published, conflict or unknown
	seen registerState
}

// register is the sequential specification of the register.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(registerState), input.(operation), output.(observation)
		next := registerState{in.base + 1, in.tag}
		applies := now.revision == in.base
		switch {
		case out.kind == "published" && applies && out.seen == next:
			return []any{next}
		case out.kind == "unknown" && applies:
			return []any{now, next}
		case out.kind == "unknown",
			out.kind == "conflict" && !applies && out.seen == now,
			out.kind == "read" && out.seen == now:
			return []any{now}
		}
		return nil
	},
}

// simulation runs operators and local stores with one platform in virtual time.
type simulation struct {
	platform *storetest.Platform
	table    store.Table // the platform's table, or a faulty wrapper of it
	start    time.Time

	mu                sync.Mutex
	rand              *rand.Rand
	stores            []*LocalStore
	highest           map[*LocalStore]uint64 // newest revision seen in each store
	history           []porcupine.Operation
	revisionDecreased bool // a store went back to an older revision
}

func (sim *simulation) intN(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rand.IntN(n)
}

func (sim *simulation) pause() { <-time.After(time.Duration(sim.intN(int(80 * time.Millisecond)))) }

// networkDelay delays requests and replies of the platform. Some replies to
// commits take so long that other operators publish several revisions in the
// meantime.
func (sim *simulation) networkDelay(_ context.Context, c storetest.Call) {
	d := time.Duration(sim.intN(int(20 * time.Millisecond)))
	if c.Op == "commit" && c.Stage == storetest.BeforeReply && sim.intN(4) == 0 {
		d *= 20
	}
	<-time.After(d)
}

// record adds an operation that began at the given time and ends now. An
// operation with unknown outcome may take effect at any later time.
func (sim *simulation) record(client int, began time.Time, in operation, out observation) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	end := time.Since(sim.start).Nanoseconds()
	if out.kind == "unknown" {
		end = math.MaxInt64
	}
	sim.history = append(sim.history, porcupine.Operation{ClientId: client, Input: in, Call: began.Sub(sim.start).Nanoseconds(), Output: out, Return: end})
}

// runOperator submits sets, each based on the newest revision that it has read,
// and retries a submission whose outcome is unknown.
func (sim *simulation) runOperator(client int) {
	p := &Publisher{Table: sim.table, Objects: sim.platform.Objects()}
	for i := range 6 {
		base, err := Newest(ctx, sim.platform)
		if err != nil {
			continue
		}
		sim.pause()
		tag := fmt.Sprintf("c%d-%d", client, i)
		began := time.Now()
		if out := sim.submit(p, submission(tag, base.Revision)); out.kind != "" {
			sim.record(client, began, operation{tag, base.Revision}, out)
		}
	}
}

// submit submits a set up to three times. It returns an empty observation if the
// submission certainly failed without a conflict.
func (sim *simulation) submit(p *Publisher, s Submission) observation {
	maybePublished := false
	for range 3 {
		r, err := p.Submit(ctx, s)
		var conflict *ConflictError
		var uncertain *UncertainError
		switch {
		case err == nil:
			return observation{"published", registerState{r.Revision, r.Token[len("token-"):]}}
		case errors.As(err, &conflict):
			return observation{"conflict", registerState{conflict.Newest.Revision, conflict.Newest.Token[len("token-"):]}}
		case errors.As(err, &uncertain):
			maybePublished = true
		}
		sim.pause()
	}
	if maybePublished {
		return observation{kind: "unknown"}
	}
	return observation{}
}

// runFollower polls the pointer row, moves a store to the newest revision and
// reads the store.
func (sim *simulation) runFollower(client int, local *LocalStore) {
	for range 12 {
		sim.pause()
		began := time.Now()
		newest, err := Newest(ctx, sim.platform)
		if err != nil || newest.Revision == 0 {
			continue
		}
		current, err := sim.advance(local, newest.Revision, newest.Manifest)
		if err != nil {
			continue
		}
		sim.record(client, began, operation{}, observation{"read", registerState{current.Revision, current.Set.Models["m"].Weights}})
	}
}

// advance moves a store to a revision and checks that it never goes back.
func (sim *simulation) advance(local *LocalStore, revision uint64, manifest string) (*Snapshot, error) {
	_, err := local.Advance(ctx, revision, manifest, sim.platform.Objects())
	sim.mu.Lock()
	defer sim.mu.Unlock()
	current := local.Current()
	if current != nil {
		sim.revisionDecreased = sim.revisionDecreased || current.Revision < sim.highest[local]
		sim.highest[local] = current.Revision
	}
	return current, err
}

// runGossip moves a store to revisions that other stores have, which may be
// outdated.
func (sim *simulation) runGossip(local *LocalStore) {
	for range 30 {
		other := sim.stores[sim.intN(len(sim.stores))].Current()
		sim.pause()
		if other != nil {
			_, _ = sim.advance(local, other.Revision, other.Manifest) // a failed fetch is allowed
		}
	}
}

// runSimulation runs the simulation of a seed. ok is true if its history is
// linearizable and no store went back to an older revision; counts are the
// numbers of operations by kind of result.
func runSimulation(seed uint64, wrap func(store.Table) store.Table) (ok bool, counts map[string]int) {
	platform := storetest.New(storetest.Options{Seed: seed, Now: time.Now, After: func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }})
	sim := &simulation{platform: platform, table: wrap(platform), start: time.Now(), highest: map[*LocalStore]uint64{}, rand: rand.New(rand.NewPCG(seed, 2))}
	platform.SetFaults(storetest.Faults{
		Delay: sim.networkDelay, LostReplies: 0.1, DroppedRequests: 0.02 + 0.08*float64(seed%4),
		LateWrites: 0.05, DuplicateWrites: 0.05, LateBy: 300 * time.Millisecond,
	})
	for range 3 {
		sim.stores = append(sim.stores, NewLocalStore())
	}
	var wg sync.WaitGroup
	// Each client begins at a different time, so that the order in which they
	// draw random numbers depends on the seed only.
	begin := func(client int, run func()) {
		wg.Go(func() {
			<-time.After(time.Duration(client+1) * time.Microsecond)
			run()
		})
	}
	for i, local := range sim.stores {
		begin(i, func() { sim.runFollower(i, local) })
		begin(3+i, func() { sim.runGossip(local) })
	}
	for i := 6; i < 10; i++ {
		begin(i, func() { sim.runOperator(i) })
	}
	wg.Wait()
	counts = map[string]int{}
	for _, op := range sim.history {
		counts[op.Output.(observation).kind]++
	}
	return !sim.revisionDecreased && porcupine.CheckOperations(register.ToModel(), sim.history), counts
}

// Guards against lost updates, submissions whose outcome is misreported after a
// lost reply, reads of sets that were never published, and stores that go back to
// an older revision. Concurrent operators and stores must behave like a
// linearizable register.
func TestRegister(t *testing.T) {
	total := map[string]int{}
	p := proof.Begin(t, proof.Claim{Guarantee: "R7", Kind: "history (porcupine)", Faults: "lost replies, dropped, late and duplicated writes, racing operators"})
	seeds := proof.Seeds(300)
	for _, seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			ok, counts := runSimulation(seed, func(p store.Table) store.Table { return p })
			if !ok {
				t.Errorf("seed %d: the history is not linearizable, or a store went back to an older revision: %v", seed, counts)
			}
			p.History(0)
			for kind, n := range counts {
				total[kind] += n
				p.Operations += n
			}
		})
	}
	t.Logf("operations: %v", total)
	for _, kind := range []string{"read", "published", "conflict", "unknown"} {
		if len(seeds) >= 300 && total[kind] < 20 {
			t.Errorf("only %d operations ended as %s; the simulation does not cover that case", total[kind], kind)
		}
	}
}

// unconditionalTable ignores the preconditions of commits.
type unconditionalTable struct{ store.Table }

func (t unconditionalTable) Commit(ctx context.Context, ops []store.Op) (store.CommitResult, error) {
	unconditional := make([]store.Op, len(ops))
	for i, op := range ops {
		op.IfVersion = store.AnyVersion
		unconditional[i] = op
	}
	return t.Table.Commit(ctx, unconditional)
}

// Guards against a check that accepts every history: it must reject histories
// of a table that does not compare versions.
func TestRegisterDetectsLostUpdates(t *testing.T) {
	rejected := 0
	for i := range uint64(20) {
		synctest.Test(t, func(*testing.T) {
			// Every fourth seed drops few requests, so that submissions overlap.
			if ok, _ := runSimulation(4*i, func(p store.Table) store.Table { return unconditionalTable{p} }); !ok {
				rejected++
			}
		})
	}
	if rejected < 15 {
		t.Errorf("only %d of 20 histories without compare-and-set were rejected", rejected)
	}
}
