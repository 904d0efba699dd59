package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// serve starts a server that responds to each request with the given status,
// content type and body.
func serve(status int, contentType, body string) *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}))
}

// Guards against counting a truncated or failed response as complete, which
// would hide lost responses in every measurement.
func TestChatCompleteness(t *testing.T) {
	const chunkEvent = "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	cases := []struct {
		desc, contentType, body string
		status                  int
		complete, failed        bool
	}{
		{"end marker", "text/event-stream", chunkEvent + "data: [DONE]\n\n", 200, true, false},
		{"connection ends early", "text/event-stream", chunkEvent, 200, false, true},
		{"error event", "text/event-stream", chunkEvent + "event: error\ndata: {\"type\":\"urn:auburnlead:problem:answer_incomplete\"}\n\n", 200, false, false},
		{"refused", "application/problem+json", "{\"type\":\"urn:auburnlead:problem:overloaded\"}", 429, false, false},
		{"not streamed", "application/json", "{\"choices\":[{\"message\":{\"content\":\"a\"}}]}", 200, true, false},
		{"not streamed, truncated", "application/json", "{\"choices\":[", 200, false, true},
	}
	Convey("Only a response with its end marker is complete", t, func() {
		for _, c := range cases {
			server := serve(c.status, c.contentType, c.body)
			r, err := NewClient(server.URL, "k", false, 1).Chat(context.Background(), Chat{Stream: true})
			server.Close()
			SoMsg(c.desc, err != nil, ShouldEqual, c.failed)
			SoMsg(c.desc, r.Complete, ShouldEqual, c.complete)
		}
	})
	Convey("A run counts each request once", t, func() {
		server := serve(200, "text/event-stream", chunkEvent+"data: [DONE]\n\n")
		defer server.Close()
		plan := Plan{Clients: []*Client{NewClient(server.URL, "k", false, 4)}, Requests: 40, Rate: 4000, MaxInFlight: 40, Chats: 3, Stream: true, Seed: 7}
		report, err := Run(context.Background(), plan)
		So(err, ShouldBeNil)
		So(report.Complete+report.Failed+report.NotSent, ShouldEqual, 40)
		So(report.Failed, ShouldEqual, 0)
	})
}
