package ledger

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/auburnlead/auburnlead/internal/proof"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// The fixed seed makes every run draw the same cases; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20260504") }

// stateMachine drives two routers on one platform, one step at a time, and
// checks each result against the expected state of the requests.
type stateMachine struct {
	*simulation
	claims    int
	open      []openClaim       // claims neither finished nor abandoned
	neverSent []string          // attempts that have sent nothing and will not
	digests   map[string]string // digest of the first claim that may have been written
}

type openClaim struct {
	l *Ledger
	c Claim
}

var errGaveUp = errors.New("the request was given up")

func (m *stateMachine) claim(t *rapid.T) {
	m.claims++
	l := rapid.SampledFrom(m.ledgers).Draw(t, "router")
	c := Claim{Caller: "juror", Service: "entries-desk", Attempt: fmt.Sprintf("a%d", m.claims), Router: "r"}
	c.Key = rapid.SampledFrom([]string{"k0", "k1"}).Draw(t, "key")
	c.Digest = rapid.SampledFrom([]string{"d", "d", "e"}).Draw(t, "digest")
	ctx, cancel := context.WithTimeoutCause(context.Background(), rapid.SampledFrom([]time.Duration{time.Millisecond, time.Minute}).Draw(t, "timeout"), errGaveUp)
	defer cancel()
	if len(m.neverSent) > 0 && rapid.Bool().Draw(t, "take over") {
		// The previous attempt need not be the one in the row.
		d, err := l.TakeOver(ctx, c, rapid.SampledFrom(m.neverSent).Draw(t, "other"))
		m.checkClaim(t, l, c, d, err)
		return
	}
	d, err := l.Claim(ctx, c)
	m.checkClaim(t, l, c, d, err)
}

func (m *stateMachine) checkClaim(t *rapid.T, l *Ledger, c Claim, d Decision, err error) {
	var reused *KeyReusedError
	switch {
	case errors.As(err, &reused):
		if first := m.digests[c.Key]; first == c.Digest {
			t.Fatalf("%s: digest %s is rejected although it was the first", c.Key, first)
		}
		return
	case err != nil:
		m.neverSent = append(m.neverSent, c.Attempt)
		return
	}
	if m.digests[c.Key] == "" {
		m.digests[c.Key] = c.Digest
	}
	if m.digests[c.Key] != c.Digest {
		t.Fatalf("%s: digest %s is accepted after %s", c.Key, c.Digest, m.digests[c.Key])
	}
	switch d.State {
	case StateClaimed:
		if m.runs[c.Key] > 0 {
			t.Fatalf("%s may run again", c.Key)
		}
		for _, o := range m.open {
			if o.c.Key == c.Key {
				t.Fatalf("%s is claimed by %s and %s", c.Key, o.c.Attempt, c.Attempt)
			}
		}
		m.open = append(m.open, openClaim{l, c})
	case StateReplay:
		if string(d.Answer) != m.answers[c.Key] {
			t.Fatalf("%s: answer %q instead of %q", c.Key, d.Answer, m.answers[c.Key])
		}
	}
}

// takeOpenClaim draws an open claim, removes it from the list and returns it.
func (m *stateMachine) takeOpenClaim(t *rapid.T) openClaim {
	if len(m.open) == 0 {
		t.Skip("there is no open claim")
	}
	i := rapid.IntRange(0, len(m.open)-1).Draw(t, "claim")
	o := m.open[i]
	m.open = append(m.open[:i:i], m.open[i+1:]...)
	return o
}

func (m *stateMachine) finish(t *rapid.T) {
	o := m.takeOpenClaim(t)
	r := Result{Outcome: rapid.SampledFrom([]Outcome{OutcomeRan, OutcomeNotRun, OutcomeUnknown}).Draw(t, "outcome")}
	if r.Outcome == OutcomeRan {
		r.Answer = []byte(rapid.SampledFrom([]string{"", "short", "an answer that exceeds the row"}).Draw(t, "answer"))
		m.answers[o.c.Key] = string(r.Answer)
	}
	if r.Outcome != OutcomeNotRun {
		m.runs[o.c.Key]++
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var pending *PendingError
	if err := o.l.Finish(ctx, o.c, r); err != nil && !errors.As(err, &pending) {
		t.Fatalf("finish: %v", err)
	}
}

func (m *stateMachine) abandon(t *rapid.T) {
	o := m.takeOpenClaim(t)
	m.neverSent = append(m.neverSent, o.c.Attempt)
	o.l.Abandon(o.c)
}

func (m *stateMachine) setFaults(t *rapid.T) {
	share := rapid.SampledFrom([]float64{0, 0, 0.5, 1})
	m.platform.SetFaults(storetest.Faults{
		Outage:          rapid.Bool().Draw(t, "outage"),
		LostReplies:     share.Draw(t, "lost"),
		DroppedRequests: share.Draw(t, "dropped"),
		LateWrites:      share.Draw(t, "late"),
		DuplicateWrites: share.Draw(t, "duplicate"),
		LateBy:          5 * time.Second,
	})
}

// stopFaults ends all faults and closes the ledgers.
func (m *stateMachine) stopFaults() {
	m.platform.SetFaults(storetest.Faults{})
	for _, l := range m.ledgers {
		l.Close(context.Background())
	}
	<-time.After(10 * time.Second) // late writes arrive
}

// checkEnd finds rows that are still claimed by an attempt that has ended.
func (m *stateMachine) checkEnd(t *rapid.T) {
	rows, err := m.platform.Scan(context.Background(), rowPrefix, "", 10)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		rec, err := decode(row.Value)
		if err != nil {
			t.Fatal(err)
		}
		running := slices.ContainsFunc(m.open, func(o openClaim) bool { return o.c.Attempt == rec.Attempt })
		if rec.State == rowClaimed && !running {
			t.Fatalf("%s stays claimed by %s, which has ended", row.Key, rec.Attempt)
		}
	}
}

// tbOnly hides methods of testing.T that are not allowed in a synctest bubble.
type tbOnly struct{ testing.TB }

// Guards against a sequence of claims, results, faults and pauses after which a
// request may run again, gets the answer to another request, or is accepted with
// a different body.
func TestStateMachine(t *testing.T) {
	p := proof.Begin(t, proof.Claim{Guarantee: "R3 R4", Kind: "state machine (rapid)", Faults: "lost replies, dropped and late writes, outages, abandoned claims, takeovers"})
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(tbOnly{t}, func(t *rapid.T) {
			p.History(0)
			seed := rapid.Uint64().Draw(t, "seed")
			m := &stateMachine{simulation: newSimulation(seed, 2), digests: map[string]string{}}
			defer m.stopFaults()
			t.Repeat(map[string]func(*rapid.T){
				"":        func(*rapid.T) { p.Operations++ },
				"claim":   m.claim,
				"finish":  m.finish,
				"abandon": m.abandon,
				"faults":  m.setFaults,
				"time":    func(*rapid.T) { <-time.After(3 * time.Second) },
				"sweep": func(t *rapid.T) {
					if n, _ := rapid.SampledFrom(m.ledgers).Draw(t, "router").Sweep(context.Background()); n > 0 {
						t.Fatalf("%d rows were swept before the retention had passed", n)
					}
				},
			})
			m.stopFaults()
			m.checkEnd(t)
		})
	})
}

// Guards against a decoder that panics on a corrupt row, or that accepts a row
// which encode would not have written.
func FuzzDecode(f *testing.F) {
	f.Add(record{State: rowClaimed, Digest: "d", Attempt: "a", Router: "r", At: 5}.encode())
	f.Add(record{State: rowRan, Digest: "d", Attempt: "a", Answer: []byte("answer")}.encode())
	f.Add([]byte(`{"state":"ran","digest":"d","attempt":"a","router":"","object":"00"}`))
	f.Add([]byte(`{"state":"claimed","digest":"d","attempt":"a","router":"r","answer":"AAAA"}`))
	f.Add([]byte(`{"state":"claimed","digest":"d","attempt":"a","router":"r","later":1}`))
	f.Add([]byte(`{"state":"claimed","digest":"","attempt":"a","router":""}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decode(value)
		if err != nil {
			return
		}
		if string(r.encode()) != string(value) {
			t.Fatalf("%q is read as %+v", value, r)
		}
		known := slices.Contains([]rowState{rowClaimed, rowRan, rowNotRun, rowUnknown}, r.State)
		if !known || r.Digest == "" || r.Attempt == "" || r.Object != "" && len(r.Object) != 64 {
			t.Fatalf("%q is accepted as %+v", value, r)
		}
		if r.State != rowRan && (len(r.Answer) > 0 || r.Object != "") {
			t.Fatalf("%q has an answer in state %s", value, r.State)
		}
	})
}
