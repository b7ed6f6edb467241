package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// exchange is one request and its answer on one connection.
type exchange struct {
	conn    *connection
	call    *Call
	target  Target
	dialect Dialect
	ctx     context.Context
	stop    func() bool // ends the watch of ctx
	sent    chan error  // nil when the body was sent before the answer was awaited
	started time.Time
}

// Reply is an answer whose body may still be on its way.
type Reply struct {
	Status int
	Header http.Header
	// NotRun is the endpoint's promise that it did not run the request.
	NotRun bool

	body     io.ReadCloser
	exchange *exchange
	framed   bool // the end of the body is marked, or its length known
	whole    bool
	closed   bool
}

// run sends the request and reads the head of the answer.
func (x *exchange) run() (*Reply, error) {
	x.started = time.Now()
	if err := x.send(); err != nil {
		return nil, x.fail("forward.send", err)
	}
	for {
		response, err := http.ReadResponse(x.conn.reader, &http.Request{Method: x.call.Method})
		if err != nil {
			return nil, x.fail("forward.answer", err)
		}
		if response.StatusCode < http.StatusOK {
			continue // informational: the answer follows
		}
		if x.isForeign(response) {
			foreign.Inc()
			if err := x.skip(response); err != nil {
				return nil, x.fail("forward.answer", err)
			}
			continue
		}
		return x.reply(response), nil
	}
}

// send writes the request. A large body goes on being sent while the answer is
// awaited, since an endpoint may refuse it before it has read it.
func (x *exchange) send() error {
	var head strings.Builder
	writeHead(&head, x.call)
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if len(x.call.Body) <= largeBody {
		_, err := io.WriteString(x.conn, head.String()+string(x.call.Body))
		return err
	}
	if _, err := io.WriteString(x.conn, head.String()); err != nil {
		return err
	}
	x.sent = make(chan error, 1)
	go func() {
		_, err := x.conn.Write(x.call.Body)
		x.sent <- err
	}()
	return nil
}

// isForeign reports whether an answer is a late one, to an earlier request on a
// kept connection.
func (x *exchange) isForeign(r *http.Response) bool {
	id := x.dialect.RequestOf(r.Header)
	if x.call.NoID {
		return id != ""
	}
	if id == "" {
		// An endpoint that refuses early may not know the id. A success always
		// names it.
		return r.StatusCode < http.StatusMultipleChoices
	}
	return id != x.call.RequestID
}

// skip reads a foreign answer to its end, so that the next one can be read. On
// a new connection there is no earlier request that it could belong to.
func (x *exchange) skip(r *http.Response) error {
	if !x.conn.used || r.ContentLength < 0 {
		return errForeign
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

func (x *exchange) reply(r *http.Response) *Reply {
	x.conn.idleFor = idleTime(r.Header)
	return &Reply{
		Status: r.StatusCode, Header: r.Header, body: r.Body, exchange: x,
		NotRun: x.dialect.PromisesNotRun(r.StatusCode, r.Header),
		framed: !r.Close || r.ContentLength >= 0 || len(r.TransferEncoding) > 0,
	}
}

// idleTime returns for how long the endpoint keeps the connection; 0 when it
// will close it.
func idleTime(h http.Header) time.Duration {
	for _, v := range h.Values("Connection") {
		if strings.EqualFold(strings.TrimSpace(v), "close") {
			return 0
		}
	}
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(text); found && err == nil {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdle
}

func (x *exchange) fail(step string, cause error) error {
	if err := context.Cause(x.ctx); err != nil {
		return failure(outcome.CodeCanceled, outcome.Unknown, step, x.target, err)
	}
	return failure(outcome.CodeTransport, outcome.Unknown, step, x.target, cause)
}

// discard gives the connection up.
func (x *exchange) discard() {
	x.stop()
	x.conn.abort()
}

// Read implements io.Reader. io.EOF comes only after the whole body.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// ReadAll returns the whole body.
func (r *Reply) ReadAll() ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes))
	if err == nil && !r.whole {
		// The limit was reached, or the last read did not see the end.
		_, err = r.Read(make([]byte, 1))
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		err = errors.New("the answer is too long")
	}
	if err != nil {
		return data, r.exchange.fail("forward.body", err)
	}
	return data, nil
}

// Close gives the connection back when the answer was read whole and nothing
// else is on it, and up otherwise.
func (r *Reply) Close() {
	if r.closed {
		return
	}
	r.closed = true
	x := r.exchange
	if !x.stop() || !r.whole || !r.framed || !x.isSent() || x.conn.idleFor <= 0 || x.conn.reader.Buffered() > 0 {
		x.conn.abort()
		return
	}
	x.conn.pool.put(x.conn)
}

// isSent reports whether the body has left whole. An endpoint that answered
// before it had read the body would take what follows for the rest of it.
func (x *exchange) isSent() bool {
	if x.sent == nil {
		return true
	}
	select {
	case err := <-x.sent:
		return err == nil
	default:
		return false
	}
}
