package forward

import (
	"errors"
	"syscall"
)

// tcpUserTimeout is TCP_USER_TIMEOUT on Linux, which package syscall does not
// define.
const tcpUserTimeout = 18

// setUnackedTimeout makes the kernel close a connection whose data is not
// acknowledged in time. A connection to a dead machine would otherwise hang for
// minutes.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}

// hasUnread reports whether bytes have arrived that no response took.
func (c *connection) hasUnread() bool { return c.reader.Buffered() > 0 || c.IsMalformed() }

// isReusable reports whether an idle connection is open and has no data to read.
// Data that arrives between two requests belongs to neither.
func (c *connection) isReusable() bool {
	if c.hasUnread() {
		connectionsUnclean.Inc()
		return false
	}
	raw, err := c.SyscallConn()
	if errors.Is(err, errors.ErrUnsupported) {
		return true
	}
	if err != nil {
		return false
	}
	var buffer [1]byte
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil || !errors.Is(peekErr, syscall.EAGAIN) {
		connectionsUnclean.Inc()
		return false
	}
	return true
}
