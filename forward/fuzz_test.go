package forward

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http/httpguts"

	"github.com/jacinthplank/jacinthplank/internal/responsetest"
	"github.com/jacinthplank/jacinthplank/response"
)

// fuzzConn is a connection to an endpoint that writes given bytes and closes it.
type fuzzConn struct {
	net.Conn // nil; what isn't defined below is not called
	left     *bytes.Reader
}

func (c fuzzConn) Read(p []byte) (int, error)       { return c.left.Read(p) }
func (c fuzzConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c fuzzConn) Close() error                     { return nil }
func (c fuzzConn) SetWriteDeadline(time.Time) error { return nil }

// fuzzExchange returns an exchange on a connection on which the endpoint writes data.
func fuzzExchange(data []byte, isUsed bool) *exchange {
	strict := response.NewConn(fuzzConn{left: bytes.NewReader(data)})
	limiter := &headLimiter{Conn: strict}
	conn := &connection{Conn: strict, limiter: limiter, reader: bufio.NewReaderSize(limiter, readBufferBytes), pool: &pool{open: 1}, endpoint: "e", used: isUsed}
	return &exchange{
		conn: conn, call: &Call{RequestID: "a", Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}},
		target: Target{ID: "e"}, dialect: testDialect{}, ctx: context.Background(), stop: func() bool { return true },
	}
}

// FuzzAnswer guards against an answer of an endpoint, its heads, chunks and trailers, that ends the entry,
// takes more memory than its limits, or is another request's.
func FuzzAnswer(f *testing.F) {
	for _, answer := range responsetest.Malformed("X-Id: a\r\n") {
		f.Add([]byte(answer), false)
	}
	const other = "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 2\r\n\r\nno"
	const whole = "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=5, max=9\r\nContent-Length: 2\r\n\r\nok"
	f.Add([]byte(whole), false)
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"+other+whole), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n2;e=1\r\nok\r\n0\r\nX-T: t\r\n\r\n"), true)
	f.Add([]byte("HTTP/1.1 503 Full\r\nX-Refused: 1\r\nKeep-Alive: timeout=9223372036854775807\r\nContent-Length: 99999999999\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, data []byte, isUsed bool) {
		x := fuzzExchange(data, isUsed)
		defer x.discard()
		reply, err := x.roundTrip()
		if err != nil {
			return
		}
		if reply.Status < http.StatusOK || reply.Status > 599 {
			t.Errorf("status %d", reply.Status)
		}
		if id := x.responseID(reply.Header); id != "a" && (id != "" || isUsed || reply.Status < http.StatusMultipleChoices) {
			t.Errorf("status %d with the id %q is taken for the answer to %q", reply.Status, id, "a")
		}
		if x.conn.idleTimeout < 0 || x.skipped > maxSkippedBytes {
			t.Errorf("idle for %v, %d bytes skipped", x.conn.idleTimeout, x.skipped)
		}
		for name, values := range reply.Header {
			for _, v := range values {
				if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidHeaderFieldValue(v) {
					t.Errorf("header %q: %q", name, v)
				}
			}
		}
		const limit = 16
		body, complete, err := reply.ReadUpTo(limit)
		if len(body) > limit+1 || complete && (err != nil || len(body) > limit) {
			t.Errorf("body of %d bytes, complete %v: %v", len(body), complete, err)
		}
	})
}

// FuzzEventsHold guards against a stream of an endpoint whose events take more memory than was asked for,
// and against one whose events depend on how its bytes arrive.
func FuzzEventsHold(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n", uint16(0))
	f.Add(": comment\n\ndata: "+strings.Repeat("x", 3000)+"\n\nid: 2\ndata\n\n", uint16(5000))
	f.Add(strings.Repeat("data: x\n", 2000), uint16(100))
	f.Fuzz(func(t *testing.T, in string, most uint16) {
		errFull := errors.New("no memory left")
		held := int64(readBufferBytes)
		whole := NewEventReader(strings.NewReader(in))
		whole.Hold = func(bytes int64) error {
			if held+bytes > readBufferBytes+int64(most) {
				return errFull
			}
			held += bytes
			return nil
		}
		parts := NewEventReader(oneByte{strings.NewReader(in)})
		for {
			e, err := whole.Next()
			if int64(cap(whole.event)) > held || cap(whole.event) > maxEventBytes {
				t.Fatalf("an event has %d bytes, of %d", cap(whole.event), held)
			}
			if errors.Is(err, errFull) {
				return
			}
			same, sameErr := parts.Next()
			if !errors.Is(sameErr, err) || same.ID != e.ID || !bytes.Equal(same.Data, e.Data) {
				t.Fatalf("%+v, %v, byte by byte %+v, %v", e, err, same, sameErr)
			}
			if err != nil {
				return
			}
		}
	})
}

// oneByte reads one byte at a time.
type oneByte struct{ r io.Reader }

func (o oneByte) Read(p []byte) (int, error) { return o.r.Read(p[:min(len(p), 1)]) }
