package daemon

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/control"
)

// fencePause is the time between tries to learn the fencing number.
const fencePause = 500 * time.Millisecond

// provisionControl starts this daemon's member of the quorum.
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

// provisionControlClient makes the client by which the duties reach the quorum.
func (d *Daemon) provisionControlClient() {
	d.quorum = control.NewClient(control.ClientOptions{
		Members: d.book.controls,
		HTTP:    d.network.Client(),
		URL:     d.network.URL,
	})
}

// fencing is the duty that learns, after a start, the highest fencing number
// that was given for the endpoint here. Until then its agent passes no order on.
type fencing struct {
	daemon *Daemon
}

// Name implements supervise.Duty.
func (f fencing) Name() string { return "fencing" }

// Serve implements supervise.Duty.
func (f fencing) Serve(ctx context.Context) error {
	for {
		fence, err := f.daemon.quorum.HighestFence(ctx, f.daemon.settings.Instance.Name)
		if err == nil {
			f.daemon.endpoint.agent.Learn(fence)
			break
		}
		sleep(ctx, fencePause)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	<-ctx.Done()
	return ctx.Err()
}
