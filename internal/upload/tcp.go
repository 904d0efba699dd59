package upload

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State of a connection in the TCP_INFO of Linux.
const tcpClosed = 7 // reset, or closed by both sides

// isUnacknowledged reports whether the peer, which has closed the connection, had not
// received everything that was written, or has reset the connection. The segment that
// closes a connection acknowledges everything that arrived before it, so the result does
// not depend on how late it is asked for. It is false for connections without TCP.
func isUnacknowledged(c net.Conn) bool {
	info := readInfo(c)
	return info != nil && (info.State == tcpClosed || info.Unacked > 0 || info.Notsent_bytes > 0)
}

func isTCP(c net.Conn) bool {
	_, ok := c.(*net.TCPConn)
	return ok
}

// readInfo returns nil for connections without TCP and those closed by this side.
func readInfo(c net.Conn) (info *unix.TCPInfo) {
	onSocket(c, func(fd int) { info, _ = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) }) // nil after an error
	return info
}

// onSocket calls fn with the descriptor of a connection that is open and has one.
func onSocket(c net.Conn, fn func(fd int)) {
	conn, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := conn.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { fn(int(fd)) }) // fails only if closed by this side
	}
}

// resetWait is the time after the end of a response during which a reset counts against
// it. A worker that shuts its side down and closes the connection with unread bytes sends
// the reset within the time of two system calls; the rest allows for the network of a
// region. Only responses without a length to requests with a body wait for it.
const resetWait = 2 * time.Millisecond

// returnWait limits the wait for a write that has reached the peer and is about to return,
// which takes as long as its goroutine waits for a processor.
const returnWait = 200 * time.Millisecond

// poll calls done until it returns true, at most for a time.
func poll(limit time.Duration, done func() bool) {
	start := time.Now()
	for wait := 50 * time.Microsecond; !done() && time.Since(start) < limit; wait *= 2 {
		timer := time.NewTimer(wait)
		<-timer.C
	}
}
