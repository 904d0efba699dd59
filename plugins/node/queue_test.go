package node

import (
	"bytes"
	"testing"
	"testing/synctest"

	. "github.com/smartystreets/goconvey/convey"
)

// blockedWriter writes nothing until it is released.
type blockedWriter struct {
	released chan struct{}
	lines    int
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.released
	w.lines++
	return len(p), nil
}

// Guards against lines with the long request IDs of clients that fill the memory of a
// process whose output is not read.
func TestQueuedBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("Lines above the bytes of the queue are dropped, and later ones are written", t, func() {
			const size = 60 << 10
			out := &blockedWriter{released: make(chan struct{})}
			q := newLineQueue(out)
			for range maxQueuedLines {
				_, err := q.Write(bytes.Repeat([]byte("x"), size))
				So(err, ShouldBeNil)
			}
			So(q.bytes.Load(), ShouldBeLessThanOrEqualTo, maxQueuedBytes)
			So(q.dropped.Load(), ShouldEqual, maxQueuedLines-maxQueuedBytes/size)
			close(out.released)
			synctest.Wait()
			So(q.bytes.Load(), ShouldEqual, 0)
			_, err := q.Write([]byte("later"))
			So(err, ShouldBeNil)
			So(q.flush(t.Context()), ShouldBeNil)
			So(out.lines, ShouldEqual, maxQueuedBytes/size+2) // and the line about those dropped
		})
	})
}
