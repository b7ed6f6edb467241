package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/supervise"
)

// listenerDuty serves one listener until its server is shut down.
type listenerDuty struct {
	name     string
	server   *drain.Server
	listener net.Listener
}

// Name implements supervise.Duty.
func (l *listenerDuty) Name() string { return l.name }

// Serve implements supervise.Duty.
func (l *listenerDuty) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, l.server.Close)
	defer stop()
	err := l.server.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return supervise.ErrDone
	}
	return err
}
