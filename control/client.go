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

// Limits of one call. Each member is tried once; a redirect to the leader may
// try a member again.
const (
	callTimeout      = 3 * time.Second
	attemptTimeout   = time.Second
	maxRedirects     = 2
	deferredCapacity = 1024 // outcomes waiting for a quorum
)

var (
	calls           = metrics.NewCounter("jacinthplank_control_client_calls_total")
	attempts        = metrics.NewCounter("jacinthplank_control_client_tries_total")
	noQuorum        = metrics.NewCounter("jacinthplank_control_client_no_quorum_total")
	unknown         = metrics.NewCounter("jacinthplank_control_client_unknown_total")
	deferredRecords = metrics.NewCounter("jacinthplank_control_client_late_records_total")
)

// ClientOptions are the settings of a Client.
type ClientOptions struct {
	Members func() []string // addresses of the control members
	HTTP    connect.HTTPClient
	URL     func(address string) string // base URL of the process at an address
}

// Client sends commands and queries to the quorum. It is safe for concurrent
// use. Its errors are *outcome.Error; when no leader is found, calls fail fast
// with CodeNoQuorum in state NotRun.
type Client struct {
	options  ClientOptions
	deferred *ring.Ring[deferredOutcome]

	mu      sync.Mutex
	leader  string // last known leader address; may be stale
	clients map[string]jacinthplankv1connect.ControlServiceClient
}

// deferredOutcome is the outcome of a claim that could not be recorded yet.
type deferredOutcome struct {
	outcome once.Outcome
	expires time.Time
}

// NewClient returns a client. The caller must run Serve concurrently.
func NewClient(o ClientOptions) *Client {
	return &Client{
		options:  o,
		deferred: ring.New[deferredOutcome](deferredCapacity, ring.DropOldest),
		clients:  make(map[string]jacinthplankv1connect.ControlServiceClient),
	}
}

// reply is the answer of one member.
type reply struct {
	result  []byte
	failure *pb.Failure
	leader  string
}

// memberCall makes one call through the client of a member.
type memberCall func(ctx context.Context, c jacinthplankv1connect.ControlServiceClient) (reply, error)

// propose appends a command to the log and returns its result. Resending the
// command to other members is safe because every command carries an identifier.
func (c *Client) propose(ctx context.Context, command state.Command) (state.Result, error) {
	var result state.Result
	encoded, err := command.Encode()
	if err != nil {
		return result, outcome.Fail(outcome.CodeInvalidRequest, outcome.NotRun, "control.propose", err)
	}
	answer, err := c.call(ctx, attemptTimeout, func(ctx context.Context, client jacinthplankv1connect.ControlServiceClient) (reply, error) {
		r, err := client.Propose(ctx, connect.NewRequest(&pb.ProposeRequest{Command: encoded}))
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

// query reads the replicated state from the leader.
func (c *Client) query(ctx context.Context, q state.Query) (state.Answer, error) {
	var answer state.Answer
	encoded, err := json.Marshal(q)
	if err != nil {
		return answer, outcome.Fail(outcome.CodeInvalidRequest, outcome.NotRun, "control.query", err)
	}
	result, err := c.call(ctx, attemptTimeout, func(ctx context.Context, client jacinthplankv1connect.ControlServiceClient) (reply, error) {
		r, err := client.Query(ctx, connect.NewRequest(&pb.QueryRequest{Query: encoded}))
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

// leaderSearch is the state of a call that tries the members in turn until it
// finds the leader.
type leaderSearch struct {
	remaining    []string // members not tried yet
	redirects    int
	maybeApplied bool           // a member may have applied the command
	lastError    *outcome.Error // most recent failure
}

// call tries the members in turn, last known leader first, until one gives a
// final answer.
func (c *Client) call(ctx context.Context, timeout time.Duration, send memberCall) ([]byte, error) {
	calls.Inc()
	ctx, cancel := context.WithTimeout(ctx, max(callTimeout, timeout))
	defer cancel()
	search := leaderSearch{remaining: c.orderedMembers()}
	for len(search.remaining) > 0 && ctx.Err() == nil {
		address := search.remaining[0]
		search.remaining = search.remaining[1:]
		r, err := c.attempt(ctx, timeout, address, send)
		if err != nil {
			c.clearLeader(address)
			search.recordTransportError(address, err)
			continue
		}
		if r.failure == nil {
			c.setLeader(address)
			return r.result, nil
		}
		if final := search.handleFailure(address, r); final != nil {
			return nil, final
		}
	}
	return nil, search.finalError()
}

func (c *Client) attempt(ctx context.Context, timeout time.Duration, address string, send memberCall) (reply, error) {
	attempts.Inc()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return send(ctx, c.memberClient(address))
}

// recordTransportError records a connection error. Only a failed dial proves
// that nothing was sent.
func (s *leaderSearch) recordTransportError(address string, err error) {
	s.lastError = outcome.Fail(outcome.CodeTransport, outcome.NotRun, "control.send", err)
	s.lastError.Peer = address
	var op *net.OpError
	if !errors.As(err, &op) || op.Op != "dial" {
		s.maybeApplied = true
	}
}

// handleFailure records a failure reported by a member, and returns it if it is
// final, that is if trying other members cannot help.
func (s *leaderSearch) handleFailure(address string, r reply) *outcome.Error {
	s.lastError = wire.FailureFromProto(r.failure)
	s.maybeApplied = s.maybeApplied || s.lastError.State == outcome.Unknown
	switch {
	case r.leader != "" && r.leader != address && s.redirects < maxRedirects:
		s.redirects++
		s.remaining = slices.DeleteFunc(s.remaining, func(a string) bool { return a == r.leader })
		s.remaining = slices.Insert(s.remaining, 0, r.leader)
	case s.lastError.Code != outcome.CodeNoQuorum && !s.maybeApplied:
		return s.lastError
	}
	return nil
}

// finalError returns the error of a search that found no leader.
func (s *leaderSearch) finalError() *outcome.Error {
	if s.maybeApplied {
		unknown.Inc()
		e := outcome.Fail(outcome.CodeOutcomeUnknown, outcome.Unknown, "control.call", asError(s.lastError))
		e.Message = "the command may or may not have been applied"
		return e
	}
	noQuorum.Inc()
	e := outcome.Fail(outcome.CodeNoQuorum, outcome.NotRun, "control.call", asError(s.lastError))
	e.Message = "no control instance leads a quorum"
	e.RetryAfter = electionRetryAfter
	return e
}

func asError(e *outcome.Error) error {
	if e == nil {
		return nil
	}
	return e
}

// orderedMembers returns the members' addresses, last known leader first.
func (c *Client) orderedMembers() []string {
	addresses := slices.Clone(c.options.Members())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == "" {
		return addresses
	}
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == c.leader })
	return slices.Insert(addresses, 0, c.leader)
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = address
}

func (c *Client) clearLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == address {
		c.leader = ""
	}
}

func (c *Client) memberClient(address string) jacinthplankv1connect.ControlServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[address]
	if !ok {
		client = jacinthplankv1connect.NewControlServiceClient(c.options.HTTP, c.options.URL(address), messageLimit)
		c.clients[address] = client
	}
	return client
}
