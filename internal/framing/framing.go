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

// HeadAccount is implemented by connections that bound the memory of request heads.
type HeadAccount interface {
	// AddHead is called with the bytes and lines of heads that have arrived. An error ends
	// the connection.
	AddHead(bytes, lines int) error
	// ServeHead is called by Check with those of the request that is served now.
	ServeHead(bytes, lines int)
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

// Reject returns a handler that calls Check and passes other requests on to next. For an
// ambiguous one it has the connection closed and calls respond with the error.
func Reject(next http.Handler, respond func(http.ResponseWriter, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := Check(r); err != nil {
			w.Header().Set("Connection", "close")
			respond(w, err)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Conn returns the connection of a request that was received through Serve, nil for others.
func Conn(ctx context.Context) net.Conn {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c
	}
	return nil
}

// Check returns an error if the end of the request is ambiguous, and nil for a
// request that was not received through Serve. It is called once for each request,
// in the order of arrival. Errors: *AmbiguousError.
func Check(r *http.Request) error {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return nil
	}
	h, served, known := c.next()
	if account, ok := c.Conn.(HeadAccount); ok && known {
		account.ServeHead(served.bytes, served.lines)
	}
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
	bytes, lines := c.scan(p[:n])
	if account, ok := c.Conn.(HeadAccount); ok && bytes > 0 {
		if err := account.AddHead(bytes, lines); err != nil {
			return 0, err
		}
	}
	return n, err
}

func (c *conn) scan(p []byte) (headBytes, headLines int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.scanner.heads
	c.scanner.write(p)
	return c.scanner.heads.bytes - before.bytes, c.scanner.heads.lines - before.lines
}

// NetConn returns the connection of the listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite implements the half-close by which net/http lets a client read a response
// before the connection is closed. It does nothing on connections without one.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

func (c *conn) next() (head, size, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h, ok := c.scanner.next()
	return h, c.scanner.served, ok
}
