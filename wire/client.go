package wire

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/engine"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// releaseTimeout bounds the call that releases an attempt abandoned by its caller.
const releaseTimeout = 2 * time.Second

// Client calls an endpoint process from another process. It implements
// submit.Endpoint and submit.Caller.
type Client struct {
	name string
	rpc  jacinthplankv1connect.EndpointServiceClient
}

// NewClient returns a client for the endpoint name at the base URL url.
func NewClient(name, url string, http connect.HTTPClient, options ...connect.ClientOption) *Client {
	rpc := jacinthplankv1connect.NewEndpointServiceClient(http, url, append(options, connect.WithGRPC(), MessageLimit)...)
	return &Client{name: name, rpc: rpc}
}

// Submit implements submit.Submitter. It returns once the endpoint process has
// admitted or refused the attempt.
func (c *Client) Submit(ctx context.Context, r submit.Request) (submit.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	stream, err := c.rpc.Submit(ctx, connect.NewRequest(RequestToProto(r)))
	if err != nil {
		cancel()
		return nil, c.transportError("endpoint.submit", err)
	}
	a := &answer{client: c, key: r.Key(), stream: stream, cancel: cancel}
	if err := a.awaitAdmission(); err != nil {
		cancel()
		return nil, err
	}
	return a, nil
}

// Reserve implements submit.Reserver.
func (c *Client) Reserve(ctx context.Context, k engine.Key, tokens int, remaining time.Duration) error {
	return c.reserve(ctx, &pb.ReserveRequest{
		Id:          k.Request,
		Attempt:     k.Attempt,
		Tokens:      int64(tokens),
		RemainingUs: remaining.Microseconds(),
	})
}

// Release implements submit.Reserver.
func (c *Client) Release(ctx context.Context, k engine.Key) error {
	_, err := c.rpc.Cancel(ctx, connect.NewRequest(&pb.CancelRequest{Id: k.Request, Attempt: k.Attempt}))
	if err != nil {
		return c.transportError("endpoint.release", err)
	}
	return nil
}

// Call implements submit.Caller.
func (c *Client) Call(ctx context.Context, call submit.Call) (submit.Reply, error) {
	response, err := c.rpc.Call(ctx, connect.NewRequest(CallToProto(call)))
	if err != nil {
		return submit.Reply{}, c.transportError("endpoint.call", err)
	}
	if f := response.Msg.GetFailure(); f != nil {
		return submit.Reply{}, FailureFromProto(f)
	}
	m := response.Msg
	return submit.Reply{Status: int(m.GetStatus()), Header: m.GetHeader(), Body: m.GetBody()}, nil
}

// Order sends an order to the endpoint process.
func (c *Client) Order(ctx context.Context, o engine.Order) error {
	request := &pb.OrderRequest{Kind: string(o.Kind), Target: o.Target, Fence: o.Fence}
	response, err := c.rpc.Order(ctx, connect.NewRequest(request))
	if err != nil {
		return c.transportError("endpoint.order", err)
	}
	return errorFromOptionalFailure(response.Msg.GetFailure())
}

func (c *Client) reserve(ctx context.Context, request *pb.ReserveRequest) error {
	response, err := c.rpc.Reserve(ctx, connect.NewRequest(request))
	if err != nil {
		return c.transportError("endpoint.reserve", err)
	}
	return errorFromOptionalFailure(response.Msg.GetFailure())
}

// transportError converts a connection error to a typed error. Only a failed dial
// proves that nothing was sent.
func (c *Client) transportError(step string, err error) *outcome.Error {
	e := outcome.Fail(outcome.CodeTransport, outcome.Unknown, step, err)
	e.Peer = c.name
	e.Message = "the connection to the endpoint failed"
	if errors.Is(err, context.Canceled) || connect.CodeOf(err) == connect.CodeCanceled {
		e.Code = outcome.CodeCanceled
		e.Message = "the request was canceled"
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e.State = outcome.NotRun
	}
	return e
}

// errorFromFailure converts a failure of the endpoint process to an error that
// includes the backlog, if the failure carries one.
func errorFromFailure(f *pb.Failure) error {
	e := FailureFromProto(f)
	if b := BacklogFromProto(f.GetBacklog()); b != nil {
		return &submit.ErrorWithBacklog{Err: e, Backlog: *b}
	}
	return e
}

// errorFromOptionalFailure is like errorFromFailure, but returns nil for a nil f.
func errorFromOptionalFailure(f *pb.Failure) error {
	if f == nil {
		return nil
	}
	return errorFromFailure(f)
}

// answer is the stream of frames of one attempt.
type answer struct {
	client    *Client
	key       engine.Key
	stream    *connect.ServerStreamForClient[pb.SubmitResponse]
	cancel    context.CancelFunc
	done      bool
	closeOnce sync.Once
}

// awaitAdmission waits for the first message, which admits or refuses the attempt.
func (a *answer) awaitAdmission() error {
	if !a.stream.Receive() {
		return a.streamError()
	}
	if f := a.stream.Msg().GetFailure(); f != nil {
		return errorFromFailure(f)
	}
	if !a.stream.Msg().GetFrame().GetAdmitted() {
		return a.client.transportError("endpoint.submit", errors.New("the first message of the stream is not an admission"))
	}
	return nil
}

// Next implements submit.Answer.
func (a *answer) Next(context.Context) (submit.Frame, error) {
	if a.done {
		return submit.Frame{}, io.EOF
	}
	if !a.stream.Receive() {
		return submit.Frame{}, a.streamError()
	}
	if f := a.stream.Msg().GetFailure(); f != nil {
		a.done = true
		return submit.Frame{}, errorFromFailure(f)
	}
	frame := FrameFromProto(a.stream.Msg().GetFrame())
	a.done = frame.Finish != engine.FinishNone
	return frame, nil
}

// Close implements submit.Answer. Resetting the stream notifies the endpoint
// process; an explicit release covers a lost reset.
func (a *answer) Close() error {
	a.closeOnce.Do(func() {
		a.cancel()
		if a.done {
			return
		}
		go a.release()
	})
	return nil
}

func (a *answer) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	// The endpoint process frees the attempt on its own if this call is lost.
	_ = a.client.Release(ctx, a.key)
}

// streamError returns the typed error of a stream that ended before its last
// frame.
func (a *answer) streamError() error {
	err := a.stream.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return a.client.transportError("endpoint.stream", err)
}
