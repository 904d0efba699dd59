package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against an explanation that changes a later decision, for example by taking the
// share of a caller, and against one that says otherwise than the next decision.
func TestGateExplain(t *testing.T) {
	Convey("Explanations decide as the next decision does and change no decision", t, func() {
		random, now := rand.New(rand.NewPCG(3, 4)), time.Unix(1_000_000, 0)
		gates := [2]*Gate{NewGate(7), NewGate(7)}
		for _, g := range gates {
			g.SetUpstreams(map[uint32]Upstream{floodService: {Slots: 18}})
		}
		explained, plain := gates[0], gates[1]
		refused, inFlight := 0, 0
		for i := range 6000 {
			now = now.Add(time.Duration(random.IntN(6)) * time.Millisecond)
			r := RoutedRequest{Upstream: floodService, Rank: random.IntN(12) - 1, Caller: uint32(random.IntN(9)), Weight: 1, Target: 150 * time.Millisecond, TimeLeft: time.Second, Repeated: random.IntN(10) == 0}
			e := explained.Explain(now, r)
			other := r
			other.Caller++
			explained.Explain(now.Add(time.Second), other)
			d, without := explained.Decide(now, r), plain.Decide(now, r)
			if d != without {
				t.Fatalf("request %d: %+v, without explanations %+v", i, d, without)
			}
			d.Changed = false
			if e.Decision != d || !e.Known || d.Refused && !e.On {
				t.Fatalf("request %d: %+v, explained as %+v", i, d, e)
			}
			if d.Refused {
				refused++
				continue
			}
			inFlight++
			rejected := inFlight > 30 && i < 5000
			finished := !rejected && random.IntN(3) == 0
			for _, g := range gates {
				g.RecordSent(now, floodService)
				if rejected {
					g.RecordRejected(now, floodService)
				}
				if rejected || finished {
					g.RecordEnd(now, floodService, finished)
				}
			}
			if rejected || finished {
				inFlight--
			}
		}
		So(refused, ShouldBeGreaterThan, 100)
		So(explained.Changes(), ShouldResemble, plain.Changes())
		So(explained.Explain(now, RoutedRequest{Upstream: 1}).Known, ShouldBeFalse)
	})
}
