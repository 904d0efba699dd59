package gossip

import (
	"net"
	"time"

	lib "github.com/auburnlead/auburnlead/gossip"
)

// recordingConn is a connection that records what is sent.
type recordingConn struct {
	discardConn
	messages [][]byte
}

func (c *recordingConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	c.messages = append(c.messages, b)
	return len(b), nil
}

// fakeExtension is a component that sends next and records what it receives.
type fakeExtension struct {
	next     []byte
	err      error
	payloads []string
}

func (*fakeExtension) Type() byte                           { return lib.ExtensionCrashes }
func (e *fakeExtension) Encode(time.Time, int, bool) []byte { return e.next }
func (e *fakeExtension) Merge(_ time.Time, payload []byte) error {
	e.payloads = append(e.payloads, string(payload))
	return e.err
}

// discardConn is a connection that drops what is sent.
type discardConn struct{}

func (discardConn) ReadFrom([]byte) (int, net.Addr, error)    { return 0, nil, net.ErrClosed }
func (discardConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }
func (discardConn) Close() error                              { return nil }
func (discardConn) LocalAddr() net.Addr                       { return &net.UDPAddr{} }
func (discardConn) SetDeadline(time.Time) error               { return nil }
func (discardConn) SetReadDeadline(time.Time) error           { return nil }
func (discardConn) SetWriteDeadline(time.Time) error          { return nil }
