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

// maxHops bounds how often a call follows the name of another leader.
const maxHops = 4

// memberTimeout is longer than the leader takes to catch a new member up, or to
// give up on it.
const memberTimeout = 75 * time.Second

// reply is what every answer of ControlService has.
type reply interface {
	GetFailure() *pb.Failure
	GetLeaderAddress() string
}

// lead makes a call to the leader of the control quorum: each member is tried,
// and the address of the leader that it names is followed. The call must be
// idempotent, because one that got no answer is made again.
func (f *fleetClient) lead(ctx context.Context, call func(context.Context, string) (reply, error)) (reply, error) {
	members, err := f.daemons(ctx)
	if err != nil {
		return nil, err
	}
	last := exitWith(ExitUnreachable, "no daemon with the control duty is known")
	for _, m := range withDuty(members, settings.DutyControl) {
		answer, err := f.follow(ctx, m.address, call)
		if err == nil {
			return answer, nil
		}
		last = err
		if !worthTrying(err) {
			return nil, err
		}
	}
	return nil, last
}

// follow makes the call at an address and at the leaders named in turn.
func (f *fleetClient) follow(ctx context.Context, address string, call func(context.Context, string) (reply, error)) (reply, error) {
	var last error
	for range maxHops {
		answer, err := f.once(ctx, address, call)
		if err == nil {
			return answer, nil
		}
		last = err
		if answer == nil || answer.GetLeaderAddress() == "" || answer.GetLeaderAddress() == address {
			return nil, err
		}
		address = answer.GetLeaderAddress()
	}
	return nil, last
}

func (f *fleetClient) once(ctx context.Context, address string, call func(context.Context, string) (reply, error)) (reply, error) {
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

// callError is the failure of a call that got no answer. Only a connection that
// was never made promises that nothing was done.
func callError(address string, err error) error {
	state := outcome.Unknown
	if connect.CodeOf(err) == connect.CodeUnavailable && !errors.Is(err, context.DeadlineExceeded) && refused(err) {
		state = outcome.NotRun
	}
	return &outcome.Error{
		Code: outcome.CodeTransport, State: state, Step: "operator.control", Peer: address,
		Message: "no answer from the control quorum", Cause: err,
	}
}

func worthTrying(err error) bool {
	switch outcome.From(err).Code {
	case outcome.CodeTransport, outcome.CodeNoQuorum, outcome.CodeShuttingDown, outcome.CodeLeaving:
		return true
	default:
		return outcome.StateOf(err) == outcome.Unknown
	}
}

// accept proposes a change of the configuration. A resend of the same change
// gets the first answer.
func (f *fleetClient) accept(ctx context.Context, change revision.Change) (*revision.Answer, error) {
	command, err := state.Command{Accept: &change}.Encode()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := f.lead(ctx, func(ctx context.Context, address string) (reply, error) {
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
		return nil, trace.Wrap(err, "the answer of the control quorum cannot be read")
	}
	if result.Accept == nil {
		return nil, exitWith(ExitFailed, "the control quorum answered: %s", result.Error)
	}
	return result.Accept, nil
}

// inForce returns the configuration that was accepted last.
func (f *fleetClient) inForce(ctx context.Context) (*revision.Update, error) {
	query, err := json.Marshal(state.Query{Configuration: &state.ConfigurationAfter{}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	answer, err := f.lead(ctx, func(ctx context.Context, address string) (reply, error) {
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
		return nil, trace.Wrap(err, "the answer of the control quorum cannot be read")
	}
	if result.Configuration == nil {
		return nil, exitWith(ExitFailed, "the control quorum answered: %s", result.Error)
	}
	return result.Configuration, nil
}

// changeMember asks for one change of the quorum's members, and returns when it
// is made. Steps that were taken before are not taken again.
func (f *fleetClient) changeMember(ctx context.Context, change *pb.ChangeMemberRequest) error {
	patient := *f
	patient.timeout = max(f.timeout, memberTimeout)
	_, err := patient.lead(ctx, func(ctx context.Context, address string) (reply, error) {
		response, err := f.control(address).ChangeMember(ctx, connect.NewRequest(change))
		if err != nil {
			return nil, err
		}
		return response.Msg, nil
	})
	return err
}

// refused reports whether the connection for a call was never made.
func refused(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}
