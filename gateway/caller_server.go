package gateway

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/route"
)

// Default header and connection limits, used unless the routing table sets others.
const (
	headerTimeout = 3 * time.Second  // to read the request headers
	idleTimeout   = 15 * time.Second // between two requests of a connection
	maxHeadBytes  = 16 << 10
)

// Pauses before another connection is accepted after a failure; they double up to the longest.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 250 * time.Millisecond // a fraction of the second that callers allow a connection
)

var acceptFailedTotal = metrics.NewCounter("jacinthplank_gateway_accept_failed_total")

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
// listener is closed. While the process lacks descriptors or memory for a connection it tries
// again; callers wait in the kernel's queue.
func (s *callerServer) serve(l net.Listener, log *slog.Logger) error {
	l = s.connections.Listener(l)
	pause := time.Duration(0)
	for {
		conn, err := l.Accept()
		if isShortage(err) {
			if acceptFailedTotal.Inc(); pause == 0 {
				log.Error("callers can't be accepted", "step", "gateway.accept", "error", err.Error())
			}
			pause = min(max(2*pause, minAcceptPause), maxAcceptPause)
			time.Sleep(pause)
			continue
		}
		if err != nil {
			return err
		}
		if pause > 0 {
			log.Info("callers are accepted again", "step", "gateway.accept")
			pause = 0
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

// isShortage reports whether a connection wasn't accepted for want of something that the process
// or the machine may have again, or since its caller had left.
func isShortage(err error) bool {
	for _, e := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
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
