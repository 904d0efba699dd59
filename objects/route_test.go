package objects

import (
	"errors"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

const routeSet = `[rank.urgent]
priority = 0

[caller.clerks]
key_sha256 = aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa
more_key_sha256 = bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
priority = 0
ranks = urgent
default_rank = urgent

[upstream.desk]
kind = service
worker = s1 a http://10.0.0.1:80

[route.booking]
host = desk.example
prefix = /book/
kind = once
timeout = 2s
destination = desk 90
`

// Guards against fields of routes and additional caller keys that Format or Encode
// drops or that Check does not check.
func TestRoutes(t *testing.T) {
	Convey("A set with routes is unchanged by Format and Encode", t, func() {
		s, err := Load("set.ini", []byte(routeSet))
		So(err, ShouldBeNil)
		r := s.Routes["booking"]
		So(*r, ShouldResemble, Route{
			Name: "booking", Host: "desk.example", Prefix: "/book/", Kind: RouteOnce, Timeout: 2 * time.Second,
			Target: time.Second, GapTarget: time.Second, Priority: 5, MaxAttempts: 1,
			Destinations: []Destination{{Upstream: "desk", Weight: 90}},
		})
		So(r.Retryable(), ShouldBeFalse)
		So(*s.Callers["clerks"].Priority, ShouldEqual, 0)
		again, err := Load("again.ini", Format(s))
		So(err, ShouldBeNil)
		So(again, ShouldResemble, s)
		body, err := Encode(s)
		So(err, ShouldBeNil)
		decoded, err := Decode(body)
		So(err, ShouldBeNil)
		So(Diff(s, decoded), ShouldBeEmpty)
	})
	Convey("Invalid routes and a duplicate caller key are reported with key and remedy", t, func() {
		text := routeSet + `
[route.again]
host = DESK.example
prefix = /book/
kind = twice
destination = nowhere 0

[caller.others]
key_sha256 = bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb
ranks = urgent
default_rank = urgent
`
		_, err := Load("set.ini", []byte(text))
		var e *ValidationError
		So(errors.As(err, &e), ShouldBeTrue)
		var keys []string
		for _, p := range e.Problems {
			keys = append(keys, p.Section+"."+p.Key)
			So(p.Remedy, ShouldNotBeEmpty)
		}
		So(keys, ShouldResemble, []string{"caller.others.key_sha256", "route.again.kind", "route.again.destination", "route.again.destination", "route.booking.prefix"})
	})
}
