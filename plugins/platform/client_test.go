package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	standin "github.com/auburnlead/auburnlead/internal/standin/platform"
	"github.com/auburnlead/auburnlead/store"
	"github.com/auburnlead/auburnlead/store/storetest"
)

func newTestClient(url string) *Client {
	return NewClient(&Settings{URL: url, Timeout: 10 * time.Second, ConnectTimeout: 10 * time.Second, MaxConnections: 4, IdleTimeout: time.Minute})
}

// Guards against an error that says that a write was not carried out although it
// may have taken effect: the ledger and the leases rely on the difference.
func TestWriteErrors(t *testing.T) {
	insert := []store.Op{{Key: "a", Value: []byte("1")}}
	cases := []struct {
		desc      string
		faults    storetest.Faults
		uncertain bool
		written   bool
	}{
		{"outage", storetest.Faults{Outage: true}, false, false},
		{"reply lost after the write", storetest.Faults{LostReplies: 1}, true, true},
		{"request lost before the write", storetest.Faults{DroppedRequests: 1}, true, false},
		{"rate limit", storetest.Faults{WritesPerSecond: 1e-9}, false, false},
	}
	for _, tc := range cases {
		Convey("A commit has the right error and effect under the fault: "+tc.desc, t, func() {
			p := standin.New(standin.Settings{Seed: 1})
			srv := httptest.NewServer(standin.Handler(p))
			defer srv.Close()
			c := newTestClient(srv.URL)
			defer c.Close()
			if tc.desc == "rate limit" { // the burst of the rate limit is one write
				p.SetFaults(tc.faults)
				_, err := c.Commit(t.Context(), []store.Op{{Key: "b"}})
				So(err, ShouldBeNil)
			}
			p.SetFaults(tc.faults)
			_, err := c.Commit(t.Context(), insert)
			var uncertain *store.UncertainError
			var unavailable *store.UnavailableError
			So(errors.As(err, &uncertain), ShouldEqual, tc.uncertain)
			So(errors.As(err, &unavailable), ShouldEqual, !tc.uncertain)
			p.SetFaults(storetest.Faults{})
			rows, err := c.Get(t.Context(), "a")
			So(err, ShouldBeNil)
			So(rows[0].Version > 0, ShouldEqual, tc.written)
		})
	}
	Convey("A commit to an address where nothing listens was not carried out", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(l.Close(), ShouldBeNil)
		_, err = newTestClient("http://"+l.Addr().String()).Commit(t.Context(), insert)
		var unavailable *store.UnavailableError
		So(errors.As(err, &unavailable), ShouldBeTrue)
	})
	Convey("A commit that is cancelled after it was sent, and a 5xx reply, have an unknown outcome", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			cancel()
			http.Error(w, "broken", http.StatusInternalServerError)
		}))
		defer srv.Close()
		var uncertain *store.UncertainError
		_, err := newTestClient(srv.URL).Commit(ctx, insert)
		So(errors.As(err, &uncertain), ShouldBeTrue)
		_, err = newTestClient(srv.URL).Commit(t.Context(), insert)
		So(errors.As(err, &uncertain), ShouldBeTrue)
	})
}

// Guards against a client and a stand-in that encode a message differently.
func TestClient(t *testing.T) {
	Convey("Rows, conflicts, objects and VMs arrive unchanged over HTTP", t, func() {
		p := standin.New(standin.Settings{Seed: 1})
		srv := httptest.NewServer(standin.Handler(p))
		defer srv.Close()
		c := newTestClient(srv.URL)
		defer c.Close()
		ctx := t.Context()

		result, err := c.Commit(ctx, []store.Op{{Key: "k/1", Value: []byte{0, 255}}, {Key: "k/2"}, {Key: "l"}})
		So(err, ShouldBeNil)
		So(result.Versions, ShouldResemble, []int64{1, 2, 3})
		So(result.At.IsZero(), ShouldBeFalse)
		rows, err := c.Scan(ctx, "k/", "k/1", 10)
		So(err, ShouldBeNil)
		So(rows, ShouldResemble, []store.Row{{Key: "k/2", Version: 2}})
		_, err = c.Commit(ctx, []store.Op{{Key: "k/1"}, {Key: "new"}})
		var conflict *store.ConflictError
		So(errors.As(err, &conflict), ShouldBeTrue)
		So(conflict.Current, ShouldResemble, []store.Row{{Key: "k/1", Value: []byte{0, 255}, Version: 1}})

		So(c.Objects().Put(ctx, "digest", []byte("body")), ShouldBeNil)
		body, err := c.Objects().Get(ctx, "digest")
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "body")
		_, err = c.Objects().Get(ctx, "other")
		var missing *store.NotFoundError
		So(errors.As(err, &missing), ShouldBeTrue)

		p.PutVM(store.VM{ID: "r1", Address: "127.0.0.1:1", FailureDomain: "a", State: store.VMLive})
		list, err := c.List(ctx)
		So(err, ShouldBeNil)
		So(list.VMs, ShouldHaveLength, 1)
		p.SetFaults(storetest.Faults{VMLag: time.Hour})
		list, err = c.List(ctx)
		So(err, ShouldBeNil)
		So(list.VMs, ShouldBeEmpty)
	})
}
