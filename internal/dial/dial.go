// Package dial makes dialers whose connections end when the other machine
// falls silent.
package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive is the silence of a connection after which its other end is asked
// for a sign, and the period of further questions. The system counts in whole
// seconds.
const keepAlive = time.Second

// New returns a dialer that gives up a setup after timeout, and whose
// connections fail when sent bytes stay unacknowledged for silence, or the
// other end leaves two questions for a sign unanswered.
func New(timeout, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlive, Interval: keepAlive, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var inner error
			err := c.Control(func(fd uintptr) {
				inner = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			return errors.Join(err, inner)
		},
	}
}
