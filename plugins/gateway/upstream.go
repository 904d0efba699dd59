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
	open      func(ctx context.Context, network, address string) (net.Conn, error)
}

// dialError says that no connection to a worker could be opened; nothing was
// sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "gateway: no connection: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// keepAlive is the silence of a connection after which its other end is asked
// for a sign, and the period of further questions. The system counts in whole
// seconds.
const keepAlive = time.Second

func newUpstream(s *Settings) *upstream {
	dialer := &net.Dialer{
		Timeout:         s.ConnectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
		Control:         func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, s.SilenceTimeout) },
	}
	u := &upstream{open: dialer.DialContext}
	u.transport = &http.Transport{
		DialContext:            u.dial,
		MaxIdleConnsPerHost:    s.IdlePerWorker,
		IdleConnTimeout:        s.WorkerIdleTimeout,
		MaxResponseHeaderBytes: int64(s.HeaderBytes),
		DisableCompression:     true,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
	return u
}

// dial opens a connection to a worker. A lost packet delays a setup by a
// second, so it is tried twice.
func (u *upstream) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := u.open(ctx, network, address)
	if isSilence(err) && ctx.Err() == nil {
		conn, err = u.open(ctx, network, address)
	}
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
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
