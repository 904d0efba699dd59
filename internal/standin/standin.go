// Package standin has the common parts of the stand-ins: servers that replace the
// platform and the upstreams in tests. It listens, prints the address, shuts down
// gracefully, and reads and writes JSON.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Limits of the stand-ins' HTTP servers.
const (
	maxBodyBytes      = 16 << 20
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	stopTimeout       = 30 * time.Second
)

// Serve listens on an IP address and port, prints one JSON line
// {"listen":"ip:port"} and serves until ctx ends. It then waits up to 30 s for
// requests in flight.
func Serve(ctx context.Context, listen string, h http.Handler, out io.Writer) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return fmt.Errorf("standin: %w; choose a free address or port 0", err)
	}
	srv := &http.Server{
		Handler:           http.MaxBytesHandler(h, maxBodyBytes),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	if err := json.NewEncoder(out).Encode(struct {
		Listen string `json:"listen"`
	}{l.Addr().String()}); err != nil {
		_ = srv.Close()
		return fmt.Errorf("standin: print the address: %w", err)
	}
	select {
	case err := <-served:
		return fmt.Errorf("standin: serve: %w", err)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := srv.Shutdown(stop); err != nil {
		_ = srv.Close()
		return fmt.Errorf("standin: requests were still in flight after %v: %w", stopTimeout, err)
	}
	return nil
}

// ReadJSON decodes the body of a request. If it is malformed, ReadJSON responds
// with 400 and returns false. An empty body leaves into unchanged.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(r.Body).Decode(into)
	if err != nil && !errors.Is(err, io.EOF) {
		http.Error(w, "malformed JSON: "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON responds with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails if the connection is closed
}

// Refuse responds with an error status and states that the request was not run.
func Refuse(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("X-Outcome", "not_run")
	w.Header().Set("Retry-After", "1")
	WriteJSON(w, status, struct {
		Error string `json:"error"`
	}{detail})
}

// Drop closes the connection without a response. It must be called in the goroutine
// of the handler.
func Drop() { panic(http.ErrAbortHandler) }

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
