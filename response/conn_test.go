package response

import (
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// scriptedConn is a connection whose reads and writes return what a test sets.
type scriptedConn struct {
	net.Conn
	reads   []string
	written chan error // results of writes
}

// Read implements net.Conn.
func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.reads) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.reads[0])
	c.reads = c.reads[1:]
	return n, nil
}

// Write implements net.Conn.
func (c *scriptedConn) Write([]byte) (int, error) { return 0, <-c.written }

const unframed = "HTTP/1.1 200 OK\r\n\r\npart"

// Guards against a reset that the write of the request took, also one that is still in
// progress when the read sees the end.
func TestEndAfterFailedWriteIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	scripted := &scriptedConn{reads: []string{unframed}, written: make(chan error)}
	c := NewConn(scripted)
	go func() { _, _ = c.Write([]byte("request")) }() // fails below
	g.Eventually(func() bool {
		isFree := c.writing.TryLock()
		if isFree {
			c.writing.Unlock()
		}
		return isFree
	}).Should(BeFalse(), "the write has begun")
	time.AfterFunc(20*time.Millisecond, func() { scripted.written <- syscall.ECONNRESET })
	data, err := io.ReadAll(c)
	g.Expect(string(data)).To(Equal(unframed))
	g.Expect(err).To(MatchError(errReset))
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
}

func TestEndAfterSuccessfulWriteIsTheEnd(t *testing.T) {
	g := NewWithT(t)
	scripted := &scriptedConn{reads: []string{unframed}, written: make(chan error, 1)}
	scripted.written <- nil
	c := NewConn(scripted)
	_, err := c.Write([]byte("request"))
	g.Expect(err).ToNot(HaveOccurred())
	data, err := io.ReadAll(c)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(string(data)).To(Equal(unframed))
}

// Guards against bytes behind a sound response that are withheld, so that the connection seems
// to be clean.
func TestBytesAfterResponseMakeConnectionUnusable(t *testing.T) {
	g := NewWithT(t)
	c := NewConn(&scriptedConn{reads: []string{plainHead + "\r\nok?"}})
	buffer := make([]byte, 100)
	n, err := c.Read(buffer)
	g.Expect(err).ToNot(HaveOccurred())
	g.Expect(string(buffer[:n])).To(Equal(plainHead + "\r\nok"))
	g.Expect(c.IsMalformed()).To(BeTrue())
	_, err = c.Read(buffer)
	g.Expect(err).To(MatchError(errStatusLine))
}

// bodyTransport answers each request with a body.
type bodyTransport struct {
	contentType string
	body        io.Reader
}

// RoundTrip implements http.RoundTripper.
func (t bodyTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {t.contentType}}, Body: io.NopCloser(t.body)}, nil
}

func TestBoundedBodies(t *testing.T) {
	const limit = 1 << 10
	for _, test := range []struct {
		name, contentType, body string
		isWhole                 bool
	}{
		{"short", "application/json", strings.Repeat("x", limit), true},
		{"long", "application/json", strings.Repeat("x", limit+1), false},
		{"lines are no events", "text/plain", strings.Repeat("x\n\n", limit), false},
		{"many events", "text/event-stream; charset=utf-8", strings.Repeat("data: x\n\n", limit), true},
		{"many events with CRLF", "text/event-stream", strings.Repeat("data: x\r\n\r\n", limit), true},
		{"long event", "text/event-stream", strings.Repeat("data: x\n", limit), false},
		{"long event after others", "text/event-stream", strings.Repeat("data: x\n\n", limit) + strings.Repeat("x", limit+1), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			client := http.Client{Transport: Bounded{bodyTransport{test.contentType, strings.NewReader(test.body)}, limit}}
			r, err := client.Get("http://127.0.0.1/")
			g.Expect(err).ToNot(HaveOccurred())
			data, err := io.ReadAll(r.Body)
			g.Expect(err == nil).To(Equal(test.isWhole), "%d bytes read", len(data))
		})
	}
}
