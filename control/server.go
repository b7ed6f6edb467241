package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/coord/state"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/transport"
	"github.com/jacinthplank/jacinthplank/wire"
)

// Time limits of one call on the server.
const (
	proposeTimeout = 2 * time.Second
	queryTimeout   = time.Second
)

var (
	proposals       = metrics.NewCounter("jacinthplank_control_proposals_total")
	queries         = metrics.NewCounter("jacinthplank_control_queries_total")
	refusedMessages = metrics.NewCounter("jacinthplank_control_messages_refused_total")
)

// server implements ControlService and QuorumService on one member.
type server struct {
	address string // advertised to the other members
	log     Log
	machine *state.Machine
	members memberService
}

// Propose implements ControlService.
func (s *server) Propose(ctx context.Context, r *connect.Request[pb.ProposeRequest]) (*connect.Response[pb.ProposeResponse], error) {
	proposals.Inc()
	result, err := s.propose(ctx, r.Msg.GetCommand())
	if err == nil {
		return connect.NewResponse(&pb.ProposeResponse{Result: result}), nil
	}
	failure, leader := classifyError("control.propose", s.name(), err)
	return connect.NewResponse(&pb.ProposeResponse{Failure: wire.FailureToProto(failure), LeaderAddress: leader}), nil
}

// propose decodes and validates a command, stamps it with the time and appends it
// to the log.
func (s *server) propose(ctx context.Context, encoded []byte) ([]byte, error) {
	c, err := state.DecodeCommand(encoded)
	if err != nil {
		return errorResult(err), nil
	}
	if err := checkCommand(c); err != nil {
		return errorResult(err), nil
	}
	encoded, err = s.machine.Stamp(c).Encode()
	if err != nil {
		return errorResult(err), nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return s.log.Propose(ctx, encoded)
}

// Query implements ControlService.
func (s *server) Query(ctx context.Context, r *connect.Request[pb.QueryRequest]) (*connect.Response[pb.QueryResponse], error) {
	queries.Inc()
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if err := s.log.ReadIndex(ctx); err != nil {
		failure, leader := classifyError("control.query", s.name(), err)
		return connect.NewResponse(&pb.QueryResponse{Failure: wire.FailureToProto(failure), LeaderAddress: leader}), nil
	}
	return connect.NewResponse(&pb.QueryResponse{Result: s.machine.Query(r.Msg.GetQuery())}), nil
}

// ChangeMember implements ControlService.
func (s *server) ChangeMember(ctx context.Context, r *connect.Request[pb.ChangeMemberRequest]) (*connect.Response[pb.ChangeMemberResponse], error) {
	reply := &pb.ChangeMemberResponse{}
	if err := s.members.change(ctx, r.Msg); err != nil {
		failure, leader := classifyError("control.change_member", s.name(), err)
		reply.Failure, reply.LeaderAddress = wire.FailureToProto(failure), leader
	}
	return connect.NewResponse(reply), nil
}

// Identify implements ControlService.
func (s *server) Identify(context.Context, *connect.Request[pb.IdentifyRequest]) (*connect.Response[pb.IdentifyResponse], error) {
	status := s.log.Status()
	return connect.NewResponse(&pb.IdentifyResponse{
		Name: status.Name, Address: s.address, Disk: string(status.DiskIdentity), Status: QuorumToProto(status),
	}), nil
}

// Send implements QuorumService. With TLS, a process may send messages only in
// its own name.
func (s *server) Send(ctx context.Context, r *connect.Request[pb.SendRequest]) (*connect.Response[pb.SendResponse], error) {
	from := r.Msg.GetFrom()
	if peer := transport.Peer(ctx); peer != "" && peer != from {
		refusedMessages.Inc()
		e := outcome.Refuse(outcome.CodeInvalidRequest, "control.send", "%s sent messages in the name of %s", peer, from)
		return nil, connect.NewError(connect.CodePermissionDenied, e)
	}
	for _, message := range r.Msg.GetMessages() {
		s.log.Step(from, message)
	}
	return connect.NewResponse(&pb.SendResponse{}), nil
}

func (s *server) name() string { return s.log.Status().Name }
