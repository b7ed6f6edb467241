package operator

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

func (c *drainCommand) run(ctx context.Context, t Terminal) error {
	client, err := c.dial()
	if err != nil {
		return err
	}
	daemon, err := client.find(ctx, c.Daemon)
	if err != nil {
		return err
	}
	start := time.Now()
	reported := int64(-1)
	for {
		running, err := client.drain(ctx, daemon)
		if err != nil {
			return exitWith(ExitUnreachable, "%s could not be asked: %w", c.Daemon, err)
		}
		if running == 0 {
			fmt.Fprintf(t.Out, "%s takes no new work and has nothing running. It can be stopped.\n", c.Daemon)
			return nil
		}
		if running != reported {
			fmt.Fprintf(t.Out, "%s takes no new work; %d still running.\n", c.Daemon, running)
			reported = running
		}
		if time.Since(start) > c.Wait {
			return exitWith(ExitIncomplete, "%s still has %d running after %s. It takes no new work; run the command again to keep waiting", c.Daemon, running, c.Wait)
		}
		if err := sleep(ctx, time.Second); err != nil {
			return exitWith(ExitIncomplete, "The wait was interrupted. %s continues to drain", c.Daemon)
		}
	}
}

// drain tells a daemon to take no new work and returns the number still running. It
// is idempotent.
func (f *fleetClient) drain(ctx context.Context, m member) (running int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	answer, err := f.peer(m.address).Drain(ctx, connect.NewRequest(&pb.DrainRequest{}))
	if err != nil {
		return 0, err
	}
	return answer.Msg.GetRunning(), nil
}
