// Package response makes a client's connection strict about the responses on it. Whoever reads
// them, such as net/http, gets an error where a lenient reader would take bytes that are no
// response for one, or the part of a response that arrived before a reset for the whole.
package response

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/VictoriaMetrics/metrics"
)

var (
	malformedTotal = metrics.NewCounter("jacinthplank_response_malformed_total")
	resetTotal     = metrics.NewCounter("jacinthplank_response_reset_while_sending_total")
)

// errReset is returned in place of io.EOF.
var errReset = errors.New("connection was reset while the request was being sent")

// Conn is a client's connection for HTTP/1.1 requests, one after the other. Read returns an
// error at the first byte that can't belong to a response.
type Conn struct {
	net.Conn

	// checker is used by the reader alone; ExpectMethod is called while nothing is read.
	checker  checker
	checkErr error
	failed   atomic.Bool // checkErr is set

	writing  sync.Mutex // held during a write
	writeErr error
}

// NewConn returns a strict connection on another one.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Dial is a function that opens connections, as http.Transport uses it.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Strict returns a function that opens strict connections.
func (d Dial) Strict() Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// ExpectMethod tells the method of the next request, of which a response to HEAD depends. It
// isn't needed where no request is a HEAD.
func (c *Conn) ExpectMethod(method string) { c.checker.toHEAD = method == "HEAD" }

// IsMalformed reports whether bytes have arrived that are no response. They may still wait to be
// read.
func (c *Conn) IsMalformed() bool { return c.failed.Load() }

// Read implements net.Conn. It returns io.EOF only if the peer closed the connection.
func (c *Conn) Read(p []byte) (int, error) {
	if c.checkErr != nil {
		return 0, c.checkErr
	}
	n, err := c.Conn.Read(p)
	valid, checkErr := c.checker.check(p[:n])
	if checkErr != nil {
		malformedTotal.Inc()
		c.checkErr = checkErr
		c.failed.Store(true)
		if valid == 0 {
			return 0, checkErr
		}
		return valid, nil
	}
	if errors.Is(err, io.EOF) {
		err = c.endOfRead()
	}
	return n, err
}

// endOfRead tells the end of a connection from its reset. The kernel reports a reset once, to
// the call that comes first; if that is a write, reads see a plain end.
func (c *Conn) endOfRead() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil {
		return io.EOF
	}
	resetTotal.Inc()
	return errors.Join(errReset, c.writeErr)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
