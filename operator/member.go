package operator

import (
	"context"
	"fmt"
	"net/netip"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/outcome"
)

func (c *memberCommand) run(context.Context, Terminal) error {
	return exitWith(ExitBadInput, "missing subcommand: expected add, remove or replace")
}

func (c *memberAddCommand) run(ctx context.Context, t Terminal) error {
	return changeMember(ctx, t, &c.fleetOptions, &pb.ChangeMemberRequest{
		Kind: pb.ChangeMemberRequest_KIND_ADD, Name: c.Name, Address: c.Address,
	})
}

func (c *memberRemoveCommand) run(ctx context.Context, t Terminal) error {
	return changeMember(ctx, t, &c.fleetOptions, &pb.ChangeMemberRequest{
		Kind: pb.ChangeMemberRequest_KIND_REMOVE, Name: c.Name,
	})
}

func (c *memberReplaceCommand) run(ctx context.Context, t Terminal) error {
	return changeMember(ctx, t, &c.fleetOptions, &pb.ChangeMemberRequest{
		Kind: pb.ChangeMemberRequest_KIND_REPLACE, Name: c.Name, Address: c.Address, Replaces: c.Lost,
	})
}

func changeMember(ctx context.Context, t Terminal, options *fleetOptions, change *pb.ChangeMemberRequest) error {
	if change.GetAddress() != "" {
		if _, err := netip.ParseAddrPort(change.GetAddress()); err != nil {
			return exitWith(ExitBadInput, "found %q; expected an address such as 10.1.0.4:7400", change.GetAddress())
		}
	}
	client, err := options.dial()
	if err != nil {
		return err
	}
	if err := client.changeMember(ctx, change); err != nil {
		if outcome.StateOf(err) == outcome.Unknown {
			fmt.Fprintln(t.Err, "It is unknown whether the change was made. Run the same command again: completed steps are not repeated.")
		}
		return err
	}
	fmt.Fprintln(t.Out, "Done. `jacinthplank status` shows the voters of the control quorum.")
	return nil
}
