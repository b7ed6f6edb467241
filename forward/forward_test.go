package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// maxTestBody is more than any body that the tests read whole.
const maxTestBody = 1 << 10

type testDialect struct{}

func (testDialect) RequestIDs(h http.Header) []string { return h.Values("X-Id") }

func (testDialect) PromisesNotRun(_ int, h http.Header) bool { return h.Get("X-Refused") != "" }

// fakeEndpoint answers each request with a test-supplied function.
type fakeEndpoint struct {
	listener    net.Listener
	connections atomic.Int64
	requests    atomic.Int64
}

// startEndpoint starts a fake endpoint. answer gets the request number, starting
// at 1, and writes the response; returning false closes the connection.
func startEndpoint(t *testing.T, answer func(n int64, r *http.Request, w net.Conn) bool) (*fakeEndpoint, Target) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &fakeEndpoint{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			go e.serveConnection(c, answer)
		}
	}()
	return e, Target{ID: "e", Address: l.Addr().String()}
}

func (e *fakeEndpoint) serveConnection(c net.Conn, answer func(int64, *http.Request, net.Conn) bool) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !answer(e.requests.Add(1), r, c) {
			return
		}
	}
}

func writeResponse(c net.Conn, text string) bool {
	_, err := io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
	return err == nil
}

func writeOK(c net.Conn, id, body string) bool {
	return writeResponse(c, "HTTP/1.1 200 OK\nX-Id: "+id+"\nContent-Length: "+itoa(len(body))+"\n\n"+body)
}

func itoa(n int) string { return string(rune('0' + n)) }

func send(t *testing.T, c *Client, target Target, id string, newConnection bool) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	reply, err := c.Send(ctx, target, &Call{RequestID: id, Method: "GET", URI: "/x", Host: "h", Header: http.Header{}, NewConnection: newConnection})
	if err != nil {
		return "", err
	}
	defer reply.Close()
	body, err := reply.ReadAll(maxTestBody)
	return string(body), err
}

func TestConnectionReused(t *testing.T) {
	g := NewWithT(t)
	e, target := startEndpoint(t, func(_ int64, _ *http.Request, c net.Conn) bool { return writeOK(c, "a", "hi") })
	c := NewClient(testDialect{})
	for range 3 {
		body, err := send(t, c, target, "a", false)
		g.Expect(err).ToNot(HaveOccurred())
		g.Expect(body).To(Equal("hi"))
	}
	g.Expect(e.connections.Load()).To(Equal(int64(1)))
}

func TestNonIdempotentCallOpensNewConnection(t *testing.T) {
	g := NewWithT(t)
	e, target := startEndpoint(t, func(_ int64, _ *http.Request, c net.Conn) bool { return writeOK(c, "a", "hi") })
	c := NewClient(testDialect{})
	for range 2 {
		_, err := send(t, c, target, "a", true)
		g.Expect(err).ToNot(HaveOccurred())
	}
	g.Expect(e.connections.Load()).To(Equal(int64(2)))
}

// TestRequestNotResent checks that the client does not retry when a connection
// closes before the response, not even for a GET on a reused connection.
func TestRequestNotResent(t *testing.T) {
	g := NewWithT(t)
	e, target := startEndpoint(t, func(n int64, _ *http.Request, c net.Conn) bool { return n == 1 && writeOK(c, "a", "hi") })
	c := NewClient(testDialect{})
	_, err := send(t, c, target, "a", false)
	g.Expect(err).ToNot(HaveOccurred())
	_, err = send(t, c, target, "a", false)
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))
	g.Expect(e.requests.Load()).To(Equal(int64(2)))
}

func TestFailedDialReportsNotRun(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	address := l.Addr().String()
	g.Expect(l.Close()).To(Succeed())
	_, err = send(t, NewClient(testDialect{}), Target{ID: "e", Address: address}, "a", false)
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
	g.Expect(outcome.From(err).Peer).To(Equal("e"))
}

// TestLateResponseNotUsedForNextRequest sends a duplicate response to the first
// request before the second request is sent.
func TestLateResponseNotUsedForNextRequest(t *testing.T) {
	g := NewWithT(t)
	duplicated := make(chan struct{})
	e, target := startEndpoint(t, func(n int64, r *http.Request, c net.Conn) bool {
		id := r.Header.Get("X-Id")
		if n == 1 {
			defer close(duplicated)
			return writeOK(c, id, "one") && writeOK(c, id, "two")
		}
		return writeOK(c, id, "own")
	})
	c := NewClient(testDialect{})
	call := func(id string) string {
		h := http.Header{}
		h.Set("X-Id", id)
		reply, err := c.Send(t.Context(), target, &Call{RequestID: id, Method: "GET", URI: "/", Host: "h", Header: h})
		g.Expect(err).ToNot(HaveOccurred())
		defer reply.Close()
		body, err := reply.ReadAll(maxTestBody)
		g.Expect(err).ToNot(HaveOccurred())
		return string(body)
	}
	g.Expect(call("a")).To(Equal("one"))
	g.Eventually(duplicated, "5s").Should(BeClosed())
	time.Sleep(20 * time.Millisecond) // until the duplicate response has arrived
	g.Expect(call("b")).To(Equal("own"))
	g.Expect(e.connections.Load()).To(Equal(int64(2)), "a connection with unread data must not be reused")
}

// TestMismatchedResponseSkipped sends a late response to the first request after
// the second request was sent.
func TestMismatchedResponseSkipped(t *testing.T) {
	g := NewWithT(t)
	_, target := startEndpoint(t, func(n int64, _ *http.Request, c net.Conn) bool {
		if n == 1 {
			return writeOK(c, "a", "one")
		}
		return writeOK(c, "a", "late") && writeOK(c, "b", "own")
	})
	c := NewClient(testDialect{})
	_, err := send(t, c, target, "a", false)
	g.Expect(err).ToNot(HaveOccurred())
	body, err := send(t, c, target, "b", false)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(body).To(Equal("own"))
}

func TestSuccessWithoutRequestIDRejected(t *testing.T) {
	g := NewWithT(t)
	_, target := startEndpoint(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		return writeResponse(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi")
	})
	_, err := send(t, NewClient(testDialect{}), target, "a", false)
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))
}

// TestSuccessWithoutRequestIDFailsAtOnce checks that no further response is awaited
// after a success that can't be matched to a request: on a new connection none can
// follow, and on a reused one a late response would carry its request's id.
func TestSuccessWithoutRequestIDFailsAtOnce(t *testing.T) {
	for _, test := range []struct {
		name  string
		reuse bool
	}{{"new connection", false}, {"reused connection", true}} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			e, target := startEndpoint(t, func(n int64, _ *http.Request, c net.Conn) bool {
				if n == 1 {
					return writeOK(c, "a", "one")
				}
				return writeResponse(c, "HTTP/1.1 200 OK\nContent-Length: 2\n\nhi")
			})
			c := NewClient(testDialect{})
			_, err := send(t, c, target, "a", false)
			g.Expect(err).ToNot(HaveOccurred())
			started := time.Now()
			body, err := send(t, c, target, "b", !test.reuse)
			g.Expect(body).To(BeEmpty())
			g.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))
			g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeTransport))
			g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
			g.Expect(e.requests.Load()).To(Equal(int64(2)), "the request must not be sent again")
			g.Expect(e.connections.Load()).To(Equal(map[bool]int64{false: 2, true: 1}[test.reuse]))
		})
	}
}

func TestTruncatedResponseFails(t *testing.T) {
	g := NewWithT(t)
	_, target := startEndpoint(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		writeResponse(c, "HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 9\n\nhi")
		return false
	})
	_, err := send(t, NewClient(testDialect{}), target, "a", false)
	g.Expect(err).To(HaveOccurred())
	g.Expect(errors.Is(err, io.ErrUnexpectedEOF)).To(BeTrue())
}

func TestRefusalReportsNotRun(t *testing.T) {
	g := NewWithT(t)
	_, target := startEndpoint(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		return writeResponse(c, "HTTP/1.1 503 Service Unavailable\nX-Refused: 1\nContent-Length: 0\n\n")
	})
	reply, err := NewClient(testDialect{}).Send(t.Context(), target, &Call{RequestID: "a", Method: "GET", URI: "/", Host: "h"})
	g.Expect(err).ToNot(HaveOccurred())
	defer reply.Close()
	g.Expect(reply.NotRun).To(BeTrue())
}

// TestResponseBeforeBodySentClosesConnection rejects a large body before reading
// it. On a reused connection, the endpoint would read the rest of the body as the
// next request.
func TestResponseBeforeBodySentClosesConnection(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).ToNot(HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := c.Read(make([]byte, 64)); err != nil {
			return
		}
		writeResponse(c, "HTTP/1.1 503 Service Unavailable\nX-Refused: 1\nX-Id: a\nContent-Length: 0\n\n")
	}()
	c := NewClient(testDialect{})
	target := Target{ID: "e", Address: l.Addr().String()}
	reply, err := c.Send(t.Context(), target, &Call{RequestID: "a", Method: "POST", URI: "/", Host: "h", Body: make([]byte, 16<<20)})
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(reply.NotRun).To(BeTrue())
	_, err = reply.ReadAll(maxTestBody)
	g.Expect(err).ToNot(HaveOccurred())
	reply.Close()
	g.Expect(c.pool(target.Address).pop(&Call{})).To(BeNil())
}

func TestCanceledContextClosesConnection(t *testing.T) {
	g := NewWithT(t)
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	_, target := startEndpoint(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		cancel() // the request has arrived
		_, err := c.Read(make([]byte, 1))
		if err != nil {
			close(closed)
		}
		return false
	})
	_, err := NewClient(testDialect{}).Send(ctx, target, &Call{RequestID: "a", Method: "GET", URI: "/", Host: "h"})
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeCanceled))
	g.Eventually(closed).Should(BeClosed())
}

func TestMaxConnections(t *testing.T) {
	g := NewWithT(t)
	unblock := make(chan struct{})
	defer close(unblock)
	_, target := startEndpoint(t, func(_ int64, _ *http.Request, c net.Conn) bool {
		<-unblock
		return false
	})
	target.MaxConnections = 1
	c := NewClient(testDialect{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = c.Send(ctx, target, &Call{RequestID: "a", Method: "GET", URI: "/", Host: "h"}) }()
	g.Eventually(func() int { return c.pool(target.Address).openCount() }).Should(Equal(1))
	_, err := send(t, c, target, "b", false)
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeOverloaded))
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
}

func (p *pool) openCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

func TestIdleTimeout(t *testing.T) {
	tests := []struct {
		name   string
		header http.Header
		want   time.Duration
	}{
		{"no headers", http.Header{}, defaultIdleTimeout},
		{"whole seconds", http.Header{"Keep-Alive": {"timeout=3, max=9"}}, 3*time.Second - idleTimeoutMargin},
		{"connection close", http.Header{"Connection": {"close"}}, 0},
		{"shorter than the margin", http.Header{"Keep-Alive": {"timeout=0"}}, 0},
	}
	for _, test := range tests {
		if got := idleTimeout(test.header); got != test.want {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

func TestEventReader(t *testing.T) {
	tests := []struct {
		name, in string
		ids      []string
		end      error
	}{
		{"complete events", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []string{"1", "2"}, io.EOF},
		{"CRLF line endings", "id: 1\r\ndata: a\r\n\r\n", []string{"1"}, io.EOF},
		{"truncated within a line", "id: 1\ndata: a\n\nid: 2\nda", []string{"1"}, io.ErrUnexpectedEOF},
		{"truncated before the blank line", "id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		{"extra blank lines", "\n\nid: 1\ndata: a\n\n\n", []string{"1"}, io.EOF},
		{"empty stream", "", nil, io.EOF},
		{"comment, extension and field without a value", ": c\nweight-versions: 3\nid: 1\ndata\n\n", []string{"1"}, io.EOF},
		{"head of an error", "id: 1\ndata: a\n\nHTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno", []string{"1"}, errNoEvent},
		{"text of an error", "id: 1\ndata: a\n\nid: 2\nconnection failure\n\n", []string{"1"}, errNoEvent},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			events := NewEventReader(strings.NewReader(test.in))
			var ids []string
			for {
				e, err := events.Next()
				if err != nil {
					g.Expect(err).To(MatchError(test.end))
					break
				}
				ids = append(ids, e.ID)
			}
			g.Expect(ids).To(Equal(test.ids))
		})
	}
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n")
	f.Fuzz(func(t *testing.T, in string) {
		events := NewEventReader(strings.NewReader(in))
		total := 0
		for {
			e, err := events.Next()
			if err != nil {
				break
			}
			if !strings.HasSuffix(string(e.Data), "\n") {
				t.Fatalf("event %q does not end with a newline", e.Data)
			}
			total += len(e.Data)
		}
		if total > len(in) {
			t.Fatalf("events have %d bytes, input has %d", total, len(in))
		}
	})
}
