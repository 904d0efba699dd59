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

// value is the configuration register: the newest revision, told apart by the
// tag of its set.
type value struct {
	revision uint64
	tag      string
}

// call is an operation on the register: a submission, or a read without tag.
type call struct {
	tag  string
	base uint64
}

// result is what an operation returned.
type result struct {
	kind string // read, published, conflict or unknown
	seen value
}

// register is the sequential specification.
var register = porcupine.NondeterministicModel{
	Init: func() []any { return []any{value{}} },
	Step: func(state, input, output any) []any {
		now, in, out := state.(value), input.(call), output.(result)
		next := value{in.base + 1, in.tag}
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

// trial runs operators and stores against one platform in virtual time.
type trial struct {
	platform *storetest.Platform
	table    store.Table // the platform's, or a broken form of it
	start    time.Time

	mu      sync.Mutex
	rand    *rand.Rand
	stores  []*LocalStore
	highest map[*LocalStore]uint64 // newest revision seen in each store
	history []porcupine.Operation
	back    bool // a store's revision went back
}

func (t *trial) intN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rand.IntN(n)
}

func (t *trial) think() { <-time.After(time.Duration(t.intN(int(80 * time.Millisecond)))) }

// travel is the way to or from the platform. Some replies to commits take so
// long that other operators publish several revisions meanwhile.
func (t *trial) travel(_ context.Context, c storetest.Call) {
	d := time.Duration(t.intN(int(20 * time.Millisecond)))
	if c.Op == "commit" && c.Stage == storetest.BeforeReply && t.intN(4) == 0 {
		d *= 20
	}
	<-time.After(d)
}

// record adds an operation that began at the time and ends now. An operation
// with unknown outcome may take effect at any later time.
func (t *trial) record(client int, began time.Time, in call, out result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end := time.Since(t.start).Nanoseconds()
	if out.kind == "unknown" {
		end = math.MaxInt64
	}
	t.history = append(t.history, porcupine.Operation{ClientId: client, Input: in, Call: began.Sub(t.start).Nanoseconds(), Output: out, Return: end})
}

// operate submits sets, each on the newest revision that the operator read,
// and repeats a submission whose outcome is not known.
func (t *trial) operate(client int) {
	p := &Publisher{Table: t.table, Objects: t.platform.Objects()}
	for i := range 6 {
		base, err := Newest(ctx, t.platform)
		if err != nil {
			continue
		}
		t.think()
		tag := fmt.Sprintf("c%d-%d", client, i)
		began := time.Now()
		if out := t.submit(p, submission(tag, base.Revision)); out.kind != "" {
			t.record(client, began, call{tag, base.Revision}, out)
		}
	}
}

// submit returns an empty result for a submission that was certainly refused.
func (t *trial) submit(p *Publisher, s Submission) result {
	maybe := false
	for range 3 {
		r, err := p.Submit(ctx, s)
		var conflict *ConflictError
		var uncertain *UncertainError
		switch {
		case err == nil:
			return result{"published", value{r.Revision, r.Token[len("token-"):]}}
		case errors.As(err, &conflict):
			return result{"conflict", value{conflict.Newest.Revision, conflict.Newest.Token[len("token-"):]}}
		case errors.As(err, &uncertain):
			maybe = true
		}
		t.think()
	}
	if maybe {
		return result{kind: "unknown"}
	}
	return result{}
}

// follow polls the pointer into a store and reads the store.
func (t *trial) follow(client int, v *LocalStore) {
	for range 12 {
		t.think()
		began := time.Now()
		newest, err := Newest(ctx, t.platform)
		if err != nil || newest.Revision == 0 {
			continue
		}
		c, err := t.advance(v, newest.Revision, newest.Manifest)
		if err != nil {
			continue
		}
		t.record(client, began, call{}, result{"read", value{c.Revision, c.Set.Models["m"].Weights}})
	}
}

// advance moves a store and checks that its revision does not go back.
func (t *trial) advance(v *LocalStore, revision uint64, manifest string) (*Snapshot, error) {
	_, err := v.Advance(ctx, revision, manifest, t.platform.Objects())
	t.mu.Lock()
	defer t.mu.Unlock()
	c := v.Current()
	if c != nil {
		t.back = t.back || c.Revision < t.highest[v]
		t.highest[v] = c.Revision
	}
	return c, err
}

// gossip passes on late announcements between stores.
func (t *trial) gossip(v *LocalStore) {
	for range 30 {
		c := t.stores[t.intN(len(t.stores))].Current()
		t.think()
		if c != nil {
			_, _ = t.advance(v, c.Revision, c.Manifest) // a failed fetch is allowed
		}
	}
}

// runTrial returns whether the history of a seed fits the register and no
// store went back, and the numbers of operations by kind of result.
func runTrial(seed uint64, wrap func(store.Table) store.Table) (ok bool, counts map[string]int) {
	f := storetest.New(storetest.Options{Seed: seed, Now: time.Now, After: func(d time.Duration, fn func()) { time.AfterFunc(d, fn) }})
	t := &trial{platform: f, table: wrap(f), start: time.Now(), highest: map[*LocalStore]uint64{}, rand: rand.New(rand.NewPCG(seed, 2))}
	f.SetFaults(storetest.Faults{
		Delay: t.travel, LostReplies: 0.1, DroppedRequests: 0.02 + 0.08*float64(seed%4),
		LateWrites: 0.05, DuplicateWrites: 0.05, LateBy: 300 * time.Millisecond,
	})
	for range 3 {
		t.stores = append(t.stores, NewLocalStore())
	}
	var wg sync.WaitGroup
	// Each client begins at its own time, so that the order in which they draw
	// random numbers depends on the seed only.
	begin := func(client int, run func()) {
		wg.Go(func() {
			<-time.After(time.Duration(client+1) * time.Microsecond)
			run()
		})
	}
	for i, v := range t.stores {
		begin(i, func() { t.follow(i, v) })
		begin(3+i, func() { t.gossip(v) })
	}
	for i := 6; i < 10; i++ {
		begin(i, func() { t.operate(i) })
	}
	wg.Wait()
	counts = map[string]int{}
	for _, op := range t.history {
		counts[op.Output.(result).kind]++
	}
	return !t.back && porcupine.CheckOperations(register.ToModel(), t.history), counts
}

// Guards against lost updates, submissions that are reported wrongly after a
// lost reply, reads of sets that were never in force, and revisions that go
// back: concurrent operators and stores behave like one register.
func TestRegister(t *testing.T) {
	total := map[string]int{}
	p := proof.Begin(t, proof.Claim{Guarantee: "R7", Kind: "history (porcupine)", Faults: "lost replies, dropped, late and doubled writes, racing operators"})
	seeds := proof.Seeds(300)
	for _, seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			ok, counts := runTrial(seed, func(p store.Table) store.Table { return p })
			if !ok {
				t.Errorf("seed %d: the history does not fit the register: %v", seed, counts)
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
			t.Errorf("only %d operations ended as %s; the trial does not cover that case", total[kind], kind)
		}
	}
}

// blind ignores the preconditions of commits.
type blind struct{ store.Table }

func (b blind) Commit(ctx context.Context, ops []store.Op) (store.CommitResult, error) {
	free := make([]store.Op, len(ops))
	for i, op := range ops {
		op.IfVersion = store.AnyVersion
		free[i] = op
	}
	return b.Table.Commit(ctx, free)
}

// Guards against a check that accepts everything: it rejects a table that
// does not compare versions.
func TestRegisterDetectsLostUpdates(t *testing.T) {
	rejected := 0
	for i := range uint64(20) {
		synctest.Test(t, func(*testing.T) {
			// Every fourth seed has few outages, so that submissions overlap.
			if ok, _ := runTrial(4*i, func(p store.Table) store.Table { return blind{p} }); !ok {
				rejected++
			}
		})
	}
	if rejected < 15 {
		t.Errorf("only %d of 20 histories without compare-and-set were rejected", rejected)
	}
}
