package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

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

// budgetObserver records the most bytes that are held while a response is written.
type budgetObserver struct {
	*httptest.ResponseRecorder
	bytes *bytebudget.Budget
	most  int64
}

func (o *budgetObserver) Write(p []byte) (int, error) {
	o.most = max(o.most, o.bytes.Used())
	return o.ResponseRecorder.Write(p)
}

// Guards against buffered responses that fill the memory of a router, and against ones that
// are cut off for want of memory although they can be forwarded as they arrive.
func TestMemoryForResponses(t *testing.T) {
	inBubble(t, "A response without memory is forwarded whole, and the memory stays within the budget", desks(1), func(h *harness) {
		const limit, size = 256 << 10, 250 << 10
		h.Gateway.bytes = bytebudget.New(limit)
		h.settings.AnswerBytes = 4 * size
		h.setHandlers(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testSeal, "s")
			_, _ = io.WriteString(w, strings.Repeat("x", size))
		})
		held := h.Gateway.bytes.NewBody("another", nil)
		So(held.Admit(context.Background(), 0, time.Now), ShouldBeNil)
		for range 3 {
			r := httptest.NewRequestWithContext(context.Background(), "POST", "http://desk.example/book/x", nil)
			r.Header.Set(testID, "id-1")
			r.Header.Set(testKey, "secret")
			w := &budgetObserver{ResponseRecorder: httptest.NewRecorder(), bytes: h.Gateway.bytes}
			h.serveRequest(w, r)
			So(w.Code, ShouldEqual, http.StatusOK)
			So(w.Body.Len(), ShouldEqual, size)
			So(w.most, ShouldBeBetween, limit/2, limit)
		}
		held.Release()
		So(h.Gateway.bytes.Used(), ShouldEqual, 0)
	})
}
