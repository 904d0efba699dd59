package caller_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/fx/fxtest"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/internal/standin/engine"
	"github.com/auburnlead/auburnlead/internal/standin/service"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/plugins/caller"
	"github.com/auburnlead/auburnlead/plugins/dispatch"
	"github.com/auburnlead/auburnlead/plugins/upstream"
	"github.com/auburnlead/auburnlead/settings"
)

// staticConfig is a configuration that does not change.
type staticConfig struct{ p *core.Published }

func (c staticConfig) Current() *core.Published           { return c.p }
func (c staticConfig) Subscribe(fn func(*core.Published)) { fn(c.p) }

// openSlots grants every request its first choice and checks that each slot
// is released once.
type openSlots struct {
	mu       sync.Mutex
	acquired map[string]int
	released map[string]int
}

func (s *openSlots) Acquire(_ context.Context, r core.SlotRequest) (core.Slot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acquired[r.Attempt]++
	now := time.Now()
	return core.Slot{Attempt: r.Attempt, Upstream: r.Upstream, Worker: r.Workers[0], UseBy: now.Add(time.Minute), Until: now.Add(time.Hour)}, nil
}

func (s *openSlots) Release(slot core.Slot, _ int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.released[slot.Attempt]++
}

// balanced reports whether every slot has been released exactly once.
func (s *openSlots) balanced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.acquired {
		if n != 1 || s.released[id] != 1 {
			return false
		}
	}
	return len(s.acquired) == len(s.released)
}

func defaults[T any](into T, section string) T {
	src, err := settings.Open("", nil)
	if err == nil {
		err = src.Bind(map[string]any{section: into})
	}
	if err != nil {
		panic(err)
	}
	return into
}

// router is a request path with stand-in upstreams.
type router struct {
	url    string
	engine *engine.Engine
	slots  *openSlots
}

func newRouter(t testing.TB) *router {
	e := engine.New(engine.Settings{ID: "e1"})
	engineServer := httptest.NewServer(e.Handler())
	serviceServer := httptest.NewServer(service.New(service.Settings{ID: "s1"}).Handler())
	key := sha256.Sum256([]byte("secret"))
	set := &objects.Set{
		Ranks:  map[string]*objects.Rank{"normal": {Name: "normal", MaxDuration: time.Minute}},
		Models: map[string]*objects.Model{"rota-8b-v3": {Name: "rota-8b-v3"}, "other": {Name: "other"}},
		Callers: map[string]*objects.Caller{"clerks": {
			Name: "clerks", KeySHA256: hex.EncodeToString(key[:]), Ranks: []string{"normal"}, DefaultRank: "normal",
			Models: []string{"rota-8b-v3"}, Services: []string{"rota-desk"}, Weight: 1, Diagnostics: true,
		}},
		Upstreams: map[string]*objects.Upstream{
			"pool":      {Name: "pool", Kind: objects.UpstreamEngine, Models: []string{"rota-8b-v3"}, Workers: []objects.Worker{{ID: "e1", FailureDomain: "a", URL: engineServer.URL}}},
			"rota-desk": {Name: "rota-desk", Kind: objects.UpstreamService, OnceMethods: []string{"POST"}, Workers: []objects.Worker{{ID: "s1", FailureDomain: "a", URL: serviceServer.URL}}},
		},
	}
	config := staticConfig{&core.Published{Revision: 1, Set: set}}
	logger := log.New(io.Discard)
	id := core.Identity{Router: "r1", FailureDomain: "a", Incarnation: 1}
	lc := fxtest.NewLifecycle(t)
	client := upstream.New(defaults(&upstream.Settings{}, "upstream"), config, logger)
	slots := &openSlots{acquired: map[string]int{}, released: map[string]int{}}
	d := dispatch.New(dispatch.Params{
		Settings: defaults(&dispatch.Settings{}, "dispatch"), Identity: id, Config: config, Attempts: dispatch.NewAttempts(id.Router, id.Incarnation),
		Slots: slots, Engines: client, Services: client, Background: core.NewBackground(lc), Logger: logger, Lifecycle: lc,
	})
	addresses := core.NewAddresses()
	s := defaults(&caller.Settings{}, "caller")
	s.Listen, s.DrainDelay = "127.0.0.1:0", 0
	server := caller.New(caller.Params{Settings: s, Config: config, Dispatcher: d, Readiness: core.NewReadiness(), Addresses: addresses, Logger: logger})
	lc.RequireStart()
	if err := server.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = server.Stop(context.Background())
		lc.RequireStop()
		engineServer.Close()
		serviceServer.Close()
		e.Close()
	})
	return &router{url: "http://" + addresses.Get("caller"), engine: e, slots: slots}
}

// do sends a request and returns status, header and body.
func (r *router) do(method, path, body string, header ...string) (int, http.Header, string) {
	request, err := http.NewRequest(method, r.url+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	request.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	So(err, ShouldBeNil)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	So(err, ShouldBeNil)
	return response.StatusCode, response.Header, string(text)
}

const question = `{"model":"rota-8b-v3","messages":[{"role":"user","content":"whose turn is it?"}],"max_tokens":5}`

var expected = engine.Answer([]engine.Message{{Role: "user", Content: "whose turn is it?"}}, 5)

// content joins the text of a stream and reports whether [DONE] came last.
func content(stream string) (text string, done bool) {
	for line := range strings.SplitSeq(stream, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if done = data == "[DONE]"; done {
			continue
		}
		var c engine.Chunk
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text += c.Choices[0].Delta.Content
		}
	}
	return text, done
}

// Guards against answers that lose, repeat or mix up chunks on the way from an
// engine to a caller, and against slots that are not released.
func TestRequestPath(t *testing.T) {
	Convey("With a router between a caller and stand-in upstreams", t, func() {
		r := newRouter(t)
		stream := strings.Replace(question, "{", `{"stream":true,`, 1)
		Convey("a whole answer has the chunks of the engine", func() {
			status, header, body := r.do("POST", "/v1/chat/completions", question)
			So(status, ShouldEqual, 200)
			So(header.Get("X-Worker"), ShouldEqual, "e1")
			So(body, ShouldContainSubstring, `"object":"chat.completion"`)
			So(body, ShouldContainSubstring, expected)
			So(body, ShouldContainSubstring, `"completion_tokens":5`)
		})
		for desc, behavior := range map[string]engine.Behavior{
			"without faults":         {},
			"after a cut":            {Streams: 2, CutAfter: 2},
			"with a foreign frame":   {ForeignAt: 2},
			"with a doubled frame":   {DoubleAt: 3},
			"with frames reordered":  {Streams: 1, ReorderAt: 2},
			"cut before any content": {Streams: 1, CutAfter: 1},
		} {
			Convey("a streamed answer is whole "+desc, func() {
				r.engine.SetBehavior(behavior)
				status, header, body := r.do("POST", "/v1/chat/completions", stream)
				So(status, ShouldEqual, 200)
				So(header.Get("Content-Type"), ShouldEqual, "text/event-stream")
				text, done := content(body)
				So(text, ShouldEqual, expected)
				So(done, ShouldBeTrue)
			})
		}
		Convey("an answer that cannot be resumed ends with an error event and no [DONE]", func() {
			r.engine.SetBehavior(engine.Behavior{CutAfter: 1})
			status, _, body := r.do("POST", "/v1/chat/completions", strings.Replace(stream, `:5`, `:50`, 1))
			So(status, ShouldEqual, 200)
			So(body, ShouldContainSubstring, "event: error\ndata: {\"type\":\"urn:auburnlead:problem:answer_incomplete\"")
			So(body, ShouldNotContainSubstring, "[DONE]")
		})
		Convey("a refusal by the engine is not_run", func() {
			r.engine.SetBehavior(engine.Behavior{Refuse: true})
			status, header, body := r.do("POST", "/v1/chat/completions", stream)
			So(status, ShouldEqual, 503)
			So(header.Get("Content-Type"), ShouldEqual, "application/problem+json")
			So(body, ShouldContainSubstring, `"outcome":"not_run"`)
		})
		Convey("a service call is passed through", func() {
			status, header, body := r.do("GET", "/v1/services/rota-desk/turns?well=3", "")
			So(status, ShouldEqual, 404)
			So(header.Get("X-Worker"), ShouldEqual, "s1")
			So(body, ShouldNotBeEmpty)
		})
		Reset(func() { So(r.slots.balanced(), ShouldBeTrue) })
	})
}
