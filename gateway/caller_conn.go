package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

var cutTotal = metrics.NewCounter("jacinthplank_gateway_cut_total")

// callerConn is a caller's connection. It remembers whether this process closed it.
type callerConn struct {
	*net.TCPConn
	closed atomic.Bool
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}

type callerConnKey struct{}

// withCallerConn is the http.Server's ConnContext: it makes the connection known to
// the requests that it carries.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// closedByEntry reports whether this process closed the connection of a request that
// is still running.
func closedByEntry(r *http.Request) bool {
	c, ok := r.Context().Value(callerConnKey{}).(*callerConn)
	return ok && c.closed.Load()
}
