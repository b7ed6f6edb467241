// Package drain ends the HTTP/1 connections of a server without losing a request.
//
// The functions of net/http for this, Server.Shutdown and SetKeepAlivesEnabled, close a
// connection as idle until the head of its next request has been read completely. A
// request that is read at that moment is handled on a closed connection. This package
// closes a connection only if no byte of a request has reached the machine. A request
// that is still on its way then is not read, so its caller may repeat it. The exception is
// a pipelined request of which a part came with the request before it: it counts as begun
// only when more of it arrives.
package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var idleClosed = metrics.NewCounter("jacinthplank_drain_idle_connections_closed_total")

const (
	pollInterval = 20 * time.Millisecond // between two looks for idle connections
	// stalledTimeout is the time after which a request that has arrived in part is
	// given up.
	stalledTimeout = 3 * time.Second
)

// Grace is how long a connection without a request is kept while its caller may be
// sending one.
type Grace struct {
	New  time.Duration // after it was accepted
	Kept time.Duration // after its last response, which did not say that it ends
}

// Connections are the open connections of a server. The zero value has none. It is safe
// for concurrent use.
type Connections struct {
	draining atomic.Bool

	mu        sync.Mutex
	open      map[*Conn]struct{}
	listeners []*listener
}

// track adds an accepted connection. It returns the connection to serve.
func (s *Connections) track(c net.Conn) (net.Conn, error) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil // not drained
	}
	tracked, err := newConn(tcp, time.Now(), s.remove)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = map[*Conn]struct{}{}
	}
	s.open[tracked] = struct{}{}
	return tracked, nil
}

func (s *Connections) remove(c *Conn) {
	s.mu.Lock()
	delete(s.open, c)
	s.mu.Unlock()
}

// Count returns the number of open connections.
func (s *Connections) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// ConnState is the server's http.Server.ConnState.
func (s *Connections) ConnState(c net.Conn, state http.ConnState) {
	if tracked, ok := c.(*Conn); ok {
		tracked.setState(state, time.Now())
	}
}

// ConnContext is the server's http.Server.ConnContext.
func (s *Connections) ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

type connKey struct{}

// ClosedHere reports whether this process has closed the connection of a request that is
// still being handled.
func ClosedHere(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*Conn)
	return ok && c.IsClosed()
}

// MarkResponse tells the caller, in the headers of a response, that the connection ends
// with it if the server drains.
func (s *Connections) MarkResponse(h http.Header) {
	if s.Draining() {
		h.Set("Connection", "close")
	}
}

// Start makes MarkResponse end each connection with its next response. A caller that is
// told so opens another connection in good time.
func (s *Connections) Start() { s.draining.Store(true) }

// Draining reports whether Start was called.
func (s *Connections) Draining() bool { return s.draining.Load() }

// Drain closes each connection as soon as it is idle, and the listeners once there is
// none left or at acceptUntil. It returns the number of connections that are left,
// either 0 or those open when ctx ended.
func (s *Connections) Drain(ctx context.Context, acceptUntil time.Time, g Grace) int {
	s.Start()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for accepting := true; ; {
		now := time.Now()
		s.closeIdle(now, g)
		ended := ctx.Err() != nil
		if accepting && (ended || s.Count() == 0 || !now.Before(acceptUntil)) {
			accepting = s.closeListeners(ended)
		}
		if left := s.Count(); ended || (!accepting && left == 0) {
			return left
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (s *Connections) closeIdle(now time.Time, g Grace) {
	s.mu.Lock()
	all := make([]*Conn, 0, len(s.open))
	for c := range s.open {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		c.closeIfIdle(now, g)
	}
}

// closeListeners closes the listeners unless connections wait to be accepted, which
// would be reset. It reports whether a listener is left open.
func (s *Connections) closeListeners(force bool) bool {
	s.mu.Lock()
	listeners := s.listeners
	s.listeners = nil
	s.mu.Unlock()
	var waiting []*listener
	for _, l := range listeners {
		if !force && l.hasBacklog() {
			waiting = append(waiting, l)
			continue
		}
		_ = l.Close() // its error has no consequence: nothing is accepted any more
	}
	s.mu.Lock()
	s.listeners = append(s.listeners, waiting...)
	s.mu.Unlock()
	return len(waiting) > 0
}
