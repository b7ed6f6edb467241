// Package forward sends requests to endpoints over HTTP/1.1. It sends each
// request at most once: it never retries, and every error states whether the
// endpoint may have seen the request.
//
// A pooled connection is closed whenever responses could be mixed up: on
// unsolicited bytes, on a response before the request was sent completely, and on
// a response that is malformed, truncated or carries another request's id. A response without an id
// is used only for a failure of the first request on its connection. A request that an
// endpoint refused is not sent again on the same connection: another copy of the refusal
// would have the same id.
package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/response"
)

// Connection timeouts and limits.
const (
	dialTimeout        = 300 * time.Millisecond // connecting within a region takes milliseconds; a lost SYN would cost 1 s
	writeTimeout       = 2 * time.Second        // for a head, and for each part of a body
	bodyPartBytes      = 32 << 10
	unackedTimeout     = 1500 * time.Millisecond // for unacknowledged data: three round trips with one lost packet each
	keepAliveIdle      = time.Second             // idle time before the first keep-alive probe, and between probes
	keepAliveCount     = 2                       // consecutive unanswered probes
	defaultIdleTimeout = 4 * time.Second         // for endpoints that send no Keep-Alive timeout
	idleTimeoutMargin  = 500 * time.Millisecond  // subtracted from the endpoint's idle timeout to cover network latency
	maxInlineBody      = 16 << 10                // bytes; larger bodies are sent while waiting for the response
	readBufferBytes    = 4 << 10
)

var (
	connectionsOpened   = metrics.NewCounter("jacinthplank_forward_connections_opened_total")
	connectionsFailed   = metrics.NewCounter("jacinthplank_forward_connections_failed_total")
	connectionsReused   = metrics.NewCounter("jacinthplank_forward_connections_reused_total")
	mismatchedResponses = metrics.NewCounter("jacinthplank_forward_foreign_answers_total")
	connectionsUnclean  = metrics.NewCounter("jacinthplank_forward_connections_unclean_total")
)

// Dialect interprets the headers of an endpoint's response.
type Dialect interface {
	// RequestIDs returns the ids of requests that a response carries. A sound one has the id
	// of its request and no other.
	RequestIDs(h http.Header) []string
	// PromisesNotRun reports whether the endpoint guarantees that it did not run
	// the request and never will.
	PromisesNotRun(status int, h http.Header) bool
}

// Target is the endpoint that a call is sent to.
type Target struct {
	ID             string
	Address        string // IP:port
	MaxConnections int    // limit for this process; 0 for none
}

// Call is a request to an endpoint.
type Call struct {
	RequestID     string
	Method        string
	URI           string // path and query, unchanged from the caller
	Host          string
	Header        http.Header
	Body          []byte
	NoID          bool // neither the call nor its response carries an id
	NewConnection bool // uses a new connection, so that no late response can be taken for its own
	// SendBefore is the time after which the call may no longer be sent; zero for none.
	SendBefore time.Time
}

// Client sends calls over pooled connections. It is safe for concurrent use.
type Client struct {
	dialect Dialect
	dialer  net.Dialer

	mu    sync.Mutex
	pools map[string]*pool // by address
}

// NewClient returns a client with empty connection pools.
func NewClient(d Dialect) *Client {
	return &Client{
		dialect: d,
		dialer: net.Dialer{
			Timeout:         dialTimeout,
			Control:         setUnackedTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount},
		},
		pools: map[string]*pool{},
	}
}

// Send sends a call and returns once the response headers have arrived. The
// caller must close the reply. Canceling ctx aborts the call at any point, also
// while the body is read: the connection is closed, which signals the endpoint.
//
// The error is an *outcome.Error. Its state is NotRun only if no byte was sent.
func (c *Client) Send(ctx context.Context, t Target, call *Call) (*Reply, error) {
	conn, err := c.connect(ctx, t, call)
	if err != nil {
		return nil, err
	}
	if !call.SendBefore.IsZero() && !time.Now().Before(call.SendBefore) {
		conn.abort()
		return nil, newError(outcome.CodePermitExpired, outcome.NotRun, "forward.send", t, errPermitExpired)
	}
	x := &exchange{conn: conn, call: call, target: t, dialect: c.dialect, ctx: ctx}
	x.stop = context.AfterFunc(ctx, conn.abort)
	reply, err := x.roundTrip()
	if err != nil {
		x.discard()
		return nil, err
	}
	return reply, nil
}

// IsListening reports whether a process accepts connections at an address. The error
// tells why it can't be known.
func (c *Client) IsListening(ctx context.Context, address string) (bool, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close() // it was not used
		return true, nil
	}
	var timeout net.Error
	isAbsent := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) || (errors.As(err, &timeout) && timeout.Timeout())
	if ctx.Err() == nil && isAbsent {
		return false, nil
	}
	return false, err
}

func (c *Client) pool(address string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[address]
	if p == nil {
		p = &pool{}
		c.pools[address] = p
	}
	return p
}

// CloseIdleConnections closes the idle connections that no call will use any more.
// endpoints holds the id of the endpoint at each address that takes calls. It is meant
// to be called periodically: a connection in use is closed by the first call after its
// exchange.
func (c *Client) CloseIdleConnections(endpoints map[string]string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for address, p := range c.pools {
		endpoint, found := endpoints[address]
		p.closeIdle(endpoint, now)
		if !found && p.retire() {
			delete(c.pools, address)
		}
	}
}

func (c *Client) connect(ctx context.Context, t Target, call *Call) (*connection, error) {
	p := c.pool(t.Address)
	if !call.NewConnection {
		if conn := p.get(t.ID, call, time.Now()); conn != nil {
			connectionsReused.Inc()
			return conn, nil
		}
	}
	if !p.acquireSlot(t.MaxConnections) {
		return nil, newError(outcome.CodeOverloaded, outcome.NotRun, "forward.connect", t,
			fmt.Errorf("connection limit reached: all %d connections are in use", t.MaxConnections))
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.releaseSlot()
		connectionsFailed.Inc()
		return nil, newError(outcome.CodeTransport, outcome.NotRun, "forward.connect", t, err)
	}
	connectionsOpened.Inc()
	strict := response.NewConn(conn)
	limiter := &headLimiter{Conn: strict}
	return &connection{Conn: strict, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), pool: p, endpoint: t.ID, noID: call.NoID}, nil
}

func newError(code outcome.Code, state outcome.State, step string, t Target, cause error) *outcome.Error {
	e := outcome.Fail(code, state, step, cause)
	e.Peer = t.ID
	return e
}

var (
	// errMismatchedResponse is returned for a response to another request.
	errMismatchedResponse = errors.New("response belongs to another request")
	// errPermitExpired is returned for a call whose SendBefore has passed.
	errPermitExpired = errors.New("the time in which the call may be sent has passed")
	// errMissingID is returned for a response without the request's id where it needs one.
	errMissingID = errors.New("response carries no request id")
)

// writeHead writes the request line and headers. The caller has sanitized the
// headers.
func writeHead(b *strings.Builder, call *Call) {
	b.WriteString(call.Method)
	b.WriteByte(' ')
	b.WriteString(call.URI)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(call.Host)
	b.WriteString("\r\n")
	for name, values := range call.Header {
		for _, v := range values {
			b.WriteString(name)
			b.WriteString(": ")
			b.WriteString(v)
			b.WriteString("\r\n")
		}
	}
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(call.Body))
	}
	b.WriteString("\r\n")
}
