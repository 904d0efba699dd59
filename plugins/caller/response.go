package caller

import (
	"net/http"
	"time"
)

// deadlineRenewInterval is the shortest interval at which the write deadline is
// extended. Extending it for each token would cost more than writing the token.
const deadlineRenewInterval = time.Second

// response is the response to a request. Writes extend its write deadline, so that
// a client that doesn't read is disconnected and a long stream is not.
type response struct {
	http.ResponseWriter
	controller    *http.ResponseController
	timeout       time.Duration
	deadlineSetAt time.Time
	status        int
	bytesWritten  int64
	firstWrite    time.Time
}

func newResponse(w http.ResponseWriter, timeout time.Duration) *response {
	return &response{ResponseWriter: w, controller: http.NewResponseController(w), timeout: timeout}
}

// Unwrap lets http.ResponseController find the connection.
func (r *response) Unwrap() http.ResponseWriter { return r.ResponseWriter }

func (r *response) started() bool { return r.status != 0 }

// WriteHeader sends the status; later calls have no effect.
func (r *response) WriteHeader(status int) {
	if r.status != 0 {
		return
	}
	r.status = status
	r.extendWriteDeadline()
	r.ResponseWriter.WriteHeader(status)
}

func (r *response) Write(b []byte) (int, error) {
	if r.status == 0 {
		r.WriteHeader(http.StatusOK)
	}
	r.extendWriteDeadline()
	n, err := r.ResponseWriter.Write(b)
	r.bytesWritten += int64(n)
	return n, err
}

// interruptWrite ends a write in progress.
func (r *response) interruptWrite() { _ = r.controller.SetWriteDeadline(time.Now()) }

// flush sends buffered data to the client.
func (r *response) flush() error { return r.controller.Flush() }

// extendWriteDeadline extends the write deadline if deadlineRenewInterval has
// passed since the last extension. A write may therefore start up to that interval
// after the deadline was set, so the interval is added to the timeout.
func (r *response) extendWriteDeadline() {
	now := time.Now()
	if now.Sub(r.deadlineSetAt) < deadlineRenewInterval {
		return
	}
	if r.deadlineSetAt.IsZero() {
		r.firstWrite = now
	}
	r.deadlineSetAt = now
	_ = r.controller.SetWriteDeadline(now.Add(r.timeout + deadlineRenewInterval))
}
