package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

type client struct {
	t   *testing.T
	url string
}

func startServer(t *testing.T, s Settings) (*Engine, client, func()) {
	e := New(s)
	srv := httptest.NewServer(e.Handler())
	return e, client{t, srv.URL}, func() { srv.Close(); e.Close() }
}

func (c client) do(ctx context.Context, method, path string, header map[string]string, body any) (*http.Response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.url+path, bytes.NewReader(data))
	if err != nil {
		c.t.Fatal(err)
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return http.DefaultClient.Do(req)
}

// chat returns the IDs and the text of the frames up to the end of the
// connection, and the usage of the last chunk.
func (c client) chat(attempt, lastEvent string, r Request) (status int, ids []string, text string, usage *Usage) {
	header := map[string]string{"X-Attempt-Id": attempt, "Last-Event-ID": lastEvent}
	res, err := c.do(c.t.Context(), http.MethodPost, "/v1/chat/completions", header, r)
	if err != nil {
		c.t.Fatal(err)
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == endMarker {
			text += data
			continue
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			c.t.Fatal(err)
		}
		text += chunk.Choices[0].Delta.Content
		usage = chunk.Usage
	}
	return res.StatusCode, ids, text, usage
}

// Guards against a stand-in whose streams are not resumed at the right frame, which
// would hide faults of the router or show faults that the router does not have.
func TestStreams(t *testing.T) {
	Convey("A truncated stream is resumed after the last frame, and the attempt runs once", t, func() {
		e, c, stop := startServer(t, Settings{})
		defer stop()
		r := Request{Model: "rota-8b-v3", Messages: []Message{{"user", "whose turn is it"}}, MaxTokens: 4, ChatID: "c"}
		e.SetBehavior(Behavior{Streams: 1, CutAfter: 2})
		_, ids, first, _ := c.chat("a1", "", r)
		So(ids, ShouldResemble, []string{"a1/1", "a1/2"})
		_, ids, second, usage := c.chat("a1", "a1/2", r)
		So(ids, ShouldResemble, []string{"a1/3", "a1/4", "a1/5"})
		So(first+second, ShouldEqual, ExpectedAnswer(r.Messages, 4)+endMarker)
		So(usage.CompletionTokens, ShouldEqual, 4)
		So(e.Stats().Attempts["a1"], ShouldResemble, AttemptStats{Runs: 1, Streams: 2, Chat: "c", Frames: 5, State: stateDone})
		status, _, _, _ := c.chat("a2", "a2/1", r)
		So(status, ShouldEqual, http.StatusNotFound)
		status, _, _, _ = c.chat("a3", "a1/1", r)
		So(status, ShouldEqual, http.StatusBadRequest)
		So(e.Stats().Runs, ShouldEqual, 1)
	})
	Convey("The engine sends duplicate frames, reordered frames and frames of another attempt if its behavior is set to do so", t, func() {
		cases := []struct {
			desc     string
			behavior Behavior
			expected []string
		}{
			{"another attempt", Behavior{ForeignAt: 2}, []string{"a/1", "foreign-a/2", "a/2", "a/3", "a/4"}},
			{"duplicate", Behavior{DoubleAt: 2}, []string{"a/1", "a/2", "a/2", "a/3", "a/4"}},
			{"reordered", Behavior{ReorderAt: 1}, []string{"a/2", "a/1", "a/3", "a/4"}},
		}
		for _, tc := range cases {
			e, c, stop := startServer(t, Settings{})
			e.SetBehavior(tc.behavior)
			_, ids, _, _ := c.chat("a", "", Request{Model: "rota-8b-v3", MaxTokens: 3})
			So(ids, ShouldResemble, tc.expected)
			stop()
		}
	})
	Convey("The next request of a chat reuses its prefix unless the cache has evicted it", t, func() {
		e, c, stop := startServer(t, Settings{CacheTokens: 60})
		defer stop()
		messages := []Message{{"user", strings.Repeat("x", 39)}}
		_, _, text, usage := c.chat("a1", "", Request{Model: "rota-8b-v3", Messages: messages, MaxTokens: 2})
		So(usage.PromptTokensDetails.CachedTokens, ShouldEqual, 0)
		answer := Message{"assistant", strings.TrimSuffix(text, endMarker)}
		next := Request{Model: "rota-8b-v3", Messages: append(messages, answer, Message{"user", "and then"}), MaxTokens: 2}
		_, _, _, usage = c.chat("a2", "", next)
		So(usage.PromptTokensDetails.CachedTokens, ShouldEqual, 10+answer.tokens())
		c.chat("a3", "", Request{Model: "rota-8b-v3", Messages: []Message{{"user", strings.Repeat("y", 200)}}, MaxTokens: 2})
		_, _, _, usage = c.chat("a4", "", next)
		So(usage.PromptTokensDetails.CachedTokens, ShouldEqual, 0)
		events, gap := e.cache.eventsSince(0)
		So(gap, ShouldBeFalse)
		So(events[0].Type, ShouldEqual, eventStored)
		last, _ := e.cache.eventsSince(e.cache.nextSeq - 2)
		So(last, ShouldHaveLength, 1)
	})
}

// Guards against attempts that run forever without a client, or end before the
// client had time to resume.
func TestResumeGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("An attempt without a connection keeps running for ResumeGrace", t, func() {
			e := New(Settings{FirstToken: time.Second, Token: time.Second, ResumeGrace: 5 * time.Second, Retain: time.Minute})
			defer e.Close()
			r := httptest.NewRequest(http.MethodPost, "/", nil)
			req := Request{Model: "rota-8b-v3", MaxTokens: 60}
			a, isNew, refusal := e.attach("a", req, r, false)
			So(isNew, ShouldBeTrue)
			So(refusal+e.start(r, a, req), ShouldBeEmpty)
			e.detach(a)
			<-time.After(4 * time.Second)
			_, isNew, _ = e.attach("a", req, r, true)
			So(isNew, ShouldBeFalse)
			<-time.After(10 * time.Second)
			synctest.Wait()
			So(e.Stats().Attempts["a"], ShouldResemble, AttemptStats{Runs: 1, Streams: 2, Chat: "", Frames: 14, State: stateRunning})
			e.detach(a)
			<-time.After(6 * time.Second)
			So(e.Stats().Attempts["a"].State, ShouldEqual, stateCancelled)
			So(e.LoadReport().Running, ShouldEqual, 0)
			<-time.After(2 * time.Minute)
			purged, _, _ := e.attach("a", req, r, true)
			So(purged, ShouldBeNil)
		})
	})
}

// Guards against a stand-in that ignores slots, priorities or cancellations, or
// that executes orders with outdated fencing tokens although it checks them.
func TestControl(t *testing.T) {
	Convey("The most urgent waiting request gets the slot; cancelling ends the stream without an end marker", t, func() {
		e := New(Settings{Slots: 1, QueueLimit: 2})
		defer e.Close()
		So(e.acquire(t.Context(), nil, 5, nil), ShouldBeEmpty)
		lowPriority, _ := e.enqueue(9)
		urgent, _ := e.enqueue(0)
		_, refusal := e.enqueue(0)
		So(refusal, ShouldNotBeEmpty)
		e.mu.Lock()
		e.releaseLocked()
		e.mu.Unlock()
		_, open := <-urgent.ready
		So(open, ShouldBeFalse)
		So(lowPriority.index, ShouldEqual, 0)

		e2, c, stop := startServer(t, Settings{Slots: 1, FirstToken: time.Hour})
		defer stop()
		res, err := c.do(t.Context(), http.MethodPost, "/v1/chat/completions", map[string]string{"X-Attempt-Id": "a"}, Request{Model: "rota-8b-v3"})
		So(err, ShouldBeNil)
		defer res.Body.Close()
		So(e2.LoadReport().Running, ShouldEqual, 1)
		refused, err := c.do(t.Context(), http.MethodPost, "/v1/chat/completions", map[string]string{"X-Deadline-Ms": "0"}, Request{Model: "rota-8b-v3"})
		So(err, ShouldBeNil)
		So(refused.Body.Close(), ShouldBeNil)
		So(refused.Header.Get("X-Outcome"), ShouldEqual, "not_run")
		cancelled, err := c.do(t.Context(), http.MethodDelete, "/v1/attempts/a", nil, nil)
		So(err, ShouldBeNil)
		So(cancelled.Body.Close(), ShouldBeNil)
		_, err = io.ReadAll(res.Body)
		So(err, ShouldNotBeNil)
	})
	Convey("Outdated fencing tokens are refused only by an engine that checks them", t, func() {
		for _, checks := range []bool{true, false} {
			e := New(Settings{ChecksFencing: checks})
			So(e.applyOrder(Order{Order: "load", Model: "m2", FencingToken: 7}).Refused, ShouldBeFalse)
			So(e.applyOrder(Order{Order: "unload", Model: "m2", FencingToken: 6}).Refused, ShouldEqual, checks)
			So(len(e.LoadReport().Models) == 2, ShouldEqual, checks)
			So(e.LoadReport().FencingToken, ShouldEqual, 7)
			e.Close()
		}
	})
}
