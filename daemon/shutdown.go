package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Times of a graceful shutdown.
const (
	leaveTimeout  = 2 * time.Second        // to tell the partners
	drainPoll     = 20 * time.Millisecond  // between two looks at what still runs
	longestDrain  = 24 * time.Hour         // no request has a later deadline
	closeTimeout  = 2 * time.Second        // for connections without requests
	streamsLinger = 200 * time.Millisecond // for last frames to leave
)

// shutDown ends the daemon without cutting a request: not ready first, then the
// balancer's delay, then no new connections, then what runs to its own end.
func (d *Daemon) shutDown(server *http.Server) {
	d.recorder.Record(timeline.Event{Kind: timeline.KindShutdown})
	d.log.Info("shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), longestDrain)
	defer cancel()
	d.drain(ctx)
	if d.entry != nil {
		d.stopEntry(ctx)
	}
	if d.endpoint != nil {
		d.awaitEndpoint(ctx)
	}
	d.leave(ctx)
	closeServer(ctx, server, func() int { return 0 })
	if d.control != nil {
		d.control.Stop()
	}
	d.log.Info("stopped")
}

// stopEntry waits until the balancer sends nothing more, then until the last
// answer is written.
func (d *Daemon) stopEntry(ctx context.Context) {
	sleep(ctx, d.settings.Entry.BalancerDelay.D())
	closeServer(ctx, d.entry.server, d.entry.api.Running)
}

// closeServer takes no new connections, waits for the requests in progress and
// closes what is left. The HTTP library may never tell a connection that was
// made in the same moment, and would wait for it until it is idle for long.
func closeServer(ctx context.Context, server *http.Server, running func() int) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_ = server.Shutdown(ctx)
	}()
	for running() > 0 && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
		_ = server.Close()
	}
}

func (d *Daemon) awaitEndpoint(ctx context.Context) {
	for !d.endpoint.drained() && ctx.Err() == nil {
		sleep(ctx, drainPoll)
	}
	sleep(ctx, streamsLinger)
}

func (d *Daemon) gossipLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.gossip.SetState(ctx, membership.Leaving)
}

// leave says good-bye to the partners.
func (d *Daemon) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.gossip.SetState(ctx, membership.Left)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
