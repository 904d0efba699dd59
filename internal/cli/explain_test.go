package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/explainapi"
)

// Guards against a command that leaves out what kept a request from a worker, or that
// reports success where no gateway has answered.
func TestExplain(t *testing.T) {
	Convey("Explain asks a gateway and prints the decision as text or JSON", t, func() {
		next := int64(120)
		room := 31.5
		response := explainapi.Response{
			Router: "r1", FailureDomain: "a", Revision: 7, RevisionAgeMs: 90_000, Caller: "clerks", Rank: 1, RankOf: explainapi.RankOfCaller,
			Route: &explainapi.Route{Name: "chat", Host: "desk.example", Prefix: "/chat/", Kind: "stream", TimeoutMs: 10_000, TargetMs: 500},
			Upstreams: []explainapi.Upstream{{
				Name: "engine", Weight: 3, Share: 0.75, Workers: 12,
				Admission: explainapi.Admission{Enabled: true, On: true, Room: &room, Fraction: 0.4, Heard: 5, Routers: 9},
				Answer:    &explainapi.Answer{Status: 503, Reason: "no room", RetryAfterMs: 300, RetryAfterMaxMs: 500},
				Choice:    &explainapi.Choice{Worker: "e2", Reason: "next", SharedTokens: 900, Preference: 1, Limit: 14, FetchFrom: "10.0.0.1:1", FetchWorker: "e1", ExpectedWaitMs: 150, Slowness: 2.4},
				Candidates: []explainapi.Candidate{
					{Worker: "e1", FailureDomain: "b", Cold: true, ColdLeftMs: 1500, RateLimit: -1, NextPermitMs: &next, LoadAgeMs: -1},
					{Worker: "e3", Cold: true, Rising: true, RisenPart: 0.25, Slowness: 2.4, ExpectedWaitMs: 1200, RateLimit: -1},
					{Worker: "e2", FailureDomain: "a", Chosen: true, Busy: 3, RateLimit: 4, LoadAgeMs: 80},
				},
			}},
		}
		var query map[string][]string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			query = r.URL.Query()
			if r.URL.Path != explainapi.Path {
				http.NotFound(w, r)
				return
			}
			if query[explainapi.ParamCaller] != nil && query[explainapi.ParamCaller][0] == "nobody" {
				core.WriteProblem(w, core.NewProblem(core.KindNotFound, "no caller of this name"), "")
				return
			}
			_ = json.NewEncoder(w).Encode(response) // the client may have closed the connection
		}))
		defer server.Close()
		arguments := []string{"explain", "--gateway", server.URL, "--host", "desk.example", "--path", "/chat/a b", "--prompt", "3fa1:800,77:1", "--timeout", "2s", "--prompt-tokens", "950"}
		code, out := runCommand(append(arguments, "--caller", "clerks")...)
		So(code, ShouldEqual, ExitDone)
		for _, part := range []string{
			"revision 7 in force for 1m30s", "route chat (stream): desk.example/chat/", "rank 1, of the caller; caller clerks", "upstream engine: weight 3 (75%), 12 workers",
			"on for 0s: room 31.5 requests/s, admitted 40% of this rank and caller", "5 of 9 routers heard", "answered 503: no room; not run, Retry-After 300ms to 500ms",
			`if it were not refused: worker e2, reason "next", 900 tokens shared`, "first byte expected in 150ms, slow, 2.4 times, parts from e1 10.0.0.1:1", "cold for 1.5s, next permit in 120ms", "limit 4 requests/s", "1.2s  gets 25% after its cold time, rising, slow, 2.4 times", "and 9 more",
		} {
			So(out, ShouldContainSubstring, part)
		}
		So(query, ShouldResemble, map[string][]string{"host": {"desk.example"}, "path": {"/chat/a b"}, "method": {"GET"}, "caller": {"clerks"}, "prompt": {"3fa1:800,77:1"}, "timeout_ms": {"2000"}, "prompt_tokens": {"950"}, "candidates": {"10"}})
		code, out = runCommand(append(arguments, "--output", "json")...)
		So(code, ShouldEqual, ExitDone)
		var decoded explainapi.Response
		So(json.Unmarshal([]byte(out), &decoded), ShouldBeNil)
		So(decoded, ShouldResemble, response)

		code, out = runCommand(append(arguments, "--caller", "nobody")...)
		So(code, ShouldEqual, ExitFailed)
		So(out, ShouldContainSubstring, "no caller of this name")
		arguments[2] = server.URL + "/elsewhere"
		code, out = runCommand(arguments...)
		So(code, ShouldEqual, ExitFailed)
		So(out, ShouldContainSubstring, "check that --gateway is the URL of a gateway's metrics listener")
		server.Close()
		code, _ = runCommand(arguments...)
		So(code, ShouldEqual, ExitUnreachable)
		arguments[2] = "10.0.0.1"
		code, _ = runCommand(arguments...)
		So(code, ShouldEqual, ExitUsage)
	})
}
