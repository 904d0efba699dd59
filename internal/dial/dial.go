// Package dial provides dialers whose connections fail when the remote machine
// stops responding.
package dial

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlivePeriod is the idle time after which a TCP keep-alive probe is sent,
// and the interval between probes. The operating system counts in whole
// seconds.
const keepAlivePeriod = time.Second

// New returns a dialer that gives up connecting after connectTimeout. Its
// connections fail when sent data stays unacknowledged for silenceTimeout, or
// when two keep-alive probes get no response.
func New(connectTimeout, silenceTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAlivePeriod, Interval: keepAlivePeriod, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optionErr error
			err := c.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
}
