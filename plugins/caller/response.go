package caller

import (
	"net/http"
	"time"
)

// deadlineStep is the least age of a write deadline that is renewed. Renewing
// it for each token would cost more than writing the token.
const deadlineStep = time.Second

// response is the answer to a request. Each write has its own deadline, so
// that a client that reads nothing is cut and a long stream is not.
type response struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	renewed    time.Time
	status     int
	bytes      int64
	first      time.Time // of the first write
}

func newResponse(w http.ResponseWriter, timeout time.Duration) *response {
	return &response{ResponseWriter: w, controller: http.NewResponseController(w), timeout: timeout}
}

// Unwrap lets http.ResponseController find the connection.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *response) started() bool { return r.status != 0 }

// WriteHeader sends the status once.
func (r *response) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	r.renew()
	r.ResponseWriter.WriteHeader(status)
}

func (r *response) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.renew()
	n, err := r.ResponseWriter.Write(b)
	r.bytes += int64(n)
	return n, err
}

// flush sends what has been written.
func (r *response) flush() error { return r.controller.Flush() }

// renew moves the write deadline on. The deadline is up to deadlineStep too
// early, so the timeout is longer by that much.
func (r *response) renew() {
	now := time.Now()
	if now.Sub(r.renewed) < deadlineStep {
		return
	}
	if r.renewed.IsZero() {
		r.first = now
	}
	r.renewed = now
	_ = r.controller.SetWriteDeadline(now.Add(r.timeout + deadlineStep))
}
