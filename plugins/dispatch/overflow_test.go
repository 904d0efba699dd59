package dispatch

import (
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
)

// Guards against requests that wait in the queue of a paused lease holder while
// another failure domain has free slots.
func TestOverflow(t *testing.T) {
	inBubble(t, "A queued chat tries the remote domains after its rank's target wait", func(t *testing.T) {
		h := newHarness()
		remote := h.index.Load().models["m"][0].remote
		h.rank.TargetWait = 500 * time.Millisecond
		var waits []time.Duration
		h.slots.refuse = func(r core.SlotRequest, _ *core.Slot) error {
			if slices.Contains(remote.ids, r.Workers[0]) {
				return nil
			}
			waits = append(waits, r.Wait)
			<-time.After(r.Wait)
			return slotError(core.SlotExpired)
		}
		startedAt := time.Now()
		So(problemOf(h.chat(t.Context(), &textSink{})), ShouldEqual, "")
		So(time.Since(startedAt), ShouldEqual, h.rank.TargetWait)
		So(waits[len(waits)-1], ShouldEqual, h.rank.TargetWait)
	})
}
