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

// Guards against a stand-in that does not tell its port, or cuts off requests
// when it is stopped.
func TestServe(t *testing.T) {
	Convey("Serve prints its address and lets a request in flight end", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		out, in := io.Pipe()
		ended := make(chan error, 1)
		h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			<-ctx.Done()
			_, _ = io.WriteString(w, "whole")
		})
		go func() { ended <- Serve(ctx, "127.0.0.1:0", h, in) }()
		line, err := bufio.NewReader(out).ReadBytes('\n')
		So(err, ShouldBeNil)
		var address struct{ Listen string }
		So(json.Unmarshal(line, &address), ShouldBeNil)
		res, err := http.Get("http://" + address.Listen)
		So(err, ShouldBeNil)
		defer res.Body.Close()
		cancel()
		body, err := io.ReadAll(res.Body)
		So(err, ShouldBeNil)
		So(string(body), ShouldEqual, "whole")
		So(<-ended, ShouldBeNil)
	})
}
