package forward

import (
	"errors"
	"net"
	"net/http"
)

// Limits on what an endpoint may send where the head of a response is due.
const (
	maxHeadBytes    = 64 << 10 // of all heads of an exchange, including informational ones
	maxSkippedBytes = 1 << 20  // in bodies of responses to other requests
)

var (
	errHeadTooLong    = errors.New("response heads exceed the maximum size")
	errSkippedTooLong = errors.New("responses to other requests exceed the maximum size")
)

// headLimiter is a connection that limits what is read while a head is awaited.
type headLimiter struct {
	net.Conn
	isLimited bool
	left      int // bytes; valid if isLimited
}

// Read implements net.Conn.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.isLimited {
		return l.Conn.Read(p)
	}
	if l.left == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.Conn.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// readHead reads the head of a response, with the limit of maxHeadBytes for all heads of
// the exchange. What of a body arrives with the head counts as well.
func (x *exchange) readHead() (*http.Response, error) {
	limiter := x.conn.limiter
	limiter.isLimited = true
	defer func() { limiter.isLimited = false }()
	return http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
}
