package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// Guards against a stand-in that does not print its port, or interrupts requests
// when it shuts down.
func TestServe(t *testing.T) {
	Convey("Serve prints its address and completes a request in flight", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		reader, writer := io.Pipe()
		ended := make(chan error, 1)
		h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-ctx.Done()
			_, _ = io.WriteString(w, "complete")
		})
		go func() { ended <- Serve(ctx, "127.0.0.1:0", h, writer) }()
		line, err := bufio.NewReader(reader).ReadBytes('\n')
		So(err, ShouldBeNil)
		var address struct{ Listen string }
		So(json.Unmarshal(line, &address), ShouldBeNil)
		res, err := http.Get("http://" + address.Listen)
		So(err, ShouldBeNil)
		defer res.Body.Close()
		cancel()
		body, err := io.ReadAll(res.Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "complete")
		So(<-ended, ShouldBeNil)
	})
}
