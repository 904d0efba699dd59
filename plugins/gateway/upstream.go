package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/auburnlead/auburnlead/internal/dial"
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

func newUpstream(s *Settings) *upstream {
	u := &upstream{open: dial.New(s.ConnectTimeout, s.SilenceTimeout).DialContext}
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
