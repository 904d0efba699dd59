package dispatch

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Guards against requests that wait in the queue of a paused holder while
// another failure domain has room.
func TestOverflow(t *testing.T) {
	inBubble(t, "A queued chat asks the other domains once its rank's target has passed", func(t *testing.T) {
		b := newBench()
		others := b.index.Load().models["m"][0].others
		b.rank.TargetWait = 500 * time.Millisecond
		var waits []time.Duration
		b.slots.grant = func(r core.SlotRequest, _ *core.Slot) error {
			if slices.Contains(others.ids, r.Workers[0]) {
				return nil
			}
			waits = append(waits, r.Wait)
			<-time.After(r.Wait)
			return refusal(core.SlotExpired)
		}
		begin := time.Now()
		So(problemOf(b.chat(t.Context(), &textSink{})), ShouldEqual, "")
		So(time.Since(begin), ShouldEqual, b.rank.TargetWait)
		So(waits[len(waits)-1], ShouldEqual, b.rank.TargetWait)
	})
}
