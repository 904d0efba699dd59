package service

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a journal that misses a second run or counts a call that took no
// effect.
func TestJournal(t *testing.T) {
	Convey("The journal counts effects by key and body, even if the response is lost", t, func() {
		s := New(Settings{ID: "s1"})
		srv := httptest.NewServer(s.Handler())
		defer srv.Close()
		post := func(f Faults, key, body string) int {
			s.mu.Lock()
			s.faults = f
			s.mu.Unlock()
			req, err := http.NewRequest(http.MethodPost, srv.URL+"/bookings", strings.NewReader(body))
			So(err, ShouldBeNil)
			req.Header.Set("X-Attempt-Id", "attempt-"+key)
			// net/http retries a request that has an Idempotency-Key and GetBody
			// if a reused connection fails.
			req.GetBody = nil
			req.Header.Set("Idempotency-Key", key)
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				return 0
			}
			defer res.Body.Close()
			So(res.StatusCode != http.StatusCreated || res.Header.Get("X-Attempt-Id") == "attempt-"+key, ShouldBeTrue)
			return res.StatusCode
		}
		So(post(Faults{}, "k1", `{"well":1}`), ShouldEqual, http.StatusCreated)
		So(post(Faults{DieAfter: 1}, "k1", `{"well":1}`), ShouldEqual, 0)
		So(post(Faults{DieBefore: 1}, "k2", `{"well":2}`), ShouldEqual, 0)
		So(post(Faults{Refuse: 1}, "k3", `{"well":3}`), ShouldEqual, http.StatusServiceUnavailable)
		So(post(Faults{}, "k1", `{"well":9}`), ShouldEqual, http.StatusCreated)
		j := s.Journal()
		So(j.Total, ShouldEqual, 3)
		So(j.Effects, ShouldHaveLength, 2)
		So(j.Effects[0].Runs, ShouldEqual, 2)
		So(j.Effects[0].Attempts, ShouldResemble, []string{"attempt-k1", "attempt-k1"})

		res, err := http.Get(srv.URL + "/bookings/1")
		So(err, ShouldBeNil)
		So(res.Body.Close(), ShouldBeNil)
		So(res.StatusCode, ShouldEqual, http.StatusOK)
		So(s.Journal().Lookups, ShouldEqual, 1)
	})
}
