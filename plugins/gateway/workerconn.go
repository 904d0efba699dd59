package gateway

import (
	"errors"
	"net"
	"net/http/httptrace"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/auburnlead/auburnlead/internal/upload"
)

// A worker may write a response more than once. The copy bears the ID of the request, so
// if a request with this ID is sent on the connection again, the copy cannot be told from
// the response to it. Therefore a connection carries each ID at most once.

// workerConn is a connection to a worker that remembers the IDs of the requests that it
// has carried.
type workerConn struct {
	net.Conn
	number  uint64      // for the log
	carried []uint64    // hashes of request IDs; only the request that has got the connection uses them
	retired atomic.Bool // it carries no further requests
	blocked atomic.Bool // writes fail
	// answered is closed once the round trip of the last request has returned, nil for no
	// request. Like carried, it belongs to the request that has got the connection.
	answered chan struct{}
	upload   upload.Tracker // of the request on the connection
}

// maxCarried is the number of requests after which a connection is not used again. It
// limits the memory of a connection.
const maxCarried = 1024

// errBlocked is the error of a write to a connection that must not carry the request.
var errBlocked = errors.New("gateway: the connection to the worker may not carry this request; send it on another one")

// Write sends nothing once the connection is blocked, so that the transport closes it. The
// transport offers a connection before it has returned a response without a body, which
// would be lost with the connection; therefore Write waits for that.
func (c *workerConn) Write(p []byte) (int, error) {
	if c.blocked.Load() {
		if c.answered != nil {
			<-c.answered
		}
		return 0, errBlocked
	}
	return c.upload.Write(c.Conn, p)
}

// Read fails if the connection ends before the worker has received the request.
func (c *workerConn) Read(p []byte) (int, error) { return c.upload.Read(c.Conn, p) }

// connHistory is what a connection carried before an attempt.
type connHistory struct {
	conn      *workerConn // nil if there was no connection
	answered  chan struct{}
	number    uint64 // of the connection, 0 for none
	requests  int
	reused    bool // it may bear responses to earlier requests
	carriedID bool // one of them had the ID of this request
	withheld  bool // the connection was blocked, so that nothing of this request is sent on it
	evacuated bool // it was because no request may be sent to the worker any more
}

// admitRequest records a request and its body, nil for none, on the connection and
// returns what it carried before.
// If it may not carry the request, it is blocked.
func admitRequest(info httptrace.GotConnInfo, id string, body *upload.Body) connHistory {
	c := info.Conn.(*workerConn)
	hash := xxhash.Sum64String(id)
	h := connHistory{conn: c, number: c.number, requests: len(c.carried), reused: info.Reused, carriedID: slices.Contains(c.carried, hash)}
	h.withheld = h.carriedID || len(c.carried) >= maxCarried || c.retired.Load() || c.upload.Failed()
	if h.withheld {
		c.blocked.Store(true)
		return h
	}
	c.carried = append(c.carried, hash)
	c.upload.Begin(body)
	c.answered = make(chan struct{})
	h.answered = c.answered
	return h
}

// retire lets the connection carry no further requests.
func (h connHistory) retire() { h.conn.retired.Store(true) }

// drop closes the connection of a response that is not HTTP.
func (h connHistory) drop() {
	h.retire()
	_ = h.conn.Close() // nothing on it is used any more
}

// finish records that the round trip of the request has returned.
func (h connHistory) finish() {
	if h.answered != nil {
		close(h.answered)
	}
}
