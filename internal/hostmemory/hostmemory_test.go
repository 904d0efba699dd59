package hostmemory

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a default that is larger than the machine.
func TestDefault(t *testing.T) {
	Convey("The default is a part of what was found", t, func() {
		const mb = 1 << 20
		for _, test := range []struct {
			found bool
			bytes int64
			want  int
		}{
			{false, 0, 128},
			{true, 24 << 30, 512},
			{true, 1024 * mb, 512},
			{true, 184 * mb, 92},
			{true, 136 * mb, 68},
			{true, 64 * mb, 48},
		} {
			So(DefaultMB(Limit{Bytes: test.bytes}, test.found), ShouldEqual, test.want)
		}
	})
	Convey("A limit is found on this machine", t, func() {
		l, found := Smallest()
		So(found, ShouldBeTrue)
		So(l.Bytes, ShouldBeGreaterThan, 0)
		So(l.Source, ShouldNotBeBlank)
	})
}
