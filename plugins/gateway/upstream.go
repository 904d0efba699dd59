package gateway

import (
	"context"
	"net"
	"net/http"

	"github.com/auburnlead/auburnlead/internal/dial"
)

// workerConns opens and pools the connections to workers.
type workerConns struct {
	transport *http.Transport
	dialOnce  func(ctx context.Context, network, address string) (net.Conn, error)
}

// dialError means that no connection to a worker could be opened; nothing was
// sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "gateway: no connection: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

func newWorkerConns(s *Settings) *workerConns {
	c := &workerConns{dialOnce: dial.New(s.ConnectTimeout, s.SilenceTimeout).DialContext}
	c.transport = &http.Transport{
		DialContext:            c.dial,
		MaxIdleConnsPerHost:    s.IdlePerWorker,
		IdleConnTimeout:        s.WorkerIdleTimeout,
		MaxResponseHeaderBytes: int64(s.HeaderBytes),
		DisableCompression:     true,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
	return c
}

// dial opens a connection to a worker. A lost packet delays the connection
// setup by a second, so a timeout is retried once.
func (c *workerConns) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialOnce(ctx, network, address)
	if mayBePartition(err) && ctx.Err() == nil {
		conn, err = c.dialOnce(ctx, network, address)
	}
	if err != nil {
		return nil, &dialError{err}
	}
	return conn, nil
}

// bufferBytes is enough for the header of a request or response.
const bufferBytes = 2048
