package gateway

import (
	"cmp"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/route"
)

// Limits of heads and connections until a routing table tells others.
const (
	headerTimeout = 3 * time.Second  // for the head of a request
	idleTimeout   = 15 * time.Second // between two requests
	maxHeadBytes  = 16 << 10
)

// frontDoor serves callers. An http.Server has fixed limits, so a change of them
// brings another server for new connections; those that are open keep theirs.
type frontDoor struct {
	handler http.Handler

	mu      sync.Mutex
	current *boundServer
	servers map[route.HeaderLimits]*boundServer
}

// boundServer is one server with fixed limits and the connections that it is given.
type boundServer struct {
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
}

func newFrontDoor(handler http.Handler) *frontDoor {
	return &frontDoor{handler: handler, servers: map[route.HeaderLimits]*boundServer{}}
}

// serve gives the connections of a listener to the server with the limits in
// force, until the listener is closed.
func (d *frontDoor) serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		d.mu.Lock()
		b := d.current
		d.mu.Unlock()
		select {
		case b.conns <- conn:
		case <-b.closed:
			_ = conn.Close() // the process is about to end
		}
	}
}

// setLimits brings limits into force for new connections. Zero values stand for
// the usual ones.
func (d *frontDoor) setLimits(l route.HeaderLimits) {
	l.Bytes = cmp.Or(l.Bytes, maxHeadBytes)
	l.Timeout = cmp.Or(l.Timeout, headerTimeout)
	l.Idle = cmp.Or(l.Idle, idleTimeout)
	d.mu.Lock()
	defer d.mu.Unlock()
	b := d.servers[l]
	if b == nil {
		b = &boundServer{
			server: &http.Server{Handler: d.handler, ReadHeaderTimeout: l.Timeout, IdleTimeout: l.Idle, MaxHeaderBytes: l.Bytes},
			conns:  make(chan net.Conn), closed: make(chan struct{}),
		}
		d.servers[l] = b
		go func() { _ = b.server.Serve(b) }() // it ends with the process
	}
	d.current = b
}

// endKeepAlives closes connections between requests and after the next one.
func (d *frontDoor) endKeepAlives() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, b := range d.servers {
		b.server.SetKeepAlivesEnabled(false)
	}
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
