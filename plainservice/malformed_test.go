package plainservice

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/internal/responsetest"
	"github.com/jacinthplank/jacinthplank/submit"
)

// maxUnusedBytes is what may be read of an answer that can't be used: the longest reply, its framing and the buffers of a
// connection's reader.
const maxUnusedBytes = maxReplyBytes + 1<<20

// countedConn counts the bytes that are read of a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func callOnce(t *testing.T, address string, body []byte) (submit.Reply, error) {
	t.Helper()
	return callWith(t, New("s", "http://"+address), body)
}

func callWith(t *testing.T, s *Service, body []byte) (submit.Reply, error) {
	t.Helper()
	return s.Call(t.Context(), submit.Call{
		ID: "1", Account: "a", Key: "k", Method: "POST", Path: "/x", Body: body, Once: true, Remaining: 5 * time.Second,
	})
}

// Guards against bytes that are no response and are returned as the service's reply.
func TestMalformedReplyFails(t *testing.T) {
	for name, answer := range responsetest.Malformed("") {
		t.Run(name, func(t *testing.T) {
			reply, err := callOnce(t, responsetest.Serve(t, answer), nil)
			NewWithT(t).Expect(err).To(HaveOccurred(), "body %q", reply.Body)
		})
	}
}

// Guards against a part of a reply that is taken for the whole, as the service resets the
// connection while the call is still being sent.
func TestReplyResetWhileCallIsSentFails(t *testing.T) {
	g := NewWithT(t)
	address, whole := responsetest.ServeReset(t, "HTTP/1.1 200 OK\r\n", "part"), 0
	for range 300 {
		if _, err := callOnce(t, address, make([]byte, 2<<20)); err == nil {
			whole++
		}
	}
	g.Expect(whole).To(BeZero(), "of 300 replies passed as whole")
}

// Guards against a service that sends bytes without end: they were read until the deadline. What it has sent is no measure
// of that, as the kernel takes up to 32 MB for a reader that is not run.
func TestReplyWithoutEndIsAbandoned(t *testing.T) {
	for name, answer := range responsetest.Endless("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, _ := responsetest.ServeEndless(t, answer[0], answer[1])
			var read atomic.Int64
			s := newService("s", "http://"+address, func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return countedConn{conn, &read}, err
			})
			started := time.Now()
			_, err := callWith(t, s, nil)
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(started)).To(BeNumerically("<", 4*time.Second), "before the deadline")
			g.Expect(read.Load()).To(And(BeNumerically(">", 0), BeNumerically("<", maxUnusedBytes)))
		})
	}
}
