package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1_000_000, 0)

// at returns the time after a number of seconds.
func at(seconds float64) time.Time {
	return testStart.Add(time.Duration(seconds * float64(time.Second)))
}

func newTestTracker() *Tracker {
	return New(Config{Random: rand.New(rand.NewPCG(1, 2)).IntN})
}

func (t *Tracker) isQuarantined(now time.Time, parts ...uint64) bool {
	_, found, _ := t.Find(now, parts)
	return found
}

// Guards against a query of death that is sent to further workers, and against sound
// parts that are quarantined because they were on workers that crashed.
func TestThreshold(t *testing.T) {
	const deadly, sound = 66, 1
	Convey("Three workers that crash under a part quarantine it for Period", t, func() {
		q := newTestTracker()
		for i := range 3 {
			So(q.isQuarantined(at(float64(i)), deadly), ShouldBeFalse)
			q.RecordCrash(at(float64(i)), uint32(i), []uint64{sound, deadly})
			q.RecordSuccess(at(float64(i)+0.5), []uint64{sound})
		}
		So(q.isQuarantined(at(3), 7, deadly, 8), ShouldBeTrue)
		So(q.isQuarantined(at(3), sound), ShouldBeFalse)
		found, _, _ := q.Find(at(3), []uint64{deadly})
		So(found.Until, ShouldEqual, at(2+600))
		So(q.isQuarantined(at(2+599), deadly), ShouldBeTrue)
		So(q.isQuarantined(at(2+601), deadly), ShouldBeFalse)
		Convey("One more crash renews it", func() {
			changes := q.RecordCrash(at(610), 9, []uint64{deadly})
			So(changes, ShouldHaveLength, 1)
			So(changes[0].Until, ShouldEqual, at(610+600))
			So(q.isQuarantined(at(700), deadly), ShouldBeTrue)
		})
	})
	Convey("A worker counts once, whoever reports it", t, func() {
		q := newTestTracker()
		for i := range 5 {
			q.RecordCrash(at(float64(i)), 1, []uint64{deadly})
		}
		So(q.isQuarantined(at(5), deadly), ShouldBeFalse)
	})
	Convey("Workers that crash together count as one", t, func() {
		q := newTestTracker()
		for i := range 9 {
			q.RecordCrash(at(float64(i)*0.02), uint32(i), []uint64{deadly})
		}
		So(q.isQuarantined(at(1), deadly), ShouldBeFalse)
	})
	Convey("Two or more workers that crash at the same moment count as half a crash", t, func() {
		q := newTestTracker()
		worker := uint32(0)
		crash := func(seconds float64, n int) {
			for range n {
				worker++
				q.RecordCrash(at(seconds), worker, []uint64{deadly})
			}
		}
		for i, n := range []int{3, 9, 1, 2} {
			crash(float64(i), n)
		}
		So(q.isQuarantined(at(4), deadly), ShouldBeFalse)
		crash(5, 1)
		So(q.isQuarantined(at(5.1), deadly), ShouldBeFalse) // others may follow
		So(q.isQuarantined(at(5.3), deadly), ShouldBeTrue)
	})
	Convey("Mass crashes alone need six", t, func() {
		q := newTestTracker()
		for i := range 6 {
			So(q.isQuarantined(at(float64(i)), deadly), ShouldBeFalse)
			for n := range 5 {
				q.RecordCrash(at(float64(i)), uint32(10*i+n), []uint64{deadly})
			}
		}
		So(q.isQuarantined(at(6), deadly), ShouldBeTrue)
	})
	Convey("A part with several crashes keeps its place when many others have one", t, func() {
		q := newTestTracker()
		for i := range 2 {
			q.RecordCrash(at(float64(i)), uint32(i), []uint64{deadly})
		}
		others := make([]uint64, 3*maxSuspects)
		for i := range others {
			others[i] = uint64(1000 + i)
		}
		q.RecordCrash(at(2), 2, others)
		So(len(q.suspects), ShouldEqual, maxSuspects)
		q.RecordCrash(at(3), 3, []uint64{deadly, 7})
		So(q.isQuarantined(at(4), deadly), ShouldBeTrue)
		So(q.suspects[7], ShouldNotBeNil)
	})
	Convey("Crashes that are older than EvidenceTTL do not count", t, func() {
		q := newTestTracker()
		for i := range 5 {
			q.RecordCrash(at(float64(i)*70), uint32(i), []uint64{deadly})
		}
		So(q.isQuarantined(at(5*70), deadly), ShouldBeFalse)
	})
	Convey("A success ends a quarantine, and crashes before it do not count any more", t, func() {
		q := newTestTracker()
		for i := range 3 {
			q.RecordCrash(at(float64(i)), uint32(i), []uint64{sound})
		}
		So(q.isQuarantined(at(3), sound), ShouldBeTrue)
		changes := q.RecordSuccess(at(3), []uint64{sound})
		So(changes, ShouldResemble, []Change{{Kind: Cleared, Part: sound}})
		So(q.isQuarantined(at(3), sound), ShouldBeFalse)
		q.RecordCrash(at(4), 4, []uint64{sound})
		q.RecordCrash(at(5), 5, []uint64{sound})
		So(q.isQuarantined(at(6), sound), ShouldBeFalse)
	})
	Convey("Crashes with a quarantined part do not count for the others on the worker", t, func() {
		q := newTestTracker()
		for i := range 3 {
			q.RecordCrash(at(float64(i)), uint32(i), []uint64{deadly})
		}
		for i := range 3 {
			q.RecordCrash(at(float64(3+i)), uint32(3+i), []uint64{deadly, sound})
		}
		So(q.isQuarantined(at(7), deadly), ShouldBeTrue)
		So(q.isQuarantined(at(7), sound), ShouldBeFalse)
	})
	Convey("Which of two parts with the same crashes a request asks for first makes no difference", t, func() {
		q := newTestTracker()
		for i := range 3 {
			q.RecordCrash(at(float64(i)), uint32(i), []uint64{deadly, sound})
		}
		So(q.isQuarantined(at(2.5), sound), ShouldBeTrue)
		So(q.isQuarantined(at(2.6), deadly), ShouldBeTrue)
		q.RecordSuccess(at(2.7), []uint64{sound})
		So(q.isQuarantined(at(2.8), sound), ShouldBeFalse)
		So(q.isQuarantined(at(2.8), deadly), ShouldBeTrue)
	})
	Convey("A part that turns out to be sound explains no crashes", t, func() {
		q := newTestTracker()
		for i := range 3 {
			q.RecordCrash(at(float64(i)), uint32(i), []uint64{sound})
		}
		So(q.isQuarantined(at(2.5), sound), ShouldBeTrue)
		for i := range 3 {
			q.RecordCrash(at(float64(3+i)), uint32(3+i), []uint64{deadly, sound})
		}
		q.RecordSuccess(at(5.5), []uint64{sound})
		So(q.isQuarantined(at(6), sound), ShouldBeFalse)
		So(q.isQuarantined(at(6), deadly), ShouldBeTrue)
	})
	Convey("Of two parts with the same crashes, the sound one is found by requests that have only one of them", t, func() {
		q := newTestTracker()
		for i := range 3 {
			q.RecordCrash(at(float64(i)), uint32(i), []uint64{deadly, sound})
		}
		So(q.isQuarantined(at(2.5), deadly, sound), ShouldBeTrue)
		for range 2 { // Peek starts no trial
			_, found := q.Peek(at(2+4), []uint64{sound})
			So(found, ShouldBeFalse)
		}
		_, found := q.Peek(at(2+4), []uint64{deadly, sound})
		So(found, ShouldBeTrue)
		So(q.isQuarantined(at(2+4), sound), ShouldBeFalse) // a trial
		So(q.isQuarantined(at(2+4), sound), ShouldBeTrue)
		So(q.isQuarantined(at(2+4), deadly, sound), ShouldBeTrue)
		q.RecordSuccess(at(2+5), []uint64{sound})
		So(q.isQuarantined(at(2+6), sound), ShouldBeFalse)
		So(q.isQuarantined(at(2+20), deadly), ShouldBeTrue)
		So(q.isQuarantined(at(2+20), deadly), ShouldBeTrue)
	})
}

// Guards against evidence that does not reach other routers, counts twice there, or
// does not fit into a message.
func TestSharedEvidence(t *testing.T) {
	Convey("Routers that saw one crash each quarantine the part together", t, func() {
		routers := []*Tracker{newTestTracker(), newTestTracker(), newTestTracker()}
		for i, r := range routers {
			r.RecordCrash(at(float64(i)), uint32(i), []uint64{5, uint64(100 + i)})
		}
		for range 2 {
			for _, from := range routers {
				for _, to := range routers {
					_, err := to.Merge(at(3), from.Encode(at(3), 1000))
					So(err, ShouldBeNil)
				}
			}
		}
		for _, r := range routers {
			So(r.isQuarantined(at(3), 5), ShouldBeTrue)
			So(r.isQuarantined(at(3), 100), ShouldBeFalse)
		}
		Convey("A success at one of them reaches the others", func() {
			routers[0].RecordSuccess(at(4), []uint64{5})
			_, err := routers[1].Merge(at(5), routers[0].Encode(at(5), 1000))
			So(err, ShouldBeNil)
			So(routers[1].isQuarantined(at(5), 5), ShouldBeFalse)
		})
	})
	Convey("A success that took place before a report of a crash arrived counts", t, func() {
		a, b := newTestTracker(), newTestTracker()
		for i := range 3 {
			a.RecordCrash(at(float64(i)), uint32(i), []uint64{5})
		}
		b.RecordSuccess(at(2.5), []uint64{5})
		_, err := b.Merge(at(3), a.Encode(at(3), 1000))
		So(err, ShouldBeNil)
		So(b.isQuarantined(at(3), 5), ShouldBeFalse)
	})
	Convey("With many parts, those with most crashes are in each message and the others now and then", t, func() {
		q := newTestTracker()
		parts := make([]uint64, 300)
		for i := range parts {
			parts[i] = uint64(i)
		}
		q.RecordCrash(at(0), 1, parts)
		q.RecordCrash(at(1), 2, parts[:10])
		const messages = 400
		sent := map[uint64]int{}
		for range messages {
			b := q.Encode(at(2), 600)
			if len(b) > 600 {
				t.Errorf("%d bytes of 600", len(b))
			}
			reports, err := decode(at(2), b)
			if err != nil {
				t.Error(err)
			}
			for _, r := range reports {
				sent[r.part]++
			}
		}
		So(sent, ShouldHaveLength, len(parts))
		for _, part := range parts[:10] {
			So(sent[part], ShouldEqual, messages)
		}
	})
	Convey("A malformed message changes nothing", t, func() {
		q := newTestTracker()
		q.RecordCrash(at(0), 1, []uint64{5})
		b := q.Encode(at(1), 1000)
		other := newTestTracker()
		for n := 1; n < len(b); n++ {
			_, err := other.Merge(at(1), b[:n])
			So(err, ShouldNotBeNil)
		}
		tooOld := binary.AppendUvarint(append(binary.BigEndian.AppendUint64(nil, 5), 0), maxAge+2)
		_, err := other.Merge(at(1), tooOld)
		So(err, ShouldNotBeNil)
		So(other.suspects, ShouldBeEmpty)
	})
	Convey("Memory is limited", t, func() {
		q := newTestTracker()
		var parts []uint64
		for i := range uint64(2 * maxSuspects) {
			parts = append(parts, i)
			q.RecordSuccess(at(0), []uint64{100_000 + i, 200_000 + i})
		}
		q.RecordCrash(at(0), 1, parts)
		So(len(q.suspects), ShouldEqual, maxSuspects)
		So(len(q.successes), ShouldBeLessThanOrEqualTo, maxSuccesses+2)
		q.Encode(at(900), 1000)
		So(q.suspects, ShouldBeEmpty)
	})
}

// Guards against verdicts that depend on the order in which reports arrive or on
// duplicates: all routers must come to the same one.
func TestOrderOfReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const parts, crashes = 6, 8
		routers := rapid.IntRange(2, 5).Draw(t, "routers")
		trackers := make([]*Tracker, routers)
		for i := range trackers {
			trackers[i] = newTestTracker()
		}
		// Part 0 is on each crashed worker; others are on some.
		for i := range crashes {
			now := at(float64(i))
			on := []uint64{0}
			for p := uint64(1); p < parts; p++ {
				if rapid.IntRange(0, 3).Draw(t, fmt.Sprintf("part %d", p)) == 0 {
					on = append(on, p)
				}
			}
			trackers[rapid.IntRange(0, routers-1).Draw(t, "router")].RecordCrash(now, uint32(i), on)
			for p := uint64(1); p < parts; p++ {
				trackers[rapid.IntRange(0, routers-1).Draw(t, "success")].RecordSuccess(now.Add(500*time.Millisecond), []uint64{p})
			}
		}
		end := at(crashes)
		for range routers {
			var messages [][]byte
			for _, q := range trackers {
				messages = append(messages, q.Encode(end, 4000))
			}
			for _, q := range trackers {
				order := rapid.Permutation(append(slices.Clone(messages), messages[0])).Draw(t, "order")
				for _, m := range order {
					if _, err := q.Merge(end, m); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		for i, q := range trackers {
			for p := uint64(0); p < parts; p++ {
				if got := q.isQuarantined(end, p); got != (p == 0) {
					t.Fatalf("router %d: part %d quarantined: %v", i, p, got)
				}
			}
		}
	})
}

// Guards against a message of another router that ends the process or adds reports
// that cannot be sent on.
func FuzzMerge(f *testing.F) {
	q := newTestTracker()
	q.RecordCrash(at(0), 1, []uint64{5, 6})
	q.RecordSuccess(at(1), []uint64{5})
	f.Add(q.Encode(at(2), 1000))
	f.Fuzz(func(t *testing.T, b []byte) {
		q := newTestTracker()
		if _, err := q.Merge(at(3), b); err != nil {
			return
		}
		if _, err := newTestTracker().Merge(at(3), q.Encode(at(3), 1<<20)); err != nil {
			t.Fatal(err)
		}
	})
}
