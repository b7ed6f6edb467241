// Package forward carries requests to endpoints over HTTP/1.1. It sends each
// request at most once: it never repeats one by itself, and tells of every
// failure whether the endpoint may have seen the request.
//
// A kept connection is closed on anything that could let one answer be taken for
// another: bytes that nobody asked for, an answer before the request was sent
// whole, one that breaks off or names another request.
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
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// Bounds of connections.
const (
	dialTimeout      = 300 * time.Millisecond  // a connection within a region takes milliseconds; a lost first packet would cost a second
	writeTimeout     = 2 * time.Second         // a sound endpoint reads a request at once
	unackedTimeout   = 1500 * time.Millisecond // sent data without an acknowledgement: three round trips with a lost packet each
	keepAliveIdle    = time.Second             // silence after which the peer's kernel is asked for a sign of life
	keepAliveCount   = 2                       // signs of life missed in a row
	defaultIdle      = 4 * time.Second         // idle time of an endpoint that names none
	idleMargin       = 500 * time.Millisecond  // before the endpoint's own idle timeout, for the way there
	largeBody        = 16 << 10                // bytes; larger bodies are sent while the answer is awaited
	readBufferBytes  = 4 << 10
	maxResponseBytes = 16 << 20 // of an answer that is kept whole
)

var (
	dialed     = metrics.NewCounter("jacinthplank_forward_connections_opened_total")
	dialFailed = metrics.NewCounter("jacinthplank_forward_connections_failed_total")
	reused     = metrics.NewCounter("jacinthplank_forward_connections_reused_total")
	foreign    = metrics.NewCounter("jacinthplank_forward_foreign_answers_total")
	dirty      = metrics.NewCounter("jacinthplank_forward_connections_unclean_total")
)

// Dialect reads what an endpoint says in the headers of an answer.
type Dialect interface {
	// RequestOf returns the id of the request that an answer belongs to; empty
	// when it names none.
	RequestOf(h http.Header) string
	// PromisesNotRun reports whether the endpoint says that it did not run the
	// request and never will.
	PromisesNotRun(status int, h http.Header) bool
}

// Target is an endpoint.
type Target struct {
	ID             string
	Address        string // IP:port
	MaxConnections int    // that this process may open; 0 for no bound
}

// Call is one request as it is sent.
type Call struct {
	RequestID string
	Method    string
	URI       string // path and query as the caller sent them
	Host      string
	Header    http.Header
	Body      []byte
	NoID      bool // the call carries no id, and neither does its answer
	Fresh     bool // on a connection of its own: nothing late may be taken for its answer
}

// Client sends calls. It is safe for concurrent use.
type Client struct {
	dialect Dialect
	dialer  net.Dialer

	mu    sync.Mutex
	pools map[string]*pool // by address
}

// NewClient returns a client without connections.
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

// Send sends a call and returns the head of its answer. The caller must close
// the reply. ctx ends the call at any moment, also while its answer is read: its
// connection is then closed, which tells the endpoint.
//
// The error is an *outcome.Error. Its state is NotRun only when no byte left.
func (c *Client) Send(ctx context.Context, t Target, call *Call) (*Reply, error) {
	conn, err := c.connect(ctx, t, call.Fresh)
	if err != nil {
		return nil, err
	}
	x := &exchange{conn: conn, call: call, target: t, dialect: c.dialect, ctx: ctx}
	x.stop = context.AfterFunc(ctx, conn.abort)
	reply, err := x.run()
	if err != nil {
		x.discard()
		return nil, err
	}
	return reply, nil
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

// Forget closes the idle connections to an address, after its endpoint left.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	p := c.pools[address]
	delete(c.pools, address)
	c.mu.Unlock()
	if p != nil {
		p.closeIdle()
	}
}

func (c *Client) connect(ctx context.Context, t Target, fresh bool) (*connection, error) {
	p := c.pool(t.Address)
	if !fresh {
		if conn := p.take(t.ID, time.Now()); conn != nil {
			reused.Inc()
			return conn, nil
		}
	}
	if !p.admit(t.MaxConnections) {
		return nil, failure(outcome.CodeOverloaded, outcome.NotRun, "forward.connect", t,
			fmt.Errorf("all %d connections are in use", t.MaxConnections))
	}
	conn, err := c.dialer.DialContext(ctx, "tcp", t.Address)
	if err != nil {
		p.release()
		dialFailed.Inc()
		return nil, failure(outcome.CodeTransport, outcome.NotRun, "forward.connect", t, err)
	}
	dialed.Inc()
	return &connection{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), pool: p, endpoint: t.ID}, nil
}

func failure(code outcome.Code, state outcome.State, step string, t Target, cause error) *outcome.Error {
	e := outcome.Fail(code, state, step, cause)
	e.Peer = t.ID
	return e
}

// errForeign is an answer to another request.
var errForeign = errors.New("the answer names another request")

// writeHead puts the head of a request together. Headers were cleaned before.
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
