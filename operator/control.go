package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/coord/state"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/wire"
)

// maxLeaderRedirects is the maximum number of addresses tried while following leader
// redirects.
const maxLeaderRedirects = 4

// changeMemberTimeout exceeds the time the leader takes to catch up a new member or to
// abandon the attempt.
const changeMemberTimeout = 75 * time.Second

// controlReply is implemented by every response of ControlService.
type controlReply interface {
	GetFailure() *pb.Failure
	GetLeaderAddress() string
}

// callLeader sends a call to the leader of the control quorum. It tries each member in
// turn and follows the leader address that a member returns. The call must be
// idempotent, because it is repeated when no response arrives.
func (f *fleetClient) callLeader(ctx context.Context, call func(context.Context, string) (controlReply, error)) (controlReply, error) {
	members, err := f.daemons(ctx)
	if err != nil {
		return nil, err
	}
	lastErr := exitWith(ExitUnreachable, "no known daemon has the control duty")
	for _, m := range withDuty(members, settings.DutyControl) {
		answer, err := f.callFollowingRedirects(ctx, m.address, call)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		if !shouldTryNextMember(err) {
			return nil, err
		}
	}
	return nil, lastErr
}

// callFollowingRedirects calls address, then each leader address returned in turn.
func (f *fleetClient) callFollowingRedirects(ctx context.Context, address string, call func(context.Context, string) (controlReply, error)) (controlReply, error) {
	var lastErr error
	for range maxLeaderRedirects {
		answer, err := f.callOnce(ctx, address, call)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		if answer == nil || answer.GetLeaderAddress() == "" || answer.GetLeaderAddress() == address {
			return nil, err
		}
		address = answer.GetLeaderAddress()
	}
	return nil, lastErr
}

func (f *fleetClient) callOnce(ctx context.Context, address string, call func(context.Context, string) (controlReply, error)) (controlReply, error) {
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	answer, err := call(ctx, address)
	if err != nil {
		return nil, callError(address, err)
	}
	if failure := answer.GetFailure(); failure != nil {
		return answer, wire.FailureFromProto(failure)
	}
	return answer, nil
}

// callError returns the failure of a call that got no response. The call is known not
// to have run only when the connection was never established.
func callError(address string, err error) error {
	state := outcome.Unknown
	if connect.CodeOf(err) == connect.CodeUnavailable && !errors.Is(err, context.DeadlineExceeded) && dialFailed(err) {
		state = outcome.NotRun
	}
	return &outcome.Error{
		Code: outcome.CodeTransport, State: state, Step: "operator.control", Peer: address,
		Message: "no response from the control quorum", Cause: err,
	}
}

func shouldTryNextMember(err error) bool {
	switch outcome.From(err).Code {
	case outcome.CodeTransport, outcome.CodeNoQuorum, outcome.CodeShuttingDown, outcome.CodeEndpointLeaving:
		return true
	default:
		return outcome.StateOf(err) == outcome.Unknown
	}
}

// proposeChange proposes a change of the configuration. Resending the same change
// returns the result of the first proposal.
func (f *fleetClient) proposeChange(ctx context.Context, change revision.Change) (*revision.Answer, error) {
	command, err := state.Command{Accept: &change}.Encode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := f.callLeader(ctx, func(ctx context.Context, address string) (controlReply, error) {
		response, err := f.control(address).Propose(ctx, connect.NewRequest(&pb.ProposeRequest{Command: command}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	if err != nil {
		return nil, err
	}
	var result state.Result
	if err := json.Unmarshal(answer.(*pb.ProposeResponse).GetResult(), &result); err != nil {
		return nil, trace.Wrap(err, "cannot decode the response of the control quorum")
	}
	if result.Accept == nil {
		return nil, exitWith(ExitFailed, "the control quorum returned an error: %s", result.Error)
	}
	return result.Accept, nil
}

// latestRevision returns the latest accepted revision of the configuration.
func (f *fleetClient) latestRevision(ctx context.Context) (*revision.Update, error) {
	query, err := json.Marshal(state.Query{Configuration: &state.ConfigurationAfter{}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := f.callLeader(ctx, func(ctx context.Context, address string) (controlReply, error) {
		response, err := f.control(address).Query(ctx, connect.NewRequest(&pb.QueryRequest{Query: query}))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	if err != nil {
		return nil, err
	}
	var result state.Answer
	if err := json.Unmarshal(answer.(*pb.QueryResponse).GetResult(), &result); err != nil {
		return nil, trace.Wrap(err, "cannot decode the response of the control quorum")
	}
	if result.Configuration == nil {
		return nil, exitWith(ExitFailed, "the control quorum returned an error: %s", result.Error)
	}
	return result.Configuration, nil
}

// changeMember requests one membership change of the control quorum and returns when
// it is complete. Steps that were completed by an earlier call are skipped.
func (f *fleetClient) changeMember(ctx context.Context, change *pb.ChangeMemberRequest) error {
	withTimeout := *f
	withTimeout.timeout = max(f.timeout, changeMemberTimeout)
	_, err := withTimeout.callLeader(ctx, func(ctx context.Context, address string) (controlReply, error) {
		response, err := f.control(address).ChangeMember(ctx, connect.NewRequest(change))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	return err
}

// dialFailed reports whether err is a failure to establish the connection.
func dialFailed(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}
