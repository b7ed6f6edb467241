package drain

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a server's side of an HTTP/1 connection. It is closed as idle only if no byte
// of a request has reached this machine.
type Conn struct {
	*net.TCPConn
	raw     syscall.RawConn
	onClose func(*Conn)

	mu     sync.Mutex
	state  connState
	closed bool // by closeIfIdle or Close
}

// connState is what decides whether a connection is idle.
type connState struct {
	lastActivity time.Time // when it was accepted, data was read, or a response ended
	used         bool      // has carried a request
	waiting      bool      // a Read has found no data and blocks
	begun        bool      // a Read has returned data since the last response ended
	active       bool      // the server handles a request
}

// isIdle reports whether the connection carries no part of a request and none is
// expected. A Read has to be blocked: while none is, the server may hold data that it
// has not looked at.
func (s *connState) isIdle(now time.Time, g Grace) bool {
	if !s.waiting || s.active {
		return false
	}
	quiet := now.Sub(s.lastActivity)
	switch {
	case s.begun:
		return quiet >= stalledTimeout
	case !s.used:
		return quiet >= g.New
	default:
		return quiet >= g.Kept
	}
}

func (s *connState) accepted(now time.Time) { s.lastActivity = now }

func (s *connState) dataRead(now time.Time) { s.begun, s.lastActivity = true, now }

func (s *connState) requestRead() { s.active, s.used = true, true }

func (s *connState) responseEnded(now time.Time) {
	s.active, s.begun, s.lastActivity = false, false, now
}

func newConn(c *net.TCPConn, now time.Time, onClose func(*Conn)) (*Conn, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return nil, err
	}
	out := &Conn{TCPConn: c, raw: raw, onClose: onClose}
	out.state.accepted(now)
	return out, nil
}

// Read implements net.Conn. Data is taken from the socket under the lock, so that
// closeIfIdle sees either the data in the socket or the read in the state.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	n, readErr := 0, error(nil)
	err := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.state.waiting = false
		if c.closed {
			readErr = net.ErrClosed
			return true
		}
		n, readErr = readSocket(int(fd), p)
		c.state.waiting = errors.Is(readErr, syscall.EAGAIN)
		if n > 0 {
			c.state.dataRead(time.Now())
		}
		return !c.state.waiting
	})
	if err != nil { // closed, or past its read deadline
		c.mu.Lock()
		c.state.waiting = false
		c.mu.Unlock()
		return 0, c.readError(err)
	}
	if readErr != nil {
		return 0, c.readError(os.NewSyscallError("read", readErr))
	}
	if n == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// readError returns an error as that of TCPConn.Read, which net/http recognizes.
func (c *Conn) readError(err error) error {
	if op := (*net.OpError)(nil); errors.As(err, &op) {
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: err}
}

func readSocket(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return max(n, 0), err
		}
	}
}

// closeIfIdle closes the connection if it is idle and no data waits in its socket.
func (c *Conn) closeIfIdle(now time.Time, g Grace) {
	c.mu.Lock()
	idle := !c.closed && c.state.isIdle(now, g) && !c.hasData()
	c.closed = c.closed || idle
	c.mu.Unlock()
	if idle {
		idleClosed.Inc()
		c.finish()
	}
}

// hasData reports whether data waits in the socket. The caller holds the lock.
func (c *Conn) hasData() bool {
	n := 0
	err := c.raw.Control(func(fd uintptr) {
		var buffer [1]byte
		// An error means that there is no data, or never will be.
		n, _, _ = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.finish()
}

// IsClosed reports whether this process has closed the connection.
func (c *Conn) IsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *Conn) finish() error {
	c.onClose(c)
	return c.TCPConn.Close()
}

// setState follows the server's view of the connection.
func (c *Conn) setState(s http.ConnState, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch s {
	case http.StateActive:
		c.state.requestRead()
	case http.StateIdle:
		c.state.responseEnded(now)
	default: // new, hijacked or closed: nothing to decide
	}
}
