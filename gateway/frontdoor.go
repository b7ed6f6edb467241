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
	current *room
	rooms   map[route.HeadLimits]*room
}

// room is one server with the connections that it is given.
type room struct {
	server *http.Server
	conns  chan net.Conn
	closed chan struct{}
}

func newFrontDoor(handler http.Handler) *frontDoor {
	return &frontDoor{handler: handler, rooms: map[route.HeadLimits]*room{}}
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
		r := d.current
		d.mu.Unlock()
		select {
		case r.conns <- conn:
		case <-r.closed:
			_ = conn.Close() // the process is about to end
		}
	}
}

// setLimits brings limits into force for new connections. Zero values stand for
// the usual ones.
func (d *frontDoor) setLimits(l route.HeadLimits) {
	l.Bytes = cmp.Or(l.Bytes, maxHeadBytes)
	l.Timeout = cmp.Or(l.Timeout, headerTimeout)
	l.Idle = cmp.Or(l.Idle, idleTimeout)
	d.mu.Lock()
	defer d.mu.Unlock()
	r := d.rooms[l]
	if r == nil {
		r = &room{
			server: &http.Server{Handler: d.handler, ReadHeaderTimeout: l.Timeout, IdleTimeout: l.Idle, MaxHeaderBytes: l.Bytes},
			conns:  make(chan net.Conn), closed: make(chan struct{}),
		}
		d.rooms[l] = r
		go func() { _ = r.server.Serve(r) }() // ends when the room is closed
	}
	d.current = r
}

// endKeepAlives closes connections between requests and after the next one.
func (d *frontDoor) endKeepAlives() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.rooms {
		r.server.SetKeepAlivesEnabled(false)
	}
}

// Accept implements net.Listener.
func (r *room) Accept() (net.Conn, error) {
	select {
	case conn := <-r.conns:
		return conn, nil
	case <-r.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It is called once, by the server.
func (r *room) Close() error {
	close(r.closed)
	return nil
}

// Addr implements net.Listener.
func (r *room) Addr() net.Addr { return &net.TCPAddr{} }
