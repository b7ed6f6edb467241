package daemon

import (
	"context"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Timeouts and intervals of a graceful shutdown.
const (
	leaveTimeout      = 2 * time.Second        // for announcing the state to gossip partners
	drainPollInterval = 20 * time.Millisecond  // between checks for running attempts
	maxDrainTime      = 24 * time.Hour         // no request has a longer deadline
	peerDrainTimeout  = 5 * time.Second        // for other processes' calls, which one that is frozen never ends
	streamFlushDelay  = 200 * time.Millisecond // for sending the last frames
)

// shutDown stops the daemon without interrupting a request: it reports not ready,
// waits out the load balancer's delay, closes the listeners and waits for running
// requests to finish.
func (d *Daemon) shutDown(peers *drain.Server) {
	d.recorder.Record(timeline.Event{Kind: timeline.KindShutdown})
	d.log.Info("shutting down")
	ctx, cancel := context.WithTimeout(context.Background(), maxDrainTime)
	defer cancel()
	d.drain(ctx)
	if d.entry != nil {
		d.stopEntry(ctx)
	}
	if d.endpoint != nil {
		d.waitForEndpoint(ctx)
	}
	d.announceLeft(ctx)
	shutDownPeers(ctx, peers)
	if d.control != nil {
		d.control.Stop()
	}
	d.log.Info("stopped")
}

// stopEntry waits until the load balancer has stopped sending requests, then until
// the last response is written.
func (d *Daemon) stopEntry(ctx context.Context) {
	sleep(ctx, d.settings.Entry.BalancerDelay.D())
	d.entry.server.Shutdown(ctx)
}

func shutDownPeers(ctx context.Context, peers *drain.Server) {
	ctx, cancel := context.WithTimeout(ctx, peerDrainTimeout)
	defer cancel()
	peers.Shutdown(ctx)
}

func (d *Daemon) waitForEndpoint(ctx context.Context) {
	for !d.endpoint.drained() && ctx.Err() == nil {
		sleep(ctx, drainPollInterval)
	}
	sleep(ctx, streamFlushDelay)
}

func (d *Daemon) announceLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	d.gossip.SetState(ctx, membership.Leaving)
}

// announceLeft tells the gossip partners that this member has left.
func (d *Daemon) announceLeft(ctx context.Context) {
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
