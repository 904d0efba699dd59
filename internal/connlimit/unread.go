package connlimit

import (
	"net/http"
	"time"
)

// unreadTimeout is the time in which a body of usual size arrives that was sent at once.
const unreadTimeout = time.Second

// LimitUnreadBody limits the time for which net/http waits for the body of a request that
// is answered without it: 1 s. It is called before the handler sets a read deadline of its
// own.
func LimitUnreadBody(r *http.Request, c *http.ResponseController) {
	if r.Body != http.NoBody && r.Body != nil {
		_ = c.SetReadDeadline(time.Now().Add(unreadTimeout)) // not supported by recorders in tests
	}
}
