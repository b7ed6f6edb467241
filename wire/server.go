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

// maxMessage is the most bytes of one message between processes. A prompt of a
// million tokens takes some four to eight million bytes.
const maxMessage = 64 << 20

// CompressFrom is the size in bytes from which messages between processes are
// compressed: below it the work outweighs the bytes.
const CompressFrom = 4 << 10

// Orderer takes orders for an engine.
type Orderer interface {
	Order(ctx context.Context, o engine.Order) error
}

// Server serves the endpoint side's ports. A port that is nil refuses.
type Server struct {
	Name     string // instance name, told in failures
	Endpoint submit.Endpoint
	Caller   submit.Caller
	Orderer  Orderer
}

// Handler returns the path and handler of the service.
func (s *Server) Handler(options ...connect.HandlerOption) (string, http.Handler) {
	options = append(options, connect.WithReadMaxBytes(maxMessage), connect.WithCompressMinBytes(CompressFrom))
	return jacinthplankv1connect.NewEndpointServiceHandler(s, options...)
}

// Submit implements the service.
func (s *Server) Submit(ctx context.Context, req *connect.Request[pb.SubmitRequest], out *connect.ServerStream[pb.SubmitResponse]) error {
	if s.Endpoint == nil {
		return out.Send(failed(s.unsupported("endpoint.submit")))
	}
	r := RequestFromProto(req.Msg)
	answer, err := s.Endpoint.Submit(ctx, r)
	if err != nil {
		return out.Send(failed(s.failure(err)))
	}
	defer answer.Close()
	admission := &pb.Frame{Request: r.ID, Attempt: r.Attempt, Admitted: true}
	if err := out.Send(framed(admission)); err != nil {
		return err
	}
	return s.copy(ctx, answer, out)
}

// Cancel implements the service.
func (s *Server) Cancel(ctx context.Context, req *connect.Request[pb.CancelRequest]) (*connect.Response[pb.CancelResponse], error) {
	if s.Endpoint != nil {
		k := engine.Key{Request: req.Msg.GetId(), Attempt: req.Msg.GetAttempt()}
		if err := s.Endpoint.Release(ctx, k); err != nil {
			return nil, err
		}
	}
	return connect.NewResponse(&pb.CancelResponse{}), nil
}

// Call implements the service.
func (s *Server) Call(ctx context.Context, req *connect.Request[pb.CallRequest]) (*connect.Response[pb.CallResponse], error) {
	if s.Caller == nil {
		return connect.NewResponse(&pb.CallResponse{Failure: s.unsupported("endpoint.call")}), nil
	}
	reply, err := s.Caller.Call(ctx, CallFromProto(req.Msg))
	if err != nil {
		return connect.NewResponse(&pb.CallResponse{Failure: s.failure(err)}), nil
	}
	return connect.NewResponse(&pb.CallResponse{
		Status: int32(reply.Status),
		Header: reply.Header,
		Body:   reply.Body,
	}), nil
}

// Order implements the service.
func (s *Server) Order(ctx context.Context, req *connect.Request[pb.OrderRequest]) (*connect.Response[pb.OrderResponse], error) {
	if s.Orderer == nil {
		return connect.NewResponse(&pb.OrderResponse{Failure: s.unsupported("endpoint.order")}), nil
	}
	m := req.Msg
	order := engine.Order{Kind: engine.OrderKind(m.GetKind()), Target: m.GetTarget(), Fence: m.GetFence()}
	err := s.Orderer.Order(ctx, order)
	return connect.NewResponse(&pb.OrderResponse{Failure: s.failure(err)}), nil
}

// Reserve implements the service.
func (s *Server) Reserve(ctx context.Context, req *connect.Request[pb.ReserveRequest]) (*connect.Response[pb.ReserveResponse], error) {
	if s.Endpoint == nil {
		return connect.NewResponse(&pb.ReserveResponse{Failure: s.unsupported("endpoint.reserve")}), nil
	}
	m := req.Msg
	k := engine.Key{Request: m.GetId(), Attempt: m.GetAttempt()}
	err := s.Endpoint.Reserve(ctx, k, int(m.GetTokens()), micros(m.GetRemainingUs()))
	return connect.NewResponse(&pb.ReserveResponse{Failure: s.failure(err)}), nil
}

// copy sends the frames of answer until its end.
func (s *Server) copy(ctx context.Context, answer submit.Answer, out *connect.ServerStream[pb.SubmitResponse]) error {
	for {
		frame, err := answer.Next(ctx)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return out.Send(failed(s.failure(err)))
		}
		if err := out.Send(framed(FrameToProto(frame))); err != nil {
			return err
		}
		if frame.Finish != engine.FinishNone {
			return nil
		}
	}
}

func (s *Server) failure(err error) *pb.Failure {
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

func (s *Server) unsupported(step string) *pb.Failure {
	return s.failure(outcome.Refuse(outcome.CodeUnsupported, step, "this instance has no such duty"))
}

func failed(f *pb.Failure) *pb.SubmitResponse {
	return &pb.SubmitResponse{Kind: &pb.SubmitResponse_Failure{Failure: f}}
}

func framed(f *pb.Frame) *pb.SubmitResponse {
	return &pb.SubmitResponse{Kind: &pb.SubmitResponse_Frame{Frame: f}}
}
