package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/supervise"
)

// server runs an HTTP server as a duty.
type server struct {
	name     string
	server   *drain.Server
	listener net.Listener
}

// newServer returns a duty that serves l.
func newServer(name string, s *http.Server, l net.Listener) *server {
	return &server{name, drain.NewServer(s), l}
}

// Name implements supervise.Duty.
func (s *server) Name() string { return s.name }

// Serve implements supervise.Duty.
func (s *server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.server.Close)
	defer stop()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return supervise.ErrDone
	}
	return err
}

// drain accepts no new connections and waits until the open ones have ended. Those that
// are left at the limit are closed.
func (s *server) drain(limit time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), limit)
	defer cancel()
	s.server.Shutdown(ctx)
}
