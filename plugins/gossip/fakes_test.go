package gossip

import (
	"net"
	"time"
)

// discardConn is a connection that drops what is sent.
type discardConn struct{}

func (discardConn) ReadFrom([]byte) (int, net.Addr, error)    { return 0, nil, net.ErrClosed }
func (discardConn) WriteTo(b []byte, _ net.Addr) (int, error) { return len(b), nil }
func (discardConn) Close() error                              { return nil }
func (discardConn) LocalAddr() net.Addr                       { return &net.UDPAddr{} }
func (discardConn) SetDeadline(time.Time) error               { return nil }
func (discardConn) SetReadDeadline(time.Time) error           { return nil }
func (discardConn) SetWriteDeadline(time.Time) error          { return nil }
