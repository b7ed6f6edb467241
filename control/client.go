package control

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/coord/once"
	"github.com/jacinthplank/jacinthplank/coord/state"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/ring"
	"github.com/jacinthplank/jacinthplank/wire"
)

// Bounds of one command: it is put to each member once, and to the leader that
// one of them names.
const (
	callTimeout  = 3 * time.Second
	tryTimeout   = time.Second
	maxRedirects = 2
	lateCapacity = 1024 // outcomes that wait for the quorum to come back
)

var (
	calls      = metrics.NewCounter("jacinthplank_control_client_calls_total")
	tries      = metrics.NewCounter("jacinthplank_control_client_tries_total")
	noQuorum   = metrics.NewCounter("jacinthplank_control_client_no_quorum_total")
	unknown    = metrics.NewCounter("jacinthplank_control_client_unknown_total")
	lateRecord = metrics.NewCounter("jacinthplank_control_client_late_records_total")
)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	Members func() []string // addresses of the control members
	HTTP    connect.HTTPClient
	URL     func(address string) string // base URL of the process at an address
}

// Client puts commands to the quorum. It is safe for concurrent use. Its errors
// are *outcome.Error; CodeNoQuorum in state NotRun comes at once when no leader
// is found.
type Client struct {
	options ClientOptions
	late    *ring.Ring[lateOutcome]

	mu      sync.Mutex
	leader  string // address of the last leader, a hint
	clients map[string]jacinthplankv1connect.ControlServiceClient
}

// lateOutcome is an outcome of a claim that could not be recorded yet.
type lateOutcome struct {
	outcome once.Outcome
	until   time.Time
}

// NewClient returns a client. Serve must run beside it.
func NewClient(o ClientOptions) *Client {
	return &Client{
		options: o,
		late:    ring.New[lateOutcome](lateCapacity, ring.DropOldest),
		clients: make(map[string]jacinthplankv1connect.ControlServiceClient),
	}
}

// reply is the answer of one member.
type reply struct {
	result  []byte
	failure *pb.Failure
	leader  string
}

// send puts one call to the member at an address.
type send func(ctx context.Context, c jacinthplankv1connect.ControlServiceClient) (reply, error)

// propose puts a command into the log and returns its result. It is resent to
// other members, which is safe since every command carries an identifier.
func (c *Client) propose(ctx context.Context, command state.Command) (state.Result, error) {
	var result state.Result
	text, err := command.Encode()
	if err != nil {
		return result, outcome.Fail(outcome.CodeInvalidRequest, outcome.NotRun, "control.propose", err)
	}
	answer, err := c.call(ctx, tryTimeout, func(ctx context.Context, client jacinthplankv1connect.ControlServiceClient) (reply, error) {
		r, err := client.Propose(ctx, connect.NewRequest(&pb.ProposeRequest{Command: text}))
		if err != nil {
			return reply{}, err
		}
		return reply{r.Msg.GetResult(), r.Msg.GetFailure(), r.Msg.GetLeaderAddress()}, nil
	})
	if err != nil {
		return result, err
	}
	if err := json.Unmarshal(answer, &result); err != nil {
		return result, outcome.Fail(outcome.CodeInternal, outcome.Unknown, "control.propose", err)
	}
	if result.Error != "" {
		return result, outcome.Refuse(outcome.CodeInvalidRequest, "control.propose", "%s", result.Error)
	}
	return result, nil
}

// query reads the state through the leader.
func (c *Client) query(ctx context.Context, q state.Query) (state.Answer, error) {
	var answer state.Answer
	text, err := json.Marshal(q)
	if err != nil {
		return answer, outcome.Fail(outcome.CodeInvalidRequest, outcome.NotRun, "control.query", err)
	}
	result, err := c.call(ctx, tryTimeout, func(ctx context.Context, client jacinthplankv1connect.ControlServiceClient) (reply, error) {
		r, err := client.Query(ctx, connect.NewRequest(&pb.QueryRequest{Query: text}))
		if err != nil {
			return reply{}, err
		}
		return reply{r.Msg.GetResult(), r.Msg.GetFailure(), r.Msg.GetLeaderAddress()}, nil
	})
	if err != nil {
		return answer, err
	}
	if err := json.Unmarshal(result, &answer); err != nil {
		return answer, outcome.Fail(outcome.CodeInternal, outcome.Unknown, "control.query", err)
	}
	if answer.Error != "" {
		return answer, outcome.Refuse(outcome.CodeInvalidRequest, "control.query", "%s", answer.Error)
	}
	return answer, nil
}

// search is one walk over the members in search of the leader.
type search struct {
	left      []string // members not asked yet
	redirects int
	unknown   bool           // some member may have applied the command
	last      *outcome.Error // latest failure
}

// call puts a call to the members, the likely leader first, until one answers.
func (c *Client) call(ctx context.Context, each time.Duration, s send) ([]byte, error) {
	calls.Inc()
	ctx, cancel := context.WithTimeout(ctx, max(callTimeout, each))
	defer cancel()
	walk := search{left: c.order()}
	for len(walk.left) > 0 && ctx.Err() == nil {
		address := walk.left[0]
		walk.left = walk.left[1:]
		r, err := c.try(ctx, each, address, s)
		if err != nil {
			c.forget(address)
			walk.broken(address, err)
			continue
		}
		if r.failure == nil {
			c.remember(address)
			return r.result, nil
		}
		if done := walk.refused(address, r); done != nil {
			return nil, done
		}
	}
	return nil, walk.end()
}

func (c *Client) try(ctx context.Context, each time.Duration, address string, s send) (reply, error) {
	tries.Inc()
	ctx, cancel := context.WithTimeout(ctx, each)
	defer cancel()
	return s(ctx, c.client(address))
}

// broken notes an error of the connection. Only a failed dial proves that
// nothing was sent.
func (w *search) broken(address string, err error) {
	w.last = outcome.Fail(outcome.CodeTransport, outcome.NotRun, "control.send", err)
	w.last.Peer = address
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		w.unknown = true
	}
}

// refused notes a member's failure, and returns it when no other member can
// answer better.
func (w *search) refused(address string, r reply) *outcome.Error {
	w.last = wire.FailureFromProto(r.failure)
	switch {
	case r.leader != "" && r.leader != address && w.redirects < maxRedirects:
		w.redirects++
		w.left = slices.DeleteFunc(w.left, func(a string) bool { return a == r.leader })
		w.left = slices.Insert(w.left, 0, r.leader)
	case w.last.State == outcome.Unknown:
		w.unknown = true
	case w.last.Code != outcome.CodeNoQuorum && !w.unknown:
		return w.last
	}
	return nil
}

// end is the error of a walk that found no leader.
func (w *search) end() *outcome.Error {
	if w.unknown {
		unknown.Inc()
		e := outcome.Fail(outcome.CodeOutcomeUnknown, outcome.Unknown, "control.call", errorOf(w.last))
		e.Message = "the command may or may not be applied"
		return e
	}
	noQuorum.Inc()
	e := outcome.Fail(outcome.CodeNoQuorum, outcome.NotRun, "control.call", errorOf(w.last))
	e.Message = "no control instance leads a quorum"
	e.RetryAfter = electionTime
	return e
}

func errorOf(e *outcome.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// order returns the members' addresses, the last leader first.
func (c *Client) order() []string {
	addresses := slices.Clone(c.options.Members())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return addresses
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == c.leader })
	return slices.Insert(addresses, 0, c.leader)
}

func (c *Client) remember(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

func (c *Client) forget(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

func (c *Client) client(address string) jacinthplankv1connect.ControlServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, known := c.clients[address]
	if !known {
		client = jacinthplankv1connect.NewControlServiceClient(c.options.HTTP, c.options.URL(address))
		c.clients[address] = client
	}
	return client
}
