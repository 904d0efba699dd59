package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"

	"github.com/auburnlead/auburnlead/gossip"
	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/explainapi"
	"github.com/auburnlead/auburnlead/routing"
)

// ParsePrompt reads IDs of prompt parts, each of 100 tokens.
func (testCodec) ParsePrompt(text string) ([]routing.PromptPart, error) {
	var prompt []routing.PromptPart
	for part := range strings.FieldsSeq(text) {
		id, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			return prompt, err
		}
		prompt = append(prompt, routing.PromptPart{ID: id, Tokens: 100})
	}
	return prompt, nil
}

// askExplain returns the explanation of a request of the caller clerks. pairs are further
// parameters.
func (h *harness) askExplain(path string, pairs ...string) (int, explainapi.Response, string) {
	query := url.Values{"host": {"desk.example"}, "path": {path}, "caller": {"clerks"}}
	for i := 0; i+1 < len(pairs); i += 2 {
		if query.Set(pairs[i], pairs[i+1]); pairs[i+1] == "" {
			query.Del(pairs[i])
		}
	}
	w := httptest.NewRecorder()
	h.server.newMetricsServer().Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, explainapi.Path+"?"+query.Encode(), nil))
	var res explainapi.Response
	text := w.Body.String()
	So(json.Unmarshal([]byte(text), &res), ShouldBeNil)
	return w.Code, res, text
}

// Guards against an explanation that differs from what the next request meets, and
// against one that counts something.
func TestExplainAgreesWithRequests(t *testing.T) {
	const promptParts = "1 2 3"
	for _, s := range []struct {
		name, path string
		workers    []routing.WorkerInfo
		prepare    func(h *harness)
	}{
		{"a prompt that a worker has cached", "/chat/x", engines(5), func(h *harness) {
			h.setHandlers(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testSeal, "s")
				events(w, 1, 2)
			})
			h.call("POST", "/chat/x", testPrompt, promptParts)
			first := h.lastSince(nil).Header.Get(testWorker)
			h.fleet.RecordLoad(h.fleet.Worker(first), 60, 100, time.Now())
		}},
		{"no worker", "/chat/x", nil, func(*harness) {}},
		{"unreachable workers", "/chat/x", engines(2), func(h *harness) {
			for id := range h.workers {
				h.fleet.SetUnreachable(h.fleet.Worker(id), true)
			}
		}},
		{"evacuated workers", "/chat/x", engines(3), func(h *harness) { h.applyEvacuations([]string{"a"}) }},
		{"paused workers", "/chat/x", engines(2), func(h *harness) {
			for id := range h.workers {
				h.fleet.RecordPause(h.fleet.Worker(id), 3*time.Second, time.Now())
			}
		}},
		{"cold workers", "/chat/x", engines(2), func(h *harness) {
			h.fleet.ConfigureUpstreams(map[string]routing.UpstreamConfig{testEngine: {ColdStart: time.Minute, ColdRate: 0.1}})
			for id := range h.workers {
				h.fleet.RecordCold(h.fleet.Worker(id), time.Minute, time.Now())
			}
			h.callUntilRefused("/chat/x", func() {})
		}},
		{"workers at their limits", "/chat/x", engines(1), func(h *harness) {
			h.setHandlers(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(testLimit, "0.1")
				serveSuccess(w, r)
			})
			h.fleet.RecordFleetSize(50, routing.FleetSize{}, time.Now())
			h.fleet.RecordRateLimit(h.fleet.Worker("engine-0"), 0.1, time.Now())
			h.callUntilRefused("/chat/x", func() {})
		}},
		{"a full upstream", "/read/x", desks(3), func(h *harness) {
			h.setHandlers(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testNotRun, "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			h.callUntilRefused("/read/x", func() {
				h.room.gate.RecordSent(time.Now(), gossip.WorkerHash(testDesk)) // a request that runs
			})
		}},
		{"a quarantined prompt", "/chat/x", engines(5), func(h *harness) {
			for worker := range uint32(4) {
				h.crashes.tracker.RecordCrash(time.Now(), worker, []uint64{2})
				sleep(time.Second)
			}
		}},
		{"a router that stops", "/chat/x", engines(2), func(h *harness) {
			now := time.Now()
			h.server.window.Store(&stopWindow{drained: now, ends: now.Add(time.Second)})
		}},
		{"no route", "/none/x", engines(2), func(*harness) {}},
	} {
		inBubble(t, s.name, s.workers, func(h *harness) {
			s.prepare(h)
			before := h.scope.(tally.TestScope).Snapshot().Counters()
			code, res, _ := h.askExplain(s.path, "prompt", promptParts)
			So(code, ShouldEqual, http.StatusOK)
			So(h.scope.(tally.TestScope).Snapshot().Counters(), ShouldResemble, before)
			sent := h.requestCounts()
			resp, _ := h.call("POST", s.path, testPrompt, promptParts)
			answer := res.Answer
			if answer == nil {
				So(len(res.Upstreams), ShouldEqual, 1)
				answer = res.Upstreams[0].Answer
			}
			if s.workers != nil && strings.HasPrefix(s.name, "a prompt") {
				So(answer, ShouldBeNil)
				got := h.lastSince(sent).Header
				So(res.Upstreams[0].Choice.Worker, ShouldEqual, got.Get(testWorker))
				So(got.Get(testFetchFrom), ShouldNotBeEmpty)
				So(res.Upstreams[0].Choice.FetchFrom, ShouldEqual, got.Get(testFetchFrom))
				So(res.Rank, ShouldEqual, 1)
				So(res.RankOf, ShouldEqual, explainapi.RankOfCaller)
				return
			}
			So(answer, ShouldNotBeNil)
			So(h.requestCounts(), ShouldResemble, sent)
			So(resp.Code, ShouldEqual, answer.Status)
			var problem core.ProblemJSON
			So(json.Unmarshal(resp.Body.Bytes(), &problem), ShouldBeNil)
			So(problem.Detail, ShouldEqual, answer.Reason)
			if v := resp.Header().Get("Retry-After"); v != "" {
				seconds, err := strconv.ParseFloat(v, 64)
				So(err, ShouldBeNil)
				So(seconds*1000, ShouldBeBetweenOrEqual, answer.RetryAfterMs, answer.RetryAfterMaxMs+1)
			}
		})
	}
}

// callUntilRefused sends requests until the next one is refused by its explanation. The
// first permits and shares of a router are at random times.
func (h *harness) callUntilRefused(path string, before func()) {
	for range 200 {
		if _, res, _ := h.askExplain(path); res.Upstreams[0].Answer != nil && !res.Upstreams[0].ByChance {
			return
		}
		before()
		h.call("POST", path)
		sleep(5 * time.Millisecond)
	}
}

// requestCounts returns the number of requests that each worker received.
func (h *harness) requestCounts() map[string]int {
	counts := map[string]int{}
	for id, w := range h.workers {
		counts[id] = len(w.received())
	}
	return counts
}

// lastSince returns the last request of the worker that has received more than before.
func (h *harness) lastSince(before map[string]int) *http.Request {
	for id, w := range h.workers {
		if list := w.received(); len(list) > before[id] {
			return list[len(list)-1]
		}
	}
	return nil
}

// Guards against a key that comes back in a response or a log line because an operator
// gave it in the place of a name, and against input without bounds.
func TestExplainInput(t *testing.T) {
	inBubble(t, "Parameters that are wrong are refused without their value", engines(2), func(h *harness) {
		for _, wrong := range [][]string{
			{"caller", "top-secret"}, {"key", "top-secret"}, {"top-secret", "x"}, {"timeout_ms", "top-secret"}, {"timeout_ms", "-1"}, {"prompt_tokens", "top-secret"}, {"max_output_tokens", "-1"}, {"prompt", "top-secret"},
			{"candidates", "top-secret"}, {"candidates", "9999999"}, {"path", "top-secret"}, {"host", ""}, {"prompt", strings.Repeat("1 ", 10000)},
		} {
			code, _, text := h.askExplain("/chat/x", wrong...)
			So(code, ShouldBeBetween, 399, 500)
			So(text, ShouldContainSubstring, "remedy")
			So(text, ShouldNotContainSubstring, "top-secret")
		}
		code, res, _ := h.askExplain("/chat/x", "caller", "", "timeout_ms", "500", "candidates", "1")
		So(code, ShouldEqual, http.StatusOK)
		So(res.Answer.Status, ShouldEqual, http.StatusUnauthorized)
		So(res.Route.TimeoutMs, ShouldEqual, 500)
		So(res.Rank, ShouldEqual, 5)
		So(len(res.Upstreams[0].Candidates), ShouldEqual, 1)
		So(res.Upstreams[0].Workers, ShouldEqual, 2)
	})
}

// Guards against an expected wait of a request of another size or kind than that asked for.
func TestExplainExpectedWait(t *testing.T) {
	inBubble(t, "The expected wait is that of requests with as many tokens", engines(2), func(h *harness) {
		h.fleet.Configure(routing.Config{LoadBound: 2, LearnSpeed: true})
		for range 40 {
			c, ok := h.fleet.Choose(routing.Request{Upstream: engines(2)[0].Upstream, PromptTokens: 950}, time.Now())
			So(ok, ShouldBeTrue)
			sleep(200 * time.Millisecond)
			h.fleet.RecordFirstByte(c, 200*time.Millisecond)
			h.fleet.RecordEnd(c, true, time.Now())
		}
		_, res, _ := h.askExplain("/chat/x", "prompt_tokens", "950")
		u := res.Upstreams[0]
		So(u.Choice.ExpectedWaitMs, ShouldBeBetween, 150, 250)
		So(u.Choice.Slowness, ShouldEqual, 1)
		So(u.Candidates[1].ExpectedWaitMs, ShouldBeBetween, 150, 250)
		_, res, _ = h.askExplain("/chat/x", "prompt_tokens", "9500")
		So(res.Upstreams[0].Choice.ExpectedWaitMs, ShouldEqual, 0)
	})
}
