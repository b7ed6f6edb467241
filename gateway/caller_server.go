package gateway

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/route"
)

// Default header and connection limits, used unless the routing table sets others.
const (
	headerTimeout = 3 * time.Second  // to read the request headers
	idleTimeout   = 15 * time.Second // between two requests of a connection
	maxHeadBytes  = 16 << 10
)

// callerServer serves callers. The limits of an http.Server are fixed, so a change of
// limits starts another server for new connections; open connections keep theirs.
type callerServer struct {
	handler     http.Handler
	connections drain.Connections

	mu      sync.Mutex
	current *boundServer
	servers map[route.HeaderLimits]*boundServer
}

// boundServer is a server with fixed limits that accepts connections from a channel.
type boundServer struct {
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
}

func newCallerServer(handler http.Handler) *callerServer {
	return &callerServer{handler: handler, servers: map[route.HeaderLimits]*boundServer{}}
}

// serve passes accepted connections to the server with the current limits until the
// listener is closed.
func (s *callerServer) serve(l net.Listener) error {
	l = s.connections.Listener(l)
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		s.mu.Lock()
		b := s.current
		s.mu.Unlock()
		select {
		case b.conns <- conn:
		case <-b.closed:
			_ = conn.Close() // the process is shutting down
		}
	}
}

// setLimits sets the limits for new connections. Zero values select the defaults.
func (s *callerServer) setLimits(l route.HeaderLimits) {
	l.Bytes = cmp.Or(l.Bytes, maxHeadBytes)
	l.Timeout = cmp.Or(l.Timeout, headerTimeout)
	l.Idle = cmp.Or(l.Idle, idleTimeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.servers[l]
	if b == nil {
		b = &boundServer{
			server: &http.Server{
				Handler: s.handler, ReadHeaderTimeout: l.Timeout, IdleTimeout: l.Idle, MaxHeaderBytes: l.Bytes,
				ConnState: s.connections.ConnState, ConnContext: s.connections.ConnContext,
			},
			conns: make(chan net.Conn), closed: make(chan struct{}),
		}
		s.servers[l] = b
		go func() { _ = b.server.Serve(b) }() // runs until the process exits
	}
	s.current = b
}

// Accept implements net.Listener.
func (b *boundServer) Accept() (net.Conn, error) {
	select {
	case conn := <-b.conns:
		return conn, nil
	case <-b.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It is called once, by the server.
func (b *boundServer) Close() error {
	close(b.closed)
	return nil
}

// Addr implements net.Listener.
func (b *boundServer) Addr() net.Addr { return &net.TCPAddr{} }
