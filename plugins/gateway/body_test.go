package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/auburnlead/auburnlead/internal/bytebudget"
)

// Guards against bodies that are not counted, with a length or in chunks, against a refusal
// for want of memory after which the request runs, and against bytes that stay counted.
func TestMemoryForBodies(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		inBubble(t, "A body without memory is refused as not run, and smaller ones are served", desks(1), func(h *harness) {
			h.Gateway.bytes = bytebudget.New(256 << 10)
			call := func(size int) *httptest.ResponseRecorder {
				var body io.Reader = strings.NewReader(strings.Repeat("x", size))
				if chunked {
					body = io.MultiReader(body) // has no length
				}
				r := httptest.NewRequestWithContext(context.Background(), "POST", "http://desk.example/book/x", body)
				r.Header.Set(testID, "id-1")
				r.Header.Set(testKey, "secret")
				w := httptest.NewRecorder()
				h.serveRequest(w, r)
				return w
			}
			refused := call(250 << 10)
			So(refused.Code, ShouldEqual, http.StatusServiceUnavailable)
			So(refused.Header().Get("Retry-After"), ShouldNotBeEmpty)
			So(refused.Header().Get("Connection"), ShouldEqual, "close")
			So(refused.Body.String(), ShouldContainSubstring, "no memory for the body")
			So(h.requestCount(), ShouldEqual, 0)
			So(h.bytes.Used(), ShouldEqual, 0)
			for range 10 {
				So(call(100<<10).Code, ShouldEqual, http.StatusOK)
				So(h.bytes.Used(), ShouldEqual, 0)
			}
		})
	}
}
