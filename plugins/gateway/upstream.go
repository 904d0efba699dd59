package gateway

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/auburnlead/auburnlead/internal/dial"
	"github.com/auburnlead/auburnlead/routing"
)

// workerConns opens and pools the connections to workers.
type workerConns struct {
	transport *http.Transport
	// unshared opens a connection for each request.
	unshared *http.Transport
	dialOnce func(ctx context.Context, network, address string) (net.Conn, error)
	opened   atomic.Uint64
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
	c.unshared = c.transport.Clone()
	c.unshared.DisableKeepAlives = true
	return c
}

// transportFor returns the transport for a request to a worker. A response without a
// request ID is attributed by its connection, so requests without an ID, and all
// requests to workers that write such refusals, get a connection of their own.
func (g *Gateway) transportFor(x *exchange, w *routing.Worker) *http.Transport {
	if x.header.ID == "" || g.fleet.RefusesAnonymously(w, time.Now()) {
		return g.conns.unshared
	}
	return g.conns.transport
}

// roundTrip sends an attempt on a connection that has not carried its request ID and
// returns the response with what the connection carried before. Nothing of the attempt is
// sent on other connections that the transport offers; these end.
func (g *Gateway) roundTrip(ctx context.Context, x *exchange, c routing.Choice, lastEvent uint64) (*http.Response, connHistory, error) {
	transport := g.transportFor(x, c.Worker)
	for {
		conn := connHistory{}
		body := x.newBody()
		trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
			conn.finish() // of a connection that the transport gave up
			evacuated := false
			if conn, evacuated = g.withholdEvacuated(c.Worker, info); !evacuated {
				conn = admitRequest(info, x.header.ID, body)
			}
		}}
		resp, err := transport.RoundTrip(g.newAttemptRequest(httptrace.WithClientTrace(ctx, trace), x, c, lastEvent, body))
		conn.finish()
		if !conn.withheld {
			return resp, conn, err
		}
		if err == nil {
			_ = resp.Body.Close() // to an earlier request
		}
		if conn.evacuated {
			return nil, conn, errEvacuated
		}
		g.recordWithheld(x, c, conn)
	}
}

// recordWithheld logs and counts a connection that an attempt was not sent on.
func (g *Gateway) recordWithheld(x *exchange, c routing.Choice, conn connHistory) {
	if !conn.carriedID {
		if conn.requests >= maxCarried {
			g.decisions.count("full_connections", "upstream", c.Worker.Upstream)
		}
		return
	}
	g.decisions.count("repeated_ids", "upstream", c.Worker.Upstream)
	g.decisions.logRequest("connection has carried the request ID", "request", x.header.ID, "worker", c.Worker.ID, "attempt", len(x.tried), "connection", conn.number, "carried", conn.requests)
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
	return &workerConn{Conn: conn, number: c.opened.Add(1)}, nil
}

// bufferBytes is enough for the header of a request or response.
const bufferBytes = 2048
