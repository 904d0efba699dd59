package admin

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx/fxtest"
	"google.golang.org/grpc/test/bufconn"

	"github.com/auburnlead/auburnlead/internal/connlimit"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/framing"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/store/storetest"
)

// noConfig is a core.Config and core.ObjectSource of a router without an active
// revision.
type noConfig struct{}

func (noConfig) Current() *core.ConfigRevision        { return nil }
func (noConfig) Subscribe(func(*core.ConfigRevision)) {}
func (noConfig) Object(string) ([]byte, bool)         { return nil, false }

func newTestAPI() (*API, http.Handler) {
	api := NewAPI(Params{
		Settings: &Settings{RequestTimeout: time.Minute, Key: "operators"}, Log: log.New(io.Discard), Config: noConfig{}, Objects: noConfig{}, Scope: NewScope(),
		Client:    storetest.New(storetest.Options{Now: time.Now}),
		Readiness: core.NewReadiness(), Addresses: core.NewAddresses(),
	})
	return api, api.routes("operators")
}

func request(h http.Handler, method, path, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", key)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a request that is hidden in the body of another one, whose fields
// name two ends of the body: the hidden request was served.
func TestRequestInsideRequest(t *testing.T) {
	Convey("A request with a length and in chunks is refused and its connection closed", t, func() {
		l := bufconn.Listen(4096)
		api, _ := newTestAPI()
		server := NewServer(api.params.Settings, core.NewAddresses(), log.New(io.Discard), api, connlimit.Resources{}, fxtest.NewLifecycle(t))
		defer server.http.Close()
		go func() { _ = framing.Serve(server.http, l) }() // ends with Close
		conn, err := l.Dial()
		So(err, ShouldBeNil)
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: a\r\nContent-Length: 45\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /admin/v1/status HTTP/1.1\r\nHost: a\r\n\r\n")
		So(err, ShouldBeNil)
		So(conn.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
		text, err := io.ReadAll(conn)
		So(err, ShouldBeNil)
		So(string(text), ShouldStartWith, "HTTP/1.1 400 ")
		So(strings.Count(string(text), "HTTP/1.1 "), ShouldEqual, 1)
	})
}

// Guards against admin paths that can be used without the operators' key, and
// against bodies of unlimited size.
func TestRequests(t *testing.T) {
	Convey("Only health, readiness and metrics can be used without the key", t, func() {
		api, h := newTestAPI()
		for _, path := range []string{"POST /admin/v1/sets", "POST /admin/v1/sets:check", "POST /admin/v1/sets:diff", "GET /admin/v1/sets/current", "GET /admin/v1/status", "GET /admin/v1/audit", "POST /admin/v1/drain"} {
			method, path, _ := strings.Cut(path, " ")
			for _, key := range []string{"", "Bearer wrong", "Bearer ", "operators"} {
				So(request(h, method, path, key, "{}").Code, ShouldEqual, http.StatusUnauthorized)
			}
			So(request(h, method, path, "Bearer operators", "{").Code, ShouldNotEqual, http.StatusUnauthorized)
		}
		So(request(h, "GET", "/healthz", "", "").Code, ShouldEqual, http.StatusOK)
		So(request(h, "GET", "/readyz", "", "").Code, ShouldEqual, http.StatusOK)
		api.params.Readiness.Require("config")
		w := request(h, "GET", "/readyz", "", "")
		So(w.Code, ShouldEqual, http.StatusServiceUnavailable)
		So(w.Body.String(), ShouldEqual, "config: starting\n")
	})
	Convey("Malformed requests are rejected with a problem that states the reason", t, func() {
		_, h := newTestAPI()
		tests := []struct {
			desc, path, body string
			status           int
			expected         string
		}{
			{"body above the limit", "sets:check", `{"set":"` + strings.Repeat("x", maxBodyBytes) + `"}`, http.StatusRequestEntityTooLarge, "body_too_large"},
			{"set above the limit", "sets:check", `{"set":"` + strings.Repeat("x", objects.MaxBytes+1) + `"}`, http.StatusBadRequest, "at most 4194304 bytes"},
			{"unknown field", "sets:check", `{"sett":""}`, http.StatusBadRequest, "sett"},
			{"no author", "sets", `{"set":"","token":"t"}`, http.StatusBadRequest, "token and author"},
			{"empty set", "sets", `{"set":"","token":"t","author":"a"}`, http.StatusBadRequest, "the set has no rank"},
			{"empty drain", "drain", `{"token":"t","author":"a"}`, http.StatusBadRequest, "no worker"},
		}
		for _, test := range tests {
			Convey(test.desc, func() {
				w := request(h, "POST", "/admin/v1/"+test.path, "Bearer operators", test.body)
				So(w.Code, ShouldEqual, test.status)
				So(w.Header().Get("Content-Type"), ShouldEqual, "application/problem+json")
				So(w.Body.String(), ShouldContainSubstring, test.expected)
			})
		}
	})
}

// Guards against metrics that a scraper cannot parse.
func TestMetrics(t *testing.T) {
	Convey("Counters, gauges and histograms are written as totals in the Prometheus text format", t, func() {
		api, h := newTestAPI()
		scope := api.params.Scope.SubScope("caller").Tagged(map[string]string{"rank": "urgent"})
		scope.Counter("requests").Inc(2)
		scope.Gauge("in-flight").Update(1.5)
		wait := scope.Histogram("wait", tally.DurationBuckets{time.Millisecond, time.Second})
		wait.RecordDuration(time.Microsecond)
		wait.RecordDuration(500 * time.Millisecond)
		wait.RecordDuration(time.Hour)
		request(h, "GET", "/metrics", "", "") // a scrape must not reset anything
		So(request(h, "GET", "/metrics", "", "").Body.String(), ShouldEqual, strings.Join([]string{
			`auburnlead_caller_in_flight{rank="urgent"} 1.5`,
			`auburnlead_caller_requests{rank="urgent"} 2`,
			`auburnlead_caller_wait_bucket{rank="urgent",le="+Inf"} 3`,
			`auburnlead_caller_wait_bucket{rank="urgent",le="0.001"} 1`,
			`auburnlead_caller_wait_bucket{rank="urgent",le="1"} 2`,
			`auburnlead_caller_wait_count{rank="urgent"} 3`, ""}, "\n"))
	})
}

// Guards against an unlimited number of connections, and against connections without a
// request that keep operators out.
func TestConnectionLimit(t *testing.T) {
	Convey("An operator is served while other connections hold all places", t, func() {
		api, _ := newTestAPI()
		api.params.Settings.MaxConnections = 1
		api.params.Settings.Listen = "127.0.0.1:0"
		addresses := core.NewAddresses()
		server := NewServer(api.params.Settings, addresses, log.New(io.Discard), api, connlimit.Resources{}, fxtest.NewLifecycle(t))
		So(server.start(context.Background()), ShouldBeNil)
		defer server.http.Close()
		address := addresses.All()[componentName]
		var idle []net.Conn
		for range 3 {
			c, err := net.Dial("tcp", address)
			So(err, ShouldBeNil)
			defer c.Close()
			idle = append(idle, c)
		}
		resp, err := http.Get("http://" + address + "/healthz")
		So(err, ShouldBeNil)
		So(resp.Body.Close(), ShouldBeNil)
		So(resp.StatusCode, ShouldEqual, http.StatusOK)
		for _, c := range idle {
			So(c.SetReadDeadline(time.Now().Add(10*time.Second)), ShouldBeNil)
			_, err := c.Read(make([]byte, 1))
			So(err, ShouldEqual, io.EOF) // closed to make room
		}
	})
}
