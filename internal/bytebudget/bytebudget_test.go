package bytebudget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// slowReader returns its bytes, then waits until it is interrupted.
type slowReader struct {
	rest        io.Reader
	interrupted chan struct{}
}

var errInterrupted = errors.New("interrupted")

func (r *slowReader) Read(p []byte) (int, error) {
	if n, err := r.rest.Read(p); err == nil {
		return n, nil
	}
	<-r.interrupted
	return 0, errInterrupted
}

// hold starts a body that stops after size bytes and releases it when it yields.
func hold(b *Budget, caller string, size int) (result chan error) {
	r := &slowReader{bytes.NewReader(make([]byte, size)), make(chan struct{})}
	body := b.NewBody(caller, func() { close(r.interrupted) })
	result = make(chan error, 1)
	go func() {
		err := body.ReadRequest(context.Background(), r, time.Now)
		body.Release()
		result <- err
	}()
	synctest.Wait()
	return result
}

// read reads a whole body and releases it.
func read(b *Budget, caller string, size int) error {
	body := b.NewBody(caller, func() {})
	defer body.Release()
	return body.ReadRequest(context.Background(), strings.NewReader(strings.Repeat("x", size)), time.Now)
}

func inBubble(t *testing.T, name string, body func()) {
	synctest.Test(t, func(t *testing.T) { Convey(name, t, body) })
}

// Guards against an ordinary caller that is refused because the bodies of others never
// end, and against bodies that are given up without need.
func TestWhoYields(t *testing.T) {
	const mb = 1 << 20
	inBubble(t, "The oldest unfinished body of the largest caller yields to another caller", func() {
		b := New(4 * mb)
		small := hold(b, "small", mb/2)
		<-time.After(time.Millisecond)
		first := hold(b, "large", mb)
		<-time.After(time.Millisecond)
		second := hold(b, "large", mb)
		<-time.After(time.Millisecond)
		So(read(b, "clerk", 2*mb), ShouldBeNil)
		So(<-first, ShouldEqual, ErrYielded)
		So(second, ShouldBeEmpty)
		So(small, ShouldBeEmpty)
		So(read(b, "clerk", 3*mb), ShouldEqual, ErrShort) // above the share of one caller
		b.mu.Lock()
		for body := range b.reading {
			body.interrupt()
		}
		b.mu.Unlock()
		<-small
		<-second
		So(b.Used(), ShouldEqual, 0)
	})
	inBubble(t, "A body yields to another one of its caller only after a time without progress", func() {
		b := New(4 * mb)
		stalled := hold(b, "clerk", 5*mb/2)
		So(read(b, "clerk", mb), ShouldEqual, ErrShort)
		So(stalled, ShouldBeEmpty)
		<-time.After(StallTime)
		So(read(b, "clerk", mb), ShouldBeNil)
		So(<-stalled, ShouldEqual, ErrYielded)
	})
	inBubble(t, "A body that has arrived whole does not yield", func() {
		b := New(4 * mb)
		whole := b.NewBody("large", func() { panic("interrupted") })
		So(whole.ReadRequest(context.Background(), bytes.NewReader(make([]byte, 5*mb/2)), time.Now), ShouldBeNil)
		So(read(b, "clerk", 2*mb), ShouldEqual, ErrShort)
		whole.Release()
		So(read(b, "clerk", 2*mb), ShouldBeNil)
	})
	inBubble(t, "Clients without a known key hold only a small part", func() {
		b := New(4 * mb)
		So(read(b, "", 5*mb/8), ShouldEqual, ErrShort)
		So(read(b, "", mb/4), ShouldBeNil)
		So(b.Used(), ShouldEqual, 0)
	})
	inBubble(t, "As many requests of clients without a known key are admitted as of a caller", func() {
		for _, caller := range []string{"", "clerk"} {
			b := New(4 * mb)
			var admitted []*Body
			for {
				body := b.NewBody(caller, func() {})
				if body.Admit(context.Background(), 1000, time.Now) != nil {
					break
				}
				admitted = append(admitted, body)
			}
			So(len(admitted), ShouldEqual, 3*mb/(requestBytes+1000))
			So(read(b, caller, mb/4), ShouldEqual, map[string]error{"": nil, "clerk": ErrShort}[caller])
			for _, body := range admitted {
				body.Release()
			}
			So(b.Used(), ShouldEqual, 0)
			So(b.unknown, ShouldEqual, 0)
		}
	})
}

// Guards against bytes that are held and not counted, counted and not held, given back
// twice, or given to two bodies.
func TestCountsMatchTheBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1 << 18
		b := New(limit)
		var bodies []*Body
		content := map[*Body]byte{}
		for i := range rapid.IntRange(1, 20).Draw(t, "steps") {
			if len(bodies) > 0 && rapid.Bool().Draw(t, "release") {
				n := rapid.IntRange(0, len(bodies)-1).Draw(t, "which")
				bodies[n].Release()
				bodies[n].Release()
				bodies = append(bodies[:n], bodies[n+1:]...)
			} else {
				size := rapid.IntRange(0, limit).Draw(t, "size")
				body := b.NewBody(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), func() {})
				err := body.ReadRequest(context.Background(), io.MultiReader(bytes.NewReader(bytes.Repeat([]byte{byte(i)}, size)), strings.NewReader("")), time.Now)
				if err != nil && err != ErrShort || err == nil && body.Size() != int64(size) {
					t.Fatalf("%v, %d of %d bytes", err, body.Size(), size)
				}
				if err != nil {
					body.Release() // others wait for it
					continue
				}
				if rapid.Bool().Draw(t, "join") {
					joined, err := body.Join(context.Background(), time.Now)
					if err == nil && (len(joined) != size || bytes.Count(joined, []byte{byte(i)}) != size || body.counted < 2*int64(size)) {
						t.Fatalf("joined %d of %d bytes, counted %d", len(joined), size, body.counted)
					}
				}
				bodies, content[body] = append(bodies, body), byte(i)
			}
			total, kept := int64(0), int64(len(b.free))*ChunkBytes
			for _, body := range bodies {
				held := int64(0)
				for _, c := range body.Chunks() {
					held += int64(cap(c))
					if bytes.Count(c, []byte{content[body]}) != len(c) {
						t.Fatalf("a body has the bytes of another one")
					}
				}
				if held > body.counted {
					t.Fatalf("%d bytes held, %d counted", held, body.counted)
				}
				total += body.counted
			}
			if total != b.Used() || total+kept > limit {
				t.Fatalf("counted %d, used %d, kept %d, limit %d", total, b.Used(), kept, limit)
			}
		}
	})
}

// Guards against responses that nobody reads and that keep others out, and against ones
// that are given up while their caller reads.
func TestResponsesYield(t *testing.T) {
	const mb = 1 << 20
	respond := func(b *Budget, caller string, size int) (body *Body, yielded *bool) {
		body, yielded = b.NewBody(caller, nil), new(bool)
		So(body.ReadResponse(context.Background(), strings.NewReader(strings.Repeat("x", size)), time.Now), ShouldBeNil)
		body.StartWriting("", func() { *yielded = true; go body.Release() }, time.Now())
		return body, yielded
	}
	inBubble(t, "A response whose caller reads nothing yields after a time, the longest first", func() {
		b := New(4 * mb)
		_, first := respond(b, "crowd", mb)
		<-time.After(time.Millisecond)
		reading, second := respond(b, "crowd", 3*mb/2)
		So(read(b, "clerk", 2*mb), ShouldEqual, ErrShort)
		So(*first, ShouldBeFalse)
		<-time.After(StallTime)
		reading.StartWriting("", func() { *second = true; go reading.Release() }, time.Now()) // it has read a part
		So(read(b, "clerk", 2*mb), ShouldBeNil)
		So(*first, ShouldBeTrue)
		So(*second, ShouldBeFalse)
		reading.Release()
		So(b.Used(), ShouldEqual, 0)
	})
	inBubble(t, "Of responses that nobody reads the one that waits longest yields", func() {
		b := New(4 * mb)
		_, first := respond(b, "crowd", mb)
		<-time.After(time.Millisecond)
		second, yielded := respond(b, "crowd", mb)
		<-time.After(time.Millisecond)
		third, _ := respond(b, "crowd", mb/2)
		third.Release()
		So(b.writing, ShouldHaveLength, 2)
		<-time.After(StallTime)
		So(read(b, "clerk", 5*mb/2), ShouldBeNil)
		So(*first, ShouldBeTrue)
		So(*yielded, ShouldBeFalse)
		second.Shrink(mb / 2)
		So(b.Used(), ShouldEqual, mb/2)
		second.Release()
		So(b.Used(), ShouldEqual, 0)
		So(b.writing, ShouldBeEmpty)
	})
	inBubble(t, "A response yields only while a part of it is written", func() {
		b := New(4 * mb)
		body, yielded := respond(b, "crowd", 5*mb/2)
		body.EndWriting()
		<-time.After(2 * StallTime)
		So(read(b, "clerk", 2*mb), ShouldEqual, ErrShort)
		So(*yielded, ShouldBeFalse)
	})
	inBubble(t, "Responses that hold the same and of which nothing was read yield together", func() {
		b := New(4 * mb)
		yields := map[string]int{}
		write := func(name, holds string, now time.Time) *Body {
			body := b.NewBody("crowd", nil)
			So(body.Admit(context.Background(), 0, time.Now), ShouldBeNil)
			body.StartWriting(holds, func() { yields[name]++ }, now)
			return body
		}
		start := time.Now()
		write("unread", "w1", start)
		write("stream", "w1", start)
		reading := write("reading", "w1", start)
		write("waiting", "w1", start).EndWriting() // its worker is slow
		write("other", "w2", start)
		write("whole", "", start)
		now := start.Add(StallTime)
		reading.StartWriting("w1", func() { yields["reading"]++ }, now)
		So(b.YieldHolding("w1", now.Add(-time.Millisecond)), ShouldEqual, 0)
		So(b.YieldHolding("w1", now), ShouldEqual, 2)
		So(b.YieldHolding("w1", now), ShouldEqual, 0) // they have not ended yet
		So(yields, ShouldResemble, map[string]int{"unread": 1, "stream": 1})
		So(b.YieldHolding("w2", now), ShouldEqual, 1)
		So(b.YieldHolding("w1", now.Add(StallTime)), ShouldEqual, 1)
		So(yields, ShouldResemble, map[string]int{"unread": 1, "stream": 1, "other": 1, "reading": 1})
	})
	inBubble(t, "A stream yields its connection, but not for the memory of others", func() {
		b := New(4 * mb)
		stream, yielded := b.NewBody("crowd", nil), false
		So(stream.Admit(context.Background(), 5*mb/2, time.Now), ShouldBeNil)
		stream.StartWriting("", func() { yielded = true }, time.Now())
		<-time.After(2 * StallTime)
		So(read(b, "clerk", 2*mb), ShouldEqual, ErrShort)
		So(yielded, ShouldBeFalse)
		So(b.YieldSlow(2*StallTime, time.Now()), ShouldBeTrue)
		So(yielded, ShouldBeTrue)
	})
	inBubble(t, "A response above the caller's share keeps what was read", func() {
		b := New(4 * mb)
		body := b.NewBody("crowd", nil)
		So(body.ReadResponse(context.Background(), strings.NewReader(strings.Repeat("x", 4*mb)), time.Now), ShouldEqual, ErrShort)
		So(body.Size(), ShouldBeBetween, 2*mb, 3*mb)
		body.Reset()
		So(b.Used(), ShouldEqual, 0)
		So(body.Size(), ShouldEqual, 0)
	})
}

// Guards against connections that take the memory of bodies, or find none beside them.
func TestConnectionsBesideBodies(t *testing.T) {
	const mb = 1 << 20
	inBubble(t, "Connections take half, and unfinished bodies yield to them", func() {
		b := New(4 * mb)
		first := hold(b, "crowd", 2*mb)
		second := hold(b, "clerk", mb/2)
		So(b.TryAddConnection(mb, time.Now()), ShouldBeTrue)
		So(first, ShouldBeEmpty)
		So(b.TryAddConnection(mb, time.Now()), ShouldBeTrue)
		So(<-first, ShouldEqual, ErrYielded)
		So(second, ShouldBeEmpty)
		So(b.TryAddConnection(1, time.Now()), ShouldBeFalse)
		b.ReleaseConnection(2 * mb)
		So(b.YieldSlow(0, time.Now()), ShouldBeTrue)
		So(<-second, ShouldEqual, ErrYielded)
		So(b.Used(), ShouldEqual, 0)
	})
	inBubble(t, "Each connection that is counted before a body has yielded lets another one yield", func() {
		b := New(4 * mb)
		whole := b.NewBody("clerk", func() {})
		So(whole.ReadRequest(context.Background(), bytes.NewReader(make([]byte, 5*mb/2)), time.Now), ShouldBeNil)
		yielded := 0
		for range 2 {
			body := b.NewBody("crowd", func() { yielded++ }) // it has not released its bytes yet
			body.count(3 * mb / 4)
			body.startReading(time.Now())
			<-time.After(time.Millisecond)
		}
		So(b.TryAddConnection(mb/2, time.Now()), ShouldBeTrue)
		So(yielded, ShouldEqual, 1)
		So(b.TryAddConnection(mb/2, time.Now()), ShouldBeTrue)
		So(yielded, ShouldEqual, 2)
		So(b.TryAddConnection(mb, time.Now()), ShouldBeFalse)
	})
	inBubble(t, "The slowest body yields its connection", func() {
		b := New(4 * mb)
		slow := hold(b, "crowd", 10)
		fast := hold(b, "clerk", mb)
		<-time.After(time.Second)
		So(b.YieldSlow(2*time.Second, time.Now()), ShouldBeFalse)
		<-time.After(time.Second)
		So(b.YieldSlow(2*time.Second, time.Now()), ShouldBeTrue)
		So(<-slow, ShouldEqual, ErrYielded)
		So(fast, ShouldBeEmpty)
		So(b.YieldSlow(0, time.Now()), ShouldBeTrue)
		<-fast
	})
}

// Guards against a small memory in which not even one request is served.
func TestSmallestMemory(t *testing.T) {
	Convey("A body of 4 MiB and a copy of it find room in any memory that the settings allow", t, func() {
		b := New(Limit(48))
		body := b.NewBody("clerk", func() {})
		So(body.Admit(context.Background(), 16<<10, time.Now), ShouldBeNil)
		So(body.ReadRequest(context.Background(), bytes.NewReader(make([]byte, 4<<20)), time.Now), ShouldBeNil)
		_, err := body.Join(context.Background(), time.Now)
		So(err, ShouldBeNil)
		So(Limit(136), ShouldBeGreaterThan, Limit(48))
		So(RuntimeLimit(48), ShouldBeGreaterThan, Limit(48))
	})
}
