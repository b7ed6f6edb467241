package drain

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// goAwayTimeout is the time that HTTP/2 connections without a stream get to end.
	// net/http closes them 1 s after the client was told.
	goAwayTimeout = 2 * time.Second
)

// serverGrace is how long the connections of a Server are kept without a request.
var serverGrace = Grace{New: 500 * time.Millisecond, Kept: 100 * time.Millisecond}

// Server is an http.Server whose shutdown loses no request. HTTP/1 connections are
// drained by this package; HTTP/2 connections end with net/http's GOAWAY, after which
// a client may repeat what was not read. It serves one listener, with or without TLS;
// HTTP/1 over TLS is not drained.
type Server struct {
	http        *http.Server
	connections Connections

	mu      sync.Mutex
	closing bool
	served  chan struct{}         // closed when Serve no longer accepts connections
	opening map[net.Conn]struct{} // connections with TLS that are not open yet
	streams map[net.Conn]struct{} // HTTP/2 connections with open streams
	http2   map[net.Conn]*http2Conn
}

// http2Conn is the state of an HTTP/2 connection.
type http2Conn struct {
	openedAt   time.Time
	wasIdle    bool // the preface has been read
	hasRequest bool // a first stream was opened
}

// awaitsRequest reports whether the first request may still be on its way. A GOAWAY would
// make its client repeat it elsewhere, where it may find no server.
func (c *http2Conn) awaitsRequest(now time.Time) bool {
	return !c.hasRequest && now.Sub(c.openedAt) < serverGrace.New
}

// NewServer returns a server with the settings of s, which is not used otherwise and
// has no connection hooks.
func NewServer(s *http.Server) *Server {
	d := &Server{http: s, opening: map[net.Conn]struct{}{}, streams: map[net.Conn]struct{}{}, http2: map[net.Conn]*http2Conn{}}
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		marked := &responseWriter{ResponseWriter: w, connections: &d.connections}
		handler.ServeHTTP(marked, r)
		marked.mark() // of a response without a body
	})
	s.ConnState = d.connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if server, ok := c.(*serverConn); ok {
			c = server.Conn
		}
		return d.connections.ConnContext(ctx, c)
	}
	return d
}

// Serve accepts connections until the server is shut down or closed. It then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	served := make(chan struct{})
	s.mu.Lock()
	if s.closing {
		s.mu.Unlock()
		_ = l.Close() // nothing has been accepted from it
		return http.ErrServerClosed
	}
	s.served = served
	tracked := &serverListener{s.connections.Listener(l)}
	s.mu.Unlock()
	defer close(served)
	err := s.http.Serve(tracked)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return http.ErrServerClosed
	}
	return err
}

// StartDrain makes each connection end with its next response.
func (s *Server) StartDrain() { s.connections.Start() }

// Shutdown closes the listener, serves the requests that have begun to arrive and ends
// each connection that carries none. Connections that are left when ctx ends are cut.
// It returns once no connection is left.
func (s *Server) Shutdown(ctx context.Context) {
	s.mu.Lock()
	s.closing = true
	served := s.served
	s.mu.Unlock()
	s.connections.Drain(ctx, time.Now(), serverGrace)
	if served != nil {
		<-served
	}
	s.await(ctx, s.isOpening)
	s.await(ctx, s.awaitsFirstRequest)
	// Every HTTP/2 connection is known to the http.Server by now, so that it tells
	// each of them.
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = s.http.Shutdown(ctx) // what is left at its end is closed below
	}()
	s.awaitStreams(stopped)
	s.Close()
}

// isOpening reports whether a connection with TLS is being opened. The http.Server's
// ReadHeaderTimeout limits the time that this takes.
func (s *Server) isOpening() bool { return s.count(s.opening) > 0 }

// awaitsFirstRequest reports whether the first request of an HTTP/2 connection may still
// be on its way.
func (s *Server) awaitsFirstRequest() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, c := range s.http2 {
		if c.awaitsRequest(now) {
			return true
		}
	}
	return false
}

// await returns when a condition no longer holds or ctx has ended.
func (s *Server) await(ctx context.Context, condition func() bool) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for condition() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// awaitStreams returns when stopped is closed or no HTTP/2 connection has had a stream
// for goAwayTimeout. The client of a connection that is left then doesn't read.
func (s *Server) awaitStreams(stopped <-chan struct{}) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	idleSince := time.Now()
	for time.Since(idleSince) < goAwayTimeout {
		select {
		case <-stopped:
			return
		case <-ticker.C:
		}
		if s.count(s.streams) > 0 {
			idleSince = time.Now()
		}
	}
}

func (s *Server) count(conns map[net.Conn]struct{}) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(conns)
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	_ = s.http.Close() // its error has no consequence: nothing is accepted any more
}

// connState is the http.Server's ConnState.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	if server, ok := c.(*serverConn); ok {
		if !server.isHTTP2() {
			s.connections.ConnState(server.Conn, state)
			return
		}
		// The first state is set after the connection was added to those that
		// http.Server.Shutdown tells.
		s.connections.remove(server.Conn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.opening, c)
	delete(s.streams, c)
	switch state {
	case http.StateNew:
		s.opening[c] = struct{}{}
	case http.StateActive:
		s.streams[c] = struct{}{}
		s.http2Conn(c).hasRequest = s.http2Conn(c).wasIdle // the first time it only has the preface
	case http.StateIdle:
		s.http2Conn(c).wasIdle = true
	default: // hijacked or closed
		delete(s.http2, c)
	}
}

// http2Conn returns the state of a connection. The caller holds the lock.
func (s *Server) http2Conn(c net.Conn) *http2Conn {
	state := s.http2[c]
	if state == nil {
		state = &http2Conn{openedAt: time.Now()}
		s.http2[c] = state
	}
	return state
}

// serverListener makes each tracked connection tell its protocol.
type serverListener struct{ net.Listener }

// Accept implements net.Listener.
func (l *serverListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tracked, ok := c.(*Conn); ok {
		return &serverConn{Conn: tracked}, nil
	}
	return c, err
}

// http2Preface begins each HTTP/2 connection.
const http2Preface = "PRI * HTTP/2.0\r\n"

// serverConn is a tracked connection that tells whether its client speaks HTTP/2. Its
// methods are called by one goroutine at a time.
type serverConn struct {
	*Conn
	start string // the first bytes read, up to the length of http2Preface
}

// Read implements net.Conn.
func (c *serverConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if missing := len(http2Preface) - len(c.start); missing > 0 && n > 0 {
		c.start += string(p[:min(n, missing)])
	}
	return n, err
}

func (c *serverConn) isHTTP2() bool { return c.start == http2Preface }

// responseWriter marks a response before its headers are written.
type responseWriter struct {
	http.ResponseWriter
	connections *Connections
	marked      bool
}

func (w *responseWriter) mark() {
	if !w.marked {
		w.marked = true
		w.connections.MarkResponse(w.Header())
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(status int) {
	if status >= http.StatusOK || status == http.StatusSwitchingProtocols {
		w.mark()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.mark()
	return w.ResponseWriter.Write(p)
}

// Flush implements http.Flusher.
func (w *responseWriter) Flush() {
	_ = w.FlushError() // http.Flusher can't report it; the next write does
}

// FlushError flushes for http.ResponseController.
func (w *responseWriter) FlushError() error {
	w.mark()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
