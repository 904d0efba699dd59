package gateway

import (
	"net"
	"net/http/httptrace"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// workerConn is a connection to a worker that remembers the IDs of the requests that it
// has carried.
type workerConn struct {
	net.Conn
	number  uint64   // for the log
	carried []uint64 // hashes of request IDs; only the request that uses the connection reads and writes them
}

// maxCarried limits the requests that a connection remembers.
const maxCarried = 1024

// connHistory is what a connection carried before an attempt.
type connHistory struct {
	number    uint64 // of the connection, 0 for none
	requests  int
	reused    bool // it may bear responses to earlier requests
	carriedID bool // one of them had the ID of this request
}

// startRequest records a request on the connection and returns what it carried before.
func startRequest(info httptrace.GotConnInfo, id string) connHistory {
	c := info.Conn.(*workerConn)
	hash := xxhash.Sum64String(id)
	h := connHistory{number: c.number, requests: len(c.carried), reused: info.Reused, carriedID: slices.Contains(c.carried, hash)}
	if len(c.carried) < maxCarried {
		c.carried = append(c.carried, hash)
	}
	return h
}
