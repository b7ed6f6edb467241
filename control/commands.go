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

// Change is a configuration proposed by an operator.
type Change struct {
	ID            string        // identifier, unchanged when resent
	Base          fleet.Version // version that the change is based on
	Epoch         uint64        // minimum epoch; 0 for the current one
	Author        string
	Configuration *fleet.Configuration // its Version is ignored
}

// Accept replaces the configuration. The verdict of the answer distinguishes
// acceptance from a conflict; an error means that no verdict was reached. After an
// error in state Unknown the same change may be resent.
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

// Claim requests the right to make one call. The same claim may be resent.
func (c *Client) Claim(ctx context.Context, claim once.Claim) (once.Answer, error) {
	r, err := c.propose(ctx, state.Command{Claim: &claim})
	if err != nil {
		return once.Answer{}, err
	}
	return *r.Claim, nil
}

// Record stores the outcome of a claim. The same outcome may be resent.
func (c *Client) Record(ctx context.Context, o once.Outcome) (once.Answer, error) {
	r, err := c.propose(ctx, state.Command{Record: &o})
	if err != nil {
		return once.Answer{}, err
	}
	return *r.Record, nil
}

// NextFence returns a fencing number for target that is higher than all previous
// ones. A failed call may skip a number.
func (c *Client) NextFence(ctx context.Context, target string) (uint64, error) {
	r, err := c.propose(ctx, state.Command{Fence: &state.NextFence{Target: target}})
	return r.Fence, err
}

// HighestFence returns the last fencing number issued for target, or 0 if there
// is none.
func (c *Client) HighestFence(ctx context.Context, target string) (uint64, error) {
	a, err := c.query(ctx, state.Query{Fence: &state.NextFence{Target: target}})
	return a.Fence, err
}

// LeaseBudget creates or renews leases. The lease time starts when the call is
// sent, not when it returns.
func (c *Client) LeaseBudget(ctx context.Context, requests ...budget.Request) ([]budget.Grant, error) {
	r, err := c.propose(ctx, state.Command{Lease: &state.Lease{Requests: requests}})
	return r.Lease, err
}

// Draw takes amounts out of streams. A failed call may consume an amount.
func (c *Client) Draw(ctx context.Context, draws ...budget.Draw) ([]budget.Grant, error) {
	r, err := c.propose(ctx, state.Command{Draw: &state.Draw{Draws: draws}})
	return r.Draw, err
}

// Configuration returns the update from version have to the leader's version.
func (c *Client) Configuration(ctx context.Context, have fleet.Version) (revision.Update, error) {
	a, err := c.query(ctx, state.Query{Configuration: &state.ConfigurationAfter{Have: revision.Version(have)}})
	if err != nil {
		return revision.Update{}, err
	}
	return *a.Configuration, nil
}

// OnceRecord returns the record of a key, or nil if there is none.
func (c *Client) OnceRecord(ctx context.Context, key once.Key) (*once.Record, error) {
	a, err := c.query(ctx, state.Query{Once: &key})
	return a.Once, err
}

// ChangeMember changes the membership of the quorum. It may take up to a minute
// while a new member catches up, and may be retried after an error.
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

// MemberStatus is the status reported by one control member.
type MemberStatus struct {
	Address string
	Name    string
	Disk    string
	Quorum  *pb.QuorumStatus
	Err     error // set if the member did not respond
}

// Status queries every member. Members that don't respond have Err set.
func (c *Client) Status(ctx context.Context) []MemberStatus {
	var all []MemberStatus
	for _, address := range c.options.Members() {
		all = append(all, c.memberStatus(ctx, address))
	}
	return all
}

func (c *Client) memberStatus(ctx context.Context, address string) MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	r, err := c.memberClient(address).Identify(ctx, connect.NewRequest(&pb.IdentifyRequest{}))
	if err != nil {
		return MemberStatus{Address: address, Err: err}
	}
	return MemberStatus{Address: address, Name: r.Msg.GetName(), Disk: r.Msg.GetDisk(), Quorum: r.Msg.GetStatus()}
}

// Limits of deferred outcomes.
const (
	deferredTimeout       = 15 * time.Minute
	deferredRetryInterval = time.Second
)

// deferOutcome queues an outcome for Serve to record.
func (c *Client) deferOutcome(o once.Outcome) {
	c.deferred.Put(deferredOutcome{outcome: o, expires: time.Now().Add(deferredTimeout)})
}

// Name implements supervise.Duty.
func (c *Client) Name() string { return "control client" }

// Serve implements supervise.Duty. It records deferred outcomes once a quorum is
// available.
func (c *Client) Serve(ctx context.Context) error {
	for {
		l, ok := c.deferred.Get(ctx)
		if !ok {
			return ctx.Err()
		}
		if _, err := c.Record(ctx, l.outcome); err == nil {
			deferredRecords.Inc()
			continue
		}
		if time.Now().Before(l.expires) {
			c.deferred.Put(l)
		}
		select {
		case <-ctx.Done():
		case <-time.After(deferredRetryInterval):
		}
	}
}
