package caller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/grpc/test/bufconn"

	"github.com/auburnlead/auburnlead/internal/core"
	"github.com/auburnlead/auburnlead/objects"
	"github.com/auburnlead/auburnlead/settings"
)

type staticConfig struct{ revision *core.ConfigRevision }

func (c staticConfig) Current() *core.ConfigRevision { return c.revision }
func (c staticConfig) Subscribe(fn func(*core.ConfigRevision)) {
	if c.revision != nil {
		fn(c.revision)
	}
}

type fakeDispatcher struct {
	chat    func(ctx context.Context, r *core.ChatRequest, sink core.ChatSink) error
	service func(r *core.ServiceRequest) (*core.ServiceResponse, error)
}

func (d *fakeDispatcher) Chat(ctx context.Context, r *core.ChatRequest, sink core.ChatSink) error {
	return d.chat(ctx, r, sink)
}

func (d *fakeDispatcher) Service(_ context.Context, r *core.ServiceRequest) (*core.ServiceResponse, error) {
	return d.service(r)
}

func (d *fakeDispatcher) InFlight() int { return 0 }

// harness is a server with a fake dispatcher that is reached through in-memory
// connections.
type harness struct {
	*Server
	*bufconn.Listener // in-memory connections, whose deadlines use the fake clock
	dispatcher        *fakeDispatcher
	logged            *bytes.Buffer
}

func keySum(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testSet() *objects.Set {
	return &objects.Set{
		Ranks:  map[string]*objects.Rank{"urgent": {Name: "urgent"}, "normal": {Name: "normal"}, "board": {Name: "board"}},
		Models: map[string]*objects.Model{"m": {Name: "m", ContextTokens: 100}, "secret-model": {Name: "secret-model"}},
		Callers: map[string]*objects.Caller{
			"clerks": {Name: "clerks", KeySHA256: keySum("clerk-key"), Ranks: []string{"urgent", "normal"}, DefaultRank: "normal", Models: []string{"m", "gone"}, Services: []string{"desk", "m"}},
			"jurors": {Name: "jurors", KeySHA256: keySum("juror-key"), Ranks: []string{"board"}, DefaultRank: "board", Models: []string{"secret-model"}, Diagnostics: true},
			"broken": {Name: "broken", KeySHA256: "no digest"},
		},
		Upstreams: map[string]*objects.Upstream{
			"desk":   {Name: "desk", Kind: objects.UpstreamService},
			"hidden": {Name: "hidden", Kind: objects.UpstreamService},
		},
	}
}

// defaults fills a settings struct with the defaults of its section.
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

func newHarness(t testing.TB) *harness {
	s := defaults(&Settings{}, "caller")
	s.BodyBytes = 1024
	h := &harness{Listener: bufconn.Listen(1024), dispatcher: &fakeDispatcher{}, logged: &bytes.Buffer{}}
	h.dispatcher.chat = func(_ context.Context, _ *core.ChatRequest, sink core.ChatSink) error {
		_ = sink.Start("w1")
		return sink.Chunk([]byte(`{"id":"c1","choices":[{"index":0,"delta":{"content":"three"}}]}`))
	}
	h.Server = New(Params{
		Settings: s, Config: staticConfig{&core.ConfigRevision{Set: testSet()}}, Dispatcher: h.dispatcher,
		Readiness: core.NewReadiness(), Addresses: core.NewAddresses(), Logger: log.New(h.logged),
	})
	go h.serve(h.Listener)
	t.Cleanup(func() { _ = h.http.Close() })
	return h
}

func (h *harness) dial() net.Conn {
	conn, err := h.Dial()
	if err != nil {
		panic(err)
	}
	return conn
}

// send sends a request on a new connection and returns the response.
func (h *harness) send(method, path, body string, header ...string) (status int, responseHeader http.Header, text string) {
	conn := h.dial()
	defer conn.Close()
	return exchange(conn, requestText(method, path, body, header...))
}

func newRequest(method, path, body string, header ...string) *http.Request {
	r, err := http.NewRequest(method, "http://router"+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer clerk-key")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

func requestText(method, path, body string, header ...string) string {
	var b strings.Builder
	_ = newRequest(method, path, body, header...).Write(&b)
	return b.String()
}

func exchange(conn net.Conn, text string) (int, http.Header, string) {
	go func() { _, _ = io.WriteString(conn, text) }() // the server may respond before it has read everything
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, err.Error()
	}
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(body)
}

// inBubble runs a Convey suite with a harness in a synctest bubble, which has a
// fake clock.
func inBubble(t *testing.T, desc string, fn func(h *harness)) {
	synctest.Test(t, func(t *testing.T) { Convey(desc, t, func() { fn(newHarness(t)); synctest.Wait() }) })
}

const chatBody = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`

// Guards against a request that is hidden in the body of another one, whose fields
// name two ends of the body: the hidden request was served.
func TestRequestInsideRequest(t *testing.T) {
	inBubble(t, "A request with a length and in chunks is refused and its connection closed", func(h *harness) {
		hidden := "0\r\n\r\n" + requestText("GET", "/v1/models", "")
		outer := strings.Replace(requestText("POST", "/v1/chat/completions", hidden), "\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n", 1)
		conn := h.dial()
		defer conn.Close()
		status, _, text := exchange(conn, outer)
		So(status, ShouldEqual, http.StatusBadRequest)
		So(text, ShouldContainSubstring, "both a Content-Length and a Transfer-Encoding")
		So(conn.SetReadDeadline(time.Now().Add(time.Second)), ShouldBeNil)
		_, err := conn.Read(make([]byte, 1))
		So(err, ShouldEqual, io.EOF)
	})
}

// Guards against requests that reach an upstream without authorization or in a
// form that the engine reads differently from the router.
func TestRefusals(t *testing.T) {
	chat := "/v1/chat/completions"
	for _, c := range []struct {
		desc, method, path, body string
		header                   []string
		status                   int
		kind                     string
	}{
		{"no key", "POST", chat, chatBody, []string{"Authorization", ""}, 401, "unauthorized"},
		{"wrong key", "POST", chat, chatBody, []string{"Authorization", "Bearer other"}, 401, "unauthorized"},
		{"another scheme", "POST", chat, chatBody, []string{"Authorization", "Basic clerk-key"}, 401, "unauthorized"},
		{"a digest instead of the key", "POST", chat, chatBody, []string{"Authorization", "Bearer " + keySum("clerk-key")}, 401, "unauthorized"},
		{"invalid JSON", "POST", chat, `{"model":`, nil, 400, "invalid_request"},
		{"JSON that is not an object", "POST", chat, `["model"]`, nil, 400, "invalid_request"},
		{"no model", "POST", chat, `{"messages":[1]}`, nil, 400, "invalid_request"},
		{"no messages", "POST", chat, `{"model":"m","messages":[]}`, nil, 400, "invalid_request"},
		{"model twice", "POST", chat, `{"model":"m","messages":[1],"model":"secret-model"}`, nil, 400, "invalid_request"},
		{"model in another case", "POST", chat, `{"model":"m","messages":[1],"Model":"secret-model"}`, nil, 400, "invalid_request"},
		{"escaped model", "POST", chat, `{"model":"m","messages":[1],"\u006dodel":"secret-model"}`, nil, 400, "invalid_request"},
		{"wrong type", "POST", chat, `{"model":"m","messages":[1],"stream":"yes"}`, nil, 400, "invalid_request"},
		{"bad token limit", "POST", chat, `{"model":"m","messages":[1],"max_tokens":0}`, nil, 400, "invalid_request"},
		{"bad deadline", "POST", chat, chatBody, []string{"X-Deadline-Ms", "soon"}, 400, "invalid_request"},
		{"long chat ID", "POST", chat, chatBody, []string{"X-Chat-Id", strings.Repeat("x", 256)}, 400, "invalid_request"},
		{"oversized body", "POST", chat, strings.Repeat(" ", 1025), nil, 413, "body_too_large"},
		{"oversized header", "POST", chat, chatBody, []string{"X-Filler", strings.Repeat("x", 40000)}, 431, ""},
		{"unknown model", "POST", chat, `{"model":"x","messages":[1]}`, nil, 404, "not_found"},
		{"another caller's model", "POST", chat, `{"model":"secret-model","messages":[1]}`, nil, 404, "not_found"},
		{"another caller's rank", "POST", chat, chatBody, []string{"X-Rank", "board"}, 404, "not_found"},
		{"unknown path", "GET", "/v1/other", "", nil, 404, "not_found"},
		{"wrong method", "GET", chat, "", nil, 400, "invalid_request"},
		{"unknown service", "GET", "/v1/services/x/turns", "", nil, 404, "not_found"},
		{"another caller's service", "GET", "/v1/services/hidden/turns", "", nil, 404, "not_found"},
		{"model instead of a service", "GET", "/v1/services/m/turns", "", nil, 404, "not_found"},
		{"dot segment", "GET", "/v1/services/desk/a/%2e%2e/b", "", nil, 400, "invalid_request"},
	} {
		inBubble(t, "A request is refused: "+c.desc, func(h *harness) {
			status, header, body := h.send(c.method, c.path, c.body, c.header...)
			So(status, ShouldEqual, c.status)
			if c.kind == "" {
				return // net/http responds without calling the handler
			}
			So(body, ShouldContainSubstring, "urn:auburnlead:problem:"+c.kind+`"`)
			So(body, ShouldContainSubstring, `"outcome":"not_run"`)
			So(header.Get("Content-Type"), ShouldEqual, "application/problem+json")
			So(header.Get("X-Request-Id"), ShouldNotBeEmpty)
			So(h.logged.String(), ShouldNotContainSubstring, "key")
		})
	}
	inBubble(t, "An object that the caller may not use gets the same response as one that does not exist", func(h *harness) {
		_, _, unknown := h.send("POST", chat, `{"model":"secret-mode1","messages":[1]}`)
		_, _, hidden := h.send("POST", chat, `{"model":"secret-model","messages":[1]}`)
		strip := func(s string) string { before, _, _ := strings.Cut(s, `"request_id"`); return before }
		So(strip(hidden), ShouldEqual, strings.ReplaceAll(strip(unknown), "mode1", "model"))
	})
}

// Guards against request fields that are lost or read from the wrong place, and
// against responses in the wrong format.
func TestResponses(t *testing.T) {
	inBubble(t, "Headers take precedence over members of the body", func(h *harness) {
		var got *core.ChatRequest
		respond := h.dispatcher.chat
		h.dispatcher.chat = func(ctx context.Context, r *core.ChatRequest, sink core.ChatSink) error {
			got = r
			return respond(ctx, r, sink)
		}
		body := `{"model":"m","messages":[{}],"workspace":"w","chat_id":"c","rank":"normal","deadline_ms":5000,"max_tokens":500}`
		status, _, _ := h.send("POST", "/v1/chat/completions", body, "X-Chat-Id", "c2", "X-Rank", "urgent")
		So(status, ShouldEqual, 200)
		So([]any{got.Workspace, got.ChatID, got.Rank.Name, time.Until(got.Deadline), got.MaxTokens}, ShouldResemble, []any{"w", "c2", "urgent", 5 * time.Second, int64(100)})
	})
	inBubble(t, "Only callers with diagnostics receive the name of the worker", func(h *harness) {
		_, header, _ := h.send("POST", "/v1/chat/completions", chatBody)
		So(header.Get("X-Worker"), ShouldBeEmpty)
		_, header, _ = h.send("POST", "/v1/chat/completions", `{"model":"secret-model","messages":[1]}`, "Authorization", "Bearer juror-key")
		So(header.Get("X-Worker"), ShouldEqual, "w1")
	})
	inBubble(t, "The list of models contains those that exist and that the caller may use", func(h *harness) {
		_, _, body := h.send("GET", "/v1/models", "")
		So(body, ShouldEqual, `{"object":"list","data":[{"id":"m","object":"model","owned_by":"auburnlead"}]}`+"\n")
	})
	inBubble(t, "A chunk of several lines is sent as one event", func(h *harness) {
		So(string(appendEvent(nil, []byte("{\n}"))), ShouldEqual, "data: {\ndata: }\n\n")
	})
	inBubble(t, "A service call is forwarded without the key and the hop-by-hop headers", func(h *harness) {
		var got *core.ServiceRequest
		h.dispatcher.service = func(r *core.ServiceRequest) (*core.ServiceResponse, error) {
			got = r
			return &core.ServiceResponse{Status: 201, Body: []byte("ok"), Header: http.Header{"X-Own": {"1"}, "Keep-Alive": {"5"}, "Connection": {"X-Hop"}, "X-Hop": {"1"}}}, nil
		}
		status, header, body := h.send("POST", "/v1/services/desk/turns%2F3?a=b", "x", "Idempotency-Key", "k", "Connection", "X-Hop", "X-Hop", "1", "X-Attempt-Id", "forged", "X-Own", "2")
		So([]any{status, body, header.Get("X-Own"), header.Get("Keep-Alive") + header.Get("X-Hop")}, ShouldResemble, []any{201, "ok", "1", ""})
		So([]string{got.Service, got.Path, got.IdempotencyKey, string(got.Body)}, ShouldResemble, []string{"desk", "/turns%2F3?a=b", "k", "x"})
		So(got.Header.Get("Authorization")+got.Header.Get("X-Hop")+got.Header.Get("X-Attempt-Id"), ShouldBeEmpty)
		So(got.Header.Get("X-Own"), ShouldEqual, "2")
	})
	inBubble(t, "A panic is logged, and the request is no longer counted as in flight", func(h *harness) {
		h.dispatcher.chat = func(context.Context, *core.ChatRequest, core.ChatSink) error { panic("fault") }
		status, _, _ := h.send("POST", "/v1/chat/completions", chatBody)
		So(status, ShouldEqual, 0)
		So(h.logged.String(), ShouldContainSubstring, "request panicked")
		<-h.requests.close()
	})
	inBubble(t, "A router without a configuration responds not_ready", func(h *harness) {
		h.config = staticConfig{}
		status, header, body := h.send("GET", "/v1/models", "")
		So([]any{status, header.Get("Retry-After")}, ShouldResemble, []any{503, "1"})
		So(body, ShouldContainSubstring, "not_ready")
	})
}

// Guards against slow clients that occupy connections, and against interrupting
// streams that make progress.
func TestSlowClients(t *testing.T) {
	stream := requestText("POST", "/v1/chat/completions", `{"stream":true,`+chatBody[1:])
	inBubble(t, "A body that is not received in time is refused", func(h *harness) {
		conn := h.dial()
		defer conn.Close()
		startedAt := time.Now()
		status, _, body := exchange(conn, stream[:len(stream)-5])
		So(status, ShouldEqual, 400)
		So(body, ShouldContainSubstring, "did not arrive")
		So(time.Since(startedAt), ShouldEqual, h.settings.BodyTimeout)
	})
	inBubble(t, "A client that does not read is disconnected and the request ends", func(h *harness) {
		ended := make(chan error, 1)
		h.dispatcher.chat = func(_ context.Context, _ *core.ChatRequest, sink core.ChatSink) (err error) {
			_ = sink.Start("w1")
			for err == nil {
				err = sink.Chunk([]byte("{}"))
			}
			ended <- err
			return err
		}
		conn := h.dial()
		defer conn.Close()
		startedAt := time.Now()
		_, err := io.WriteString(conn, stream)
		So(err, ShouldBeNil)
		So(<-ended, ShouldNotBeNil)
		So(time.Since(startedAt), ShouldBeLessThanOrEqualTo, h.settings.WriteTimeout+deadlineRenewInterval)
	})
	inBubble(t, "A long stream that makes progress is not interrupted, and the next request on its connection is served", func(h *harness) {
		h.dispatcher.chat = func(ctx context.Context, _ *core.ChatRequest, sink core.ChatSink) error {
			_ = sink.Start("w1")
			for range 30 {
				<-time.After(time.Minute)
				if err := sink.Chunk([]byte("{}")); err != nil || ctx.Err() != nil {
					return err
				}
			}
			return nil
		}
		conn := h.dial()
		defer conn.Close()
		for range 2 {
			status, _, body := exchange(conn, stream)
			So(status, ShouldEqual, 200)
			So(body, ShouldEqual, strings.Repeat("data: {}\n\n", 30)+"data: [DONE]\n\n")
			// net/http aborts its pending read with a deadline in the past. If
			// the next request arrives during the abort, bufconn may apply that
			// deadline after it has been cleared, and the request is cancelled (1
			// of 120 runs). TCP connections don't do that.
			synctest.Wait()
		}
	})
	inBubble(t, "A request is cancelled when its caller closes the connection", func(h *harness) {
		ended := make(chan struct{})
		h.dispatcher.chat = func(ctx context.Context, _ *core.ChatRequest, sink core.ChatSink) error {
			<-ctx.Done()
			close(ended)
			return ctx.Err()
		}
		conn := h.dial()
		_, _ = io.WriteString(conn, stream)
		synctest.Wait()
		_ = conn.Close()
		<-ended
	})
}

// Guards against a shutdown that interrupts requests, or that refuses them before
// the load balancer can notice it (R6).
func TestStop(t *testing.T) {
	inBubble(t, "A router that is shutting down serves requests during the drain delay, then refuses new ones and waits for streams", func(h *harness) {
		finish := make(chan struct{})
		h.dispatcher.chat = func(_ context.Context, _ *core.ChatRequest, sink core.ChatSink) error {
			_ = sink.Start("w1")
			<-finish
			return nil
		}
		var streamed string
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, streamed = h.send("POST", "/v1/chat/completions", `{"stream":true,`+chatBody[1:])
		}()
		synctest.Wait()
		var stopped atomic.Bool
		go func() { _ = h.Stop(context.Background()); stopped.Store(true) }()
		<-time.After(2999 * time.Millisecond)
		ready, _ := h.readiness.Ready()
		So(ready, ShouldBeFalse)
		status, _, _ := h.send("GET", "/v1/models", "")
		So(status, ShouldEqual, 200)
		<-time.After(time.Minute)
		status, _, body := h.send("GET", "/v1/models", "")
		So(status, ShouldEqual, 503)
		So(body, ShouldContainSubstring, "shutting_down")
		So(stopped.Load(), ShouldBeFalse)
		close(finish)
		<-done
		So(streamed, ShouldEqual, "data: [DONE]\n\n")
		<-time.After(time.Second)
		So(stopped.Load(), ShouldBeTrue)
	})
}
