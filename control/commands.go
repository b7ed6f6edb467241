package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/coord/budget"
	"github.com/jacinthplank/jacinthplank/coord/once"
	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/coord/state"
	"github.com/jacinthplank/jacinthplank/distribution"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Change is a configuration that an operator wants accepted.
type Change struct {
	ID            string        // identifier, the same on each resend
	Base          fleet.Version // version that the author started from
	Epoch         uint64        // at least this epoch; 0 for the present one
	Author        string
	Configuration *fleet.Configuration // its Version has no part in it
}

// Accept replaces the configuration. The answer's verdict tells a conflict from
// an acceptance; the error only that no verdict was reached. After an error in
// state Unknown the same change may be sent again.
func (c *Client) Accept(ctx context.Context, change Change) (revision.Answer, error) {
	document, err := distribution.Document(change.Configuration)
	if err != nil {
		return revision.Answer{}, outcome.Fail(outcome.CodeInvalidRequest, outcome.NotRun, "control.accept", err)
	}
	r, err := c.propose(ctx, state.Command{Accept: &revision.Change{
		ID: change.ID, Base: revision.Version(change.Base), Epoch: change.Epoch,
		Author: change.Author, Document: document,
	}})
	if err != nil {
		return revision.Answer{}, err
	}
	return *r.Accept, nil
}

// Claim asks for the right to make one call. The same claim may be sent again.
func (c *Client) Claim(ctx context.Context, claim once.Claim) (once.Answer, error) {
	r, err := c.propose(ctx, state.Command{Claim: &claim})
	if err != nil {
		return once.Answer{}, err
	}
	return *r.Claim, nil
}

// Record notes the outcome of a claim. The same outcome may be sent again.
func (c *Client) Record(ctx context.Context, o once.Outcome) (once.Answer, error) {
	r, err := c.propose(ctx, state.Command{Record: &o})
	if err != nil {
		return once.Answer{}, err
	}
	return *r.Record, nil
}

// NextFence returns a fencing number for target above all before it. After an
// error a number may be lost.
func (c *Client) NextFence(ctx context.Context, target string) (uint64, error) {
	r, err := c.propose(ctx, state.Command{Fence: &state.NextFence{Target: target}})
	return r.Fence, err
}

// HighestFence returns the last fencing number given for target, 0 for none.
func (c *Client) HighestFence(ctx context.Context, target string) (uint64, error) {
	a, err := c.query(ctx, state.Query{Fence: &state.NextFence{Target: target}})
	return a.Fence, err
}

// LeaseBudget makes or renews leases. The time of a lease counts from before
// the call.
func (c *Client) LeaseBudget(ctx context.Context, requests ...budget.Request) ([]budget.Grant, error) {
	r, err := c.propose(ctx, state.Command{Lease: &state.Lease{Requests: requests}})
	return r.Lease, err
}

// Draw takes amounts out of streams. After an error an amount may be lost.
func (c *Client) Draw(ctx context.Context, draws ...budget.Draw) ([]budget.Grant, error) {
	r, err := c.propose(ctx, state.Command{Draw: &state.Draw{Draws: draws}})
	return r.Draw, err
}

// Configuration returns what a reader at version have lacks, from the leader.
func (c *Client) Configuration(ctx context.Context, have fleet.Version) (revision.Update, error) {
	a, err := c.query(ctx, state.Query{Configuration: &state.ConfigurationAfter{Have: revision.Version(have)}})
	if err != nil {
		return revision.Update{}, err
	}
	return *a.Configuration, nil
}

// OnceRecord returns the record of a key, nil when there is none.
func (c *Client) OnceRecord(ctx context.Context, key once.Key) (*once.Record, error) {
	a, err := c.query(ctx, state.Query{Once: &key})
	return a.Once, err
}

// ChangeMember changes the members of the quorum. It may take a minute while a
// new member is caught up, and may be sent again after an error.
func (c *Client) ChangeMember(ctx context.Context, change *pb.ChangeMemberRequest) error {
	_, err := c.call(ctx, changeTimeout, func(ctx context.Context, client jacinthplankv1connect.ControlServiceClient) (reply, error) {
		r, err := client.ChangeMember(ctx, connect.NewRequest(change))
		if err != nil {
			return reply{}, err
		}
		return reply{nil, r.Msg.GetFailure(), r.Msg.GetLeaderAddress()}, nil
	})
	return err
}

// MemberStatus is what one control member says of itself.
type MemberStatus struct {
	Address string
	Name    string
	Disk    string
	Quorum  *pb.QuorumStatus
	Err     error // why it did not answer
}

// Status asks every member. Members that don't answer have Err set.
func (c *Client) Status(ctx context.Context) []MemberStatus {
	var all []MemberStatus
	for _, address := range c.options.Members() {
		all = append(all, c.memberStatus(ctx, address))
	}
	return all
}

func (c *Client) memberStatus(ctx context.Context, address string) MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	r, err := c.client(address).Identify(ctx, connect.NewRequest(&pb.IdentifyRequest{}))
	if err != nil {
		return MemberStatus{Address: address, Err: err}
	}
	return MemberStatus{Address: address, Name: r.Msg.GetName(), Disk: r.Msg.GetDisk(), Quorum: r.Msg.GetStatus()}
}

// Bounds of outcomes that are recorded late.
const (
	lateTime  = 15 * time.Minute
	latePause = time.Second
)

// recordLate keeps an outcome for Serve to record.
func (c *Client) recordLate(o once.Outcome) {
	c.late.Put(lateOutcome{outcome: o, until: time.Now().Add(lateTime)})
}

// Name implements supervise.Duty.
func (c *Client) Name() string { return "control client" }

// Serve implements supervise.Duty. It records the outcomes that found no quorum.
func (c *Client) Serve(ctx context.Context) error {
	for {
		l, ok := c.late.Get(ctx)
		if !ok {
			return ctx.Err()
		}
		if _, err := c.Record(ctx, l.outcome); err == nil {
			lateRecord.Inc()
			continue
		}
		if time.Now().Before(l.until) {
			c.late.Put(l)
		}
		select {
		case <-ctx.Done():
		case <-time.After(latePause):
		}
	}
}
