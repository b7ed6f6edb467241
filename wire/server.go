package wire

import (
	"context"
	"errors"
	"io"
	"net/http"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/engine"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// maxMessageBytes is the maximum size of one message between processes. A prompt
// of a million tokens takes about four to eight million bytes.
const maxMessageBytes = 64 << 20

// MessageLimit bounds what a client or handler reads of a message. Without it, connect
// reads all that comes.
var MessageLimit = connect.WithReadMaxBytes(maxMessageBytes)

// CompressMinBytes is the minimum size in bytes of messages that are compressed
// between processes; for smaller ones the CPU cost outweighs the bytes saved.
const CompressMinBytes = 4 << 10

// Orderer executes orders for an engine.
type Orderer interface {
	Order(ctx context.Context, o engine.Order) error
}

// Server implements the endpoint service over the interfaces of package submit.
// Calls to an interface that is nil are refused as unsupported, except Cancel,
// which is a no-op.
type Server struct {
	Name     string // instance name, reported in failures
	Endpoint submit.Endpoint
	Caller   submit.Caller
	Orderer  Orderer
}

// Handler returns the path and HTTP handler of the service.
func (s *Server) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	options = append(options, MessageLimit, connect.WithCompressMinBytes(CompressMinBytes))
	return jacinthplankv1connect.NewEndpointServiceHandler(s, options...)
}

// Submit implements jacinthplankv1connect.EndpointServiceHandler.
func (s *Server) Submit(ctx context.Context, req *connect.Request[pb.SubmitRequest], out *connect.ServerStream[pb.SubmitResponse]) error {
	if s.Endpoint == nil {
		return out.Send(failureResponse(s.unsupportedFailure("endpoint.submit")))
	}
	r := RequestFromProto(req.Msg)
	answer, err := s.Endpoint.Submit(ctx, r)
	if err != nil {
		return out.Send(failureResponse(s.failureFromError(err)))
	}
	defer answer.Close()
	admission := &pb.Frame{Request: r.ID, Attempt: r.Attempt, Admitted: true}
	if err := out.Send(frameResponse(admission)); err != nil {
		return err
	}
	return s.streamFrames(ctx, answer, out)
}

// Cancel implements jacinthplankv1connect.EndpointServiceHandler.
func (s *Server) Cancel(ctx context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	if s.Endpoint != nil {
		k := engine.Key{Request: req.Msg.GetId(), Attempt: req.Msg.GetAttempt()}
		if err := s.Endpoint.Release(ctx, k); err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(&pb.CancelResponse{}), nil
}

// Call implements jacinthplankv1connect.EndpointServiceHandler.
func (s *Server) Call(ctx context.Context, req *connect.Request[pb.CallRequest]) (*connect.Response[pb.CallResponse], error) {
	if s.Caller == nil {
		return connect.NewResponse(&pb.CallResponse{Failure: s.unsupportedFailure("endpoint.call")}), nil
	}
	reply, err := s.Caller.Call(ctx, CallFromProto(req.Msg))
	if err != nil {
		return connect.NewResponse(&pb.CallResponse{Failure: s.failureFromError(err)}), nil
	}
	return connect.NewResponse(&pb.CallResponse{
		Status: int32(reply.Status),
		Header: reply.Header,
		Body:   reply.Body,
	}), nil
}

// Order implements jacinthplankv1connect.EndpointServiceHandler.
func (s *Server) Order(ctx context.Context, req *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	if s.Orderer == nil {
		return connect.NewResponse(&pb.OrderResponse{Failure: s.unsupportedFailure("endpoint.order")}), nil
	}
	m := req.Msg
	order := engine.Order{Kind: engine.OrderKind(m.GetKind()), Target: m.GetTarget(), Fence: m.GetFence()}
	err := s.Orderer.Order(ctx, order)
	return connect.NewResponse(&pb.OrderResponse{Failure: s.failureFromError(err)}), nil
}

// Reserve implements jacinthplankv1connect.EndpointServiceHandler.
func (s *Server) Reserve(ctx context.Context, req *connect.Request[pb.ReserveRequest]) (*connect.Response[pb.ReserveResponse], error) {
	if s.Endpoint == nil {
		return connect.NewResponse(&pb.ReserveResponse{Failure: s.unsupportedFailure("endpoint.reserve")}), nil
	}
	m := req.Msg
	k := engine.Key{Request: m.GetId(), Attempt: m.GetAttempt()}
	var err error
	if m.GetRelease() {
		err = s.Endpoint.Release(ctx, k)
	} else {
		err = s.Endpoint.Reserve(ctx, k, int(m.GetTokens()), microseconds(m.GetRemainingUs()))
	}
	return connect.NewResponse(&pb.ReserveResponse{Failure: s.failureFromError(err)}), nil
}

// streamFrames sends the frames of answer to out until the answer ends.
func (s *Server) streamFrames(ctx context.Context, answer submit.Answer, out *connect.ServerStream[pb.SubmitResponse]) error {
	for {
		frame, err := answer.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return out.Send(failureResponse(s.failureFromError(err)))
		}
		if err := out.Send(frameResponse(FrameToProto(frame))); err != nil {
			return err
		}
		if frame.Finish != engine.FinishNone {
			return nil
		}
	}
}

func (s *Server) failureFromError(err error) *pb.Failure {
	e := outcome.From(err)
	if e == nil {
		return nil
	}
	f := FailureToProto(e)
	if f.GetPeer() == "" {
		f.Peer = s.Name
	}
	f.Backlog = BacklogToProto(submit.BacklogOf(err))
	return f
}

func (s *Server) unsupportedFailure(step string) *pb.Failure {
	return s.failureFromError(outcome.Refuse(outcome.CodeUnsupported, step, "this instance does not have the duty that serves this call"))
}

func failureResponse(f *pb.Failure) *pb.SubmitResponse {
	return &pb.SubmitResponse{Kind: &pb.SubmitResponse_Failure{Failure: f}}
}

func frameResponse(f *pb.Frame) *pb.SubmitResponse {
	return &pb.SubmitResponse{Kind: &pb.SubmitResponse_Frame{Frame: f}}
}
