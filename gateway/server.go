package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/supervise"
)

// server runs an HTTP server as a duty.
type server struct {
	name        string
	server      *http.Server
	listener    net.Listener
	connections drain.Connections
}

// newServer returns a duty that serves l and can be drained.
func newServer(name string, s *http.Server, l net.Listener) *server {
	out := &server{name: name, server: s, listener: l}
	next := s.Handler
	s.ConnState = out.connections.ConnState
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		out.connections.MarkResponse(w.Header())
		next.ServeHTTP(w, r)
	})
	return out
}

// Name implements supervise.Duty.
func (s *server) Name() string { return s.name }

// Serve implements supervise.Duty.
func (s *server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// The process is exiting. Where requests have to be answered, drain was called.
		_ = s.server.Close()
	})
	defer stop()
	err := s.server.Serve(s.connections.Listener(s.listener))
	if s.connections.Draining() {
		return supervise.ErrDone
	}
	return err
}

// drain accepts no new connections and waits until the open ones have ended. Those that
// are left at the limit are closed.
func (s *server) drain(limit time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	s.connections.Drain(ctx, time.Time{}, keptGrace)
	_ = s.server.Close() // the process is exiting
}

// keptGrace is how long a connection between processes is kept after a response that did
// not say that it ends.
var keptGrace = drain.Grace{New: 50 * time.Millisecond, Kept: 50 * time.Millisecond}
