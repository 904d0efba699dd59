package relay

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a relay that forwards data in mode cut or hold. Partition tests
// would then test nothing.
func TestRelay(t *testing.T) {
	Convey("With an echo server behind a relay", t, func() {
		target, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		received := make(chan string, 8)
		go func() {
			for {
				c, err := target.Accept()
				if err != nil {
					return
				}
				go func() {
					buf := make([]byte, 16)
					for n, err := c.Read(buf); err == nil; n, err = c.Read(buf) {
						received <- string(buf[:n])
						_, _ = c.Write(buf[:n])
					}
				}()
			}
		}()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		r := New(target.Addr().String())
		go r.Serve(t.Context(), l)
		Reset(func() { _ = target.Close(); _ = l.Close() })
		dial := func() net.Conn {
			c, err := net.Dial("tcp", l.Addr().String())
			So(err, ShouldBeNil)
			return c
		}
		echo := func(c net.Conn, text string) error {
			if _, err := c.Write([]byte(text)); err != nil {
				return err
			}
			_, err := c.Read(make([]byte, 16))
			return err
		}
		Convey("data is forwarded immediately or with a delay, and mode cut closes connections", func() {
			c := dial()
			So(echo(c, "a"), ShouldBeNil)
			So(r.Set(Behavior{Mode: ModeDelay, DelayMs: 1}), ShouldBeNil)
			So(echo(c, "b"), ShouldBeNil)
			So(r.Set(Behavior{Mode: ModeCut}), ShouldBeNil)
			So(echo(c, "c"), ShouldNotBeNil)
			So(echo(dial(), "d"), ShouldNotBeNil)
			So(r.Set(Behavior{Mode: ModePass}), ShouldBeNil)
			So(echo(dial(), "e"), ShouldBeNil)
			So(<-received+<-received+<-received, ShouldEqual, "abe")
		})
		Convey("data received in mode hold is forwarded only after the mode has changed", func() {
			c := dial()
			So(r.Set(Behavior{Mode: ModeHold}), ShouldBeNil)
			_, err := c.Write([]byte("late"))
			So(err, ShouldBeNil)
			So(len(received), ShouldEqual, 0)
			So(r.Set(Behavior{Mode: ModePass}), ShouldBeNil)
			So(<-received, ShouldEqual, "late")
		})
		Convey("an unknown mode is rejected", func() {
			So(r.Set(Behavior{Mode: "drop"}), ShouldNotBeNil)
		})
	})
}
