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

// releaseTimeout bounds the call that frees an attempt given up by its caller.
const releaseTimeout = 2 * time.Second

// Client is an endpoint process as seen from another process. It implements
// submit.Endpoint and submit.Caller.
type Client struct {
	name string
	rpc  jacinthplankv1connect.EndpointServiceClient
}

// NewClient returns a client for the endpoint called name at the base URL.
func NewClient(name, url string, http connect.HTTPClient, options ...connect.ClientOption) *Client {
	rpc := jacinthplankv1connect.NewEndpointServiceClient(http, url, append(options, connect.WithGRPC())...)
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
	if err := a.admission(); err != nil {
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

// Order passes an order to the endpoint process.
func (c *Client) Order(ctx context.Context, o engine.Order) error {
	request := &pb.OrderRequest{Kind: string(o.Kind), Target: o.Target, Fence: o.Fence}
	response, err := c.rpc.Order(ctx, connect.NewRequest(request))
	if err != nil {
		return c.transportError("endpoint.order", err)
	}
	return asError(response.Msg.GetFailure())
}

func (c *Client) reserve(ctx context.Context, request *pb.ReserveRequest) error {
	response, err := c.rpc.Reserve(ctx, connect.NewRequest(request))
	if err != nil {
		return c.transportError("endpoint.reserve", err)
	}
	return asError(response.Msg.GetFailure())
}

// transportError types an error of the connection. Only a failed dial proves
// that nothing was sent.
func (c *Client) transportError(step string, err error) *outcome.Error {
	e := outcome.Fail(outcome.CodeTransport, outcome.Unknown, step, err)
	e.Peer = c.name
	e.Message = "the connection to the endpoint failed"
	if errors.Is(err, context.Canceled) || connect.CodeOf(err) == connect.CodeCanceled {
		e.Code = outcome.CodeCanceled
		e.Message = "the request was given up"
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		e.State = outcome.NotRun
	}
	return e
}

// failure returns a failure of the endpoint process with the backlog that it
// carries.
func failure(f *pb.Failure) error {
	e := FailureFromProto(f)
	if b := BacklogFromProto(f.GetBacklog()); b != nil {
		return &submit.ErrorWithBacklog{Err: e, Backlog: *b}
	}
	return e
}

func asError(f *pb.Failure) error {
	if f == nil {
		return nil
	}
	return failure(f)
}

// answer reads the frames of one attempt.
type answer struct {
	client *Client
	key    engine.Key
	stream *connect.ServerStreamForClient[pb.SubmitResponse]
	cancel context.CancelFunc
	done   bool
	once   sync.Once
}

// admission waits for the first message.
func (a *answer) admission() error {
	if !a.stream.Receive() {
		return a.broken()
	}
	if f := a.stream.Msg().GetFailure(); f != nil {
		return failure(f)
	}
	if !a.stream.Msg().GetFrame().GetAdmitted() {
		return a.client.transportError("endpoint.submit", errors.New("first message is no admission"))
	}
	return nil
}

// Next implements submit.Answer.
func (a *answer) Next(context.Context) (submit.Frame, error) {
	if a.done {
		return submit.Frame{}, io.EOF
	}
	if !a.stream.Receive() {
		return submit.Frame{}, a.broken()
	}
	if f := a.stream.Msg().GetFailure(); f != nil {
		a.done = true
		return submit.Frame{}, failure(f)
	}
	frame := FrameFromProto(a.stream.Msg().GetFrame())
	a.done = frame.Finish != engine.FinishNone
	return frame, nil
}

// Close implements submit.Answer. The broken stream tells the endpoint process;
// the release makes sure of it when the stream's reset is lost.
func (a *answer) Close() error {
	a.once.Do(func() {
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
	// The endpoint process frees the attempt by itself when this is lost.
	_ = a.client.Release(ctx, a.key)
}

// broken types the end of a stream that came before its last frame.
func (a *answer) broken() error {
	err := a.stream.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return a.client.transportError("endpoint.stream", err)
}
