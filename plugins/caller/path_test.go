package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/fx/fxtest"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/standin/engine"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/plugins/dispatch"
	"github.com/auburnlead/auburnlead/plugins/upstream"
)

// fakeSlots is a core.SlotClient that grants every request its first choice. held
// counts acquisitions minus releases for each attempt.
type fakeSlots struct {
	mu         sync.Mutex
	held       map[string]int
	unreleased sync.WaitGroup // the slot of a cancelled attempt is released after its request has ended
}

func (s *fakeSlots) Acquire(_ context.Context, r core.SlotRequest) (core.Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[r.Attempt]++
	s.unreleased.Add(1)
	now := time.Now()
	return core.Slot{Attempt: r.Attempt, Upstream: r.Upstream, Worker: r.Workers[0], UseBy: now.Add(time.Minute), ExpiresAt: now.Add(time.Hour)}, nil
}

func (s *fakeSlots) Release(slot core.Slot, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[slot.Attempt]--
	s.unreleased.Done()
}

// newPathHarness returns a harness whose dispatcher sends requests through the
// plug-ins dispatch and upstream to a stand-in engine.
func newPathHarness(t testing.TB) (*harness, *engine.Engine, *fakeSlots) {
	e := engine.New(engine.Settings{ID: "e1", Models: []string{"m"}})
	engineServer := httptest.NewServer(e.Handler())
	h := newHarness(t)
	set := testSet()
	set.Ranks["normal"].MaxDuration = time.Minute
	set.Upstreams["pool"] = &objects.Upstream{Name: "pool", Kind: objects.UpstreamEngine, Models: []string{"m"}, Workers: []objects.Worker{{ID: "e1", FailureDomain: "a", URL: engineServer.URL}}}
	config, logger := staticConfig{&core.ConfigRevision{Set: set}}, log.New(io.Discard)
	lc := fxtest.NewLifecycle(t)
	client := upstream.New(defaults(&upstream.Settings{}, "upstream"), config, logger)
	slots := &fakeSlots{held: map[string]int{}}
	h.Server.dispatcher = dispatch.New(dispatch.Params{
		Settings: defaults(&dispatch.Settings{}, "dispatch"), Identity: core.Identity{Router: "r1", FailureDomain: "a"}, Config: config,
		Attempts: dispatch.NewAttemptRegistry("r1", 1), Slots: slots, Engines: client, Services: client, Background: core.NewBackgroundPool(lc), Logger: logger,
	})
	h.settings.BodyBytes = 1 << 20
	lc.RequireStart()
	t.Cleanup(func() {
		lc.RequireStop()
		engineServer.Close()
		e.Close()
	})
	return h, e, slots
}

const completionBody = `{"stream":false,"model":"m","messages":[{"role":"user","content":"whose turn is it?"}],"max_tokens":5}`

var expectedText = engine.ExpectedAnswer([]engine.Message{{Role: "user", Content: "whose turn is it?"}}, 5)

// streamContent returns the text of a stream and whether it ends with [DONE].
func streamContent(stream string) (text string, done bool) {
	for line := range strings.SplitSeq(stream, "\n") {
		data, isData := strings.CutPrefix(line, "data: ")
		var c engine.Chunk
		if isData && json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
		done = isData && data == "[DONE]" || done && line == ""
	}
	return text, done
}

// Guards against responses with missing or duplicate chunks or with chunks of other
// attempts, and against slots that are not released, on the path between a caller
// and an engine.
func TestRequestPath(t *testing.T) {
	const path = "/v1/chat/completions"
	stream := strings.Replace(completionBody, "false", "true", 1)
	Convey("With a router between a caller and a stand-in engine", t, func() {
		h, e, slots := newPathHarness(t)
		Convey("a buffered response contains all chunks of the engine", func() {
			status, _, body := h.send("POST", path, completionBody)
			So(status, ShouldEqual, 200)
			So(body, ShouldContainSubstring, `"object":"chat.completion"`)
			So(body, ShouldContainSubstring, expectedText)
			So(body, ShouldContainSubstring, `"completion_tokens":5`)
		})
		for desc, behavior := range map[string]engine.Behavior{
			"without faults":                  {},
			"after a truncation":              {Streams: 2, CutAfter: 2},
			"with a frame of another attempt": {ForeignAt: 2},
			"with a duplicate frame":          {DoubleAt: 3},
			"with frames reordered":           {Streams: 1, ReorderAt: 2},
			"truncated before any content":    {Streams: 1, CutAfter: 1},
		} {
			Convey("a streamed response is complete "+desc, func() {
				e.SetBehavior(behavior)
				status, header, body := h.send("POST", path, stream)
				So(status, ShouldEqual, 200)
				So(header.Get("Content-Type"), ShouldEqual, "text/event-stream")
				text, done := streamContent(body)
				So(text, ShouldEqual, expectedText)
				So(done, ShouldBeTrue)
			})
		}
		Convey("a response that cannot be resumed ends with an error event and no [DONE]", func() {
			e.SetBehavior(engine.Behavior{CutAfter: 1})
			status, _, body := h.send("POST", path, strings.Replace(stream, `:5`, `:50`, 1))
			So(status, ShouldEqual, 200)
			So(body, ShouldContainSubstring, "event: error\ndata: {\"type\":\"urn:auburnlead:problem:answer_incomplete\"")
			So(body, ShouldNotContainSubstring, "[DONE]")
		})
		Convey("a refusal by the engine has the outcome not_run", func() {
			e.SetBehavior(engine.Behavior{Refuse: true})
			status, header, body := h.send("POST", path, stream)
			So(status, ShouldEqual, 503)
			So(header.Get("Content-Type"), ShouldEqual, "application/problem+json")
			So(body, ShouldContainSubstring, `"outcome":"not_run"`)
		})
		Reset(func() {
			slots.unreleased.Wait()
			for _, n := range slots.held {
				So(n, ShouldEqual, 0)
			}
		})
	})
}

// timeToFirstToken sends a request and returns the time until the first chunk.
func timeToFirstToken(b *testing.B, url, body string) time.Duration {
	r := newRequest("POST", "/v1/chat/completions", body)
	r.URL.Host = strings.TrimPrefix(url, "http://")
	startedAt := time.Now()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	for line := ""; !strings.HasPrefix(line, "data:"); {
		if line, err = lines.ReadString('\n'); err != nil {
			b.Fatal(err)
		}
	}
	elapsed := time.Since(startedAt)
	_, _ = io.Copy(io.Discard, lines)
	return elapsed
}

// BenchmarkFirstToken measures how much a router adds to the time until the first
// chunk, compared with the engine alone. The targets for the difference are 300 µs
// (p50) and 1000 µs (p99).
func BenchmarkFirstToken(b *testing.B) {
	h, e, _ := newPathHarness(b)
	routed, alone := httptest.NewServer(h.http.Handler), httptest.NewServer(e.Handler())
	defer routed.Close()
	defer alone.Close()
	through, direct := hdrhistogram.New(1, 1e10, 3), hdrhistogram.New(1, 1e10, 3)
	body := strings.Replace(strings.Replace(completionBody, "false", "true", 1), "whose turn is it?", strings.Repeat("whose turn is it? ", 100), 1)
	for b.Loop() {
		_ = direct.RecordValue(int64(timeToFirstToken(b, alone.URL, body)))
		_ = through.RecordValue(int64(timeToFirstToken(b, routed.URL, body)))
	}
	added := func(q float64) float64 {
		return float64(through.ValueAtQuantile(q)-direct.ValueAtQuantile(q)) / 1000
	}
	b.ReportMetric(added(50), "p50-added-µs")
	b.ReportMetric(added(99), "p99-added-µs")
}
