package connlimit

import (
	"net/http"
	"time"

	"github.com/auburnlead/auburnlead/internal/framing"
)

// Limits of a request at a listener that callers do not use. Such a request has a few
// fields and no body.
const (
	auxHeaderBytes  = 8 << 10
	auxReadTimeout  = 5 * time.Second
	auxWriteTimeout = 30 * time.Second
)

// AuxServer returns a server for a listener that operators, peers or the load balancer use,
// to be served with Serve. Its timeouts are 5 s for a request and 30 s for its response.
func AuxServer(h http.Handler, idleTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler: framing.Reject(h, func(w http.ResponseWriter, err error) {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}),
		ReadTimeout:    auxReadTimeout,
		WriteTimeout:   auxWriteTimeout,
		IdleTimeout:    idleTimeout,
		MaxHeaderBytes: auxHeaderBytes,
	}
}
