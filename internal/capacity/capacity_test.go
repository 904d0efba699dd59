package capacity

import (
	"io"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a wrong slope, intercept or residual. All figures in
// docs/CAPACITY.md are based on them.
func TestLeastSquares(t *testing.T) {
	Convey("Least squares", t, func() {
		for _, c := range []struct {
			desc     string
			points   []Point
			expected Fit
		}{
			{"points on a line have no residual", []Point{{1, 5}, {2, 7}, {4, 11}}, Fit{Intercept: 3, Slope: 2}},
			{"points off the line have a residual", []Point{{0, 1}, {1, 0}, {2, 0}, {3, 1}}, Fit{Intercept: 0.5, Residual: 0.5}},
			{"points at the same size have slope 0", []Point{{3, 4}, {3, 6}}, Fit{Intercept: 5, Residual: 1}},
			{"no points give zero", nil, Fit{}},
		} {
			Convey(c.desc, func() {
				f := LeastSquares(c.points)
				So(f.Intercept, ShouldAlmostEqual, c.expected.Intercept)
				So(f.Slope, ShouldAlmostEqual, c.expected.Slope)
				So(f.Residual, ShouldAlmostEqual, c.expected.Residual)
			})
		}
	})
}

// Guards against bytes that a relay forwards without counting them, or counts
// in the wrong direction.
func TestRelayCountsBytes(t *testing.T) {
	Convey("A relay counts each direction", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		defer l.Close()
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 1000))
			_, _ = c.Write(make([]byte, 70_000))
			_ = c.Close()
		}()
		traffic := &Traffic{}
		relay, err := NewRelay(traffic)
		So(err, ShouldBeNil)
		defer relay.Close()
		relay.SetTarget(l.Addr().String())
		c, err := net.Dial("tcp", relay.Address())
		So(err, ShouldBeNil)
		_, err = c.Write(make([]byte, 1000))
		So(err, ShouldBeNil)
		response, err := io.ReadAll(c)
		So(err, ShouldBeNil)
		So(len(response), ShouldEqual, 70_000)
		v := traffic.Snapshot()
		So(v.Up, ShouldEqual, 1000)
		So(v.Down, ShouldEqual, 70_000)
		So(v.Conns, ShouldEqual, 1)
	})
}
