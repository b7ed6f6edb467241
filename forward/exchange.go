package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// exchange is a request and its response on one connection.
type exchange struct {
	conn     *connection
	call     *Call
	target   Target
	dialect  Dialect
	ctx      context.Context
	stop     func() bool // stops watching ctx
	bodySent chan error  // result of the concurrent body write; nil if the body was sent with the headers
	started  time.Time
	skipped  int64 // bytes in bodies of responses to other requests
}

// Reply is a response whose body may not have been received yet.
type Reply struct {
	Status int
	Header http.Header
	// NotRun is set if the endpoint guarantees that it did not run the request.
	NotRun bool
	// SentAt is when the call was sent.
	SentAt time.Time

	body          io.ReadCloser
	exchange      *exchange
	selfDelimited bool // the end of the body does not depend on closing the connection
	complete      bool
	closed        bool
}

// roundTrip sends the request and reads the response headers.
func (x *exchange) roundTrip() (*Reply, error) {
	x.started = time.Now()
	x.conn.ExpectMethod(x.call.Method)
	if err := x.send(); err != nil {
		return nil, x.wrapError("forward.send", err)
	}
	x.conn.limiter.left = maxHeadBytes
	for {
		response, err := x.readHead()
		if err != nil {
			return nil, x.wrapError("forward.answer", err)
		}
		if response.StatusCode < http.StatusOK {
			continue // informational; the final response follows
		}
		if x.lacksID(response) {
			mismatchedResponses.Inc()
			return nil, x.wrapError("forward.answer", errMissingID)
		}
		if x.isMismatched(response) {
			mismatchedResponses.Inc()
			if err := x.skip(response); err != nil {
				return nil, x.wrapError("forward.answer", err)
			}
			continue
		}
		return x.newReply(response), nil
	}
}

// send writes the request. A large body is written in the background, since the
// endpoint may reject the request before it has read the whole body.
func (x *exchange) send() error {
	var head strings.Builder
	writeHead(&head, x.call)
	if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if len(x.call.Body) <= maxInlineBody {
		_, err := io.WriteString(x.conn, head.String()+string(x.call.Body))
		return err
	}
	if _, err := io.WriteString(x.conn, head.String()); err != nil {
		return err
	}
	x.bodySent = make(chan error, 1)
	go func() { x.bodySent <- x.sendBody() }()
	return nil
}

// sendBody writes the body. The timeout holds for each part, so that a slow link doesn't
// cut a long body; the call's context limits the whole.
func (x *exchange) sendBody() error {
	for part := range slices.Chunk(x.call.Body, bodyPartBytes) {
		if err := x.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := x.conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// lacksID reports whether r has no id and therefore can't be told from a late response to an
// earlier request, or is a success, which is never used without an id. No other response is
// awaited, as this is most likely the only one.
func (x *exchange) lacksID(r *http.Response) bool {
	needsID := r.StatusCode < http.StatusMultipleChoices || x.conn.used
	return !x.call.NoID && needsID && x.responseID(r.Header) == ""
}

// isMismatched reports whether r is a late response to an earlier request on a
// reused connection. An endpoint that rejects a request early may not know its id.
func (x *exchange) isMismatched(r *http.Response) bool {
	id := x.responseID(r.Header)
	if x.call.NoID {
		return id != ""
	}
	return id != "" && id != x.call.RequestID
}

// responseID returns the id that a response carries, or "" if it has none. Of several ids
// it returns one that is not the call's.
func (x *exchange) responseID(h http.Header) string {
	id := ""
	for _, one := range x.dialect.RequestIDs(h) {
		if id == "" || one != x.call.RequestID {
			id = one
		}
	}
	return id
}

// skip discards a mismatched response, so that the next one can be read. It fails
// on a new connection, where the response can't belong to an earlier request, and
// if the body has no known length.
func (x *exchange) skip(r *http.Response) error {
	if !x.conn.used || r.ContentLength < 0 {
		return errMismatchedResponse
	}
	if x.skipped += r.ContentLength; x.skipped > maxSkippedBytes {
		return errSkippedTooLong
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

func (x *exchange) newReply(r *http.Response) *Reply {
	x.conn.idleTimeout = idleTimeout(r.Header)
	if x.responseID(r.Header) == "" && (!x.call.NoID || x.call.NewConnection) {
		x.conn.idleTimeout = 0 // a second copy would pass for the response to the next call
	}
	return &Reply{
		Status: r.StatusCode, Header: r.Header, body: r.Body, exchange: x,
		NotRun:        x.dialect.PromisesNotRun(r.StatusCode, r.Header),
		SentAt:        x.started,
		selfDelimited: !r.Close || r.ContentLength >= 0 || len(r.TransferEncoding) > 0,
	}
}

// idleTimeout returns how long the connection may stay idle, or 0 if the endpoint
// will close it.
func idleTimeout(h http.Header) time.Duration {
	for _, v := range h.Values("Connection") {
		if strings.EqualFold(strings.TrimSpace(v), "close") {
			return 0
		}
	}
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if seconds, err := strconv.Atoi(text); found && err == nil {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}

func (x *exchange) wrapError(step string, cause error) error {
	if err := context.Cause(x.ctx); err != nil {
		return newError(outcome.CodeCanceled, outcome.Unknown, step, x.target, err)
	}
	return newError(outcome.CodeTransport, outcome.Unknown, step, x.target, cause)
}

// discard closes the connection.
func (x *exchange) discard() {
	x.stop()
	x.conn.abort()
}

// Read implements io.Reader. It returns io.EOF only after the complete body.
func (r *Reply) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// ReadUpTo returns the whole body, or its start if it has more than limit bytes. The
// rest is left to Read.
func (r *Reply) ReadUpTo(limit int64) (data []byte, complete bool, err error) {
	data, err = io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return data, false, r.exchange.wrapError("forward.body", err)
	}
	return data, int64(len(data)) <= limit, nil
}

// ReadAll returns the whole body. It fails if that has more than limit bytes.
func (r *Reply) ReadAll(limit int64) ([]byte, error) {
	data, complete, err := r.ReadUpTo(limit)
	if err == nil && !complete {
		err = r.exchange.wrapError("forward.body", fmt.Errorf("response body exceeds %d bytes", limit))
	}
	return data, err
}

// Abort closes the connection, which ends a concurrent Read. Close must be called still.
func (r *Reply) Abort() { r.exchange.conn.abort() }

// IsSelfDelimited reports whether the end of the body can be told from that of the
// connection.
func (r *Reply) IsSelfDelimited() bool { return r.selfDelimited }

// Close returns the connection to the pool if the response was read completely
// and no data is left on the connection; otherwise it closes the connection.
func (r *Reply) Close() {
	if r.closed {
		return
	}
	r.closed = true
	x := r.exchange
	if !x.stop() || !r.complete || !r.selfDelimited || !x.isBodySent() || x.conn.idleTimeout <= 0 || x.conn.hasUnread() {
		x.conn.abort()
		return
	}
	if r.NotRun && !x.conn.noteRefused(x.call.RequestID) {
		x.conn.abort()
		return
	}
	x.conn.pool.put(x.conn)
}

// isBodySent reports whether the body was sent completely. An endpoint that
// responded before it had read the body would read the next request as part of it.
func (x *exchange) isBodySent() bool {
	if x.bodySent == nil {
		return true
	}
	select {
	case err := <-x.bodySent:
		return err == nil
	default:
		return false
	}
}
