package gateway

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// upstream has the connections to workers.
type upstream struct {
	transport *http.Transport
}

// dialError says that no connection to a worker could be opened; nothing was
// sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "gateway: no connection: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// keepAliveShare divides the silence timeout into the time before the first
// keep-alive probe and the time between probes.
const keepAliveShare = 4

func newUpstream(s *Settings) *upstream {
	dialer := &net.Dialer{
		Timeout: s.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: s.SilenceTimeout / 2, Interval: s.SilenceTimeout / keepAliveShare, Count: keepAliveShare / 2,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, s.SilenceTimeout) },
	}
	return &upstream{transport: &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &dialError{err}
			}
			return conn, nil
		},
		MaxIdleConnsPerHost:    s.IdlePerWorker,
		IdleConnTimeout:        s.WorkerIdleTimeout,
		MaxResponseHeaderBytes: int64(s.HeaderBytes),
		DisableCompression:     true,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}}
}

// bufferBytes holds the header of a request or answer.
const bufferBytes = 2048

// setUserTimeout bounds the time for which sent bytes stay unacknowledged.
func setUserTimeout(c syscall.RawConn, d time.Duration) error {
	var inner error
	err := c.Control(func(fd uintptr) {
		inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return inner
}
