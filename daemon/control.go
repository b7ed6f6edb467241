package daemon

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/control"
)

// fenceRetryInterval is the time between attempts to query the fencing number.
const fenceRetryInterval = 500 * time.Millisecond

// provisionControl starts this daemon's quorum member.
func (d *Daemon) provisionControl() error {
	member, err := control.Start(control.Options{
		Name:    d.settings.Instance.Name,
		Address: d.address,
		Members: d.settings.Control.Members,
		Folder:  d.settings.Control.DataFolder,
		HTTP:    d.network.Client(),
		URL:     d.network.URL,
		Store:   d.store,
		Gossip:  d.distribution,
		Events:  d.recorder,
		Log:     d.log,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	d.control = member
	return nil
}

// provisionControlClient creates the client that the duties use to reach the
// quorum.
func (d *Daemon) provisionControlClient() {
	d.quorum = control.NewClient(control.ClientOptions{
		Members: d.addresses.controlAddresses,
		HTTP:    d.network.Client(),
		URL:     d.network.URL,
	})
}

// fencingDuty queries, after a start, the highest fencing number issued for the
// local endpoint. Until then the agent forwards no orders to the engine.
type fencingDuty struct {
	daemon *Daemon
}

// Name implements supervise.Duty.
func (f fencingDuty) Name() string { return "fencing" }

// Serve implements supervise.Duty.
func (f fencingDuty) Serve(ctx context.Context) error {
	for {
		fence, err := f.daemon.quorum.HighestFence(ctx, f.daemon.settings.Instance.Name)
		if err == nil {
			f.daemon.endpoint.agent.RaiseFence(fence)
			break
		}
		sleep(ctx, fenceRetryInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	<-ctx.Done()
	return ctx.Err()
}
