package forward

import (
	"errors"
	"syscall"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of the Linux headers, which package syscall
// lacks.
const tcpUserTimeout = 18

// setUnackedTimeout makes the kernel give up a connection whose data is not
// acknowledged: one to a machine that is gone would hang for minutes.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// isQuiet reports whether a kept connection is open and has nothing to read.
// What arrives between two requests belongs to none.
func (c *connection) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		dirty.Inc()
		return false
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		_, _, peeked = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil || !errors.Is(peeked, syscall.EAGAIN) {
		dirty.Inc()
		return false
	}
	return true
}
