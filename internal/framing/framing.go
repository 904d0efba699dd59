// Package framing finds HTTP/1 requests whose end is ambiguous. net/http accepts a
// request with both Content-Length and Transfer-Encoding, drops the length and
// keeps the connection, so that the rest of the body counts as a further request
// (request smuggling, RFC 9112, sections 6.1 and 11.2).
//
// Contract: Check reports each request whose body would end elsewhere by one of
// its header fields than by another. It reports no other request.
//
// Failure behaviour: where the framing of a connection cannot be followed, each
// request with a Transfer-Encoding counts as ambiguous.
package framing

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// AmbiguousError reports a request whose header section allows more than one end
// of the body. The connection must be closed after the response.
type AmbiguousError struct{ Reason string }

func (e *AmbiguousError) Error() string {
	return "framing: " + e.Reason + "; send the body either with a Content-Length or in chunks"
}

type connKey struct{}

// Serve serves a listener like server.Serve. The handler calls Check once for each
// request. Errors: those of server.Serve.
func Serve(server *http.Server, l net.Listener) error {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	server.DisableGeneralOptionsHandler = true // it would serve requests without a call of Check
	return server.Serve(listener{l})
}

// Check returns an error if the end of the request is ambiguous, and nil for a
// request that was not received through Serve. It is called once for each request,
// in the order of arrival. Errors: *AmbiguousError.
func Check(r *http.Request) error {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	h, known := c.next()
	switch {
	case !known && len(r.TransferEncoding) > 0:
		return &AmbiguousError{"the framing of the connection cannot be followed"}
	case h.folded:
		return &AmbiguousError{"the length or the transfer encoding continues on a further line"}
	case h.hasEncoding && h.hasLength:
		return &AmbiguousError{"the request has both a Content-Length and a Transfer-Encoding"}
	case h.hasEncoding && !r.ProtoAtLeast(1, 1):
		return &AmbiguousError{"an HTTP/1.0 request has a Transfer-Encoding"}
	}
	return nil
}

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn scans what is read from a connection.
type conn struct {
	net.Conn
	mu      sync.Mutex // lock level 90; net/http reads in the background while a handler runs
	scanner scanner
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.write(p[:n])
	return n, err
}

// CloseWrite implements the half-close by which net/http lets a client read a response
// before the connection is closed. It does nothing on connections without one.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *conn) next() (head, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.next()
}
